//! Raises the group's feature level once nobody is left who does not know the newer one.

use crate::node::ControlNode;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::feature_level::FeatureLevel;
use std::time::Duration;

/// Pause between looks.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long no older build must have asked this leader anything: some times the longest pause between two questions of a relay
/// or a store machine that is there.
const OLDER_QUIET: Duration = Duration::from_secs(3);

/// Looks until the process ends.
pub async fn raise<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let mut quiet_since = None;
    loop {
        node.inner.platform.sleep(INTERVAL).await;
        let now = node.inner.platform.monotonic();
        if !may_rise(&node, quiet_since) {
            quiet_since = None;
            continue;
        }
        let since = *quiet_since.get_or_insert(now);
        if now < since + OLDER_QUIET {
            continue;
        }
        if let Err(error) = node.replica().raise_level(FeatureLevel::NEWEST) {
            // It is looked at anew.
            spdlog::warn!("feature level not proposed", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}

/// Whether this replica leads a group of an older level, whose members all know the newest, and has not been asked by an older
/// build since.
fn may_rise<P: Runtime, B: Backends>(node: &ControlNode<P, B>, since: Option<Duration>) -> bool {
    let replica = node.replica();
    let is_older = replica.level_of_proposals().is_some_and(|level| level < FeatureLevel::NEWEST);
    let leads = replica.leading_term().is_some();
    let asked_since = since.is_some() && node.inner.older_asked_at.get() >= since;
    is_older && leads && !asked_since && replica.members_know(FeatureLevel::NEWEST)
}
