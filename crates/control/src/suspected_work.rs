//! Answers about work under which engines have ended.

use crate::node::ControlNode;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome, GatewayReply, TrialRequest};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::suspicion::{TrialAnswer, WorkEvidence};
use saddlerelay_types::work::WorkDigest;

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// Commits evidence if it is news, and logs what it comes to.
    pub async fn commit_evidence(&self, evidence: WorkEvidence) -> Result<(), ProposeError> {
        let is_news = self.read(|state| state.suspicions.is_news(&evidence));
        if is_news == Some(false) {
            return Ok(());
        }
        let told = evidence.clone();
        self.commit_gateway(GatewayCommand::TakeEvidence(evidence)).await?;
        self.tell_evidence(&told);
        Ok(())
    }

    /// Asks for the right to run suspected work. A refusal is told with who holds the right, one line for many.
    pub async fn begin_trial(&self, request: TrialRequest) -> Result<TrialAnswer, ProposeError> {
        let outcome = self.commit_gateway(GatewayCommand::BeginTrial(request)).await?;
        if outcome == GatewayOutcome::Trial(TrialAnswer::Granted) {
            return Ok(TrialAnswer::Granted);
        }
        self.tell_refused_trial(&request);
        Ok(TrialAnswer::Taken)
    }

    fn tell_refused_trial(&self, request: &TrialRequest) {
        let now = self.inner.platform.monotonic();
        let Some(refused) = self.inner.refused_trials.borrow_mut().count(now) else {
            return;
        };
        let unix_ms = self.inner.platform.unix_milliseconds();
        let (right, held) = self.read_applied(|state| {
            let suspicions = &state.suspicions;
            (suspicions.trial(&request.work), suspicions.trials_held())
        });
        let (holder, number, left_ms) =
            right.map_or((0, 0, 0), |(id, until)| (id.holder.0, id.number, until.saturating_sub(unix_ms)));
        spdlog::warn!("trial of suspected work refused", kv: {
            work = request.work.shown().as_str(),
            asked_by = request.id.holder.0,
            held_by = holder,
            number = number,
            left_ms = left_ms,
            refused = refused,
            rights_held = held
        });
    }

    pub(crate) async fn answer_trial(&self, request: TrialRequest) -> ControlReply {
        match self.begin_trial(request).await {
            Ok(answer) => ControlReply::Gateway(GatewayReply::Trial(answer)),
            Err(error) => self.not_committed(&error),
        }
    }

    fn tell_evidence(&self, evidence: &WorkEvidence) {
        for loss in &evidence.losses {
            let (engines, quarantined) = self.read_applied(|state| {
                let suspicion = state.suspicions.get(&loss.work);
                suspicion.map_or((0, false), |suspicion| (suspicion.engines.len(), suspicion.is_quarantined()))
            });
            spdlog::warn!("engine ended under work", kv: {
                work = loss.work.to_hexadecimal().as_str(),
                instance = loss.instance.name.as_str(),
                engines_ended = engines,
                quarantined = quarantined
            });
        }
        for work in &evidence.served {
            spdlog::info!("suspected work served", kv: { work = work.to_hexadecimal().as_str() });
        }
    }

    /// Takes a relay's evidence; the answer is the list as it is then.
    pub(crate) async fn take_evidence(&self, evidence: WorkEvidence) -> ControlReply {
        match self.commit_evidence(evidence).await {
            Ok(()) => self.read_suspicions(),
            Err(error) => self.not_committed(&error),
        }
    }

    pub(crate) fn read_suspicions(&self) -> ControlReply {
        self.reply(self.read(|state| GatewayReply::Suspicions(state.suspicions.list())))
    }

    pub(crate) async fn release_work(&self, work: WorkDigest) -> ControlReply {
        spdlog::warn!("work released by an operator", kv: { work = work.to_hexadecimal().as_str() });
        self.execute_gateway(GatewayCommand::ReleaseWork(work)).await
    }
}
