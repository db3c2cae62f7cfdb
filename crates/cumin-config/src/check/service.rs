//! Checks of services.

use std::collections::BTreeMap;

use cumin_types::{Place, Service};

use super::{Checker, quoted};
use crate::document::{ServiceKind, ServiceSpec};

// The cloud API uses this service name for entry instances.
const RESERVED_NAME: &str = "entry";

impl Checker<'_> {
    pub(super) fn check_services(&mut self) {
        let doc = self.doc;
        let mut model_services = BTreeMap::new();
        for (name, spec) in &doc.services {
            if name.as_str() == RESERVED_NAME {
                let accepted = "another name, as the cloud API uses this one for entry instances";
                self.report(
                    &["services", RESERVED_NAME],
                    &[],
                    quoted(RESERVED_NAME),
                    accepted,
                );
            }
            match spec.kind {
                ServiceKind::Model => self.check_model_service(name, spec),
                ServiceKind::Plain => self.check_plain_service(name, spec),
            }
            for class in &spec.classes {
                self.check_reference(
                    &["services", name.as_str(), "classes"],
                    class.as_str(),
                    "classes",
                );
            }
            let served = spec
                .models
                .iter()
                .filter(|_| spec.kind == ServiceKind::Model);
            for model in served {
                let path = ["services", name.as_str(), "models"];
                self.check_reference(&path, model.as_str(), "models");
                if let Some(first) = model_services.insert(model, name) {
                    let found = format!("{}, also served by {first}", quoted(model.as_str()));
                    self.report(&path, &[], found, "models that no other service serves");
                }
            }
            self.check_workers(name, spec);
        }
    }

    fn check_workers(&mut self, name: &Service, spec: &ServiceSpec) {
        let at = ["services", name.as_str(), "workers"];
        let classes: [&[&str]; 2] = [&["offers"], &["services", name.as_str(), "classes"]];
        for (place, &count) in &spec.workers {
            let path = [&at[..], &[place.as_str()]].concat();
            self.check_reference(&path, place.as_str(), "places");
            let known = self.doc.places.contains_key(place) && self.classes_known(spec);
            if known
                && count > 0
                && !spec
                    .classes
                    .iter()
                    .any(|class| self.has_offer(place, class))
            {
                let accepted = format!("0, or an offer at {place} of one of the service's classes");
                self.report(&path, &classes, count.to_string(), accepted);
            }
        }
        let used = spec.workers.values().filter(|&&count| count > 0).count();
        if used == 0 {
            self.report(&at, &[], "no worker", "at least one worker in all");
        } else if used < 2 && spec.promises.spare_place {
            let path = ["services", name.as_str(), "promises", "spare_place"];
            let accepted = "false, or workers at two places or more";
            self.report(&path, &[&at], "true", accepted);
        }
    }

    fn check_model_service(&mut self, name: &Service, spec: &ServiceSpec) {
        let kind: [&[&str]; 1] = [&["services", name.as_str(), "kind"]];
        let at = |rest: &[&'static str]| [&["services", name.as_str()], rest].concat();
        let needed = "a value, as the service is of kind \"model\"";
        let unused = "no such key, as the service is of kind \"model\"";
        let promises = spec.promises;
        for (missing, path) in [
            (spec.models.is_empty(), &["models"][..]),
            (
                spec.worker.tokens_per_second.is_none(),
                &["worker", "tokens_per_second"],
            ),
            (
                promises.first_token_ms.is_none(),
                &["promises", "first_token_ms"],
            ),
            (
                promises.between_tokens_ms.is_none(),
                &["promises", "between_tokens_ms"],
            ),
        ] {
            if missing {
                self.report(&at(path), &kind, "nothing", needed);
            }
        }
        for (present, path) in [
            (!spec.idempotent.is_empty(), &["idempotent"][..]),
            (spec.honours_keys, &["honours_keys"]),
            (
                promises.key_retention_s.is_some(),
                &["promises", "key_retention_s"],
            ),
        ] {
            if present {
                self.report(&at(path), &kind, "a value", unused);
            }
        }
        if !self.classes_known(spec) {
            return;
        }
        for model in &spec.models {
            let Some(model_spec) = self.doc.models.get(model) else {
                continue;
            };
            let fits = |place: Option<&Place>| {
                spec.classes.iter().any(|class| {
                    self.doc
                        .classes
                        .get(class)
                        .is_some_and(|class_spec| class_spec.fits(model_spec))
                        && place.is_none_or(|place| self.has_offer(place, class))
                })
            };
            let with_workers = spec.workers.iter().filter(|&(_, &count)| count > 0);
            let fits_anywhere = fits(None);
            if fits_anywhere && with_workers.clone().any(|(place, _)| fits(Some(place))) {
                continue;
            }
            let found = format!(
                "{}, which needs {} GiB",
                quoted(model.as_str()),
                model_spec.memory_gib
            );
            let accepted = if fits_anywhere {
                "models that fit a class of the service that is offered where it has workers"
            } else {
                "models that fit a class of the service"
            };
            let classes = at(&["classes"]);
            let workers = at(&["workers"]);
            let memory = ["models", model.as_str(), "memory_gib"];
            let causes: [&[&str]; 6] = [
                kind[0],
                &["classes"],
                &["offers"],
                &classes,
                &workers,
                &memory,
            ];
            self.report(&at(&["models"]), &causes, found, accepted);
        }
    }

    /// Returns whether all classes of a service exist; missing ones are already reported.
    fn classes_known(&self, spec: &ServiceSpec) -> bool {
        let known = |class| self.doc.classes.contains_key(class);
        spec.classes.iter().all(known)
    }

    fn check_plain_service(&mut self, name: &Service, spec: &ServiceSpec) {
        let kind: [&[&str]; 1] = [&["services", name.as_str(), "kind"]];
        let at = |rest: &[&'static str]| [&["services", name.as_str()], rest].concat();
        let unused = "no such key, as the service is of kind \"plain\"";
        let promises = spec.promises;
        for (present, path) in [
            (!spec.models.is_empty(), &["models"][..]),
            (
                spec.worker.tokens_per_second.is_some(),
                &["worker", "tokens_per_second"],
            ),
            (
                promises.first_token_ms.is_some(),
                &["promises", "first_token_ms"],
            ),
            (
                promises.between_tokens_ms.is_some(),
                &["promises", "between_tokens_ms"],
            ),
        ] {
            if present {
                self.report(&at(path), &kind, "a value", unused);
            }
        }
    }
}
