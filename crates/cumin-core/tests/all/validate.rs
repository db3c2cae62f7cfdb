use cumin_core::Status;
use serde_json::{Value, json};

use crate::support::{Output, TempFile, ctl, example};

/// A document of the users' platform without findings, one item a line.
const SOUND: &str = r#"{"version": 3,
"routes": [
{"name": "chat", "host": "h", "path_prefix": "/chat/", "route_type": "streaming", "service": "engine", "timeout_ms": 5000, "target_latency_ms": 500},
{"name": "book", "host": "h", "path_prefix": "/book/", "route_type": "unsafe", "service": "desk", "timeout_ms": 3000}
],
"services": [
{"name": "engine", "max_connections": 100, "engine": {"slots": 16, "kv_tokens": 1000}, "scale_limits": {"min": 1, "max": 4}},
{"name": "desk", "max_connections": 10}
],
"limits": {"max_header_bytes": 16384},
"tenants": [
{"name": "org", "api_keys": ["secret-1"], "rate_per_s": 2, "burst": 4}
]}
"#;

fn validate(text: &str) -> Output {
    let file = TempFile::new(text);
    ctl(&["validate", file.path()])
}

/// Returns the output for the sound document with a text replaced.
fn replaced(from: &str, to: &str) -> Output {
    assert!(SOUND.contains(from), "{from}");
    validate(&SOUND.replacen(from, to, 1))
}

/// Guards against findings about sound documents, which would hide others.
#[test]
fn sound() {
    let output = validate(SOUND);
    assert_eq!((output.status, &*output.stdout), (Status::Done, ""));
    for name in ["bakers.toml", "judges.toml", "bakers-trial.toml"] {
        let output = ctl(&["validate", &example(name)]);
        assert_eq!(output.stdout, "", "{name}");
        assert_eq!(output.status, Status::Done, "{name}");
    }
}

/// Guards against a finding that is missed, or that names another line or item.
#[test]
fn platform_findings() {
    let cases = [
        (
            "/book/",
            "/chat/",
            r#"line 3: route "chat" (h/chat/): never matches: route "book" below has the same host and prefix"#,
        ),
        (
            "/book/",
            "/book",
            r#"line 4: route "book" (h/book): never matches: the prefix does not begin and end with a slash"#,
        ),
        (
            r#""service": "desk""#,
            r#""service": "dusk""#,
            r#"line 4: route "book" (h/book/): error: there is no service "dusk""#,
        ),
        (
            r#""service": "desk""#,
            r#""service": "dusk""#,
            r#"line 8: service "desk": never matches: no route uses it"#,
        ),
        (
            r#"_ms": 500}"#,
            r#"_ms": 6000}"#,
            r#"line 3: route "chat" (h/chat/): contradiction: the goal of 6000 ms exceeds the timeout of 5000 ms"#,
        ),
        (
            r#""min": 1"#,
            r#""min": 5"#,
            r#"line 7: service "engine": contradiction: the minimum of 5 endpoints exceeds the maximum of 4"#,
        ),
        (
            r#""max_connections": 100"#,
            r#""max_connections": 8"#,
            r#"line 7: service "engine": contradiction: its engines have 16 slots but accept 8 connections"#,
        ),
        (
            r#""burst": 4"#,
            r#""burst": 0.5"#,
            r#"line 12: organisation "org": contradiction: the burst of 0.5 is smaller than one request, which takes 1"#,
        ),
        (
            r#""rate_per_s": 2, "burst": 4"#,
            r#""unit": "tokens", "plain_tokens": 9, "rate_per_s": 2, "burst": 8"#,
            r#"line 12: organisation "org": contradiction: the burst of 8 is smaller than one request, which takes 9"#,
        ),
        (
            r#"["secret-1"]"#,
            r#"["secret-1", "secret-1"]"#,
            r#"line 12: organisation "org": error: a key occurs twice, also at "org""#,
        ),
        (
            r#""max_header_bytes": 16384"#,
            r#""max_header_bytes": 0"#,
            "line 10: limits: contradiction: a maximum size of a head of 0 allows nothing",
        ),
        (
            r#""max_connections": 10}"#,
            r#""max_connections": "ten"}"#,
            "line 8: document: error: found a value that is not shown; expected u32",
        ),
        (
            r#"["secret-1"]"#,
            r#""secret-1""#,
            "line 12: document: error: found a value that is not shown; expected a sequence",
        ),
        (
            r#""version": 3,"#,
            r#""version": 3, "routes": [],"#,
            "line 2: document: error: duplicate field `routes`",
        ),
    ];
    for (from, to, line) in cases {
        let output = replaced(from, to);
        let found = output.stdout.lines().any(|found| found.starts_with(line));
        assert!(found, "{line}\n{}", output.stdout);
        assert_eq!(output.status, Status::Failed, "{line}");
        assert!(!output.stdout.contains("secret-1"), "{}", output.stdout);
    }
}

