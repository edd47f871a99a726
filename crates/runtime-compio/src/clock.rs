//! A clock for leases and ages that also counts time for which the machine was suspended.
//!
//! The operating system's steady clock (`CLOCK_MONOTONIC`, behind `std::time::Instant`) stands still while a machine is
//! suspended, and a lease counted by it would outlive its time. `CLOCK_BOOTTIME` goes on, and unlike the time of day nobody
//! sets it.

use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the machine was started, the time for which it was suspended included.
pub fn boot_time() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    read.expect("Linux has had this clock since version 2.6.39").into()
}

/// Time since the Unix epoch by the wall clock.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The clock: time since its start. It never goes back.
pub struct Clock {
    read: Box<dyn Fn() -> Duration>,
    started_at: Duration,
    latest: Cell<Duration>,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self::reading(boot_time)
    }

    /// A clock that starts now and goes by what `read` returns.
    pub fn reading(read: impl Fn() -> Duration + 'static) -> Self {
        let started_at = read();
        Self { read: Box::new(read), started_at, latest: Cell::new(Duration::ZERO) }
    }

    /// Time since the start.
    pub fn monotonic(&self) -> Duration {
        let elapsed = (self.read)().saturating_sub(self.started_at);
        self.latest.set(self.latest.get().max(elapsed));
        self.latest.get()
    }
}
