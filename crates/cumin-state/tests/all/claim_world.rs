//! Simulation of several nodes that run calls and recorders of one shard over one log, driven by a
//! schedule of actions.
//!
//! The oracle is a plain list of the calls that endpoints ran and the outcomes reported to callers.

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

/// Fate of one request to the log.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Served,
    Refused,
    /// The request is lost; the sender gets no response.
    Dropped,
    /// The request takes effect; its response is lost.
    AnswerLost,
    /// The sender gets no response; the request takes effect later.
    Late,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Call {
        node: usize,
        key: usize,
    },
    Advance {
        ms: u64,
    },
    Serve {
        index: usize,
        fate: Fate,
    },
    AppendLate {
        index: usize,
    },
    /// Delivers a submission or a verdict `copies` times; zero drops it.
    Deliver {
        index: usize,
        copies: u8,
    },
    End {
        index: usize,
        ending: u8,
    },
    SetRecorder {
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

pub enum LogRequest {
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
pub enum Message {
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
    submissions: BTreeMap<Ticket, (usize, u64, RecordId, Command)>,
    pub calls: Vec<Call>,
    pace: Pace,
}

/// Call that was dispatched to an endpoint.
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
    pub requests: Vec<LogRequest>,
    pub late_appends: Vec<Value>,
    pub messages: Vec<Message>,
    dispatches: Vec<Dispatch>,
    /// Claims whose callers were told `not_run`.
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
            requests: Vec::new(),
            late_appends: Vec::new(),
            messages: Vec::new(),
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

    pub fn step(&mut self, action: Action) {
        match action {
            Action::Call { node, key } => self.call(node % NODES, key % KEYS),
            Action::Advance { ms } => self.now = self.now.plus(ms),
            Action::Serve { index, fate } if !self.requests.is_empty() => {
                let request = self.requests.remove(index % self.requests.len());
                let fate = match fate {
                    Fate::Served | Fate::AnswerLost if self.outage => Fate::Dropped,
                    fate => fate,
                };
                self.serve_request(request, fate);
            }
            Action::AppendLate { index } if !self.late_appends.is_empty() => {
                let body = self.late_appends.remove(index % self.late_appends.len());
                self.log.append(STREAM, body, wall(self.now));
            }
            Action::Deliver { index, copies } if !self.messages.is_empty() => {
                let message = self.messages.remove(index % self.messages.len());
                for _ in 0..copies {
                    self.deliver_message(message.clone());
                }
            }
            Action::End { index, ending } => self.end(index, ending),
            Action::SetRecorder { node, on } => self.set_recorder(node % NODES, on),
            Action::Pause { node, on } => {
                let node = &mut self.nodes[node % NODES];
                if node.paused
                    && !on
                    && let Some(recorder) = node.recorder.as_mut()
                {
                    recorder.resume();
                }
                node.paused = on;
            }
            Action::Restart { node } => {
                let node = node % NODES;
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = Node::new(node, incarnation, false);
            }
            Action::Expire => self.log.expire(STREAM),
            Action::Trim { keep } => {
                let first = self.log.next(STREAM).saturating_sub(keep);
                self.log.trim(STREAM, first);
                self.trimmed = true;
            }
            Action::Outage { on } => self.outage = on,
            Action::Serve { .. } | Action::AppendLate { .. } | Action::Deliver { .. } => {}
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

    fn set_recorder(&mut self, node: usize, on: bool) {
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

    fn serve_request(&mut self, request: LogRequest, fate: Fate) {
        match request {
            LogRequest::Append {
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
                        self.late_appends.push(body);
                        writer::Input::Lost { batch, attempt }
                    }
                };
                self.input(node, incarnation, Input::Append(input));
            }
            LogRequest::Read {
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

    fn deliver_message(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Submit {
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
                node.submissions
                    .insert(ticket, (from, incarnation, call, command));
            }
            Message::Verdict {
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
                    self.perform(to, &claim, step);
                }
            }
        }
    }

    fn perform(&mut self, node: usize, claim: &Claim, step: Step) {
        let incarnation = self.nodes[node].incarnation;
        match step {
            Step::Submit(command) => {
                let is_active = |n: &Node| n.recorder.as_ref().is_some_and(Recorder::is_active);
                let recorders: Vec<usize> =
                    (0..NODES).filter(|n| is_active(&self.nodes[*n])).collect();
                // Consecutive submissions go to different recorders.
                let turn = usize::try_from(self.now.0 / 500).expect("small");
                if let Some(to) = recorders.get(turn % recorders.len().max(1)) {
                    let call = claim.id;
                    self.messages.push(Message::Submit {
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
                    "dispatched after not_run was reported"
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
                assert!(!ran, "not_run was reported for a dispatched call");
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
                    self.perform(index, &claim, step);
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
                        self.requests.push(LogRequest::Append {
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
                        self.requests.push(LogRequest::Read {
                            node: index,
                            incarnation,
                            from,
                            limit,
                            purpose,
                        });
                    }
                    Effect::Answer { ticket, verdict } => {
                        let Some((to, incarnation, call, command)) =
                            node.submissions.remove(&ticket)
                        else {
                            continue;
                        };
                        self.messages.push(Message::Verdict {
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
    fn new(index: usize, incarnation: u64, is_recorder: bool) -> Self {
        let recorder =
            is_recorder.then(|| Recorder::new(options(), 0, author(index as u64, incarnation)));
        Self {
            incarnation,
            paused: false,
            recorder,
            submissions: BTreeMap::new(),
            calls: Vec::new(),
            pace: Pace::new(50, 5),
        }
    }
}
