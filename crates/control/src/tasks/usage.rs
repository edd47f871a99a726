//! Commits the usage counts of all relays in batches of one log entry.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::usage::RelayUsage;
use std::time::Duration;

/// Pause between commits; short enough that the reply to the poll that carried the counts can acknowledge them.
const COMMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Commits queued counts while this process leads. Counts that are dropped here are sent again: a relay keeps them
/// until their commit is acknowledged.
pub async fn commit<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(COMMIT_INTERVAL).await;
        let pending: Vec<RelayUsage> = node.inner.usage_inbox.borrow_mut().drain(..).collect();
        if pending.is_empty() || node.replica().leading_term().is_none() {
            continue;
        }
        if let Err(error) = node.commit_gateway(GatewayCommand::AddUsage(pending)).await {
            spdlog::warn!("usage not committed", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
