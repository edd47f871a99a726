//! Gateway limits and timeouts.

use saddlerelay_scheduling::Activation;
use saddlerelay_types::suspicion::LAST_TRIAL_PAUSE;
use std::time::Duration;

/// Limits and timeouts; the settings derive the times from the deployment's timing bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Timeout for connecting to an engine.
    pub connect_timeout: Duration,
    /// Hedging delay of idempotent requests, in percent of the route's latency objective.
    pub hedge_percent: u32,
    /// `Retry-After` of requests that were rejected without execution.
    pub retry_after: Duration,
    /// `Retry-After` while the relay has no lease: about the duration of a leader election.
    pub lease_retry_after: Duration,
    /// Maximum size of a buffered response, in bytes.
    pub max_response_bytes: usize,
    /// `Retry-After` of requests whose body did not arrive in time, or that there was no memory for: after it, clients
    /// that make no progress have given way.
    pub body_retry_after: Duration,
    /// Timeout of a follow request, which fetches updates from the control group and renews the lease.
    pub follow_timeout: Duration,
    /// Delay before the last trial of suspected work; the work is quarantined if that trial crashes an engine too.
    pub last_trial_pause: Duration,
    /// Whether requests are admitted and balanced by the load that engines report.
    pub admission: Activation,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            hedge_percent: 45,
            retry_after: Duration::from_millis(200),
            lease_retry_after: Duration::from_millis(600),
            max_response_bytes: 32 * 1024 * 1024,
            body_retry_after: Duration::from_secs(1),
            follow_timeout: Duration::from_millis(650),
            last_trial_pause: LAST_TRIAL_PAUSE,
            admission: Activation::Automatic,
        }
    }
}
