//! Checks between the keys of a document.

use std::collections::BTreeMap;

use cumin_types::{Class, Place};
use serde_json::Value;

use crate::document::{Document, EnvironmentKind};
use crate::path::KeyPath;
use crate::problem::Problem;
use crate::source::Source;

mod capacity;
mod service;

/// A document under check and the problems found so far.
struct Check<'a> {
    doc: &'a Document,
    source: &'a Source<'a>,
    damaged: &'a [KeyPath],
    problems: Vec<Problem>,
}

/// Returns the problems between keys, without those that follow from a damaged value.
///
/// `trial` is the tested document if `doc` was made from one.
pub(crate) fn document(
    doc: &Document,
    trial: Option<&Document>,
    source: &Source<'_>,
    damaged: &[KeyPath],
) -> Vec<Problem> {
    let mut check = Check {
        doc,
        source,
        damaged,
        problems: Vec::new(),
    };
    check.places();
    check.offers();
    check.entry();
    check.machines();
    check.services();
    check.keys();
    check.capacity();
    check.objective();
    check.budget();
    if let Some(trial) = trial {
        check.promoted(trial);
    }
    check.problems
}

impl Check<'_> {
    /// Reports a problem at `path` unless it follows from a damaged value at or below one of
    /// `causes` or at `path` itself.
    fn report(
        &mut self,
        path: &[&str],
        causes: &[&[&str]],
        value: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        let path = KeyPath::of(path);
        let hit = |cause: &KeyPath| self.damaged.iter().any(|damaged| damaged.overlaps(cause));
        if hit(&path) || causes.iter().any(|cause| hit(&KeyPath::of(cause))) {
            return;
        }
        self.problems.push(Problem {
            line: self.source.line(&path),
            key: path.to_string(),
            value: value.into(),
            accepted: accepted.into(),
        });
    }

    /// Reports `name` at `path` when the table `kind` has no such entry.
    fn reference(&mut self, path: &[&str], name: &str, kind: &str) {
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
            // A table of the wrong type has no names to refer to.
            let whole = self.damaged.contains(&KeyPath::of(&[kind]));
            if !whole {
                self.report(path, &[], quoted(name), accepted);
            }
        }
    }

    fn places(&mut self) {
        let doc = self.doc;
        for (place, spec) in &doc.places {
            let path = ["places", place.as_str()];
            self.reference(
                &[&path[..], &["region"]].concat(),
                spec.region.as_str(),
                "regions",
            );
            for other in spec.latency_ms.keys() {
                let path = [&path[..], &["latency_ms", other.as_str()]].concat();
                self.reference(&path, other.as_str(), "places");
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

    fn offers(&mut self) {
        let doc = self.doc;
        for (id, offer) in &doc.offers {
            self.reference(&["offers", id, "place"], offer.place.as_str(), "places");
            self.reference(&["offers", id, "class"], offer.class.as_str(), "classes");
        }
    }

    fn entry(&mut self) {
        let doc = self.doc;
        self.reference(&["entry", "class"], doc.entry.class.as_str(), "classes");
        for (place, &count) in &doc.entry.nodes {
            let path = ["entry", "nodes", place.as_str()];
            self.reference(&path, place.as_str(), "places");
            if count > 0
                && doc.places.contains_key(place)
                && doc.classes.contains_key(&doc.entry.class)
                && !self.offered(place, &doc.entry.class)
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

    fn machines(&mut self) {
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

    fn keys(&mut self) {
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

    fn objective(&mut self) {
        let objective = self.doc.objective;
        if objective.cost + objective.recompute <= 0.0 {
            let accepted = "at least one of `cost` and `recompute` above 0";
            self.report(&["objective"], &[], "both weights 0", accepted);
        }
    }

    /// Checks that a trial document became a production document.
    fn promoted(&mut self, trial: &Document) {
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
    fn offered(&self, place: &Place, class: &Class) -> bool {
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
