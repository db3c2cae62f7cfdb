//! Replicas of requests that other nodes own, and results of finished requests.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Descriptor, Epoch, Millis, NodeName, Position, RequestId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{Finish, Transcript};

/// Limits of a [`ReplicaStore`].
#[derive(Clone, Copy, Debug)]
pub struct ReplicaStoreOptions {
    /// Maximum number of replicas, finished ones included.
    pub max_requests: usize,
    /// How long a finished result is kept.
    pub result_retention: Millis,
    /// Maximum memory for finished results, in bytes.
    pub result_bytes: usize,
    /// How long an unfinished request is kept after its deadline.
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

/// New tokens of a request, sent by its owner to the second node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Id of the request.
    pub id: RequestId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Position before the first of `tokens`.
    pub from: Position,
    /// The new tokens.
    pub tokens: Vec<String>,
    /// The end of the request, if it has ended.
    pub finish: Option<Finish>,
}

/// The response to a [`Progress`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// The tokens are stored up to this position.
    Stored(Position),
    /// Tokens are missing; the owner must send again from this position.
    Resend(Position),
    /// Another node has taken the request over; the sender must stop.
    Superseded(Epoch),
    /// The request has no replica here; the owner must send the whole request again.
    Missing,
}

/// Why a replica is not stored.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// The limit on the number of replicas is reached.
    #[display("the bound of {limit} held requests is reached")]
    Full {
        /// The limit.
        limit: usize,
    },
    /// The store has a replica that takes precedence, in general one of a higher epoch.
    #[display("superseded by epoch {epoch}")]
    Superseded {
        /// Epoch of the stored replica.
        epoch: Epoch,
    },
}

/// A copy of a request, as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Descriptor of the request, with the time left to the deadline when the copy was made.
    pub descriptor: Descriptor,
    /// Tokens generated so far.
    pub transcript: Transcript,
    /// The end of the request, if it has ended.
    pub finish: Option<Finish>,
    /// Other nodes that may also take the request over: the sender, its second node if it is the
    /// owner, and nodes that had not yet agreed to the sender. A node that takes the request over
    /// shows callers no token before each of them has agreed or is dead.
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

/// The replicas that this node holds for other nodes.
#[derive(Debug, Default)]
pub struct ReplicaStore {
    options: ReplicaStoreOptions,
    replicas: HashMap<RequestId, StoredReplica>,
    // Memory of each finished request in bytes, in the order of expiry.
    finished: BTreeMap<(Millis, RequestId), usize>,
    finished_bytes: usize,
}

