//! Detects requests that crash endpoints, and rejects them for a while.
//!
//! Every request in flight at an endpoint that crashes becomes a suspect. A suspect runs again
//! only at an endpoint without other suspects of the same crash, alone if possible, and is
//! cleared when it completes. A suspect of two crashes is quarantined once no other request is
//! suspected of the later crash: either it ran alone, or all requests that ran beside it were
//! cleared. A suspect of three crashes is quarantined when all other suspects of the last crash
//! were in fewer crashes. Nodes exchange their records, and wait for those of other nodes before
//! they quarantine a request.

use std::collections::{BTreeSet, HashMap, HashSet};

use cumin_types::{EndpointName, Fingerprint, Millis, NodeName, WallMillis, score};

use crate::records::{Limits, QuarantineRecord, RecordState, RecordStore};
use crate::reservations::{RESERVATION_TTL, Reservations};
use crate::verdict::{
    AttemptEnd, Candidate, CrashReport, Rejection, Selection, Verdict, WaitReason,
};

/// Settings of [`Quarantine`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineOptions {
    /// Name of this node.
    pub node: NodeName,
    /// When this process started. Its records are numbered from there, so that they differ from
    /// those of an earlier process of this node.
    pub started: WallMillis,
    /// Time from a crash to a quarantine, in which the records of other nodes arrive.
    pub confirm_delay: Millis,
    /// Time from a reservation to its use, in which other nodes learn of the reservation.
    pub settle_delay: Millis,
    /// How long a request stays a suspect.
    pub suspect_ttl: Millis,
    /// How long a request stays quarantined.
    pub quarantine_ttl: Millis,
    /// Longest time after its last crash that a suspect waits for other suspects of that crash, or
    /// for the node that observed it, to run first. Records about one endpoint within this time
    /// also count as one crash.
    pub max_wait: Millis,
    /// Largest fraction of the endpoints of a service that is reserved for suspects.
    pub max_share: f64,
    /// Largest number of suspects that this node records for one crash. Those that started last
    /// are recorded.
    pub max_suspects: usize,
    /// Largest number of records held.
    pub max_records: usize,
    /// Largest number of crashes held.
    pub max_crashes: usize,
    /// Largest number of records that one call of [`Quarantine::gossip`] returns.
    pub gossip_batch: usize,
    /// Number of simultaneous crashes that are an outage, which makes no suspects, unless one
    /// request was in flight at two of them.
    pub outage_crashes: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            node: NodeName::from("node"),
            started: WallMillis(0),
            confirm_delay: Millis(3000),
            settle_delay: Millis(1500),
            suspect_ttl: Millis(120_000),
            quarantine_ttl: Millis(600_000),
            max_wait: Millis(5000),
            max_share: 0.25,
            max_suspects: 128,
            max_records: 4096,
            max_crashes: 256,
            gossip_batch: 32,
            outage_crashes: 4,
        }
    }
}

/// Time after which an endpoint is selected again for a waiting suspect.
const RECHECK_INTERVAL: Millis = Millis(100);

