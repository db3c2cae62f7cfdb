//! Findings about a document that can be decoded: what refers to nothing, what can never match, and
//! limits that contradict each other.
//!
//! An entry serves such a document as far as it can; the findings are for its author, before it is
//! sent.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::document::{Document, OrgSpec, Route, ServiceSpec, Unit};

/// An item of a document, by its position in its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// An organisation.
    Org(usize),
    /// The limits on callers.
    Limits,
}

/// Kind of a finding.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A value that can't be right.
    #[display("error")]
    Error,
    /// An item that never takes effect.
    #[display("never matches")]
    Unmatched,
    /// Limits that contradict each other.
    #[display("contradiction")]
    Contradiction,
}

/// A finding about one item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The item.
    pub item: Item,
    /// Kind of the finding.
    pub kind: Kind,
    /// Description.
    pub text: String,
}

/// Returns all findings, by item.
#[must_use]
pub fn review(doc: &Document) -> Vec<Finding> {
    let mut review = Review {
        doc,
        findings: Vec::new(),
    };
    review.routes();
    review.services();
    review.orgs();
    review.limits();
    review.findings.sort();
    review.findings
}

struct Review<'a> {
    doc: &'a Document,
    findings: Vec<Finding>,
}

impl Review<'_> {
    fn report(&mut self, item: Item, kind: Kind, text: impl Into<String>) {
        let text = text.into();
        self.findings.push(Finding { item, kind, text });
    }

    fn routes(&mut self) {
        let doc = self.doc;
        // Of equal prefixes the last one is in force.
        let mut last = BTreeMap::new();
        for (index, route) in doc.routes.iter().enumerate() {
            last.insert((&route.host, &route.prefix), index);
        }
        for (index, route) in doc.routes.iter().enumerate() {
            let item = Item::Route(index);
            let winner = last[&(&route.host, &route.prefix)];
            if winner != index {
                let name = &doc.routes[winner].name;
                let text = format!("route {name:?} below has the same host and prefix");
                self.report(item, Kind::Unmatched, text);
            }
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                let text = "the prefix does not begin and end with a slash";
                self.report(item, Kind::Unmatched, text);
            }
            if route.host.is_empty() {
                self.report(item, Kind::Unmatched, "the host is empty");
            }
            self.targets(item, route);
            self.times(item, route);
        }
    }

    fn targets(&mut self, item: Item, route: &Route) {
        if route.targets.is_empty() {
            self.report(item, Kind::Error, "no service is named");
        } else if route.targets.iter().all(|(_, weight)| *weight == 0) {
            self.report(item, Kind::Error, "all services have the weight 0");
        }
        let mut seen = BTreeSet::new();
        for (service, weight) in &route.targets {
            if !self.doc.services.iter().any(|spec| spec.name == *service) {
                let text = format!("there is no service {:?}", service.as_str());
                self.report(item, Kind::Error, text);
            }
            if !seen.insert(service) {
                let text = format!("service {:?} occurs twice", service.as_str());
                self.report(item, Kind::Error, text);
            }
            if *weight == 0 && route.targets.len() > 1 {
                let text = format!("service {:?} has the weight 0", service.as_str());
                self.report(item, Kind::Unmatched, text);
            }
        }
    }

    fn times(&mut self, item: Item, route: &Route) {
        let Some(timeout) = route.timeout else { return };
        if route.goal > timeout {
            let text = format!(
                "the goal of {} ms exceeds the timeout of {timeout} ms",
                route.goal
            );
            self.report(item, Kind::Contradiction, text);
        }
        if let Some(pause) = route.pause.filter(|pause| *pause > timeout) {
            let text = format!("the pause of {pause} ms exceeds the timeout of {timeout} ms");
            self.report(item, Kind::Contradiction, text);
        }
    }

    fn services(&mut self) {
        let doc = self.doc;
        let mut last = BTreeMap::new();
        for (index, spec) in doc.services.iter().enumerate() {
            last.insert(&spec.name, index);
        }
        for (index, spec) in doc.services.iter().enumerate() {
            let item = Item::Service(index);
            if last[&spec.name] != index {
                self.report(item, Kind::Unmatched, "a service below has the same name");
            }
            let named = |route: &Route| route.targets.iter().any(|(name, _)| *name == spec.name);
            if !doc.routes.iter().any(named) {
                self.report(item, Kind::Unmatched, "no route uses it");
            }
            self.capacity(item, spec);
        }
    }

    fn capacity(&mut self, item: Item, spec: &ServiceSpec) {
        if let Some(engine) = &spec.engine {
            if engine.slots == 0 {
                self.report(item, Kind::Contradiction, "its engines have no slots");
            }
            if spec.connections > 0 && spec.connections < engine.slots {
                let text = format!(
                    "its engines have {} slots but accept {} connections",
                    engine.slots, spec.connections
                );
                self.report(item, Kind::Contradiction, text);
            }
        }
        if let Some(scale) = spec.scale.as_ref().filter(|scale| scale.min > scale.max) {
            let text = format!(
                "the minimum of {} endpoints exceeds the maximum of {}",
                scale.min, scale.max
            );
            self.report(item, Kind::Contradiction, text);
        }
    }

    fn orgs(&mut self) {
        let doc = self.doc;
        let mut owners = BTreeMap::new();
        let mut names = BTreeSet::new();
        for (index, org) in doc.orgs.iter().enumerate() {
            let item = Item::Org(index);
            if !names.insert(&org.name) {
                let text = "an organisation above has the same name";
                self.report(item, Kind::Error, text);
            }
            if org.keys.is_empty() {
                self.report(item, Kind::Unmatched, "it has no key");
            }
            for key in &org.keys {
                if key.is_empty() {
                    self.report(item, Kind::Error, "a key is empty");
                }
                // The key itself is a secret.
                if let Some(owner) = owners.insert(key, index) {
                    let name: &OrgSpec = &doc.orgs[owner];
                    let text = format!("a key occurs twice, also at {:?}", name.name.as_str());
                    self.report(item, Kind::Error, text);
                }
            }
            self.quota(item, org);
        }
    }

    fn quota(&mut self, item: Item, org: &OrgSpec) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "a quota far below 2^53 is exact"
        )]
        let least = match org.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => plain.max(1) as f64,
        };
        if org.rate.is_some() && org.burst < least {
            let text = format!(
                "the burst of {} is smaller than one request, which takes {least}",
                org.burst
            );
            self.report(item, Kind::Contradiction, text);
        }
    }

    fn limits(&mut self) {
        let limits = &self.doc.limits;
        let values = [
            ("size of a head", limits.head_bytes as u64),
            ("size of a body", limits.body_bytes as u64),
            ("time for a head", limits.head_timeout.0),
            ("idle time", limits.idle_timeout.0),
        ];
        for (name, value) in values {
            if value == 0 {
                let text = format!("a maximum {name} of 0 allows nothing");
                self.report(Item::Limits, Kind::Contradiction, text);
            }
        }
    }
}
