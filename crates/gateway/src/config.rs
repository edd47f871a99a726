//! Limits of a gateway.

use saddlerelay_control_client::suspicions::LAST_TRIAL_PAUSE;
use std::time::Duration;

/// Limits; times are derived from the deployment's bounds by the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Longest time to connect to an engine.
    pub connect_limit: Duration,
    /// Share of a route's objective after which an idempotent request is tried at a second engine too, in percent.
    pub hedge_percent: u32,
    /// What refused clients are told to wait.
    pub retry_after: Duration,
    /// What clients are told to wait while the relay may not act: about as long as the control group takes to choose a
    /// leader.
    pub lease_retry_after: Duration,
    /// Largest answer that is held until it is whole, in bytes.
    pub whole_answer_bytes: usize,
    /// Largest request body before the first routing document, in bytes.
    pub default_body_bytes: u64,
    /// Longest wait for the control group's answer to a follow request.
    pub follow_limit: Duration,
    /// How long work under which engines have ended is kept from the one that would quarantine it.
    pub last_trial_pause: Duration,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            connect_limit: Duration::from_millis(250),
            hedge_percent: 45,
            retry_after: Duration::from_millis(200),
            lease_retry_after: Duration::from_millis(600),
            whole_answer_bytes: 32 * 1024 * 1024,
            default_body_bytes: 8 * 1024 * 1024,
            follow_limit: Duration::from_millis(650),
            last_trial_pause: LAST_TRIAL_PAUSE,
        }
    }
}
