//! The outcome of an attempt to run a request on an engine, and whether the engine may have executed it.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::response::Parts;
use saddlerelay_upstream::{Failure, HeaderNames};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The engine returned a final response.
    Answered(Parts, Bytes),
    /// The engine did not receive the request, or reported that it did not execute it.
    NotExecuted(String),
    /// The request may have executed. Carries the engine's error response if it can be passed to the client.
    Failed(String, Option<(Parts, Bytes)>),
    /// The connection closed before the response was complete; the request may have executed.
    ConnectionLost(String),
}

/// A buffered response: whether it reports that the request was not executed, its head and its body.
pub(crate) type CompleteResponse = (bool, Parts, Bytes);

impl AttemptOutcome {
    /// Classifies a response or a failure.
    pub fn of(response: Result<CompleteResponse, Failure>, names: &HeaderNames) -> Self {
        match response {
            Ok((true, head, _)) => Self::NotExecuted(status_reason(head.status)),
            Ok((false, head, body)) if is_engine_failure(head.status) => {
                let reason = status_reason(head.status);
                // These statuses tell the client that the request was not executed, which is not certain here.
                let forwardable = (!implies_not_executed(head.status)).then_some((head, body));
                Self::Failed(reason, forwardable)
            }
            Ok((false, head, _)) if head.status.is_success() && !head.headers.contains_key(&names.stamp) => {
                Self::Failed("the response has no stamp header".to_string(), None)
            }
            Ok((false, head, body)) => Self::Answered(head, body),
            Err(Failure::NotSent(reason)) => Self::NotExecuted(reason),
            Err(Failure::PossiblyExecuted(reason)) => Self::Failed(reason, None),
            Err(Failure::ConnectionLost(reason)) => Self::ConnectionLost(reason),
        }
    }
}

fn status_reason(status: StatusCode) -> String {
    format!("the engine answered {}", status.as_u16())
}

fn is_engine_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// Statuses that tell a client that its request was not executed.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Attempts of one request that may have executed: a byte was sent, and the engine did not report otherwise.
#[derive(Default)]
pub(crate) struct PossibleRuns {
    /// When the first byte of each such attempt was sent, in monotonic time.
    sent_at: RefCell<Vec<Duration>>,
}

impl PossibleRuns {
    /// Whether any attempt may have executed the request.
    pub fn may_have_run(&self) -> bool {
        !self.sent_at.borrow().is_empty()
    }

    /// When the earliest attempt that may have executed was sent.
    pub fn first_sent_at(&self) -> Option<Duration> {
        self.sent_at.borrow().iter().min().copied()
    }

    /// Tracks a new attempt.
    pub fn attempt(&self) -> PossibleRun<'_> {
        PossibleRun { runs: self, sent_at: Cell::new(None) }
    }
}

/// One attempt. Counts as a possible run from its first sent byte, also if it is cancelled later.
pub(crate) struct PossibleRun<'a> {
    runs: &'a PossibleRuns,
    sent_at: Cell<Option<Duration>>,
}

impl PossibleRun<'_> {
    /// Records that sending starts at `now` if `allowed` is set; returns `allowed`.
    pub fn record_send(&self, allowed: bool, now: Duration) -> bool {
        if allowed && self.sent_at.get().is_none() {
            self.sent_at.set(Some(now));
            self.runs.sent_at.borrow_mut().push(now);
        }
        allowed
    }

    /// Removes the attempt from the possible runs: the engine did not execute the request.
    pub fn mark_not_executed(&self) {
        let Some(sent_at) = self.sent_at.take() else {
            return;
        };
        let mut runs = self.runs.sent_at.borrow_mut();
        if let Some(index) = runs.iter().position(|other| *other == sent_at) {
            runs.swap_remove(index);
        }
    }
}
