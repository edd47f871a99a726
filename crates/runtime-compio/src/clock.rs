//! A monotonic clock for leases and ages that includes the time for which the machine was suspended.
//!
//! `CLOCK_MONOTONIC`, which `std::time::Instant` uses, stops while the machine is suspended, so that a lease measured
//! by it would expire too late. `CLOCK_BOOTTIME` keeps running and, unlike the wall clock, cannot be set.

use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since boot, including time for which the machine was suspended. Panics if the kernel lacks `CLOCK_BOOTTIME`.
pub fn boot_time() -> Duration {
    let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    boot_time.expect("the kernel supports CLOCK_BOOTTIME (Linux 2.6.39 or later)").into()
}

/// Wall-clock time since the Unix epoch.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Monotonic time since the clock was created.
pub struct Clock {
    source: Box<dyn Fn() -> Duration>,
    started_at: Duration,
    latest: Cell<Duration>,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Creates a clock that reads [`boot_time`].
    pub fn new() -> Self {
        Self::with_source(boot_time)
    }

    /// Creates a clock that uses `source` as its time source.
    pub fn with_source(source: impl Fn() -> Duration + 'static) -> Self {
        let started_at = source();
        Self { source: Box::new(source), started_at, latest: Cell::new(Duration::ZERO) }
    }

    /// Time since the clock was created; never decreases, even if the time source does.
    pub fn monotonic(&self) -> Duration {
        let elapsed = (self.source)().saturating_sub(self.started_at);
        self.latest.set(self.latest.get().max(elapsed));
        self.latest.get()
    }
}
