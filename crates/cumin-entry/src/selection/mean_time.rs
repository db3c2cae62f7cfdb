//! Moving mean of measured times.
//!
//! A sample counts more the longer ago the last one was, and a mean without a new sample ends, so
//! that times from a slow spell do not outlast it.

use cumin_types::Millis;

/// Minimum weight of a new measurement in a moving mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Time constant with which a mean loses weight against a new measurement.
const MEAN_SPAN_MS: f64 = 2000.0;

/// Time after which a mean without a new measurement no longer counts.
const MEAN_TTL: Millis = Millis(10_000);

/// Moving mean of measured times, in which the newer ones count more.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeanTime {
    /// The mean and the time of the last sample.
    mean: Option<(f64, Millis)>,
}

impl MeanTime {
    /// Adds a sample.
    pub(super) fn add(&mut self, took_ms: f64, now: Millis) {
        let mean = self.mean.map_or(took_ms, |(mean, at)| {
            let age_ms = super::millis(Millis(now.since(at)));
            let weight = MEAN_WEIGHT.max(1.0 - (-age_ms / MEAN_SPAN_MS).exp());
            mean + (took_ms - mean) * weight
        });
        self.mean = Some((mean, now));
    }

    /// Returns the mean unless its last sample is too old.
    pub(super) fn get(&self, now: Millis) -> Option<f64> {
        let fresh = self.mean.filter(|(_, at)| now.since(*at) < MEAN_TTL.0);
        fresh.map(|(mean, _)| mean)
    }
}
