//! Commits item results in batches, and periodically saves texts of running items.

use crate::coordinator::Coordinator;
use crate::job_run::Phase;
use crate::text::ItemText;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use saddlerelay_replication::ProposeError;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{GatewayCommand, GatewayOutcome};
use saddlerelay_types::job::{ItemOutcome, JobId, TextPart};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long results are collected into a batch.
const BATCH_DELAY: Duration = Duration::from_millis(4);

/// Delay before results are proposed again after the log was overloaded.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// No further entry is added to a command once it has this many bytes of text.
const MAX_COMMAND_BYTES: usize = 128 * 1024;

/// Maximum number of commands with results or texts that are proposed at the same time.
const MAX_CONCURRENT_COMMANDS: usize = 8;

/// Text that is copied from running items at once, in bytes; the last one may exceed it.
const MAX_ROUND_BYTES: usize = MAX_CONCURRENT_COMMANDS * MAX_COMMAND_BYTES;

/// Maximum number of rounds in which texts are saved at each interval: the texts of engines that send faster than this are
/// saved later, or with the results.
const MAX_ROUNDS: usize = 4;

/// Minimum number of unsaved bytes for which the text of a running item is saved.
const MIN_PART_BYTES: usize = 2 * 1024;

impl<B: Backends> Coordinator<B> {
    /// Queues an item's outcome for commit.
    pub(crate) fn queue_outcome(&self, job: &JobId, outcome: ItemOutcome) {
        self.inner.outcomes.borrow_mut().entry(job.clone()).or_default().push(outcome);
        self.inner.outcomes_queued.notify();
    }

    /// Running items whose text has a part to be saved, beginning after `last`.
    fn items_to_save(&self, last: &Option<(JobId, u32)>) -> Vec<(JobId, u32)> {
        let jobs = self.inner.jobs.borrow();
        let unsaved = jobs.iter().flat_map(|(id, run)| {
            let not_ended = run.items.iter().enumerate().filter(|(_, item)| !matches!(item.phase, Phase::Ended));
            let to_save = not_ended.filter(|(_, item)| should_save(&item.text.borrow()));
            to_save.map(|(index, _)| (id.clone(), index as u32))
        });
        let mut to_save: Vec<(JobId, u32)> = unsaved.collect();
        let first = to_save.partition_point(|item| last.as_ref().is_some_and(|last| item <= last));
        to_save.rotate_left(first);
        to_save
    }

    /// Takes items from `to_save` and copies the unsaved parts of their texts, up to [`MAX_ROUND_BYTES`].
    fn next_round(&self, to_save: &mut impl Iterator<Item = (JobId, u32)>) -> Round {
        let jobs = self.inner.jobs.borrow();
        let mut round = Round::default();
        let mut bytes = 0;
        while bytes < MAX_ROUND_BYTES
            && let Some((job, index)) = to_save.next()
        {
            let item = jobs.get(&job).and_then(|run| run.items.get(index as usize));
            if let Some(item) = item.filter(|item| !matches!(item.phase, Phase::Ended)) {
                let part = item.text.borrow().unsaved_part(index);
                bytes += part.data.len();
                round.parts.entry(job.clone()).or_default().push(part);
            }
            round.last = Some((job, index));
        }
        round
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

/// Commits queued results; runs until the process ends.
pub(crate) async fn commit_results<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        let notified_count = inner.outcomes_queued.count();
        if inner.outcomes.borrow().is_empty() {
            inner.outcomes_queued.changed(notified_count).await;
        }
        inner.runtime.sleep(BATCH_DELAY).await;
        let queued = std::mem::take(&mut *inner.outcomes.borrow_mut());
        let parts = queued.into_iter().flat_map(|(job, outcomes)| {
            let parts = split_into_commands(outcomes, |outcome| outcome.remaining_text.data.len());
            parts.into_iter().map(move |part| (job.clone(), part))
        });
        // Proposed concurrently, so that the log can batch them.
        let commits = stream::iter(parts)
            .for_each_concurrent(MAX_CONCURRENT_COMMANDS, |(job, part)| commit_outcomes(&coordinator, job, part));
        commits.await;
    }
}

