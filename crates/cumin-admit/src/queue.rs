//! The queue of one service: strict priorities with a starvation guard, and start-time fair
//! queueing between organisations within a priority.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Millis, Organisation, Priority, Service};

use crate::{AdmissionRequest, Capacity};

/// Virtual time of fair queueing, in tokens scaled by [`VIRTUAL_TIME_SCALE`] so that division by
/// a weight keeps its precision.
type VirtualTime = u128;

const VIRTUAL_TIME_SCALE: VirtualTime = 1 << 20;

/// Lower bound of all positions in a service queue.
pub(crate) const FIRST_KEY: (Priority, QueueKey) = (Priority::Live, (0, 0));

/// Position within a priority: start tag, then order of arrival.
pub(crate) type QueueKey = (VirtualTime, u64);

/// All priorities in the order in which they are served.
pub(crate) const PRIORITIES: [Priority; 3] = [Priority::Live, Priority::Normal, Priority::Batch];

#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub request: AdmissionRequest,
    pub queued_at: Millis,
}

#[derive(Debug, Default)]
struct PriorityQueue {
    requests: BTreeMap<QueueKey, QueuedRequest>,
    /// Highest start tag of all requests served.
    virtual_time: VirtualTime,
    /// Finish tag of the latest request of each organisation.
    finish_tags: HashMap<Organisation, VirtualTime>,
    queued_tokens: u64,
}

impl PriorityQueue {
    /// Returns the start tag of a new request. An organisation that used less than its fair share
    /// is scheduled ahead of the others by up to `credit`.
    fn start_tag(&self, org: &Organisation, credit: VirtualTime) -> VirtualTime {
        let earliest = self.virtual_time.saturating_sub(credit);
        self.finish_tags
            .get(org)
            .copied()
            .unwrap_or(0)
            .max(earliest)
    }

    fn remove(&mut self, key: QueueKey) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&key)?;
        self.queued_tokens -= queued.request.estimated_tokens.0;
        Some(queued)
    }
}

/// When a starved request of a lower priority is served before a higher one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StarvationGuard {
    /// Queueing time after which a request counts as starved.
    pub threshold: Millis,
    /// Number of other requests served between two starved ones.
    pub interval: u32,
}

/// The work that is served before a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkAhead {
    pub key: QueueKey,
    pub requests: usize,
    pub tokens: u64,
}

#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub service: Service,
    pub capacity: Capacity,
    /// How far an organisation may be scheduled ahead of the others, as time at the token rate.
    pub fairness_credit: Millis,
    pub running: usize,
    classes: [PriorityQueue; 3],
    arrivals: u64,
    /// Number of requests served since the last starved one, while a request is starved.
    since_starved: u32,
}

impl ServiceQueue {
    pub fn new(service: Service, fairness_credit: Millis) -> Self {
        Self {
            service,
            capacity: Capacity::default(),
            fairness_credit,
            running: 0,
            classes: Default::default(),
            arrivals: 0,
            since_starved: 0,
        }
    }

    pub fn has_slot(&self) -> bool {
        self.running < self.capacity.slots
    }

    pub fn queued(&self) -> usize {
        self.classes.iter().map(|class| class.requests.len()).sum()
    }

    /// Resets the virtual time and the past use of all organisations. Called when no request is
    /// queued and a slot is free.
    pub fn reset_fairness(&mut self) {
        for class in &mut self.classes {
            class.finish_tags.clear();
            class.virtual_time = 0;
        }
    }

