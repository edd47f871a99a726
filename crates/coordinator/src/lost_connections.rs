//! Looks into connections that engines have lost under an item or a call for a score, and holds work back under which
//! engine after engine has ended.

use crate::coordinator::Coordinator;
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::instance::InstanceState;
use saddlerelay_types::job::ItemId;
use saddlerelay_types::suspicion::{EngineLoss, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;

impl<B: Backends> Coordinator<B> {
    /// Finds out whether the engine at `target` has ended under work that belongs to an item, says so, and has the group
    /// take it as evidence.
    pub(crate) async fn look_into_lost_connection(&self, item: &ItemId, work: WorkDigest, target: &EngineTarget) {
        let inner = &self.inner;
        let ended = inner.ended_checks.has_ended(target.address).await;
        // One that was leaving has ended for a reason of its own.
        let record_state = |state: &ControlState| state.instances.get(&target.instance).map(|record| record.state);
        let counts = ended && inner.node.read(record_state).flatten() == Some(InstanceState::Ready);
        spdlog::warn!("connection lost under an item", kv: {
            item = item.0.as_str(),
            work = work.shown().as_str(),
            instance = target.instance.0.as_str(),
            engine_ended = ended,
            counts = counts
        });
        if ended {
            inner.metrics.engines_ended.inc();
        }
        if counts {
            let losses = vec![EngineLoss { work, instance: target.instance.clone() }];
            self.commit_evidence(WorkEvidence { losses, served: Vec::new() }).await;
        }
    }

    /// An engine has done an item's work to its end: if the work was suspected, it no longer is.
    pub(crate) fn note_served(&self, work: impl FnOnce() -> WorkDigest) {
        let suspected = self.inner.node.read(|state| {
            let suspicions = &state.suspicions;
            if suspicions.is_empty() {
                return None;
            }
            Some(work()).filter(|work| suspicions.get(work).is_some())
        });
        if let Some(work) = suspected.flatten() {
            let coordinator = self.clone();
            self.inner.runtime.spawn(async move {
                coordinator.commit_evidence(WorkEvidence { losses: Vec::new(), served: vec![work] }).await;
            });
        }
    }

    async fn commit_evidence(&self, evidence: WorkEvidence) {
        if let Err(error) = self.inner.node.commit_evidence(evidence).await {
            spdlog::warn!("evidence not committed", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
