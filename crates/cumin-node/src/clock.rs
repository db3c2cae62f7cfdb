//! The node's monotonic clock and the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cumin_types::{Millis, WallMillis};

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the Unix time, or zero when the system clock is set before 1970.
pub(crate) fn wall() -> WallMillis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
