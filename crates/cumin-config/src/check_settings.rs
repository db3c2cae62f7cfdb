//! Checks of settings: keys against each other, and settings against a document.

use std::net::SocketAddr;

use crate::document::Document;
use crate::path::KeyPath;
use crate::problem::{Problem, Problems};
use crate::settings::{MIN_SECRET_CHARS, Settings};
use crate::source::Source;

/// Returns the inconsistencies between keys, except those caused by an invalid value.
pub(crate) fn find_problems(
    settings: &Settings,
    source: &Source<'_>,
    invalid: &[KeyPath],
) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |path: KeyPath, value: String, accepted: &str| {
        if !invalid.iter().any(|invalid| invalid.overlaps(&path)) {
            problems.push(Problem {
                line: source.line(&path),
                key: path.to_string(),
                value,
                accepted: accepted.into(),
            });
        }
    };
    let bindable = "an address with a port from 1 to 65535";
    let reachable = "the address of an instance and a port from 1 to 65535";
    for (key, address) in [
        ("listen", settings.listen),
        ("peer_listen", settings.peer_listen),
    ] {
        if address.port() == 0 {
            report(KeyPath::of(&[key]), address.to_string(), bindable);
        }
    }
    for (key, listen, advertised) in [
        ("advertise", settings.listen, settings.advertise),
        (
            "peer_advertise",
            settings.peer_listen,
            settings.peer_advertise,
        ),
    ] {
        if advertised.is_none() && listen.ip().is_unspecified() {
            let accepted = "the address that others connect to, as the bound one is unspecified";
            report(KeyPath::of(&[key]), "nothing".into(), accepted);
        }
        if let Some(advertised) = advertised.filter(is_unreachable) {
            report(KeyPath::of(&[key]), advertised.to_string(), reachable);
        }
    }
    for (key, address) in [
        ("log_address", settings.log_address),
        ("cloud_address", settings.cloud_address),
    ] {
        if is_unreachable(&address) {
            report(KeyPath::of(&[key]), address.to_string(), reachable);
        }
    }
    for (index, address) in settings.seeds.iter().enumerate() {
        if is_unreachable(address) {
            report(
                KeyPath::of(&["seeds"]).index(index),
                address.to_string(),
                reachable,
            );
        }
    }
    if settings.listen == settings.peer_listen {
        let accepted = "another address than `listen`";
        report(
            KeyPath::of(&["peer_listen"]),
            settings.peer_listen.to_string(),
            accepted,
        );
    }
    if let Some(secret) = settings
        .secret
        .as_ref()
        .filter(|secret| secret.chars() < MIN_SECRET_CHARS)
    {
        let value = format!("a text of {} characters (not shown)", secret.chars());
        let accepted =
            format!("at least {MIN_SECRET_CHARS} characters without white space around them");
        report(KeyPath::of(&["secret"]), value, &accepted);
    }
    match (&settings.secret_file, &settings.secret) {
        (None, None) => {
            let accepted =
                "the path of a file with the secret of the environment's nodes, or `secret`";
            report(KeyPath::of(&["secret_file"]), "nothing".into(), accepted);
        }
        (Some(_), Some(_)) => {
            let accepted = "no such key, as `secret_file` is given";
            report(
                KeyPath::of(&["secret"]),
                "a value (not shown)".into(),
                accepted,
            );
        }
        _ => {}
    }
    problems
}

fn is_unreachable(address: &SocketAddr) -> bool {
    address.port() == 0 || address.ip().is_unspecified()
}

impl Settings {
    /// Checks that the node belongs to the environment that `doc` defines.
    ///
    /// # Errors
    /// Settings with another environment, or with a place or region that `doc` doesn't have.
    pub fn check(&self, doc: &Document) -> Result<(), Problems> {
        let mut problems = Vec::new();
        let mut report = |key: &str, value: &str, accepted: String| {
            problems.push(Problem {
                line: None,
                key: key.into(),
                value: format!("{value:?}"),
                accepted,
            });
        };
        if self.environment != doc.environment.name {
            let accepted = format!("{:?}, the document's environment", doc.environment.name);
            report("environment", &self.environment, accepted);
        }
        match doc.places.get(&self.place) {
            None => {
                let known: Vec<&str> = doc.places.keys().map(AsRef::as_ref).collect();
                let accepted = format!("a place of the document: {}", known.join(", "));
                report("place", self.place.as_str(), accepted);
            }
            Some(spec) if spec.region != self.region => {
                let accepted = format!("{:?}, the region of {}", spec.region.as_str(), self.place);
                report("region", self.region.as_str(), accepted);
            }
            Some(_) => {}
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(Problems(problems))
        }
    }
}
