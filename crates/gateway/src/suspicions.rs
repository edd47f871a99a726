//! Keeps requests from engines whose work has ended other engines.

use crate::gateway::Gateway;
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use saddlerelay_control_client::suspicions::Verdict;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, TRIAL_RETRY_AFTER};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// A request that may be suspected work, on its way to an engine.
#[derive(Clone, Copy)]
pub(crate) struct SuspectRequest<'a> {
    pub request: &'a ClientRequest,
    pub work: &'a RequestedWork,
    /// When the request is over.
    pub limit: Duration,
}

impl Gateway {
    /// How many engines have ended under a request's work, as far as this relay knows.
    pub(crate) fn engines_ended(&self, request: &ClientRequest, work: &RequestedWork) -> usize {
        self.inner.suspicions.engines_ended(|| work.digest(request))
    }

    /// Whether the relay may send a request to `instance` at this moment, by what is known of both.
    pub(crate) fn may_send_work(&self, suspect: &SuspectRequest<'_>, instance: &InstanceId) -> bool {
        let work = suspect.work;
        let verdict = self.inner.suspicions.verdict(|| work.digest(suspect.request));
        let alone = work.has_trial() || self.engines_ended(suspect.request, work) == 0;
        verdict == Verdict::Send && alone && self.may_send(instance)
    }

    /// Refuses a request whose work is not to be sent on now. `may_have_run` tells whether this try of it may have run.
    ///
    /// Once an engine has ended under it, work runs at one engine at a time, at whatever relay. Two tries at two engines at
    /// once would both end their engine before either shows what the work does.
    pub(crate) async fn check_suspicion(
        &self,
        suspect: &SuspectRequest<'_>,
        may_have_run: bool,
    ) -> Result<(), Refusal> {
        let SuspectRequest { request, work, limit } = *suspect;
        let digest = || work.digest(request);
        let mut pause = match self.inner.suspicions.verdict(digest) {
            Verdict::Quarantine => return Err(self.keep_from_engines(suspect, Refusal::Quarantined)),
            Verdict::Pause(left) => Some(left),
            Verdict::Send if self.engines_ended(request, work) == 0 => return Ok(()),
            Verdict::Send => None,
        };
        if pause.is_none() && !work.has_trial() {
            let left = limit.saturating_sub(self.now());
            match self.inner.suspicions.begin_trial(work.digest(request), left).await {
                Some(trial) => work.hold_trial(trial),
                None => pause = Some(TRIAL_RETRY_AFTER),
            }
        }
        match pause {
            None => Ok(()),
            Some(_) if may_have_run => Err(self.keep_from_engines(suspect, Refusal::EngineFailed)),
            Some(left) => Err(self.keep_from_engines(suspect, Refusal::Suspected(left))),
        }
    }

    /// Counts and tells a refusal for the sake of engines.
    fn keep_from_engines(&self, suspect: &SuspectRequest<'_>, refusal: Refusal) -> Refusal {
        let SuspectRequest { request, work, .. } = *suspect;
        let pause = if let Refusal::Suspected(left) = refusal { left } else { Duration::ZERO };
        self.inner.metrics.kept_from_engines.inc();
        spdlog::warn!("suspected work not sent on", kv: {
            request = request.id.as_str(),
            work = work.digest(request).to_hexadecimal().as_str(),
            engines_ended = self.engines_ended(request, work),
            pause_ms = pause.as_millis() as u64,
            suspicion_revision = self.inner.suspicions.revision()
        });
        refusal
    }

    /// An engine has ended under a request.
    pub(crate) fn note_engine_loss(&self, work: WorkDigest, instance: &InstanceId) {
        self.inner.suspicions.note_loss(EngineLoss { work, instance: instance.clone() });
    }

    /// An engine has served a request to its end.
    pub(crate) fn note_served(&self, request: &ClientRequest, work: &RequestedWork) {
        self.inner.suspicions.note_served(|| work.digest(request));
    }
}