impl ReplicaStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(options: ReplicaStoreOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of replicas, finished ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns true if there is no replica.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Stores a replica, or replaces the stored one of a lower or equal epoch.
    ///
    /// # Errors
    /// Fails if the limit on replicas is reached, or if the stored replica takes precedence: it has
    /// a higher epoch, or another owner or other tokens of the same epoch, or it has ended under
    /// another owner.
    pub fn store(&mut self, replica: Replica, now: Millis) -> Result<(), Refused> {
        let id = replica.descriptor.id;
        match self.replicas.get(&id) {
            Some(old) if old.epoch > replica.descriptor.epoch => {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // If two nodes took the request over with the same epoch, their tokens would mix two
            // generations, so the first to arrive continues. A node that takes over a finished
            // request must read its result instead of running it again.
            Some(old)
                if old.descriptor.owner != replica.descriptor.owner
                    && (old.epoch == replica.descriptor.epoch || old.finish.is_some()) =>
            {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // A takeover whose response was lost can leave a node with two copies of one epoch. The
            // tokens stored first are kept.
            Some(old)
                if old.epoch == replica.descriptor.epoch
                    && !old.transcript.agrees_with(&replica.transcript) =>
            {
                return Err(Refused::Superseded { epoch: old.epoch });
            }
            // A delayed duplicate must not remove tokens.
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
        let deadline = now.plus(replica.descriptor.time_left.0);
        let is_finished = replica.finish.is_some();
        let stored = StoredReplica {
            epoch: replica.descriptor.epoch,
            descriptor: replica.descriptor,
            transcript: replica.transcript,
            finish: replica.finish,
            deadline,
            expires_at: deadline.plus(self.options.deadline_grace.0),
        };
        self.remove(id);
        self.replicas.insert(id, stored);
        if is_finished {
            self.mark_finished(id, now);
        }
        Ok(())
    }

    /// Appends new tokens, and records the end of the request if it has ended.
    pub fn append(&mut self, progress: Progress, now: Millis) -> Ack {
        let Some(stored) = self.replicas.get_mut(&progress.id) else {
            return Ack::Missing;
        };
        if stored.epoch > progress.epoch {
            return Ack::Superseded(stored.epoch);
        }
        // The stored tokens are those of an earlier owner and may differ from those of the sender.
        if stored.epoch < progress.epoch {
            return Ack::Missing;
        }
        let position = stored.transcript.position();
        if progress.from > position {
            return Ack::Resend(position);
        }
        let sent_end = progress.from.plus(progress.tokens.len() as u64);
        let matches = stored
            .transcript
            .tokens_from(progress.from)
            .is_ok_and(|tokens| {
                tokens
                    .zip(&progress.tokens)
                    .all(|(stored, sent)| stored == sent)
            });
        if !matches || (progress.finish.is_some() && sent_end < position) {
            return Ack::Superseded(stored.epoch);
        }
        if stored.finish.is_some() {
            return Ack::Stored(position.min(sent_end));
        }
        let known_count = usize::try_from(position.since(progress.from)).unwrap_or(usize::MAX);
        for token in progress.tokens.iter().skip(known_count) {
            stored.transcript.push(token);
        }
        if progress.finish.is_some() {
            stored.finish = progress.finish;
            self.mark_finished(progress.id, now);
        }
        Ack::Stored(sent_end)
    }

    /// Returns a copy of a request, for example to read its result.
    #[must_use]
    pub fn snapshot(&self, id: RequestId, now: Millis) -> Option<Replica> {
        self.replicas.get(&id).map(|stored| snapshot(stored, now))
    }

    /// Makes `new_owner` the owner of a request under the next epoch, and returns the request. The
    /// previous owner is superseded from now on. A finished request is returned unchanged.
    pub fn take_over(
        &mut self,
        id: RequestId,
        new_owner: &NodeName,
        now: Millis,
    ) -> Option<Replica> {
        let stored = self.replicas.get_mut(&id)?;
        if stored.finish.is_none() {
            stored.epoch = Epoch(stored.epoch.0 + 1);
            stored.descriptor.epoch = stored.epoch;
            stored.descriptor.owner = new_owner.clone();
        }
        Some(snapshot(stored, now))
    }

    /// Returns the ids of the unfinished requests that `owner` owns, in ascending order.
    #[must_use]
    pub fn owned_by(&self, owner: &NodeName) -> Vec<RequestId> {
        let mut ids: Vec<_> = self
            .replicas
            .values()
            .filter(|stored| stored.finish.is_none() && stored.descriptor.owner == *owner)
            .map(|stored| stored.descriptor.id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Removes a replica.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(stored) = self.replicas.remove(&id)
            && let Some(bytes) = self.finished.remove(&(stored.expires_at, id))
        {
            self.finished_bytes -= bytes;
        }
    }

    /// Removes expired results, and unfinished requests whose deadline grace has passed.
    pub fn expire(&mut self, now: Millis) {
        while let Some((&(expires_at, id), _)) = self.finished.first_key_value() {
            if expires_at > now {
                break;
            }
            self.remove(id);
        }
        self.replicas
            .retain(|_, stored| stored.finish.is_some() || stored.expires_at > now);
    }

    /// Removes the oldest result if the limit is reached. Returns false if all replicas are
    /// unfinished.
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
        let Some(stored) = self.replicas.get_mut(&id) else {
            return;
        };
        // A finished request is never run again, so its body is not needed.
        stored.descriptor.body = String::new();
        stored.expires_at = now.plus(self.options.result_retention.0);
        let bytes = stored.memory_bytes();
        self.finished.insert((stored.expires_at, id), bytes);
        self.finished_bytes += bytes;
        while self.finished_bytes > self.options.result_bytes {
            let Some((&(_, oldest), _)) = self.finished.first_key_value() else {
                break;
            };
            self.remove(oldest);
        }
    }
}

fn snapshot(stored: &StoredReplica, now: Millis) -> Replica {
    let mut descriptor = stored.descriptor.clone();
    descriptor.time_left = Millis(stored.deadline.since(now));
    Replica {
        descriptor,
        transcript: stored.transcript.clone(),
        finish: stored.finish.clone(),
        beside: Vec::new(),
    }
}
