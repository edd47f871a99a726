//! Commits results, gathered for a moment.

use crate::coordinator::Coordinator;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::GatewayCommand;
use saddlerelay_types::job::{ItemResult, JobId};
use std::time::Duration;

/// How long results are gathered.
const GATHER: Duration = Duration::from_millis(4);

/// Pause before results that were not taken are proposed again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Most bytes of text in one command.
const COMMAND_BYTES: usize = 256 * 1024;

impl<B: Backends> Coordinator<B> {
    /// Has a result committed.
    pub(crate) fn list(&self, job: &JobId, result: ItemResult) {
        self.inner.results.borrow_mut().entry(job.clone()).or_default().push(result);
        self.inner.results_waiting.notify();
    }
}

/// Commits results until the process ends.
pub(crate) async fn list_results<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        let seen = inner.results_waiting.count();
        if inner.results.borrow().is_empty() {
            inner.results_waiting.changed(seen).await;
        }
        inner.runtime.sleep(GATHER).await;
        let waiting = std::mem::take(&mut *inner.results.borrow_mut());
        for (job, results) in waiting {
            for part in parts(results) {
                commit(&coordinator, &job, part).await;
            }
        }
    }
}

/// Cuts results into commands of a bounded size.
fn parts(results: Vec<ItemResult>) -> Vec<Vec<ItemResult>> {
    let mut parts: Vec<Vec<ItemResult>> = Vec::new();
    let mut bytes = COMMAND_BYTES;
    for result in results {
        if bytes >= COMMAND_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += result.text.len();
        if let Some(part) = parts.last_mut() {
            part.push(result);
        }
    }
    parts
}

/// Commits a part. What is not committed because leadership was lost is run again by the next leader.
async fn commit<B: Backends>(coordinator: &Coordinator<B>, job: &JobId, results: Vec<ItemResult>) {
    let count = results.len();
    loop {
        let command = GatewayCommand::ListResults { job: job.clone(), results: results.clone() };
        match coordinator.inner.node.commit_gateway(command).await {
            Ok(outcome) => {
                spdlog::info!("results listed", kv: {
                    job = job.0.as_str(), results = count, outcome = format!("{outcome:?}").as_str()
                });
                return;
            }
            Err(ProposeError::Overloaded) => coordinator.inner.runtime.sleep(RETRY_PAUSE).await,
            Err(error) => {
                spdlog::warn!("results not listed", kv: {
                    job = job.0.as_str(), results = count, reason = format!("{error:?}").as_str()
                });
                return;
            }
        }
    }
}