/// Suspects, quarantined requests and reserved endpoints, as known to one node.
#[derive(Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    records: RecordStore,
    /// Attempts of this node in flight at each endpoint, oldest first.
    in_flight: HashMap<EndpointName, Vec<Fingerprint>>,
    /// Endpoints reserved by this node.
    reservations: Reservations,
    last_number: u64,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        let limits = Limits {
            max_records: options.max_records,
            max_crashes: options.max_crashes,
            crash_window: options.max_wait,
            outage_crashes: options.outage_crashes,
            outage_window: Millis(1000),
            max_sends: 30,
        };
        Self {
            records: RecordStore::new(limits),
            in_flight: HashMap::new(),
            reservations: Reservations::default(),
            last_number: options.started.0,
            options,
        }
    }

    /// Decides whether and how a request may run. Called when it arrives and before each attempt.
    pub fn check(&mut self, fingerprint: &Fingerprint, now: Millis) -> Verdict {
        if !self.records.contains(fingerprint) {
            return Verdict::Clear;
        }
        if let Some((until, crashes)) = self.records.quarantine(fingerprint, now) {
            let retry_after = Millis(until.since(now));
            return Verdict::Rejected(Rejection {
                fingerprint: *fingerprint,
                crashes,
                retry_after,
            });
        }
        let crashes = self.records.suspected_crashes(fingerprint, now);
        let Some((at, last_crash)) = crashes.last().copied() else {
            return Verdict::Clear;
        };
        let count = saturating_u32(crashes.len());
        if count < 2 {
            return Verdict::Suspect { crashes: count };
        }
        let confirmed_at = at.plus(self.options.confirm_delay.0);
        if now < confirmed_at {
            return Verdict::Hold {
                until: confirmed_at,
            };
        }
        if !self.is_cause(fingerprint, count, last_crash, now) {
            return Verdict::Suspect { crashes: count };
        }
        let retry_after = self.options.quarantine_ttl;
        self.add_record(
            *fingerprint,
            RecordState::Quarantined { crashes: count },
            retry_after,
            now,
        );
        Verdict::Rejected(Rejection {
            fingerprint: *fingerprint,
            crashes: count,
            retry_after,
        })
    }

    /// Selects the endpoint for a suspect, given the time left until its deadline and the estimated
    /// duration of an attempt. Reserves the selected endpoint, or one whose other requests must
    /// complete first.
    pub fn select_endpoint(
        &mut self,
        fingerprint: &Fingerprint,
        candidates: &[Candidate],
        time_left: Millis,
        estimate: Millis,
        now: Millis,
    ) -> Selection {
        self.reservations.prune(now);
        let crashes = self.records.suspected_crashes(fingerprint, now);
        let urgent = time_left.0
            < estimate
                .0
                .saturating_mul(2)
                .saturating_add(RECHECK_INTERVAL.0);
        if let Some(reason) = self.wait_reason(fingerprint, &crashes, now)
            && (reason == WaitReason::AlreadyRunning || !urgent)
        {
            return wait_selection(reason, None);
        }
        if candidates.is_empty() {
            return Selection::None;
        }
        let reserved_elsewhere = self.reserved_elsewhere(now);
        let mut usable: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| self.is_separate(fingerprint, &candidate.endpoint, now))
            .collect();
        usable.sort_by_key(|Candidate { endpoint, running }| {
            let order = score(&fingerprint.0.0, endpoint.as_str());
            (reserved_elsewhere.contains(endpoint), *running, order)
        });
        // Reserving the only endpoint would stop the service.
        let only_endpoint = candidates.len() == 1;
        let selection = self.select_now(
            &usable,
            &reserved_elsewhere,
            crashes.len(),
            urgent || only_endpoint,
            now,
        );
        if let Some(endpoint) = selection.as_ref().and_then(Selection::endpoint).cloned() {
            if !matches!(selection, Some(Selection::Exposed { .. }))
                && let Some(fingerprint) =
                    self.reservations
                        .start_suspect(&endpoint, *fingerprint, estimate, now)
            {
                let left = estimate.plus(RESERVATION_TTL.0);
                self.add_record(fingerprint, RecordState::Reserved { endpoint }, left, now);
            }
            return selection.unwrap_or(Selection::None);
        }
        let endpoints: BTreeSet<&EndpointName> = candidates
            .iter()
            .map(|candidate| &candidate.endpoint)
            .collect();
        self.reservations
            .add_waiting(*fingerprint, candidates[0].endpoint.clone(), now);
        for (endpoint, fingerprint) in self.reservations.renew_expiring(&endpoints, now) {
            self.add_record(
                fingerprint,
                RecordState::Reserved { endpoint },
                RESERVATION_TTL,
                now,
            );
        }
        let (own_count, lacking) = (
            self.reservations.reserved_count(&endpoints),
            self.reservations.lacks_endpoints(&endpoints),
        );
        let other_count = reserved_elsewhere
            .iter()
            .filter(|name| endpoints.contains(name))
            .count();
        let below_limit = own_count == 0
            || own_count + other_count < max_reserved(candidates.len(), self.options.max_share);
        let next = usable.iter().find(|candidate| {
            let name = &candidate.endpoint;
            !reserved_elsewhere.contains(name) && self.reservations.get(name).is_none()
        });
        match next.filter(|_| below_limit && lacking && !only_endpoint) {
            Some(Candidate { endpoint, .. }) => {
                let endpoint = endpoint.clone();
                self.reservations.reserve(&endpoint, *fingerprint, now);
                let state = RecordState::Reserved {
                    endpoint: endpoint.clone(),
                };
                self.add_record(*fingerprint, state, RESERVATION_TTL, now);
                wait_selection(WaitReason::Draining, Some(endpoint))
            }
            None if lacking => wait_selection(WaitReason::ShareUsed, None),
            None => wait_selection(WaitReason::Draining, None),
        }
    }

    /// Returns where a suspect of `crashes` crashes can run now, if anywhere. `usable` is sorted by
    /// preference.
    fn select_now(
        &self,
        usable: &[&Candidate],
        reserved_elsewhere: &BTreeSet<EndpointName>,
        crashes: usize,
        urgent: bool,
        now: Millis,
    ) -> Option<Selection> {
        let idle = |candidate: &&&Candidate| {
            candidate.running == 0
                && !reserved_elsewhere.contains(&candidate.endpoint)
                && !self.in_flight.contains_key(&candidate.endpoint)
        };
        // Other nodes must know of a reservation before it is used. Otherwise suspects of one crash
        // at different nodes would run together at the only idle endpoint.
        let settled = |candidate: &&&Candidate| {
            let reservation = self.reservations.get(&candidate.endpoint);
            reservation.is_some_and(|reservation| {
                now.since(reservation.reserved_at) >= self.options.settle_delay.0
            })
        };
        let mut ready = usable.iter().filter(idle);
        if let Some(candidate) = ready.find(|candidate| urgent || settled(candidate)) {
            let endpoint = candidate.endpoint.clone();
            return Some(Selection::Alone { endpoint });
        }
        if crashes < 2
            && let Some((endpoint, suspects)) = self.shared_endpoint(usable, now)
        {
            return Some(Selection::Beside { endpoint, suspects });
        }
        let least = usable.first().filter(|_| urgent)?;
        Some(Selection::Exposed {
            endpoint: least.endpoint.clone(),
            running: least.running,
        })
    }

    /// Records that an attempt is sent to an endpoint.
    pub fn attempt_started(&mut self, fingerprint: &Fingerprint, endpoint: &EndpointName) {
        self.in_flight
            .entry(endpoint.clone())
            .or_default()
            .push(*fingerprint);
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(
        &mut self,
        fingerprint: &Fingerprint,
        endpoint: &EndpointName,
        end: AttemptEnd,
        now: Millis,
    ) {
        if let Some(attempts) = self.in_flight.get_mut(endpoint) {
            if let Some(index) = attempts.iter().position(|other| other == fingerprint) {
                attempts.remove(index);
            }
            if attempts.is_empty() {
                self.in_flight.remove(endpoint);
                if let Some(fingerprint) = self.reservations.finish_suspects(endpoint, now) {
                    self.clear_reservation(&fingerprint, endpoint, now);
                }
            }
        }
        if end == AttemptEnd::Done {
            self.records.clear(fingerprint, now, |state| {
                matches!(state, RecordState::Suspect { .. })
            });
        }
    }

    /// Records the crash of an endpoint: without notice, its process died or all its connections
    /// broke at once. This ends all attempts in flight there.
    pub fn endpoint_crashed(&mut self, endpoint: &EndpointName, now: Millis) -> CrashReport {
        let mut fingerprints = self.in_flight.remove(endpoint).unwrap_or_default();
        self.release_reservation(endpoint, now);
        // Newest first, as a request that crashes an endpoint mostly does so soon after it starts.
        fingerprints.reverse();
        let mut seen = HashSet::new();
        fingerprints.retain(|fingerprint| seen.insert(*fingerprint));
        fingerprints.truncate(self.options.max_suspects);
        self.last_number += 1;
        for fingerprint in &fingerprints {
            let item = QuarantineRecord {
                author: self.options.node.clone(),
                number: self.last_number,
                fingerprint: *fingerprint,
                state: RecordState::Suspect {
                    endpoint: endpoint.clone(),
                },
                left: self.options.suspect_ttl,
            };
            self.records.insert(item, now);
        }
        let count =
            |fingerprint| saturating_u32(self.records.suspected_crashes(fingerprint, now).len());
        CrashReport {
            endpoint: endpoint.clone(),
            suspects: fingerprints
                .iter()
                .map(|fingerprint| (*fingerprint, count(fingerprint)))
                .collect(),
        }
    }

    /// Returns the endpoints that this or any other node reserves for suspects. They get no other
    /// requests.
    #[must_use]
    pub fn reserved_endpoints(&self, now: Millis) -> Vec<EndpointName> {
        let others = self.records.reserved_by_others(&self.options.node, now);
        let own = self.reservations.active(now).cloned();
        let names: BTreeSet<EndpointName> = others.into_keys().chain(own).collect();
        names.into_iter().collect()
    }

    /// Merges records of other nodes, which may arrive repeatedly, late or out of order.
    pub fn merge(&mut self, records: &[QuarantineRecord], now: Millis) {
        for record in records {
            // A sender with a fault must not extend a record beyond the settings of this node.
            let max_ttl = self.options.quarantine_ttl.max(self.options.suspect_ttl);
            let left = record.left.min(max_ttl);
            self.records.insert(
                QuarantineRecord {
                    left,
                    ..record.clone()
                },
                now,
            );
        }
    }

    /// Returns records to send to other nodes, those sent least often first.
    pub fn gossip(&mut self, now: Millis) -> Vec<QuarantineRecord> {
        self.records.gossip(self.options.gossip_batch, now)
    }

    /// Clears a quarantined or suspected request. The change spreads to all nodes by gossip.
    pub fn release(&mut self, fingerprint: &Fingerprint, now: Millis) {
        self.records.clear(fingerprint, now, |_| true);
    }

    /// Returns the quarantined requests.
    #[must_use]
    pub fn quarantined_requests(&self, now: Millis) -> Vec<Rejection> {
        let rejection = |(fingerprint, crashes, retry_after)| Rejection {
            fingerprint,
            crashes,
            retry_after,
        };
        self.records
            .quarantines(now)
            .into_iter()
            .map(rejection)
            .collect()
    }

    /// Returns the number of records held.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the endpoints that are left to the suspects of other nodes.
    ///
    /// When two nodes reserve the same endpoint, the first by name keeps it and the other releases
    /// it, as otherwise both would wait for it. A node also keeps an endpoint that already runs its
    /// suspects.
    fn reserved_elsewhere(&mut self, now: Millis) -> BTreeSet<EndpointName> {
        let others = self.records.reserved_by_others(&self.options.node, now);
        let mut reserved_elsewhere = BTreeSet::new();
        for (endpoint, node) in others {
            match self.reservations.get(&endpoint) {
                Some(reservation) if reservation.in_use || self.options.node < node => continue,
                Some(_) => self.release_reservation(&endpoint, now),
                None => {}
            }
            reserved_elsewhere.insert(endpoint);
        }
        reserved_elsewhere
    }

    /// Returns whether a suspect of `count` crashes counts as the cause of its last one: that crash
    /// has no other suspect left or, from three crashes on, all its others were in fewer crashes.
    fn is_cause(
        &self,
        fingerprint: &Fingerprint,
        count: u32,
        last_crash: u64,
        now: Millis,
    ) -> bool {
        let mut others = self.records.suspects(last_crash, now);
        others.remove(fingerprint);
        let fewer = |other| self.records.suspected_crashes(other, now).len() < count as usize;
        others.is_empty() || (count >= 3 && others.iter().all(fewer))
    }

    /// Returns why a suspect must wait for other attempts, if it must.
    fn wait_reason(
        &self,
        fingerprint: &Fingerprint,
        crashes: &[(Millis, u64)],
        now: Millis,
    ) -> Option<WaitReason> {
        if self
            .in_flight
            .values()
            .any(|fingerprints| fingerprints.contains(fingerprint))
        {
            return Some(WaitReason::AlreadyRunning);
        }
        let (at, last_crash) = crashes.last()?;
        if now.since(*at) >= self.options.max_wait.0 {
            return None;
        }
        if !self
            .records
            .reported_by(fingerprint, &self.options.node, now)
        {
            return Some(WaitReason::OtherNode);
        }
        // Suspects with fewer crashes are likely harmless. Once they are cleared, this one can be
        // quarantined without a further crash.
        let has_fewer = |other: &Fingerprint| {
            let count = self.records.suspected_crashes(other, now).len();
            other != fingerprint && count < crashes.len()
        };
        let wait = crashes.len() > 1
            && self
                .records
                .suspects(*last_crash, now)
                .iter()
                .any(has_fewer);
        wait.then_some(WaitReason::OthersFirst)
    }

    /// Returns whether no attempt of this node at the endpoint is suspected of a crash that the
    /// suspect is suspected of.
    fn is_separate(&self, fingerprint: &Fingerprint, endpoint: &EndpointName, now: Millis) -> bool {
        let crashes = self.records.suspected_crashes(fingerprint, now);
        self.in_flight
            .get(endpoint)
            .into_iter()
            .flatten()
            .all(|other| {
                let others = self.records.suspected_crashes(other, now);
                others.iter().all(|crash| !crashes.contains(crash))
            })
    }

    /// Returns a reserved endpoint that runs suspects of this node only, with their number.
    fn shared_endpoint(&self, usable: &[&Candidate], now: Millis) -> Option<(EndpointName, u32)> {
        let is_suspect = |fingerprint| !self.records.suspected_crashes(fingerprint, now).is_empty();
        usable.iter().find_map(|candidate| {
            let attempts = self.in_flight.get(&candidate.endpoint)?;
            let count = saturating_u32(attempts.len());
            let only_suspects = candidate.running <= count && attempts.iter().all(is_suspect);
            let reserved = self.reservations.get(&candidate.endpoint).is_some();
            (reserved && only_suspects).then(|| (candidate.endpoint.clone(), count))
        })
    }

    fn release_reservation(&mut self, endpoint: &EndpointName, now: Millis) {
        if let Some(fingerprint) = self.reservations.remove(endpoint) {
            self.clear_reservation(&fingerprint, endpoint, now);
        }
    }

    fn clear_reservation(
        &mut self,
        fingerprint: &Fingerprint,
        endpoint: &EndpointName,
        now: Millis,
    ) {
        self.records.clear(
            fingerprint,
            now,
            |state| matches!(state, RecordState::Reserved { endpoint: other } if other == endpoint),
        );
    }

    fn add_record(
        &mut self,
        fingerprint: Fingerprint,
        state: RecordState,
        left: Millis,
        now: Millis,
    ) {
        self.last_number += 1;
        let author = self.options.node.clone();
        let number = self.last_number;
        self.records.insert(
            QuarantineRecord {
                author,
                number,
                fingerprint,
                state,
                left,
            },
            now,
        );
    }
}

/// Returns the decision to wait.
const fn wait_selection(reason: WaitReason, endpoint: Option<EndpointName>) -> Selection {
    Selection::Wait {
        reason,
        endpoint,
        recheck_after: RECHECK_INTERVAL,
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the largest number of `count` endpoints that may be reserved at once, at least one.
fn max_reserved(count: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a fraction of a small count"
    )]
    let limit = (count as f64 * share) as usize;
    limit.max(1)
}
