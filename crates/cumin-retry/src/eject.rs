//! Outlier ejection among the endpoints of one service.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use cumin_types::{EndpointName, Millis, Service};

/// Settings of [`Ejector`].
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionOptions {
    /// Name of the service.
    pub service: Service,
    /// Number of consecutive failures that eject an endpoint.
    pub consecutive_failures: u32,
    /// Length of the sliding window over which failure rates are compared.
    pub window: Millis,
    /// Smallest number of attempts in the window for which a failure rate is compared.
    pub min_attempts: u32,
    /// Difference to the failure rate of the other endpoints above which an endpoint is ejected.
    pub rate_margin: f64,
    /// Cooldown after the first ejection; doubles with each further one.
    pub base_cooldown: Millis,
    /// Longest cooldown.
    pub max_cooldown: Millis,
    /// Largest fraction of the endpoints that may be ejected at once. One of two or more
    /// endpoints may always be ejected.
    pub max_share: f64,
    /// Time without an ejection after which one doubling of the cooldown is undone.
    pub decay_interval: Millis,
    /// Time after which a probe without a result counts as lost.
    pub probe_timeout: Millis,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            service: Service::from("service"),
            consecutive_failures: 5,
            window: Millis(10_000),
            min_attempts: 20,
            rate_margin: 0.3,
            base_cooldown: Millis(5000),
            max_cooldown: Millis(300_000),
            max_share: 0.3,
            decay_interval: Millis(60_000),
            probe_timeout: Millis(30_000),
        }
    }
}

/// Reason why an endpoint is ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionReason {
    /// This many consecutive attempts failed.
    ConsecutiveFailures(u32),
    /// The failure rate is far above that of the other endpoints.
    FailureRate {
        /// Failure rate of the endpoint, from 0 to 1.
        own: f64,
        /// Failure rate of the other endpoints, from 0 to 1.
        peers: f64,
    },
    /// The probe after the cooldown failed.
    FailedProbe,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConsecutiveFailures(count) => write!(f, "consecutive failures={count}"),
            Self::FailureRate { own, peers } => write!(f, "rate own={own:.2} peers={peers:.2}"),
            Self::FailedProbe => f.write_str("probe"),
        }
    }
}

/// Effect of an attempt's result on the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthChange {
    /// The endpoint stays available or ejected.
    Unchanged,
    /// The endpoint was ejected.
    Ejected {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Reason for the ejection.
        reason: EjectionReason,
        /// End of the cooldown, when the endpoint may be probed.
        until: Millis,
        /// Number of recent ejections, including this one.
        ejections: u32,
    },
    /// The endpoint was not ejected because too many endpoints are.
    Capped {
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Reason for which it would be ejected.
        reason: EjectionReason,
        /// Number of ejected endpoints.
        ejected: usize,
    },
    /// The probe succeeded, so the endpoint is available again.
    Restored {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
}

impl fmt::Display for HealthChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unchanged => f.write_str("decision=same"),
            Self::Ejected {
                endpoint,
                reason,
                until,
                ejections,
            } => write!(
                f,
                "decision=eject endpoint={endpoint} until_ms={until} times={ejections} reason={reason}"
            ),
            Self::Capped {
                endpoint,
                reason,
                ejected,
            } => {
                write!(
                    f,
                    "decision=eject_capped endpoint={endpoint} out={ejected} reason={reason}"
                )
            }
            Self::Restored { endpoint } => write!(f, "decision=return endpoint={endpoint}"),
        }
    }
}

/// Whether an endpoint may be used for attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The endpoint may be used.
    Available,
    /// The endpoint may be used for one attempt, which [`Ejector::probe_started`] records.
    ProbeOnly,
    /// The endpoint must not be used.
    Unavailable {
        /// When the endpoint may be probed.
        until: Millis,
    },
}

