//! Forgets work under which engines ended long ago, and ends the rights of relays that are heard no more.

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

/// Ends the rights of relays whose lease is over, while this process leads.
pub async fn end_abandoned<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let config = node.inner.config.clone();
    // A relay's newest question may have reached another replica and not this one.
    let limit = config.relay_lease.max(config.follow_lease) + config.renewal_wait;
    loop {
        node.inner.platform.sleep(config.relay_check_interval).await;
        let Some(term) = node.replica().leading_term() else {
            continue;
        };
        let now = node.inner.platform.monotonic();
        let abandoned = node.read(|state| {
            let mut watch = node.inner.holder_watch.borrow_mut();
            watch.abandoned(term, &state.suspicions, now, limit)
        });
        let Some(abandoned) = abandoned.filter(|abandoned| !abandoned.is_empty()) else {
            continue;
        };
        spdlog::warn!("rights ended of relays heard no more", kv: {
            rights = abandoned.len(), limit_ms = limit.as_millis() as u64
        });
        if let Err(error) = node.commit_gateway(GatewayCommand::EndTrials(abandoned)).await {
            // It is looked at anew.
            spdlog::warn!("rights not ended", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
