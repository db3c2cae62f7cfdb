//! Findings about a document before it is applied: errors, items that never take effect, limits that
//! contradict each other, and differences from the version in force.

use cumin_types::TokenCount;

use crate::diff::changes;
use crate::document::{Document, Route, ServiceKind};
use crate::parse::check_document;
use crate::path::KeyPath;
use crate::problem::Problems;
use crate::source::Source;

/// A finding about one key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line in the text, counted from 1.
    pub line: Option<usize>,
    /// Key path in TOML notation.
    pub name: String,
    /// Kind: `error`, `never matches`, `contradiction` or `change`.
    pub kind: &'static str,
    /// Description.
    pub text: String,
}

/// Returns the findings about the text of a document, sorted by line.
///
/// # Errors
/// The syntax errors of a text that is not TOML.
pub fn review(text: &str, in_force: Option<&Document>) -> Result<Vec<Finding>, Problems> {
    let (source, value, problems) = Source::read(text, false).map_err(Problems)?;
    let mut review = Review {
        source: &source,
        findings: Vec::new(),
    };
    match check_document(&source, value, problems, None) {
        Err(problems) => review.problems(problems),
        Ok(doc) => {
            review.machines(&doc);
            review.routes(&doc);
            review.quotas(&doc);
            if let Some(old) = in_force {
                for (path, change) in changes(old, &doc) {
                    let text = change.to_string();
                    let text = text.strip_prefix(&format!("{}: ", change.key));
                    let text = text.unwrap_or_default().to_owned();
                    review.report(&path, "change", text);
                }
            }
        }
    }
    review.findings.sort();
    Ok(review.findings)
}

struct Review<'a> {
    source: &'a Source<'a>,
    findings: Vec<Finding>,
}

impl Review<'_> {
    fn report(&mut self, path: &KeyPath, kind: &'static str, text: impl Into<String>) {
        self.findings.push(Finding {
            line: self.source.line(path),
            name: path.to_string(),
            kind,
            text: text.into(),
        });
    }

    fn problems(&mut self, problems: Problems) {
        for problem in problems.0 {
            self.findings.push(Finding {
                line: problem.line,
                name: problem.key,
                kind: "error",
                text: format!("found {}; accepted: {}", problem.value, problem.accepted),
            });
        }
    }

    /// Reports models, classes and offers that nothing uses.
    fn machines(&mut self, doc: &Document) {
        for model in doc.models.keys() {
            if doc.service_of_model(model).is_none() {
                let path = KeyPath::of(&["models", model.as_str()]);
                self.report(&path, "never matches", "no service serves it");
            }
        }
        for class in doc.classes.keys() {
            let mut services = doc.services.values();
            if doc.entry.class != *class && !services.any(|spec| spec.classes.contains(class)) {
                let path = KeyPath::of(&["classes", class.as_str()]);
                self.report(
                    &path,
                    "never matches",
                    "neither entries nor services use it",
                );
            }
        }
    }

    /// Reports idempotent routes that another one of the service covers.
    fn routes(&mut self, doc: &Document) {
        for (name, spec) in &doc.services {
            let plain = spec.kind == ServiceKind::Plain;
            for route in spec.idempotent.iter().filter(|_| plain) {
                let mut others = spec.idempotent.iter().filter(|other| *other != route);
                if let Some(other) = others.find(|other| covers(other, route)) {
                    let path = KeyPath::of(&["services", name.as_str(), "idempotent"]);
                    let text = format!("`{route}` matches nothing that `{other}` does not");
                    self.report(&path, "never matches", text);
                }
            }
        }
    }

    /// Reports quotas of tokens that are smaller than one request.
    fn quotas(&mut self, doc: &Document) {
        let served = |model: &_| doc.service_of_model(model).is_some();
        let models = doc.models.iter().filter(|(model, _)| served(model));
        let Some(least) = models.map(|(_, spec)| spec.context_tokens).min() else {
            return;
        };
        let mut check = |path: &[&str], tokens: TokenCount| {
            if tokens < least {
                let text = format!(
                    "{} is less than one request of {} tokens, the smallest context of a model",
                    tokens.0, least.0
                );
                self.report(&KeyPath::of(path), "contradiction", text);
            }
        };
        check(
            &["limits", "tokens_per_minute"],
            doc.limits.tokens_per_minute,
        );
        for (org, spec) in &doc.organisations {
            let path = ["organisations", org.as_str(), "quota", "tokens_per_minute"];
            check(&path, spec.quota.tokens_per_minute);
        }
    }
}

/// Returns whether every call that matches `narrow` matches `wide` as well.
fn covers(wide: &Route, narrow: &Route) -> bool {
    let mut segments = narrow.path.split('/');
    for pattern in wide.path.split('/') {
        let Some(segment) = segments.next() else {
            return false;
        };
        if pattern.ends_with("...}") {
            return wide.method == narrow.method;
        }
        let several = segment.ends_with("...}");
        let single = pattern.starts_with('{') && !several;
        if !single && (pattern != segment || several) {
            return false;
        }
    }
    wide.method == narrow.method && segments.next().is_none()
}
