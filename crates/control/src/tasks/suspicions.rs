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
        let now = node.inner.platform.unix_milliseconds();
        if node.read(|state| state.suspicions.has_expired(now)) != Some(true) {
            continue;
        }
        if let Err(error) = node.commit_gateway(GatewayCommand::ExpireSuspicions).await {
            spdlog::warn!("suspicions not forgotten", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
