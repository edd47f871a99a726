//! Checks after a lost connection whether the engine process has terminated or has only closed the connection.

use crate::gateway::Gateway;
use crate::request::ClientRequest;
use bytes::Bytes;
use saddlerelay_control_client::suspicions::RelayTrial;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;
use std::cell::{OnceCell, RefCell};

/// The work that a request asks for, identified by a digest of caller, method, host, path and body. The digest is
/// computed on first use.
pub(crate) struct RequestedWork {
    body: Bytes,
    digest: OnceCell<WorkDigest>,
    /// The trial lease for suspected work, held until the request ends.
    trial: RefCell<Option<RelayTrial<CompioRuntime>>>,
}

impl RequestedWork {
    /// The work of a request with body `body`.
    pub fn new(body: Bytes) -> Self {
        Self { body, digest: OnceCell::new(), trial: RefCell::default() }
    }

    /// Whether this request holds a valid trial lease for its suspected work.
    pub fn has_trial(&self) -> bool {
        self.trial.borrow().as_ref().is_some_and(RelayTrial::is_held)
    }

    /// Stores the trial lease that this request acquired.
    pub fn set_trial(&self, trial: RelayTrial<CompioRuntime>) {
        self.trial.replace(Some(trial));
    }

    /// The work digest of `request`; cached after the first call.
    pub fn digest(&self, request: &ClientRequest) -> WorkDigest {
        *self.digest.get_or_init(|| request.work_digest(&self.body))
    }
}

impl Gateway {
    /// Checks whether the engine at `target` terminated during a request, and reports the loss to the control group.
    pub(crate) async fn check_lost_connection(
        &self,
        request: &ClientRequest,
        work: &RequestedWork,
        target: &EngineTarget,
    ) {
        let has_terminated = self.inner.termination_checks.has_terminated(target.address).await;
        // An engine that was not ready is assumed to have been shut down.
        let is_reported = has_terminated && self.is_engine_ready(&target.instance);
        if has_terminated {
            self.inner.metrics.engines_terminated.inc();
        }
        if is_reported {
            self.record_engine_loss(work.digest(request), &target.instance);
        }
        spdlog::warn!("engine connection lost during a request", kv: {
            request = request.id.as_str(),
            work = work.digest(request).log_prefix().as_str(),
            instance = target.instance.name.as_str(),
            engine_ended = has_terminated,
            counts = is_reported,
            engines_ended = self.engines_terminated(request, work)
        });
        if is_reported {
            // The control group's reply contains losses reported by other relays. They are applied before this relay
            // or the client retries.
            self.inner.suspicions.wait_for_commit(&work.digest(request)).await;
        }
    }
}
