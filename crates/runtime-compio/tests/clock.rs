//! The monotonic clock on suspended machines and with a time source that goes back.

use saddlerelay_runtime_compio::clock::{Clock, boot_time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns a clock and the settable boot time that it reads.
fn clock_with_settable_boot_time() -> (Clock, Rc<Cell<Duration>>) {
    let boot = Rc::new(Cell::new(seconds(1_000)));
    let read = boot.clone();
    (Clock::with_source(move || read.get()), boot)
}

#[test]
fn the_clock_includes_suspended_time() {
    let (clock, boot) = clock_with_settable_boot_time();
    assert_eq!(clock.monotonic(), Duration::ZERO);
    boot.set(seconds(1_001));
    assert_eq!(clock.monotonic(), seconds(1));
    // The machine is suspended for 30 s, which `CLOCK_MONOTONIC` would not count.
    boot.set(seconds(1_031));
    assert_eq!(clock.monotonic(), seconds(31));
}

#[test]
fn the_clock_never_goes_back() {
    let (clock, boot) = clock_with_settable_boot_time();
    boot.set(seconds(1_005));
    assert_eq!(clock.monotonic(), seconds(5));
    boot.set(seconds(1_003));
    assert_eq!(clock.monotonic(), seconds(5));
    boot.set(seconds(1_006));
    assert_eq!(clock.monotonic(), seconds(6));
}

/// Checks that the clock reads the time since boot and not the Unix time.
#[test]
fn boot_time_is_the_time_since_boot() {
    let (instant, boot) = (Instant::now(), boot_time());
    assert!(boot < seconds(20 * 365 * 86_400), "{boot:?}");
    std::thread::sleep(Duration::from_millis(20));
    let (instant, boot) = (instant.elapsed(), boot_time().saturating_sub(boot));
    assert!(boot >= Duration::from_millis(20), "{boot:?}");
    assert!(boot <= instant + Duration::from_secs(1), "{boot:?} against {instant:?}");
}
