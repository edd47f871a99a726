//! Expires suspicions of work during which engines terminated.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use std::time::Duration;

/// Pause between checks; short compared with the lifetime of a suspicion.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Expires suspicions while this process leads.
pub async fn expire<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        if !expiry_is_due(&node) {
            continue;
        }
        if let Err(error) = node.commit_gateway(GatewayCommand::ExpireSuspicions).await {
            spdlog::warn!("suspicions not expired, will retry", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Whether this replica leads and a suspicion has expired by the wall clock and by this process's monotonic clock.
fn expiry_is_due<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> bool {
    let now = node.inner.platform.monotonic();
    let unix_ms = node.inner.platform.unix_milliseconds();
    let mut watch = node.inner.suspicion_watch.borrow_mut();
    node.read_applied(|state| watch.observe(&state.suspicions, now));
    node.read(|state| watch.may_expire(&state.suspicions, unix_ms.max(state.time), now)) == Some(true)
}
