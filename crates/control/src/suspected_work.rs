//! Answers about work under which engines have ended.

use crate::node::ControlNode;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayReply};
use saddlerelay_types::protocol::ControlReply;
use saddlerelay_types::suspicion::WorkEvidence;
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
            Err(ProposeError::NotLeader(_)) => self.not_leader(),
            Err(ProposeError::Overloaded) => ControlReply::Gateway(GatewayReply::Unavailable),
            Err(ProposeError::Undecided) => ControlReply::Undecided,
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
