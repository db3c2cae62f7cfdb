//! Several nodes with calls and recorders of one shard over one log, under a schedule.
//!
//! The oracle is a plain list of what endpoints ran and what callers were told.

use std::collections::BTreeMap;

use cumin_state::batch::{Author, Stream};
use cumin_state::claim::{Answer, Claim, Ending, RecordedBody};
use cumin_state::entry::{Call, Step};
use cumin_state::fold::Retention;
use cumin_state::pace::Pace;
use cumin_state::recorder::{Command, Effect, Input, Options, Recorder, Ticket, Verdict};
use cumin_state::writer;
use cumin_types::{ClaimKey, LogOffset, Millis, Outcome, RecordId};
use cumin_wire::log::Records;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::model::{Log, author, fingerprint, key, rng, wall};

pub const STREAM: Stream = Stream::Record(0);
pub const NODES: usize = 3;
pub const KEYS: usize = 4;

/// What becomes of one message to the log.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Served,
    Refused,
    /// Never arrives; the sender sees no answer.
    Dropped,
    /// Takes effect; the sender sees no answer.
    AnswerLost,
    /// The sender sees no answer; it takes effect later.
    Late,
}

#[derive(Clone, Copy, Debug)]
pub enum Move {
    Call {
        node: usize,
        key: usize,
    },
    Advance {
        ms: u64,
    },
    Deliver {
        index: usize,
        fate: Fate,
    },
    Land {
        index: usize,
    },
    /// Delivers a submission or verdict, possibly twice, or drops it.
    Carry {
        index: usize,
        copies: u8,
    },
    End {
        index: usize,
        ending: u8,
    },
    Duty {
        node: usize,
        on: bool,
    },
    Pause {
        node: usize,
        on: bool,
    },
    Restart {
        node: usize,
    },
    /// Retention drops what the latest snapshot covers.
    Expire,
    /// Retention drops records that no snapshot covers.
    Trim {
        keep: u64,
    },
    Outage {
        on: bool,
    },
}

pub enum Wire {
    Append {
        node: usize,
        incarnation: u64,
        batch: RecordId,
        attempt: u64,
        body: Value,
    },
    Read {
        node: usize,
        incarnation: u64,
        from: LogOffset,
        limit: u32,
        purpose: cumin_state::recorder::Purpose,
    },
}

#[derive(Clone)]
pub enum Letter {
    Submit {
        from: usize,
        incarnation: u64,
        call: RecordId,
        command: Command,
        to: usize,
    },
    Verdict {
        to: usize,
        incarnation: u64,
        call: RecordId,
        command: Command,
        verdict: Verdict,
    },
}

pub struct Node {
    pub incarnation: u64,
    paused: bool,
    pub recorder: Option<Recorder>,
    waiting: BTreeMap<Ticket, (usize, u64, RecordId, Command)>,
    pub calls: Vec<Call>,
    pace: Pace,
}

/// What an endpoint was sent.
#[derive(Clone, Debug)]
struct Dispatch {
    key: ClaimKey,
    claim: RecordId,
    node: usize,
    incarnation: u64,
    ran: bool,
    ended: bool,
}

pub struct World {
    pub log: Log,
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub wires: Vec<Wire>,
    pub late: Vec<Value>,
    pub letters: Vec<Letter>,
    dispatches: Vec<Dispatch>,
    /// Claims whose callers were told that nothing ran.
    not_run: Vec<RecordId>,
    outage: bool,
    pub trimmed: bool,
    claims: u64,
    rng: ChaCha8Rng,
}

