//! Requests about suspected work, that is, work during which engines terminated unexpectedly.

use crate::node::ControlNode;
use crate::state::suspicions::SuspicionTable;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, GatewayReply, TrialRequest};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::suspicion::{OwedVerdict, Retrial, Suspicion, TrialResult, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// Maximum number of log lines about single retrials that are allowed together.
const MAX_RETRIAL_LOG_LINES: usize = 8;

/// What the state says of suspected work, for the log.
#[derive(Debug)]
struct Assessment {
    engines: usize,
    is_quarantined: bool,
    independent_losses: usize,
    retrials: u32,
    retrial_after: Option<Duration>,
}

impl Assessment {
    fn of(table: &SuspicionTable, work: &WorkDigest) -> Self {
        let suspicion = table.get(work);
        Self {
            engines: suspicion.map_or(0, |suspicion| suspicion.engines.len()),
            is_quarantined: suspicion.is_some_and(Suspicion::is_quarantined),
            independent_losses: table.independent_losses(work),
            retrials: table.retrials(work),
            retrial_after: table.retrial_after(work),
        }
    }

    /// Time to the next retrial in milliseconds; `none` if the work is not quarantined or no retrial follows.
    fn retrial_in_ms(&self) -> String {
        self.retrial_after.map_or_else(|| "none".to_string(), |after| after.as_millis().to_string())
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Commits evidence if it changes the state, and logs the result.
    pub async fn commit_evidence(&self, evidence: WorkEvidence) -> Result<(), ProposeError> {
        let is_new = self.read(|state| state.suspicions.would_change(&evidence));
        if is_new == Some(false) {
            return Ok(());
        }
        let committed = evidence.clone();
        self.commit_gateway(GatewayCommand::RecordEvidence(evidence)).await?;
        self.log_evidence(&committed);
        Ok(())
    }

    /// The decision on `work` that is owed to its caller, by this replica's state `table`. The age of the last engine loss
    /// is measured since this replica observed it. Pauses are at most `max_pause`.
    pub fn owed_work_verdict(&self, table: &SuspicionTable, work: &WorkDigest, max_pause: Duration) -> OwedVerdict {
        let Some(suspicion) = table.get(work) else {
            return OwedVerdict::Send;
        };
        let now = self.inner.platform.monotonic();
        let mut watch = self.inner.suspicion_watch.borrow_mut();
        watch.observe(table, now);
        OwedVerdict::of(suspicion.engines.len(), table.retrials(work), watch.since_last_loss(work, now), max_pause)
    }

    /// Commits one more trial each for quarantined work, and logs it for `reason`.
    pub async fn allow_retrials(&self, retrials: Vec<Retrial>, reason: &str) -> Result<(), ProposeError> {
        for retrial in retrials.iter().take(MAX_RETRIAL_LOG_LINES) {
            let independent = self.read_applied(|state| state.suspicions.independent_losses(&retrial.work));
            spdlog::warn!("quarantine ends for one trial", kv: {
                work = retrial.work.to_hexadecimal().as_str(),
                reason = reason,
                retrials_before = retrial.number,
                independent_losses = independent,
                retrials_due = retrials.len()
            });
        }
        self.commit_gateway(GatewayCommand::AllowRetrials(retrials)).await.map(|_| ())
    }

    /// Requests a trial lease for suspected work. Rejections are logged with the current holder, rate limited.
    pub async fn begin_trial(&self, request: TrialRequest) -> Result<TrialResult, ProposeError> {
        let outcome = self.commit_gateway(GatewayCommand::BeginTrial(request)).await?;
        if outcome == GatewayOutcome::Trial(TrialResult::Granted) {
            return Ok(TrialResult::Granted);
        }
        self.log_rejected_trial(&request);
        Ok(TrialResult::Taken)
    }

    fn log_rejected_trial(&self, request: &TrialRequest) {
        let now = self.inner.platform.monotonic();
        let Some(rejected_count) = self.inner.rejected_trials.borrow_mut().count(now) else {
            return;
        };
        let unix_ms = self.inner.platform.unix_milliseconds();
        let (lease, lease_count) = self.read_applied(|state| {
            let suspicions = &state.suspicions;
            (suspicions.trial(&request.work), suspicions.trial_lease_count())
        });
        let (holder, number, remaining_ms) =
            lease.map_or((0, 0, 0), |(id, expires_at)| (id.holder.0, id.number, expires_at.saturating_sub(unix_ms)));
        spdlog::warn!("trial lease rejected", kv: {
            work = request.work.log_prefix().as_str(),
            requested_by = request.id.holder.0,
            holder = holder,
            number = number,
            remaining_ms = remaining_ms,
            rejections = rejected_count,
            leases_held = lease_count
        });
    }

    pub(crate) async fn handle_begin_trial(&self, request: TrialRequest) -> ControlReply {
        match self.begin_trial(request).await {
            Ok(answer) => ControlReply::Gateway(GatewayReply::Trial(answer)),
            Err(error) => self.not_committed(&error),
        }
    }

    fn log_evidence(&self, evidence: &WorkEvidence) {
        for loss in &evidence.losses {
            let assessment = self.read_applied(|state| Assessment::of(&state.suspicions, &loss.work));
            spdlog::warn!("engine terminated while running work", kv: {
                work = loss.work.to_hexadecimal().as_str(),
                instance = loss.instance.name.as_str(),
                engines_ended = assessment.engines,
                quarantined = assessment.is_quarantined,
                independent_losses = assessment.independent_losses,
                retrials = assessment.retrials,
                retrial_in_ms = assessment.retrial_in_ms().as_str()
            });
        }
        for work in &evidence.served {
            spdlog::info!("suspected work completed, suspicion cleared", kv: { work = work.to_hexadecimal().as_str() });
        }
    }

    /// Commits a relay's evidence; the reply is the resulting list of suspicions.
    pub(crate) async fn handle_evidence(&self, evidence: WorkEvidence) -> ControlReply {
        match self.commit_evidence(evidence).await {
            Ok(()) => self.read_suspicions(),
            Err(error) => self.not_committed(&error),
        }
    }

    pub(crate) fn read_suspicions(&self) -> ControlReply {
        self.reply(self.read(|state| GatewayReply::Suspicions(state.suspicions.list())))
    }

    pub(crate) async fn release_work(&self, work: WorkDigest) -> ControlReply {
        spdlog::warn!("operator released suspected work", kv: { work = work.to_hexadecimal().as_str() });
        self.execute_gateway(GatewayCommand::ReleaseWork(work)).await
    }
}
