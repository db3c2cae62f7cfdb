//! Models of the engines of services, as learned from the answers of attempts.

use cumin_types::{EndpointName, Millis, Service};

use super::cost::Lengths;
use super::load::ActiveAttempt;
use super::speed::{Anchor, Kind};
use super::{AttemptNumber, Selector, millis};
use crate::engine::EngineModel;
use crate::fleet::Fleet;
use crate::learn::{Fit, Learner};

/// One gap between events in this many is a sample; consecutive ones say the same.
const GAPS_PER_SAMPLE: u32 = 8;

impl Selector {
    /// Records the first event of a stream of a service.
    pub fn stream_begun(
        &mut self,
        service: &Service,
        endpoint: &EndpointName,
        attempt: AttemptNumber,
        now: Millis,
    ) {
        let load = self.loads.get(endpoint);
        let sample = load
            .and_then(|load| load.attempts.get(&attempt))
            .and_then(|attempt| Some((attempt.queue?, attempt)));
        if let Some((queue, attempt)) = sample {
            let took_ms = millis(Millis(now.since(attempt.sent)));
            let trial_goal = attempt.trial_goal;
            let model = self.model(service);
            let expected = model.first_event_ms(queue.tokens, 0.0, queue.running) + attempt.wait;
            if trial_goal.is_none() {
                let ratio = took_ms / expected;
                self.add_speed(service, endpoint, (Kind::First, ratio), now);
            }
            let learner = self.learner(service);
            match trial_goal {
                Some(goal_ms) if took_ms <= goal_ms => learner.trial_in_time(queue, took_ms, now),
                Some(_) => {}
                None => learner.first_event(queue, took_ms, now),
            }
        }
        self.answer_begun(endpoint, attempt, now);
    }

    /// Records further events of a stream, which hold `output_tokens` tokens together.
    pub fn events_heard(
        &mut self,
        service: &Service,
        endpoint: &EndpointName,
        attempt: AttemptNumber,
        output_tokens: u32,
        now: Millis,
    ) {
        let Some(load) = self.loads.get_mut(endpoint) else {
            return;
        };
        let (running, _) = load.total(now);
        let Some(attempt) = load.attempts.get_mut(&attempt) else {
            return;
        };
        attempt.heard.0 += f64::from(output_tokens);
        attempt.heard.1 += 1;
        let last = attempt.last_event.replace(now);
        self.gaps_seen = self.gaps_seen.wrapping_add(1);
        if self.gaps_seen.is_multiple_of(GAPS_PER_SAMPLE)
            && let Some(last) = last
            && output_tokens > 0
        {
            let token_ms = millis(Millis(now.since(last))) / f64::from(output_tokens);
            let model = self.model(service);
            let ratio = token_ms / (model.step_ms + model.request_ms * running);
            self.add_speed(service, endpoint, (Kind::Gap, ratio), now);
            self.learner(service).event_gap(running, token_ms, now);
        }
    }

    /// Records the end of a complete answer.
    pub(super) fn learn_end(
        &mut self,
        endpoint: &EndpointName,
        attempt: &ActiveAttempt,
        now: Millis,
    ) {
        let service = &attempt.service;
        if attempt.engine {
            if let Some(length) = attempt.heard_output()
                && attempt.output_hint > 0.0
            {
                let hint = attempt.output_hint;
                let first = Lengths::new(hint);
                let lengths = self.lengths.entry(service.clone()).or_insert(first);
                lengths.add(length, hint);
            }
            return;
        }
        let slot_ms = millis(Millis(now.since(attempt.sent))) / attempt.wait.max(1.0);
        let plain = self.plain(service, now);
        let mean_ms = plain.whole.get(now);
        plain.whole.add(slot_ms, now);
        if let Some(mean_ms) = mean_ms {
            let ratio = slot_ms / mean_ms;
            self.add_speed(service, endpoint, (Kind::Whole, ratio), now);
        }
    }

    /// Adds a ratio of measured to expected time of an endpoint.
    fn add_speed(
        &mut self,
        service: &Service,
        endpoint: &EndpointName,
        (kind, ratio): (Kind, f64),
        now: Millis,
    ) {
        let Some(load) = self.loads.get_mut(endpoint) else {
            return;
        };
        if let Some(residual) = load.speed.add(ratio, now) {
            let anchor = self.anchors.entry(service.clone()).or_default();
            anchor.add(kind, residual);
        }
    }

    /// Recomputes the speeds of endpoints from the statements of all nodes.
    pub fn combine_speeds(&mut self, fleet: &Fleet, now: Millis) {
        for anchor in self.anchors.values_mut() {
            anchor.combine(&self.options.learn);
        }
        for (name, load) in &mut self.loads {
            let service = fleet.get(name).map(|endpoint| &endpoint.service);
            let anchor = service.and_then(|service| self.anchors.get(service));
            let anchor = anchor.map_or(0.0, Anchor::value);
            load.speed.combine(load.started_ms, anchor, now);
        }
    }

    pub(super) fn learner(&mut self, service: &Service) -> &mut Learner {
        let options = &self.options.learn;
        self.learners
            .entry(service.clone())
            .or_insert_with(|| Learner::new(options.clone()))
    }

    /// Returns the model of a service's engines.
    #[must_use]
    pub fn model(&self, service: &Service) -> &EngineModel {
        let learner = self.learners.get(service);
        learner.map_or(&self.prior, Learner::model)
    }

    /// Returns this node's own fits that are not in doubt, for digests.
    #[must_use]
    pub fn own_fits(&self, now: Millis) -> Vec<(Service, Fit)> {
        let learners = self.learners.iter();
        learners
            .filter_map(|(service, learner)| Some((service.clone(), learner.stated(now)?)))
            .collect()
    }

    /// Merges the fits that a peer states.
    pub fn merge_fits(&mut self, node: &str, fits: &[(Service, Fit)], now: Millis) {
        for (service, fit) in fits {
            self.learner(service).merge_peer(node, *fit, now);
        }
    }

    /// Recomputes the models from the fits of all nodes.
    pub fn combine_fits(&mut self, now: Millis) {
        for learner in self.learners.values_mut() {
            learner.combine(now);
        }
    }
}
