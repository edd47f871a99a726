//! The clock of leases under suspended machines, and under a time of day that is set.

use saddlerelay_runtime_compio::clock::{Clock, boot_time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A clock that goes by a machine's time since its start, and that time.
fn clock_of_a_machine() -> (Clock, Rc<Cell<Duration>>) {
    let boot = Rc::new(Cell::new(seconds(1_000)));
    let read = boot.clone();
    (Clock::reading(move || read.get()), boot)
}

#[test]
fn a_suspended_machine_ages() {
    let (clock, boot) = clock_of_a_machine();
    assert_eq!(clock.monotonic(), Duration::ZERO);
    boot.set(seconds(1_001));
    assert_eq!(clock.monotonic(), seconds(1));
    // Thirty seconds of suspension: the steady clock would show nothing of it.
    boot.set(seconds(1_031));
    assert_eq!(clock.monotonic(), seconds(31));
}

#[test]
fn the_clock_never_goes_back() {
    let (clock, boot) = clock_of_a_machine();
    boot.set(seconds(1_005));
    assert_eq!(clock.monotonic(), seconds(5));
    boot.set(seconds(1_003));
    assert_eq!(clock.monotonic(), seconds(5));
    boot.set(seconds(1_006));
    assert_eq!(clock.monotonic(), seconds(6));
}

/// It goes by the time since the machine's start, not by the time of day, which is some decades.
#[test]
fn the_machines_own_clock_is_the_time_since_its_start() {
    let (steady, boot) = (Instant::now(), boot_time());
    assert!(boot < seconds(20 * 365 * 86_400), "{boot:?}");
    std::thread::sleep(Duration::from_millis(20));
    let (steady, boot) = (steady.elapsed(), boot_time().saturating_sub(boot));
    assert!(boot >= Duration::from_millis(20), "{boot:?}");
    assert!(boot <= steady + Duration::from_secs(1), "{boot:?} against {steady:?}");
}
