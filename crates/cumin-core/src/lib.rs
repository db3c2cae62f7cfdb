//! The commands of both binaries, one module each.
//!
//! Only this crate prints, reads environment variables and chooses exit statuses. A command has
//! `Options`, parsed from its arguments, an `Outcome` and an `Error`. [`ctl`] and [`node`] run a
//! whole command line against a [`Terminal`], so that tests need not spawn a process.

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
pub mod validate;

use std::env;
use std::ffi::OsString;
use std::io::{self, IsTerminal};
use std::process::ExitCode;

pub use args::UsageError;
pub use ctl::ctl;
pub use run::node;
pub use terminal::{Status, Terminal};

/// Runs `cuminladder` with the arguments and standard streams of the process.
#[must_use]
pub fn cuminladder() -> ExitCode {
    run_process(|mut args, terminal| {
        if args.first().is_some_and(|first| first == "entry") {
            args.remove(0);
            return entry::entry(args, terminal);
        }
        node(args, terminal)
    })
}

/// Runs `cuminctl` with the arguments and standard streams of the process.
#[must_use]
pub fn cuminctl() -> ExitCode {
    run_process(|args, terminal| {
        logging::start(None, "off");
        ctl(args, terminal)
    })
}

fn run_process(run_command: impl FnOnce(Vec<OsString>, &mut Terminal<'_>) -> Status) -> ExitCode {
    let (mut stdout, mut stderr) = (io::stdout(), io::stderr());
    let colour = stdout.is_terminal() && env::var_os("NO_COLOR").is_none();
    let mut terminal = Terminal {
        stdout: &mut stdout,
        stderr: &mut stderr,
        colour,
    };
    run_command(env::args_os().skip(1).collect(), &mut terminal).into()
}
