//! Consistency checks between the keys of a document.

use std::collections::BTreeMap;

use cumin_types::{Class, Place};
use serde_json::Value;

use crate::document::{Document, EnvironmentKind};
use crate::path::KeyPath;
use crate::problem::Problem;
use crate::source::Source;

mod capacity;
mod service;

/// A document that is being checked and the problems found so far.
struct Checker<'a> {
    doc: &'a Document,
    source: &'a Source<'a>,
    invalid: &'a [KeyPath],
    problems: Vec<Problem>,
}

/// Returns the inconsistencies between keys, except those caused by an invalid value.
///
/// `trial` is the trial document that `doc` was promoted from, if any.
pub(crate) fn find_problems(
    doc: &Document,
    trial: Option<&Document>,
    source: &Source<'_>,
    invalid: &[KeyPath],
) -> Vec<Problem> {
    let mut checker = Checker {
        doc,
        source,
        invalid,
        problems: Vec::new(),
    };
    checker.check_places();
    checker.check_offers();
    checker.check_entry();
    checker.check_machines();
    checker.check_services();
    checker.check_keys();
    checker.check_capacity();
    checker.check_objective();
    checker.check_budget();
    if let Some(trial) = trial {
        checker.check_promotion(trial);
    }
    checker.problems
}

impl Checker<'_> {
    /// Reports a problem at `path`, unless an invalid value at `path` or one of `causes`, or above
    /// or below them, may have caused it.
    fn report(
        &mut self,
        path: &[&str],
        causes: &[&[&str]],
        value: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        let path = KeyPath::of(path);
        let is_invalid = |cause: &KeyPath| self.invalid.iter().any(|path| path.overlaps(cause));
        if is_invalid(&path) || causes.iter().any(|cause| is_invalid(&KeyPath::of(cause))) {
            return;
        }
        self.problems.push(Problem {
            line: self.source.line(&path),
            key: path.to_string(),
            value: value.into(),
            accepted: accepted.into(),
        });
    }

    /// Reports `name` at `path` if the table `kind` has no such key.
    fn check_reference(&mut self, path: &[&str], name: &str, kind: &str) {
        let known = match kind {
            "regions" => names(&self.doc.regions),
            "places" => names(&self.doc.places),
            "classes" => names(&self.doc.classes),
            "models" => names(&self.doc.models),
            _ => Vec::new(),
        };
        if !known.contains(&name) {
            let accepted = if known.is_empty() {
                format!("a name from `{kind}`, which is empty")
            } else {
                format!("a name from `{kind}`: {}", known.join(", "))
            };
            // A table of the wrong type was replaced by an empty one, which lacks every name.
            let table_invalid = self.invalid.contains(&KeyPath::of(&[kind]));
            if !table_invalid {
                self.report(path, &[], quoted(name), accepted);
            }
        }
    }

    fn check_places(&mut self) {
        let doc = self.doc;
        for (place, spec) in &doc.places {
            let path = ["places", place.as_str()];
            self.check_reference(
                &[&path[..], &["region"]].concat(),
                spec.region.as_str(),
                "regions",
            );
            for other in spec.latency_ms.keys() {
                let path = [&path[..], &["latency_ms", other.as_str()]].concat();
                self.check_reference(&path, other.as_str(), "places");
                if other == place {
                    self.report(&path, &[], quoted(other.as_str()), "another place");
                }
            }
            if !doc.offers.values().any(|offer| offer.place == *place) {
                self.report(
                    &path,
                    &[&["offers"]],
                    "a place without offers",
                    "a place that at least one offer names",
                );
            }
        }
        for region in doc.regions.keys() {
            if !doc.places.values().any(|spec| spec.region == *region) {
                let accepted = "a region that at least one place names";
                self.report(
                    &["regions", region.as_str()],
                    &[&["places"]],
                    "a region without places",
                    accepted,
                );
            }
        }
    }

    fn check_offers(&mut self) {
        let doc = self.doc;
        for (id, offer) in &doc.offers {
            self.check_reference(&["offers", id, "place"], offer.place.as_str(), "places");
            self.check_reference(&["offers", id, "class"], offer.class.as_str(), "classes");
        }
    }

    fn check_entry(&mut self) {
        let doc = self.doc;
        self.check_reference(&["entry", "class"], doc.entry.class.as_str(), "classes");
        for (place, &count) in &doc.entry.nodes {
            let path = ["entry", "nodes", place.as_str()];
            self.check_reference(&path, place.as_str(), "places");
            if count > 0
                && doc.places.contains_key(place)
                && doc.classes.contains_key(&doc.entry.class)
                && !self.has_offer(place, &doc.entry.class)
            {
                let accepted = format!(
                    "0, or an offer of class {} at {place}",
                    quoted(doc.entry.class.as_str())
                );
                self.report(
                    &path,
                    &[&["offers"], &["entry", "class"]],
                    count.to_string(),
                    accepted,
                );
            }
        }
        if doc.entry.nodes.values().all(|&count| count == 0) {
            self.report(
                &["entry", "nodes"],
                &[],
                "no entry instance",
                "at least one entry instance in all",
            );
        }
    }

    fn check_machines(&mut self) {
        let doc = self.doc;
        for (class, spec) in &doc.classes {
            if (spec.accelerators == 0) != (spec.accelerator_memory_gib == 0) {
                let path = ["classes", class.as_str(), "accelerator_memory_gib"];
                let causes: [&[&str]; 1] = [&["classes", class.as_str(), "accelerators"]];
                let accepted = if spec.accelerators == 0 {
                    "0, as the class has no accelerators"
                } else {
                    "at least 1, as the class has accelerators"
                };
                self.report(
                    &path,
                    &causes,
                    spec.accelerator_memory_gib.to_string(),
                    accepted,
                );
            }
        }
        for (model, spec) in &doc.models {
            let path = ["models", model.as_str()];
            if !spec.versions.contains(&spec.version) {
                let known: Vec<&str> = spec.versions.iter().map(String::as_str).collect();
                let causes: [&[&str]; 1] = [&["models", model.as_str(), "versions"]];
                let accepted = format!("one of `versions`: {}", known.join(", "));
                self.report(
                    &[&path[..], &["version"]].concat(),
                    &causes,
                    quoted(&spec.version),
                    accepted,
                );
            }
            if !doc.classes.values().any(|class| class.fits(spec)) {
                let sizes = doc.classes.values().map(|class| {
                    u64::from(class.accelerators) * u64::from(class.accelerator_memory_gib)
                });
                let accepted = format!(
                    "at most {}, the accelerator memory of the largest class in GiB",
                    sizes.max().unwrap_or(0)
                );
                let path = [&path[..], &["memory_gib"]].concat();
                self.report(
                    &path,
                    &[&["classes"]],
                    spec.memory_gib.to_string(),
                    accepted,
                );
            }
        }
    }

    fn check_keys(&mut self) {
        let doc = self.doc;
        let mut owners = BTreeMap::new();
        for (org, spec) in &doc.organisations {
            for digest in &spec.key_digests {
                if let Some(first) = owners.insert(*digest, org) {
                    let found = format!("digest {}…, also of organisation {first}", digest.short());
                    let path = ["organisations", org.as_str(), "key_digests"];
                    self.report(&path, &[], found, "digests that no other organisation has");
                }
            }
        }
    }

    fn check_objective(&mut self) {
        let objective = self.doc.objective;
        if objective.cost + objective.recompute <= 0.0 {
            let accepted = "at least one of `cost` and `recompute` above 0";
            self.report(&["objective"], &[], "both weights 0", accepted);
        }
    }

    /// Checks that a trial document was promoted to a production document of another environment.
    fn check_promotion(&mut self, trial: &Document) {
        let (from, to) = (&trial.environment, &self.doc.environment);
        let kind = ["environment", "kind"];
        if from.kind != EnvironmentKind::Trial {
            let found = format!("a tested document of kind \"{}\"", from.kind);
            self.report(&kind, &[], found, "a tested document of kind \"trial\"");
        } else if to.kind != EnvironmentKind::Production {
            self.report(&kind, &[], quoted(&to.kind.to_string()), "\"production\"");
        }
        if from.name == to.name {
            let accepted = "another name than the trial environment's";
            self.report(&["environment", "name"], &[], quoted(&to.name), accepted);
        }
    }

    /// Returns whether `place` has an offer of `class`.
    fn has_offer(&self, place: &Place, class: &Class) -> bool {
        let mut offers = self.doc.offers.values();
        offers.any(|offer| offer.place == *place && offer.class == *class)
    }
}

fn names<K: AsRef<str>, V>(table: &BTreeMap<K, V>) -> Vec<&str> {
    table.keys().map(AsRef::as_ref).collect()
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}
