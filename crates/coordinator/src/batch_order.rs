//! State of the order of waiting items in the leader's memory. It is empty at the start of a term: items are then ordered
//! by slack alone until work has been served.

use crate::waits::LogWindow;
use saddlerelay_scheduling::Activation;
use saddlerelay_scheduling::long_texts::{Reservation, Step, Submissions};
use saddlerelay_scheduling::order::{OverdueTurns, trainers_compete};
use saddlerelay_scheduling::shares::{Shares, Trainer};
use saddlerelay_types::routing::RoutingDocument;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which the shares of trainers are logged and old ones are dropped.
const SHARES_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which the steps of a trainer that submits no more are forgotten; many times the interval of any trainer
/// whose next step is worth a reservation.
const SUBMISSION_RETENTION: Duration = Duration::from_secs(600);

/// Engines of a service with a model, for which items of several jobs compete.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
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
    /// Last steps of each trainer, with the engines that they use.
    submissions: BTreeMap<Trainer, (PoolKey, Submissions)>,
    /// When the step is expected for which the latest reservation of each pool was logged.
    logged_reservations: BTreeMap<PoolKey, Duration>,
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

    /// Records a step of a trainer.
    pub fn record_submission(&mut self, trainer: &Trainer, pool: &PoolKey, step: Step) {
        let (used, submissions) = self.submissions.entry(trainer.clone()).or_default();
        used.clone_from(pool);
        submissions.record(step);
    }

    fn submissions_to<'s>(&'s self, pool: &'s PoolKey) -> impl Iterator<Item = &'s Submissions> {
        self.submissions.values().filter(move |(used, _)| used == pool).map(|(_, submissions)| submissions)
    }

    /// Whether a trainer that uses these engines submits steps at a regular interval.
    pub fn has_regular_submissions(&self, pool: &PoolKey) -> bool {
        self.submissions_to(pool).any(|submissions| submissions.interval().is_some())
    }

    /// The largest reservation for a step that is about to be submitted.
    pub fn reservation(&mut self, pool: &PoolKey, pool_slots: u32, now: Duration) -> Option<Reservation> {
        let reservations = self.submissions_to(pool).filter_map(|submissions| submissions.reservation(pool_slots, now));
        let reservation = reservations.max_by_key(|reservation| reservation.slots)?;
        let expected_at = reservation.expected_at;
        if self.logged_reservations.insert(pool.clone(), expected_at) != Some(expected_at) {
            spdlog::info!("slots reserved for an expected step", kv: {
                service = pool.service.as_str(), model = pool.model.as_deref().unwrap_or("-"),
                slots = reservation.slots, of = pool_slots,
                expected_in_ms = expected_at.saturating_sub(now).as_millis() as u64
            });
        }
        Some(reservation)
    }

    /// Logs the shares of trainers from time to time, and drops those whose work has decayed.
    pub fn log_shares(&mut self, now: Duration) {
        if now < self.shares_logged_at + SHARES_LOG_INTERVAL {
            return;
        }
        self.shares_logged_at = now;
        self.shares.prune(now);
        let is_recent = |at: Duration| now <= at + SUBMISSION_RETENTION;
        self.submissions.retain(|_, (_, submissions)| submissions.last_at().is_some_and(is_recent));
        let submissions = &self.submissions;
        let is_used = |pool: &PoolKey| submissions.values().any(|(used, _)| used == pool);
        self.logged_reservations.retain(|pool, _| is_used(pool));
        self.turns.retain(is_used);
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
