//! Finds the request that crashes endpoints and stops running it.
//!
//! Every request in flight at a crashed endpoint is a suspect. A suspect runs again only apart
//! from those it shared a crash with, alone if that is possible, and is cleared when it
//! completes. A suspect of two crashes is quarantined once nobody else is suspected of the
//! later one: it ran alone, or all that ran beside it were cleared. A suspect of three crashes
//! is quarantined when all others aboard the last one were in fewer. Nodes exchange their
//! records, and wait for those of the others before they judge.

use std::collections::{BTreeSet, HashMap, HashSet};

use cumin_types::{EndpointName, Fingerprint, Millis, NodeName, WallMillis, score};

use crate::records::{Evidence, Limits, Quarantined, State};
use crate::reservations::{RESERVED, Reservations};
use crate::verdict::{Candidate, Choice, Crash, End, Rejection, Verdict, WaitReason};

/// Settings of [`Quarantine`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineOptions {
    /// This node.
    pub node: NodeName,
    /// When this process started; its records are numbered from it.
    pub started: WallMillis,
    /// Time from a crash to a judgement, in which the records of other nodes arrive.
    pub confirm: Millis,
    /// Time from a reservation to its use, in which the other nodes learn of it.
    pub settle: Millis,
    /// Time that a request stays a suspect.
    pub suspicion: Millis,
    /// Time that a request stays quarantined.
    pub quarantine: Millis,
    /// Longest time that a suspect waits for others aboard its last crash, or for the node
    /// that saw its crash, to run first.
    pub hold: Millis,
    /// Most endpoints that run suspects or are kept free for them, as a part of all.
    pub share: f64,
    /// Suspects of one crash and node; those that started last are kept.
    pub aboard: usize,
    /// Records held.
    pub records: usize,
    /// Crashes held.
    pub crashes: usize,
    /// Records handed out by one `gossip`.
    pub items: usize,
    /// This many crashes at once, without a request that was at two of them, are an outage
    /// and make no suspects.
    pub outage: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            node: NodeName::from("node"),
            started: WallMillis(0),
            confirm: Millis(3000),
            settle: Millis(1500),
            suspicion: Millis(120_000),
            quarantine: Millis(600_000),
            hold: Millis(5000),
            share: 0.25,
            aboard: 128,
            records: 4096,
            crashes: 256,
            items: 32,
            outage: 4,
        }
    }
}

/// How soon a waiting suspect is looked at again.
const AGAIN: Millis = Millis(100);

/// Suspects and quarantined requests, as one node knows them.
#[derive(Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    evidence: Evidence,
    /// Attempts of this node in flight, oldest first.
    flights: HashMap<EndpointName, Vec<Fingerprint>>,
    /// Endpoints that this node keeps free of other work.
    reserved: Reservations,
    number: u64,
}

