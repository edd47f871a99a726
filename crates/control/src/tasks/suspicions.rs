//! Forgets work under which engines ended long ago.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use std::time::Duration;

/// Pause between looks: what is forgotten is many minutes old.
const INTERVAL: Duration = Duration::from_secs(5);

/// Looks while this process leads.
pub async fn expire<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        if !forgetting_is_due(&node) {
            continue;
        }
        if let Err(error) = node.commit_gateway(GatewayCommand::ExpireSuspicions).await {
            spdlog::warn!("suspicions not forgotten", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Whether this replica leads and something is too old, by the time of day and by this process's steady clock.
fn forgetting_is_due<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> bool {
    let now = node.inner.platform.monotonic();
    let unix_ms = node.inner.platform.unix_milliseconds();
    let mut watch = node.inner.suspicion_watch.borrow_mut();
    node.read_applied(|state| watch.see(&state.suspicions, now));
    node.read(|state| watch.may_expire(&state.suspicions, unix_ms.max(state.time), now)) == Some(true)
}
