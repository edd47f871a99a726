//! Looks into connections that engines have lost under an item or a call for a score.

use crate::coordinator::Coordinator;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::job::ItemId;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::EngineTarget;

impl<B: Backends> Coordinator<B> {
    /// Finds out whether the engine at `target` has ended under work that belongs to an item, and says so.
    pub(crate) async fn look_into_lost_connection(&self, item: &ItemId, work: WorkDigest, target: &EngineTarget) {
        let ended = self.inner.pool.has_ended(target).await;
        if ended {
            self.inner.metrics.engines_ended.inc();
        }
        spdlog::warn!("connection lost under an item", kv: {
            item = item.0.as_str(),
            work = work.shown().as_str(),
            instance = target.instance.0.as_str(),
            engine_ended = ended
        });
    }
}