impl Quarantine {
    /// Makes a state that suspects nothing.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        let limits = Limits {
            records: options.records,
            crashes: options.crashes,
            same: options.hold,
            outage: options.outage,
            together: Millis(1000),
            sends: 30,
        };
        Self {
            evidence: Evidence::new(limits),
            flights: HashMap::new(),
            reserved: Reservations::default(),
            number: options.started.0,
            options,
        }
    }

    /// Decides how a request may be run; asked when it arrives and before each attempt.
    pub fn check(&mut self, print: &Fingerprint, now: Millis) -> Verdict {
        if !self.evidence.knows(print) {
            return Verdict::Clear;
        }
        if let Some((until, crashes)) = self.evidence.quarantined(print, now) {
            let left = Millis(until.since(now));
            return Verdict::Rejected(Rejection {
                fingerprint: *print,
                crashes,
                left,
            });
        }
        let crashes = self.evidence.suspicions(print, now);
        let Some((at, last)) = crashes.last().copied() else {
            return Verdict::Clear;
        };
        let count = number(crashes.len());
        if count < 2 {
            return Verdict::Suspect { crashes: count };
        }
        let judged = at.plus(self.options.confirm.0);
        if now < judged {
            return Verdict::Hold { until: judged };
        }
        if !self.guilty(print, count, last, now) {
            return Verdict::Suspect { crashes: count };
        }
        let left = self.options.quarantine;
        self.note(*print, State::Quarantined { crashes: count }, left, now);
        Verdict::Rejected(Rejection {
            fingerprint: *print,
            crashes: count,
            left,
        })
    }

    /// Chooses where a suspect runs. `left` is the time to its deadline, `estimate` the
    /// duration of an attempt. Reserves the endpoint chosen, or one to be emptied.
    pub fn place_suspect(
        &mut self,
        print: &Fingerprint,
        candidates: &[Candidate],
        left: Millis,
        estimate: Millis,
        now: Millis,
    ) -> Choice {
        self.reserved.prune(now);
        let crashes = self.evidence.suspicions(print, now);
        let urgent = left.0 < estimate.0.saturating_mul(2).saturating_add(AGAIN.0);
        if let Some(reason) = self.must_wait(print, &crashes, now)
            && (reason == WaitReason::Same || !urgent)
        {
            return wait(reason, None);
        }
        if candidates.is_empty() {
            return Choice::None;
        }
        let foreign = self.foreign(now);
        let mut usable: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| self.apart(print, &candidate.endpoint, now))
            .collect();
        usable.sort_by_key(|Candidate { endpoint, running }| {
            let order = score(&print.0.0, endpoint.as_str());
            (foreign.contains(endpoint), *running, order)
        });
        // Keeping the only endpoint free would stop the service.
        let lone = candidates.len() == 1;
        let choice = self.run_now(&usable, &foreign, crashes.len(), urgent || lone, now);
        if let Some(endpoint) = choice.as_ref().and_then(Choice::endpoint).cloned() {
            if !matches!(choice, Some(Choice::Exposed { .. }))
                && let Some(print) = self.reserved.run(&endpoint, *print, estimate, now)
            {
                let left = estimate.plus(RESERVED.0);
                self.note(print, State::Reserved { endpoint }, left, now);
            }
            return choice.unwrap_or(Choice::None);
        }
        let among: BTreeSet<&EndpointName> = candidates
            .iter()
            .map(|candidate| &candidate.endpoint)
            .collect();
        self.reserved
            .wait(*print, candidates[0].endpoint.clone(), now);
        for (endpoint, print) in self.reserved.renew(&among, now) {
            self.note(print, State::Reserved { endpoint }, RESERVED, now);
        }
        let (own, short) = (self.reserved.count(&among), self.reserved.short(&among));
        let others = foreign.iter().filter(|name| among.contains(name)).count();
        let room = own == 0 || own + others < most(candidates.len(), self.options.share);
        let next = usable.iter().find(|candidate| {
            let name = &candidate.endpoint;
            !foreign.contains(name) && self.reserved.get(name).is_none()
        });
        match next.filter(|_| room && short && !lone) {
            Some(Candidate { endpoint, .. }) => {
                let endpoint = endpoint.clone();
                self.reserved.add(&endpoint, *print, now);
                let state = State::Reserved {
                    endpoint: endpoint.clone(),
                };
                self.note(*print, state, RESERVED, now);
                wait(WaitReason::Draining, Some(endpoint))
            }
            None if short => wait(WaitReason::Share, None),
            None => wait(WaitReason::Draining, None),
        }
    }

    /// Returns where a suspect of `crashes` crashes runs now, if anywhere. `usable` is in
    /// order of preference.
    fn run_now(
        &self,
        usable: &[&Candidate],
        foreign: &BTreeSet<EndpointName>,
        crashes: usize,
        urgent: bool,
        now: Millis,
    ) -> Option<Choice> {
        let idle = |candidate: &&&Candidate| {
            candidate.running == 0
                && !foreign.contains(&candidate.endpoint)
                && !self.flights.contains_key(&candidate.endpoint)
        };
        // The others must know of a reservation before it is used: else suspects of one crash
        // but of different nodes meet at the only idle endpoint.
        let settled = |candidate: &&&Candidate| {
            let kept = self.reserved.get(&candidate.endpoint);
            kept.is_some_and(|kept| now.since(kept.since) >= self.options.settle.0)
        };
        let mut ready = usable.iter().filter(idle);
        if let Some(candidate) = ready.find(|candidate| urgent || settled(candidate)) {
            let endpoint = candidate.endpoint.clone();
            return Some(Choice::Alone { endpoint });
        }
        if crashes < 2
            && let Some((endpoint, suspects)) = self.beside(usable, now)
        {
            return Some(Choice::Beside { endpoint, suspects });
        }
        let least = usable.first().filter(|_| urgent)?;
        Some(Choice::Exposed {
            endpoint: least.endpoint.clone(),
            running: least.running,
        })
    }

    /// Counts an attempt that is sent to an endpoint.
    pub fn started(&mut self, print: &Fingerprint, endpoint: &EndpointName) {
        self.flights
            .entry(endpoint.clone())
            .or_default()
            .push(*print);
    }

    /// Counts the end of an attempt.
    pub fn ended(&mut self, print: &Fingerprint, endpoint: &EndpointName, end: End, now: Millis) {
        if let Some(flights) = self.flights.get_mut(endpoint) {
            if let Some(index) = flights.iter().position(|other| other == print) {
                flights.remove(index);
            }
            if flights.is_empty() {
                self.flights.remove(endpoint);
                if let Some(print) = self.reserved.idle(endpoint, now) {
                    self.clear_reservation(&print, endpoint, now);
                }
            }
        }
        if end == End::Done {
            self.evidence
                .clear(print, now, |state| matches!(state, State::Suspect { .. }));
        }
    }

    /// Takes the crash of an endpoint: it died, or its connections broke together, and no
    /// notice announced that. All attempts in flight there have ended.
    pub fn crashed(&mut self, endpoint: &EndpointName, now: Millis) -> Crash {
        let mut prints = self.flights.remove(endpoint).unwrap_or_default();
        self.unreserve(endpoint, now);
        // A request that crashes an endpoint mostly does so soon after it starts.
        prints.reverse();
        let mut seen = HashSet::new();
        prints.retain(|print| seen.insert(*print));
        prints.truncate(self.options.aboard);
        self.number += 1;
        for print in &prints {
            let item = Quarantined {
                author: self.options.node.clone(),
                number: self.number,
                fingerprint: *print,
                state: State::Suspect {
                    endpoint: endpoint.clone(),
                },
                left: self.options.suspicion,
            };
            self.evidence.put(item, now);
        }
        let count = |print| number(self.evidence.suspicions(print, now).len());
        Crash {
            endpoint: endpoint.clone(),
            suspects: prints.iter().map(|print| (*print, count(print))).collect(),
        }
    }

    /// Returns the endpoints that get no ordinary work, because suspects run or will run there.
    #[must_use]
    pub fn reserved(&self, now: Millis) -> Vec<EndpointName> {
        let others = self.evidence.reserved(&self.options.node, now);
        let own = self.reserved.names(now).cloned();
        let names: BTreeSet<EndpointName> = others.into_keys().chain(own).collect();
        names.into_iter().collect()
    }

    /// Takes records of other nodes; taking one twice, late or out of order is harmless.
    pub fn merge(&mut self, records: &[Quarantined], now: Millis) {
        for record in records {
            // A longer time than this node would give is a fault of the sender.
            let longest = self.options.quarantine.max(self.options.suspicion);
            let left = record.left.min(longest);
            self.evidence.put(
                Quarantined {
                    left,
                    ..record.clone()
                },
                now,
            );
        }
    }

    /// Returns records for another node, those handed out least often first.
    pub fn gossip(&mut self, now: Millis) -> Vec<Quarantined> {
        self.evidence.gossip(self.options.items, now)
    }

    /// Ends the quarantine and the suspicion of a request, on all nodes.
    pub fn release(&mut self, print: &Fingerprint, now: Millis) {
        self.evidence.clear(print, now, |_| true);
    }

    /// Returns the quarantined requests.
    #[must_use]
    pub fn list(&self, now: Millis) -> Vec<Rejection> {
        let entry = |(fingerprint, crashes, left)| Rejection {
            fingerprint,
            crashes,
            left,
        };
        self.evidence.list(now).into_iter().map(entry).collect()
    }

    /// Returns the number of records held.
    #[must_use]
    pub fn records(&self) -> usize {
        self.evidence.len()
    }

    /// Returns the endpoints that are left to suspects of other nodes. When two nodes keep the
    /// same endpoint free, the first by name has it and the other looks elsewhere; otherwise
    /// both would wait for it.
    fn foreign(&mut self, now: Millis) -> BTreeSet<EndpointName> {
        let others = self.evidence.reserved(&self.options.node, now);
        let mut foreign = BTreeSet::new();
        for (endpoint, node) in others {
            match self.reserved.get(&endpoint) {
                Some(kept) if kept.used || self.options.node < node => continue,
                Some(_) => self.unreserve(&endpoint, now),
                None => {}
            }
            foreign.insert(endpoint);
        }
        foreign
    }

    fn guilty(&self, print: &Fingerprint, count: u32, last: u64, now: Millis) -> bool {
        let mut others = self.evidence.aboard(last, now);
        others.remove(print);
        let fewer = |other| self.evidence.suspicions(other, now).len() < count as usize;
        others.is_empty() || (count >= 3 && others.iter().all(fewer))
    }

    /// Returns why a suspect lets others go first.
    fn must_wait(
        &self,
        print: &Fingerprint,
        crashes: &[(Millis, u64)],
        now: Millis,
    ) -> Option<WaitReason> {
        if self.flights.values().any(|prints| prints.contains(print)) {
            return Some(WaitReason::Same);
        }
        let (at, last) = crashes.last()?;
        if now.since(*at) >= self.options.hold.0 {
            return None;
        }
        if !self.evidence.own(print, &self.options.node, now) {
            return Some(WaitReason::Other);
        }
        // Those with fewer crashes are likely harmless; once they are cleared this one can be
        // judged without a further crash.
        let first = |other: &Fingerprint| {
            let count = self.evidence.suspicions(other, now).len();
            other != print && count < crashes.len()
        };
        let wait = crashes.len() > 1 && self.evidence.aboard(*last, now).iter().any(first);
        wait.then_some(WaitReason::Others)
    }

    /// Returns whether no attempt of this node at the endpoint shares a crash with the suspect.
    fn apart(&self, print: &Fingerprint, endpoint: &EndpointName, now: Millis) -> bool {
        let crashes = self.evidence.suspicions(print, now);
        self.flights
            .get(endpoint)
            .into_iter()
            .flatten()
            .all(|other| {
                let others = self.evidence.suspicions(other, now);
                others.iter().all(|crash| !crashes.contains(crash))
            })
    }

    /// Returns an endpoint where this node runs suspects and nobody runs anything else.
    fn beside(&self, usable: &[&Candidate], now: Millis) -> Option<(EndpointName, u32)> {
        let suspect = |print| !self.evidence.suspicions(print, now).is_empty();
        usable.iter().find_map(|candidate| {
            let flights = self.flights.get(&candidate.endpoint)?;
            let all = number(flights.len());
            let only = candidate.running <= all && flights.iter().all(suspect);
            let kept = self.reserved.get(&candidate.endpoint).is_some();
            (kept && only).then(|| (candidate.endpoint.clone(), all))
        })
    }

    fn unreserve(&mut self, endpoint: &EndpointName, now: Millis) {
        if let Some(print) = self.reserved.remove(endpoint) {
            self.clear_reservation(&print, endpoint, now);
        }
    }

    fn clear_reservation(&mut self, print: &Fingerprint, endpoint: &EndpointName, now: Millis) {
        self.evidence.clear(
            print,
            now,
            |state| matches!(state, State::Reserved { endpoint: other } if other == endpoint),
        );
    }

    fn note(&mut self, fingerprint: Fingerprint, state: State, left: Millis, now: Millis) {
        self.number += 1;
        let author = self.options.node.clone();
        let number = self.number;
        self.evidence.put(
            Quarantined {
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

/// Makes the choice to wait.
const fn wait(reason: WaitReason, endpoint: Option<EndpointName>) -> Choice {
    Choice::Wait {
        reason,
        endpoint,
        after: AGAIN,
    }
}

fn number(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Most of `count` endpoints that run suspects at once, at least one.
fn most(count: usize, share: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a part of a small count"
    )]
    let most = (count as f64 * share) as usize;
    most.max(1)
}
