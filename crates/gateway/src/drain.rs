//! The end of a gateway's work after a planned stop has begun, and which requests can still be completed before it.

use crate::gateway::{ChosenRoute, Gateway};
use crate::refusal::Refusal;
use futures::future::{self, Either};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

/// Whether and until when a gateway drains.
#[derive(Default)]
pub(crate) struct Drain {
    /// When the gateway stops working on requests, in monotonic time; `None` unless it drains.
    stop_at: Cell<Option<Duration>>,
    stopped: Signal,
}

/// Why work on a request was given up before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// The request's deadline passed.
    Deadline,
    /// The gateway stopped.
    Stop,
}

impl Expiry {
    /// The refusal of a request that was given up.
    pub fn refusal(self, may_have_run: bool) -> Refusal {
        match (self, may_have_run) {
            (Self::Deadline, true) => Refusal::Timeout,
            (Self::Deadline, false) => Refusal::SendTimeout,
            (Self::Stop, true) => Refusal::Stopped,
            (Self::Stop, false) => Refusal::Stopping,
        }
    }
}

impl Gateway {
    /// Starts draining: the gateway is no longer ready, and responses ask clients to reconnect elsewhere. Requests that
    /// cannot be completed within `time` are refused, and those still in progress after it are answered as they stand.
    pub fn drain(&self, time: Duration) {
        self.inner.drain.stop_at.set(Some(self.now() + time));
        let gateway = self.clone();
        self.inner.runtime.spawn(async move {
            gateway.inner.runtime.sleep(time).await;
            gateway.inner.drain.stopped.notify();
        });
    }

    /// Whether the gateway is draining.
    pub fn is_draining(&self) -> bool {
        self.inner.drain.stop_at.get().is_some()
    }

    /// Whether the time for draining is over.
    pub fn has_stopped(&self) -> bool {
        self.inner.drain.stopped.count() > 0
    }

    /// Runs `work` until the time for draining is over; `None` if it is over before.
    pub async fn until_stopped<F: Future>(&self, work: F) -> Option<F::Output> {
        if self.has_stopped() {
            return None;
        }
        match future::select(pin!(work), pin!(self.inner.drain.stopped.changed(0))).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    /// Runs `work` until `deadline` in monotonic time, and no longer than the gateway works on requests.
    pub(crate) async fn run_until<F: Future>(&self, deadline: Duration, work: F) -> Result<F::Output, Expiry> {
        let remaining = deadline.saturating_sub(self.now());
        let limited = timeout(&self.inner.runtime, remaining, work);
        self.until_stopped(limited).await.ok_or(Expiry::Stop)?.ok_or(Expiry::Deadline)
    }

    /// Refuses a request that has not run and is not expected to complete before the gateway stops.
    pub(crate) fn check_completion(&self, chosen: &ChosenRoute, deadline: Duration) -> Result<(), Refusal> {
        let Some(stop_at) = self.inner.drain.stop_at.get() else {
            return Ok(());
        };
        let now = self.now();
        let time_left = deadline.saturating_sub(now);
        let expected = chosen.table.expected_duration(chosen.index).min(time_left);
        if now + expected < stop_at { Ok(()) } else { Err(Refusal::Stopping) }
    }
}
