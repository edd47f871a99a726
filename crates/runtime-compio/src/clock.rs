//! A clock for leases that also counts time for which the machine was suspended.
//!
//! The operating system's monotonic clock stands still while a machine is suspended, and a lease counted by it alone
//! would outlive its time. This clock follows whichever of the monotonic and the wall clock has gone further, and never
//! goes back. A wall clock set forward only ends leases early.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock.
pub struct Clock {
    started: Instant,
    wall_started: Duration,
    latest: Cell<Duration>,
}

/// Time since the Unix epoch by the wall clock.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self { started: Instant::now(), wall_started: unix_time(), latest: Cell::new(Duration::ZERO) }
    }

    /// Time since the start.
    pub fn monotonic(&self) -> Duration {
        let by_wall = unix_time().saturating_sub(self.wall_started);
        let now = self.started.elapsed().max(by_wall).max(self.latest.get());
        self.latest.set(now);
        now
    }
}
