//! Append rate limit shared by all writers of a node.
//!
//! The limit is a token bucket that counts in thousandths of an append. While the bucket has
//! tokens, a writer appends at once. When it is empty, records wait for the next token and are
//! appended in larger batches, so the interval between two appends of a stream grows with the load
//! and needs no tuning.

use cumin_types::Millis;

/// Append rate of all nodes together; with [`TOTAL_BURST_APPENDS`] there are at most 150 appends in
/// any second.
pub const TOTAL_APPENDS_PER_SECOND: u64 = 140;
/// Most appends that all nodes together may send back to back.
pub const TOTAL_BURST_APPENDS: u64 = 10;

/// Token bucket for appends.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Thousandths of an append gained per millisecond, which equals appends per second.
    rate: u64,
    /// Most thousandths that the bucket holds.
    capacity: u64,
    /// Thousandths in the bucket.
    tokens: u64,
    /// Time for which `tokens` was computed.
    refilled_at: Millis,
}

impl Pace {
    /// Creates a full bucket with a rate of `rate` appends per second and a capacity of `burst`
    /// appends.
    #[must_use]
    pub const fn new(rate: u64, burst: u64) -> Self {
        let capacity = if burst == 0 { 1000 } else { burst * 1000 };
        Self {
            rate,
            capacity,
            tokens: capacity,
            refilled_at: Millis(0),
        }
    }

    /// Creates a bucket without a limit.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self::new(u64::MAX, u64::MAX / 1000)
    }

    /// Creates this node's share of the total rate when it records `own` of `shards` shards.
    #[must_use]
    pub fn share(own: u32, shards: u32) -> Self {
        let part = |total: u64| (total * u64::from(own)).div_euclid(u64::from(shards.max(1)));
        Self::new(
            part(TOTAL_APPENDS_PER_SECOND).max(1),
            part(TOTAL_BURST_APPENDS).max(1),
        )
    }

    /// Changes rate and capacity to this node's new share, keeping the tokens that fit.
    pub fn adjust(&mut self, now: Millis, own: u32, shards: u32) {
        self.refill(now);
        let next = Self::share(own, shards);
        self.rate = next.rate;
        self.capacity = next.capacity;
        self.tokens = self.tokens.min(next.capacity);
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled_at).saturating_mul(self.rate);
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes the token for one append.
    ///
    /// # Errors
    /// Returns the time at which the next token is available.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        self.refill(now);
        if self.tokens >= 1000 {
            self.tokens -= 1000;
            return Ok(());
        }
        Err(now.plus((1000 - self.tokens).div_ceil(self.rate.max(1)).max(1)))
    }
}
