//! Has the leader confirm this replica's state while relays ask here.

use crate::follow::Confirmation;
use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use std::time::Duration;

/// Pause between questions: what relays lose of their lease, and how long changes are gathered before relays are told. Ten
/// a second of each of five replicas are a fiftieth of what 836 relays would ask.
const INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the leader's answer.
const LIMIT: Duration = Duration::from_millis(300);

/// Longest wait until this replica has applied as much as the leader had committed.
const APPLY_LIMIT: Duration = Duration::from_millis(300);

/// Pause between looks at how far this replica has applied the log.
const APPLY_POLL: Duration = Duration::from_millis(5);

/// Asks while this process does not lead.
pub async fn confirm<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let mut told = (0, None, 0);
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        let now = node.inner.platform.monotonic();
        let leads = node.replica().leading_term().is_some();
        if leads || !node.inner.following.borrow_mut().is_wanted(now) {
            continue;
        }
        if ask(&node).await {
            node.inner.confirmed.notify();
        }
        let held = node
            .read_applied(|state| (state.instances.revision(), state.routing.version(), state.suspicions.revision()));
        if held != told {
            told = held;
            node.inner.news.notify();
        }
    }
}

/// Asks the leader once; returns whether this replica's state is confirmed anew.
async fn ask<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> bool {
    let platform = &node.inner.platform;
    let asked_at = platform.monotonic();
    let words = node.inner.following.borrow_mut().take_words(asked_at);
    let request = ControlRequest::Gateway(GatewayRequest::Confirm(words));
    let answer = node.replica().ask_leader(&request, LIMIT).await;
    let Some(ControlReply::Gateway(GatewayReply::Confirmed { position, group_unix_ms, relays })) = answer else {
        spdlog::debug!("state not confirmed", kv: { answered = answer.is_some() });
        return false;
    };
    let answered_at = platform.monotonic();
    while node.replica().applied_index() < position {
        if platform.monotonic() >= answered_at + APPLY_LIMIT {
            spdlog::debug!("state behind", kv: { position = position, applied = node.replica().applied_index() });
            return false;
        }
        platform.sleep(APPLY_POLL).await;
    }
    let group_unix_ms = group_unix_ms.map(|unix_ms| (unix_ms, answered_at));
    node.inner.following.borrow_mut().confirmation = Some(Confirmation { at: asked_at, group_unix_ms, relays });
    true
}
