//! Outlier ejection among the endpoints of one service.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use cumin_types::{EndpointName, Millis, Service};

/// Settings of [`Ejector`].
#[derive(Clone, Debug, PartialEq)]
pub struct EjectOptions {
    /// The service.
    pub service: Service,
    /// Failures in a row that eject an endpoint.
    pub consecutive: u32,
    /// Time over which failure rates are compared.
    pub window: Millis,
    /// Fewest attempts in the window before a rate counts.
    pub volume: u32,
    /// A rate this far above that of the peers ejects an endpoint.
    pub margin: f64,
    /// First ejection time; it doubles with each further ejection.
    pub base: Millis,
    /// Longest ejection time.
    pub longest: Millis,
    /// Most endpoints out at once, as a part of all; one of two or more may always be out.
    pub share: f64,
    /// After this time without an ejection the next one is shorter by one doubling.
    pub calm: Millis,
    /// A probe without a result counts as lost after this time.
    pub probe: Millis,
}

impl Default for EjectOptions {
    fn default() -> Self {
        Self {
            service: Service::from("service"),
            consecutive: 5,
            window: Millis(10_000),
            volume: 20,
            margin: 0.3,
            base: Millis(5000),
            longest: Millis(300_000),
            share: 0.3,
            calm: Millis(60_000),
            probe: Millis(30_000),
        }
    }
}

/// Why an endpoint is ejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectReason {
    /// This many failures in a row.
    Consecutive(u32),
    /// Its failure rate against that of its peers.
    Rate {
        /// Failed part of its attempts.
        own: f64,
        /// Failed part of its peers' attempts.
        peers: f64,
    },
    /// The attempt that tested it after an ejection failed.
    Probe,
}

impl fmt::Display for EjectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Consecutive(count) => write!(f, "consecutive failures={count}"),
            Self::Rate { own, peers } => write!(f, "rate own={own:.2} peers={peers:.2}"),
            Self::Probe => f.write_str("probe"),
        }
    }
}

/// What the result of an attempt changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// Nothing.
    Same,
    /// The endpoint is out.
    Ejected {
        /// The endpoint.
        endpoint: EndpointName,
        /// Why.
        reason: EjectReason,
        /// When it may be probed.
        until: Millis,
        /// Recent ejections, this one included.
        times: u32,
    },
    /// The endpoint would be out, but too many are.
    Capped {
        /// The endpoint.
        endpoint: EndpointName,
        /// Why it would be.
        reason: EjectReason,
        /// Endpoints that are out.
        out: usize,
    },
    /// The probe succeeded and the endpoint takes work again.
    Returned {
        /// The endpoint.
        endpoint: EndpointName,
    },
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Same => f.write_str("decision=same"),
            Self::Ejected {
                endpoint,
                reason,
                until,
                times,
            } => write!(
                f,
                "decision=eject endpoint={endpoint} until_ms={until} times={times} reason={reason}"
            ),
            Self::Capped {
                endpoint,
                reason,
                out,
            } => {
                write!(
                    f,
                    "decision=eject_capped endpoint={endpoint} out={out} reason={reason}"
                )
            }
            Self::Returned { endpoint } => write!(f, "decision=return endpoint={endpoint}"),
        }
    }
}

/// Whether an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usable {
    /// Yes.
    Yes,
    /// For one attempt, which `probing` announces.
    Probe,
    /// No.
    No {
        /// When it may be probed.
        until: Millis,
    },
}

#[derive(Debug, Default)]
struct Health {
    /// Failures in a row.
    run: u32,
    /// Attempts and failures in each tenth of the window.
    slices: VecDeque<(u64, u32, u32)>,
    /// When it may be probed, if it is out.
    out: Option<Millis>,
    /// When the probe in flight was sent.
    probe: Option<Millis>,
    times: u32,
    /// End of the last ejection.
    last: Millis,
}

impl Health {
    fn count(&mut self, options: &EjectOptions, ok: bool, now: Millis) {
        self.run = if ok { 0 } else { self.run.saturating_add(1) };
        let slice = now.0 / (options.window.0 / 10).max(1);
        self.trim(slice);
        if self.slices.back().is_none_or(|(at, ..)| *at != slice) {
            self.slices.push_back((slice, 0, 0));
        }
        if let Some((_, all, failed)) = self.slices.back_mut() {
            *all = all.saturating_add(1);
            *failed = failed.saturating_add(u32::from(!ok));
        }
    }

    fn trim(&mut self, slice: u64) {
        while self.slices.front().is_some_and(|(at, ..)| at + 10 <= slice) {
            self.slices.pop_front();
        }
    }

    /// Returns attempts and failures in the window.
    fn totals(&self, options: &EjectOptions, now: Millis) -> (u32, u32) {
        let slice = now.0 / (options.window.0 / 10).max(1);
        self.slices
            .iter()
            .filter(|(at, ..)| at + 10 > slice)
            .fold((0, 0), |(all, failed), (_, a, f)| (all + a, failed + f))
    }
}

