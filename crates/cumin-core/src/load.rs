//! `cuminctl load`: an open-loop load generator, and a benchmark of relaying.
//!
//! Arrivals are drawn from a seed before the run and do not depend on answers. Latencies count from
//! the time at which a call was due, so that they include the delay of calls that a stalled system
//! held up.

mod plan;
mod plot;
mod relay;
mod report;
mod send;

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use cumin_client::Client;
use cumin_config::Document;
use cumin_testbed::Testbed;
use derive_more::{Display, Error};

use crate::args::Args;
use crate::ctl::Failure;
use crate::demo;
use crate::{Status, Terminal, UsageError};

pub use plan::{Arrival, Kind, Mix, arrivals};
pub use report::{KindReport, Latency, Report};

pub(crate) const HELP: &str = "\
Sends calls at random times (Poisson, from a seed) whether or not earlier ones were answered.
Latencies count from the time at which a call was due.

usage: cuminctl load --entries A,B --key KEY [FLAGS]
       cuminctl load --demo [FLAGS]
       cuminctl load relay [--seconds N] [--json FILE]

  --entries A,B   entries to connect to; loopback addresses only
  --key KEY       key of an organisation
  --demo          run the demo's system in this process instead
  --seconds N     time in which calls begin, 10 when absent
  --rate R        calls a second, 20 when absent
  --seed S        seed of the arrivals, 1 when absent
  --mix LIST      weights of chat, review, check, lookup and action;
                  chat=5,review=1,check=2,lookup=3,action=1 when absent
  --model NAME    model of chats, reviews and checks, crumb-8b when absent
  --service NAME  plain service of lookups and actions, oven-desk when absent
  --json FILE     write the report as JSON
  --svg FILE      write a plot of latencies and outcomes

`load relay` compares a stand-in engine with and without nodes before it, in this process.

exit status: 0 done, 1 tokens were repeated or skipped, 2 bad usage, 3 no entry answered";

const FLAGS: &[&str] = &[
    "--entries",
    "--key",
    "--demo",
    "--seconds",
    "--rate",
    "--seed",
    "--mix",
    "--model",
    "--service",
    "--json",
    "--svg",
    "--help",
];

/// Options of `cuminctl load`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entries to connect to; none to run the demo's system in this process.
    pub entries: Vec<SocketAddr>,
    /// Key of an organisation.
    pub key: String,
    /// Time in which calls begin, in seconds.
    pub seconds: u64,
    /// Calls per second.
    pub rate: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Weights of the kinds of calls.
    pub mix: Mix,
    /// Model of chats, reviews and checks.
    pub model: String,
    /// Plain service of lookups and actions.
    pub service: String,
    /// File for the report.
    pub json: Option<PathBuf>,
    /// File for the plot.
    pub svg: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            key: "demo-hamilton-ovens-1".into(),
            seconds: 10,
            rate: 20.0,
            seed: 1,
            mix: Mix::default(),
            model: "crumb-8b".into(),
            service: "oven-desk".into(),
            json: None,
            svg: None,
        }
    }
}

/// The error of a run whose load could not be sent or whose report could not be written.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No entry answered with a list of entries.
    #[display("no entry answers: {}", entries.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "))]
    Unreachable {
        /// The entries that were called.
        entries: Vec<SocketAddr>,
    },
    /// The demo's system did not start.
    #[display("{_0}")]
    Demo(demo::Error),
    /// A part of the relay benchmark did not start, or a call failed.
    #[display("{_0}")]
    Relay(#[error(not(source))] String),
    /// A file can't be written.
    #[display("{}: {error}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The plot can't be drawn.
    #[display("the plot can't be drawn: {_0}")]
    Plot(#[error(not(source))] String),
}

impl Error {
    pub(crate) fn status(&self) -> Status {
        match self {
            Self::Write { .. } => Status::Usage,
            _ => Status::Unavailable,
        }
    }
}

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, FLAGS)?;
        let default = Self::default();
        let demo = args.flag("--demo");
        let entries = args.value::<String>("--entries", ACCEPTED_ENTRIES)?;
        let key = args.value("--key", "the key of an organisation")?;
        if demo && let Some(entries) = entries {
            return Err(UsageError::value(
                "--entries",
                &entries,
                "nothing with --demo",
            ));
        }
        let entries = match entries {
            None if demo => Vec::new(),
            None => return Err(UsageError::missing("--entries", ACCEPTED_ENTRIES)),
            Some(text) => parse_entries(&text)?,
        };
        if !demo && key.is_none() {
            return Err(UsageError::missing("--key", "the key of an organisation"));
        }
        let rate: Option<f64> = args.value("--rate", ACCEPTED_RATE)?;
        if let Some(rate) = rate.filter(|rate| !(0.01..=10_000.0).contains(rate)) {
            return Err(UsageError::value(
                "--rate",
                &rate.to_string(),
                ACCEPTED_RATE,
            ));
        }
        let options = Self {
            entries,
            key: key.unwrap_or(default.key),
            seconds: read_seconds(&mut args)?.unwrap_or(default.seconds),
            rate: rate.unwrap_or(default.rate),
            seed: args
                .value("--seed", "a whole number")?
                .unwrap_or(default.seed),
            mix: args
                .value("--mix", plan::ACCEPTED_MIX)?
                .unwrap_or(default.mix),
            model: args.value("--model", "a model")?.unwrap_or(default.model),
            service: args
                .value("--service", "a plain service")?
                .unwrap_or(default.service),
            json: args.path("--json")?,
            svg: args.path("--svg")?,
        };
        args.finish()?;
        Ok(options)
    }
}

