//! Detects engines that terminated while running an item or a score call.
//!
//! Such work is suspected of crashing engines. It runs again only under a trial lease, granted by the control group,
//! and not at all while it is quarantined.

use crate::coordinator::{Coordinator, LeaderNode};
use futures::future::{self, Either};
use saddlerelay_control::state::ControlState;
use saddlerelay_control_client::trials::{CallFailure, TrialLeaseGuard, TrialLeaseService};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, TrialRequest};
use saddlerelay_types::instance::InstanceState;
use saddlerelay_types::job::ItemId;
use saddlerelay_types::suspicion::{EngineLoss, HeldTrial, TrialAnswer, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;
use std::pin::pin;
use std::time::Duration;

/// Work to run at an engine: an attempt of an item, or its score call.
pub(crate) trait EngineWork {
    /// The item that the work belongs to.
    fn item(&self) -> &ItemId;
    /// Digest that identifies the work across attempts.
    fn work_digest(&self) -> WorkDigest;
    /// Latest end if the work starts at `now`.
    fn latest_end(&self, now: Duration) -> Duration;
}

/// The trial was denied: another attempt of the same work is running, or this process is not leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrialTaken;

/// A granted trial of suspected work.
pub(crate) type ItemTrial<B> = TrialLeaseGuard<CompioRuntime, LocalTrialGroup<B>>;

/// Runs `attempt`; cancels it and returns `None` if its trial is lost.
pub(crate) async fn run_while_held<B: Backends, T>(
    trial: Option<&ItemTrial<B>>,
    attempt: impl Future<Output = T>,
) -> Option<T> {
    let Some(held_trial) = trial else {
        return Some(attempt.await);
    };
    match future::select(pin!(attempt), pin!(held_trial.lost())).await {
        Either::Left((end, _)) => Some(end),
        Either::Right(_) => None,
    }
}

/// Trial operations committed by the local control node.
pub(crate) struct LocalTrialGroup<B: Backends>(pub LeaderNode<B>);

impl<B: Backends> LocalTrialGroup<B> {
    async fn commit(&self, command: GatewayCommand) -> Result<GatewayOutcome, CallFailure> {
        self.0.commit_gateway(command).await.map_err(|error| format!("{error:?}"))
    }
}

impl<B: Backends> TrialLeaseService for LocalTrialGroup<B> {
    async fn begin(&self, request: TrialRequest) -> Result<TrialAnswer, CallFailure> {
        self.0.begin_trial(request).await.map_err(|error| format!("{error:?}"))
    }

    async fn renew(&self, held: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, CallFailure> {
        match self.commit(GatewayCommand::RenewTrials(held)).await? {
            GatewayOutcome::TrialsLost(lost) => Ok(lost),
            other => Err(format!("{other:?}")),
        }
    }

    async fn end(&self, held: HeldTrial) -> Result<(), CallFailure> {
        let HeldTrial { work, id } = held;
        self.commit(GatewayCommand::EndTrial { work, id }).await.map(|_| ())
    }
}

impl<B: Backends> Coordinator<B> {
    /// Checks whether the engine at `target` terminated when a connection was lost while it ran `work`. If the engine
    /// was ready, its termination is committed as evidence against the work.
    pub(crate) async fn check_lost_connection(&self, item: &ItemId, work: WorkDigest, target: &EngineTarget) {
        let inner = &self.inner;
        let ended = inner.ended_checks.has_terminated(target.address).await;
        // An engine that was draining is expected to terminate.
        let record_state = |state: &ControlState| state.instances.get(&target.instance).map(|record| record.state);
        let is_evidence = ended && inner.node.read(record_state).flatten() == Some(InstanceState::Ready);
        spdlog::warn!("engine connection lost while running item", kv: {
            item = item.0.as_str(),
            work = work.log_prefix().as_str(),
            instance = target.instance.name.as_str(),
            engine_ended = ended,
            counted_as_evidence = is_evidence
        });
        if ended {
            inner.metrics.engines_ended.inc();
        }
        if is_evidence {
            let losses = vec![EngineLoss { work, instance: target.instance.clone() }];
            self.commit_evidence(WorkEvidence { losses, served: Vec::new() }).await;
        }
    }

    /// Requests a trial if the work is suspected; fails if the trial is denied.
    pub(crate) async fn begin_trial(&self, run: &impl EngineWork) -> Result<Option<ItemTrial<B>>, TrialTaken> {
        if !self.is_suspected(run) {
            return Ok(None);
        }
        let work = run.work_digest();
        let now = self.now();
        let limit = run.latest_end(now).saturating_sub(now);
        let trial = self.inner.trials.begin(work, limit).await;
        spdlog::info!("trial lease requested for suspected item", kv: {
            item = run.item().0.as_str(), work = work.log_prefix().as_str(), granted = trial.is_some()
        });
        trial.map(Some).ok_or(TrialTaken)
    }

    /// Whether an engine terminated while running this work.
    pub(crate) fn is_suspected(&self, run: &impl EngineWork) -> bool {
        let suspected = self
            .inner
            .node
            .read(|state| !state.suspicions.is_empty() && state.suspicions.get(&run.work_digest()).is_some());
        suspected == Some(true)
    }

    /// Records that an engine completed the work, which clears a suspicion of it.
    pub(crate) fn clear_suspicion(&self, work: impl FnOnce() -> WorkDigest) {
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
            spdlog::warn!("work evidence not committed", kv: { reason = format!("{error:?}").as_str() });
        }
    }
}
