//! `cuminctl schema`: prints the JSON schema of documents or settings.

use std::ffi::OsString;

use crate::args::Args;
use crate::ctl::Failure;
use crate::{Status, Terminal};

pub(crate) const HELP: &str = "\
Prints the JSON schema of documents, for editors.

usage: cuminctl schema [--settings]

  --settings  the schema of a node's settings instead";

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let mut args = Args::new(args, &["--settings", "--help"])?;
    let settings = args.flag("--settings");
    args.finish()?;
    terminal.json(&if settings {
        cumin_config::settings_schema()
    } else {
        cumin_config::schema()
    });
    Ok(Status::Done)
}
