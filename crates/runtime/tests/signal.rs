//! A signal wakes its waiters, and a wait that is given up leaves nothing behind.

use futures::FutureExt;
use saddlerelay_runtime::signal::Signal;

#[test]
fn a_waiter_is_woken_by_the_next_notification_only() {
    let signal = Signal::default();
    signal.notify();
    let seen = signal.count();
    let mut wait = signal.changed(seen);
    assert_eq!((&mut wait).now_or_never(), None);
    signal.notify();
    assert_eq!((&mut wait).now_or_never(), Some(()));
    assert_eq!(signal.changed(seen).now_or_never(), Some(()), "a notification before the wait counts");
}

/// Waits with a time limit are given up over and over while nothing happens: they must not pile up.
#[test]
fn given_up_waits_leave_nothing_behind() {
    let signal = Signal::default();
    for _ in 0..1_000 {
        assert_eq!(signal.changed(0).now_or_never(), None);
    }
    assert_eq!(signal.waiting(), 0);
}
