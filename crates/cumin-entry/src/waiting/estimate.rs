//! Estimates of when requests of a service are sent.

use cumin_admit::Position;
use cumin_types::Millis;

use super::service::{ServiceWait, count, float, millis};
use super::{Estimate, RANKS, WaitLimit, WaitRequest, rank_index};

/// Assumed time that a request occupies a slot, before any was estimated.
const DEFAULT_HOLD_MS: f64 = 2000.0;

/// Part of the rate that a rank is assumed to get whatever more urgent ranks ask for.
const MIN_AVAILABLE: f64 = 0.1;

/// Time before the deadline at which a waiting request is refused as not run: two releases. At the
/// deadline itself the answer would be a timeout, which promises nothing.
const DEADLINE_MARGIN: Millis = Millis(50);

impl ServiceWait {
    /// Returns the mean time that a request occupies a slot, in milliseconds.
    pub(super) fn hold_ms(&self) -> f64 {
        let hold_ms = self.held_ms.get().or(self.expected_ms.get());
        hold_ms.unwrap_or(DEFAULT_HOLD_MS).max(1.0)
    }

    /// Returns the number of slots that become free in a second.
    pub(super) fn rate(&self) -> f64 {
        (self.capacity.slots * 1000.0 / self.hold_ms()).max(0.001)
    }

    /// Estimates when a request would be sent.
    pub(super) fn estimate(
        &self,
        request: &WaitRequest,
        turn: Option<Position>,
        now: Millis,
    ) -> (Estimate, Position) {
        let rank = rank_index(request.rank);
        let ahead = self.queue.work_ahead_of_turn(&request.org, rank, turn);
        let (peers_urgent, peers_same) =
            self.peers
                .ahead(&request.org, rank, ahead.work + request.work_us);
        let peers_same = if turn == Some(Position::first_of(rank)) {
            0.0
        } else {
            peers_same
        };
        let rate = self.rate();
        let urgent = self.rates.urgent(rank, now) * self.nodes;
        let mut available = (1.0 - urgent / rate).clamp(MIN_AVAILABLE, 1.0);
        let mut peers = peers_urgent + peers_same;
        let mut queued_ms = (count(ahead.requests) + peers) / (rate * available) * 1000.0;
        let starved = self.rates.starved(self.options.relief, now);
        if starved >> rank & 1 == 1 {
            // A part of the slots goes to starved ranks, whatever waits in others.
            let part = 1.0 / (f64::from(self.options.relief_interval) + 1.0);
            let urgent: usize = (0..rank).map(|rank| self.queue.load(rank).0).sum();
            let same = count(ahead.requests - urgent) + peers_same;
            let relief_ms = same / (rate * part) * 1000.0;
            if relief_ms < queued_ms {
                (queued_ms, available, peers) = (relief_ms, part, peers_same);
            }
        }
        // Time until this entry learns of the next slot that becomes free, at the median.
        let next_ms = 1000.0 / rate;
        let digest_ms = float(self.options.max_yield.0);
        let notice_ms = (next_ms * self.nodes / 2.0).min(digest_ms.max(next_ms));
        let head = self.queue.iter().next().map(|(_, queued)| {
            let head = &queued.request.request;
            (head.rank, head.org.clone())
        });
        let estimate = Estimate {
            wait: millis(queued_ms + notice_ms),
            first: request.first,
            left: Millis(self.latest(request).since(now)),
            ahead: ahead.requests,
            peers,
            capacity: self.capacity,
            rate,
            available,
            head,
        };
        (estimate, ahead.position)
    }

    /// Returns the time by which the first event of a request must be expected.
    pub(super) fn latest(&self, request: &WaitRequest) -> Millis {
        let deadline = Millis(request.deadline.since(DEADLINE_MARGIN));
        match self.options.limit {
            WaitLimit::Goal => request.goal.min(deadline),
            WaitLimit::Deadline => deadline,
        }
    }

    /// Sets the rate at which work leaves this entry's queue: its part of the slots that become free
    /// multiplied by the mean work of its requests.
    pub(super) fn set_queue_rate(&mut self) {
        let loads = (0..RANKS).map(|rank| self.queue.load(rank));
        let (own, work) = loads.fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
        let own = count(own).max(1.0);
        let part = own / (own + self.peers.requests(RANKS - 1));
        self.queue.rate = self.rate() * part * float(work) / own;
    }

    pub(super) fn has_room(&self) -> bool {
        let wait_ms = count(self.queue.len()) / self.rate() * 1000.0;
        self.queue.len() < self.options.max_requests && wait_ms <= float(self.options.max_wait.0)
    }
}
