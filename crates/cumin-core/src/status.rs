//! `cuminctl status`: prints the state of the system as one node sees it.

use std::ffi::OsString;

use cumin_node::StatusReport;

use crate::ctl::Failure;
use crate::operate::{Error, table};
use crate::{Status, Terminal};

pub use crate::operate::Options;

pub(crate) const HELP: &str = "\
Tells the state of the system as one node sees it.

usage: cuminctl status --node IP:PORT --secret-file FILE [--json]

  --node IP:PORT      `peer_listen` address of any node
  --secret-file FILE  file with the secret of the nodes
  --json              print JSON

exit status: 0 done, 2 bad usage or input, 3 the node could not be reached";

/// The state of the system, as the node sees it.
pub type Outcome = StatusReport;

/// Requests the state of the system from a node.
///
/// # Errors
/// Returns an error when the secret can't be read or the node does not answer.
pub fn status(options: &Options) -> Result<Outcome, Error> {
    options
        .target
        .call(async |operator| operator.status().await)
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let outcome = status(&options)?;
    if options.json {
        terminal.json(&outcome);
        return Ok(Status::Done);
    }
    let digest = outcome
        .digest
        .map(|digest| format!(" ({})", digest.short()));
    terminal.print(format!(
        "node {}: revision {}{}, {}{}, {} running, {} queued",
        outcome.node,
        outcome.revision,
        digest.unwrap_or_default(),
        if outcome.ready { "ready" } else { "not ready" },
        if outcome.leaving { ", leaving" } else { "" },
        outcome.running,
        outcome.queued
    ));
    let header = [
        "member",
        "status",
        "place",
        "incarnation",
        "callers",
        "peers",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    rows.extend(outcome.members.iter().map(|member| {
        vec![
            member.name.to_string(),
            member.status.clone(),
            member.place.to_string(),
            member.incarnation.to_string(),
            member.caller.to_string(),
            member.rpc.to_string(),
        ]
    }));
    let mut services = vec![vec!["service".to_owned(), "endpoints".to_owned()]];
    services.extend(
        outcome
            .endpoints
            .iter()
            .map(|(service, count)| vec![service.to_string(), count.to_string()]),
    );
    for line in table(&rows).into_iter().chain(table(&services)) {
        terminal.print(line);
    }
    Ok(Status::Done)
}
