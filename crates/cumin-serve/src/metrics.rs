//! Prometheus metrics of a node.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// Kind of the route.
    pub(crate) kind: &'static str,
    /// Outcome of the request.
    pub(crate) outcome: &'static str,
}

/// Label of a refusal or an attempt.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    /// Reason of the refusal, or result of the attempt.
    pub(crate) reason: &'static str,
}

/// Label of the speeds of endpoints: the least, the median or the greatest factor.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SpeedLabel {
    /// Which of the factors.
    pub(crate) rank: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StoreCallLabels {
    /// The stream.
    pub(crate) stream: String,
    /// Kind of the call.
    pub(crate) call: &'static str,
    /// Outcome of the call.
    pub(crate) outcome: &'static str,
}

/// Labels of requests of services whose requests may wait, by rank.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RankLabels {
    /// The rank.
    pub(crate) rank: u32,
    /// What became of the request.
    pub(crate) result: &'static str,
}

/// Labels of requests of services whose requests may wait, by organisation.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OrgLabels {
    /// The organisation, or `other` beyond the maximum number of labels.
    pub(crate) org: String,
    /// What became of the request.
    pub(crate) result: &'static str,
}

/// Metrics of a node and their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) refusals: Family<ReasonLabel, Counter>,
    pub(crate) attempts: Family<ReasonLabel, Counter>,
    pub(crate) store_calls: Family<StoreCallLabels, Counter>,
    pub(crate) connections: Counter,
    pub(crate) first_seconds: Histogram,
    pub(crate) total_seconds: Histogram,
    pub(crate) estimate_ratio: Histogram,
    pub(crate) time_factor: Family<SpeedLabel, Gauge<f64, AtomicU64>>,
    pub(crate) revision: Gauge,
    pub(crate) document_age: Gauge<f64, AtomicU64>,
    pub(crate) registry_age: Gauge<f64, AtomicU64>,
    pub(crate) lease_token: Gauge,
    pub(crate) incomplete_windows: Counter,
    pub(crate) endpoints: Gauge,
    pub(crate) peers: Gauge,
    pub(crate) suspects: Gauge,
    pub(crate) quarantined: Gauge,
    pub(crate) limited: Gauge,
    pub(crate) waiting: Gauge,
    pub(crate) leaving: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) store_restores: Counter,
    pub(crate) rollouts: Gauge,
    pub(crate) held_bytes: Gauge,
    pub(crate) held_limit: Gauge,
    pub(crate) waits: Family<RankLabels, Counter>,
    pub(crate) org_waits: Family<OrgLabels, Counter>,
    pub(crate) queued: Family<RankLabels, Gauge>,
}

/// Creates a histogram of seconds with buckets from 1 ms to 16 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

