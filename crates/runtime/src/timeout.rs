//! Bounds the time of a future on any platform.

use crate::Runtime;
use futures::future::{Either, select};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Runs `future` for at most `limit`; `None` when the time ran out, and the future is dropped.
pub async fn timeout<P: Runtime, F: Future>(platform: &P, limit: Duration, future: F) -> Option<F::Output> {
    let timer = pin!(platform.sleep(limit));
    match select(pin!(future), timer).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}
