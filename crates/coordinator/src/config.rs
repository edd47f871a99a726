//! Timeouts and limits of a coordinator.

use saddlerelay_control::config::ORDER_DELIVERY_LIMIT;
use saddlerelay_scheduling::Activation;
use std::time::Duration;

/// Default of [`CoordinatorConfig::text_memory`], in bytes.
const DEFAULT_TEXT_MEMORY: usize = 12 * 1024 * 1024;

/// Timeouts and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorConfig {
    /// Timeout for connecting to an engine.
    pub connect_timeout: Duration,
    /// Timeout for connecting, sending an item and receiving the response headers.
    pub response_header_timeout: Duration,
    /// Timeout of a score call, including the response body.
    pub score_timeout: Duration,
    /// Timeout for the next event of an item's stream.
    pub event_timeout: Duration,
    /// Delay before an item is retried after a failed attempt.
    pub retry_delay: Duration,
    /// How long an engine that failed receives no items or orders.
    pub engine_backoff: Duration,
    /// Added to the time after which an item is aborted, to allow for clock differences.
    pub item_deadline_margin: Duration,
    /// Interval at which texts of running items are saved.
    pub save_interval: Duration,
    /// Memory for the texts of all items of open jobs, in bytes.
    pub text_memory: usize,
    /// Timeout of an order or a report request, at most `ORDER_DELIVERY_LIMIT`.
    pub order_timeout: Duration,
    /// Expected duration of a weight load; the first poll for completion follows after it.
    pub expected_load_time: Duration,
    /// Interval between polls for the completion of a weight load.
    pub load_poll_interval: Duration,
    /// Time after which an incomplete weight load is treated as failed.
    pub load_timeout: Duration,
    /// One in this many ready engines of a service may load weights at a time, rounded up.
    pub engines_per_load: u32,
    /// Lower bound of the number of engines of a service that may load weights at the same time.
    pub min_concurrent_loads: u32,
    /// Whether the waiting items of all jobs are ordered by urgency instead of by job.
    pub batch_order: Activation,
    /// Whether items are placed by their expected completion at each engine.
    pub placement: Activation,
}

impl Default for CoordinatorConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            response_header_timeout: Duration::from_millis(1_500),
            score_timeout: Duration::from_millis(1_500),
            event_timeout: Duration::from_millis(900),
            retry_delay: Duration::from_millis(40),
            engine_backoff: Duration::from_millis(400),
            item_deadline_margin: Duration::from_millis(2_000),
            save_interval: Duration::from_millis(300),
            text_memory: DEFAULT_TEXT_MEMORY,
            order_timeout: ORDER_DELIVERY_LIMIT,
            expected_load_time: Duration::from_millis(1_010),
            load_poll_interval: Duration::from_millis(110),
            load_timeout: Duration::from_secs(6),
            engines_per_load: 5,
            min_concurrent_loads: 2,
            batch_order: Activation::Automatic,
            placement: Activation::Automatic,
        }
    }
}
