//! Output and exit statuses of commands.

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;

use serde::Serialize;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The command succeeded.
    Done = 0,
    /// A promise or a comparison did not hold, a change was not accepted, or a node was stopped
    /// before it was drained.
    Failed = 1,
    /// The command line, a file or a value is not accepted.
    Usage = 2,
    /// The system could not be reached or started, or refused the call.
    Unavailable = 3,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}

/// Output streams of a command: results go to `stdout`, progress and errors to `stderr`.
///
/// Write errors are ignored: they mean that the reader has closed the stream, and the exit status
/// still tells how the command ended.
pub struct Terminal<'a> {
    /// Standard output.
    pub stdout: &'a mut dyn Write,
    /// Standard error.
    pub stderr: &'a mut dyn Write,
    /// Colours text output.
    pub colour: bool,
}

/// Text colours, with their ANSI codes.
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
