use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use cumin_config::Document;
use cumin_core::Status;
use cumin_testbed::{Options, SECRET, Testbed};

use crate::support::{Ended, Scratch, ctl, example};

/// Guards against commands that take an unreachable node or an incomplete command line for a
/// refusal of the change.
#[test]
fn unreachable_and_incomplete() {
    let secret = Scratch::new(SECRET);
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
        let ended = ctl(&[command, &node].concat());
        assert_eq!(ended.status, Status::Refused, "{ended:?}");
        assert!(ended.err.contains("127.0.0.1:9"), "{ended:?}");
        let ended = ctl(command);
        assert_eq!(ended.status, Status::Usage, "{ended:?}");
        assert!(ended.err.contains("--node"), "{ended:?}");
    }
}

fn done(ended: &Ended, status: Status, texts: &[&str]) {
    assert_eq!(ended.status, status, "{ended:?}");
    for text in texts {
        let found = ended.out.contains(text) || ended.err.contains(text);
        assert!(found, "{text:?} is not in {ended:?}");
    }
}

/// Guards against commands whose exit status or output does not tell what became of a change.
#[test]
fn operator_commands() {
    let (started, address) = mpsc::channel();
    let system = thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let text = include_str!("../../../../examples/bakers.toml");
            let document = Document::parse(text).expect("the example is valid");
            let bed = Testbed::start(document, Options::default()).await;
            let bed = bed.expect("the testbed starts");
            started
                .send(bed.peer_address(0).expect("the node runs").to_string())
                .expect("the test waits");
            let begin = Instant::now();
            while !bed.take_drain_order(0) {
                assert!(begin.elapsed() < Duration::from_mins(1), "no drain");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        });
    });
    let node = address.recv().expect("the testbed starts");
    let secret = Scratch::new(SECRET);
    let call = |command: &[&str]| {
        let target = ["--node", &node, "--secret-file", secret.path()];
        let ended = ctl(&[command, &target].concat());
        println!(
            "$ cuminctl {}\n{}{}",
            command.join(" "),
            ended.out,
            ended.err
        );
        ended
    };
    let text = std::fs::read_to_string(example("bakers.toml")).expect("readable");
    let first =
        Scratch::new(text.replace("requests_per_second = 30.0", "requests_per_second = 25.0"));
    let second =
        Scratch::new(text.replace("requests_per_second = 20.0", "requests_per_second = 15.0"));
    let bad =
        Scratch::new(text.replace("requests_per_second = 30.0", "requests_per_second = -1.0"));

    let ended = call(&["apply", first.path(), "--base", "0", "--by", "anahera"]);
    done(&ended, Status::Done, &["accepted: revision 1"]);
    let ended = call(&["apply", second.path(), "--base", "0", "--by", "wiremu"]);
    let key = "organisations.cambridge-loaves.quota.requests_per_second";
    done(&ended, Status::Broken, &["revision 1 by anahera", key]);
    let ended = call(&["apply", bad.path(), "--by", "wiremu"]);
    done(&ended, Status::Usage, &["found -1"]);
    let ended = call(&[
        "apply",
        second.path(),
        "--base",
        "0",
        "--by",
        "wiremu",
        "--json",
    ]);
    done(&ended, Status::Broken, &[r#""outcome": "conflict""#]);
    let key = "organisations.hamilton-ovens.quota.requests_per_second";
    done(&call(&["history"]), Status::Done, &["anahera", key]);
    done(
        &call(&["history", "--json"]),
        Status::Done,
        &[r#""revision": 1"#],
    );
    let ended = call(&["status"]);
    done(
        &ended,
        Status::Done,
        &["revision 1", "entry-4", "oven-desk"],
    );
    done(
        &call(&["status", "--json"]),
        Status::Done,
        &[r#""ready": true"#],
    );
    done(
        &call(&["explain", "entry-2"]),
        Status::Done,
        &["take_shard"],
    );
    done(
        &call(&["explain", "nobody"]),
        Status::Done,
        &["no node knows of nobody"],
    );

    let wrong = Scratch::new("demo-hamilton-ovens-1");
    let ended = ctl(&["drain", "--node", &node, "--secret-file", wrong.path()]);
    done(&ended, Status::Refused, &["401"]);
    done(&call(&["drain"]), Status::Done, &["entry-1 drains"]);
    system.join().expect("the node was told to drain");
}
