//! Timing of the control group's own work.

use std::time::Duration;

/// Relays that the leader answers itself. A relay asks 2.5 times a second at least, and at each piece of news: 250 relays
/// have been answered by a leader of 0.3 of a core beside its other work. Below, news reach relays some 100 ms sooner than
/// by way of another replica.
const LEADER_RELAYS: usize = 300;

/// Limits of leases, polling and weight rollouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlConfig {
    /// How long a relay may act on its configuration after it sent a renewal.
    pub relay_lease: Duration,
    /// Silence after which a relay is declared lost; longer than the lease.
    pub relay_loss: Duration,
    /// Pause between looks at the relays.
    pub relay_check_interval: Duration,
    /// Pause between polls of one engine.
    pub engine_poll_interval: Duration,
    /// Time limit of one poll.
    pub engine_poll_limit: Duration,
    /// Failed polls in a row after which an engine is unreachable.
    pub engine_poll_failures: u32,
    /// Pause between reads of the platform's machine list.
    pub platform_interval: Duration,
    /// How long the leader keeps a relay's renewal open while it would bring nothing new: the pace of renewals.
    pub renewal_wait: Duration,
    /// Relays that the leader answers itself; beyond, it sends them on to the group's other replicas.
    pub leader_relays: usize,
    /// How long changes are gathered before they are told to the relays.
    pub news_interval: Duration,
    /// How long the leader keeps a relay's question for samples, or a trainer's, open while there is nothing to answer.
    /// Shorter than the time after which a client of the group tries another replica.
    pub idle_wait: Duration,
    /// How long a relay may act on what it was told of routes and instances, from when it asked.
    pub follow_lease: Duration,
    /// Silence after which an instance that reports itself is called silent.
    pub instance_silence: Duration,
    /// How long a batch job stays readable after it was handed in; an open one stays longer.
    pub job_keep: Duration,
    /// How far apart orders of two holders about one subject must be.
    pub order_distance: Duration,
    /// How long after its note an order may be given.
    pub order_validity: Duration,
}

impl Default for ControlConfig {
    fn default() -> Self {
        Self {
            relay_lease: Duration::from_millis(2000),
            relay_loss: Duration::from_millis(4000),
            relay_check_interval: Duration::from_millis(250),
            engine_poll_interval: Duration::from_millis(250),
            engine_poll_limit: Duration::from_millis(600),
            engine_poll_failures: 3,
            platform_interval: Duration::from_millis(500),
            renewal_wait: Duration::from_millis(400),
            leader_relays: LEADER_RELAYS,
            news_interval: Duration::from_millis(40),
            idle_wait: Duration::from_millis(800),
            follow_lease: Duration::from_millis(1700),
            instance_silence: Duration::from_millis(4000),
            job_keep: Duration::from_secs(150),
            order_distance: Duration::from_millis(3_400),
            order_validity: Duration::from_millis(400),
        }
    }
}
