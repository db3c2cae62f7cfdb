use cumin_config::diff;
use serde_json::json;

use crate::{BAKERS, edit, parse_valid};

/// Guards against a diff that misses a changed key or reports an unchanged one.
#[test]
fn keys_that_differ() {
    let old = parse_valid(BAKERS);
    assert_eq!(diff(&old, &old), []);
    let mut text = edit(BAKERS, "hamilton = 4", "hamilton = 5");
    text = edit(
        &text,
        "\"sourdough\", \"rewena\"",
        "\"rewena\", \"sourdough\"",
    );
    text = edit(
        &text,
        "first_token_ms = 1200",
        "first_token_ms = 1_100 # faster",
    );
    let found = diff(&old, &parse_valid(&text));
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "services.crumb-assist.promises.first_token_ms: 1200 -> 1100",
            "services.crumb-assist.workers.hamilton: 4 -> 5",
        ]
    );
}

/// Guards against an added table that is reported as one change per key, or not at all when empty.
#[test]
fn added_and_removed_tables() {
    let old = parse_valid(BAKERS);
    let mut new = old.clone();
    let removed = new
        .organisations
        .remove("matamata-school")
        .expect("in the example");
    new.regions
        .insert("otago".into(), cumin_config::RegionSpec::default());
    let found = diff(&old, &new);
    assert_eq!(found.len(), 2);
    assert_eq!(found[0].key, "organisations.matamata-school");
    assert_eq!(
        found[0].old,
        Some(serde_json::to_value(removed).expect("text keys"))
    );
    assert_eq!(found[0].new, None);
    assert_eq!((&found[1].old, &found[1].new), (&None, &Some(json!({}))));
    assert_ne!(old.digest(), new.digest());
}