/// Periodically saves the texts of running items, so that the next leader can resume them; runs until the process ends.
pub(crate) async fn save_partial_texts<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    let mut last = None;
    loop {
        inner.runtime.sleep(inner.config.save_interval).await;
        let mut to_save = coordinator.items_to_save(&last).into_iter();
        for _ in 0..MAX_ROUNDS {
            let round = coordinator.next_round(&mut to_save);
            if round.last.is_none() {
                break;
            }
            last = round.last;
            let commands = round.parts.into_iter().flat_map(|(job, parts)| {
                let commands = split_into_commands(parts, |part| part.data.len());
                commands.into_iter().map(move |parts| (job.clone(), parts))
            });
            join_all(commands.map(|(job, parts)| save_parts(&coordinator, job, parts))).await;
        }
    }
}

/// Parts of texts that are saved at the same time.
#[derive(Default)]
struct Round {
    parts: BTreeMap<JobId, Vec<TextPart>>,
    /// The last item that was looked at; `None` if none was left.
    last: Option<(JobId, u32)>,
}

/// Whether a part of the text is to be saved. A complete text is always saved, so that the next leader can score it without
/// generating it again.
fn should_save(text: &ItemText) -> bool {
    text.unsaved_bytes() >= MIN_PART_BYTES || text.is_completion_unsaved() || text.replaces_saved()
}

async fn save_parts<B: Backends>(coordinator: &Coordinator<B>, job: JobId, parts: Vec<TextPart>) {
    let command = GatewayCommand::SaveTexts { job: job.clone(), parts: parts.clone() };
    if coordinator.inner.node.commit_gateway(command).await == Ok(GatewayOutcome::Done) {
        coordinator.mark_saved(&job, &parts);
    }
}

/// Splits entries into lists for one command each, whose size is bounded by `MAX_COMMAND_BYTES` plus one entry.
fn split_into_commands<T>(entries: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut commands: Vec<Vec<T>> = Vec::new();
    let mut bytes = MAX_COMMAND_BYTES;
    for entry in entries {
        if bytes >= MAX_COMMAND_BYTES {
            commands.push(Vec::new());
            bytes = 0;
        }
        bytes += size(&entry);
        if let Some(command) = commands.last_mut() {
            command.push(entry);
        }
    }
    commands
}

/// Commits outcomes, retrying while the log is overloaded. If leadership is lost, the next leader runs the items again.
async fn commit_outcomes<B: Backends>(coordinator: &Coordinator<B>, job: JobId, outcomes: Vec<ItemOutcome>) {
    let count = outcomes.len();
    loop {
        let command = GatewayCommand::ListResults { job: job.clone(), outcomes: outcomes.clone() };
        match coordinator.inner.node.commit_gateway(command).await {
            Ok(GatewayOutcome::TextMissing(items)) => coordinator.requeue_full_texts(&job, &items, &outcomes),
            Ok(outcome) => {
                spdlog::info!("item results committed", kv: {
                    job = job.0.as_str(), results = count, outcome = format!("{outcome:?}").as_str()
                });
                coordinator.release_texts(&job, &outcomes);
            }
            Err(ProposeError::Overloaded) => {
                coordinator.inner.runtime.sleep(RETRY_DELAY).await;
                continue;
            }
            Err(error) => spdlog::warn!("item results not committed", kv: {
                job = job.0.as_str(), results = count, reason = format!("{error:?}").as_str()
            }),
        }
        return;
    }
}

impl<B: Backends> Coordinator<B> {
    /// Releases the texts of items whose results are committed.
    fn release_texts(&self, job: &JobId, outcomes: &[ItemOutcome]) {
        let jobs = self.inner.jobs.borrow();
        let Some(run) = jobs.get(job) else {
            return;
        };
        for outcome in outcomes {
            if let Some(item) = run.items.get(outcome.remaining_text.item as usize) {
                item.text.replace(ItemText::default());
            }
        }
    }

    /// Queues outcomes again with their full text, for items whose saved part is missing in the replicated state.
    fn requeue_full_texts(&self, job: &JobId, items: &[u32], outcomes: &[ItemOutcome]) {
        let full_outcomes: Vec<ItemOutcome> = {
            let jobs = self.inner.jobs.borrow();
            let run = jobs.get(job);
            let items = items.iter().filter_map(|index| Some((*index, run?.items.get(*index as usize)?)));
            let full = items.map(|(index, item)| {
                let score = outcomes.iter().find(|outcome| outcome.remaining_text.item == index)?.score.clone();
                let mut text = item.text.borrow_mut();
                text.reset_saved();
                Some(text.outcome(index, score))
            });
            full.flatten().collect()
        };
        spdlog::warn!("saved text missing; full texts queued again", kv: {
            job = job.0.as_str(), items = full_outcomes.len()
        });
        for outcome in full_outcomes {
            self.queue_outcome(job, outcome);
        }
    }
}
