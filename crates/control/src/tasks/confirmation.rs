//! Requests confirmations of this follower's state from the leader while relays poll this replica.

use crate::follow::Confirmation;
use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::time::Duration;

/// Pause between requests. It shortens the relays' leases and delays updates by as much.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a request to the leader.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time until this replica has applied the log up to the confirmed position.
const APPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between checks of the applied position.
const APPLY_POLL: Duration = Duration::from_millis(5);

/// Requests confirmations while this process follows and relays poll it.
pub async fn confirm<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let mut notified_revisions = (0, None, 0);
    loop {
        node.inner.platform.sleep(REQUEST_INTERVAL).await;
        let now = node.inner.platform.monotonic();
        let leads = node.replica().leading_term().is_some();
        if leads || !node.inner.follower_reads.borrow_mut().is_active(now) {
            continue;
        }
        if request_confirmation(&node).await {
            node.inner.confirmed.notify();
        }
        let revisions = node
            .read_applied(|state| (state.instances.revision(), state.routing.version(), state.suspicions.revision()));
        if revisions != notified_revisions {
            notified_revisions = revisions;
            node.inner.relay_updates.notify();
        }
    }
}

/// Requests one confirmation; returns whether the state was confirmed and applied in time.
async fn request_confirmation<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> bool {
    let platform = &node.inner.platform;
    let requested_at = platform.monotonic();
    let relay_data = node.inner.follower_reads.borrow_mut().take_relay_data(requested_at);
    let request = ControlRequest::Gateway(GatewayRequest::Confirm(relay_data));
    let reply = node.replica().call_leader(&request, REQUEST_TIMEOUT).await;
    let Some(ControlReply::Gateway(GatewayReply::Confirmed { position, group_unix_ms, relays })) = reply else {
        spdlog::debug!("leader did not confirm follower state", kv: { answered = reply.is_some() });
        return false;
    };
    let received_at = platform.monotonic();
    while node.replica().applied_index() < position {
        if platform.monotonic() >= received_at + APPLY_TIMEOUT {
            spdlog::debug!("follower behind confirmed position", kv: { position = position, applied = node.replica().applied_index() });
            return false;
        }
        platform.sleep(APPLY_POLL).await;
    }
    let group_unix_ms = group_unix_ms.map(|unix_ms| (unix_ms, received_at));
    node.inner.follower_reads.borrow_mut().confirmation =
        Some(Confirmation { sent_at: requested_at, group_unix_ms, relays });
    true
}
