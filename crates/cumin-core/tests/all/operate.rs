use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use cumin_config::Document;
use cumin_core::Status;
use cumin_testbed::{Options, SECRET, Testbed};

use crate::support::{Output, TempFile, ctl, example};

/// Guards against commands that report an unreachable node or an incomplete command line with the
/// exit status of another error.
#[test]
fn call_errors_reported() {
    let secret = TempFile::new(SECRET);
    // Nothing listens on the discard port.
    let node = ["--node", "127.0.0.1:9", "--secret-file", secret.path()];
    let document = example("bakers.toml");
    for command in [
        &["status"][..],
        &["history"],
        &["explain", "entry-1"],
        &["drain"],
        &["apply", &document, "--by", "anahera"],
    ] {
        let output = ctl(&[command, &node].concat());
        assert_eq!(output.status, Status::Unavailable, "{output:?}");
        assert!(output.stderr.contains("127.0.0.1:9"), "{output:?}");
        let output = ctl(command);
        assert_eq!(output.status, Status::Usage, "{output:?}");
        assert!(output.stderr.contains("--node"), "{output:?}");
    }
}

/// Asserts the exit status, and each text on standard output or standard error.
fn assert_output(output: &Output, status: Status, texts: &[&str]) {
    assert_eq!(output.status, status, "{output:?}");
    for text in texts {
        let found = output.stdout.contains(text) || output.stderr.contains(text);
        assert!(found, "{text:?} is not in {output:?}");
    }
}

/// Guards against commands whose exit status or output does not tell the result of a call.
#[test]
fn operator_commands() {
    let (started, address) = mpsc::channel();
    let system = thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let text = include_str!("../../../../examples/bakers.toml");
            let document = Document::parse(text).expect("the example is valid");
            let testbed = Testbed::start(document, Options::default()).await;
            let testbed = testbed.expect("the testbed starts");
            started
                .send(testbed.peer_address(0).expect("the node runs").to_string())
                .expect("the test waits");
            let begin = Instant::now();
            while !testbed.take_drain_order(0) {
                assert!(begin.elapsed() < Duration::from_mins(1), "no drain");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        });
    });
    let node = address.recv().expect("the testbed starts");
    let secret = TempFile::new(SECRET);
    let call = |command: &[&str]| {
        let target = ["--node", &node, "--secret-file", secret.path()];
        let output = ctl(&[command, &target].concat());
        println!(
            "$ cuminctl {}\n{}{}",
            command.join(" "),
            output.stdout,
            output.stderr
        );
        output
    };
    let text = std::fs::read_to_string(example("bakers.toml")).expect("readable");
    let first =
        TempFile::new(text.replace("requests_per_second = 30.0", "requests_per_second = 25.0"));
    let second =
        TempFile::new(text.replace("requests_per_second = 20.0", "requests_per_second = 15.0"));
    let bad =
        TempFile::new(text.replace("requests_per_second = 30.0", "requests_per_second = -1.0"));

    let output = call(&["apply", first.path(), "--base", "0", "--by", "anahera"]);
    assert_output(&output, Status::Done, &["accepted: revision 1"]);
    let output = call(&["apply", second.path(), "--base", "0", "--by", "wiremu"]);
    let key = "organisations.cambridge-loaves.quota.requests_per_second";
    assert_output(&output, Status::Failed, &["revision 1 by anahera", key]);
    let output = call(&["apply", bad.path(), "--by", "wiremu"]);
    assert_output(&output, Status::Usage, &["found -1"]);
    let output = call(&[
        "apply",
        second.path(),
        "--base",
        "0",
        "--by",
        "wiremu",
        "--json",
    ]);
    assert_output(&output, Status::Failed, &[r#""outcome": "conflict""#]);
    let key = "organisations.hamilton-ovens.quota.requests_per_second";
    assert_output(&call(&["history"]), Status::Done, &["anahera", key]);
    assert_output(
        &call(&["history", "--json"]),
        Status::Done,
        &[r#""revision": 1"#],
    );
    let output = call(&["status"]);
    assert_output(
        &output,
        Status::Done,
        &["revision 1", "entry-4", "oven-desk"],
    );
    assert_output(
        &call(&["status", "--json"]),
        Status::Done,
        &[r#""ready": true"#],
    );
    assert_output(
        &call(&["explain", "entry-2"]),
        Status::Done,
        &["take_shard"],
    );
    assert_output(
        &call(&["explain", "nobody"]),
        Status::Done,
        &["no node knows of nobody"],
    );

    let wrong = TempFile::new("demo-hamilton-ovens-1");
    let output = ctl(&["drain", "--node", &node, "--secret-file", wrong.path()]);
    assert_output(&output, Status::Unavailable, &["401"]);
    assert_output(&call(&["drain"]), Status::Done, &["entry-1 drains"]);
    system.join().expect("the node was told to drain");
}
