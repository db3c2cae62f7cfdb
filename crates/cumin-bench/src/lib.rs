//! Compares routing policies by simulation, on seeded workloads modelled on two operators.
//!
//! The engines are queue models with slots, chunked prefill by priority and a limited prefix
//! cache. Load reports and cache events reach four entries with delays and losses. Only the
//! decisions come from production code. Results depend on the seed and the settings only, so tests
//! can set bounds on them.

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

use sim::{ReclaimMode, Sim};
use workload::Workload;

/// Settings of the benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seed of the workloads and the simulations.
    pub seed: u64,
    /// Simulated time during which callers arrive, seconds.
    pub arrival_seconds: u64,
    /// Notice before a place is reclaimed, seconds.
    pub notice_seconds: u64,
    /// Time between two reclaims, seconds.
    pub reclaim_seconds: u64,
    /// Bandwidth out of one instance, bytes a second.
    pub bandwidth: u64,
    /// True to write JSON instead of a table.
    pub json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            arrival_seconds: 150,
            notice_seconds: 10,
            reclaim_seconds: 45,
            bandwidth: 1_250_000_000,
            json: false,
        }
    }
}

/// Errors of writing the result.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// Writing failed.
    #[display("cannot write the benchmark's result: {_0}")]
    Write(io::Error),
    /// Encoding failed.
    #[display("cannot encode the benchmark's result: {_0}")]
    Encode(serde_json::Error),
}

/// Simulates both workloads with the production policy and the baselines.
#[must_use]
pub fn run(options: &Options) -> Report {
    let mut report = Report {
        seed: options.seed,
        seconds: options.arrival_seconds,
        notice: options.notice_seconds,
        every: options.reclaim_seconds,
        bandwidth: options.bandwidth,
        rows: Vec::new(),
        verdicts: Vec::new(),
    };
    for user in [User::Bakers, User::Judges] {
        let workload = Workload::new(user, options);
        for (name, reclaim_mode, baseline) in [
            ("estimate", ReclaimMode::Export, None),
            ("estimate-no-export", ReclaimMode::Drain, None),
            (
                "least-loaded",
                ReclaimMode::Choose,
                Some(Strategy::LeastLoaded),
            ),
            (
                "round-robin",
                ReclaimMode::Choose,
                Some(Strategy::RoundRobin),
            ),
            (
                "prefix-hash",
                ReclaimMode::Choose,
                Some(Strategy::PrefixHash(workload.prefix_blocks)),
            ),
        ] {
            let sim = Sim::new(
                &workload,
                reclaim_mode,
                options.seed,
                |options| -> Box<dyn Policy> {
                    match baseline {
                        None => Box::new(Router::new(options)),
                        Some(strategy) => Box::new(Baseline::new(strategy, options)),
                    }
                },
            );
            report.rows.push(sim.run().row(user, name));
        }
        report.check_targets(user);
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
    Ok(report.all_held())
}
