//! Suspected work at a relay: work during which engines terminated unexpectedly, as listed by the control group or
//! observed by the relay and not reported yet.

use crate::trials::{CallFailure, TrialLeaseGuard, TrialLeaseService, TrialLeases};
use crate::{ControlClient, GatewayError};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest, TrialRequest};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{
    EngineLoss, HeldTrial, SuspicionList, TRIAL_RENEWAL, TrialResult, Verdict, WorkEvidence,
};
use saddlerelay_types::work::WorkDigest;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a request that reports evidence or releases a trial lease.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause before evidence is sent again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum time that suspected work is delayed until this relay's evidence is committed, so that its next attempt is
/// decided with the evidence of all relays.
const MAX_EVIDENCE_WAIT: Duration = Duration::from_millis(100);

/// Timeout of a request for a trial lease. After it, the request for suspected work is rejected for a later retry.
const TRIAL_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of losses that are not committed yet; further ones are dropped.
const MAX_PENDING_LOSSES: usize = 1_024;

/// Engine losses during one piece of suspected work.
#[derive(Debug, Default)]
struct Suspect {
    engines: BTreeSet<InstanceId>,
    /// When this relay recorded the last of them, by its monotonic clock.
    recorded_at: Duration,
}

impl Suspect {
    fn record_loss(&mut self, engine: InstanceId, now: Duration) {
        if self.engines.insert(engine) {
            self.recorded_at = now;
        }
    }
}

/// All suspected work, and the evidence that has not been reported yet.
#[derive(Debug, Default)]
pub struct Suspicions {
    revision: u64,
    /// Suspicions of the group's list and of this relay's own evidence.
    suspects: BTreeMap<WorkDigest, Suspect>,
    /// Evidence that has not been committed yet.
    evidence: WorkEvidence,
}

impl Suspicions {
    /// Revision of the group's list that was last applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether no work is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of distinct suspected work digests.
    pub fn suspected_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of engines that have terminated during `work` since it was last served.
    pub fn engines_terminated(&self, work: &WorkDigest) -> usize {
        self.suspects.get(work).map_or(0, |suspect| suspect.engines.len())
    }

    /// The decision on a request for `work` at `now`, with a relay's pause before the last trial.
    pub fn verdict(&self, work: &WorkDigest, now: Duration, last_trial_pause: Duration) -> Verdict {
        self.suspects.get(work).map_or(Verdict::Send, |suspect| {
            Verdict::of(suspect.engines.len(), now.saturating_sub(suspect.recorded_at), last_trial_pause)
        })
    }

    /// Records that this relay observed at `now` that an engine terminated during work.
    pub fn record_loss(&mut self, loss: EngineLoss, now: Duration) {
        if self.evidence.losses.len() >= MAX_PENDING_LOSSES || self.evidence.losses.contains(&loss) {
            return;
        }
        self.suspects.entry(loss.work).or_default().record_loss(loss.instance.clone(), now);
        self.evidence.losses.push(loss);
    }

    /// Records that an engine has served `work`; returns whether it was suspected.
    pub fn record_served(&mut self, work: &WorkDigest) -> bool {
        let suspected = self.suspects.remove(work).is_some();
        if suspected {
            self.evidence.losses.retain(|loss| loss.work != *work);
            self.evidence.served.push(*work);
        }
        suspected
    }

    /// The evidence that has not been committed yet.
    pub fn evidence(&self) -> &WorkEvidence {
        &self.evidence
    }

    /// Removes evidence that the group has committed.
    pub fn remove_committed(&mut self, committed: &WorkEvidence) {
        self.evidence.losses.retain(|loss| !committed.losses.contains(loss));
        self.evidence.served.retain(|work| !committed.served.contains(work));
    }

