//! Timeouts, intervals and limits of the control group.

use std::time::Duration;

/// Default of [`ControlConfig::leader_relays`]. Updates reach a relay faster from the leader than through another
/// replica (by some 100 ms), but each relay adds load to the leader: it polls at least 2.5 times a second. A leader with
/// 0.3 of a core has served 250 relays beside its other work.
const DEFAULT_LEADER_RELAYS: usize = 300;

/// Default of [`ControlConfig::reply_memory`], in bytes.
const DEFAULT_REPLY_MEMORY: usize = 12 * 1024 * 1024;

/// Longest time from sending an order until it arrives; later it must not arrive any more. Enforced by the kernel and, for
/// orders to engines, by the timeout of the call.
pub const ORDER_DELIVERY_LIMIT: Duration = Duration::from_millis(800);

/// Timeouts, intervals and limits of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlConfig {
    /// Configuration lease of a relay, counted from when it sent a renewal.
    pub relay_lease: Duration,
    /// Time without a renewal after which a relay is declared lost; must exceed `relay_lease`.
    pub relay_loss_timeout: Duration,
    /// Interval between checks for lost relays.
    pub relay_check_interval: Duration,
    /// Interval between polls of one engine.
    pub engine_poll_interval: Duration,
    /// Timeout of one poll.
    pub engine_poll_timeout: Duration,
    /// Consecutive failed polls after which an engine is marked unreachable.
    pub engine_poll_failures: u32,
    /// Interval between reads of the platform's machine list.
    pub platform_interval: Duration,
    /// Maximum time that a replica holds a relay's renewal or follow request open while there are no changes (long
    /// polling).
    pub long_poll_timeout: Duration,
    /// Maximum number of relays served by the leader; further relays are redirected to other replicas.
    pub leader_relays: usize,
    /// Time for which changes are batched before they are sent to relays.
    pub update_batch_delay: Duration,
    /// Maximum time that the leader holds a relay's or trainer's sample request open while there are no samples (long
    /// polling). Must be shorter than the timeout after which clients try another replica.
    pub sample_long_poll_timeout: Duration,
    /// Lease of a relay on routes and instances, counted from when it sent its request.
    pub follow_lease: Duration,
    /// Time without reports after which an instance is marked silent.
    pub instance_silence_timeout: Duration,
    /// Minimum time that a batch job is kept after its submission; a job that has not ended is always kept.
    pub job_retention: Duration,
    /// Minimum time between the end of an order's validity and an order of another replica about the same subject (an
    /// engine, usage reports or an engine count). Must exceed `ORDER_DELIVERY_LIMIT`.
    pub order_separation: Duration,
    /// Maximum time between proposing an order intent and sending the order.
    pub order_validity: Duration,
    /// Memory that all large replies together may use, in bytes: pages of results, routing documents, segments.
    pub reply_memory: usize,
}

impl Default for ControlConfig {
    fn default() -> Self {
        Self {
            relay_lease: Duration::from_millis(2000),
            relay_loss_timeout: Duration::from_millis(4000),
            relay_check_interval: Duration::from_millis(250),
            engine_poll_interval: Duration::from_millis(250),
            engine_poll_timeout: Duration::from_millis(600),
            engine_poll_failures: 3,
            platform_interval: Duration::from_millis(500),
            long_poll_timeout: Duration::from_millis(400),
            leader_relays: DEFAULT_LEADER_RELAYS,
            update_batch_delay: Duration::from_millis(40),
            sample_long_poll_timeout: Duration::from_millis(800),
            follow_lease: Duration::from_millis(1700),
            instance_silence_timeout: Duration::from_millis(4000),
            job_retention: Duration::from_secs(150),
            order_separation: Duration::from_millis(4_000),
            order_validity: Duration::from_millis(400),
            reply_memory: DEFAULT_REPLY_MEMORY,
        }
    }
}
