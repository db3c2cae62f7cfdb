//! Waiting requests of one service at one entry.

use std::collections::HashMap;

use cumin_admit::{FairQueue, Position, Queued, StarvationGuard};
use cumin_types::{Millis, NodeName, Organisation, Service};

use super::pressure::{MAX_STATED_ORGS, PeerPressure};
use super::rates::{Mean, Rates};
use super::{
    Capacity, Estimate, Item, OrgPressure, RANKS, RankCount, RankPressure, StatedPressure,
    WaitDecision, WaitEnd, WaitNumber, WaitOptions, WaitRequest, rank_index,
};
use crate::suspects::Fingerprint;

/// Age at which a capacity is observed again, which reads the loads of all endpoints and peers. Own
/// requests that begin and end are counted meanwhile.
const CAPACITY_TTL: Millis = Millis(10);

/// The same while many slots are free.
const PLENTY_TTL: Millis = Millis(50);

/// Slots are kept for the more urgent requests that arrive in this time, in seconds: entries learn of
/// each other's requests within a digest interval.
const RESERVE_SECONDS: f64 = 0.25;

/// Maximum part of the slots that is kept for them.
const MAX_RESERVE: f64 = 0.03;

/// Difference of the shares served above which slots are kept for a more urgent rank. Callers
/// accept 0.05.
const INVERSION_MARGIN: f64 = 0.02;

/// Part of the slots by which the slots kept grow in a second while shares are inverted, and their
/// maximum.
const INVERSION_STEP: f64 = 0.2;
const MAX_INVERSION: f64 = 0.2;

/// Largest part of the time left, in tenths, that is kept for the prompt whatever the prompts of
/// others take.
const MAX_FIRST_TENTHS: u64 = 6;

/// Free slots that an entry without waiting requests is assumed to need for those that arrive until
/// the next digests, in requests.
const IDLE_NEED: f64 = 0.3;

/// State of a service.
#[derive(Debug)]
pub(super) struct ServiceWait {
    pub(super) options: WaitOptions,
    pub(super) queue: FairQueue<Item, RANKS>,
    positions: HashMap<WaitNumber, Position>,
    pub(super) capacity: Capacity,
    observed: Option<Millis>,
    /// Number of entries, including this one.
    pub(super) nodes: f64,
    /// Requests that may be sent and were not sent yet.
    allowed: f64,
    /// Free slots that this entry may use until `refilled` is half of a digest interval ago.
    budget: f64,
    refilled: Option<Millis>,
    /// Part of the slots that is kept for ranks more urgent than each rank.
    inverted: [f64; RANKS],
    reviewed: Millis,
    pub(super) peers: PeerPressure,
    pub(super) rates: Rates,
    /// Time that requests occupied a slot, in milliseconds.
    pub(super) held_ms: Mean,
    /// The same as estimated, which counts until one was measured.
    pub(super) expected_ms: Mean,
    /// Requests that were displaced from a full queue and are not refused yet.
    displaced: Vec<(Position, Queued<Item>)>,
    /// Turns of refused requests, and the times since which they count as queued.
    turns: HashMap<Fingerprint, (Position, Millis)>,
}

