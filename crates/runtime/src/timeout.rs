//! Timeouts for futures on any [`Runtime`].

use crate::Runtime;
use futures::future::{Either, select};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Runs `future` for at most `limit`; on timeout drops it and returns `None`.
pub async fn timeout<P: Runtime, F: Future>(platform: &P, limit: Duration, future: F) -> Option<F::Output> {
    let timer = pin!(platform.sleep(limit));
    match select(pin!(future), timer).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}
