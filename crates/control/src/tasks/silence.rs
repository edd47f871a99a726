//! Records which engine instances have stopped or resumed reporting: in the log, from which every replica informs
//! relays, or, at feature level one, in the leader's state only.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use std::time::Duration;

/// Pause between checks; short compared with `instance_silence_timeout`.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks for changes while this process leads.
pub async fn watch<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        let Some(term) = node.replica().leading_term() else {
            continue;
        };
        let now = node.inner.platform.monotonic();
        let limit = node.inner.config.instance_silence_timeout;
        let changes = node.read(|state| {
            let mut watch = node.inner.instance_watch.borrow_mut();
            watch.reset_for_term(term);
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
        spdlog::info!("engine silence changed", kv: {
            silent = changes.silent.len(), resumed = changes.resumed.len(), limit_ms = limit.as_millis() as u64
        });
        if leads_at_level_one {
            node.replica().update_local_state(|machine| machine.mark_silence(&changes.silent, &changes.resumed));
            node.inner.relay_updates.notify();
            continue;
        }
        let command = GatewayCommand::RecordSilence { silent: changes.silent, resumed: changes.resumed };
        if let Err(error) = node.commit_gateway(command).await {
            // Retried at the next check.
            spdlog::warn!("engine silence not committed, will retry", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
