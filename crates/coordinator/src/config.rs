//! Limits of a coordinator.

use std::time::Duration;

/// Limits; times are derived from the deployment's bounds by the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorConfig {
    /// Longest time to connect to an engine.
    pub connect_limit: Duration,
    /// Longest wait for the head of an item's answer.
    pub answer_limit: Duration,
    /// Longest wait for the whole answer to a call for a score.
    pub score_limit: Duration,
    /// Longest pause between an item's events.
    pub event_limit: Duration,
    /// Pause before an item is sent again after an engine refused or failed it.
    pub retry_pause: Duration,
    /// How long an engine that failed is left alone.
    pub engine_rest: Duration,
    /// Added to the time after which an item is given up, for the clocks' sake.
    pub give_up_margin: Duration,
    /// Pause between keepings of the texts of items that run.
    pub keep_interval: Duration,
    /// Longest wait for the answer to an order or a report.
    pub order_limit: Duration,
    /// How long a change of weights usually takes.
    pub usual_load: Duration,
    /// Pause between questions whether a change of weights is done.
    pub load_poll: Duration,
    /// A change of weights that takes longer is looked at anew.
    pub load_limit: Duration,
    /// Engines of a service for each one that may change weights at the same time.
    pub engines_per_load: u32,
    /// Fewest engines of a service that may change weights at the same time.
    pub least_loads: u32,
}

impl Default for CoordinatorConfig {
    fn default() -> Self {
        Self {
            connect_limit: Duration::from_millis(250),
            answer_limit: Duration::from_millis(1_500),
            score_limit: Duration::from_millis(1_500),
            event_limit: Duration::from_millis(900),
            retry_pause: Duration::from_millis(40),
            engine_rest: Duration::from_millis(400),
            give_up_margin: Duration::from_millis(2_000),
            keep_interval: Duration::from_millis(300),
            order_limit: Duration::from_millis(800),
            usual_load: Duration::from_millis(1_010),
            load_poll: Duration::from_millis(110),
            load_limit: Duration::from_secs(6),
            engines_per_load: 5,
            least_loads: 2,
        }
    }
}
