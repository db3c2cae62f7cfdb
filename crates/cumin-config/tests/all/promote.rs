use cumin_config::{Document, Problems, promote, promotion_diff, untested_changes};

use crate::{
    BAKERS, BAKERS_OVERRIDES, BAKERS_TRIAL, JUDGES, JUDGES_OVERRIDES, JUDGES_TRIAL, edit,
    one_problem, parse_valid,
};

/// Guards against a production document that differs from the tested one plus its overrides.
#[test]
fn examples_are_promotions() {
    for (trial, overrides, production) in [
        (BAKERS_TRIAL, BAKERS_OVERRIDES, BAKERS),
        (JUDGES_TRIAL, JUDGES_OVERRIDES, JUDGES),
    ] {
        let (trial, production) = (parse_valid(trial), parse_valid(production));
        let made = promote(&trial, overrides).unwrap_or_else(|problems| panic!("{problems}"));
        assert_eq!(made.digest(), production.digest());
        assert_eq!(
            promotion_diff(&trial, overrides, &production),
            Ok(Vec::new())
        );
        assert_eq!(untested_changes(&trial, &production), []);
    }
}

/// Guards against untested edits of a production document that go unnoticed.
#[test]
fn untested_edits_show() {
    let trial = parse_valid(BAKERS_TRIAL);
    let text = edit(BAKERS, "first_token_ms = 1200", "first_token_ms = 1000");
    let edited = parse_valid(&edit(&text, "hamilton = 4", "hamilton = 3"));
    let keys = |changes: Vec<cumin_config::Change>| -> Vec<String> {
        changes.into_iter().map(|change| change.key).collect()
    };
    let found = promotion_diff(&trial, BAKERS_OVERRIDES, &edited).expect("valid overrides");
    let (promise, workers) = (
        "services.crumb-assist.promises.first_token_ms",
        "services.crumb-assist.workers.hamilton",
    );
    assert_eq!(keys(found), [promise, workers]);
    assert_eq!(keys(untested_changes(&trial, &edited)), [promise]);
}

/// Guards against overrides that change tested values or result in an invalid document.
#[test]
#[rustfmt::skip]
fn bad_overrides() {
    let trial = parse_valid(BAKERS_TRIAL);
    for (from, to, key, at, accepted) in [
        ("[services.oven-desk]", "[services.oven-desk]\nhonours_keys = false", "services.oven-desk.honours_keys", "honours", "the tested value"),
        ("[budget]", "[models.crumb-8b]\nversion = \"2.0\"\n[budget]", "models.crumb-8b.version", "version", "the tested value"),
        ("[budget]", "[services.new.worker]\n[budget]", "services.new.worker", "new", "the tested value"),
        ("\"organisations.test-orchard\"", "\"organisations.test\"", "remove[1]", "remove", "key paths"),
        ("\"organisations.test-orchard\"", "\"organisations.test-orchard\", \"objective\"", "remove[2]", "remove", "key paths"),
        ("hamilton = 4", "raglan = 4", "services.crumb-assist.workers.raglan", "raglan", "a name from `places`"),
        ("kind = \"production\"", "kind = \"trial\"", "environment.kind", "trial", "production"),
        ("name = \"bakers\"", "name = \"bakers-trial\"", "environment.name", "trial", "another name"),
        ("weight = 4.0\n", "", "organisations.hamilton-ovens.weight", "hamilton-ovens", "a number"),
        ("tokens_per_minute = 1200000", "tokens_per_minute = 9000000", "limits.tokens_per_minute", "9000000", "at most 1440000"),
        ("[limits]", "[limits]\ntokens_per_hour = 1", "limits.tokens_per_hour", "hour", "tokens_per_minute"),
    ] {
        let text = edit(BAKERS_OVERRIDES, from, to);
        one_problem(promote(&trial, &text), &text, key, at, accepted);
    }
}

/// Guards against the promotion of a document that is already a production document.
#[test]
fn production_is_not_promoted() {
    let production: Document = parse_valid(BAKERS);
    let Problems(problems) = promote(&production, "").expect_err("not a trial");
    let keys: Vec<&str> = problems
        .iter()
        .map(|problem| problem.key.as_str())
        .collect();
    assert_eq!(keys, ["environment.kind", "environment.name"]);
}