const ACCEPTED_ENTRIES: &str =
    "loopback addresses with ports, such as 127.0.0.1:8080,127.0.0.1:8090";
const ACCEPTED_RATE: &str = "a number of calls a second from 0.01 to 10000";

fn read_seconds(args: &mut Args) -> Result<Option<u64>, UsageError> {
    let accepted = "a whole number from 1 to 3600";
    match args.value::<u64>("--seconds", accepted)? {
        Some(seconds) if !(1..=3600).contains(&seconds) => Err(UsageError::value(
            "--seconds",
            &seconds.to_string(),
            accepted,
        )),
        seconds => Ok(seconds),
    }
}

fn parse_entries(text: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let entries = text
        .split(',')
        .map(|part| match part.parse::<SocketAddr>() {
            Ok(address) if address.ip().is_loopback() && address.port() > 0 => Ok(address),
            _ => Err(UsageError::value(
                "--entries",
                &format!("{part:?}"),
                ACCEPTED_ENTRIES,
            )),
        });
    entries.collect()
}

/// Sends the load and summarises the results.
///
/// # Errors
/// Returns an error when no entry answers or the demo's system does not start.
pub async fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Result<Report, Error> {
    let plan = arrivals(options.seed, options.rate, options.seconds, &options.mix);
    // Keeps the demo's system running until the last call has ended.
    let mut testbed = None;
    let mut entries = options.entries.clone();
    if entries.is_empty() {
        progress("starting the stand-ins and 4 nodes");
        let document = Document::parse(demo::DOCUMENT);
        let document = document.map_err(|error| Error::Demo(error.into()))?;
        let started = Testbed::start(document, cumin_testbed::Options::default()).await;
        let started = started.map_err(|error| Error::Demo(error.into()))?;
        entries = started.entries();
        testbed = Some(started);
    }
    let client = Rc::new(Client::new(cumin_client::Options {
        key: options.key.clone(),
        entries: entries.clone(),
        loopback_only: true,
        max_tries: 5,
        ..cumin_client::Options::default()
    }));
    if !client.refresh().await {
        return Err(Error::Unreachable { entries });
    }
    progress(&format!(
        "sending {} calls in {} s",
        plan.len(),
        options.seconds
    ));
    let samples = send::send_all(&client, options, plan).await;
    drop(testbed);
    Ok(Report::new(options, &samples))
}

pub(crate) fn command(
    mut args: Vec<OsString>,
    terminal: &mut Terminal<'_>,
) -> Result<Status, Failure> {
    if args.first().is_some_and(|first| first == "relay") {
        args.remove(0);
        return relay::command(args, terminal);
    }
    let options = Options::read(args)?;
    // Checks that the files can be written before the load is sent.
    for path in options.json.iter().chain(&options.svg) {
        write(path, "")?;
    }
    let system = actix_rt::System::new();
    let report = system.block_on(run(&options, &mut |line| terminal.progress(line)))?;
    report.print(terminal);
    if let Some(path) = &options.json {
        write(
            path,
            &serde_json::to_string_pretty(&report).unwrap_or_default(),
        )?;
    }
    if let Some(path) = &options.svg {
        write(path, &plot::svg(&report).map_err(Error::Plot)?)?;
    }
    let intact = (report.repeated, report.skipped) == (0, 0);
    Ok(if intact { Status::Done } else { Status::Failed })
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| Error::Write {
        path: path.into(),
        error,
    })
}
