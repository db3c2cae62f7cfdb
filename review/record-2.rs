//! The record of a case: what was sent, answered and run.

use std::fmt::Write as _;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    since: Instant,
    text: Mutex<String>,
    path: String,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            since: Instant::now(),
            text: Mutex::default(),
            path: path.to_owned(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, line: impl AsRef<str>) {
        self.line_at(Instant::now(), line);
    }

    pub fn line_at(&self, at: Instant, line: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.since).as_secs_f64();
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(text, "{seconds:8.3} {}", line.as_ref());
    }

    /// Writes the lines in the order of their times.
    pub fn write(&self) {
        let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lines: Vec<&str> = text.lines().collect();
        lines.sort_by(|a, b| {
            let seconds = |line: &str| line[..8].trim().parse::<f64>().unwrap_or(0.0);
            seconds(a).total_cmp(&seconds(b))
        });
        let text = lines.join("\n") + "\n";
        std::fs::write(&self.path, text).expect("the record is written");
    }
}
