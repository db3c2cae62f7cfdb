//! `cuminctl`: runs the named command and prints its errors.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::{fs, io};

use cumin_config::{Document, Problems};
use derive_more::{Display, Error, From};

use crate::args::nearest;
use crate::{Status, Terminal, UsageError};
use crate::{
    apply, check, demo, diff, drain, explain, history, keygen, load, operate, promote, schema,
    status, validate,
};

const HELP: &str = "\
Operators' tool of cuminladder.

usage: cuminctl COMMAND [ARGUMENTS]

  demo     run the whole system in one process and check its promises
  load     send load at a steady rate; `load relay` measures a node's cost
  check    check documents, or settings with --settings
  diff     list the keys that differ between two documents
  validate print findings about a document before it is sent
  apply    make a document the next revision
  promote  make the production document of a tested one and its overrides
  keygen   make an organisation key and its digest
  schema   print the JSON schema of documents, or of settings with --settings
  history  list the accepted revisions
  status   tell the state of the system as one node sees it
  explain  list the decisions about a request, endpoint, instance or node
  drain    have a node finish or hand over its requests and stop

`cuminctl COMMAND --help` describes a command.

exit status: 0 done, 1 a promise or a comparison did not hold, a change lost or there are findings, 2
bad usage or input, 3 the system could not be reached or refused";

const COMMANDS: [&str; 13] = [
    "demo", "load", "check", "diff", "apply", "promote", "keygen", "schema", "history", "status",
    "explain", "drain", "validate",
];

/// An input file that can't be used.
#[derive(Debug, Display, Error)]
pub enum FileError {
    /// The file can't be read.
    #[display("{}: {error}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The content is not accepted.
    #[display("{}", problem_lines(path, problems))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The problems of the content.
        problems: Problems,
    },
}

fn problem_lines(path: &Path, problems: &Problems) -> String {
    let problems = problems.0.iter();
    let lines: Vec<String> = problems
        .map(|problem| format!("{}: {problem}", path.display()))
        .collect();
    lines.join("\n")
}

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, FileError> {
    fs::read_to_string(path).map_err(|error| FileError::Read {
        path: path.into(),
        error,
    })
}

/// Reads and checks a document.
pub(crate) fn read_document(path: &Path) -> Result<Document, FileError> {
    Document::parse(&read_file(path)?).map_err(|problems| FileError::Invalid {
        path: path.into(),
        problems,
    })
}

/// The error that ended a command.
#[derive(Debug, Display, From)]
pub(crate) enum Failure {
    Usage(UsageError),
    File(FileError),
    Demo(demo::Error),
    Load(load::Error),
    Operate(operate::Error),
    Validate(validate::Error),
}

impl Failure {
    fn status(&self) -> Status {
        match self {
            Self::Usage(_)
            | Self::File(_)
            | Self::Operate(operate::Error::File(_))
            | Self::Validate(_) => Status::Usage,
            Self::Demo(error) => error.status(),
            Self::Load(error) => error.status(),
            Self::Operate(operate::Error::Call(_)) => Status::Unavailable,
        }
    }
}

type Command = fn(Vec<OsString>, &mut Terminal<'_>) -> Result<Status, Failure>;

/// Runs `cuminctl` with these arguments, without the program's name.
pub fn ctl(mut args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Status {
    if args.is_empty() {
        terminal.progress(HELP);
        return Status::Usage;
    }
    let name = args.remove(0).to_string_lossy().into_owned();
    let wants_help = args.iter().any(|arg| arg == "--help" || arg == "-h");
    let (help, run): (&str, Command) = match name.as_str() {
        "demo" => (demo::HELP, demo::command),
        "load" => (load::HELP, load::command),
        "check" => (check::HELP, check::command),
        "diff" => (diff::HELP, diff::command),
        "validate" => (validate::HELP, validate::command),
        "promote" => (promote::HELP, promote::command),
        "keygen" => (keygen::HELP, keygen::command),
        "schema" => (schema::HELP, schema::command),
        "apply" => (apply::HELP, apply::command),
        "history" => (history::HELP, history::command),
        "status" => (status::HELP, status::command),
        "explain" => (explain::HELP, explain::command),
        "drain" => (drain::HELP, drain::command),
        "help" | "--help" | "-h" => {
            terminal.print(HELP);
            return Status::Done;
        }
        "--version" => {
            terminal.print(concat!("cuminctl ", env!("CARGO_PKG_VERSION")));
            return Status::Done;
        }
        _ => {
            let nearest = nearest(&name, &COMMANDS).into();
            terminal.error(UsageError::UnknownCommand {
                found: name,
                nearest,
            });
            terminal.progress("`cuminctl --help` lists the commands");
            return Status::Usage;
        }
    };
    if wants_help {
        terminal.print(help);
        return Status::Done;
    }
    // Logging is off unless RUST_LOG is set: standard error is for progress and errors.
    crate::logging::start(None, "off");
    run(args, terminal).unwrap_or_else(|failure| {
        for line in failure.to_string().lines() {
            terminal.error(line);
        }
        if matches!(failure, Failure::Usage(_)) {
            terminal.progress(format!("`cuminctl {name} --help` describes the command"));
        }
        failure.status()
    })
}