    fn virtual_credit(&self) -> VirtualTime {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a cast from float saturates, and the value is not negative"
        )]
        let tokens = (self.capacity.token_rate * self.fairness_credit.0 as f64 / 1000.0) as u64;
        VirtualTime::from(tokens) * VIRTUAL_TIME_SCALE
    }

    /// Returns the work that would be served before a new request of `org`.
    pub fn work_ahead(&self, org: &Organisation, priority: Priority) -> WorkAhead {
        let class = &self.classes[priority as usize];
        let key = (class.start_tag(org, self.virtual_credit()), self.arrivals);
        let higher = &self.classes[..priority as usize];
        let mut ahead = WorkAhead {
            key,
            requests: higher.iter().map(|class| class.requests.len()).sum(),
            tokens: higher.iter().map(|class| class.queued_tokens).sum(),
        };
        for (_, queued) in class.requests.range(..key) {
            ahead.requests += 1;
            ahead.tokens += queued.request.estimated_tokens.0;
        }
        ahead
    }

    /// Returns the time to process `tokens` at the token rate; zero if the rate is unknown.
    pub fn service_time(&self, tokens: u64) -> Millis {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let seconds = tokens as f64 / self.capacity.token_rate;
        if self.capacity.token_rate > 0.0 {
            Millis(crate::quota::round_up_millis(seconds * 1000.0))
        } else {
            Millis(0)
        }
    }

    /// Queues a request under the key that [`Self::work_ahead`] returns for it.
    pub fn push(&mut self, request: AdmissionRequest, weight: u32, now: Millis) -> QueueKey {
        let credit = self.virtual_credit();
        let class = &mut self.classes[request.priority as usize];
        let key = (class.start_tag(&request.org, credit), self.arrivals);
        self.arrivals += 1;
        let cost = VirtualTime::from(request.estimated_tokens.0) * VIRTUAL_TIME_SCALE
            / VirtualTime::from(weight.max(1));
        class.finish_tags.insert(request.org.clone(), key.0 + cost);
        class.queued_tokens += request.estimated_tokens.0;
        class.requests.insert(
            key,
            QueuedRequest {
                request,
                queued_at: now,
            },
        );
        key
    }

    /// Removes a request from the queue without serving it.
    pub fn remove(&mut self, priority: Priority, key: QueueKey) -> Option<QueuedRequest> {
        let class = &mut self.classes[priority as usize];
        let queued = class.remove(key)?;
        // If this was the last queued request of the organisation, its virtual time is returned,
        // so that a cancelled or dropped request does not delay those that follow.
        let is_last = class
            .requests
            .range(key..)
            .all(|(_, later)| later.request.org != queued.request.org);
        if is_last {
            class.finish_tags.insert(queued.request.org.clone(), key.0);
        }
        Some(queued)
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self, guard: StarvationGuard, now: Millis) -> Option<QueuedRequest> {
        let first = self
            .classes
            .iter()
            .position(|class| !class.requests.is_empty())?;
        let starved = (first + 1..self.classes.len())
            .filter_map(|index| {
                let (_, head) = self.classes[index].requests.first_key_value()?;
                let waited = now.since(head.queued_at);
                (waited >= guard.threshold.0).then_some((waited, index))
            })
            .max_by_key(|(waited, index)| (*waited, usize::MAX - index));
        let index = match starved {
            Some((_, index)) if self.since_starved >= guard.interval => {
                self.since_starved = 0;
                index
            }
            Some(_) => {
                self.since_starved += 1;
                first
            }
            None => first,
        };
        let credit = self.virtual_credit();
        let class = &mut self.classes[index];
        let key = *class.requests.first_key_value()?.0;
        class.virtual_time = class.virtual_time.max(key.0);
        let earliest = class.virtual_time.saturating_sub(credit);
        class.finish_tags.retain(|_, finish| *finish > earliest);
        class.remove(key)
    }

    /// Returns the position that is served last, if that is after `key` in `priority`.
    pub fn last_after(&self, priority: Priority, key: QueueKey) -> Option<(Priority, QueueKey)> {
        PRIORITIES.into_iter().rev().find_map(|other| {
            let (last, _) = self.classes[other as usize].requests.last_key_value()?;
            (other > priority || (other == priority && *last > key)).then_some((other, *last))
        })
    }

    /// Returns the requests from `from` on that cannot complete before their deadline at the token
    /// rate, given `tokens_ahead` of work ahead of them.
    ///
    /// The work of returned requests is not counted, so that no request is shed because of work
    /// that is shed itself.
    pub fn late_requests(
        &self,
        from: (Priority, QueueKey),
        mut tokens_ahead: u64,
        now: Millis,
    ) -> Vec<(Priority, QueueKey)> {
        let mut late = Vec::new();
        if self.capacity.token_rate <= 0.0 {
            return late;
        }
        for priority in PRIORITIES.into_iter().skip(from.0 as usize) {
            let first = if priority == from.0 { from.1 } else { (0, 0) };
            for (key, QueuedRequest { request, .. }) in
                self.classes[priority as usize].requests.range(first..)
            {
                let end = now
                    .plus(self.service_time(tokens_ahead).0)
                    .plus(request.estimated_duration.0);
                if end > request.deadline {
                    late.push((priority, *key));
                } else {
                    tokens_ahead += request.estimated_tokens.0;
                }
            }
        }
        late
    }
}
