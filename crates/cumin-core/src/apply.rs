//! `cuminctl apply`: applies a document as the next revision.

use std::env;
use std::ffi::OsString;
use std::path::PathBuf;

use cumin_node::{ApplyOutcome, ApplyRequest, ChangeKind};
use cumin_types::Revision;

use crate::args::Args;
use crate::ctl::{self, Failure};
use crate::operate::{Error, Target, ago};
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Makes a document the next revision of its environment. All nodes take it without a restart.

usage: cuminctl apply --node IP:PORT --secret-file FILE [--base N] [--by NAME] [--json] FILE

  --node IP:PORT      `peer_listen` address of any node
  --secret-file FILE  file with the secret of the nodes
  --base N            revision that the document was made from; the present one when absent
  --by NAME           who makes the change; the user name when absent
  --json              print the outcome as JSON

exit status: 0 accepted, 1 a conflict or a refusal, 2 bad usage or document, 3 the node or the log
could not be reached, or the outcome is not known";

/// Options of `cuminctl apply`.
#[derive(Clone, Debug)]
pub struct Options {
    /// File with the document.
    pub file: PathBuf,
    /// The node to call.
    pub target: Target,
    /// Revision that the document is based on; the current one when none.
    pub base: Option<Revision>,
    /// Author of the change.
    pub by: String,
    /// Prints JSON.
    pub json: bool,
}

/// The result of the change.
pub type Outcome = ApplyOutcome;

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let flags = [
            "--node",
            "--secret-file",
            "--base",
            "--by",
            "--json",
            "--help",
        ];
        let mut args = Args::new(args, &flags)?;
        let target = Target::read(&mut args)?;
        let base = args.value("--base", "the number of a revision")?;
        let by = args.value("--by", "a name")?;
        let by = by.or_else(|| env::var("USER").ok());
        let by = by.filter(|by: &String| !by.trim().is_empty());
        let json = args.flag("--json");
        let [file] = args.files(["FILE"])?;
        Ok(Self {
            file,
            target,
            base: base.map(Revision),
            by: by.ok_or_else(|| UsageError::missing("--by", "a name"))?,
            json,
        })
    }
}

/// Checks the document, then sends it to a node, which appends it to the log.
///
/// # Errors
/// Returns an error when a file can't be used or the node does not answer.
pub fn apply(options: &Options) -> Result<Outcome, Error> {
    ctl::read_document(&options.file)?;
    let change = ApplyRequest {
        text: ctl::read_file(&options.file)?,
        base: options.base,
        by: options.by.clone(),
        kind: ChangeKind::Apply,
    };
    options
        .target
        .call(async |operator| operator.apply(change).await)
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let outcome = apply(&options)?;
    if options.json {
        terminal.json(&outcome);
    }
    let (status, lines) = match &outcome {
        ApplyOutcome::Accepted { revision, digest } => {
            if !options.json {
                terminal.print(format!("accepted: revision {revision}, digest {digest}"));
            }
            return Ok(Status::Done);
        }
        ApplyOutcome::Conflict {
            winner,
            by,
            at,
            keys,
        } => {
            let mut lines = vec![format!(
                "conflict: revision {winner} by {by}, {}, came first; these keys differ from it:",
                ago(*at)
            )];
            lines.extend(keys.iter().map(|key| format!("  {key}")));
            (Status::Failed, lines)
        }
        ApplyOutcome::Refused { reason } => (Status::Failed, vec![format!("refused: {reason}")]),
        ApplyOutcome::Invalid { problems } => (Status::Usage, problems.clone()),
        ApplyOutcome::Unavailable { reason } => (Status::Unavailable, vec![reason.clone()]),
        ApplyOutcome::Uncertain { reason } => {
            (Status::Unavailable, vec![format!("not known: {reason}")])
        }
    };
    if !options.json {
        for line in lines {
            terminal.error(line);
        }
    }
    Ok(status)
}