#[derive(Debug, Default)]
struct EndpointHealth {
    /// Number of failures since the last success.
    consecutive_failures: u32,
    /// Number of attempts and failures in each tenth of the window, with the index of that
    /// bucket.
    buckets: VecDeque<(u64, u32, u32)>,
    /// End of the cooldown, if the endpoint is ejected.
    ejected_until: Option<Millis>,
    /// When the probe in flight was sent.
    probe_sent: Option<Millis>,
    /// Number of recent ejections.
    ejections: u32,
    /// End of the last ejection.
    ejection_end: Millis,
}

impl EndpointHealth {
    fn record(&mut self, options: &EjectionOptions, ok: bool, now: Millis) {
        self.consecutive_failures = if ok {
            0
        } else {
            self.consecutive_failures.saturating_add(1)
        };
        let bucket = now.0 / (options.window.0 / 10).max(1);
        self.expire(bucket);
        if self.buckets.back().is_none_or(|(at, ..)| *at != bucket) {
            self.buckets.push_back((bucket, 0, 0));
        }
        if let Some((_, all, failed)) = self.buckets.back_mut() {
            *all = all.saturating_add(1);
            *failed = failed.saturating_add(u32::from(!ok));
        }
    }

    fn expire(&mut self, bucket: u64) {
        while self
            .buckets
            .front()
            .is_some_and(|(at, ..)| at + 10 <= bucket)
        {
            self.buckets.pop_front();
        }
    }

    /// Returns the number of attempts and failures in the window.
    fn totals(&self, options: &EjectionOptions, now: Millis) -> (u32, u32) {
        let bucket = now.0 / (options.window.0 / 10).max(1);
        self.buckets
            .iter()
            .filter(|(at, ..)| at + 10 > bucket)
            .fold((0, 0), |(attempts, failures), (_, all, failed)| {
                (attempts + all, failures + failed)
            })
    }
}

/// Ejects failing endpoints of one service, based on the results of this node's attempts.
#[derive(Debug)]
pub struct Ejector {
    options: EjectionOptions,
    endpoints: BTreeMap<EndpointName, EndpointHealth>,
}

impl Ejector {
    /// Creates an ejector without endpoints.
    #[must_use]
    pub const fn new(options: EjectionOptions) -> Self {
        Self {
            options,
            endpoints: BTreeMap::new(),
        }
    }

    /// Sets the endpoints of the service, and keeps the state of those that were set before.
    pub fn set_endpoints(&mut self, names: &[EndpointName]) {
        self.endpoints.retain(|name, _| names.contains(name));
        for name in names {
            self.endpoints.entry(name.clone()).or_default();
        }
    }

    /// Records the result of an attempt. Results of unknown endpoints are ignored.
    pub fn record_result(
        &mut self,
        endpoint: &EndpointName,
        ok: bool,
        now: Millis,
    ) -> HealthChange {
        let Some(health) = self.endpoints.get_mut(endpoint) else {
            return HealthChange::Unchanged;
        };
        if let Some(until) = health.ejected_until {
            // Late results of attempts sent before the ejection are ignored.
            if health.probe_sent.is_none() || now < until {
                return HealthChange::Unchanged;
            }
            if ok {
                *health = EndpointHealth {
                    ejections: health.ejections,
                    ejection_end: now,
                    ..EndpointHealth::default()
                };
                return HealthChange::Restored {
                    endpoint: endpoint.clone(),
                };
            }
            return self.eject(endpoint, EjectionReason::FailedProbe, now);
        }
        health.record(&self.options, ok, now);
        if ok {
            return HealthChange::Unchanged;
        }
        let failures = health.consecutive_failures;
        let reason = if failures >= self.options.consecutive_failures {
            EjectionReason::ConsecutiveFailures(failures)
        } else if let Some(reason) = self.failure_rate_reason(endpoint, now) {
            reason
        } else {
            return HealthChange::Unchanged;
        };
        let ejected = self.ejected_count();
        if ejected >= self.max_ejected() {
            return HealthChange::Capped {
                endpoint: endpoint.clone(),
                reason,
                ejected,
            };
        }
        self.eject(endpoint, reason, now)
    }

