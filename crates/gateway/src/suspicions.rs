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

/// The knowledge. Empty on a calm day.
#[derive(Debug, Default)]
pub struct Suspicions {
    revision: u64,
    /// What the group has told.
    told: BTreeMap<WorkDigest, Vec<InstanceId>>,
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
        self.told.is_empty() && self.evidence.losses.is_empty()
    }

    /// How many kinds of work the group has told of.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// How many engines have ended under `work` since it was last served.
    pub fn engines_ended(&self, work: &WorkDigest) -> usize {
        let told = self.told.get(work).into_iter().flatten();
        let seen = self.evidence.losses.iter().filter(|loss| loss.work == *work).map(|loss| &loss.instance);
        told.chain(seen).collect::<BTreeSet<_>>().len()
    }

    /// Whether `work` is to be sent to no engine.
    pub fn is_quarantined(&self, work: &WorkDigest) -> bool {
        self.engines_ended(work) >= MOST_ENGINES_ENDED
    }

    /// An engine has ended under work.
    pub fn note_loss(&mut self, loss: EngineLoss) {
        let losses = &mut self.evidence.losses;
        if losses.len() < LOSSES_KEPT && !losses.contains(&loss) {
            losses.push(loss);
        }
    }

    /// An engine has served work; returns whether it was suspected.
    pub fn note_served(&mut self, work: &WorkDigest) -> bool {
        if self.engines_ended(work) == 0 {
            return false;
        }
        self.evidence.losses.retain(|loss| loss.work != *work);
        if self.told.remove(work).is_some() {
            self.evidence.served.push(*work);
        }
        true
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

    /// Takes the group's list, unless a newer one is held.
    pub fn take(&mut self, list: SuspicionList) {
        if list.revision > self.revision {
            self.revision = list.revision;
            self.told = list.suspicions.into_iter().map(|suspicion| (suspicion.work, suspicion.engines)).collect();
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

    /// Refuses a request whose work is to be sent to no engine.
    pub(crate) fn check_quarantine(&self, request: &ClientRequest, work: &RequestedWork) -> Result<(), Refusal> {
        let engines_ended = self.engines_ended(request, work);
        if engines_ended < MOST_ENGINES_ENDED {
            return Ok(());
        }
        self.inner.metrics.quarantined.inc();
        spdlog::warn!("work in quarantine", kv: {
            request = request.id.as_str(),
            work = work.digest(request).to_hexadecimal().as_str(),
            engines_ended = engines_ended,
            suspicion_revision = self.inner.suspicions.borrow().revision()
        });
        Err(Refusal::Quarantined)
    }

    /// An engine has ended under a request.
    pub(crate) fn note_engine_loss(&self, work: WorkDigest, instance: &InstanceId) {
        self.inner.suspicions.borrow_mut().note_loss(EngineLoss { work, instance: instance.clone() });
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
                suspicions.take(list);
                suspicions.handed_over(&evidence);
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
