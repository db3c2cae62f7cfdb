//! Prints a comparison of routing policies. Options: `--seed N`, `--seconds N`, `--notice N`,
//! `--every N`, `--bandwidth N` (bytes a second), `--json`.

use std::process::ExitCode;

use cumin_bench::{Options, command};

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<bool, Box<dyn std::error::Error>> {
    let mut arguments = pico_args::Arguments::from_env();
    let defaults = Options::default();
    let mut number = |name, default| -> Result<u64, pico_args::Error> {
        Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
    };
    let options = Options {
        seed: number("--seed", defaults.seed)?,
        arrival_seconds: number("--seconds", defaults.arrival_seconds)?,
        notice_seconds: number("--notice", defaults.notice_seconds)?,
        reclaim_seconds: number("--every", defaults.reclaim_seconds)?,
        bandwidth: number("--bandwidth", defaults.bandwidth)?,
        json: arguments.contains("--json"),
    };
    if let Some(extra) = arguments.finish().first() {
        let extra = extra.display();
        return Err(format!(
            "unknown argument {extra}; known: --seed --seconds --notice --every --bandwidth --json"
        )
        .into());
    }
    Ok(command(&options, &mut std::io::stdout())?)
}
