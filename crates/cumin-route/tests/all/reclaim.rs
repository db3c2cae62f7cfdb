//! Order and timing of the moves in a reclaim.

use cumin_route::{
    Move, MoveMethod, MoveProgress, MoveTarget, ReclaimOptions, RunningRequest, rank_reclaim,
};
use cumin_types::{AttemptId, Millis, Priority};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use uuid::Uuid;

fn running(number: u128, tokens: u64, bytes: u64) -> RunningRequest {
    RunningRequest {
        attempt: AttemptId(Uuid::from_u128(number)),
        endpoint: "old".into(),
        model: "m".into(),
        tokens,
        bytes,
        priority: Priority::Normal,
        deadline: None,
        remaining: None,
        generating: true,
        cached: Vec::new(),
        progress: MoveProgress::Waiting,
    }
}

fn target(name: &str, free: u64) -> MoveTarget {
    MoveTarget {
        endpoint: name.into(),
        place: "graz-b".into(),
        models: vec!["m".into()],
        free_slots: free,
        leaving: false,
    }
}

fn options(left: u64) -> ReclaimOptions {
    ReclaimOptions {
        time_left: Millis(left),
        bandwidth: 1e6,
        margin: Millis(1000),
        call_time: Millis(0),
    }
}

fn order(moves: &[Move]) -> Vec<(u128, bool)> {
    let step = |step: &Move| (step.attempt.0.as_u128(), step.how != MoveMethod::Resume);
    moves.iter().map(step).collect()
}

/// Guards against transfers that save few tokens taking the time of those that save many, and
/// against transfers that still run when the endpoint stops.
#[test]
fn saved_per_second() {
    let mut cached = running(3, 9000, 1_000_000);
    cached.cached = vec![("b".into(), 8900)];
    let all = [
        running(1, 1000, 1_000_000),
        running(2, 4000, 2_000_000),
        cached,
        running(4, 500, 400_000),
    ];
    let targets = [target("a", 9), target("b", 9)];
    // 3.5 s less the margin of 1 s leave 2.5 s: 2 s for request 2 and 0.4 s for request 4.
    let moves = rank_reclaim(&all, &options(3500), &targets);
    assert_eq!(
        order(&moves),
        [(2, true), (4, true), (1, false), (3, false)]
    );
    assert_eq!(moves[3].to, Some("b".into()));
    assert_eq!(moves[3].prefill_tokens, 100);
    assert!(moves.iter().all(|step| step.ends_ms <= 2500.0));
}

/// Guards against an urgent request moved after one without a deadline.
#[test]
fn urgent_first() {
    let late = RunningRequest {
        deadline: Some(Millis(9000)),
        ..running(1, 100, 1)
    };
    let soon = RunningRequest {
        deadline: Some(Millis(4000)),
        ..running(3, 100, 1)
    };
    let moves = rank_reclaim(
        &[late, running(2, 100, 1), soon],
        &options(0),
        &[target("a", 1)],
    );
    assert_eq!(order(&moves), [(3, false), (1, false), (2, false)]);
}

/// Guards against moves to an endpoint that is leaving too, and against a request that is left out
/// when no endpoint can take it.
#[test]
fn leaving_target() {
    let leaving = MoveTarget {
        leaving: true,
        ..target("a", 9)
    };
    let moves = rank_reclaim(&[running(1, 10, 1)], &options(9000), &[leaving]);
    assert_eq!(moves.len(), 1);
    assert_eq!((&moves[0].how, &moves[0].to), (&MoveMethod::Resume, &None));
}

/// Guards against a transfer of a request that ends in time, and against leaving a request at its
/// endpoint when it would not end in time.
#[test]
fn stay_in_time() {
    let brief = RunningRequest {
        remaining: Some(Millis(2000)),
        ..running(1, 1000, 1_000_000)
    };
    let targets = [target("a", 1)];
    let how = |left| {
        rank_reclaim(std::slice::from_ref(&brief), &options(left), &targets)[0]
            .how
            .clone()
    };
    assert_eq!(how(3000), MoveMethod::Stay);
    assert_eq!(how(2900), MoveMethod::Export);
    assert_eq!(how(1500), MoveMethod::Resume);
}

/// Guards against moving a stream earlier than needed, and against continuing a prefill that has
/// to be repeated.
#[test]
fn latest_start() {
    let prefill = RunningRequest {
        generating: false,
        ..running(2, 9000, 9_000_000)
    };
    let all = [running(1, 9000, 9_000_000), prefill];
    let moves = rank_reclaim(&all, &options(4000), &[target("a", 4)]);
    let starts: Vec<_> = moves
        .iter()
        .map(|step| (step.how.clone(), step.starts_ms))
        .collect();
    assert_eq!(
        starts,
        [(MoveMethod::Resume, 3000.0), (MoveMethod::Resume, 0.0)]
    );
}