pub fn options() -> Options {
    Options {
        retention: Retention {
            age_ms: 20_000,
            records: 16,
        },
        page_records: 5,
        writer: writer::Options {
            page_records: 3,
            max_pending: 50,
            ..writer::Options::default()
        },
        ..Options::default()
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            log: Log::default(),
            now: Millis(0),
            nodes: Vec::new(),
            wires: Vec::new(),
            late: Vec::new(),
            letters: Vec::new(),
            dispatches: Vec::new(),
            not_run: Vec::new(),
            outage: false,
            trimmed: false,
            claims: 0,
            rng: rng(seed),
        };
        for node in 0..NODES {
            world.nodes.push(Node::new(node, 1, node == 0));
        }
        world
    }

    pub fn step(&mut self, step: Move) {
        match step {
            Move::Call { node, key } => self.call(node % NODES, key % KEYS),
            Move::Advance { ms } => self.now = self.now.plus(ms),
            Move::Deliver { index, fate } if !self.wires.is_empty() => {
                let wire = self.wires.remove(index % self.wires.len());
                let fate = match fate {
                    Fate::Served | Fate::AnswerLost if self.outage => Fate::Dropped,
                    fate => fate,
                };
                self.deliver(wire, fate);
            }
            Move::Land { index } if !self.late.is_empty() => {
                let body = self.late.remove(index % self.late.len());
                self.log.append(STREAM, body, wall(self.now));
            }
            Move::Carry { index, copies } if !self.letters.is_empty() => {
                let letter = self.letters.remove(index % self.letters.len());
                for _ in 0..copies {
                    self.carry(letter.clone());
                }
            }
            Move::End { index, ending } => self.end(index, ending),
            Move::Duty { node, on } => self.duty(node % NODES, on),
            Move::Pause { node, on } => {
                let node = &mut self.nodes[node % NODES];
                if node.paused
                    && !on
                    && let Some(recorder) = node.recorder.as_mut()
                {
                    recorder.resume();
                }
                node.paused = on;
            }
            Move::Restart { node } => {
                let node = node % NODES;
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = Node::new(node, incarnation, false);
            }
            Move::Expire => self.log.expire(STREAM),
            Move::Trim { keep } => {
                let first = self.log.next(STREAM).saturating_sub(keep);
                self.log.trim(STREAM, first);
                self.trimmed = true;
            }
            Move::Outage { on } => self.outage = on,
            Move::Deliver { .. } | Move::Land { .. } | Move::Carry { .. } => {}
        }
        self.poll();
    }

    fn call(&mut self, node: usize, index: usize) {
        self.claims += 1;
        let made = crate::model::START - 1_000;
        let claim = Claim {
            id: cumin_state::batch::new_id(wall(self.now), &mut self.rng),
            key: key(index as u64, cumin_types::WallMillis(made)),
            author: author(node as u64, self.nodes[node].incarnation),
            fingerprint: fingerprint("same"),
        };
        let deadline = self.now.plus(2_000);
        self.nodes[node].calls.push(Call::new(claim, deadline));
    }

    fn duty(&mut self, node: usize, on: bool) {
        let incarnation = self.nodes[node].incarnation;
        let node_state = &mut self.nodes[node];
        match node_state.recorder.as_mut() {
            Some(recorder) if on => recorder.take_shard(),
            Some(recorder) => recorder.lose_shard(),
            None if on => {
                node_state.recorder = Some(Recorder::new(
                    options(),
                    0,
                    author(node as u64, incarnation),
                ));
            }
            None => {}
        }
    }

    fn deliver(&mut self, wire: Wire, fate: Fate) {
        match wire {
            Wire::Append {
                node,
                incarnation,
                batch,
                attempt,
                body,
            } => {
                let input = match fate {
                    Fate::Served => {
                        let offset = self.log.append(STREAM, body, wall(self.now));
                        writer::Input::Appended { batch, offset }
                    }
                    Fate::Refused => writer::Input::Refused { batch, attempt },
                    Fate::Dropped => writer::Input::Lost { batch, attempt },
                    Fate::AnswerLost => {
                        self.log.append(STREAM, body, wall(self.now));
                        writer::Input::Lost { batch, attempt }
                    }
                    Fate::Late => {
                        self.late.push(body);
                        writer::Input::Lost { batch, attempt }
                    }
                };
                self.input(node, incarnation, Input::Append(input));
            }
            Wire::Read {
                node,
                incarnation,
                from,
                limit,
                purpose,
            } => {
                if matches!(fate, Fate::Served) {
                    let page: Records = self.log.read(STREAM, from, limit);
                    self.input(
                        node,
                        incarnation,
                        Input::Read {
                            purpose,
                            from,
                            page: &page,
                        },
                    );
                } else {
                    self.input(node, incarnation, Input::ReadFailed { purpose });
                }
            }
        }
    }

    fn input(&mut self, node: usize, incarnation: u64, input: Input<'_>) {
        let now = self.now;
        let node = &mut self.nodes[node];
        if node.incarnation == incarnation
            && let Some(recorder) = node.recorder.as_mut()
        {
            recorder.handle_input(now, input, &mut self.rng);
        }
    }

    fn carry(&mut self, letter: Letter) {
        let now = self.now;
        match letter {
            Letter::Submit {
                from,
                incarnation,
                call,
                command,
                to,
            } => {
                let node = &mut self.nodes[to];
                if node.paused {
                    return;
                }
                let Some(recorder) = node.recorder.as_mut() else {
                    return;
                };
                let deadline = now.plus(1_000);
                let ticket = recorder.submit(now, wall(now), command.clone(), deadline);
                node.waiting
                    .insert(ticket, (from, incarnation, call, command));
            }
            Letter::Verdict {
                to,
                incarnation,
                call,
                command,
                verdict,
            } => {
                let incarnations: Vec<Author> = (0..NODES)
                    .map(|n| author(n as u64, self.nodes[n].incarnation))
                    .collect();
                let node = &mut self.nodes[to];
                if node.incarnation != incarnation || node.paused {
                    return;
                }
                let gone = |author: &Author| !incarnations.contains(author);
                let Some(call) = node.calls.iter_mut().find(|one| one.claim().id == call) else {
                    return;
                };
                let claim = call.claim().clone();
                if let Some(step) = call.verdict(now, &command, &verdict, gone) {
                    self.act(to, &claim, step);
                }
            }
        }
    }

    fn act(&mut self, node: usize, claim: &Claim, step: Step) {
        let incarnation = self.nodes[node].incarnation;
        match step {
            Step::Submit(command) => {
                let on_duty = |n: &Node| n.recorder.as_ref().is_some_and(Recorder::is_active);
                let recorders: Vec<usize> =
                    (0..NODES).filter(|n| on_duty(&self.nodes[*n])).collect();
                // Consecutive submissions go to different recorders.
                let turn = usize::try_from(self.now.0 / 500).expect("small");
                if let Some(to) = recorders.get(turn % recorders.len().max(1)) {
                    let call = claim.id;
                    self.letters.push(Letter::Submit {
                        from: node,
                        incarnation,
                        call,
                        command,
                        to: *to,
                    });
                }
            }
            Step::Dispatch => {
                for other in self.dispatches.iter().filter(|one| one.key == claim.key) {
                    assert!(
                        other.ended && !other.ran,
                        "{} dispatched {:?} while {other:?} may have an effect",
                        node,
                        claim.id
                    );
                }
                assert!(
                    !self.not_run.contains(&claim.id),
                    "dispatched after not_run was told"
                );
                self.dispatches.push(Dispatch {
                    key: claim.key.clone(),
                    claim: claim.id,
                    node,
                    incarnation,
                    ran: true,
                    ended: false,
                });
            }
            Step::Replay(answer) => {
                let RecordedBody::Whole(body) = answer.body else {
                    panic!("a short answer is kept")
                };
                let ran = self
                    .dispatches
                    .iter()
                    .any(|one| one.claim.to_string() == body && one.ran);
                assert!(ran, "an answer was replayed that no endpoint gave");
            }
            Step::Mismatch => panic!("every call has the same body"),
            Step::Report(Outcome::NotRun, _) => {
                let ran = self.dispatches.iter().any(|one| one.claim == claim.id);
                assert!(!ran, "not_run was told of a dispatched call");
                self.not_run.push(claim.id);
            }
            Step::Report(..) => {}
        }
    }

    /// Ends a dispatched call: answered, unknown, or refused by the endpoint before it ran.
    fn end(&mut self, index: usize, ending: u8) {
        let alive = |one: &Dispatch| self.nodes[one.node].incarnation == one.incarnation;
        let open: Vec<usize> = (0..self.dispatches.len())
            .filter(|n| !self.dispatches[*n].ended && alive(&self.dispatches[*n]))
            .collect();
        let Some(index) = open.get(index % open.len().max(1)).copied() else {
            return;
        };
        let dispatch = &mut self.dispatches[index];
        let node = &mut self.nodes[dispatch.node];
        if node.paused {
            return;
        }
        dispatch.ended = true;
        let ending = match ending % 3 {
            0 => Ending::Done {
                answer: Answer::new(200, None, dispatch.claim.to_string(), 1024),
            },
            1 => Ending::Unknown,
            _ => {
                dispatch.ran = false;
                Ending::NotRun
            }
        };
        let claim = dispatch.claim;
        if let Some(call) = node.calls.iter_mut().find(|call| call.claim().id == claim) {
            call.record_ending(self.now, ending);
        }
    }

    fn poll(&mut self) {
        let now = self.now;
        for index in 0..NODES {
            if self.nodes[index].paused {
                continue;
            }
            for call in 0..self.nodes[index].calls.len() {
                while let Some(step) = self.nodes[index].calls[call].poll(now) {
                    let claim = self.nodes[index].calls[call].claim().clone();
                    self.act(index, &claim, step);
                }
            }
            let node = &mut self.nodes[index];
            let Some(recorder) = node.recorder.as_mut() else {
                continue;
            };
            let effects = recorder.poll(now, wall(now), &mut node.pace, &mut self.rng);
            let incarnation = node.incarnation;
            for effect in effects {
                match effect {
                    Effect::Append {
                        batch,
                        attempt,
                        body,
                        ..
                    } => {
                        self.wires.push(Wire::Append {
                            node: index,
                            incarnation,
                            batch,
                            attempt,
                            body,
                        });
                    }
                    Effect::Read {
                        from,
                        limit,
                        purpose,
                        ..
                    } => {
                        self.wires.push(Wire::Read {
                            node: index,
                            incarnation,
                            from,
                            limit,
                            purpose,
                        });
                    }
                    Effect::Answer { ticket, verdict } => {
                        let Some((to, incarnation, call, command)) = node.waiting.remove(&ticket)
                        else {
                            continue;
                        };
                        self.letters.push(Letter::Verdict {
                            to,
                            incarnation,
                            call,
                            command,
                            verdict,
                        });
                    }
                }
            }
        }
    }
}

impl Node {
    fn new(index: usize, incarnation: u64, duty: bool) -> Self {
        let recorder = duty.then(|| Recorder::new(options(), 0, author(index as u64, incarnation)));
        Self {
            incarnation,
            paused: false,
            recorder,
            waiting: BTreeMap::new(),
            calls: Vec::new(),
            pace: Pace::new(50, 5),
        }
    }
}
