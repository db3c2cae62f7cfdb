//! Targets of endpoint selection and reclaim on both workloads.

use cumin_bench::{Options, Report, User, command, run};

/// Checks every bound on the standard workloads, which have three reclaims.
fn check(seed: u64) {
    let report = run(&Options {
        seed,
        ..Options::default()
    });
    for user in [User::Bakers, User::Judges] {
        let row = |policy| report.row(user, policy).unwrap();
        let (own, drain) = (row("estimate"), row("estimate-no-export"));
        let least = row("least-loaded");
        assert!(2 * own.recomputed <= least.recomputed, "{report}");
        assert!(own.first <= least.first, "{report}");
        assert!(own.moves > 0 && drain.resumed > 0, "{report}");
        assert!(4 * own.resumed <= drain.resumed, "{report}");
        assert_eq!((own.lost, drain.lost), (0, 0), "{report}");
        assert!(own.gaps > 0, "{report}");
    }
    assert!(report.held(), "{report}");
}

/// Guards against a policy that repeats prefill, is slower than the simple one, or loses requests
/// in a reclaim; and against a reclaim that does not save what running requests have computed.
#[test]
fn hold() {
    check(1);
}

/// Guards against targets that hold on one seed only.
#[test]
fn hold_again() {
    check(2);
}

/// Guards against a replay that depends on anything but its seed, and against JSON that does not
/// say what the table says.
#[test]
fn repeats() {
    let options = Options {
        seed: 5,
        seconds: 20,
        json: true,
        ..Options::default()
    };
    let mut texts = [Vec::new(), Vec::new()];
    for text in &mut texts {
        command(&options, text).unwrap();
    }
    assert_eq!(texts[0], texts[1]);
    let read: Report = serde_json::from_slice(&texts[0]).unwrap();
    assert_eq!(read.rows.len(), 10);
    assert_eq!(read.rows, run(&options).rows);
}
