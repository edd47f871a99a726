//! One attempt at an engine: whether it may have run the request, and what its answer means.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::response::Parts;
use saddlerelay_upstream::{Failure, HeaderNames};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// How one attempt ended.
pub(crate) enum AttemptEnd {
    /// With the engine's final answer.
    Answered(Parts, Bytes),
    /// The engine has proved that it did not run the request.
    NotExecuted(String),
    /// The request may have run; the engine's own failing answer, if there is one.
    Failed(String, Option<(Parts, Bytes)>),
    /// The connection ended before an answer was whole; the request may have run, and may be what ended the engine.
    ConnectionLost(String),
}

/// An engine's whole answer: whether it says that it did not run the request, its head and its body.
pub(crate) type WholeAnswer = (bool, Parts, Bytes);

impl AttemptEnd {
    /// What a whole answer, or the want of one, means.
    pub fn of(answer: Result<WholeAnswer, Failure>, names: &HeaderNames) -> Self {
        match answer {
            Ok((true, head, _)) => Self::NotExecuted(answered(head.status)),
            Ok((false, head, body)) if is_engine_failure(head.status) => {
                let reason = answered(head.status);
                // An engine that ran the request must not be quoted with a promise that it has not run.
                let quoted = (!promises_not_run(head.status)).then_some((head, body));
                Self::Failed(reason, quoted)
            }
            Ok((false, head, _)) if head.status.is_success() && !head.headers.contains_key(&names.stamp) => {
                Self::Failed("the answer has no stamp".to_string(), None)
            }
            Ok((false, head, body)) => Self::Answered(head, body),
            Err(Failure::NotSent(reason)) => Self::NotExecuted(reason),
            Err(Failure::MayHaveRun(reason)) => Self::Failed(reason, None),
            Err(Failure::ConnectionLost(reason)) => Self::ConnectionLost(reason),
        }
    }
}

fn answered(status: StatusCode) -> String {
    format!("the engine answered {}", status.as_u16())
}

fn is_engine_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// Statuses by which a client is told that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Attempts of one request of which a byte may have reached an engine that has not proved that it did not run it.
#[derive(Default)]
pub(crate) struct PossibleRuns {
    /// When the first byte of each was sent.
    sent_at: RefCell<Vec<Duration>>,
}

impl PossibleRuns {
    /// Whether it is not proved that no engine has run the request.
    pub fn may_have_run(&self) -> bool {
        !self.sent_at.borrow().is_empty()
    }

    /// When the first of them was sent.
    pub fn first_sent_at(&self) -> Option<Duration> {
        self.sent_at.borrow().iter().min().copied()
    }

    /// A new attempt, of which nothing has been sent yet.
    pub fn attempt(&self) -> PossibleRun<'_> {
        PossibleRun { runs: self, sent_at: Cell::new(None) }
    }
}

/// One attempt; it counts as a possible run from its first byte on, also when it is given up.
pub(crate) struct PossibleRun<'a> {
    runs: &'a PossibleRuns,
    sent_at: Cell<Option<Duration>>,
}

impl PossibleRun<'_> {
    /// Notes whether the first byte is about to be sent at `now`; returns the same.
    pub fn note_sending(&self, sends: bool, now: Duration) -> bool {
        if sends && self.sent_at.get().is_none() {
            self.sent_at.set(Some(now));
            self.runs.sent_at.borrow_mut().push(now);
        }
        sends
    }

    /// The engine has proved that it did not run the request.
    pub fn disprove(&self) {
        let Some(sent_at) = self.sent_at.take() else {
            return;
        };
        let mut runs = self.runs.sent_at.borrow_mut();
        if let Some(place) = runs.iter().position(|other| *other == sent_at) {
            runs.swap_remove(place);
        }
    }
}
