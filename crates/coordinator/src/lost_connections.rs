//! Detects engines that terminated while running an item or a score call.
//!
//! Such work is suspected of crashing engines. It runs again only under a trial lease, granted by the control group.
//! Items are owed to their caller: quarantined work is tried again, with a growing pause after each loss, until the
//! item's deadline.

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
use saddlerelay_types::suspicion::{EngineLoss, HeldTrial, TrialResult, WorkEvidence};
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

/// No trial lease was granted: another attempt of the same work is running, the work is quarantined, or this process is
/// not the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TrialDenied;

/// The trial lease of an attempt or score call of suspected work.
pub(crate) type ItemTrial<B> = TrialLeaseGuard<CompioRuntime, LocalTrialLeaseService<B>>;

/// Runs `attempt`; cancels it and returns `None` if its trial lease is lost.
pub(crate) async fn run_under_lease<B: Backends, T>(
    trial: Option<&ItemTrial<B>>,
    attempt: impl Future<Output = T>,
) -> Option<T> {
    let Some(lease) = trial else {
        return Some(attempt.await);
    };
    match future::select(pin!(attempt), pin!(lease.lost())).await {
        Either::Left((end, _)) => Some(end),
        Either::Right(_) => None,
    }
}

/// Requests trial leases by commits of the local control node.
pub(crate) struct LocalTrialLeaseService<B: Backends>(pub LeaderNode<B>);

impl<B: Backends> LocalTrialLeaseService<B> {
    async fn commit(&self, command: GatewayCommand) -> Result<GatewayOutcome, CallFailure> {
        self.0.commit_gateway(command).await.map_err(|error| format!("{error:?}"))
    }
}

impl<B: Backends> TrialLeaseService for LocalTrialLeaseService<B> {
    async fn begin(&self, request: TrialRequest) -> Result<TrialResult, CallFailure> {
        self.0.begin_trial(request).await.map_err(|error| format!("{error:?}"))
    }

    async fn renew(&self, trials: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, CallFailure> {
        match self.commit(GatewayCommand::RenewTrials(trials)).await? {
            GatewayOutcome::TrialsLost(lost) => Ok(lost),
            other => Err(format!("{other:?}")),
        }
    }

    async fn end(&self, trial: HeldTrial) -> Result<(), CallFailure> {
        let HeldTrial { work, id } = trial;
        self.commit(GatewayCommand::EndTrial { work, id }).await.map(|_| ())
    }
}

impl<B: Backends> Coordinator<B> {
    /// Checks whether the engine at `target` terminated, after the connection was lost while it ran `work`. If it has
    /// terminated although it was ready, this is committed as evidence against the work.
    pub(crate) async fn check_lost_connection(&self, item: &ItemId, work: WorkDigest, target: &EngineTarget) {
        let inner = &self.inner;
        let terminated = inner.termination_checks.has_terminated(target.address).await;
        // The termination of an engine that was leaving is not caused by the work.
        let record_state = |state: &ControlState| state.instances.get(&target.instance).map(|record| record.state);
        let is_evidence = terminated && inner.node.read(record_state).flatten() == Some(InstanceState::Ready);
        spdlog::warn!("engine connection lost while running item", kv: {
            item = item.0.as_str(),
            work = work.log_prefix().as_str(),
            instance = target.instance.name.as_str(),
            engine_ended = terminated,
            counted_as_evidence = is_evidence
        });
        if terminated {
            inner.metrics.engines_terminated.inc();
        }
        if is_evidence {
            let losses = vec![EngineLoss { work, instance: target.instance.clone() }];
            self.commit_evidence(WorkEvidence { losses, served: Vec::new() }).await;
        }
    }

    /// Requests a trial lease if the work is suspected; fails if the lease is not granted.
    pub(crate) async fn begin_trial(&self, run: &impl EngineWork) -> Result<Option<ItemTrial<B>>, TrialDenied> {
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
        trial.map(Some).ok_or(TrialDenied)
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
