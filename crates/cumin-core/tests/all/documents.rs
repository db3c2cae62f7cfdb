use cumin_config::{Document, key_digest};
use cumin_core::Status;
use serde_json::Value;

use crate::support::{TempFile, ctl, example};

/// Guards against an exit status that tells a script that different documents are equal.
#[test]
fn diff_status() {
    let (trial, production) = (example("bakers-trial.toml"), example("bakers.toml"));
    let same = ctl(&["diff", &trial, &trial]);
    assert_eq!((same.status, same.stdout.as_str()), (Status::Done, ""));
    let differ = ctl(&["diff", &trial, &production]);
    assert_eq!(differ.status, Status::Failed);
    assert!(differ.stdout.contains("budget.per_hour: 12.0 -> 38.0"));
    let json = ctl(&["diff", "--json", &trial, &production]);
    let changes: Value = serde_json::from_str(&json.stdout).expect("JSON");
    assert_eq!(changes[0]["key"], "budget.per_hour");
}

/// Guards against a promotion that differs from the tested document with its overrides.
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
    assert_eq!(digest(&made.stdout), digest(&text));
    let verify = |file: &str| ctl(&["promote", "--verify", file, &trial, &overrides]);
    assert_eq!(verify(&example("bakers.toml")).status, Status::Done);
    let changed = TempFile::new(text.replace("per_hour = 38.00", "per_hour = 39.00"));
    let differs = verify(changed.path());
    assert_eq!(differs.status, Status::Failed);
    assert_eq!(differs.stdout, "budget.per_hour: 38.0 -> 39.0\n");
}

/// Guards against a check that stops at the first invalid file or accepts it.
#[test]
fn check_reports_each() {
    let bad = TempFile::new("[environment]\nname = \"x\"\n");
    let output = ctl(&["check", bad.path(), &example("judges.toml")]);
    assert_eq!(output.status, Status::Usage);
    assert!(output.stdout.contains("judges.toml: accepted, digest "));
    assert!(
        output
            .stderr
            .contains("line 1: environment.kind: found nothing")
    );
}

/// Guards against a generated digest with which a node would not accept the key.
#[test]
fn keygen_digest_matches() {
    let output = ctl(&["keygen"]);
    let lines: Vec<_> = output.stdout.split_whitespace().collect();
    let ["key", key, "digest", digest] = lines[..] else {
        panic!("{}", output.stdout);
    };
    assert_eq!(key_digest(key).to_string(), digest);
}
