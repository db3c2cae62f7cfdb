//! Decisions of the holder of the duty lease: when the traffic moves, and which status is written.

use cumin_types::{Millis, NodeName, Service};

use super::{Rollout, RolloutState, Rollouts, Status, Verdict, Version};
use crate::rollout::evidence::Sides;

/// Part of the duration that is left for the move of the traffic, and the most of it. The streams
/// that run at the old version end in this time.
const MOVE_SHARE: f64 = 0.28;
const MAX_MOVE: Millis = Millis(25_000);

/// Time before the end of the duration at which the status is written at the latest, as a part of
/// the duration and at most: it covers an outage of the store or a change of the holder.
const MARGIN_SHARE: f64 = 0.1;
const MAX_MARGIN: Millis = Millis(3000);

/// Steps in which the traffic moves: a fault under load shows before all of it has moved.
const STEPS: [(u64, f64); 2] = [(1500, 0.25), (2500, 0.5)];

/// Time for which a node that has just become known to this one may still state a bad verdict.
const LISTEN: Millis = Millis(3000);

/// Requests of a service after which a version without any answer is not accepted.
const MIN_SILENT_REQUESTS: u32 = 300;

/// Returns the share of the traffic that goes to the new version a time after the move began.
pub(super) fn share(since: u64) -> f64 {
    let step = STEPS.iter().find(|(end, _)| since < *end);
    step.map_or(1.0, |(_, share)| *share)
}

/// Returns the number of endpoints that a share of the traffic goes to: each carries about as much
/// as it will in the end.
pub(super) fn endpoints(share: f64, all: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a small positive number"
    )]
    let count = (share * all as f64).ceil() as usize;
    count
}

fn part(duration: Millis, share: f64, most: Millis) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a part of a duration"
    )]
    let part = (duration.0 as f64 * share) as u64;
    Millis(part.min(most.0))
}

impl Rollout {
    /// Returns whether all new work of this node goes to the target version.
    pub(super) fn has_moved(&self, now: Millis) -> bool {
        let since = self.moved.map(|moved| now.since(moved));
        self.verdict == Verdict::Good && since.is_some_and(|since| share(since) >= 1.0)
    }

    fn move_at(&self) -> Millis {
        let duration = self.order.duration.unwrap_or_default();
        Millis(duration.since(part(duration, MOVE_SHARE, MAX_MOVE)))
    }

    fn last_chance(&self) -> Millis {
        let duration = self.order.duration.unwrap_or_default();
        Millis(duration.since(part(duration, MARGIN_SHARE, MAX_MARGIN)))
    }
}

/// What the holder knows besides the counts.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Versions of the usable endpoints of the service.
    pub versions: &'a [Option<Version>],
    /// Nodes that serve callers, also those that are not heard at the moment.
    pub peers: &'a [NodeName],
}

/// A status to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The status.
    pub status: Status,
    /// Why it is written.
    pub reason: String,
}

impl Rollouts {
    /// Returns the services with an order that has no final status in the store, as far as known.
    #[must_use]
    pub fn open_services(&self) -> Vec<Service> {
        let open = self.services.iter().filter(|(_, state)| {
            let run = state.current.as_ref();
            run.is_some_and(|run| !run.verdict.is_final() || run.written.is_none())
        });
        open.map(|(service, _)| service.clone()).collect()
    }

