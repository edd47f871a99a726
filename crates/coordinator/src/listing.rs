//! Commits results, gathered for a moment, and now and then the texts of items that still run.

use crate::coordinator::Coordinator;
use crate::job_run::Phase;
use crate::text::ItemText;
use futures::future::join_all;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome};
use saddlerelay_types::job::{ItemOutcome, JobId, TextPart};
use std::time::Duration;

/// How long results are gathered.
const GATHER: Duration = Duration::from_millis(4);

/// Pause before results that were not taken are proposed again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Most bytes of text in one command.
const COMMAND_BYTES: usize = 128 * 1024;

/// Fewest bytes of a running item's text that are kept by themselves.
const LEAST_PART_BYTES: usize = 2 * 1024;

impl<B: Backends> Coordinator<B> {
    /// Has an item's outcome committed.
    pub(crate) fn list(&self, job: &JobId, outcome: ItemOutcome) {
        self.inner.outcomes.borrow_mut().entry(job.clone()).or_default().push(outcome);
        self.inner.outcomes_waiting.notify();
    }

    /// What the group does not hold of running items' texts.
    fn unsaved_parts(&self) -> Vec<(JobId, Vec<TextPart>)> {
        let jobs = self.inner.jobs.borrow();
        let unsaved = jobs.iter().map(|(id, run)| {
            let not_ended = run.items.iter().enumerate().filter(|(_, item)| !matches!(item.phase, Phase::Ended));
            let parts = not_ended.filter_map(|(index, item)| {
                let text = item.text.borrow();
                // The next leader need not have a whole text made again before it can be scored.
                let worth_keeping = text.unsaved_bytes() >= LEAST_PART_BYTES || text.is_unsaved_as_whole();
                worth_keeping.then(|| text.unsaved_part(index as u32))
            });
            (id.clone(), parts.collect::<Vec<_>>())
        });
        unsaved.filter(|(_, parts)| !parts.is_empty()).collect()
    }

    fn mark_saved(&self, job: &JobId, parts: &[TextPart]) {
        let jobs = self.inner.jobs.borrow();
        let Some(run) = jobs.get(job) else {
            return;
        };
        for part in parts {
            if let Some(item) = run.items.get(part.item as usize) {
                item.text.borrow_mut().mark_saved(part);
            }
        }
    }
}

/// Commits results until the process ends.
pub(crate) async fn list_results<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        let seen = inner.outcomes_waiting.count();
        if inner.outcomes.borrow().is_empty() {
            inner.outcomes_waiting.changed(seen).await;
        }
        inner.runtime.sleep(GATHER).await;
        let waiting = std::mem::take(&mut *inner.outcomes.borrow_mut());
        let parts = waiting.into_iter().flat_map(|(job, outcomes)| {
            let parts = in_commands(outcomes, |outcome| outcome.rest.data.len());
            parts.into_iter().map(move |part| (job.clone(), part))
        });
        // All are proposed at once: the log takes them in few writes.
        join_all(parts.map(|(job, part)| commit(&coordinator, job, part))).await;
    }
}

/// Keeps the texts of running items until the process ends, so that the next leader goes on where this one stops.
pub(crate) async fn keep_texts<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        inner.runtime.sleep(inner.config.keep_interval).await;
        let unsaved = coordinator.unsaved_parts().into_iter().flat_map(|(job, parts)| {
            let commands = in_commands(parts, |part| part.data.len());
            commands.into_iter().map(move |parts| (job.clone(), parts))
        });
        join_all(unsaved.map(|(job, parts)| keep(&coordinator, job, parts))).await;
    }
}

async fn keep<B: Backends>(coordinator: &Coordinator<B>, job: JobId, parts: Vec<TextPart>) {
    let command = GatewayCommand::KeepTexts { job: job.clone(), parts: parts.clone() };
    if coordinator.inner.node.commit_gateway(command).await == Ok(GatewayOutcome::Done) {
        coordinator.mark_saved(&job, &parts);
    }
}

/// Cuts a list into pieces for commands of a bounded size.
fn in_commands<T>(list: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut pieces: Vec<Vec<T>> = Vec::new();
    let mut bytes = COMMAND_BYTES;
    for entry in list {
        if bytes >= COMMAND_BYTES {
            pieces.push(Vec::new());
            bytes = 0;
        }
        bytes += size(&entry);
        if let Some(piece) = pieces.last_mut() {
            piece.push(entry);
        }
    }
    pieces
}

/// Commits outcomes. What is not committed because leadership was lost is run again by the next leader.
async fn commit<B: Backends>(coordinator: &Coordinator<B>, job: JobId, outcomes: Vec<ItemOutcome>) {
    let count = outcomes.len();
    loop {
        let command = GatewayCommand::ListResults { job: job.clone(), outcomes: outcomes.clone() };
        match coordinator.inner.node.commit_gateway(command).await {
            Ok(GatewayOutcome::TextMissing(items)) => coordinator.list_whole(&job, &items, &outcomes),
            Ok(outcome) => {
                spdlog::info!("results listed", kv: {
                    job = job.0.as_str(), results = count, outcome = format!("{outcome:?}").as_str()
                });
                coordinator.release_texts(&job, &outcomes);
            }
            Err(ProposeError::Overloaded) => {
                coordinator.inner.runtime.sleep(RETRY_PAUSE).await;
                continue;
            }
            Err(error) => spdlog::warn!("results not listed", kv: {
                job = job.0.as_str(), results = count, reason = format!("{error:?}").as_str()
            }),
        }
        return;
    }
}

impl<B: Backends> Coordinator<B> {
    /// Forgets the texts of listed items: the group holds them.
    fn release_texts(&self, job: &JobId, outcomes: &[ItemOutcome]) {
        let jobs = self.inner.jobs.borrow();
        let Some(run) = jobs.get(job) else {
            return;
        };
        for outcome in outcomes {
            if let Some(item) = run.items.get(outcome.rest.item as usize) {
                item.text.replace(ItemText::default());
            }
        }
    }

    /// Sends whole texts where the group does not hold their beginnings.
    fn list_whole(&self, job: &JobId, items: &[u32], outcomes: &[ItemOutcome]) {
        let whole: Vec<ItemOutcome> = {
            let jobs = self.inner.jobs.borrow();
            let run = jobs.get(job);
            let items = items.iter().filter_map(|index| Some((*index, run?.items.get(*index as usize)?)));
            let again = items.map(|(index, item)| {
                let score = outcomes.iter().find(|outcome| outcome.rest.item == index)?.score.clone();
                let mut text = item.text.borrow_mut();
                text.forget_saved();
                Some(text.outcome(index, score))
            });
            again.flatten().collect()
        };
        spdlog::warn!("texts sent again whole", kv: { job = job.0.as_str(), items = whole.len() });
        for outcome in whole {
            self.list(job, outcome);
        }
    }
}
