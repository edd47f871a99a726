//! Authorization of orders to engines and to the platform.
//!
//! Before each order the leader commits an intent for the order's subject, and receives a fencing token higher than
//! that of every earlier order. It sends the order within `order_validity` or not at all. A new leader sends an order
//! about the same subject only after `order_validity` and `order_separation` have passed; an earlier order that arrives
//! later is rejected, as its fencing token is lower.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, OrderSubject};
use saddlerelay_types::identity::Fence;
use std::time::Duration;

/// Permission to send the orders of one order intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGrant {
    /// Fencing token of the orders.
    pub fence: Fence,
    /// The orders must be sent before this time of the monotonic clock.
    pub valid_until: Duration,
    /// The term in which the intent was committed.
    pub term: u64,
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Observes new intents. Called on followers too, so that a new leader knows the age of each intent.
    pub fn observe_order_intents(&self) {
        let now = self.inner.platform.monotonic();
        self.read_applied(|state| self.inner.order_watch.borrow_mut().observe(&state.orders, now));
    }

    /// Whether enough time has passed since another replica may have sent an order about `subject`.
    pub fn may_order(&self, subject: &OrderSubject) -> bool {
        let config = &self.inner.config;
        let wait = config.order_separation + config.order_validity;
        let earliest_order_time =
            self.inner.order_watch.borrow().earliest_order_time(subject, self.inner.replica.id(), wait);
        self.inner.platform.monotonic() >= earliest_order_time
    }

    /// Commits an intent to send orders about `subjects` in `term`; `None` if the commit failed.
    pub async fn commit_order_intent(&self, term: u64, subjects: Vec<OrderSubject>) -> Option<OrderGrant> {
        let valid_until = self.inner.platform.monotonic() + self.inner.config.order_validity;
        let command = GatewayCommand::RecordOrderIntents { holder: self.inner.replica.id(), subjects };
        let Ok(GatewayOutcome::Orders { fence, holder_changed }) = self.commit_gateway(command).await else {
            return None;
        };
        if holder_changed {
            spdlog::info!("orders taken over from another replica", kv: { term = term, fence = fence.0 });
        }
        Some(OrderGrant { fence, valid_until, term })
    }

    /// Whether an order may be sent now: this replica still leads in the grant's term, and the grant is valid.
    pub fn grant_is_valid(&self, grant: &OrderGrant) -> bool {
        let leads = self.inner.replica.leading_term() == Some(grant.term);
        leads && self.inner.platform.monotonic() < grant.valid_until
    }
}