    /// Applies the group's list at `now`, unless it is not newer than the last one.
    pub fn apply_list(&mut self, list: SuspicionList, now: Duration) {
        if list.revision <= self.revision {
            return;
        }
        self.revision = list.revision;
        let mut previous = std::mem::take(&mut self.suspects);
        for suspicion in list.suspicions {
            let mut suspect = previous.remove(&suspicion.work).unwrap_or_default();
            suspect.engines.retain(|engine| suspicion.engines.contains(engine));
            suspicion.engines.into_iter().for_each(|engine| suspect.record_loss(engine, now));
            self.suspects.insert(suspicion.work, suspect);
        }
        for work in &self.evidence.served {
            self.suspects.remove(work);
        }
        for loss in &self.evidence.losses {
            let at = previous.get(&loss.work).map_or(now, |suspect| suspect.recorded_at);
            self.suspects.entry(loss.work).or_default().record_loss(loss.instance.clone(), at);
        }
    }
}

/// Keeps one relay's suspicions in sync with the control group.
pub struct SuspicionSync<P: Runtime> {
    platform: P,
    control: ControlClient<P>,
    last_trial_pause: Duration,
    /// Trial leases that this relay holds.
    trials: Rc<TrialLeases<P, ControlClient<P>>>,
    suspicions: RefCell<Suspicions>,
    /// Notified when there is evidence to report.
    evidence_added: Signal,
    /// Notified when evidence has been committed or discarded.
    evidence_reported: Signal,
}

impl<P: Runtime> SuspicionSync<P> {
    /// Starts without suspicions, and reports evidence to the group behind `control` until the process ends.
    pub fn start(platform: P, control: ControlClient<P>, last_trial_pause: Duration) -> Rc<Self> {
        let sync = Rc::new(Self {
            platform: platform.clone(),
            control: control.clone(),
            last_trial_pause,
            trials: TrialLeases::start(platform.clone(), control),
            suspicions: RefCell::default(),
            evidence_added: Signal::default(),
            evidence_reported: Signal::default(),
        });
        platform.spawn(report_evidence(sync.clone()));
        sync
    }

    /// Number of distinct suspected work digests.
    pub fn suspected_count(&self) -> usize {
        self.suspicions.borrow().suspected_count()
    }

    /// Revision of the group's list that was last applied.
    pub fn revision(&self) -> u64 {
        self.suspicions.borrow().revision()
    }

    /// Number of engines that have terminated during `work` since it was last served. As in [`Self::verdict`], the
    /// digest is computed only if any work is suspected.
    pub fn engines_terminated(&self, work: impl FnOnce() -> WorkDigest) -> usize {
        let suspicions = self.suspicions.borrow();
        if suspicions.is_empty() { 0 } else { suspicions.engines_terminated(&work()) }
    }

    /// The decision on a request for `work` at present.
    pub fn verdict(&self, work: impl FnOnce() -> WorkDigest) -> Verdict {
        self.verdict_after(work, self.last_trial_pause)
    }

    /// As [`Self::verdict`], with another pause before the last trial.
    pub fn verdict_after(&self, work: impl FnOnce() -> WorkDigest, last_trial_pause: Duration) -> Verdict {
        let suspicions = self.suspicions.borrow();
        if suspicions.is_empty() {
            return Verdict::Send;
        }
        suspicions.verdict(&work(), self.platform.monotonic(), last_trial_pause)
    }

    /// Requests a trial lease for suspected work, held for at most `limit`; `None` while another trial of it runs, or
    /// while no leader is reachable.
    pub async fn begin_trial(&self, work: WorkDigest, limit: Duration) -> Option<RelayTrial<P>> {
        self.trials.begin(work, limit).await
    }

    /// Records that an engine terminated during work.
    pub fn record_loss(&self, loss: EngineLoss) {
        self.suspicions.borrow_mut().record_loss(loss, self.platform.monotonic());
        self.evidence_added.notify();
    }

