//! The node that every entry instance runs.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumin_core::cuminladder()
}
