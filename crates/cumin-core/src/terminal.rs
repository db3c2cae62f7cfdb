//! Where commands print, and how they end.

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

use serde::Serialize;

/// How a command ended, as its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Everything was done.
    Done = 0,
    /// A promise or a comparison did not hold.
    Failed = 1,
    /// The command line, a file or a value is not accepted.
    Usage = 2,
    /// The system could not be reached, or refused.
    Unavailable = 3,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}

/// Results go to `stdout`, progress and errors to `stderr`.
///
/// Errors of writing are dropped: the reader has gone, and a command's exit status still tells
/// how it ended.
pub struct Terminal<'a> {
    /// Standard output.
    pub stdout: &'a mut dyn Write,
    /// Standard error.
    pub stderr: &'a mut dyn Write,
    /// True to colour what people read.
    pub colour: bool,
}

/// Colour of a word.
#[derive(Clone, Copy)]
pub(crate) enum Colour {
    Red = 31,
    Green = 32,
}

impl Terminal<'_> {
    pub(crate) fn print(&mut self, line: impl Display) {
        let _ = writeln!(self.stdout, "{line}");
    }

    pub(crate) fn json(&mut self, value: &impl Serialize) {
        match serde_json::to_string_pretty(value) {
            Ok(text) => self.print(text),
            Err(error) => self.error(error),
        }
    }

    pub(crate) fn progress(&mut self, line: impl Display) {
        let _ = writeln!(self.stderr, "{line}");
    }

    pub(crate) fn error(&mut self, error: impl Display) {
        let _ = writeln!(self.stderr, "error: {error}");
    }

    pub(crate) fn paint(&self, colour: Colour, text: &str) -> String {
        if self.colour {
            format!("\x1b[{}m{text}\x1b[0m", colour as u8)
        } else {
            text.into()
        }
    }
}