    /// Decides for the holder of the duty lease, and returns the status that is to be written.
    pub fn decide(
        &mut self,
        service: &Service,
        situation: &Situation<'_>,
        now: Millis,
    ) -> Option<Report> {
        if !self.statuses_read || self.bounds.is_none() {
            return None;
        }
        let run = self.services.get(service)?.current.as_ref()?;
        let age = run.age(now);
        let decision = match run.verdict {
            Verdict::Completed | Verdict::RolledBack if run.written.is_some() => return None,
            Verdict::Completed => (RolloutState::Completed, "restored".to_owned()),
            Verdict::RolledBack => (RolloutState::RolledBack, "restored".to_owned()),
            Verdict::Bad if run.written.is_some() => (RolloutState::RolledBack, "bad".to_owned()),
            _ if run.written.is_none() => (RolloutState::Running, "order_seen".to_owned()),
            Verdict::Good => self.finish(run, situation, now)?,
            _ if now.since(self.options.started) < LISTEN.0 => return None,
            _ => match self.outcome(service, run, situation, now)? {
                Ok(reason) => {
                    let target = run.order.target.clone();
                    self.log(service, format!("decision=move target={target} {reason}"));
                    self.adopt(service, Verdict::Good, now);
                    return None;
                }
                Err(reason) => (RolloutState::RolledBack, reason),
            },
        };
        let (state, reason) = decision;
        if state == RolloutState::RolledBack {
            // It has no effect on a verdict that is final.
            self.adopt(service, Verdict::Bad, now);
        }
        let run = self.services.get(service)?.current.as_ref()?;
        Some(Report {
            status: Status {
                service: service.clone(),
                target: run.order.target.clone(),
                state,
                order: run.offset,
                age,
            },
            reason,
        })
    }

    /// Returns why the traffic moves, or why the version is rolled back; `None` if neither is due.
    fn outcome(
        &self,
        service: &Service,
        run: &Rollout,
        situation: &Situation<'_>,
        now: Millis,
    ) -> Option<Result<String, String>> {
        let age = run.age(now);
        let state = self.services.get(service)?;
        let is_new = |version: &&Option<Version>| run.is_new(version.as_ref());
        let new = situation.versions.iter().filter(is_new).count();
        let old = situation.versions.iter().any(|version| {
            let barred = version.as_ref().is_some_and(|v| state.barred.contains(v));
            !run.is_new(version.as_ref()) && !barred
        });
        let seen_old = old || run.old_seen || run.heard.old_seen();
        let seen = state.versions.get(&Some(run.order.target.clone()));
        let was_used = seen.is_some_and(|seen| run.began.since(*seen) >= super::HOLD.0);
        if !seen_old && (was_used || new > 0) {
            let is_sure = was_used || age >= super::ALONE;
            return is_sure.then(|| Ok("reason=only_version".to_owned()));
        }
        if new == 0 {
            let is_over = age >= run.last_chance();
            return is_over.then(|| Err("no_endpoint".to_owned()));
        }
        if run.order.duration.is_none() {
            return Some(Err("invalid_duration".to_owned()));
        }
        let is_over = age >= run.last_chance();
        if age < run.move_at() || !(self.hears_most || is_over) {
            return None;
        }
        if let Some(evidence) = run.watch.bad(true) {
            return Some(Err(format!("bad {evidence}")));
        }
        let mut sum = Sides::default();
        for sides in run.total().values() {
            sum.add(sides);
        }
        let requests = sum.old.answers;
        if sum.new.answers == 0 && requests >= MIN_SILENT_REQUESTS {
            // Its endpoints may be out of reach for a moment only.
            return is_over.then(|| Err("no_answer".to_owned()));
        }
        let new = (sum.new.failures + sum.new.broken, sum.new.answers);
        Some(Ok(format!(
            "reason=not_bad failures={} answers={} old_failures={} old_answers={}",
            new.0, new.1, sum.old.failures, requests
        )))
    }

    /// Returns the state `completed` when the work at the old version has ended, or when the time
    /// for it is over.
    #[expect(clippy::unused_self, reason = "one of the holder's decisions")]
    fn finish(
        &self,
        run: &Rollout,
        situation: &Situation<'_>,
        now: Millis,
    ) -> Option<(RolloutState, String)> {
        let is_over = run.age(now) >= run.last_chance();
        let own = (run.has_moved(now), run.old_running);
        // An incarnation that ended has no work left; a node that was never heard may have some.
        let peers = situation.peers.iter().map(|peer| run.heard.progress(peer));
        let all = peers.chain([Some(own)]);
        let mut unmoved = 0;
        let mut running = 0;
        for progress in all {
            let (moved, count) = progress.unwrap_or((false, 0));
            unmoved += u32::from(!moved);
            running += count;
        }
        let is_done = unmoved == 0 && running == 0;
        (is_done || is_over).then(|| {
            (
                RolloutState::Completed,
                format!("moved unmoved={unmoved} running={running}"),
            )
        })
    }
}
