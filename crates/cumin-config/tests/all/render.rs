use cumin_config::{Document, Market, Method, RegionSpec, Route, key_digest};
use cumin_types::{Cost, Millis, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::{BAKERS, JUDGES, parse_valid};

prop_compose! {
    /// Generates valid documents that differ from an example in every kind of value.
    fn document()(
        base in prop::sample::select(vec![BAKERS, JUDGES]),
        operator in "[^\\x00-\\x1f]{1,40}",
        name in "[a-z0-9][a-z0-9._-]{0,20}",
        latency in prop::option::of(0.0..1000.0_f64),
        price in 0.0001..3.0_f64,
        market in prop::sample::select(vec![Market::Reclaimable, Market::OnDemand]),
        token in 1..600_000_u64,
        retention in prop::option::of(60..2_592_000_u64),
        weight in 0.01..1000.0_f64,
        tokens in 1..1_000_u64,
        keys in prop::collection::btree_set("[ -~]{1,30}", 1..4),
        routes in prop::collection::btree_set("(/([a-z0-9]{1,8}|\\{[a-z]{1,4}\\})){1,4}", 0..4),
        versions in prop::collection::btree_set("[^\\x00-\\x1f]{1,12}", 1..4),
    ) -> Document {
        let mut doc = parse_valid(base);
        doc.environment.operator = operator;
        doc.environment.name.clone_from(&name);
        doc.budget.per_hour = Cost(1000.0 + price);
        for region in doc.regions.values_mut() {
            *region = RegionSpec { between_places_ms: latency, to_callers_ms: None };
        }
        let mut offer = doc.offers.values().next().expect("in the example").clone();
        offer.price_per_hour = Cost(price);
        offer.market = market;
        doc.offers.insert(name.clone(), offer);
        for spec in doc.services.values_mut() {
            if let Some(value) = &mut spec.promises.first_token_ms {
 *value = Millis(token);
 } else {
                    spec.promises.key_retention_s = retention;
                    spec.idempotent = routes
                        .iter()
                        .map(|path| Route { method: Method::Put, path: path.clone() })
                        .collect();
}
        }
        for spec in doc.models.values_mut() {
            spec.version.clone_from(versions.first().expect("at least one"));
            spec.versions.clone_from(&versions);
        }
        let mut org = doc.organisations.values().next().expect("in the example").clone();
        org.weight = weight;
        org.key_digests = keys.iter().map(|key| key_digest(key)).collect();
        org.quota.tokens_per_minute = TokenCount(tokens);
        doc.organisations.insert(format!("x{name}").into(), org);
        doc
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a value that is lost or changed when a document is rendered and parsed again,
    /// as happens on its way through the log.
    #[test]
    fn rendering_keeps_digest(doc in document()) {
        let text = doc.render();
        let read = Document::parse(&text).map_err(|problems| {
            TestCaseError::fail(format!("{problems}\n{text}"))
        })?;
        prop_assert_eq!(read.digest(), doc.digest());
        prop_assert_eq!(read, doc);
    }

    /// Guards against a panic or a problem without a line number on corrupted documents.
    #[test]
    fn problems_have_lines(
        from in 0..BAKERS.len(),
        count in 0..40_usize,
        insert in "[ -~\\n]{0,6}",
    ) {
        let mut bytes = BAKERS.as_bytes().to_vec();
        let to = (from + count).min(bytes.len());
        bytes.splice(from..to, insert.bytes());
        let text = String::from_utf8_lossy(&bytes);
        if let Err(problems) = Document::parse(&text) {
            let lines = text.lines().count() + 1;
            prop_assert!(!problems.0.is_empty());
            for problem in &problems.0 {
                prop_assert!(problem.line.is_some_and(|line| (1..=lines).contains(&line)), "{problem}");
            }
        }
    }
}

/// Guards against a digest that depends on comments, white space or the order of keys.
#[test]
fn digests_ignore_layout() {
    let doc = parse_valid(BAKERS);
    let mut sections: Vec<&str> = BAKERS.split("\n[").skip(1).collect();
    sections.reverse();
    let text = format!(
        " [{}",
        sections.join(
            "
# moved

 ["
        )
    );
    assert_eq!(parse_valid(&text).digest(), doc.digest());
    assert_ne!(parse_valid(JUDGES).digest(), doc.digest());
}
