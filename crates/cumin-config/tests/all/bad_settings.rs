use cumin_config::{Limits, SecretError, Settings};

use crate::{BAKERS, edit, one_problem, parse_valid};

const TEXT: &str = r#"
name = "entry-1"
place = "hamilton"
region = "waikato"
environment = "bakers"
listen = "0.0.0.0:8080"
advertise = "10.0.0.5:8080"
peer_listen = "10.0.0.5:8081"
seeds = ["10.0.0.6:8081", "10.0.1.5:8081"]
log_address = "10.0.9.1:7001"
cloud_address = "10.0.9.2:7002"
secret = "0123456789abcdef0123456789abcdef"
probe_period_ms = 300

[limits]
connections = 100
"#;

/// Guards against a key whose value or default is lost in parsing.
#[test]
fn values_and_defaults() {
    let found = Settings::parse(TEXT).expect("valid");
    assert_eq!(
        found.caller_address(),
        "10.0.0.5:8080".parse().expect("an address")
    );
    assert_eq!(found.peer_address(), found.peer_listen);
    assert_eq!(found.probe_period_ms.0, 300);
    assert_eq!(found.drain_ms, Settings::default().drain_ms);
    assert_eq!(
        found.limits,
        Limits {
            connections: 100,
            ..Limits::default()
        }
    );
    found
        .check(&parse_valid(BAKERS))
        .expect("a place of the document");
    let other = Settings {
        place: "raglan".into(),
        environment: "x".into(),
        ..found
    };
    assert_eq!(
        other
            .check(&parse_valid(BAKERS))
            .expect_err("another place")
            .0
            .len(),
        2
    );
}

/// Guards against an example that a node rejects.
#[test]
fn example_is_valid() {
    let text = include_str!("../../../../examples/node.toml");
    let found = Settings::parse(text).unwrap_or_else(|problems| panic!("{problems}"));
    found
        .check(&parse_valid(BAKERS))
        .expect("a place of the document");
    assert_eq!(found.limits, Limits::default());
}

/// Guards against a node that starts with unreachable addresses or with settings that it ignores.
#[test]
#[rustfmt::skip]
fn bad_values() {
    for (from, to, key, at, accepted) in [
        ("advertise = \"10.0.0.5:8080\"\n", "", "advertise", "", "connect to"),
        ("\"10.0.0.5:8080\"", "\"0.0.0.0:8080\"", "advertise", "0.0.0.0", "of an instance"),
        ("\"10.0.0.5:8080\"", "\"localhost:8080\"", "advertise", "localhost", "numeric address"),
        ("\"10.0.0.5:8081\"", "\"10.0.0.5:0\"", "peer_listen", ":0", "1 to 65535"),
        ("\"10.0.0.5:8081\"", "\"0.0.0.0:8080\"\npeer_advertise = \"10.0.0.5:8080\"", "peer_listen", "peer_listen", "another"),
        ("\"10.0.1.5:8081\"", "\"10.0.1.5\"", "seeds[1]", "seeds", "numeric address"),
        ("\"10.0.9.1:7001\"", "\"http://10.0.9.1:7001\"", "log_address", "http", "numeric address"),
        ("secret = ", "secret_file = \"/run/secret\"\nsecret = ", "secret", "secret = ", "no such key"),
        ("secret = \"0123456789abcdef0123456789abcdef\"\n", "", "secret_file", "", "the path"),
        ("0123456789abcdef0123456789abcdef", "  0123456789abcdef0123456789      ", "secret", "secret = ", "32 characters"),
        ("probe_period_ms = 300", "probe_period_ms = 1", "probe_period_ms", "= 1", "from 20 to 10000, in milliseconds"),
        ("connections = 100", "connections = 0", "limits.connections", "= 0", "from 1"),
        ("connections = 100", "sockets = 100", "limits.sockets", "sockets", "connections"),
        ("name = \"entry-1\"", "name = \"Entry 1\"", "name", "Entry", "a-z"),
    ] {
        let text = edit(TEXT, from, to);
        one_problem(Settings::parse(&text), &text, key, at, accepted);
    }
}

/// Guards against logs and error messages that show the shared secret.
#[test]
fn secrets_are_not_shown() {
    let text = edit(TEXT, "0123456789abcdef0123456789abcdef", "hunter2");
    let problem = one_problem(
        Settings::parse(&text),
        &text,
        "secret",
        "secret",
        "32 characters",
    );
    assert!(!problem.to_string().contains("hunter2"), "{problem}");
    let found = Settings::parse(TEXT).expect("valid");
    assert!(!format!("{found:?}").contains("0123456789"), "{found:?}");
}

/// Guards against a node that runs without a secret or with one that is easy to guess.
#[test]
fn secret_files() {
    let load = |secret_file: Option<&str>| {
        let secret_file = secret_file.map(Into::into);
        let settings = Settings {
            secret_file,
            ..Settings::default()
        };
        settings.load_secret()
    };
    assert!(matches!(load(None), Err(SecretError::Missing)));
    assert!(matches!(
        load(Some("no-such-file")),
        Err(SecretError::Unreadable { .. })
    ));
    let path = std::env::temp_dir().join(format!("cumin-secret-{}", std::process::id()));
    let file = path.to_str().expect("a text");
    std::fs::write(&path, "short\n").expect("written");
    let short = load(Some(file));
    std::fs::write(&path, "0123456789abcdef0123456789abcdef\n").expect("written");
    let good = load(Some(file));
    std::fs::remove_file(&path).expect("removed");
    assert!(matches!(short, Err(SecretError::Short { chars: 5 })));
    assert_eq!(good.expect("long enough").expose().len(), 32);
}
