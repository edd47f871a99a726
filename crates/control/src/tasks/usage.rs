//! Commits what relays have counted: the differences of all relays in one log entry at a time.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::usage::RelayUsage;
use std::time::Duration;

/// Pause between commits: well below the pace at which relays ask, so that a relay is told of its counts by the answer to
/// the question that brought them.
const INTERVAL: Duration = Duration::from_millis(100);

/// Commits while this process leads. A relay keeps its counts until it is told that they are committed, so nothing is
/// lost with what waits here.
pub async fn commit<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        let waiting: Vec<RelayUsage> = node.inner.usage_inbox.borrow_mut().drain(..).collect();
        if waiting.is_empty() || node.replica().leading_term().is_none() {
            continue;
        }
        if let Err(error) = node.commit_gateway(GatewayCommand::AddUsage(waiting)).await {
            spdlog::warn!("usage not committed", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
