//! Keeps requests from engines whose work has ended other engines.

use crate::gateway::Gateway;
use crate::lost_connections::RequestedWork;
use crate::refusal::Refusal;
use crate::request::ClientRequest;
use saddlerelay_control_client::suspicions::Verdict;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::EngineLoss;
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

impl Gateway {
    /// How many engines have ended under a request's work, as far as this relay knows.
    pub(crate) fn engines_ended(&self, request: &ClientRequest, work: &RequestedWork) -> usize {
        self.inner.suspicions.engines_ended(|| work.digest(request))
    }

    /// Whether the relay may send a request to `instance` at this moment, by what is known of both.
    pub(crate) fn may_send_work(&self, request: &ClientRequest, work: &RequestedWork, instance: &InstanceId) -> bool {
        let verdict = self.inner.suspicions.verdict(|| work.digest(request));
        verdict == Verdict::Send && self.may_send(instance)
    }

    /// Refuses a request whose work is not to be sent on now. `may_have_run` tells whether this try of it may have run.
    pub(crate) fn check_suspicion(
        &self,
        request: &ClientRequest,
        work: &RequestedWork,
        may_have_run: bool,
    ) -> Result<(), Refusal> {
        let (refusal, pause) = match self.inner.suspicions.verdict(|| work.digest(request)) {
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
            suspicion_revision = self.inner.suspicions.revision()
        });
        Err(refusal)
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
