//! Reservations of endpoints by this node. A reserved endpoint gets no requests other than
//! suspects.

use std::collections::{BTreeMap, BTreeSet};

use cumin_types::{EndpointName, Fingerprint, Millis};

/// Lifetime of a reservation that is not renewed.
pub(crate) const RESERVATION_TTL: Millis = Millis(5000);

/// Time after which a suspect for which no endpoint was requested again counts as gone.
const WAITER_TTL_MS: u64 = 1000;

#[derive(Debug)]
pub(crate) struct Reservation {
    pub reserved_at: Millis,
    expires_at: Millis,
    /// Fingerprint under which the reservation is recorded.
    pub fingerprint: Fingerprint,
    /// Whether suspects run at the endpoint. Until then its other requests complete, or the
    /// other nodes learn of the reservation.
    pub in_use: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Reservations {
    by_endpoint: BTreeMap<EndpointName, Reservation>,
    /// When an endpoint was last requested for each waiting suspect, and one endpoint of its
    /// service.
    waiting: BTreeMap<Fingerprint, (Millis, EndpointName)>,
}

impl Reservations {
    /// Removes expired reservations and suspects that no longer wait.
    pub fn prune(&mut self, now: Millis) {
        self.by_endpoint
            .retain(|_, reservation| reservation.expires_at > now);
        self.waiting
            .retain(|_, (requested_at, _)| now.since(*requested_at) < WAITER_TTL_MS);
    }

    pub fn get(&self, endpoint: &EndpointName) -> Option<&Reservation> {
        self.by_endpoint.get(endpoint)
    }

    pub fn active(&self, now: Millis) -> impl Iterator<Item = &EndpointName> {
        let active =
            move |(_, reservation): &(&EndpointName, &Reservation)| reservation.expires_at > now;
        self.by_endpoint.iter().filter(active).map(|(name, _)| name)
    }

    /// Returns how many of the given endpoints of one service are reserved.
    pub fn reserved_count(&self, endpoints: &BTreeSet<&EndpointName>) -> usize {
        self.by_endpoint
            .keys()
            .filter(|name| endpoints.contains(name))
            .count()
    }

    /// Returns whether more suspects of a service wait than it has reserved endpoints that do not
    /// run suspects yet.
    pub fn lacks_endpoints(&self, endpoints: &BTreeSet<&EndpointName>) -> bool {
        let unused = |(name, reservation): &(&EndpointName, &Reservation)| {
            !reservation.in_use && endpoints.contains(name)
        };
        let waiting = self
            .waiting
            .values()
            .filter(|(_, name)| endpoints.contains(name));
        self.by_endpoint.iter().filter(unused).count() < waiting.count()
    }

    pub fn add_waiting(&mut self, fingerprint: Fingerprint, endpoint: EndpointName, now: Millis) {
        self.waiting.insert(fingerprint, (now, endpoint));
    }

    /// Extends the unused reservations of a service that expire soon, for the suspects that still
    /// wait. Returns the endpoints and fingerprints whose record must be renewed.
    pub fn renew_expiring(
        &mut self,
        endpoints: &BTreeSet<&EndpointName>,
        now: Millis,
    ) -> Vec<(EndpointName, Fingerprint)> {
        let mut renewed = Vec::new();
        for (name, reservation) in &mut self.by_endpoint {
            let expiring = reservation.expires_at < now.plus(RESERVATION_TTL.0 / 2);
            if !reservation.in_use && expiring && endpoints.contains(name) {
                reservation.expires_at = now.plus(RESERVATION_TTL.0);
                renewed.push((name.clone(), reservation.fingerprint));
            }
        }
        renewed
    }

    pub fn reserve(&mut self, endpoint: &EndpointName, fingerprint: Fingerprint, now: Millis) {
        let expires_at = now.plus(RESERVATION_TTL.0);
        let reservation = Reservation {
            reserved_at: now,
            expires_at,
            fingerprint,
            in_use: false,
        };
        self.by_endpoint.insert(endpoint.clone(), reservation);
    }

    /// Marks an endpoint as running a suspect for about `estimate`, and reserves it first if
    /// necessary. Returns the fingerprint of the reservation when its record must be renewed to
    /// cover that time.
    pub fn start_suspect(
        &mut self,
        endpoint: &EndpointName,
        fingerprint: Fingerprint,
        estimate: Millis,
        now: Millis,
    ) -> Option<Fingerprint> {
        self.waiting.remove(&fingerprint);
        if !self.by_endpoint.contains_key(endpoint) {
            self.reserve(endpoint, fingerprint, now);
        }
        let expires_at = now.plus(estimate.0).plus(RESERVATION_TTL.0);
        let reservation = self.by_endpoint.get_mut(endpoint)?;
        reservation.in_use = true;
        let extended = reservation.expires_at < expires_at;
        reservation.expires_at = reservation.expires_at.max(expires_at);
        extended.then_some(reservation.fingerprint)
    }

    /// Records that the last suspect at an endpoint ended. Extends the reservation when another
    /// suspect waits; otherwise removes it and returns its fingerprint.
    pub fn finish_suspects(&mut self, endpoint: &EndpointName, now: Millis) -> Option<Fingerprint> {
        let reservation = self
            .by_endpoint
            .get_mut(endpoint)
            .filter(|reservation| reservation.in_use)?;
        if self.waiting.is_empty() {
            return self.remove(endpoint);
        }
        reservation.in_use = false;
        reservation.expires_at = now.plus(RESERVATION_TTL.0);
        None
    }

    pub fn remove(&mut self, endpoint: &EndpointName) -> Option<Fingerprint> {
        self.by_endpoint
            .remove(endpoint)
            .map(|reservation| reservation.fingerprint)
    }
}
