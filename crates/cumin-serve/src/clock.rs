//! Clocks of the machine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cumin_entry::platform::Clock;
use cumin_types::{Millis, WallMillis};
use rustix::time::{ClockId, clock_gettime};

/// Clock that reads `CLOCK_BOOTTIME`, which counts suspension, and the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        let elapsed = Duration::try_from(time).unwrap_or_default();
        Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    fn wall(&self) -> WallMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or_default();
        WallMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
