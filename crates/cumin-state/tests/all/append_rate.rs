//! Appends per action, the delay caused by the shared append rate, and the cost of refolding.
//!
//! Time is simulated. `--nocapture` prints the figures.

use std::collections::{BTreeMap, VecDeque};

use cumin_state::batch::Stream;
use cumin_state::claim::{Answer, Claim, Claims, Ending, Settle};
use cumin_state::fold::{Fold, Retention};
use cumin_state::pace::Pace;
use cumin_state::recorder::{Command, Effect, Input, Options, Recorder, Ticket, Verdict};
use cumin_state::writer;
use cumin_types::{ClaimKey, Millis, WallMillis};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::model::{Log, START, author, catch_up, fingerprint, id, key, rng, wall};

const SHARDS: u32 = 16;
/// Time between a request to the log and its response.
const LOG_DELAY_MS: u64 = 5;
/// Time between a grant and the outcome of the call.
const SERVICE_MS: u64 = 20;
/// Simulated duration of the load.
const LOAD_MS: u64 = 5_000;

struct Figures {
    /// Most appends in any one second.
    peak: usize,
    appends: usize,
    actions: u64,
    /// Sorted milliseconds from submission to grant.
    delays: Vec<u64>,
}

impl Figures {
    fn delay(&self, part: usize) -> u64 {
        self.delays[(self.delays.len() - 1) * part / 100]
    }
}

struct Node {
    pace: Pace,
    recorders: Vec<(u32, Recorder)>,
}

/// Submission time and body of each open claim by shard and ticket; `None` for a settlement.
type OpenSubmissions = BTreeMap<(u32, Ticket), Option<(u64, Claim)>>;

fn claim(number: u64, now: u64) -> Claim {
    let key = key(number, WallMillis(START + now));
    Claim {
        id: id(number),
        key,
        author: author(0, 1),
        fingerprint: fingerprint("same"),
    }
}

/// Runs `rate` actions per second over `nodes` nodes that share the shards evenly.
fn run(nodes: u32, rate: u64, paced: bool) -> Figures {
    let options = Options {
        max_pending: 100_000,
        ..Options::default()
    };
    let own = SHARDS / nodes;
    let mut cluster: Vec<Node> = (0..nodes)
        .map(|node| Node {
            pace: if paced {
                Pace::share(own, SHARDS)
            } else {
                Pace::unlimited()
            },
            recorders: (node * own..(node + 1) * own)
                .map(|shard| {
                    (
                        shard,
                        Recorder::new(options, shard, author(u64::from(node), 1)),
                    )
                })
                .collect(),
        })
        .collect();
    let (mut log, mut rng) = (Log::default(), rng(11));
    let mut responses: VecDeque<(u64, u32, Effect)> = VecDeque::new();
    let mut settles: VecDeque<(u64, Settle)> = VecDeque::new();
    let mut open: OpenSubmissions = BTreeMap::new();
    let mut sends: Vec<u64> = Vec::new();
    let mut figures = Figures {
        peak: 0,
        appends: 0,
        actions: 0,
        delays: Vec::new(),
    };
    let (mut next, mut number, mut now) = (500, 0, 0);
    while now < LOAD_MS + 500 || !open.is_empty() || !settles.is_empty() {
        let mut commands: Vec<Command> = Vec::new();
        while next <= now && now < LOAD_MS + 500 {
            number += 1;
            commands.push(Command::Claim(claim(number, now)));
            next += rng.random_range(0..=2_000 / rate);
        }
        while settles.front().is_some_and(|(at, _)| *at <= now) {
            commands.extend(
                settles
                    .pop_front()
                    .map(|(_, settle)| Command::Settle(settle)),
            );
        }
        for command in commands {
            let (key, claim): (&ClaimKey, _) = match &command {
                Command::Claim(claim) => (&claim.key, Some((now, claim.clone()))),
                Command::Settle(settle) => (&settle.key, None),
            };
            let shard = key.shard(SHARDS);
            let recorder = find(&mut cluster, shard);
            let ticket = recorder.submit(
                Millis(now),
                wall(Millis(now)),
                command,
                Millis(now + 30_000),
            );
            open.insert((shard, ticket), claim);
        }
        deliver(&mut log, &mut cluster, &mut responses, now, &mut rng);
        for node in &mut cluster {
            node.recorders
                .sort_by_key(|(_, recorder)| recorder.waiting_since());
            for (shard, recorder) in &mut node.recorders {
                if recorder.wake_at().is_none_or(|at| at > Millis(now)) {
                    continue;
                }
                let at = wall(Millis(now));
                for effect in recorder.poll(Millis(now), at, &mut node.pace, &mut rng) {
                    if let Effect::Append { .. } = effect {
                        sends.push(now);
                    }
                    let Effect::Answer { ticket, verdict } = effect else {
                        responses.push_back((now + LOG_DELAY_MS, *shard, effect));
                        continue;
                    };
                    let Some(Some((since, claim))) = open.remove(&(*shard, ticket)) else {
                        assert_eq!(verdict, Verdict::Recorded);
                        figures.actions += 1;
                        continue;
                    };
                    assert_eq!(verdict, Verdict::Granted);
                    figures.delays.push(now - since);
                    settles.push_back((now + SERVICE_MS, settle(&claim)));
                }
            }
        }
        now += 1;
    }
    figures.appends = sends.len();
    figures.delays.sort_unstable();
    figures.peak = (0..sends.len())
        .map(|first| sends.partition_point(|at| *at < sends[first] + 1_000) - first)
        .max()
        .unwrap_or(0);
    figures
}

