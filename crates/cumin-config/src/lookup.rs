//! Lookups that a node makes for each request.

use cumin_types::{Model, Organisation, Service};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use crate::document::{Document, Route, ServiceKind, ServiceSpec};
use crate::key::key_digest;

impl Document {
    /// Returns the organisation that `key` belongs to.
    ///
    /// All digests are compared, each in constant time, so that the duration of the lookup reveals
    /// nothing about them.
    #[must_use]
    pub fn organisation_for_key(&self, key: &str) -> Option<&Organisation> {
        let digest = key_digest(key);
        let mut found = Choice::from(0);
        let mut found_index = 0_u32;
        for (index, spec) in (0_u32..).zip(self.organisations.values()) {
            for known in &spec.key_digests {
                let same = known.0.ct_eq(&digest.0);
                found_index.conditional_assign(&index, same);
                found |= same;
            }
        }
        let index = usize::try_from(found_index).ok().filter(|_| found.into())?;
        self.organisations.keys().nth(index)
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
    /// `path` is relative to the service and may include a query. Calls of unknown services and of
    /// model services are not idempotent.
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
    /// Returns whether the method and path of a call match this route.
    ///
    /// Paths that a service could interpret as another path (empty, `.` or `..` segments, escaped
    /// characters, backslashes, parameters) match no route, so that such calls are treated as
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
        let mut segments = path.strip_prefix('/').unwrap_or(path).split('/');
        let is_plain = |segment: &&str| !matches!(*segment, "" | "." | "..");
        for pattern in self.path.trim_start_matches('/').split('/') {
            let Some(segment) = segments.next().filter(is_plain) else {
                return false;
            };
            if pattern.ends_with("...}") {
                return segments.all(|segment| is_plain(&segment));
            }
            if !pattern.starts_with('{') && pattern != segment {
                return false;
            }
        }
        segments.next().is_none()
    }
}
