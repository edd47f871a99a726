//! Detects late replies to messages that peers handle without disk access, which indicate problems of the network
//! path.

use crate::replica::Replica;
use crate::state::StateMachine;
use futures::future::{Either, select};
use saddlerelay_runtime::Runtime;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// Limit for a prompt reply. A slower one indicates a lost packet, which TCP retransmits after 200 ms at the
/// earliest, or a stalled process.
pub(crate) const PROMPT_REPLY_LIMIT: Duration = Duration::from_millis(150);

/// A timer that fires later than this indicates that this process itself was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);

impl<P: Runtime, S: StateMachine> Replica<P, S> {
    /// Waits for `call` and invokes `on_late` if there is no reply within `PROMPT_REPLY_LIMIT`, unless this process
    /// itself was stalled.
    pub(crate) async fn detect_late_reply<T>(&self, call: impl Future<Output = T>, on_late: impl FnOnce()) -> T {
        let started_at = self.inner.platform.monotonic();
        let timer = pin!(self.inner.platform.sleep(PROMPT_REPLY_LIMIT));
        match select(pin!(call), timer).await {
            Either::Left((reply, _)) => reply,
            Either::Right(((), pending_call)) => {
                if self.inner.platform.monotonic() <= started_at + PROMPT_REPLY_LIMIT + STALL_THRESHOLD {
                    on_late();
                }
                pending_call.await
            }
        }
    }
}
