//! State of the order of waiting items in the leader's memory. It is empty at the start of a term: items are then ordered
//! by slack alone until work has been served.

use crate::waits::LogWindow;
use saddlerelay_scheduling::Activation;
use saddlerelay_scheduling::order::{OverdueTurns, trainers_compete};
use saddlerelay_scheduling::shares::Shares;
use saddlerelay_types::routing::RoutingDocument;
use std::time::Duration;

/// Interval at which the shares of trainers are logged and old ones are dropped.
const SHARES_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Engines of a service with a model, for which items of several jobs compete.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    /// The route's first service.
    pub service: String,
    pub model: Option<String>,
}

#[derive(Default)]
pub(crate) struct BatchOrder {
    /// Version of the routing document and whether it calls for the order.
    called_for: Option<(u64, bool)>,
    was_active: Option<bool>,
    pub shares: Shares,
    pub turns: OverdueTurns<PoolKey>,
    /// Rate limit of the log of starts.
    pub start_log: LogWindow,
    shares_logged_at: Duration,
}

impl BatchOrder {
    /// Drops the state of the previous term.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether waiting items are ordered by urgency.
    pub fn is_active(&mut self, setting: Activation, document: Option<&RoutingDocument>) -> bool {
        let called_for = document.is_some_and(|document| match self.called_for {
            Some((version, called_for)) if version == document.version => called_for,
            _ => self.called_for.insert((document.version, trainers_compete(document))).1,
        });
        let active = setting.is_active(called_for);
        if self.was_active.replace(active) != Some(active) {
            spdlog::info!("order of waiting items chosen", kv: {
                by_urgency = active, setting = format!("{setting:?}").as_str(), called_for = called_for,
                routing_version = document.map(|document| document.version).unwrap_or_default()
            });
        }
        active
    }

    /// Logs the shares of trainers from time to time, and drops those whose work has decayed.
    pub fn log_shares(&mut self, now: Duration) {
        if now < self.shares_logged_at + SHARES_LOG_INTERVAL {
            return;
        }
        self.shares_logged_at = now;
        self.shares.prune(now);
        for (trainer, fraction) in self.shares.fractions(now) {
            spdlog::info!("share of recent work", kv: {
                tenant = trainer.tenant.as_ref().map_or("-", |tenant| tenant.as_str()),
                trainer = trainer.name.as_str(),
                percent = (fraction * 100.0).round() as u64,
                work_ms = self.shares.served(trainer, now).trainer.as_millis() as u64
            });
        }
    }
}
