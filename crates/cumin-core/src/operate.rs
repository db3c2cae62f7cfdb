//! Shared parts of the commands that call a running node: target flags, calls and tables.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use cumin_config::Secret;
use cumin_node::{Operator, OperatorError};
use cumin_types::WallMillis;

use crate::UsageError;
use crate::args::Args;
use crate::ctl::{self, FileError};

/// A running node and the secret that the nodes share.
#[derive(Clone, Debug)]
pub struct Target {
    /// `peer_listen` address of the node.
    pub node: SocketAddr,
    /// File with the secret.
    pub secret_file: PathBuf,
}

impl Target {
    pub(crate) fn read(args: &mut Args) -> Result<Self, UsageError> {
        let accepted = "IP:PORT, the peer_listen address of a node";
        let node = args.value("--node", accepted)?;
        let secret_file = args.path("--secret-file")?;
        Ok(Self {
            node: node.ok_or_else(|| UsageError::missing("--node", accepted))?,
            secret_file: secret_file.ok_or_else(|| {
                UsageError::missing("--secret-file", "the file with the secret of the nodes")
            })?,
        })
    }

    /// Reads the secret and returns a client for the node.
    pub(crate) fn operator(&self) -> Result<Operator, FileError> {
        let secret = Secret::new(&ctl::read_file(&self.secret_file)?);
        Ok(Operator::new(self.node, secret.expose()))
    }

    /// Runs a call on a new `actix-rt` system and waits for its result.
    pub(crate) fn call<T>(
        &self,
        call: impl AsyncFnOnce(Operator) -> Result<T, OperatorError>,
    ) -> Result<T, Error> {
        let operator = self.operator()?;
        actix_rt::System::new()
            .block_on(call(operator))
            .map_err(Error::Call)
    }
}

/// Options of the commands that take only a target.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node to call.
    pub target: Target,
    /// Prints JSON.
    pub json: bool,
}

impl Options {
    pub(crate) fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--node", "--secret-file", "--json", "--help"])?;
        let target = Target::read(&mut args)?;
        let json = args.flag("--json");
        args.finish()?;
        Ok(Self { target, json })
    }
}

/// The error of a call to a node.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// An input file can't be used.
    File(FileError),
    /// The node did not answer.
    Call(OperatorError),
}

/// Formats rows as aligned columns, without trailing spaces.
pub(crate) fn table(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<_> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}

/// Formats the age of a time: in seconds below 2 min, minutes below 2 h, hours below 2 d, else
/// days.
pub(crate) fn ago(at: WallMillis) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = now
        .map_or(0, |now| now.as_secs())
        .saturating_sub(at.0 / 1000);
    match seconds {
        0..=119 => format!("{seconds} s ago"),
        120..=7199 => format!("{} min ago", seconds / 60),
        7200..=172_799 => format!("{} h ago", seconds / 3600),
        _ => format!("{} d ago", seconds / 86_400),
    }
}
