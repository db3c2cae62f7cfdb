use cumin_core::Status;

use crate::support::{Output, TempFile, ctl, example, node};

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

/// Asserts exit status 2, an empty standard output, and each text on standard error.
fn assert_usage_error(output: &Output, texts: &[&str]) {
    assert_eq!(output.status, Status::Usage, "{output:?}");
    assert_eq!(output.stdout, "", "{output:?}");
    for text in texts {
        assert!(
            output.stderr.contains(text),
            "{text:?} is not in {output:?}"
        );
    }
}

/// Writes the settings with one replacement.
fn settings_with(from: &str, to: &str) -> TempFile {
    assert!(SETTINGS.contains(from));
    TempFile::new(SETTINGS.replace(from, to))
}

/// Guards against a node that starts with invalid settings, or reports only the first problem.
#[test]
fn settings_name_all_keys() {
    let document = example("bakers.toml");
    let bad = settings_with("127.0.0.1:3", "log.example:3");
    let text = std::fs::read_to_string(bad.path()).expect("readable");
    let bad = TempFile::new(text + "drain_ms = 0\nseed = []\n");
    let output = node(&["--settings", bad.path(), "--document", &document]);
    assert_usage_error(
        &output,
        &[
            "line 8: log_address: found \"log.example:3\"; accepted: a numeric address",
            "line 11: drain_ms: found 0",
            "line 12: seed: found an unknown key",
        ],
    );
}

/// Guards against a node that serves the document of another environment, place or region.
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
        let bad = settings_with(from, to);
        assert_usage_error(
            &node(&["--settings", bad.path(), "--document", &document]),
            &[key],
        );
    }
}

/// Guards against problems of the second file that are reported only when the first has none.
#[test]
fn both_files_reported() {
    let settings = settings_with("name = \"entry-1\"", "");
    let document = std::fs::read_to_string(example("bakers.toml")).expect("readable");
    let document = TempFile::new(document.replace("per_hour = 38.00", "per_hour = \"38\""));
    let output = node(&["--settings", settings.path(), "--document", document.path()]);
    assert_usage_error(
        &output,
        &["name: found nothing", "budget.per_hour: found \"38\""],
    );
}

/// Guards against a node that runs without a secret, or with one that is too short.
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
        let bad = settings_with(secret, to);
        assert_usage_error(
            &node(&["--settings", bad.path(), "--document", &document]),
            &[text],
        );
    }
}

/// Guards against a `--check` that rejects valid files.
#[test]
fn good_files_accepted() {
    let good = TempFile::new(SETTINGS);
    let document = example("bakers.toml");
    let output = node(&[
        "--settings",
        good.path(),
        "--document",
        &document,
        "--check",
    ]);
    assert_eq!(output.status, Status::Done, "{output:?}");
}

/// Guards against usage errors that name neither the wrong argument nor the expected one.
#[test]
fn usage_errors() {
    assert_usage_error(&ctl(&[]), &["usage: cuminctl COMMAND"]);
    assert_usage_error(&ctl(&["chek"]), &["\"chek\" is no command", "`check`"]);
    assert_usage_error(&ctl(&["dmo", "--json"]), &["`demo`"]);
    assert_usage_error(
        &ctl(&["demo", "--jsn"]),
        &["\"--jsn\" is no flag", "`--json`"],
    );
    assert_usage_error(&ctl(&["demo", "--input"]), &["--input: found nothing"]);
    assert_usage_error(&ctl(&["diff", "a"]), &["NEW: found nothing"]);
    assert_usage_error(&ctl(&["keygen", "b"]), &["unexpected argument \"b\""]);
    assert_usage_error(&node(&["--setting", "x"]), &["did you mean `--settings`?"]);
    assert_usage_error(
        &node(&["--settings", "x", "--log", "loud"]),
        &["--log: found \"loud\""],
    );
}

/// Guards against a demo that reviews an input that is not accepted, or ignores it.
#[test]
fn demo_input_checked() {
    assert_usage_error(
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
        let file = TempFile::new(content);
        assert_usage_error(
            &ctl(&["demo", "--input", file.path()]),
            &[file.path(), text],
        );
    }
}
