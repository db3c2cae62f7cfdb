//! Append rate shared by every writer of a node.
//!
//! A token bucket in thousandths of an append. While it has tokens a writer appends at once;
//! when it is empty records wait for the next token and travel in larger batches, so that
//! the time between two appends of a stream grows with load and needs no tuning.

use cumin_types::Millis;

/// Appends a second over all nodes; with [`TOTAL_BURST`] at most 150 in any second.
pub const TOTAL_RATE: u64 = 140;
/// Appends that may follow each other at once, over all nodes.
pub const TOTAL_BURST: u64 = 10;

/// A token bucket for appends.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Thousandths of an append gained a millisecond, which is appends a second.
    rate: u64,
    /// Thousandths that the bucket holds at most.
    depth: u64,
    /// Thousandths in the bucket.
    tokens: u64,
    /// When `tokens` was computed.
    at: Millis,
}

impl Pace {
    /// A bucket of `rate` appends a second that starts with `burst` appends.
    #[must_use]
    pub const fn new(rate: u64, burst: u64) -> Self {
        let depth = if burst == 0 { 1000 } else { burst * 1000 };
        Self {
            rate,
            depth,
            tokens: depth,
            at: Millis(0),
        }
    }

    /// No limit.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self::new(u64::MAX, u64::MAX / 1000)
    }

    /// This node's part of the total when it has `own` of `shards` shards.
    #[must_use]
    pub fn share(own: u32, shards: u32) -> Self {
        let part = |total: u64| (total * u64::from(own)).div_euclid(u64::from(shards.max(1)));
        Self::new(part(TOTAL_RATE).max(1), part(TOTAL_BURST).max(1))
    }

    /// Changes rate and depth, keeping the tokens that fit.
    pub fn adjust(&mut self, now: Millis, own: u32, shards: u32) {
        self.refill(now);
        let next = Self::share(own, shards);
        self.rate = next.rate;
        self.depth = next.depth;
        self.tokens = self.tokens.min(next.depth);
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.at).saturating_mul(self.rate);
        self.tokens = self.tokens.saturating_add(gained).min(self.depth);
        self.at = self.at.max(now);
    }

    /// Takes one append.
    ///
    /// # Errors
    /// When the next one may be taken.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        self.refill(now);
        if self.tokens >= 1000 {
            self.tokens -= 1000;
            return Ok(());
        }
        Err(now.plus((1000 - self.tokens).div_ceil(self.rate.max(1)).max(1)))
    }
}
