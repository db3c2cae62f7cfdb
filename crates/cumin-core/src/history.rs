//! `cuminctl history`: lists the accepted revisions, oldest first.

use std::ffi::OsString;

use cumin_node::HistoryEntry;

use crate::ctl::Failure;
use crate::operate::{Error, ago, table};
use crate::{Status, Terminal};

pub use crate::operate::Options;

pub(crate) const HELP: &str = "\
Lists the accepted revisions, oldest first.

usage: cuminctl history --node IP:PORT --secret-file FILE [--json]

  --node IP:PORT      `peer_listen` address of any node
  --secret-file FILE  file with the secret of the nodes
  --json              print JSON

exit status: 0 done, 2 bad usage or input, 3 the node could not be reached";

/// The accepted revisions, oldest first.
pub type Outcome = Vec<HistoryEntry>;

/// Requests the accepted revisions from a node.
///
/// # Errors
/// Returns an error when the secret can't be read or the node does not answer.
pub fn history(options: &Options) -> Result<Outcome, Error> {
    options
        .target
        .call(async |operator| operator.history().await)
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let outcome = history(&options)?;
    if options.json {
        terminal.json(&outcome);
        return Ok(Status::Done);
    }
    let header = ["revision", "digest", "when", "by", "node", "keys"];
    let mut rows = vec![header.map(String::from).to_vec()];
    rows.extend(outcome.iter().map(|past| {
        vec![
            past.revision.to_string(),
            past.digest.short(),
            ago(past.at),
            past.by.clone(),
            past.node.to_string(),
            past.keys.join(", "),
        ]
    }));
    for line in table(&rows) {
        terminal.print(line);
    }
    Ok(Status::Done)
}
