//! Server process of a node, which runs on every entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumin_core::cuminladder()
}
