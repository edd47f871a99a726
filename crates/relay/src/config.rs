//! Limits of a relay.

use saddlerelay_control_client::suspicions::LAST_TRIAL_PAUSE;
use std::time::Duration;

/// Timing and sizes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfig {
    /// Pause before the next renewal after one that failed. Otherwise the control group sets the pace.
    pub renew_interval: Duration,
    /// Time limit of one renewal.
    pub renew_limit: Duration,
    /// Pause between requests for samples.
    pub rollout_interval: Duration,
    /// Most samples asked for at once.
    pub rollout_batch: u32,
    /// Time limit of a connection to an engine.
    pub connect_limit: Duration,
    /// Longest silence of an engine between two chunks, or before it admits.
    pub chunk_limit: Duration,
    /// How long a request waits for any engine to become able to take it.
    pub engine_wait: Duration,
    /// How long a sample waits, after it was begun, for an engine with newer weights than the oldest its trainer can
    /// use.
    pub newer_weights_wait: Duration,
    /// Time limit of a claim's commit.
    pub claim_limit: Duration,
    /// Most engines tried for one caller's request.
    pub attempts: u32,
    /// Requests to one engine at once, as a percentage of its slots, above which it gets no more.
    pub engine_in_flight_percent: u32,
    /// How long a fetch waits for samples.
    pub fetch_wait: Duration,
    /// How long a planned stop waits for requests in progress.
    pub drain_limit: Duration,
    /// How long work under which engines have ended is kept from the one that would quarantine it.
    pub last_trial_pause: Duration,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            renew_interval: Duration::from_millis(400),
            renew_limit: Duration::from_millis(1500),
            rollout_interval: Duration::from_millis(50),
            rollout_batch: 64,
            connect_limit: Duration::from_millis(150),
            chunk_limit: Duration::from_secs(5),
            engine_wait: Duration::from_millis(1500),
            newer_weights_wait: Duration::from_millis(1500),
            claim_limit: Duration::from_secs(4),
            attempts: 5,
            engine_in_flight_percent: 300,
            fetch_wait: Duration::from_secs(2),
            drain_limit: Duration::from_secs(120),
            last_trial_pause: LAST_TRIAL_PAUSE,
        }
    }
}
