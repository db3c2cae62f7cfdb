//! Targets of endpoint selection and of moves in a reclaim, on both workloads.

use cumin_bench::{Options, Report, User, command, run};

/// Checks every target on the default workloads, which have three reclaims.
fn check(seed: u64) {
    let report = run(&Options {
        seed,
        ..Options::default()
    });
    for user in [User::Bakers, User::Judges] {
        let row = |policy| report.row(user, policy).unwrap();
        let (estimate, drain) = (row("estimate"), row("estimate-no-export"));
        let least = row("least-loaded");
        assert!(2 * estimate.recomputed <= least.recomputed, "{report}");
        assert!(estimate.first <= least.first, "{report}");
        assert!(estimate.moves > 0 && drain.resumed > 0, "{report}");
        assert!(4 * estimate.resumed <= drain.resumed, "{report}");
        assert_eq!((estimate.lost, drain.lost), (0, 0), "{report}");
        assert!(estimate.gaps > 0, "{report}");
    }
    assert!(report.all_held(), "{report}");
}

/// Guards against a policy that recomputes too many tokens, is slower than `least-loaded`, or loses
/// requests in a reclaim, and against moves that lose the KV cache of running requests.
#[test]
fn targets_hold() {
    check(1);
}

/// Guards against targets that are met with one seed only.
#[test]
fn second_seed_holds() {
    check(2);
}

/// Guards against a simulation that depends on anything but its seed and settings, and against JSON
/// that does not contain the report.
#[test]
fn replay_is_deterministic() {
    let options = Options {
        seed: 5,
        arrival_seconds: 20,
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