impl Metrics {
    fn register_placement(&self, registry: &mut Registry) {
        registry.register(
            "estimate_ratio",
            "Measured time to the first event or answer, divided by its estimate",
            self.estimate_ratio.clone(),
        );
        registry.register(
            "endpoint_time_factor",
            "Times of endpoints relative to the model of their service",
            self.time_factor.clone(),
        );
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("cumin");
        let metrics = Self {
            requests: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            store_calls: Family::default(),
            connections: Counter::default(),
            first_seconds: duration_histogram(),
            total_seconds: duration_histogram(),
            estimate_ratio: Histogram::new(exponential_buckets(
                0.125,
                std::f64::consts::SQRT_2,
                13,
            )),
            time_factor: Family::default(),
            revision: Gauge::default(),
            document_age: Gauge::default(),
            registry_age: Gauge::default(),
            lease_token: Gauge::default(),
            incomplete_windows: Counter::default(),
            endpoints: Gauge::default(),
            peers: Gauge::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
            limited: Gauge::default(),
            waiting: Gauge::default(),
            leaving: Gauge::default(),
            store_era: Gauge::default(),
            store_restores: Counter::default(),
            rollouts: Gauge::default(),
            held_bytes: Gauge::default(),
            held_limit: Gauge::default(),
            waits: Family::default(),
            org_waits: Family::default(),
            queued: Family::default(),
            registry: Registry::default(),
        };
        let m = &metrics;
        registry.register(
            "requests",
            "Requests by kind and outcome",
            m.requests.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused as not run",
            m.refusals.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at endpoints by end",
            m.attempts.clone(),
        );
        register_store(&mut registry, m);
        registry.register(
            "endpoint_connections",
            "Connections opened to endpoints",
            m.connections.clone(),
        );
        register_times(&mut registry, m);
        m.register_placement(&mut registry);
        registry.register("revision", "Revision in force", m.revision.clone());
        registry.register(
            "document_age_seconds",
            "Time since the revision was last known to be the newest",
            m.document_age.clone(),
        );
        registry.register(
            "registry_age_seconds",
            "Time since the endpoints were last read",
            m.registry_age.clone(),
        );
        registry.register(
            "lease_token",
            "Token of the lease, 0 without",
            m.lease_token.clone(),
        );
        registry.register(
            "usage_incomplete",
            "Usage windows reported without the counts of all expected nodes",
            m.incomplete_windows.clone(),
        );
        registry.register("endpoints", "Endpoints registered", m.endpoints.clone());
        registry.register("peers", "Other nodes heard", m.peers.clone());
        registry.register(
            "suspects",
            "Suspects of crashes that are known",
            m.suspects.clone(),
        );
        registry.register(
            "quarantined",
            "Suspects of crashes that are refused",
            m.quarantined.clone(),
        );
        register_bounds(&mut registry, m);
        register_waits(&mut registry, m);
        Self {
            registry,
            ..metrics
        }
    }
}

/// Registers the times of requests.
fn register_times(registry: &mut Registry, metrics: &Metrics) {
    registry.register(
        "first_seconds",
        "Time from a request to its first event or answer",
        metrics.first_seconds.clone(),
    );
    registry.register(
        "total_seconds",
        "Time from a request to the end of its answer",
        metrics.total_seconds.clone(),
    );
}

/// Registers the metrics of the store.
fn register_store(registry: &mut Registry, metrics: &Metrics) {
    let calls = metrics.store_calls.clone();
    registry.register("store_calls", "Calls to the store", calls);
    let era = metrics.store_era.clone();
    registry.register("store_era", "Era of the store", era);
    registry.register(
        "store_restores",
        "New eras of the store that were noticed",
        metrics.store_restores.clone(),
    );
}

/// Registers the gauges of limits: those that endpoints state, and that of the memory.
fn register_bounds(registry: &mut Registry, metrics: &Metrics) {
    for (name, help, gauge) in [
        (
            "limited_endpoints",
            "Endpoints that state a request rate as their limit",
            &metrics.limited,
        ),
        (
            "waiting_endpoints",
            "Endpoints that want no request from this entry for a time",
            &metrics.waiting,
        ),
        (
            "leaving_endpoints",
            "Registered endpoints that drain or stated that they leave",
            &metrics.leaving,
        ),
        (
            "rollouts",
            "Roll-outs without a final status",
            &metrics.rollouts,
        ),
        (
            "held_bytes",
            "Bytes of bodies and of answers that are held for callers",
            &metrics.held_bytes,
        ),
        (
            "held_limit_bytes",
            "Bytes that may be held for callers",
            &metrics.held_limit,
        ),
    ] {
        registry.register(name, help, gauge.clone());
    }
}

/// Registers the counts of requests of services whose requests may wait.
fn register_waits(registry: &mut Registry, metrics: &Metrics) {
    registry.register(
        "waits",
        "Requests by rank that waited for capacity, were served or refused",
        metrics.waits.clone(),
    );
    registry.register(
        "org_waits",
        "Requests by organisation that waited for capacity, were served or refused",
        metrics.org_waits.clone(),
    );
    registry.register(
        "queued",
        "Requests that wait for capacity at present, by rank",
        metrics.queued.clone(),
    );
}

impl Metrics {
    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut output = String::new();
        if let Err(error) = text::encode(&mut output, &self.registry) {
            log::error!("event=metrics_unwritten error={error}");
        }
        output
    }
}
