//! Allows retrials of quarantined work when they are due.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::suspicion::Retrial;
use std::time::Duration;

/// Pause between checks; short compared with the time to the first retrial.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of log lines about single retrials per check.
const MAX_LOG_LINES: usize = 8;

/// Observes suspicions on every replica, and allows retrials while this one leads.
pub async fn allow<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        let due = find_due(&node);
        if due.is_empty() {
            continue;
        }
        log_due(&node, &due);
        if let Err(error) = node.commit_gateway(GatewayCommand::AllowRetrials(due)).await {
            // Retried at the next check.
            spdlog::warn!("retrials not committed, will retry", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Observes the suspicions of the applied state; returns the retrials that are due, if this replica leads.
fn find_due<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> Vec<Retrial> {
    let now = node.inner.platform.monotonic();
    let mut watch = node.inner.suspicion_watch.borrow_mut();
    node.read_applied(|state| watch.observe(&state.suspicions, now));
    node.read(|state| watch.due_retrials(&state.suspicions, now)).unwrap_or_default()
}

fn log_due<P: Runtime, B: Backends>(node: &ControlNode<P, B>, due: &[Retrial]) {
    for retrial in due.iter().take(MAX_LOG_LINES) {
        let independent = node.read_applied(|state| state.suspicions.independent_losses(&retrial.work));
        spdlog::warn!("quarantine ends for one trial", kv: {
            work = retrial.work.to_hexadecimal().as_str(),
            retrials_before = retrial.number,
            independent_losses = independent,
            retrials_due = due.len()
        });
    }
}
