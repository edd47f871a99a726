//! Advances the group's uptime, by which ended jobs expire.

use crate::node::ControlNode;
use crate::uptime_watch::UptimeWatch;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, UptimeAdvance};
use std::time::Duration;

/// Pause between checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between advances. Each one is a log entry.
const ADVANCE_INTERVAL: Duration = Duration::from_secs(10);

/// Observes the uptime on every replica, and advances it while this one leads and there are jobs.
pub async fn advance<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let mut watch = UptimeWatch::default();
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        let Some(advance) = next_advance(&node, &mut watch) else {
            continue;
        };
        let expired_before = expired_count(&node);
        match node.commit_gateway(GatewayCommand::ExpireJobs(advance)).await {
            Ok(_) => log_expired(expired_count(&node).saturating_sub(expired_before), &advance),
            Err(error) => {
                spdlog::warn!("uptime not advanced, will retry", kv: { reason = format!("{error:?}").as_str() });
            }
        }
    }
}

fn expired_count<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> u64 {
    node.read_applied(|state| state.jobs.uptime_expiry().map_or(0, |expiry| expiry.expired_count()))
}

fn log_expired(jobs: u64, advance: &UptimeAdvance) {
    if jobs > 0 {
        spdlog::info!("ended jobs expired", kv: {
            jobs = jobs, uptime_ms = advance.since_ms + advance.elapsed_ms, keep_ms = advance.keep_ms
        });
    }
}

/// The advance to commit now; `None` unless this replica leads, there are jobs, and an advance is due.
fn next_advance<P: Runtime, B: Backends>(node: &ControlNode<P, B>, watch: &mut UptimeWatch) -> Option<UptimeAdvance> {
    let now = node.inner.platform.monotonic();
    let since_ms = node.read_applied(|state| state.jobs.uptime_expiry().map(|expiry| expiry.uptime_ms()))?;
    let elapsed = watch.observe(since_ms, now);
    let has_jobs = node.read(|state| state.jobs.uptime_expiry().is_some_and(|expiry| !expiry.is_empty()));
    if has_jobs != Some(true) || elapsed < ADVANCE_INTERVAL {
        return None;
    }
    let keep_ms = node.inner.config.job_retention.as_millis() as u64;
    Some(UptimeAdvance { since_ms, elapsed_ms: elapsed.as_millis() as u64, keep_ms })
}
