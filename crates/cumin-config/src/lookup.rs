//! Look-ups that a node needs for each request.

use cumin_types::{Model, Organisation, Service};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use crate::document::{Document, Route, ServiceKind, ServiceSpec};
use crate::key::key_digest;

impl Document {
    /// Returns the organisation that `key` belongs to.
    ///
    /// Every digest is compared, in constant time each, so that the time taken tells nothing of
    /// the digests.
    #[must_use]
    pub fn organisation_for_key(&self, key: &str) -> Option<&Organisation> {
        let digest = key_digest(key);
        let mut found = Choice::from(0);
        let mut place = 0_u32;
        for (at, spec) in (0_u32..).zip(self.organisations.values()) {
            for known in &spec.key_digests {
                let same = known.0.ct_eq(&digest.0);
                place.conditional_assign(&at, same);
                found |= same;
            }
        }
        let at = usize::try_from(place).ok().filter(|_| found.into())?;
        self.organisations.keys().nth(at)
    }

    /// Returns the service that serves `model`.
    #[must_use]
    pub fn service_of_model(&self, model: &Model) -> Option<(&Service, &ServiceSpec)> {
        self.services
            .iter()
            .find(|(_, spec)| spec.kind == ServiceKind::Model && spec.models.contains(model))
    }

    /// Returns whether a call of a plain service may be sent to an endpoint more than once.
    ///
    /// `path` is the path below the service, with or without its query. A call of an unknown or a
    /// model service is not idempotent.
    #[must_use]
    pub fn is_idempotent(&self, service: &Service, method: &str, path: &str) -> bool {
        let Some(spec) = self.services.get(service) else {
            return false;
        };
        spec.kind == ServiceKind::Plain
            && (matches!(method, "GET" | "HEAD" | "OPTIONS")
                || spec
                    .idempotent
                    .iter()
                    .any(|route| route.matches(method, path)))
    }
}

impl Route {
    /// Returns whether a call is on this route.
    ///
    /// Paths that a service could read as another path (empty, `.` or `..` segments, escaped
    /// characters, backslashes, parameters) match no route, so such a call counts as
    /// non-idempotent.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if method != self.method.to_string() {
            return false;
        }
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if path.contains(['%', '\\', ';']) {
            return false;
        }
        let mut given = path.strip_prefix('/').unwrap_or(path).split('/');
        let plain = |segment: &&str| !matches!(*segment, "" | "." | "..");
        for wanted in self.path.trim_start_matches('/').split('/') {
            let Some(segment) = given.next().filter(plain) else {
                return false;
            };
            if wanted.ends_with("...}") {
                return given.all(|segment| plain(&segment));
            }
            if !wanted.starts_with('{') && wanted != segment {
                return false;
            }
        }
        given.next().is_none()
    }
}