    /// Records that an engine has completed work.
    pub fn record_served(&self, work: impl FnOnce() -> WorkDigest) {
        let mut suspicions = self.suspicions.borrow_mut();
        if !suspicions.is_empty() && suspicions.record_served(&work()) {
            self.evidence_added.notify();
        }
    }

    /// Applies the group's list, unless it is not newer than the last one.
    pub fn apply_list(&self, list: SuspicionList) {
        self.suspicions.borrow_mut().apply_list(list, self.platform.monotonic());
    }

    /// Waits until this relay's evidence about `work` is committed, for at most `MAX_EVIDENCE_WAIT`.
    pub async fn wait_for_commit(&self, work: &WorkDigest) {
        let is_waiting = || self.suspicions.borrow().evidence().losses.iter().any(|loss| loss.work == *work);
        let committed = async {
            while is_waiting() {
                self.evidence_reported.changed(self.evidence_reported.count()).await;
            }
        };
        // After the timeout the caller continues without the commit.
        let _ = timeout(&self.platform, MAX_EVIDENCE_WAIT, committed).await;
    }
}

/// The trial lease of a relay's request for suspected work.
pub type RelayTrial<P> = TrialLeaseGuard<P, ControlClient<P>>;

impl<P: Runtime> TrialLeaseService for ControlClient<P> {
    async fn begin(&self, request: TrialRequest) -> Result<TrialResult, CallFailure> {
        let request = GatewayRequest::BeginTrial(request);
        match self.gateway(request, TRIAL_REQUEST_TIMEOUT, TRIAL_REQUEST_TIMEOUT).await {
            Ok(GatewayReply::Trial(answer)) => Ok(answer),
            // A group of older builds has no trial leases: work runs as if it were not suspected.
            Err(GatewayError::NotUnderstood) => Ok(TrialResult::Granted),
            other => Err(format!("{other:?}")),
        }
    }

    async fn renew(&self, trials: Vec<HeldTrial>) -> Result<Vec<HeldTrial>, CallFailure> {
        match self.gateway(GatewayRequest::RenewTrials(trials), TRIAL_RENEWAL, TRIAL_RENEWAL).await {
            Ok(GatewayReply::TrialsLost(lost)) => Ok(lost),
            Err(GatewayError::NotUnderstood) => Ok(Vec::new()),
            other => Err(format!("{other:?}")),
        }
    }

    async fn end(&self, trial: HeldTrial) -> Result<(), CallFailure> {
        let HeldTrial { work, id } = trial;
        let answer = self.gateway(GatewayRequest::EndTrial { work, id }, REPORT_TIMEOUT, REPORT_TIMEOUT).await;
        answer.map(|_| ()).map_err(|error| format!("{error:?}"))
    }
}

/// Reports evidence to the control group until the process ends.
async fn report_evidence<P: Runtime>(sync: Rc<SuspicionSync<P>>) {
    loop {
        let notified_count = sync.evidence_added.count();
        let evidence = sync.suspicions.borrow().evidence().clone();
        if evidence.is_empty() {
            sync.evidence_added.changed(notified_count).await;
            continue;
        }
        let request = GatewayRequest::ReportEvidence(evidence.clone());
        match sync.control.gateway(request, REPORT_TIMEOUT, REPORT_TIMEOUT).await {
            Ok(GatewayReply::Suspicions(list)) => {
                sync.suspicions.borrow_mut().remove_committed(&evidence);
                sync.apply_list(list);
                sync.evidence_reported.notify();
            }
            Err(GatewayError::NotUnderstood) => {
                spdlog::info!("evidence discarded, leader runs an older build", kv: { losses = evidence.losses.len() });
                sync.suspicions.borrow_mut().remove_committed(&evidence);
                sync.evidence_reported.notify();
            }
            other => {
                spdlog::warn!("evidence not delivered, will retry", kv: {
                    losses = evidence.losses.len(), reason = format!("{other:?}").as_str()
                });
                sync.platform.sleep(RETRY_PAUSE).await;
            }
        }
    }
}
