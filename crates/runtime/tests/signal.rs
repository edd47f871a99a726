//! Notification and deregistration of waiters.

use futures::FutureExt;
use saddlerelay_runtime::signal::Signal;

#[test]
fn a_waiter_is_woken_by_the_next_notification_only() {
    let signal = Signal::default();
    signal.notify();
    let observed_count = signal.count();
    let mut wait = signal.changed(observed_count);
    assert_eq!((&mut wait).now_or_never(), None);
    signal.notify();
    assert_eq!((&mut wait).now_or_never(), Some(()));
    assert_eq!(signal.changed(observed_count).now_or_never(), Some(()), "a notification before the wait counts");
}

/// Guards against a leak of wakers by waits that time out.
#[test]
fn dropped_waits_are_deregistered() {
    let signal = Signal::default();
    for _ in 0..1_000 {
        assert_eq!(signal.changed(0).now_or_never(), None);
    }
    assert_eq!(signal.waiting(), 0);
}
