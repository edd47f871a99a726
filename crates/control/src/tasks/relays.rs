//! Monitors lease renewals of relays and declares relays lost that have stopped renewing.

use crate::node::ControlNode;
use crate::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{Incarnation, Revision};
use saddlerelay_types::membership::RelayView;
use saddlerelay_types::protocol::{Command, MembershipCommand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Newest renewal of one relay.
#[derive(Clone, Copy, Debug)]
struct Renewal {
    received_at: Duration,
    revision: Revision,
}

/// Renewals received by this leader. Not replicated: a new leader restarts the loss timeout of every relay.
#[derive(Debug, Default)]
pub struct RenewalTable {
    term: u64,
    renewals: BTreeMap<Incarnation, Renewal>,
}

impl RenewalTable {
    /// Records a renewal by a relay that holds configuration `revision`.
    pub fn record(&mut self, relay: Incarnation, received_at: Duration, revision: Revision) {
        self.renewals.insert(relay, Renewal { received_at, revision });
    }

    /// The relays with the age of their renewals, for operators.
    pub fn views(&self, state: &ControlState, now: Duration) -> Vec<RelayView> {
        let to_view = |(incarnation, description): (&Incarnation, &saddlerelay_types::membership::RelayDescription)| {
            let renewal = self.renewals.get(incarnation)?;
            Some(RelayView {
                description: description.clone(),
                revision: renewal.revision,
                renewed_milliseconds_ago: now.saturating_sub(renewal.received_at).as_millis() as u64,
            })
        };
        state.members.relays().iter().filter_map(to_view).collect()
    }

    /// Drops relays that have left, and starts the loss timeout of relays without a renewal in this term.
    fn update(&mut self, term: u64, relays: &[Incarnation], now: Duration) {
        if self.term != term {
            self.term = term;
            self.renewals.clear();
        }
        self.renewals.retain(|relay, _| relays.contains(relay));
        for relay in relays {
            self.renewals.entry(*relay).or_insert(Renewal { received_at: now, revision: Revision(0) });
        }
    }

    fn overdue(&self, now: Duration, limit: Duration) -> Vec<Incarnation> {
        let overdue = self.renewals.iter().filter(|(_, renewal)| now >= renewal.received_at + limit);
        overdue.map(|(relay, _)| *relay).collect()
    }
}

/// Declares relays lost while this process leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let config = node.inner.config.clone();
    loop {
        node.inner.platform.sleep(config.relay_check_interval).await;
        let Some(term) = node.inner.replica.leading_term() else {
            continue;
        };
        let relays = node.read(|state| state.members.relays().keys().copied().collect::<Vec<_>>());
        let now = node.inner.platform.monotonic();
        let overdue = {
            let mut renewals = node.inner.renewals.borrow_mut();
            renewals.update(term, &relays.unwrap_or_default(), now);
            renewals.overdue(now, config.relay_loss_timeout)
        };
        for relay in overdue {
            // A failed commit is retried at the next check.
            let _ = node.commit(Command::Membership(MembershipCommand::RelayLost(relay))).await;
        }
    }
}
