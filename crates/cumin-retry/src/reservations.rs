//! Endpoints that this node keeps free of ordinary work, to run suspects there.

use std::collections::{BTreeMap, BTreeSet};

use cumin_types::{EndpointName, Fingerprint, Millis};

/// A reservation that is not renewed ends after this time.
pub(crate) const RESERVED: Millis = Millis(5000);

/// A suspect that was not asked about for this time no longer waits.
const WAITS: u64 = 1000;

#[derive(Debug)]
pub(crate) struct Reservation {
    pub since: Millis,
    until: Millis,
    /// The fingerprint of its record.
    pub print: Fingerprint,
    /// Whether suspects run there; else it is being emptied or made known.
    pub used: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Reservations {
    kept: BTreeMap<EndpointName, Reservation>,
    /// When each waiting suspect was last asked about, and one endpoint of its service.
    waiting: BTreeMap<Fingerprint, (Millis, EndpointName)>,
}

impl Reservations {
    /// Forgets what is over.
    pub fn prune(&mut self, now: Millis) {
        self.kept.retain(|_, kept| kept.until > now);
        self.waiting
            .retain(|_, (asked, _)| now.since(*asked) < WAITS);
    }

    pub fn get(&self, endpoint: &EndpointName) -> Option<&Reservation> {
        self.kept.get(endpoint)
    }

    pub fn names(&self, now: Millis) -> impl Iterator<Item = &EndpointName> {
        let live = move |(_, kept): &(&EndpointName, &Reservation)| kept.until > now;
        self.kept.iter().filter(live).map(|(name, _)| name)
    }

    /// Returns how many endpoints of a service are reserved; `among` are its endpoints.
    pub fn count(&self, among: &BTreeSet<&EndpointName>) -> usize {
        self.kept.keys().filter(|name| among.contains(name)).count()
    }

    /// Returns whether more suspects of a service wait than endpoints are made ready for them.
    pub fn short(&self, among: &BTreeSet<&EndpointName>) -> bool {
        let unused =
            |(name, kept): &(&EndpointName, &Reservation)| !kept.used && among.contains(name);
        let waiting = self
            .waiting
            .values()
            .filter(|(_, name)| among.contains(name));
        self.kept.iter().filter(unused).count() < waiting.count()
    }

    pub fn wait(&mut self, print: Fingerprint, service: EndpointName, now: Millis) {
        self.waiting.insert(print, (now, service));
    }

    /// Returns the reservations of a service, with their fingerprints, that need a new record
    /// because a suspect still waits for them.
    pub fn renew(
        &mut self,
        among: &BTreeSet<&EndpointName>,
        now: Millis,
    ) -> Vec<(EndpointName, Fingerprint)> {
        let mut renewed = Vec::new();
        for (name, kept) in &mut self.kept {
            let ends = kept.until < now.plus(RESERVED.0 / 2);
            if !kept.used && ends && among.contains(name) {
                kept.until = now.plus(RESERVED.0);
                renewed.push((name.clone(), kept.print));
            }
        }
        renewed
    }

    pub fn add(&mut self, endpoint: &EndpointName, print: Fingerprint, now: Millis) {
        let until = now.plus(RESERVED.0);
        let kept = Reservation {
            since: now,
            until,
            print,
            used: false,
        };
        self.kept.insert(endpoint.clone(), kept);
    }

    /// Marks an endpoint as running a suspect for about `estimate`. Returns the fingerprint of
    /// the reservation when it needs a new record to last so long.
    pub fn run(
        &mut self,
        endpoint: &EndpointName,
        print: Fingerprint,
        estimate: Millis,
        now: Millis,
    ) -> Option<Fingerprint> {
        self.waiting.remove(&print);
        if !self.kept.contains_key(endpoint) {
            self.add(endpoint, print, now);
        }
        let until = now.plus(estimate.0).plus(RESERVED.0);
        let kept = self.kept.get_mut(endpoint)?;
        kept.used = true;
        let longer = kept.until < until;
        kept.until = kept.until.max(until);
        longer.then_some(kept.print)
    }

    /// Ends the run of the last suspect at an endpoint. The endpoint is kept when another
    /// suspect waits; otherwise its fingerprint is returned and the reservation is over.
    pub fn idle(&mut self, endpoint: &EndpointName, now: Millis) -> Option<Fingerprint> {
        let kept = self.kept.get_mut(endpoint).filter(|kept| kept.used)?;
        if self.waiting.is_empty() {
            return self.remove(endpoint);
        }
        kept.used = false;
        kept.until = now.plus(RESERVED.0);
        None
    }

    pub fn remove(&mut self, endpoint: &EndpointName) -> Option<Fingerprint> {
        self.kept.remove(endpoint).map(|kept| kept.print)
    }
}
