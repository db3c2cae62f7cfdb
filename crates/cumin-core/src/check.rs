//! `cuminctl check`: checks documents or settings.

use std::ffi::OsString;
use std::path::PathBuf;

use cumin_config::Settings;

use crate::args::Args;
use crate::ctl::{self, Failure, FileError};
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Checks documents and prints every problem with its line, key, value and what is accepted.

usage: cuminctl check [--settings] FILE...

  --settings  the files are settings of nodes

exit status: 0 all are accepted, 2 some are not";

/// Options of `cuminctl check`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The files to check.
    pub files: Vec<PathBuf>,
    /// The files are settings of nodes, not documents.
    pub settings: bool,
}

/// The result for each file: the line to print, or the error.
pub type Outcome = Vec<Result<String, FileError>>;

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--settings", "--help"])?;
        let settings = args.flag("--settings");
        let files = args.positional()?;
        if files.is_empty() {
            return Err(UsageError::missing("FILE", "files to check"));
        }
        Ok(Self { files, settings })
    }
}

/// Checks every file, also after one that is not accepted.
#[must_use]
pub fn check(options: &Options) -> Outcome {
    let results = options.files.iter().map(|path| {
        let path_text = path.display();
        if !options.settings {
            let digest = ctl::read_document(path)?.digest();
            return Ok(format!("{path_text}: accepted, digest {digest}"));
        }
        match Settings::parse(&ctl::read_file(path)?) {
            Ok(_) => Ok(format!("{path_text}: accepted")),
            Err(problems) => Err(FileError::Invalid {
                path: path.clone(),
                problems,
            }),
        }
    });
    results.collect()
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let mut status = Status::Done;
    for result in check(&Options::read(args)?) {
        match result {
            Ok(line) => terminal.print(line),
            Err(error) => {
                status = Status::Usage;
                for line in error.to_string().lines() {
                    terminal.error(line);
                }
            }
        }
    }
    Ok(status)
}