/// Delivers the responses of the log to the requests sent [`LOG_DELAY_MS`] ago.
fn deliver(
    log: &mut Log,
    cluster: &mut [Node],
    responses: &mut VecDeque<(u64, u32, Effect)>,
    now: u64,
    rng: &mut ChaCha8Rng,
) {
    while responses.front().is_some_and(|(at, ..)| *at <= now) {
        let Some((_, shard, effect)) = responses.pop_front() else {
            break;
        };
        let recorder = find(cluster, shard);
        match effect {
            Effect::Append {
                stream,
                batch,
                body,
                ..
            } => {
                let offset = log.append(stream, body, wall(Millis(now)));
                let input = Input::Append(writer::Input::Appended { batch, offset });
                recorder.handle_input(Millis(now), input, rng);
            }
            Effect::Read {
                stream,
                from,
                limit,
                purpose,
            } => {
                let page = log.read(stream, from, limit);
                recorder.handle_input(
                    Millis(now),
                    Input::Read {
                        purpose,
                        from,
                        page: &page,
                    },
                    rng,
                );
            }
            Effect::Answer { .. } => {}
        }
    }
}

fn settle(claim: &Claim) -> Settle {
    let answer = Answer::new(200, None, "booked".into(), 1024);
    let ending = Ending::Done { answer };
    Settle {
        claim: claim.id,
        key: claim.key.clone(),
        author: claim.author.clone(),
        ending,
    }
}

fn find(cluster: &mut [Node], shard: u32) -> &mut Recorder {
    let mut all = cluster.iter_mut().flat_map(|node| &mut node.recorders);
    &mut all
        .find(|(own, _)| *own == shard)
        .expect("each shard has a recorder")
        .1
}

/// Guards against more than 150 appends per second over all nodes, up to 1,000 actions per second.
/// Also prints the delay at lighter load, which should not exceed what the rate requires.
#[test]
fn appends_within_rate() {
    println!("nodes  actions/s  paced  peak appends/s  appends/action  grant ms p50/p99/max");
    for (nodes, rate, paced) in [
        (1, 10, true),
        (1, 100, true),
        (1, 1_000, true),
        (4, 10, true),
        (4, 100, true),
        (4, 1_000, true),
        (1, 1_000, false),
    ] {
        let figures = run(nodes, rate, paced);
        let hundredths = figures.appends as u64 * 100 / figures.actions;
        println!(
            "{nodes:5}  {rate:9}  {paced:5}  {:14}  {:11}.{:02}  {}/{}/{}",
            figures.peak,
            hundredths / 100,
            hundredths % 100,
            figures.delay(50),
            figures.delay(99),
            figures.delay(100),
        );
        assert!(
            figures.actions > rate * LOAD_MS / 1_000 / 2,
            "{} actions",
            figures.actions
        );
        if paced {
            assert!(figures.peak <= 150, "{} appends in a second", figures.peak);
        }
    }
}

/// Guards against a refold whose cost grows with the number of live claims instead of the records
/// that retention keeps.
#[test]
fn refold_bounded() {
    const STREAM: Stream = Stream::Record(0);
    const PER_BATCH: u64 = 10;
    let retention = Retention {
        age_ms: u64::MAX,
        records: 400,
    };
    println!("live claims  records appended  kept  read by a refold  batches applied");
    for live in [1_000u64, 5_000, 20_000] {
        let (mut log, mut rng) = (Log::default(), rng(5));
        let mut fold = Fold::new(Claims::new(cumin_state::claim::Options::default()));
        let mut number = 0;
        while number < live {
            let records = (number..number + PER_BATCH)
                .map(|number| {
                    cumin_state::batch::encode(&cumin_state::claim::Record::Claim(claim(number, 0)))
                })
                .collect();
            number += PER_BATCH;
            let body = crate::model::body(1_000_000 + number, author(0, 1), records);
            log.append(STREAM, body, WallMillis(START));
            catch_up(&mut fold, &log, STREAM, 100);
            if fold.snapshot_due(WallMillis(START), retention) {
                for part in fold.snapshot(WallMillis(START), &mut rng) {
                    let number = rng.random::<u64>() | 1 << 63;
                    let body = crate::model::body(number, author(0, 1), vec![part]);
                    log.append(STREAM, body, WallMillis(START));
                }
                catch_up(&mut fold, &log, STREAM, 100);
            }
            let next = log.next(STREAM);
            log.trim(STREAM, next.saturating_sub(retention.records));
        }
        let mut fresh = Fold::new(Claims::new(cumin_state::claim::Options::default()));
        let read = catch_up(&mut fresh, &log, STREAM, 100);
        assert!(fresh == fold, "the refold differs");
        assert_eq!(fresh.state().len() as u64, live);
        let next = log.next(STREAM);
        let kept = next - log.first(STREAM);
        let applied = fresh.counts().applied / PER_BATCH;
        println!("{live:11}  {next:16}  {kept:4}  {read:16}  {applied:15}");
        assert!(kept <= retention.records);
        assert!(read <= 2 * retention.records, "{read} records read");
        assert!(applied <= retention.records, "{applied} batches applied");
    }
}
