//! A clock for leases that also counts time for which the machine was suspended.
//!
//! The operating system's monotonic clock stands still while a machine is suspended, and a lease counted by it alone
//! would outlive its time. Between two looks this clock goes on by whichever of the monotonic and the wall clock has
//! gone further. A wall clock set forward only ends leases early; one set back again changes nothing.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the two clocks of a machine show at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The monotonic clock, from any start.
    pub monotonic: Duration,
    /// The wall clock, since the Unix epoch.
    pub wall: Duration,
}

/// The clock.
pub struct Clock {
    started: Instant,
    last: Cell<Reading>,
    elapsed: Cell<Duration>,
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
        Self::starting_at(Reading { monotonic: Duration::ZERO, wall: unix_time() })
    }

    /// A clock that starts when the machine's clocks show `reading`.
    pub fn starting_at(reading: Reading) -> Self {
        Self { started: Instant::now(), last: Cell::new(reading), elapsed: Cell::new(Duration::ZERO) }
    }

    /// Time since the start.
    pub fn monotonic(&self) -> Duration {
        self.advance(Reading { monotonic: self.started.elapsed(), wall: unix_time() })
    }

    /// Time since the start when the machine's clocks show `reading`.
    pub fn advance(&self, reading: Reading) -> Duration {
        let last = self.last.replace(reading);
        let by_monotonic = reading.monotonic.saturating_sub(last.monotonic);
        let by_wall = reading.wall.saturating_sub(last.wall);
        self.elapsed.set(self.elapsed.get() + by_monotonic.max(by_wall));
        self.elapsed.get()
    }
}
