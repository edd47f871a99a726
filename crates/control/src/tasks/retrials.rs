//! Allows retrials of quarantined work when they are due.

use crate::node::ControlNode;
use crate::owed_samples::OwedSamples;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::suspicion::{MAX_SAMPLE_PAUSE, OwedVerdict, Retrial};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// Pause between checks; short compared with the time to the first retrial.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Observes suspicions on every replica, and allows retrials while this one leads.
pub async fn allow<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let mut owed_samples = OwedSamples::default();
    loop {
        node.inner.platform.sleep(CHECK_INTERVAL).await;
        let due = find_due(&node);
        allow_due(&node, due, "time since the last engine loss").await;
        let due = find_due_samples(&node, &mut owed_samples);
        allow_due(&node, due, "owed sample").await;
    }
}

async fn allow_due<P: Runtime, B: Backends>(node: &ControlNode<P, B>, due: Vec<Retrial>, reason: &str) {
    if due.is_empty() {
        return;
    }
    if let Err(error) = node.allow_retrials(due, reason).await {
        // Retried at the next check.
        spdlog::warn!("retrials not committed, will retry", kv: { reason = format!("{error:?}").as_str() });
    }
}

/// Observes the suspicions of the applied state; returns the retrials that are due, if this replica leads.
fn find_due<P: Runtime, B: Backends>(node: &ControlNode<P, B>) -> Vec<Retrial> {
    let now = node.inner.platform.monotonic();
    let mut watch = node.inner.suspicion_watch.borrow_mut();
    node.read_applied(|state| watch.observe(&state.suspicions, now));
    node.read(|state| watch.due_retrials(&state.suspicions, now)).unwrap_or_default()
}

/// The retrials of quarantined samples whose pause has elapsed, if this replica leads.
fn find_due_samples<P: Runtime, B: Backends>(node: &ControlNode<P, B>, owed: &mut OwedSamples) -> Vec<Retrial> {
    let due = node.read(|state| {
        let suspicions = &state.suspicions;
        let may_retry = suspicions.history().is_some();
        let mut quarantined = suspicions.iter().filter(|suspicion| suspicion.is_quarantined()).peekable();
        if !may_retry || quarantined.peek().is_none() {
            owed.clear();
            return Vec::new();
        }
        owed.observe(state);
        let verdict = |work: &WorkDigest| node.owed_work_verdict(suspicions, work, MAX_SAMPLE_PAUSE);
        let due = quarantined
            .filter(|suspicion| owed.contains(&suspicion.work) && verdict(&suspicion.work) == OwedVerdict::Retry);
        due.map(|suspicion| Retrial { work: suspicion.work, number: suspicions.retrials(&suspicion.work) }).collect()
    });
    due.unwrap_or_default()
}
