//! Watches relays' lease renewals and declares silent relays lost.

use crate::node::ControlNode;
use crate::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{Incarnation, Revision};
use saddlerelay_types::membership::RelayView;
use saddlerelay_types::protocol::{Command, MembershipCommand};
use std::collections::BTreeMap;
use std::time::Duration;

/// One relay's newest renewal.
#[derive(Clone, Copy, Debug)]
struct Renewal {
    at: Duration,
    revision: Revision,
}

/// Renewals as this leader has seen them. Not replicated: a new leader grants every relay a whole silence.
#[derive(Debug, Default)]
pub struct RenewalTable {
    term: u64,
    renewals: BTreeMap<Incarnation, Renewal>,
}

impl RenewalTable {
    /// Records a renewal by a relay that acts on `revision`.
    pub fn record(&mut self, relay: Incarnation, at: Duration, revision: Revision) {
        self.renewals.insert(relay, Renewal { at, revision });
    }

    /// The relays as operators see them.
    pub fn views(&self, state: &ControlState, now: Duration) -> Vec<RelayView> {
        let view = |(incarnation, description): (&Incarnation, &saddlerelay_types::membership::RelayDescription)| {
            let renewal = self.renewals.get(incarnation)?;
            Some(RelayView {
                description: description.clone(),
                revision: renewal.revision,
                renewed_milliseconds_ago: now.saturating_sub(renewal.at).as_millis() as u64,
            })
        };
        state.members.relays().iter().filter_map(view).collect()
    }

    /// Forgets relays that are gone and starts the silence of those not heard in this term.
    fn follow(&mut self, term: u64, relays: &[Incarnation], now: Duration) {
        if self.term != term {
            self.term = term;
            self.renewals.clear();
        }
        self.renewals.retain(|relay, _| relays.contains(relay));
        for relay in relays {
            self.renewals.entry(*relay).or_insert(Renewal { at: now, revision: Revision(0) });
        }
    }

    fn silent(&self, now: Duration, limit: Duration) -> Vec<Incarnation> {
        let silent = self.renewals.iter().filter(|(_, renewal)| now >= renewal.at + limit);
        silent.map(|(relay, _)| *relay).collect()
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
        let silent = {
            let mut renewals = node.inner.renewals.borrow_mut();
            renewals.follow(term, &relays.unwrap_or_default(), now);
            renewals.silent(now, config.relay_loss)
        };
        for relay in silent {
            // A failed commit is tried again at the next look.
            let _ = node.commit(Command::Membership(MembershipCommand::RelayLost(relay))).await;
        }
    }
}
