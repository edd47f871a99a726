//! Relay limits and timeouts.

use saddlerelay_types::suspicion::LAST_TRIAL_PAUSE;
use std::time::Duration;

/// Limits and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfig {
    /// Pause after a failed lease renewal. Successful ones are long polls, paced by the control group.
    pub renewal_retry_delay: Duration,
    /// Timeout of a lease renewal.
    pub renewal_timeout: Duration,
    /// Pause between assignment requests for samples.
    pub assignment_interval: Duration,
    /// Maximum number of samples per assignment request.
    pub max_assignment_batch: u32,
    /// Timeout for connecting to an engine.
    pub connect_timeout: Duration,
    /// Timeout for an engine's response to a request, and for each chunk of its stream.
    pub chunk_timeout: Duration,
    /// Maximum wait of an attempt for an engine that can accept the request.
    pub max_engine_wait: Duration,
    /// How long after its start a sample waits for an engine with newer weights than the oldest version that its
    /// trainer can use.
    pub max_newer_weights_wait: Duration,
    /// Timeout for committing a claim.
    pub claim_timeout: Duration,
    /// Maximum number of attempts for a caller's request.
    pub max_attempts: u32,
    /// Limit of this relay's concurrent requests to an engine, in percent of the engine's slots.
    pub engine_in_flight_percent: u32,
    /// Maximum long-poll time of a trainer's fetch.
    pub max_fetch_wait: Duration,
    /// Maximum time that a drain waits for requests and samples in progress.
    pub drain_timeout: Duration,
    /// Delay before the last trial of suspected work; the work is quarantined if that trial crashes an engine too.
    pub last_trial_pause: Duration,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            renewal_retry_delay: Duration::from_millis(400),
            renewal_timeout: Duration::from_millis(1500),
            assignment_interval: Duration::from_millis(50),
            max_assignment_batch: 64,
            connect_timeout: Duration::from_millis(150),
            chunk_timeout: Duration::from_secs(5),
            max_engine_wait: Duration::from_millis(1500),
            max_newer_weights_wait: Duration::from_millis(1500),
            claim_timeout: Duration::from_secs(4),
            max_attempts: 5,
            engine_in_flight_percent: 300,
            max_fetch_wait: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(120),
            last_trial_pause: LAST_TRIAL_PAUSE,
        }
    }
}
