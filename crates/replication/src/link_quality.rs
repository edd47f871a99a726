//! How soon a peer answers messages that it answers from memory: this tells of the path to it, not of its disk.

use crate::replica::Replica;
use crate::state::StateMachine;
use futures::future::{Either, select};
use saddlerelay_runtime::Runtime;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// An answer that takes longer has met a lost packet or a process that stands still: TCP sends a lost packet again after
/// 200 ms at the earliest.
pub(crate) const PROMPT_ANSWER: Duration = Duration::from_millis(150);

/// A timer that fires later than this behind its time tells that this process itself stood still.
const OWN_DELAY: Duration = Duration::from_millis(50);

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Waits for `call`, and has `late` note that it is not answered promptly. The time for which this process itself stood
    /// still is not held against the peer.
    pub(crate) async fn watch_promptness<T>(&self, call: impl Future<Output = T>, late: impl FnOnce()) -> T {
        let began = self.inner.platform.monotonic();
        let timer = pin!(self.inner.platform.sleep(PROMPT_ANSWER));
        match select(pin!(call), timer).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), unanswered)) => {
                if self.inner.platform.monotonic() <= began + PROMPT_ANSWER + OWN_DELAY {
                    late();
                }
                unanswered.await
            }
        }
    }
}