    /// Returns whether an endpoint may be used. Unknown endpoints are available.
    #[must_use]
    pub fn availability(&self, endpoint: &EndpointName, now: Millis) -> Availability {
        let Some(health) = self.endpoints.get(endpoint) else {
            return Availability::Available;
        };
        let probe_end = health
            .probe_sent
            .map(|sent| sent.plus(self.options.probe_timeout.0));
        match health.ejected_until {
            None => Availability::Available,
            Some(until) if now < until => Availability::Unavailable { until },
            Some(_) => match probe_end {
                Some(until) if now < until => Availability::Unavailable { until },
                _ => Availability::ProbeOnly,
            },
        }
    }

    /// Records that the attempt now sent to the endpoint is its probe, if one is due.
    pub fn probe_started(&mut self, endpoint: &EndpointName, now: Millis) {
        if self.availability(endpoint, now) == Availability::ProbeOnly
            && let Some(health) = self.endpoints.get_mut(endpoint)
        {
            health.probe_sent = Some(now);
        }
    }

    /// Returns the ejected endpoints, including those that may be probed.
    #[must_use]
    pub fn ejected(&self) -> Vec<EndpointName> {
        let ejected = |(name, health): (&EndpointName, &EndpointHealth)| {
            health.ejected_until.map(|_| name.clone())
        };
        self.endpoints.iter().filter_map(ejected).collect()
    }

    fn ejected_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|health| health.ejected_until.is_some())
            .count()
    }

    /// Returns the largest number of endpoints that may be ejected at once.
    fn max_ejected(&self) -> usize {
        let count = self.endpoints.len();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a fraction of a small count"
        )]
        let share = (count as f64 * self.options.max_share) as usize;
        if count < 2 {
            0
        } else {
            share.clamp(1, count - 1)
        }
    }

    fn failure_rate_reason(&self, endpoint: &EndpointName, now: Millis) -> Option<EjectionReason> {
        let rate = |(all, failed): (u32, u32)| f64::from(failed) / f64::from(all.max(1));
        let own = self.endpoints.get(endpoint)?.totals(&self.options, now);
        let peers = self
            .endpoints
            .iter()
            .filter(|(name, health)| *name != endpoint && health.ejected_until.is_none())
            .map(|(_, health)| health.totals(&self.options, now))
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let (enough, own, peers) = (
            own.0 >= self.options.min_attempts && peers.0 >= self.options.min_attempts,
            rate(own),
            rate(peers),
        );
        (enough && own > peers + self.options.rate_margin)
            .then_some(EjectionReason::FailureRate { own, peers })
    }

    fn eject(
        &mut self,
        endpoint: &EndpointName,
        reason: EjectionReason,
        now: Millis,
    ) -> HealthChange {
        let options = &self.options;
        let Some(health) = self.endpoints.get_mut(endpoint) else {
            return HealthChange::Unchanged;
        };
        let decay = now.since(health.ejection_end) / options.decay_interval.0.max(1);
        let ejections = health
            .ejections
            .saturating_sub(u32::try_from(decay).unwrap_or(u32::MAX))
            .saturating_add(1);
        let doubled = 1_u64.checked_shl(ejections - 1).unwrap_or(u64::MAX);
        let cooldown = options
            .base_cooldown
            .0
            .saturating_mul(doubled)
            .min(options.max_cooldown.0);
        let until = now.plus(cooldown);
        *health = EndpointHealth {
            ejected_until: Some(until),
            ejections,
            ejection_end: until,
            ..EndpointHealth::default()
        };
        HealthChange::Ejected {
            endpoint: endpoint.clone(),
            reason,
            until,
            ejections,
        }
    }
}
