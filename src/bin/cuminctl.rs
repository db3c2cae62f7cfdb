//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumin_core::cuminctl()
}
