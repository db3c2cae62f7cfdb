use cumin_config::{Document, key_digest};
use cumin_core::Status;
use serde_json::Value;

use crate::support::{Scratch, ctl, example};

/// Guards against differences that a script takes for equality.
#[test]
fn diff_status() {
    let (trial, production) = (example("bakers-trial.toml"), example("bakers.toml"));
    let same = ctl(&["diff", &trial, &trial]);
    assert_eq!((same.status, same.out.as_str()), (Status::Done, ""));
    let differ = ctl(&["diff", &trial, &production]);
    assert_eq!(differ.status, Status::Failed);
    assert!(differ.out.contains("budget.per_hour: 12.0 -> 38.0"));
    let json = ctl(&["diff", "--json", &trial, &production]);
    let changes: Value = serde_json::from_str(&json.out).expect("JSON");
    assert_eq!(changes[0]["key"], "budget.per_hour");
}

/// Guards against a promotion that is not the tested document with its overrides.
#[test]
fn promotion_verified() {
    let (trial, overrides) = (
        example("bakers-trial.toml"),
        example("bakers-overrides.toml"),
    );
    let made = ctl(&["promote", &trial, &overrides]);
    assert_eq!(made.status, Status::Done);
    let text = std::fs::read_to_string(example("bakers.toml")).expect("readable");
    let digest = |text: &str| Document::parse(text).expect("accepted").digest();
    assert_eq!(digest(&made.out), digest(&text));
    let verify = |file: &str| ctl(&["promote", "--verify", file, &trial, &overrides]);
    assert_eq!(verify(&example("bakers.toml")).status, Status::Done);
    let changed = Scratch::new(text.replace("per_hour = 38.00", "per_hour = 39.00"));
    let differs = verify(changed.path());
    assert_eq!(differs.status, Status::Failed);
    assert_eq!(differs.out, "budget.per_hour: 38.0 -> 39.0\n");
}

/// Guards against a check that stops at the first file or accepts a bad one.
#[test]
fn check_tells_each() {
    let bad = Scratch::new("[environment]\nname = \"x\"\n");
    let ended = ctl(&["check", bad.path(), &example("judges.toml")]);
    assert_eq!(ended.status, Status::Usage);
    assert!(ended.out.contains("judges.toml: accepted, digest "));
    assert!(
        ended
            .err
            .contains("line 1: environment.kind: found nothing")
    );
}

/// Guards against a digest that the document would not accept for the key.
#[test]
fn keygen_digest_matches() {
    let ended = ctl(&["keygen"]);
    let lines: Vec<_> = ended.out.split_whitespace().collect();
    let ["key", key, "digest", digest] = lines[..] else {
        panic!("{}", ended.out);
    };
    assert_eq!(key_digest(key).to_string(), digest);
}
