//! `cuminctl demo`: runs the whole system in one process and checks what it promises.
//!
//! Each check makes calls through the public interface, and compares the answers and the counters
//! of the stand-ins with what the system promises.

mod checks;
mod faults;

pub(crate) use checks::chat;

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;

use cumin_config::{Document, Problems};
use cumin_testbed::Testbed;
use cumin_types::Millis;
use derive_more::{Display, Error, From};
use serde::Serialize;

use crate::args::Args;
use crate::ctl::Failure;
use crate::terminal::Colour;
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Runs stand-ins for everything outside, 4 nodes on 127.0.0.1 and the bakers' document in this
process, makes calls, causes faults, and prints what each promise came to.

usage: cuminctl demo [--input FILE] [--json]

  --input FILE  text to review, UTF-8; a built-in text when absent
  --json        print the table as JSON

exit status: 0 every promise was held, 1 one was not, 2 bad usage or input, 3 the system did not
start";

/// Document of the environment that the demo runs.
pub(crate) const DOCUMENT: &str = include_str!("../../../examples/bakers.toml");
const REVIEW: &str = include_str!("demo/review.txt");

/// Model that reviews texts.
const REVIEWER: &str = "crumb-32b";
/// Tokens that the review generates.
const REVIEW_TOKENS: u64 = 400;

/// Options of `cuminctl demo`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File with the text to review; a built-in text when none.
    pub input: Option<PathBuf>,
    /// Prints JSON.
    pub json: bool,
}

/// Result of a demo.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Whether the system held every promise.
    pub held: bool,
    /// The result for each promise, in the order of the checks.
    pub promises: Vec<Promise>,
    /// Time from the start to the end of the last check, in milliseconds.
    pub total_ms: u64,
}

/// Result of the check of one promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Promise {
    /// What the system promises.
    pub promise: String,
    /// What the check observed.
    pub seen: String,
    /// Whether the observation meets the promise.
    pub held: bool,
}

/// The error of a demo that could not run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The input can't be read.
    #[display("--input {}: {error}", path.display())]
    #[from(skip)]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The input is not accepted.
    #[display("--input {}: found {found}; accepted: {accepted}", path.display())]
    #[from(skip)]
    Input {
        /// The file.
        path: PathBuf,
        /// What the file has.
        found: String,
        /// Description of the accepted input.
        accepted: String,
    },
    /// The embedded document is not accepted.
    #[display("the embedded document is not accepted:\n{_0}")]
    Document(Problems),
    /// The system did not start.
    #[display("{_0}")]
    Start(cumin_testbed::Error),
}

impl Error {
    pub(crate) fn status(&self) -> Status {
        match self {
            Self::Read { .. } | Self::Input { .. } => Status::Usage,
            Self::Document(_) | Self::Start(_) => Status::Unavailable,
        }
    }
}

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--input", "--json", "--help"])?;
        let options = Self {
            input: args.path("--input")?,
            json: args.flag("--json"),
        };
        args.finish()?;
        Ok(options)
    }
}

/// Reads and checks the text to review.
fn read_review_text(path: Option<&Path>, document: &Document) -> Result<String, Error> {
    let Some(path) = path else {
        return Ok(REVIEW.into());
    };
    let input_error = |found: String, accepted: String| Error::Input {
        path: path.into(),
        found,
        accepted,
    };
    let bytes = std::fs::read(path).map_err(|error| Error::Read {
        path: path.into(),
        error,
    })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let offset = error.utf8_error().valid_up_to();
        input_error(
            format!("no UTF-8 at byte {offset}"),
            "a text in UTF-8".into(),
        )
    })?;
    if text.trim().is_empty() {
        return Err(input_error(
            "an empty text".into(),
            "a text with words to review".into(),
        ));
    }
    let context = document
        .models
        .get(REVIEWER)
        .map(|spec| spec.context_tokens);
    let max_tokens = context
        .unwrap_or_default()
        .0
        .saturating_sub(REVIEW_TOKENS + 100);
    let tokens = cumin_wire::engine::tokens(&text).count() as u64;
    if tokens > max_tokens || text.len() > MAX_TEXT_BYTES {
        return Err(input_error(
            format!("{tokens} words in {} bytes", text.len()),
            format!(
                "at most {max_tokens} words, which {REVIEWER} can read, in {MAX_TEXT_BYTES} bytes"
            ),
        ));
    }
    Ok(text)
}

/// Longest text to review. JSON escapes can double its size, and a request has at most 4 MiB.
const MAX_TEXT_BYTES: usize = 2_000_000;

/// Runs the system and checks each promise; calls `progress` before each stage.
///
/// # Errors
/// Returns an error when the input is not accepted or the system does not start.
pub async fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Result<Outcome, Error> {
    let started = Instant::now();
    let document = Document::parse(DOCUMENT)?;
    let text = read_review_text(options.input.as_deref(), &document)?;
    progress("starting the stand-ins and 4 nodes");
    let mut testbed_options = cumin_testbed::Options::default();
    // A call during the log outage waits until this deadline.
    testbed_options.node.plain_deadline = Millis(1_000);
    // A stopping node also waits for idle connections of callers, for at most this time.
    testbed_options.drain_time = Millis(2_000);
    let testbed = Testbed::start(document, testbed_options).await?;
    let promises = checks::run_all(&testbed, &text, progress).await;
    Ok(Outcome {
        held: promises.iter().all(|promise| promise.held),
        promises,
        total_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    })
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let system = actix_rt::System::new();
    let outcome = system.block_on(run(&options, &mut |line| terminal.progress(line)))?;
    if options.json {
        terminal.json(&outcome);
    } else {
        print_table(&outcome, terminal);
    }
    Ok(if outcome.held {
        Status::Done
    } else {
        Status::Failed
    })
}

fn print_table(outcome: &Outcome, terminal: &mut Terminal<'_>) {
    let width = |column: fn(&Promise) -> &str, title: &str| {
        let cells = outcome.promises.iter().map(column);
        let widths = cells.chain([title]).map(|cell| cell.chars().count());
        widths.max().unwrap_or_default()
    };
    let promises = width(|row| &row.promise, "promise");
    let seen = width(|row| &row.seen, "seen");
    terminal.print(format!("{:promises$}  {:seen$}  held", "promise", "seen"));
    for row in &outcome.promises {
        let held = if row.held {
            terminal.paint(Colour::Green, "yes")
        } else {
            terminal.paint(Colour::Red, "NO")
        };
        terminal.print(format!(
            "{:promises$}  {:seen$}  {held}",
            row.promise, row.seen
        ));
    }
    let held = outcome.promises.iter().filter(|row| row.held).count();
    terminal.print(format!(
        "{held} of {} promises held in {:.1} s",
        outcome.promises.len(),
        Millis(outcome.total_ms).duration().as_secs_f64()
    ));
}
