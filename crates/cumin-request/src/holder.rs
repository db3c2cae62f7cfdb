//! The second node's side: descriptors and tokens held for other nodes, and finished results.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Descriptor, Epoch, Millis, NodeName, Position, RequestId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Finish, Transcript};

/// Bounds of a [`Holder`].
#[derive(Clone, Copy, Debug)]
pub struct HolderOptions {
    /// Requests held at once.
    pub requests: usize,
    /// Time that a finished result is kept.
    pub keep: Millis,
    /// Memory for finished results, bytes.
    pub bytes: usize,
    /// Time after its deadline that an unfinished request is kept.
    pub linger: Millis,
}

impl Default for HolderOptions {
    fn default() -> Self {
        Self {
            requests: 20_000,
            keep: Millis(120_000),
            bytes: 32 << 20,
            linger: Millis(30_000),
        }
    }
}

/// New tokens of a request, from its owner to the second node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The request.
    pub id: RequestId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Position of the first token here.
    pub from: Position,
    /// The tokens.
    pub tokens: Vec<String>,
    /// The end, when it was reached.
    pub finish: Option<Finish>,
}

/// Answer to a [`Progress`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// Held up to this position.
    Stored(Position),
    /// Tokens are missing; send again from here.
    Resend(Position),
    /// Another node took the request over; the sender must stop.
    Superseded(Epoch),
    /// The request is not held here; send the descriptor again.
    Missing,
}

/// A request that can't be held.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// The bound on requests is reached.
    #[display("the bound of {limit} held requests is reached")]
    Full {
        /// The bound.
        limit: usize,
    },
    /// A higher epoch is held.
    #[display("superseded by epoch {epoch}")]
    Superseded {
        /// The epoch held.
        epoch: Epoch,
    },
}

/// A request as one node gives it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Given {
    /// The descriptor, with the time left to the deadline as of now.
    pub descriptor: Descriptor,
    /// The tokens.
    pub transcript: Transcript,
    /// The end, when it was reached.
    pub finish: Option<Finish>,
    /// Nodes that may take the request over as well: who gives it, and who holds it beside an
    /// owner that gives it. A taker shows no token before each of them agrees or is dead.
    pub beside: Vec<NodeName>,
}

#[derive(Clone, Debug)]
struct Held {
    descriptor: Descriptor,
    transcript: Transcript,
    finish: Option<Finish>,
    epoch: Epoch,
    deadline: Millis,
    gone: Millis,
}

impl Held {
    fn bytes(&self) -> usize {
        let finish = self.finish.as_ref().map_or(0, Finish::bytes);
        self.descriptor.body.len() + self.transcript.bytes() + finish
    }
}

/// Requests held for other nodes.
#[derive(Debug, Default)]
pub struct Holder {
    options: HolderOptions,
    held: HashMap<RequestId, Held>,
    // Finished requests in the order in which they are dropped.
    finished: BTreeMap<(Millis, RequestId), usize>,
    finished_bytes: usize,
}

