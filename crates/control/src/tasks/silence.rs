//! Notes in the log whose reports have ceased, so that every replica can tell relays.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use std::time::Duration;

/// Pause between looks: little beside the seconds after which an instance is called silent.
const INTERVAL: Duration = Duration::from_millis(100);

/// Looks while this process leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        let Some(term) = node.replica().leading_term() else {
            continue;
        };
        let now = node.inner.platform.monotonic();
        let limit = node.inner.config.instance_silence;
        let changes = node.read(|state| {
            let mut watch = node.inner.instance_watch.borrow_mut();
            watch.follow_term(term);
            watch.silence_changes(&state.instances, now, limit)
        });
        let Some(mut changes) = changes else {
            continue;
        };
        let leads_at_level_one = node.leads_at_level_one();
        if leads_at_level_one {
            node.read_applied(|state| changes.silent.retain(|id| !state.instances.silent().contains(id)));
        }
        if changes.is_empty() {
            continue;
        }
        spdlog::info!("silence of engines noted", kv: {
            silent = changes.silent.len(), heard_again = changes.heard.len(), limit_ms = limit.as_millis() as u64
        });
        if leads_at_level_one {
            node.replica().adjust(|machine| machine.mark_silence(&changes.silent, &changes.heard));
            node.inner.news.notify();
            continue;
        }
        let command = GatewayCommand::NoteSilence { silent: changes.silent, heard: changes.heard };
        if let Err(error) = node.commit_gateway(command).await {
            // It is looked at anew.
            spdlog::warn!("silence not noted", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
