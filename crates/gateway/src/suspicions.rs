//! What a relay knows of work under which engines have ended: what the control group has told, and what the relay has seen
//! itself and not handed over yet.

use crate::gateway::Gateway;
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, MOST_ENGINES_ENDED, SuspicionList, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest time to hand evidence over before it is tried again.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause after evidence could not be handed over.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long the failure of suspected work is held back until the group has the evidence, so that the client does not meet a
/// relay that knows nothing of it: some times as long as a commit takes.
const KNOWN_TO_GROUP_LIMIT: Duration = Duration::from_millis(100);

/// Losses that wait to be handed over; more than engines can end while no leader is to be found.
const LOSSES_KEPT: usize = 1_024;

/// What is to be done with a request, by what is known of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent on.
    Send,
    /// It is not sent on for so long.
    Pause(Duration),
    /// It is sent to no engine.
    Quarantine,
}

/// Suspected work.
#[derive(Debug, Default)]
struct Suspect {
    engines: BTreeSet<InstanceId>,
    /// When this relay learned of the last of them, by its own clock.
    learned_at: Duration,
}

impl Suspect {
    fn learn(&mut self, engine: InstanceId, now: Duration) {
        if self.engines.insert(engine) {
            self.learned_at = now;
        }
    }
}

/// The knowledge. Empty on a calm day.
#[derive(Debug, Default)]
pub struct Suspicions {
    revision: u64,
    /// What the group has told and what this relay has seen.
    suspects: BTreeMap<WorkDigest, Suspect>,
    /// What is not handed over yet.
    evidence: WorkEvidence,
}

impl Suspicions {
    /// The revision of the group's list that is held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether no work is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many kinds of work are suspected.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// How many engines have ended under `work` since it was last served.
    pub fn engines_ended(&self, work: &WorkDigest) -> usize {
        self.suspects.get(work).map_or(0, |suspect| suspect.engines.len())
    }

    /// What is to be done with a request for `work` at `now`.
    ///
    /// Work that one engine more would quarantine is sent to none for `last_trial_pause`: the engines that have ended are
    /// back then, and its last trial does not take the last engine.
    pub fn verdict(&self, work: &WorkDigest, now: Duration, last_trial_pause: Duration) -> Verdict {
        let Some(suspect) = self.suspects.get(work) else {
            return Verdict::Send;
        };
        let left = (suspect.learned_at + last_trial_pause).saturating_sub(now);
        match suspect.engines.len() {
            ended if ended >= MOST_ENGINES_ENDED => Verdict::Quarantine,
            ended if ended + 1 == MOST_ENGINES_ENDED && !left.is_zero() => Verdict::Pause(left),
            _ => Verdict::Send,
        }
    }

    /// An engine has ended under work, as this relay has seen at `now`.
    pub fn note_loss(&mut self, loss: EngineLoss, now: Duration) {
        if self.evidence.losses.len() >= LOSSES_KEPT || self.evidence.losses.contains(&loss) {
            return;
        }
        self.suspects.entry(loss.work).or_default().learn(loss.instance.clone(), now);
        self.evidence.losses.push(loss);
    }

    /// An engine has served work; returns whether it was suspected.
    pub fn note_served(&mut self, work: &WorkDigest) -> bool {
        let suspected = self.suspects.remove(work).is_some();
        if suspected {
            self.evidence.losses.retain(|loss| loss.work != *work);
            self.evidence.served.push(*work);
        }
        suspected
    }

    /// What is not handed over yet.
    pub fn evidence(&self) -> &WorkEvidence {
        &self.evidence
    }

    /// The group has taken this evidence.
    pub fn handed_over(&mut self, taken: &WorkEvidence) {
        self.evidence.losses.retain(|loss| !taken.losses.contains(loss));
        self.evidence.served.retain(|work| !taken.served.contains(work));
    }

    /// Takes the group's list at `now`, unless a newer one is held.
    pub fn take(&mut self, list: SuspicionList, now: Duration) {
        if list.revision <= self.revision {
            return;
        }
        self.revision = list.revision;
        let mut before = std::mem::take(&mut self.suspects);
        for suspicion in list.suspicions {
            let mut suspect = before.remove(&suspicion.work).unwrap_or_default();
            suspect.engines.retain(|engine| suspicion.engines.contains(engine));
            suspicion.engines.into_iter().for_each(|engine| suspect.learn(engine, now));
            self.suspects.insert(suspicion.work, suspect);
        }
        for work in &self.evidence.served {
            self.suspects.remove(work);
        }
        for loss in &self.evidence.losses {
            let at = before.get(&loss.work).map_or(now, |suspect| suspect.learned_at);
            self.suspects.entry(loss.work).or_default().learn(loss.instance.clone(), at);
        }
    }
}

