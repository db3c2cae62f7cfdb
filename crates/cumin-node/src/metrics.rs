//! Metrics of a node, exported in the Prometheus text format.

use std::sync::atomic::AtomicI64;

use cumin_types::Outcome;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum OutcomeLabel {
    Done,
    Failed,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: OutcomeLabel,
}

/// Counters and gauges of a node, and the registry that exports them.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    pub(crate) running: Gauge<i64, AtomicI64>,
    pub(crate) settled: Gauge<i64, AtomicI64>,
    leaving: Gauge<i64, AtomicI64>,
    waiting: Gauge<i64, AtomicI64>,
    pub(crate) attempts: Counter,
    pub(crate) tokens: Counter,
    pub(crate) dropped_frames: Counter,
    pub(crate) refused_requests: Counter,
    pub(crate) moved_requests: Counter,
    pub(crate) unreplicated: Counter,
    pub(crate) taken_over: Counter,
    pub(crate) replica_batches: Counter,
    pub(crate) appends: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("cuminladder");
        let metrics = Self {
            requests: Family::default(),
            running: Gauge::default(),
            settled: Gauge::default(),
            leaving: Gauge::default(),
            waiting: Gauge::default(),
            attempts: Counter::default(),
            tokens: Counter::default(),
            dropped_frames: Counter::default(),
            refused_requests: Counter::default(),
            moved_requests: Counter::default(),
            unreplicated: Counter::default(),
            taken_over: Counter::default(),
            replica_batches: Counter::default(),
            appends: Counter::default(),
            registry: Registry::default(),
        };
        registry.register(
            "requests",
            "Requests ended, by outcome",
            metrics.requests.clone(),
        );
        for (name, help, gauge) in [
            ("requests_running", "Requests in progress", &metrics.running),
            (
                "shares_settled",
                "1 while every other node has received this node's demand, 0 while its shares of \
                 the quotas are the least",
                &metrics.settled,
            ),
            (
                "endpoints_leaving",
                "Endpoints that stated that they leave",
                &metrics.leaving,
            ),
            (
                "endpoints_waiting",
                "Endpoints that want nothing from this node at present",
                &metrics.waiting,
            ),
        ] {
            registry.register(name, help, gauge.clone());
        }
        for (name, help, counter) in [
            ("attempts", "Attempts sent to endpoints", &metrics.attempts),
            ("tokens", "Tokens accepted from endpoints", &metrics.tokens),
            (
                "frames_dropped",
                "Late, crossed or duplicate frames",
                &metrics.dropped_frames,
            ),
            (
                "requests_refused",
                "Requests refused by admission",
                &metrics.refused_requests,
            ),
            (
                "requests_moved",
                "Requests moved off a leaving endpoint",
                &metrics.moved_requests,
            ),
            (
                "requests_unheld",
                "Requests that no second node held",
                &metrics.unreplicated,
            ),
            (
                "requests_taken",
                "Requests taken over from another node",
                &metrics.taken_over,
            ),
            (
                "replica_batches",
                "Batches of tokens sent to second nodes",
                &metrics.replica_batches,
            ),
            ("log_appends", "Appends sent to the log", &metrics.appends),
        ] {
            registry.register(name, help, counter.clone());
        }
        Self {
            registry,
            ..metrics
        }
    }

    /// Sets how many endpoints stated that they leave, and how many want nothing.
    pub(crate) fn set_stated(&self, leaving: usize, waiting: usize) {
        self.leaving.set(i64::try_from(leaving).unwrap_or(i64::MAX));
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    /// Counts a request that ended.
    pub(crate) fn request_ended(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Done => OutcomeLabel::Done,
            Outcome::Failed => OutcomeLabel::Failed,
            Outcome::NotRun => OutcomeLabel::NotRun,
            Outcome::Unknown => OutcomeLabel::Unknown,
        };
        self.requests
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
