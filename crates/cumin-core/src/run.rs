//! `cuminladder`: runs a node until it is stopped.
//!
//! Settings and document are validated in full before a socket is opened. SIGTERM, SIGINT and a
//! reclaim notice for the node's own instance drain the node; a second signal stops it at once.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::pin;

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use cumin_config::{Document, Problems, Settings};
use cumin_node::{Node, StartError};
use derive_more::{Display, Error};
use futures_util::future::{self, Either};
use log::LevelFilter;

use crate::args::Args;
use crate::{Status, Terminal, UsageError, logging};

const HELP: &str = "\
Runs a node of cuminladder.

usage: cuminladder --settings FILE [--document FILE] [--check] [--log LEVEL]
       cuminladder entry ...   an entry on the users' platform; `cuminladder entry --help`

  --settings FILE  settings of the node, TOML
  --document FILE  document of the environment, TOML, used until the log has a revision
  --check          check both files and exit; opens no socket
  --log LEVEL      off, error, warn, info, debug or trace; RUST_LOG or info when absent
  --version        print the version
  --help           print this text

SIGTERM, SIGINT and a reclaim of the node's instance drain it; a second signal stops it at once.

exit status: 0 drained or checked, 1 stopped before it was drained, 2 bad usage, settings or
document, 3 an address can't be bound";

const FLAGS: &[&str] = &[
    "--settings",
    "--document",
    "--check",
    "--log",
    "--version",
    "--help",
];

/// Options of `cuminladder`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File with the settings of the node.
    pub settings: PathBuf,
    /// File with the document of the environment.
    pub document: Option<PathBuf>,
    /// Checks both files without running the node.
    pub check: bool,
    /// Log level, which takes precedence over `RUST_LOG`.
    pub log: Option<LevelFilter>,
}

/// How the command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The files were checked and no node ran.
    Checked,
    /// The node finished or handed over its requests.
    Drained,
    /// A second signal stopped the node before it was drained.
    Interrupted,
}

/// The error of a node that could not run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The settings or the document are not accepted; one line for each problem.
    #[display("{}", _0.join("\n"))]
    Invalid(#[error(not(source))] Vec<String>),
    /// The signal handlers can't be installed.
    #[display("signals can't be received: {_0}")]
    Signals(io::Error),
    /// The node can't start.
    #[display("{_0}")]
    Start(StartError),
}

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, FLAGS)?;
        let options = Self {
            settings: args
                .path("--settings")?
                .ok_or_else(|| UsageError::missing("--settings", "a file"))?,
            document: args.path("--document")?,
            check: args.flag("--check"),
            log: args.value("--log", "off, error, warn, info, debug or trace")?,
        };
        args.finish()?;
        Ok(options)
    }
}

/// Runs `cuminladder` with these arguments, without the program's name.
pub fn node(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Status {
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        terminal.print(HELP);
        return Status::Done;
    }
    if args.iter().any(|arg| arg == "--version") {
        terminal.print(concat!("cuminladder ", env!("CARGO_PKG_VERSION")));
        return Status::Done;
    }
    let options = match Options::read(args) {
        Ok(options) => options,
        Err(error) => {
            terminal.error(error);
            terminal.progress("`cuminladder --help` lists the flags");
            return Status::Usage;
        }
    };
    match run(&options) {
        Ok(Outcome::Checked) => {
            terminal.print("settings and document are accepted");
            Status::Done
        }
        Ok(Outcome::Drained) => Status::Done,
        Ok(Outcome::Interrupted) => Status::Failed,
        Err(Error::Invalid(problems)) => {
            for problem in problems {
                terminal.error(problem);
            }
            Status::Usage
        }
        Err(error) => {
            terminal.error(error);
            Status::Unavailable
        }
    }
}

/// Checks the files, then runs the node until it is stopped.
///
/// # Errors
/// Returns an error when a file can't be read or is not accepted, or when the node can't start.
pub fn run(options: &Options) -> Result<Outcome, Error> {
    let (settings, document) = load_files(options).map_err(Error::Invalid)?;
    if options.check {
        return Ok(Outcome::Checked);
    }
    logging::start(options.log, "info");
    actix_rt::System::new().block_on(serve(settings, document))
}

/// Reads the settings and the document; the error has the problems of both.
fn load_files(options: &Options) -> Result<(Settings, Option<Document>), Vec<String>> {
    let settings = parse_file(&options.settings, Settings::parse).and_then(|mut settings| {
        let secret = settings.load_secret();
        let secret = secret.map_err(|error| vec![with_path(&options.settings, error)])?;
        settings.secret = Some(secret);
        Ok(settings)
    });
    let document = match &options.document {
        Some(path) => parse_file(path, Document::parse).map(Some),
        None => Ok(None),
    };
    match (settings, document) {
        (Ok(settings), Ok(None)) => Ok((settings, None)),
        (Ok(settings), Ok(Some(document))) => match settings.check(&document) {
            Ok(()) => Ok((settings, Some(document))),
            Err(problems) => Err(problem_lines(&options.settings, &problems)),
        },
        (settings, document) => {
            let problems = settings.err().into_iter().chain(document.err());
            Err(problems.flatten().collect())
        }
    }
}

fn parse_file<T>(path: &Path, parse: fn(&str) -> Result<T, Problems>) -> Result<T, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|error| vec![with_path(path, error)])?;
    parse(&text).map_err(|problems| problem_lines(path, &problems))
}

fn problem_lines(path: &Path, problems: &Problems) -> Vec<String> {
    let problems = problems.0.iter();
    problems.map(|problem| with_path(path, problem)).collect()
}

fn with_path(path: &Path, problem: impl std::fmt::Display) -> String {
    format!("{}: {problem}", path.display())
}

/// The signals that stop a node.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Returns the `cause` of the next signal in log lines.
    async fn next(&mut self) -> &'static str {
        let terminate = pin!(self.terminate.recv());
        let interrupt = pin!(self.interrupt.recv());
        match future::select(terminate, interrupt).await {
            Either::Left(_) => "sigterm",
            Either::Right(_) => "sigint",
        }
    }
}

async fn serve(settings: Settings, document: Option<Document>) -> Result<Outcome, Error> {
    let mut signals = Signals::listen().map_err(Error::Signals)?;
    let name = settings.name.clone();
    let node = Node::start(settings, document, cumin_node::Options::default());
    let node = node.map_err(Error::Start)?;
    let cause = match future::select(pin!(signals.next()), pin!(node.reclaimed())).await {
        Either::Left((signal, _)) => signal,
        Either::Right(_) => "reclaim",
    };
    log::info!("event=stop_ordered node={name} cause={cause}");
    match future::select(pin!(node.stop()), pin!(signals.next())).await {
        Either::Left(_) => Ok(Outcome::Drained),
        Either::Right((signal, _)) => {
            log::warn!("event=killed node={name} cause={signal}");
            Ok(Outcome::Interrupted)
        }
    }
}
