//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumin_core::cuminctl()
}
