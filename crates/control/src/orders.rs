//! The right to give orders: to engines, and to the platform.
//!
//! One mechanism for all of them. Before each order the leader commits a note of what the order is about, and draws a
//! fence that is higher than that of every order before. It gives the order within a short time or not at all. Another
//! leader waits until that time and the lease of orders are over; an order that is carried out late has a lower fence.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, OrderSubject};
use saddlerelay_types::identity::Fence;
use std::time::Duration;

/// The right to give the orders of one note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGrant {
    /// The fence of the orders.
    pub fence: Fence,
    /// They must be given before, by this process's clock.
    pub valid_until: Duration,
    /// The term in which they were noted.
    pub term: u64,
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Looks for new notes. Followers look too, so that they know how old a note is when they lead.
    pub fn watch_orders(&self) {
        let now = self.inner.platform.monotonic();
        self.read_applied(|state| self.inner.order_watch.borrow_mut().see(&state.orders, now));
    }

    /// Whether enough time has passed since another replica may have given an order about `subject`.
    pub fn may_order(&self, subject: &OrderSubject) -> bool {
        let config = &self.inner.config;
        let distance = config.order_distance + config.order_validity;
        let free_at = self.inner.order_watch.borrow().free_at(subject, self.inner.replica.id(), distance);
        self.inner.platform.monotonic() >= free_at
    }

    /// Commits that orders about these subjects are about to be given in `term`.
    pub async fn note_orders(&self, term: u64, subjects: Vec<OrderSubject>) -> Option<OrderGrant> {
        let valid_until = self.inner.platform.monotonic() + self.inner.config.order_validity;
        let command = GatewayCommand::NoteOrders { holder: self.inner.replica.id(), subjects };
        let Ok(GatewayOutcome::Orders { fence, taken_over }) = self.commit_gateway(command).await else {
            return None;
        };
        if taken_over {
            spdlog::info!("orders taken over", kv: { term = term, fence = fence.0 });
        }
        Some(OrderGrant { fence, valid_until, term })
    }

    /// Whether an order may be given at this moment.
    pub fn grant_holds(&self, grant: &OrderGrant) -> bool {
        let leads = self.inner.replica.leading_term() == Some(grant.term);
        leads && self.inner.platform.monotonic() < grant.valid_until
    }
}
