//! `cuminctl explain`: lists the decisions of all nodes about a request, endpoint, instance or node.

use std::ffi::OsString;

use cumin_node::Explanation;

use crate::args::Args;
use crate::ctl::Failure;
use crate::operate::{Error, Target};
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Lists the decisions of all nodes about a request, endpoint, instance or node.

usage: cuminctl explain --node IP:PORT --secret-file FILE [--json] ID

  --node IP:PORT      `peer_listen` address of any node
  --secret-file FILE  file with the secret of the nodes
  --json              print JSON

exit status: 0 done, 2 bad usage or input, 3 the node could not be reached";

/// Options of `cuminctl explain`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node to call.
    pub target: Target,
    /// Id or name of the request, endpoint, instance or node.
    pub subject: String,
    /// Prints JSON.
    pub json: bool,
}

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--node", "--secret-file", "--json", "--help"])?;
        let target = Target::read(&mut args)?;
        let json = args.flag("--json");
        let [subject] = args.files(["ID"])?;
        Ok(Self {
            target,
            subject: subject.display().to_string(),
            json,
        })
    }
}

/// The decisions of the nodes that answered.
pub type Outcome = Explanation;

/// Requests the decisions from a node, which collects those of the other nodes.
///
/// # Errors
/// Returns an error when the secret can't be read or the node does not answer.
pub fn explain(options: &Options) -> Result<Outcome, Error> {
    options
        .target
        .call(async |operator| operator.explain(&options.subject).await)
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let outcome = explain(&options)?;
    if options.json {
        terminal.json(&outcome);
        return Ok(Status::Done);
    }
    for told in &outcome.decisions {
        let decision = &told.decision;
        terminal.print(format!(
            "{} {} {}: {}",
            decision.at, told.node, decision.kind, decision.reasons
        ));
    }
    if outcome.decisions.is_empty() {
        terminal.progress(format!("no node knows of {}", options.subject));
    }
    for node in &outcome.silent {
        terminal.progress(format!("{node} did not answer; its decisions are missing"));
    }
    Ok(Status::Done)
}
