//! Limits and rejects requests whose work is suspected of crashing engines.

use crate::gateway::Gateway;
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::ClientRequest;

use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, TRIAL_RETRY_AFTER, Verdict};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// A request to be checked for suspected work.
#[derive(Clone, Copy)]
pub(crate) struct SuspectRequest<'a> {
    pub request: &'a ClientRequest,
    pub work: &'a RequestedWork,
    /// Deadline in monotonic time.
    pub deadline: Duration,
}

impl Gateway {
    /// Number of engines known to have terminated while they ran the request's work.
    pub(crate) fn engines_terminated(&self, request: &ClientRequest, work: &RequestedWork) -> usize {
        self.inner.suspicions.engines_terminated(|| work.digest(request))
    }

    /// Whether the relay may send a request to `instance` now. Suspected work also needs a valid trial lease.
    pub(crate) fn may_send_work(&self, suspect: &SuspectRequest<'_>, instance: &InstanceId) -> bool {
        let work = suspect.work;
        let verdict = self.inner.suspicions.verdict(|| work.digest(suspect.request));
        let may_run = work.has_trial() || self.engines_terminated(suspect.request, work) == 0;
        verdict == Verdict::Send && may_run && self.may_send(instance)
    }

    /// Checks the request's work for suspicion and acquires a trial lease if needed. `may_have_run` says whether an
    /// earlier attempt of the request may have executed.
    ///
    /// Suspected work runs on one engine at a time across all relays, which acquire the trial lease one after the
    /// other. Concurrent attempts could crash several engines before the first result is known.
    pub(crate) async fn check_suspicion(
        &self,
        suspect: &SuspectRequest<'_>,
        may_have_run: bool,
    ) -> Result<(), Refusal> {
        let SuspectRequest { request, work, deadline } = *suspect;
        let digest = || work.digest(request);
        let mut pause = match self.inner.suspicions.verdict(digest) {
            Verdict::Quarantine => return Err(self.reject_suspected_work(suspect, Refusal::Quarantined)),
            Verdict::Pause(remaining) => Some(remaining),
            Verdict::Send if self.engines_terminated(request, work) == 0 => return Ok(()),
            Verdict::Send => None,
        };
        if pause.is_none() && !work.has_trial() {
            let remaining = deadline.saturating_sub(self.now());
            match self.inner.suspicions.begin_trial(work.digest(request), remaining).await {
                Some(trial) => work.set_trial(trial),
                None => pause = Some(TRIAL_RETRY_AFTER),
            }
        }
        match pause {
            None => Ok(()),
            Some(_) if may_have_run => Err(self.reject_suspected_work(suspect, Refusal::EngineFailed)),
            Some(remaining) => Err(self.reject_suspected_work(suspect, Refusal::Suspected(remaining))),
        }
    }

    /// Counts and logs a rejection of suspected work.
    fn reject_suspected_work(&self, suspect: &SuspectRequest<'_>, refusal: Refusal) -> Refusal {
        let SuspectRequest { request, work, .. } = *suspect;
        let pause = if let Refusal::Suspected(remaining) = refusal { remaining } else { Duration::ZERO };
        self.inner.metrics.suspected_work_rejected.inc();
        spdlog::warn!("suspected work rejected", kv: {
            request = request.id.as_str(),
            work = work.digest(request).to_hexadecimal().as_str(),
            engines_ended = self.engines_terminated(request, work),
            pause_ms = pause.as_millis() as u64,
            suspicion_revision = self.inner.suspicions.revision()
        });
        refusal
    }

    /// Reports that an engine terminated during a request.
    pub(crate) fn record_engine_loss(&self, work: WorkDigest, instance: &InstanceId) {
        self.inner.suspicions.record_loss(EngineLoss { work, instance: instance.clone() });
    }

    /// Reports that an engine completed a request.
    pub(crate) fn record_served(&self, request: &ClientRequest, work: &RequestedWork) {
        self.inner.suspicions.record_served(|| work.digest(request));
    }
}