/// Guards against differences that are missed, and against keys of callers in the output.
#[test]
fn platform_differences() {
    let old = TempFile::new(SOUND);
    let new = SOUND
        .replace("5000", "4000")
        .replace("secret-1", "secret-2")
        .replace(
            r#"{"name": "desk", "max_connections": 10}"#,
            r#"{"name": "desk", "max_connections": 20}"#,
        );
    let new = TempFile::new(new);
    let output = ctl(&["validate", "--in-force", old.path(), new.path()]);
    assert_eq!(output.status, Status::Failed);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert_eq!(
        lines[0],
        r#"line 3: route "chat" (h/chat/) timeout: change: 5000 -> 4000"#
    );
    assert_eq!(
        lines[1],
        r#"line 8: service "desk" connections: change: 10 -> 20"#
    );
    assert!(lines[2].starts_with(r#"line 12: organisation "org" keys: change: ["#));
    assert!(!output.stdout.contains("secret"), "{lines:?}");
    let same = ctl(&["validate", "--in-force", old.path(), old.path()]);
    assert_eq!((same.status, &*same.stdout), (Status::Done, ""));
    let json = ctl(&["validate", "--json", "--in-force", old.path(), new.path()]);
    let found: Value = serde_json::from_str(&json.stdout).expect("JSON");
    assert_eq!(found[0]["line"], json!(3));
    assert_eq!(found[0]["kind"], json!("change"));
}

/// Guards against the same for a document in TOML.
#[test]
fn toml_findings() {
    let path = example("bakers.toml");
    let text = std::fs::read_to_string(&path).expect("readable");
    let unused =
        "\n[classes.gpu-9x48]\naccelerators = 9\naccelerator_memory_gib = 48\nmemory_gib = 96\n";
    let line = text.lines().count() + 2;
    let output = validate(&(text.clone() + unused));
    assert_eq!(output.status, Status::Failed);
    assert_eq!(
        output.stdout,
        format!(
            "line {line}: classes.gpu-9x48: never matches: neither entries nor services use it\n"
        )
    );
    let covered = text.replacen(
        "idempotent = [",
        "idempotent = [{ method = \"POST\", path = \"/x/{rest...}\" }, { method = \"POST\", path = \"/x/y/{z}\" }, ",
        1,
    );
    let output = validate(&covered);
    let expected =
        "never matches: `POST /x/y/{z}` matches nothing that `POST /x/{rest...}` does not";
    assert!(output.stdout.contains(expected), "{}", output.stdout);
    let invalid = validate(&text.replacen("per_hour = 38.00", "per_hour = -1", 1));
    assert_eq!(invalid.status, Status::Failed);
    assert!(
        invalid
            .stdout
            .contains(": budget.per_hour: error: found -1; accepted: ")
    );
    let changed = TempFile::new(text.replace("per_hour = 38.00", "per_hour = 39.00"));
    let output = ctl(&["validate", "--in-force", &path, changed.path()]);
    assert_eq!(output.status, Status::Failed);
    let line = text
        .lines()
        .position(|line| line == "per_hour = 38.00")
        .expect("a budget");
    let expected = format!("line {}: budget.per_hour: change: 38.0 -> 39.0\n", line + 1);
    assert_eq!(output.stdout, expected);
}

/// Guards against input that can't be read and is reported as findings, or as none.
#[test]
fn unreadable() {
    let sound = TempFile::new(SOUND);
    let broken = TempFile::new("{\"version\": 3,");
    let not_toml = TempFile::new("[environment\n");
    for args in [
        vec!["validate", "/nowhere/document"],
        vec!["validate", broken.path()],
        vec!["validate", not_toml.path()],
        vec!["validate", "--in-force", broken.path(), sound.path()],
        vec!["validate"],
    ] {
        let output = ctl(&args);
        assert_eq!(output.status, Status::Usage, "{args:?}");
        assert_eq!(output.stdout, "", "{args:?}");
        assert!(output.stderr.starts_with("error: "), "{}", output.stderr);
    }
}