/// Guards against a log line without the figures behind the move.
#[test]
fn move_line() {
    let moves = rank_reclaim(
        &[running(1, 1000, 1_000_000)],
        &options(9000),
        &[target("a", 1)],
    );
    let line = moves[0].to_string();
    assert!(
        line.contains("from=old to=a how=export saved=1000"),
        "{line}"
    );
}

fn requests(sources: u8) -> impl Strategy<Value = Vec<RunningRequest>> {
    let one = (
        0..sources,
        1..5000u64,
        1..900u64,
        proptest::option::of(0..9000u64),
        proptest::option::of((0..3usize, 0..6000u64)),
    );
    proptest::collection::vec(one, 1..20).prop_map(|list| {
        let names = ["a", "b", "c"];
        list.into_iter()
            .zip(1..)
            .map(
                |((from, tokens, bytes, deadline, cached), number)| RunningRequest {
                    endpoint: ["old", "older"][usize::from(from)].into(),
                    deadline: deadline.map(Millis),
                    cached: cached
                        .map(|(index, tokens)| (names[index].into(), tokens))
                        .into_iter()
                        .collect(),
                    ..running(number, tokens, bytes * 1000)
                },
            )
            .collect()
    })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a node that takes over a reclaim and repeats, drops, redirects or reorders
    /// moves.
    #[test]
    fn takeover_continues(list in requests(1), done in 0..20usize, exported in any::<bool>(), left in 0..8000u64) {
        let targets: Vec<_> = ["a", "b", "c"].map(|name| target(name, 20)).into();
        let first = rank_reclaim(&list, &options(left), &targets);
        prop_assert_eq!(first.len(), list.len());
        // The first `done` moves are made, which takes the time of their transfers. With
        // `exported`, the next one is exported already.
        let done = done.min(first.len());
        let (mut list, mut after, mut spent) = (list, targets, 0);
        for step in &first[..done] {
            let request = list.iter_mut().find(|one| one.attempt == step.attempt).unwrap();
            request.progress = MoveProgress::Moved;
            spent += if step.how == MoveMethod::Resume { 0 } else { request.bytes / 1000 };
            let to = step.to.clone().unwrap();
            after.iter_mut().find(|target| target.endpoint == to).unwrap().free_slots -= 1;
        }
        if let Some(next) = first.get(done).filter(|next| exported && next.how == MoveMethod::Export) {
            let request = list.iter_mut().find(|one| one.attempt == next.attempt).unwrap();
            request.progress = MoveProgress::Exported { handle: "h".into(), to: next.to.clone().unwrap() };
        }
        let left = left - spent;
        let again = rank_reclaim(&list, &options(left), &after);
        let parts = |step: &Move| (step.attempt, step.to.clone(), step.how != MoveMethod::Resume, step.prefill_tokens);
        let rest: Vec<_> = first[done..].iter().map(parts).collect();
        prop_assert_eq!(again.iter().map(parts).collect::<Vec<_>>(), rest);
        prop_assert_eq!(rank_reclaim(&list, &options(left), &after), again);
    }

    /// Guards against a request that gets no move or two, whichever moves are made already and
    /// however few slots the targets have.
    #[test]
    fn each_once(list in requests(2), moved in any::<u32>(), free in 0..3u64, left in 0..8000u64) {
        let mut list = list;
        for (index, one) in list.iter_mut().enumerate() {
            if moved & (1 << index) != 0 {
                one.progress = MoveProgress::Moved;
            }
        }
        let moves = rank_reclaim(&list, &options(left), &[target("a", free), target("b", free)]);
        let mut got: Vec<_> = moves.iter().map(|step| step.attempt).collect();
        got.sort_unstable();
        let open = list.iter().filter(|one| one.progress != MoveProgress::Moved);
        prop_assert_eq!(got, open.map(|one| one.attempt).collect::<Vec<_>>());
        prop_assert!(moves.iter().all(|step| step.to.is_some()));
    }

    /// Guards against planned transfers that end within the margin.
    #[test]
    fn transfers_fit(list in requests(2), left in 0..8000u64) {
        let targets = [target("a", 3), target("b", 3), target("c", 3)];
        let moves = rank_reclaim(&list, &options(left), &targets);
        let mut transfer_ends = std::collections::HashMap::new();
        for step in moves.iter().filter(|step| step.how != MoveMethod::Resume) {
            let request = list.iter().find(|one| one.attempt == step.attempt).unwrap();
            let transfer_end: &mut u64 = transfer_ends.entry(step.from.clone()).or_default();
            *transfer_end += request.bytes / 1000;
            prop_assert!(*transfer_end <= left.saturating_sub(1000));
        }
    }
}
