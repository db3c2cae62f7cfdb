//! The second node's side: descriptors and tokens held for other nodes, and finished results.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Descriptor, Epoch, Millis, NodeName, Position, RequestId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Finish, Transcript};

/// Bounds of a [`ReplicaStore`].
#[derive(Clone, Copy, Debug)]
pub struct ReplicaStoreOptions {
    /// Requests held at once.
    pub max_requests: usize,
    /// Time that a finished result is kept.
    pub result_retention: Millis,
    /// Memory for finished results, bytes.
    pub result_bytes: usize,
    /// Time after its deadline that an unfinished request is kept.
    pub deadline_grace: Millis,
}

impl Default for ReplicaStoreOptions {
    fn default() -> Self {
        Self {
            max_requests: 20_000,
            result_retention: Millis(120_000),
            result_bytes: 32 << 20,
            deadline_grace: Millis(30_000),
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
pub struct Replica {
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
struct StoredReplica {
    descriptor: Descriptor,
    transcript: Transcript,
    finish: Option<Finish>,
    epoch: Epoch,
    deadline: Millis,
    expires_at: Millis,
}

impl StoredReplica {
    fn memory_bytes(&self) -> usize {
        let finish = self.finish.as_ref().map_or(0, Finish::memory_bytes);
        self.descriptor.body.len() + self.transcript.memory_bytes() + finish
    }
}

/// Requests held for other nodes.
#[derive(Debug, Default)]
pub struct ReplicaStore {
    options: ReplicaStoreOptions,
    replicas: HashMap<RequestId, StoredReplica>,
    // Finished requests in the order in which they are dropped.
    finished: BTreeMap<(Millis, RequestId), usize>,
    finished_bytes: usize,
}

impl ReplicaStore {
    /// Makes an empty holder.
    #[must_use]
    pub fn new(options: ReplicaStoreOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of requests held, finished ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns true when nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Holds a request, or replaces what is held of it under a lower or equal epoch.
    ///
    /// # Errors
    /// When the bound is reached or a higher epoch is held.
    pub fn store(&mut self, replica: Replica, now: Millis) -> Result<(), Refused> {
        let id = replica.descriptor.id;
        match self.replicas.get(&id) {
            Some(old) if old.epoch > replica.descriptor.epoch => {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // Two takers of one epoch would mix two generations; the first to arrive goes on. A
            // taker of a finished request must read the result instead of running it again.
            Some(old)
                if old.descriptor.owner != replica.descriptor.owner
                    && (old.epoch == replica.descriptor.epoch || old.finish.is_some()) =>
            {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // A take whose answer was lost can leave a node two copies of one epoch; the tokens
            // that were here first stay.
            Some(old)
                if old.epoch == replica.descriptor.epoch
                    && !old.transcript.agrees_with(&replica.transcript) =>
            {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // A late repeat must not take tokens back.
            Some(old) if old.finish.is_some() && replica.finish.is_none() => return Ok(()),
            Some(old)
                if old.epoch == replica.descriptor.epoch
                    && old.transcript.position() > replica.transcript.position() =>
            {
                return Ok(());
            }
            _ => {}
        }
        if !self.replicas.contains_key(&id) && !self.make_room() {
            return Err(Refused::Full {
                limit: self.options.max_requests,
            });
        }
        let deadline = now.plus(replica.descriptor.left.0);
        let is_finished = replica.finish.is_some();
        let held = StoredReplica {
            epoch: replica.descriptor.epoch,
            descriptor: replica.descriptor,
            transcript: replica.transcript,
            finish: replica.finish,
            deadline,
            expires_at: deadline.plus(self.options.deadline_grace.0),
        };
        self.remove(id);
        self.replicas.insert(id, held);
        if is_finished {
            self.mark_finished(id, now);
        }
        Ok(())
    }

    /// Adds tokens, and the end when it was reached.
    pub fn append(&mut self, progress: Progress, now: Millis) -> Ack {
        let Some(held) = self.replicas.get_mut(&progress.id) else {
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
        let sent_end = progress.from.plus(progress.tokens.len() as u64);
        let matches = held
            .transcript
            .tokens_from(progress.from)
            .is_ok_and(|tokens| {
                tokens
                    .zip(&progress.tokens)
                    .all(|(held, sent)| held == sent)
            });
        if !matches || (progress.finish.is_some() && sent_end < position) {
            return Ack::Superseded(held.epoch);
        }
        if held.finish.is_some() {
            return Ack::Stored(position.min(sent_end));
        }
        let known_count = usize::try_from(position.since(progress.from)).unwrap_or(usize::MAX);
        for token in progress.tokens.iter().skip(known_count) {
            held.transcript.push(token);
        }
        if progress.finish.is_some() {
            held.finish = progress.finish;
            self.mark_finished(progress.id, now);
        }
        Ack::Stored(sent_end)
    }

    /// Returns a copy of a request, for a caller that reads its result.
    #[must_use]
    pub fn snapshot(&self, id: RequestId, now: Millis) -> Option<Replica> {
        self.replicas.get(&id).map(|held| snapshot(held, now))
    }

    /// Raises the epoch of a request and gives it to `taker`; its present owner is superseded
    /// from now on. A finished request is given as it is.
    pub fn take_over(&mut self, id: RequestId, taker: &NodeName, now: Millis) -> Option<Replica> {
        let held = self.replicas.get_mut(&id)?;
        if held.finish.is_none() {
            held.epoch = Epoch(held.epoch.0 + 1);
            held.descriptor.epoch = held.epoch;
            held.descriptor.owner = taker.clone();
        }
        Some(snapshot(held, now))
    }

    /// Returns the unfinished requests whose owner is `owner`.
    #[must_use]
    pub fn owned_by(&self, owner: &NodeName) -> Vec<RequestId> {
        let mut ids: Vec<_> = self
            .replicas
            .values()
            .filter(|held| held.finish.is_none() && held.descriptor.owner == *owner)
            .map(|held| held.descriptor.id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Drops a request.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(held) = self.replicas.remove(&id)
            && let Some(bytes) = self.finished.remove(&(held.expires_at, id))
        {
            self.finished_bytes -= bytes;
        }
    }

    /// Drops results past their time and requests long past their deadline.
    pub fn expire(&mut self, now: Millis) {
        while let Some((&(expires_at, id), _)) = self.finished.first_key_value() {
            if expires_at > now {
                break;
            }
            self.remove(id);
        }
        self.replicas
            .retain(|_, held| held.finish.is_some() || held.expires_at > now);
    }

    /// Drops the oldest result when the bound is reached; false when all that is held still runs.
    fn make_room(&mut self) -> bool {
        if self.replicas.len() < self.options.max_requests {
            return true;
        }
        let Some((&(_, oldest), _)) = self.finished.first_key_value() else {
            return false;
        };
        self.remove(oldest);
        true
    }

    fn mark_finished(&mut self, id: RequestId, now: Millis) {
        let Some(held) = self.replicas.get_mut(&id) else {
            return;
        };
        // A finished request is never run again, so its prompt is not needed.
        held.descriptor.body = String::new();
        held.expires_at = now.plus(self.options.result_retention.0);
        let bytes = held.memory_bytes();
        self.finished.insert((held.expires_at, id), bytes);
        self.finished_bytes += bytes;
        while self.finished_bytes > self.options.result_bytes {
            let Some((&(_, oldest), _)) = self.finished.first_key_value() else {
                break;
            };
            self.remove(oldest);
        }
    }
}

fn snapshot(held: &StoredReplica, now: Millis) -> Replica {
    let mut descriptor = held.descriptor.clone();
    descriptor.left = Millis(held.deadline.since(now));
    Replica {
        descriptor,
        transcript: held.transcript.clone(),
        finish: held.finish.clone(),
        beside: Vec::new(),
    }
}
