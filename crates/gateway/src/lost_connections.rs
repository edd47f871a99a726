//! Looks into connections that engines have lost under a request: an engine may have closed one, or may have ended.

use crate::gateway::Gateway;
use crate::request::ClientRequest;
use bytes::Bytes;
use saddlerelay_control_client::suspicions::RelayTrial;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;
use std::cell::{OnceCell, RefCell};

/// What a request asks for. Its digest is made only when something asks for it: on a calm day, never.
pub(crate) struct RequestedWork {
    body: Bytes,
    digest: OnceCell<WorkDigest>,
    /// The right to run it, once it is suspected; held until the request is over.
    trial: RefCell<Option<RelayTrial<CompioRuntime>>>,
}

impl RequestedWork {
    /// The work of a request with this body.
    pub fn new(body: Bytes) -> Self {
        Self { body, digest: OnceCell::new(), trial: RefCell::default() }
    }

    /// Whether this request is the one try of the work that may run.
    pub fn has_trial(&self) -> bool {
        self.trial.borrow().as_ref().is_some_and(RelayTrial::holds)
    }

    /// This request is the one try of the work that may run.
    pub fn hold_trial(&self, trial: RelayTrial<CompioRuntime>) {
        self.trial.replace(Some(trial));
    }

    /// The digest of the work of `request`, always the same one.
    pub fn digest(&self, request: &ClientRequest) -> WorkDigest {
        *self.digest.get_or_init(|| request.work_digest(&self.body))
    }
}

impl Gateway {
    /// Finds out whether the engine at `target` has ended under a request, and says so.
    pub(crate) async fn look_into_lost_connection(
        &self,
        request: &ClientRequest,
        work: &RequestedWork,
        target: &EngineTarget,
    ) {
        let ended = self.inner.ended_checks.has_ended(target.address).await;
        // One that was leaving has ended for a reason of its own.
        let counts = ended && self.sends_to(&target.instance);
        if ended {
            self.inner.metrics.engines_ended.inc();
        }
        if counts {
            self.note_engine_loss(work.digest(request), &target.instance);
        }
        spdlog::warn!("connection lost under a request", kv: {
            request = request.id.as_str(),
            work = work.digest(request).shown().as_str(),
            instance = target.instance.name.as_str(),
            engine_ended = ended,
            counts = counts,
            engines_ended = self.engines_ended(request, work)
        });
        if counts {
            // What other relays have seen meanwhile comes with the group's answer, before another engine is tried or the
            // client is told and comes again elsewhere.
            self.inner.suspicions.await_known_to_group(&work.digest(request)).await;
        }
    }
}
