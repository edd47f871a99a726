//! Raises the group's feature level once every member and caller supports the newer one.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::feature_level::FeatureLevel;
use std::time::Duration;

/// Pause between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long no request from an older build must have arrived; several times the longest poll interval of relays and
/// store machines.
const OLDER_BUILD_ABSENCE: Duration = Duration::from_secs(3);

/// Checks periodically whether the level can be raised, until the process ends.
pub async fn raise<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let mut raisable_since = None;
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        let now = node.inner.platform.monotonic();
        if !can_raise(&node, raisable_since) {
            raisable_since = None;
            continue;
        }
        let since = *raisable_since.get_or_insert(now);
        if now < since + OLDER_BUILD_ABSENCE {
            continue;
        }
        if let Err(error) = node.replica().raise_level(FeatureLevel::NEWEST) {
            // Retried at the next check.
            spdlog::warn!("feature level not proposed", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Whether this replica leads a group at an older level whose members all support the newest, and has received no
/// request from an older build since `since`.
fn can_raise<P: Runtime, B: Backends>(node: &ControlNode<P, B>, since: Option<Duration>) -> bool {
    let replica = node.replica();
    let is_older = replica.level_of_proposals().is_some_and(|level| level < FeatureLevel::NEWEST);
    let leads = replica.leading_term().is_some();
    let older_build_seen = since.is_some() && node.inner.older_build_request_at.get() >= since;
    is_older && leads && !older_build_seen && replica.members_support(FeatureLevel::NEWEST)
}
