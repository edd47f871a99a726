//! Commits commands about claims and samples granted to this relay. Until the relay is fenced, only it can end them;
//! these commits are therefore retried until they are decided.

use crate::relay::Relay;
use saddlerelay_control_client::ControlError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::protocol::{Command, CommandOutcome};
use std::time::Duration;

/// Timeout of one commit attempt.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after the leader rejected a proposal because its queue was full; up to doubled by jitter. Without
/// the pause, immediate retries would keep the queue full.
const REJECTED_PAUSE: Duration = Duration::from_millis(100);

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Retries `command` until it is decided, or returns `None` once `is_needed` returns false.
    pub(crate) async fn commit_until_decided(
        &self,
        command: Command,
        is_needed: impl Fn() -> bool,
    ) -> Option<CommandOutcome> {
        let runtime = &self.inner.runtime;
        let started_at = runtime.monotonic();
        let mut failures: u32 = 0;
        let mut decided = None;
        while decided.is_none() && is_needed() {
            match self.inner.control.execute(command.clone(), COMMIT_TIMEOUT).await {
                Ok(outcome) => decided = Some(outcome),
                Err(error) => {
                    failures += 1;
                    self.pause_after(&error).await;
                }
            }
        }
        if failures > 0 {
            let took_ms = runtime.monotonic().saturating_sub(started_at).as_millis() as u64;
            spdlog::warn!("commit of a claim or sample delayed by retries", kv: {
                failures = failures, took_ms = took_ms, decided = decided.is_some()
            });
        }
        decided
    }

    /// Pauses after a rejection, which arrives immediately; other failures have already waited for the timeout.
    async fn pause_after(&self, error: &ControlError) {
        if matches!(error, ControlError::Refused(_)) {
            let runtime = &self.inner.runtime;
            runtime.sleep(REJECTED_PAUSE + runtime.jitter(REJECTED_PAUSE)).await;
        }
    }
}
