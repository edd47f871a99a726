//! Expires trial leases whose holders have stopped renewing, so that another process can run the suspected work.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::suspicion::TrialLease;
use std::time::Duration;

/// Pause between checks; short compared with the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of log lines about single leases per check.
const MAX_LOG_LINES: usize = 4;

/// Observes leases on every replica, and expires them while this one leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        let expired = find_expired(&node);
        if expired.is_empty() {
            continue;
        }
        log_expired(&expired);
        if let Err(error) = node.commit_gateway(GatewayCommand::ExpireTrials(expired)).await {
            // Retried at the next check.
            spdlog::warn!("expired trial leases not committed, will retry", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Observes the leases of the applied state; returns those that have expired, if this replica leads.
fn find_expired<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> Vec<TrialLease> {
    let now = node.inner.platform.monotonic();
    let mut watch = node.inner.trial_watch.borrow_mut();
    node.read_applied(|state| watch.observe(&state.suspicions, now));
    node.replica().leading_term().map_or_else(Vec::new, |term| watch.expired(term, now))
}

fn log_expired(expired: &[TrialLease]) {
    for lease in expired.iter().take(MAX_LOG_LINES) {
        spdlog::warn!("trial lease expired, holder stopped renewing", kv: {
            work = lease.held.work.log_prefix().as_str(),
            holder = lease.held.id.holder.0,
            number = lease.held.id.number,
            renewals = lease.renewals,
            leases_expired = expired.len()
        });
    }
}
