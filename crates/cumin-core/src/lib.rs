//! Commands of both binaries, one module each.
//!
//! This is the only crate that prints, reads the environment and decides exit statuses. Each
//! command has `Options`, read from its arguments, an `Outcome` and an `Error`; [`ctl`] and
//! [`node`] run a whole command line against a [`Terminal`], so that tests need no process.

pub mod apply;
mod args;
pub mod check;
mod ctl;
pub mod demo;
pub mod diff;
pub mod drain;
pub mod entry;
pub mod explain;
pub mod history;
pub mod keygen;
pub mod load;
mod logging;
pub mod operate;
pub mod promote;
pub mod run;
pub mod schema;
pub mod status;
mod terminal;

use std::env;
use std::ffi::OsString;
use std::io::{self, IsTerminal};
use std::process::ExitCode;

pub use args::UsageError;
pub use ctl::ctl;
pub use run::node;
pub use terminal::{Status, Terminal};

/// Runs `cuminladder` with the arguments and the terminal of the process.
#[must_use]
pub fn cuminladder() -> ExitCode {
    command(|mut args, terminal| {
        if args.first().is_some_and(|word| word == "entry") {
            args.remove(0);
            return entry::entry(args, terminal);
        }
        node(args, terminal)
    })
}

/// Runs `cuminctl` with the arguments and the terminal of the process.
#[must_use]
pub fn cuminctl() -> ExitCode {
    command(|args, terminal| {
        logging::start(None, "off");
        ctl(args, terminal)
    })
}

fn command(run: impl FnOnce(Vec<OsString>, &mut Terminal<'_>) -> Status) -> ExitCode {
    let (mut out, mut err) = (io::stdout(), io::stderr());
    let colour = out.is_terminal() && env::var_os("NO_COLOR").is_none();
    let mut terminal = Terminal {
        stdout: &mut out,
        stderr: &mut err,
        colour,
    };
    run(env::args_os().skip(1).collect(), &mut terminal).into()
}