/// Health of the endpoints of one service, as this node sees them.
#[derive(Debug)]
pub struct Ejector {
    options: EjectOptions,
    endpoints: BTreeMap<EndpointName, Health>,
}

impl Ejector {
    /// Makes a state without endpoints.
    #[must_use]
    pub const fn new(options: EjectOptions) -> Self {
        Self {
            options,
            endpoints: BTreeMap::new(),
        }
    }

    /// Sets the endpoints of the service; what is known of those that stay is kept.
    pub fn members(&mut self, names: &[EndpointName]) {
        self.endpoints.retain(|name, _| names.contains(name));
        for name in names {
            self.endpoints.entry(name.clone()).or_default();
        }
    }

    /// Counts the result of an attempt. An endpoint that is not a member is ignored.
    pub fn report(&mut self, endpoint: &EndpointName, ok: bool, now: Millis) -> Report {
        let Some(health) = self.endpoints.get_mut(endpoint) else {
            return Report::Same;
        };
        if let Some(until) = health.out {
            // Late results of attempts sent before the ejection do not decide.
            if health.probe.is_none() || now < until {
                return Report::Same;
            }
            if ok {
                *health = Health {
                    times: health.times,
                    last: now,
                    ..Health::default()
                };
                return Report::Returned {
                    endpoint: endpoint.clone(),
                };
            }
            return self.eject(endpoint, EjectReason::Probe, now);
        }
        health.count(&self.options, ok, now);
        if ok {
            return Report::Same;
        }
        let run = health.run;
        let reason = if run >= self.options.consecutive {
            EjectReason::Consecutive(run)
        } else if let Some(reason) = self.outlier(endpoint, now) {
            reason
        } else {
            return Report::Same;
        };
        let out = self.out();
        if out >= self.most() {
            return Report::Capped {
                endpoint: endpoint.clone(),
                reason,
                out,
            };
        }
        self.eject(endpoint, reason, now)
    }

    /// Returns whether an endpoint may be used; one that is not a member may.
    #[must_use]
    pub fn usable(&self, endpoint: &EndpointName, now: Millis) -> Usable {
        let Some(health) = self.endpoints.get(endpoint) else {
            return Usable::Yes;
        };
        let busy = health.probe.map(|sent| sent.plus(self.options.probe.0));
        match health.out {
            None => Usable::Yes,
            Some(until) if now < until => Usable::No { until },
            Some(_) => match busy {
                Some(until) if now < until => Usable::No { until },
                _ => Usable::Probe,
            },
        }
    }

    /// Announces that the attempt now sent to the endpoint is its probe.
    pub fn probing(&mut self, endpoint: &EndpointName, now: Millis) {
        if self.usable(endpoint, now) == Usable::Probe
            && let Some(health) = self.endpoints.get_mut(endpoint)
        {
            health.probe = Some(now);
        }
    }

    /// Returns the endpoints that are out.
    #[must_use]
    pub fn ejected(&self) -> Vec<EndpointName> {
        let out = |(name, health): (&EndpointName, &Health)| health.out.map(|_| name.clone());
        self.endpoints.iter().filter_map(out).collect()
    }

    fn out(&self) -> usize {
        self.endpoints
            .values()
            .filter(|health| health.out.is_some())
            .count()
    }

    /// Most endpoints that may be out.
    fn most(&self) -> usize {
        let count = self.endpoints.len();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a part of a small count"
        )]
        let share = (count as f64 * self.options.share) as usize;
        if count < 2 {
            0
        } else {
            share.clamp(1, count - 1)
        }
    }

    fn outlier(&self, endpoint: &EndpointName, now: Millis) -> Option<EjectReason> {
        let rate = |(all, failed): (u32, u32)| f64::from(failed) / f64::from(all.max(1));
        let own = self.endpoints.get(endpoint)?.totals(&self.options, now);
        let peers = self
            .endpoints
            .iter()
            .filter(|(name, health)| *name != endpoint && health.out.is_none())
            .map(|(_, health)| health.totals(&self.options, now))
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let (enough, own, peers) = (
            own.0 >= self.options.volume && peers.0 >= self.options.volume,
            rate(own),
            rate(peers),
        );
        (enough && own > peers + self.options.margin).then_some(EjectReason::Rate { own, peers })
    }

    fn eject(&mut self, endpoint: &EndpointName, reason: EjectReason, now: Millis) -> Report {
        let options = &self.options;
        let Some(health) = self.endpoints.get_mut(endpoint) else {
            return Report::Same;
        };
        let calm = now.since(health.last) / options.calm.0.max(1);
        let times = health
            .times
            .saturating_sub(u32::try_from(calm).unwrap_or(u32::MAX))
            .saturating_add(1);
        let doubled = 1_u64.checked_shl(times - 1).unwrap_or(u64::MAX);
        let time = options
            .base
            .0
            .saturating_mul(doubled)
            .min(options.longest.0);
        let until = now.plus(time);
        *health = Health {
            out: Some(until),
            times,
            last: until,
            ..Health::default()
        };
        Report::Ejected {
            endpoint: endpoint.clone(),
            reason,
            until,
            times,
        }
    }
}
