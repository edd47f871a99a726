//! Ends rights to run suspected work whose holders are not heard any more, so that the work goes on elsewhere.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::suspicion::TrialStanding;
use std::time::Duration;

/// Pause between looks: little beside the lease of a right.
const INTERVAL: Duration = Duration::from_millis(100);

/// Most lines about single rights at one look.
const LINES_AT_ONCE: usize = 4;

/// Watches on every replica, and ends rights while this one leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        let expired = find_expired(&node);
        if expired.is_empty() {
            continue;
        }
        tell(&expired);
        if let Err(error) = node.commit_gateway(GatewayCommand::ExpireTrials(expired)).await {
            // It is looked at anew.
            spdlog::warn!("trials not ended", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Takes what this replica's state holds; the rights whose lease is over, if this replica leads.
fn find_expired<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> Vec<TrialStanding> {
    let now = node.inner.platform.monotonic();
    let mut watch = node.inner.trial_watch.borrow_mut();
    node.read_applied(|state| watch.see(&state.suspicions, now));
    node.replica().leading_term().map_or_else(Vec::new, |term| watch.expired(term, now))
}

fn tell(expired: &[TrialStanding]) {
    for standing in expired.iter().take(LINES_AT_ONCE) {
        spdlog::warn!("trial ended, its holder is not heard", kv: {
            work = standing.held.work.shown().as_str(),
            held_by = standing.held.id.holder.0,
            number = standing.held.id.number,
            renewals = standing.renewals,
            rights_ended = expired.len()
        });
    }
}
