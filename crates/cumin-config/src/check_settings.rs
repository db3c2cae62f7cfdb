//! Checks between the keys of settings, and of settings against a document.

use std::net::SocketAddr;

use crate::document::Document;
use crate::path::KeyPath;
use crate::problem::{Problem, Problems};
use crate::settings::{MIN_SECRET_CHARS, Settings};
use crate::source::Source;

/// Returns the problems between keys, without those that follow from a damaged value.
pub(crate) fn settings(found: &Settings, source: &Source<'_>, damaged: &[KeyPath]) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut report = |path: KeyPath, value: String, accepted: &str| {
        if !damaged.iter().any(|damaged| damaged.overlaps(&path)) {
            problems.push(Problem {
                line: source.line(&path),
                key: path.to_string(),
                value,
                accepted: accepted.into(),
            });
        }
    };
    let port = "an address with a port from 1 to 65535";
    let remote = "the address of an instance and a port from 1 to 65535";
    for (key, address) in [("listen", found.listen), ("peer_listen", found.peer_listen)] {
        if address.port() == 0 {
            report(KeyPath::of(&[key]), address.to_string(), port);
        }
    }
    for (key, listen, told) in [
        ("advertise", found.listen, found.advertise),
        ("peer_advertise", found.peer_listen, found.peer_advertise),
    ] {
        if told.is_none() && listen.ip().is_unspecified() {
            let accepted = "the address that others connect to, as the bound one is unspecified";
            report(KeyPath::of(&[key]), "nothing".into(), accepted);
        }
        if let Some(told) = told.filter(unreachable) {
            report(KeyPath::of(&[key]), told.to_string(), remote);
        }
    }
    for (key, address) in [
        ("log_address", found.log_address),
        ("cloud_address", found.cloud_address),
    ] {
        if unreachable(&address) {
            report(KeyPath::of(&[key]), address.to_string(), remote);
        }
    }
    for (at, address) in found.seeds.iter().enumerate() {
        if unreachable(address) {
            report(
                KeyPath::of(&["seeds"]).index(at),
                address.to_string(),
                remote,
            );
        }
    }
    if found.listen == found.peer_listen {
        let accepted = "another address than `listen`";
        report(
            KeyPath::of(&["peer_listen"]),
            found.peer_listen.to_string(),
            accepted,
        );
    }
    if let Some(secret) = found
        .secret
        .as_ref()
        .filter(|secret| secret.chars() < MIN_SECRET_CHARS)
    {
        let value = format!("a text of {} characters (not shown)", secret.chars());
        let accepted =
            format!("at least {MIN_SECRET_CHARS} characters without white space around them");
        report(KeyPath::of(&["secret"]), value, &accepted);
    }
    match (&found.secret_file, &found.secret) {
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

fn unreachable(address: &SocketAddr) -> bool {
    address.port() == 0 || address.ip().is_unspecified()
}

impl Settings {
    /// Checks that the node belongs to the environment that `doc` describes.
    ///
    /// # Errors
    /// Settings that name another environment, or a place or region that `doc` doesn't have.
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