impl ServiceWait {
    pub(super) fn new(options: WaitOptions, phase: f64) -> Self {
        Self {
            queue: FairQueue::new(options.credit),
            options,
            positions: HashMap::new(),
            capacity: Capacity::default(),
            observed: None,
            nodes: 1.0,
            allowed: 0.0,
            budget: phase,
            refilled: None,
            inverted: [0.0; RANKS],
            reviewed: Millis(0),
            peers: PeerPressure::default(),
            rates: Rates::default(),
            held_ms: Mean::default(),
            expected_ms: Mean::default(),
            displaced: Vec::new(),
            turns: HashMap::new(),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.positions.len()
    }

    pub(super) fn counts(&self) -> Vec<RankCount> {
        let counts = (0..RANKS).map(|rank| RankCount {
            rank: narrow(rank),
            waiting: self.queue.load(rank).0,
        });
        counts.collect()
    }

    pub(super) fn needs_capacity(&self, now: Millis) -> bool {
        let ttl = if self.is_plenty() {
            PLENTY_TTL
        } else {
            CAPACITY_TTL
        };
        self.observed.is_none_or(|at| now.since(at) >= ttl.0)
    }

    pub(super) fn observe(&mut self, capacity: Capacity, nodes: usize, now: Millis) {
        self.capacity = capacity;
        self.observed = Some(now);
        self.nodes = count(nodes.max(1));
        let due = self
            .refilled
            .is_none_or(|at| now.since(at) >= self.options.max_yield.0 / 2);
        if due {
            let rank = self.queue.first_rank().unwrap_or(RANKS - 1);
            let own = count((0..=rank).map(|rank| self.queue.load(rank).0).sum());
            let peers = self.peers.requests(rank);
            // An entry without waiting requests gets its part for those that arrive.
            let share = if own + peers > 0.0 {
                (own + IDLE_NEED) / (own + peers + IDLE_NEED * self.nodes)
            } else {
                1.0 / self.nodes
            };
            self.budget = self.budget.fract().max(0.0) + self.unused_slots() * share;
            self.refilled = Some(now);
        }
    }

    /// Returns the free slots that no request is allowed to use yet.
    fn unused_slots(&self) -> f64 {
        (self.capacity.free - self.allowed).max(0.0)
    }

    /// Returns whether so many slots are free that all entries may use them without regard to each
    /// other: twice those that requests occupy in a digest interval.
    fn is_plenty(&self) -> bool {
        let turnover = float(self.options.max_yield.0) / self.hold_ms();
        let part = (2.0 * turnover).clamp(0.02, 0.5);
        self.unused_slots() > (self.capacity.slots * part).max(1.0)
    }

    /// Returns the slots that are kept for ranks more urgent than `rank`.
    fn reserve(&self, rank: usize, now: Millis) -> f64 {
        let requests = self.rates.urgent(rank, now);
        let expected = requests * self.nodes * RESERVE_SECONDS;
        let bounded = expected.min(self.capacity.slots * MAX_RESERVE);
        (bounded + self.inverted[rank] * self.capacity.slots).floor()
    }

    /// Returns whether a request of `rank` may be sent now.
    fn can_send(&self, rank: usize, starved: u64, now: Millis) -> bool {
        let unused = self.unused_slots();
        let is_starved = starved >> rank & 1 == 1;
        let reserve = if is_starved {
            0.0
        } else {
            self.reserve(rank, now)
        };
        if unused < 1.0 + reserve {
            return false;
        }
        // Slots that are kept for the most urgent rank are free for whichever entry needs one first.
        let is_kept = self.reserve(RANKS - 1, now) > 0.0
            && self.rates.urgent(rank, now) == 0.0
            && self.peers.requests(rank) == 0.0;
        let is_shared = self.nodes > 1.0 && !self.is_plenty() && !is_kept;
        if is_shared && self.budget < 1.0 {
            return false;
        }
        is_starved || !self.yields(rank, now)
    }

    /// Returns whether a free slot is left to more urgent work at other entries.
    ///
    /// A statement counts for one digest interval, so that a lost entry does not block others.
    fn yields(&self, rank: usize, now: Millis) -> bool {
        let Some(more) = rank.checked_sub(1) else {
            return false;
        };
        let urgent = self.peers.fresh_requests(more, self.options.max_yield, now);
        urgent > 0.0 && self.unused_slots() <= urgent
    }

    /// Allows a request to be sent.
    fn allow(&mut self, rank: usize, is_large: bool, now: Millis) {
        if is_large {
            self.rates.large_served(rank, now);
        }
        self.allowed += 1.0;
        self.budget -= 1.0;
        self.rates.served(rank, 1.0, now);
    }

    pub(super) fn decide(
        &mut self,
        number: WaitNumber,
        request: WaitRequest,
        turn: Option<Position>,
        now: Millis,
    ) -> WaitDecision {
        let rank = rank_index(request.rank);
        let is_held = turn.is_some();
        let refused = self.turns.remove(&request.fingerprint);
        let refused = refused.filter(|(_, at)| now.since(*at) < self.options.turn_ttl.0);
        let is_new = !is_held && refused.is_none();
        let is_large = self.rates.is_large(rank, request.first, is_new, now);
        let (turn, since) = match (turn, refused) {
            (Some(turn), _) => (Some(turn), now),
            (None, Some((turn, since))) if turn.rank() == rank => (Some(turn), since),
            _ => (None, now),
        };
        // The largest requests have the least time to wait.
        let is_preferred = is_large && self.rates.prefers_large(rank, now);
        let turn = if is_preferred {
            Some(Position::first_of(rank))
        } else {
            turn
        };
        if is_new {
            self.rates.offered(&request.org, rank, request.work_us, now);
        }
        self.expected_ms.add(float(request.work_us) / 1000.0);
        self.peers.expire(self.options.peer_ttl, now);
        let (estimate, position) = self.estimate(&request, turn, now);
        // Without any endpoint the selection tells why.
        let may_send = self.capacity.slots == 0.0
            || (!is_held && estimate.ahead == 0 && {
                let starved = self.rates.starved(self.options.relief, now);
                self.can_send(rank, starved, now)
            });
        if may_send {
            if self.queue.is_empty() {
                self.queue.reset_fairness();
            }
            self.allow(rank, is_large, now);
            return WaitDecision::Send { turn: position };
        }
        // If short prompts could wait for as long as they have time, the queue would be too long for
        // large ones, which would all be refused.
        let most = Millis(estimate.left.0 * MAX_FIRST_TENTHS / 10);
        let usual = self.rates.usual_first(rank, estimate.first).min(most);
        if estimate.wait.plus(estimate.first.max(usual).0) > estimate.left {
            return self.refuse(&request, estimate, (position, since), "full");
        }
        if !self.has_room() && !self.displace_after(position) {
            return self.refuse(&request, estimate, (position, since), "queue_full");
        }
        let weight = self.rates.weight(&request.org, now);
        let latest = self.latest(&request);
        let item = Item {
            number,
            request,
            latest,
            is_large,
        };
        let position = self.queue.push_at_turn(item, weight, turn, since);
        self.positions.insert(number, position);
        WaitDecision::Wait { number, estimate }
    }

    fn refuse(
        &mut self,
        request: &WaitRequest,
        estimate: Estimate,
        turn: (Position, Millis),
        reason: &'static str,
    ) -> WaitDecision {
        self.keep_turn(request.fingerprint, turn);
        let over = estimate.wait.plus(estimate.first.0).since(estimate.left);
        WaitDecision::Refuse {
            estimate,
            retry_after: Millis(over),
            reason,
        }
    }

    /// Keeps the turn of a refused request for its retry.
    fn keep_turn(&mut self, fingerprint: Fingerprint, turn: (Position, Millis)) {
        if self.turns.len() >= self.options.max_turns {
            let ttl = self.options.turn_ttl.0;
            let newest = turn.1;
            self.turns.retain(|_, (_, at)| newest.since(*at) < ttl);
        }
        if self.turns.len() < self.options.max_turns {
            self.turns.insert(fingerprint, turn);
        }
    }

    /// Removes the request that is served last, if it is served after `position`.
    fn displace_after(&mut self, position: Position) -> bool {
        let last = self.queue.last_after(position);
        let Some((last, queued)) = last.and_then(|last| Some((last, self.queue.remove(last)?)))
        else {
            return false;
        };
        self.positions.remove(&queued.request.number);
        self.displaced.push((last, queued));
        true
    }

    pub(super) fn release(&mut self, now: Millis, ended: &mut Vec<(WaitNumber, WaitEnd)>) {
        self.peers.expire(self.options.peer_ttl, now);
        self.review(now);
        for (position, queued) in std::mem::take(&mut self.displaced) {
            self.refuse_queued(position, queued, "queue_full", now, ended);
        }
        if self.queue.is_empty() {
            return;
        }
        self.set_queue_rate();
        let starved = self.rates.starved(self.options.relief, now);
        for position in self.queue.late_requests(Position::FIRST, 0, now) {
            // Starved ranks do not wait for all others.
            let is_starved = starved >> position.rank() & 1 == 1;
            if is_starved && !self.is_late(position, now) {
                continue;
            }
            if let Some(queued) = self.queue.shed(position) {
                self.refuse_queued(position, queued, "full", now, ended);
            }
        }
        let guard = StarvationGuard {
            threshold: self.options.starved,
            interval: self.options.relief_interval,
            ranks: starved,
        };
        while let Some(rank) = self.queue.next_rank(guard, now) {
            if !self.can_send(rank, starved, now) {
                break;
            }
            let Some(Queued { request, .. }) = self.queue.pop(guard, now) else {
                break;
            };
            let turn = self.positions.remove(&request.number).unwrap_or_default();
            self.allow(rank, request.is_large, now);
            ended.push((request.number, WaitEnd::Send { turn }));
        }
    }

    /// Returns whether a queued request would be late if it were sent now.
    fn is_late(&self, position: Position, now: Millis) -> bool {
        let queued = self.queue.get(position);
        queued.is_some_and(|queued| {
            let request = &queued.request;
            now.plus(request.request.first.0) > request.latest
        })
    }

    /// Refuses a request that was removed from the queue.
    fn refuse_queued(
        &mut self,
        position: Position,
        queued: Queued<Item>,
        reason: &'static str,
        now: Millis,
        ended: &mut Vec<(WaitNumber, WaitEnd)>,
    ) {
        let Item {
            number, request, ..
        } = queued.request;
        self.positions.remove(&number);
        let (estimate, _) = self.estimate(&request, None, now);
        self.keep_turn(request.fingerprint, (position, queued.queued_at));
        let refused = WaitEnd::Refuse {
            retry_after: estimate.wait,
            reason,
        };
        ended.push((number, refused));
    }

    /// Adapts the slots that are kept for more urgent ranks to the shares served.
    fn review(&mut self, now: Millis) {
        let elapsed = float(now.since(self.reviewed)).min(100.0) / 1000.0;
        self.reviewed = now;
        for rank in 1..RANKS {
            let inverted = self.rates.is_inverted(rank, INVERSION_MARGIN, now);
            let step = if inverted {
                INVERSION_STEP
            } else {
                -INVERSION_STEP / 4.0
            };
            let part = self.inverted[rank] + step * elapsed;
            self.inverted[rank] = part.clamp(0.0, MAX_INVERSION);
        }
    }

    pub(super) fn remove(&mut self, number: WaitNumber) -> bool {
        let position = self.positions.remove(&number);
        position.is_some_and(|position| self.queue.remove(position).is_some())
    }

    pub(super) fn sent(&mut self) {
        self.allowed = (self.allowed - 1.0).max(0.0);
        self.capacity.free -= 1.0;
    }

    pub(super) fn unused(&mut self, rank: usize, now: Millis) {
        self.allowed = (self.allowed - 1.0).max(0.0);
        self.budget += 1.0;
        self.rates.served(rank, -1.0, now);
    }

    pub(super) fn ended(&mut self, held: Millis) {
        self.capacity.free += 1.0;
        self.budget += 1.0;
        self.held_ms.add(float(held.0));
    }

    pub(super) fn stated(&self, service: &Service) -> Option<StatedPressure> {
        let ranks = (0..RANKS).filter_map(|rank| {
            let (requests, work_us) = self.queue.load(rank);
            (requests > 0).then_some(RankPressure {
                rank: narrow(rank),
                requests: u32::try_from(requests).unwrap_or(u32::MAX),
                work_us,
            })
        });
        let ranks: Vec<RankPressure> = ranks.collect();
        if ranks.is_empty() {
            return None;
        }
        let mut work: HashMap<(&Organisation, u8), u64> = HashMap::new();
        for (_, queued) in self.queue.iter() {
            let request = &queued.request.request;
            *work.entry((&request.org, request.rank)).or_default() += request.work_us;
        }
        let mut orgs: Vec<_> = work.into_iter().collect();
        orgs.sort_unstable_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        orgs.truncate(MAX_STATED_ORGS);
        let orgs = orgs.into_iter().map(|((org, rank), work_us)| OrgPressure {
            org: org.clone(),
            rank,
            work_us,
        });
        Some(StatedPressure {
            service: service.clone(),
            ranks,
            orgs: orgs.collect(),
        })
    }

    pub(super) fn merge_peer(
        &mut self,
        node: &NodeName,
        stated: Option<&StatedPressure>,
        now: Millis,
    ) {
        self.peers.merge(node, stated, now);
    }
}

/// Converts an index of a rank, which is below [`RANKS`].
fn narrow(rank: usize) -> u8 {
    u8::try_from(rank).unwrap_or(u8::MAX)
}

/// Converts a number for estimates.
#[expect(clippy::cast_precision_loss, reason = "an estimate")]
pub(super) fn float(value: u64) -> f64 {
    value as f64
}

pub(super) fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

pub(super) fn millis(value: f64) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast from float saturates"
    )]
    Millis(value.max(0.0).ceil() as u64)
}
