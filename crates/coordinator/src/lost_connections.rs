//! Looks into connections that engines have lost under an item or a call for a score, and holds work back under which
//! engine after engine has ended.

use crate::coordinator::{Coordinator, LeaderNode};
use crate::plan::Start;
use saddlerelay_control::state::ControlState;
use saddlerelay_control_client::trials::{NoAnswer, TrialGroup, TrialGuard};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, TrialRequest};
use saddlerelay_types::instance::InstanceState;
use saddlerelay_types::job::ItemId;
use saddlerelay_types::suspicion::{EngineLoss, HeldTrial, TrialAnswer, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;

/// Another try of the same work is under way, or this process does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrialTaken;

/// The right to run a suspected item.
pub(crate) type ItemTrial<B> = TrialGuard<CompioRuntime, LeaderGroup<B>>;

/// The control group as its leader asks it.
pub(crate) struct LeaderGroup<B: Backends>(pub LeaderNode<B>);

impl<B: Backends> LeaderGroup<B> {
    async fn commit(&self, command: GatewayCommand) -> Result<GatewayOutcome, NoAnswer> {
        self.0.commit_gateway(command).await.map_err(|error| format!("{error:?}"))
    }
}

impl<B: Backends> TrialGroup for LeaderGroup<B> {
    async fn begin(&self, request: TrialRequest) -> Result<TrialAnswer, NoAnswer> {
        self.0.begin_trial(request).await.map_err(|error| format!("{error:?}"))
    }

    async fn renew(&self, held: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, NoAnswer> {
        match self.commit(GatewayCommand::RenewTrials(held)).await? {
            GatewayOutcome::TrialsLost(lost) => Ok(lost),
            other => Err(format!("{other:?}")),
        }
    }

    async fn end(&self, held: HeldTrial) -> Result<(), NoAnswer> {
        let HeldTrial { work, id } = held;
        self.commit(GatewayCommand::EndTrial { work, id }).await.map(|_| ())
    }
}

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
            instance = target.instance.name.as_str(),
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

    /// Asks for the right to run an item, if its work is suspected; `Err` while another try of it runs.
    pub(crate) async fn begin_trial(&self, start: &Start) -> Result<Option<ItemTrial<B>>, TrialTaken> {
        if !self.is_suspected(start) {
            return Ok(None);
        }
        let work = start.work_digest();
        let limit = start.give_up_at.saturating_sub(self.now());
        let trial = self.inner.trials.begin(work, limit).await;
        spdlog::info!("trial of suspected item", kv: {
            item = start.item.id.0.as_str(), work = work.shown().as_str(), granted = trial.is_some()
        });
        trial.map(Some).ok_or(TrialTaken)
    }

    /// Whether an engine has ended under an item's work.
    pub(crate) fn is_suspected(&self, start: &Start) -> bool {
        let suspected = self
            .inner
            .node
            .read(|state| !state.suspicions.is_empty() && state.suspicions.get(&start.work_digest()).is_some());
        suspected == Some(true)
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
