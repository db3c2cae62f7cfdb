//! `cuminctl drain`: drains and stops a node, as a reclaim notice does.

use std::ffi::OsString;

use cumin_types::NodeName;

use crate::ctl::Failure;
use crate::operate::Error;
use crate::{Status, Terminal};

pub use crate::operate::Options;

pub(crate) const HELP: &str = "\
Has the node at --node finish or hand over its requests and stop, as a reclaim notice does.

usage: cuminctl drain --node IP:PORT --secret-file FILE [--json]

  --node IP:PORT      `peer_listen` address of the node
  --secret-file FILE  file with the secret of the nodes
  --json              print JSON

exit status: 0 done, 2 bad usage or input, 3 the node could not be reached";

/// Name of the draining node.
pub type Outcome = NodeName;

/// Requests that a node finish or hand over its requests and stop.
///
/// # Errors
/// Returns an error when the secret can't be read or the node does not answer.
pub fn drain(options: &Options) -> Result<Outcome, Error> {
    options.target.call(async |operator| operator.drain().await)
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let outcome = drain(&options)?;
    if options.json {
        terminal.json(&serde_json::json!({ "draining": outcome }));
    } else {
        terminal.print(format!("{outcome} drains"));
    }
    Ok(Status::Done)
}
