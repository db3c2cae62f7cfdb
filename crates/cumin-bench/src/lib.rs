//! Compares routing policies on seeded workloads shaped like those of both operators.
//!
//! The engines are queue models with slots, chunked prefill by priority and a limited prefix
//! cache; load reports and cache events reach four entries late and with gaps. Only the decisions
//! are the product's. Everything is a function of the seed, so that counts can be bounded in
//! tests.

mod engine;
mod report;
mod sim;
mod workload;

use std::io::{self, Write};

use cumin_route::policy::{Baseline, Strategy};
use cumin_route::{Policy, Router};
use derive_more::{Display, Error, From};

pub use report::{Report, Row, Verdict};
pub use workload::{Kind, User};

use sim::{Moving, Sim};
use workload::Workload;

/// Settings of the benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seed of workloads and replays.
    pub seed: u64,
    /// Simulated time of arrivals, seconds.
    pub seconds: u64,
    /// Notice before a place is lost, seconds.
    pub notice: u64,
    /// Time between two losses, seconds.
    pub every: u64,
    /// Transfer out of one instance, bytes a second.
    pub bandwidth: u64,
    /// JSON instead of a table.
    pub json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 150,
            notice: 10,
            every: 45,
            bandwidth: 1_250_000_000,
            json: false,
        }
    }
}

/// The result could not be written.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Writing failed.
    #[display("cannot write the benchmark's result: {_0}")]
    Write(io::Error),
    /// Encoding failed.
    #[display("cannot encode the benchmark's result: {_0}")]
    Encode(serde_json::Error),
}

/// Replays both workloads through the product and the baselines.
#[must_use]
pub fn run(options: &Options) -> Report {
    let mut report = Report {
        seed: options.seed,
        seconds: options.seconds,
        notice: options.notice,
        every: options.every,
        bandwidth: options.bandwidth,
        rows: Vec::new(),
        verdicts: Vec::new(),
    };
    for user in [User::Bakers, User::Judges] {
        let load = Workload::new(user, options);
        for (name, moving, rule) in [
            ("estimate", Moving::Export, None),
            ("estimate-no-export", Moving::Drain, None),
            ("least-loaded", Moving::Choose, Some(Strategy::LeastLoaded)),
            ("round-robin", Moving::Choose, Some(Strategy::RoundRobin)),
            (
                "prefix-hash",
                Moving::Choose,
                Some(Strategy::PrefixHash(load.depth)),
            ),
        ] {
            let sim = Sim::new(&load, moving, options.seed, |options| -> Box<dyn Policy> {
                match rule {
                    None => Box::new(Router::new(options)),
                    Some(rule) => Box::new(Baseline::new(rule, options)),
                }
            });
            report.rows.push(sim.run().row(user, name));
        }
        report.judge(user);
    }
    report
}

/// Runs the benchmark and writes its result; returns whether every target holds.
///
/// # Errors
/// [`Error`] when the result cannot be written.
pub fn command(options: &Options, out: &mut dyn Write) -> Result<bool, Error> {
    let report = run(options);
    if options.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(report.held())
}
