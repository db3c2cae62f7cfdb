//! Simulated peers that each fold one stream and append to it, over a faulty connection to the log.

use cumin_state::batch::Stream;
use cumin_state::fold::{Fold, State};
use cumin_state::pace::Pace;
use cumin_state::writer::{Effect, Fate as Settled, Input, Options, Ticket, Writer};
use cumin_types::{LogOffset, Millis, RecordId, WallMillis};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::claim_world::Fate;
use crate::model::{Log, author, rng};

/// Clocks of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    pub now: Millis,
    pub wall: WallMillis,
}

pub struct Peer<S> {
    pub fold: Fold<S>,
    pub writer: Writer,
    pub incarnation: u64,
    pub paused: bool,
    pub fates: Vec<(Ticket, Settled)>,
}

pub enum LogRequest {
    Append {
        peer: usize,
        incarnation: u64,
        batch: RecordId,
        attempt: u64,
        body: Value,
    },
    Read {
        peer: usize,
        incarnation: u64,
        from: LogOffset,
        limit: u32,
    },
}

impl LogRequest {
    pub fn peer(&self) -> usize {
        match self {
            Self::Append { peer, .. } | Self::Read { peer, .. } => *peer,
        }
    }
}

pub struct Net<S> {
    pub log: Log,
    pub stream: Stream,
    pub peers: Vec<Peer<S>>,
    pub requests: Vec<LogRequest>,
    pub late_appends: Vec<Value>,
    pub rng: ChaCha8Rng,
    state: S,
}

impl<S: State> Net<S> {
    pub fn new(stream: Stream, peers: usize, state: S) -> Self {
        let mut net = Self {
            log: Log::default(),
            stream,
            peers: Vec::new(),
            requests: Vec::new(),
            late_appends: Vec::new(),
            rng: rng(3),
            state,
        };
        for peer in 0..peers {
            let new = net.peer(peer, 1);
            net.peers.push(new);
        }
        net
    }

    fn peer(&self, peer: usize, incarnation: u64) -> Peer<S> {
        let options = Options {
            page_records: 3,
            batch_records: 4,
            max_pending: 20,
            ..Options::default()
        };
        Peer {
            fold: Fold::new(self.state.clone()),
            writer: Writer::new(options, self.stream, author(peer as u64, incarnation)),
            incarnation,
            paused: false,
            fates: Vec::new(),
        }
    }

    pub fn restart(&mut self, peer: usize) {
        self.peers[peer] = self.peer(peer, self.peers[peer].incarnation + 1);
    }

    /// Folds one page; returns whether the fold is current.
    pub fn read(&mut self, peer: usize, limit: u32) -> bool {
        let peer = &mut self.peers[peer];
        let page = self.log.read(self.stream, peer.fold.read_from(), limit);
        let current = peer.fold.apply(&page).current;
        peer.writer.read_to(peer.fold.position());
        current
    }

    pub fn poll(&mut self, index: usize, clock: Clock) {
        let peer = &mut self.peers[index];
        if peer.paused {
            return;
        }
        let effects =
            peer.writer
                .poll(clock.now, clock.wall, &mut Pace::unlimited(), &mut self.rng);
        let incarnation = peer.incarnation;
        for effect in effects {
            match effect {
                Effect::Append {
                    batch,
                    attempt,
                    body,
                    ..
                } => {
                    self.requests.push(LogRequest::Append {
                        peer: index,
                        incarnation,
                        batch,
                        attempt,
                        body,
                    });
                }
                Effect::Read { from, limit, .. } => {
                    self.requests.push(LogRequest::Read {
                        peer: index,
                        incarnation,
                        from,
                        limit,
                    });
                }
                Effect::Settled { ticket, fate } => peer.fates.push((ticket, fate)),
            }
        }
    }

    pub fn append_late(&mut self, index: usize, at: WallMillis) {
        if !self.late_appends.is_empty() {
            let body = self.late_appends.remove(index % self.late_appends.len());
            self.log.append(self.stream, body, at);
        }
    }

    /// Delivers one request to the log and its response, with the log's time `at`.
    pub fn deliver(
        &mut self,
        index: usize,
        fate: Fate,
        at: WallMillis,
        clock: impl Fn(usize) -> Clock,
    ) {
        if self.requests.is_empty() {
            return;
        }
        match self.requests.remove(index % self.requests.len()) {
            LogRequest::Append {
                peer,
                incarnation,
                batch,
                attempt,
                body,
            } => {
                let input = match fate {
                    Fate::Served => {
                        let offset = self.log.append(self.stream, body, at);
                        Input::Appended { batch, offset }
                    }
                    Fate::Refused => Input::Refused { batch, attempt },
                    Fate::Dropped => Input::Lost { batch, attempt },
                    Fate::AnswerLost => {
                        self.log.append(self.stream, body, at);
                        Input::Lost { batch, attempt }
                    }
                    Fate::Late => {
                        self.late_appends.push(body);
                        Input::Lost { batch, attempt }
                    }
                };
                self.input(peer, incarnation, input, clock(peer));
            }
            LogRequest::Read {
                peer,
                incarnation,
                from,
                limit,
            } => {
                let page = self.log.read(self.stream, from, limit);
                let served = matches!(fate, Fate::Served);
                let input = if served {
                    Input::Read { from, page: &page }
                } else {
                    Input::ReadFailed
                };
                self.input(peer, incarnation, input, clock(peer));
            }
        }
    }

    fn input(&mut self, index: usize, incarnation: u64, input: Input<'_>, clock: Clock) {
        let peer = &mut self.peers[index];
        if peer.incarnation == incarnation {
            peer.writer.handle_input(clock.now, input, &mut self.rng);
        }
    }
}
