use cumin_core::Status;

use crate::support::{Ended, Scratch, ctl, example, node};

const SETTINGS: &str = r#"
name = "entry-1"
place = "hamilton"
region = "waikato"
environment = "bakers"
listen = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
log_address = "127.0.0.1:3"
cloud_address = "127.0.0.1:4"
secret = "0123456789-0123456789-0123456789"
"#;

/// Asserts status 2, nothing on standard output, and each text in the errors.
fn refused(ended: &Ended, texts: &[&str]) {
    assert_eq!(ended.status, Status::Usage, "{ended:?}");
    assert_eq!(ended.out, "", "{ended:?}");
    for text in texts {
        assert!(ended.err.contains(text), "{text:?} is not in {ended:?}");
    }
}

fn with(from: &str, to: &str) -> Scratch {
    assert!(SETTINGS.contains(from));
    Scratch::new(SETTINGS.replace(from, to))
}

/// Guards against a node that starts with bad settings, or tells only the first problem.
#[test]
fn settings_name_all_keys() {
    let document = example("bakers.toml");
    let bad = with("127.0.0.1:3", "log.example:3");
    let text = std::fs::read_to_string(bad.path()).expect("readable");
    let bad = Scratch::new(text + "drain_ms = 0\nseed = []\n");
    let ended = node(&["--settings", bad.path(), "--document", &document]);
    refused(
        &ended,
        &[
            "line 8: log_address: found \"log.example:3\"; accepted: a numeric address",
            "line 11: drain_ms: found 0",
            "line 12: seed: found an unknown key",
        ],
    );
}

/// Guards against a node of one environment that serves another's document.
#[test]
fn settings_match_document() {
    let document = example("bakers.toml");
    for (from, to, key) in [
        ("\"bakers\"", "\"judges\"", "environment: found \"judges\""),
        ("\"hamilton\"", "\"graz-a\"", "place: found \"graz-a\""),
        (
            "\"waikato\"",
            "\"steiermark\"",
            "region: found \"steiermark\"",
        ),
    ] {
        let bad = with(from, to);
        refused(
            &node(&["--settings", bad.path(), "--document", &document]),
            &[key],
        );
    }
}

/// Guards against problems of the second file that show only after the first is repaired.
#[test]
fn both_files_reported() {
    let settings = with("name = \"entry-1\"", "");
    let document = std::fs::read_to_string(example("bakers.toml")).expect("readable");
    let document = Scratch::new(document.replace("per_hour = 38.00", "per_hour = \"38\""));
    let ended = node(&["--settings", settings.path(), "--document", document.path()]);
    refused(
        &ended,
        &["name: found nothing", "budget.per_hour: found \"38\""],
    );
}

/// Guards against a node that runs without a secret.
#[test]
fn secrets_checked() {
    let document = example("bakers.toml");
    let secret = "secret = \"0123456789-0123456789-0123456789\"";
    for (to, text) in [
        ("secret = \"short\"", "secret: found"),
        ("", "secret_file: found nothing"),
        (
            "secret_file = \"/nowhere/secret\"",
            "secret_file /nowhere/secret can't be read",
        ),
    ] {
        let bad = with(secret, to);
        refused(
            &node(&["--settings", bad.path(), "--document", &document]),
            &[text],
        );
    }
}

/// Guards against `--check` that refuses good files.
#[test]
fn good_files_accepted() {
    let good = Scratch::new(SETTINGS);
    let document = example("bakers.toml");
    let ended = node(&[
        "--settings",
        good.path(),
        "--document",
        &document,
        "--check",
    ]);
    assert_eq!(ended.status, Status::Done, "{ended:?}");
}

/// Guards against usage errors that don't say what is meant.
#[test]
fn usage_named() {
    refused(&ctl(&[]), &["usage: cuminctl COMMAND"]);
    refused(&ctl(&["chek"]), &["\"chek\" is no command", "`check`"]);
    refused(&ctl(&["dmo", "--json"]), &["`demo`"]);
    refused(
        &ctl(&["demo", "--jsn"]),
        &["\"--jsn\" is no flag", "`--json`"],
    );
    refused(&ctl(&["demo", "--input"]), &["--input: found nothing"]);
    refused(&ctl(&["diff", "a"]), &["NEW: found nothing"]);
    refused(&ctl(&["keygen", "b"]), &["unexpected argument \"b\""]);
    refused(&node(&["--setting", "x"]), &["did you mean `--settings`?"]);
    refused(
        &node(&["--settings", "x", "--log", "loud"]),
        &["--log: found \"loud\""],
    );
}

/// Guards against a demo that reviews a text that it can't read, or goes on without it.
#[test]
fn demo_input_checked() {
    refused(
        &ctl(&["demo", "--input", "/nowhere/log.txt"]),
        &["--input /nowhere/log.txt"],
    );
    for (content, text) in [
        (b"".to_vec(), "an empty text"),
        (b" \n\t".to_vec(), "an empty text"),
        (b"rye \xff loaf".to_vec(), "no UTF-8 at byte 4"),
        (b"a ".repeat(131_072), "accepted: at most 130572 words"),
        (vec![b'a'; 3_000_000], "2000000 bytes"),
    ] {
        let file = Scratch::new(content);
        refused(
            &ctl(&["demo", "--input", file.path()]),
            &[file.path(), text],
        );
    }
}
