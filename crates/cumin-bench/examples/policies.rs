//! Prints the comparison of routing policies: `--seed N`, `--seconds N`, `--notice N`, `--every N`,
//! `--bandwidth N` (bytes a second), `--json`.

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
    let base = Options::default();
    let mut number = |name, base| -> Result<u64, pico_args::Error> {
        Ok(arguments.opt_value_from_str(name)?.unwrap_or(base))
    };
    let options = Options {
        seed: number("--seed", base.seed)?,
        seconds: number("--seconds", base.seconds)?,
        notice: number("--notice", base.notice)?,
        every: number("--every", base.every)?,
        bandwidth: number("--bandwidth", base.bandwidth)?,
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