impl Holder {
    /// Makes an empty holder.
    #[must_use]
    pub fn new(options: HolderOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of requests held, finished ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns true when nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Holds a request, or replaces what is held of it under a lower or equal epoch.
    ///
    /// # Errors
    /// When the bound is reached or a higher epoch is held.
    pub fn hold(&mut self, given: Given, now: Millis) -> Result<(), Refused> {
        let id = given.descriptor.id;
        match self.held.get(&id) {
            Some(old) if old.epoch > given.descriptor.epoch => {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // Two takers of one epoch would mix two generations; the first to arrive goes on. A
            // taker of a finished request must read the result instead of running it again.
            Some(old)
                if old.descriptor.owner != given.descriptor.owner
                    && (old.epoch == given.descriptor.epoch || old.finish.is_some()) =>
            {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // A take whose answer was lost can leave a node two copies of one epoch; the tokens
            // that were here first stay.
            Some(old)
                if old.epoch == given.descriptor.epoch
                    && !old.transcript.agrees(&given.transcript) =>
            {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // A late repeat must not take tokens back.
            Some(old) if old.finish.is_some() && given.finish.is_none() => return Ok(()),
            Some(old)
                if old.epoch == given.descriptor.epoch
                    && old.transcript.position() > given.transcript.position() =>
            {
                return Ok(());
            }
            _ => {}
        }
        if !self.held.contains_key(&id) && !self.make_room() {
            return Err(Refused::Full {
                limit: self.options.requests,
            });
        }
        let deadline = now.plus(given.descriptor.time_left.0);
        let done = given.finish.is_some();
        let held = Held {
            epoch: given.descriptor.epoch,
            descriptor: given.descriptor,
            transcript: given.transcript,
            finish: given.finish,
            deadline,
            gone: deadline.plus(self.options.linger.0),
        };
        self.forget(id);
        self.held.insert(id, held);
        if done {
            self.retire(id, now);
        }
        Ok(())
    }

    /// Adds tokens, and the end when it was reached.
    pub fn progress(&mut self, progress: Progress, now: Millis) -> Ack {
        let Some(held) = self.held.get_mut(&progress.id) else {
            return Ack::Missing;
        };
        if held.epoch > progress.epoch {
            return Ack::Superseded(held.epoch);
        }
        // The tokens held are of an older owner, and may differ from those of the sender.
        if held.epoch < progress.epoch {
            return Ack::Missing;
        }
        let position = held.transcript.position();
        if progress.from > position {
            return Ack::Resend(position);
        }
        let sent = progress.from.plus(progress.tokens.len() as u64);
        let same = held.transcript.since(progress.from).is_ok_and(|tokens| {
            tokens
                .zip(&progress.tokens)
                .all(|(held, sent)| held == sent)
        });
        if !same || (progress.finish.is_some() && sent < position) {
            return Ack::Superseded(held.epoch);
        }
        if held.finish.is_some() {
            return Ack::Stored(position.min(sent));
        }
        let known = usize::try_from(position.since(progress.from)).unwrap_or(usize::MAX);
        for token in progress.tokens.iter().skip(known) {
            held.transcript.push(token);
        }
        if progress.finish.is_some() {
            held.finish = progress.finish;
            self.retire(progress.id, now);
        }
        Ack::Stored(sent)
    }

    /// Returns a copy of a request, for a caller that reads its result.
    #[must_use]
    pub fn look(&self, id: RequestId, now: Millis) -> Option<Given> {
        self.held.get(&id).map(|held| given(held, now))
    }

    /// Raises the epoch of a request and gives it to `taker`; its present owner is superseded
    /// from now on. A finished request is given as it is.
    pub fn take(&mut self, id: RequestId, taker: &NodeName, now: Millis) -> Option<Given> {
        let held = self.held.get_mut(&id)?;
        if held.finish.is_none() {
            held.epoch = Epoch(held.epoch.0 + 1);
            held.descriptor.epoch = held.epoch;
            held.descriptor.owner = taker.clone();
        }
        Some(given(held, now))
    }

    /// Returns the unfinished requests whose owner is `owner`.
    #[must_use]
    pub fn owned_by(&self, owner: &NodeName) -> Vec<RequestId> {
        let mut ids: Vec<_> = self
            .held
            .values()
            .filter(|held| held.finish.is_none() && held.descriptor.owner == *owner)
            .map(|held| held.descriptor.id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Drops a request.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(held) = self.held.remove(&id)
            && let Some(bytes) = self.finished.remove(&(held.gone, id))
        {
            self.finished_bytes -= bytes;
        }
    }

    /// Drops results past their time and requests long past their deadline.
    pub fn expire(&mut self, now: Millis) {
        while let Some((&(gone, id), _)) = self.finished.first_key_value() {
            if gone > now {
                break;
            }
            self.forget(id);
        }
        self.held
            .retain(|_, held| held.finish.is_some() || held.gone > now);
    }

    /// Drops the oldest result when the bound is reached; false when all that is held still runs.
    fn make_room(&mut self) -> bool {
        if self.held.len() < self.options.requests {
            return true;
        }
        let Some((&(_, oldest), _)) = self.finished.first_key_value() else {
            return false;
        };
        self.forget(oldest);
        true
    }

    fn retire(&mut self, id: RequestId, now: Millis) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        // A finished request is never run again, so its prompt is not needed.
        held.descriptor.body = String::new();
        held.gone = now.plus(self.options.keep.0);
        let bytes = held.bytes();
        self.finished.insert((held.gone, id), bytes);
        self.finished_bytes += bytes;
        while self.finished_bytes > self.options.bytes {
            let Some((&(_, oldest), _)) = self.finished.first_key_value() else {
                break;
            };
            self.forget(oldest);
        }
    }
}

fn given(held: &Held, now: Millis) -> Given {
    let mut descriptor = held.descriptor.clone();
    descriptor.time_left = Millis(held.deadline.since(now));
    Given {
        descriptor,
        transcript: held.transcript.clone(),
        finish: held.finish.clone(),
        beside: Vec::new(),
    }
}
