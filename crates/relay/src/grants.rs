//! Commits about what the control group grants this relay: a claim, or a sample. While the relay lives nobody else can end
//! what it holds, and others wait for it; so such commits are tried until they are decided.

use crate::relay::Relay;
use saddlerelay_control_client::ControlError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::protocol::{Command, CommandOutcome};
use std::time::Duration;

/// Time limit of one commit.
const COMMIT_LIMIT: Duration = Duration::from_secs(5);

/// Pause after a refusal, doubled at random: the leader's queue of proposals was full. Without it a relay would ask again
/// after each round trip, which is what fills the queue.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Commits `command` again and again until it is decided; `None` once `is_of_use` no longer holds.
    pub(crate) async fn commit_until_decided(
        &self,
        command: Command,
        is_of_use: impl Fn() -> bool,
    ) -> Option<CommandOutcome> {
        let platform = &self.inner.platform;
        let began_at = platform.monotonic();
        let mut failures: u32 = 0;
        let mut decided = None;
        while decided.is_none() && is_of_use() {
            match self.inner.control.execute(command.clone(), COMMIT_LIMIT).await {
                Ok(outcome) => decided = Some(outcome),
                Err(error) => {
                    failures += 1;
                    self.pause_after(&error).await;
                }
            }
        }
        if failures > 0 {
            let took_ms = platform.monotonic().saturating_sub(began_at).as_millis() as u64;
            spdlog::warn!("commit about a granted right was late", kv: {
                failures = failures, took_ms = took_ms, decided = decided.is_some()
            });
        }
        decided
    }

    /// A call that nobody answered has taken its whole time; a refusal comes at once.
    async fn pause_after(&self, error: &ControlError) {
        if matches!(error, ControlError::Refused(_)) {
            let platform = &self.inner.platform;
            platform.sleep(REFUSED_PAUSE + platform.jitter(REFUSED_PAUSE)).await;
        }
    }
}