/// Evidence on its way to the group.
#[derive(Default)]
pub(crate) struct EvidenceSignals {
    /// There is evidence to hand over.
    pub waiting: Signal,
    /// Evidence has been handed over.
    pub handed_over: Signal,
}

impl Gateway {
    /// How many engines have ended under a request's work, as far as this relay knows.
    pub(crate) fn engines_ended(&self, request: &ClientRequest, work: &RequestedWork) -> usize {
        let suspicions = self.inner.suspicions.borrow();
        if suspicions.is_empty() { 0 } else { suspicions.engines_ended(&work.digest(request)) }
    }

    /// What is to be done with a request at this moment, by what is known of its work.
    pub(crate) fn verdict(&self, request: &ClientRequest, work: &RequestedWork) -> Verdict {
        let suspicions = self.inner.suspicions.borrow();
        if suspicions.is_empty() {
            return Verdict::Send;
        }
        suspicions.verdict(&work.digest(request), self.now(), self.inner.options.config.last_trial_pause)
    }

    /// Refuses a request whose work is not to be sent on now. `may_have_run` tells whether this try of it may have run.
    pub(crate) fn check_suspicion(
        &self,
        request: &ClientRequest,
        work: &RequestedWork,
        may_have_run: bool,
    ) -> Result<(), Refusal> {
        let (refusal, pause) = match self.verdict(request, work) {
            Verdict::Send => return Ok(()),
            Verdict::Quarantine => (Refusal::Quarantined, Duration::ZERO),
            Verdict::Pause(left) if may_have_run => (Refusal::EngineFailed, left),
            Verdict::Pause(left) => (Refusal::Suspected(left), left),
        };
        self.inner.metrics.kept_from_engines.inc();
        spdlog::warn!("suspected work not sent on", kv: {
            request = request.id.as_str(),
            work = work.digest(request).to_hexadecimal().as_str(),
            engines_ended = self.engines_ended(request, work),
            pause_ms = pause.as_millis() as u64,
            suspicion_revision = self.inner.suspicions.borrow().revision()
        });
        Err(refusal)
    }

    /// An engine has ended under a request.
    pub(crate) fn note_engine_loss(&self, work: WorkDigest, instance: &InstanceId) {
        self.inner.suspicions.borrow_mut().note_loss(EngineLoss { work, instance: instance.clone() }, self.now());
        self.inner.evidence_signals.waiting.notify();
    }

    /// An engine has served a request to its end.
    pub(crate) fn note_served(&self, request: &ClientRequest, work: &RequestedWork) {
        let mut suspicions = self.inner.suspicions.borrow_mut();
        if !suspicions.is_empty() && suspicions.note_served(&work.digest(request)) {
            self.inner.evidence_signals.waiting.notify();
        }
    }

    /// Waits until the group knows what this relay has seen of a request's work, but not for long.
    pub(crate) async fn await_known_to_group(&self, request: &ClientRequest, work: &RequestedWork) {
        let is_waiting = || {
            let suspicions = self.inner.suspicions.borrow();
            let losses = &suspicions.evidence().losses;
            !losses.is_empty() && losses.iter().any(|loss| loss.work == work.digest(request))
        };
        let handed_over = &self.inner.evidence_signals.handed_over;
        let known = async {
            while is_waiting() {
                handed_over.changed(handed_over.count()).await;
            }
        };
        // Without the group, the client is told all the same.
        let _ = timeout(&self.inner.runtime, KNOWN_TO_GROUP_LIMIT, known).await;
    }
}

/// Hands evidence over to the control group until the process ends.
pub(crate) async fn hand_over(gateway: Gateway) {
    let inner = &gateway.inner;
    loop {
        let seen = inner.evidence_signals.waiting.count();
        let evidence = inner.suspicions.borrow().evidence().clone();
        if evidence.is_empty() {
            inner.evidence_signals.waiting.changed(seen).await;
            continue;
        }
        let request = GatewayRequest::TakeEvidence(evidence.clone());
        match inner.control.gateway(request, HAND_OVER_LIMIT, HAND_OVER_LIMIT).await {
            Ok(GatewayReply::Suspicions(list)) => {
                let mut suspicions = inner.suspicions.borrow_mut();
                suspicions.handed_over(&evidence);
                suspicions.take(list, inner.runtime.monotonic());
                drop(suspicions);
                inner.evidence_signals.handed_over.notify();
            }
            other => {
                spdlog::warn!("evidence not handed over", kv: {
                    losses = evidence.losses.len(), reason = format!("{other:?}").as_str()
                });
                inner.runtime.sleep(RETRY_PAUSE).await;
            }
        }
    }
}
