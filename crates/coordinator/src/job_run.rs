//! In-memory state of the items of an open job.

use crate::lengths::{OVERRUN_SHARE, earlier_lengths, expected_tokens, max_tokens};
use crate::text::ItemText;
use crate::waits::{Wait, WaitReason};
use crate::wanted::{WantedGroups, trainer_of};
use compio::runtime::JoinHandle;
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::{Job, ListedItem};
use saddlerelay_control::state::text_archive::LoadedTexts;
use saddlerelay_scheduling::shares::Trainer;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemId, JobItem};
use saddlerelay_types::routing::Route;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::HeaderNames;
use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Processing phase of an item.
pub(crate) enum Phase {
    /// Waiting for an engine or for a score call.
    Waiting,
    /// Running at an engine; dropping the handle cancels the request.
    Running { _task: JoinHandle<()>, instance: InstanceId, since: Duration },
    /// The complete text is being scored; dropping the handle cancels the call.
    Scoring { _task: JoinHandle<()> },
    /// The item has a result, committed or queued for commit.
    Ended,
}

/// State of an item of an open job.
pub(crate) struct ItemRun {
    pub phase: Phase,
    pub text: Rc<RefCell<ItemText>>,
    /// Expected number of events in the complete text.
    pub expected_events: f64,
    /// Maximum number of events, if the request sets one.
    pub max_events: Option<f64>,
    /// Failures that count towards the maximum number of attempts.
    pub failures: u32,
    /// Earliest time of the next attempt.
    pub not_before: Duration,
    /// Reason for the pause until `not_before`.
    pub pause_reason: WaitReason,
    /// The current wait for an engine.
    pub wait: Wait,
    /// The engine of the last failed attempt, or the one that the item was moved away from.
    pub avoid: Option<InstanceId>,
    pub moves: u32,
    /// How often another item took its slot.
    pub displacements: u32,
    pub scoring: ScoringProgress,
    /// Digest of the item's work; computed only while any work is suspected.
    pub work: OnceCell<WorkDigest>,
    /// Digest of the score call's work; computed only while any work is suspected.
    pub scoring_work: OnceCell<WorkDigest>,
    /// What was recorded for it in the shares when it last started in order of urgency.
    pub charge: Option<Charge>,
}

/// Work recorded in the shares for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    pub work: Duration,
    pub at: Duration,
    /// Events of the text at that time, and events expected to follow.
    pub events: u32,
    pub remaining_events: f64,
}

impl Charge {
    /// The part of the work that was not done, now that the text has `events` events.
    pub fn not_done(&self, events: u32) -> Duration {
        let done = f64::from(events.saturating_sub(self.events));
        let share_done = if self.remaining_events > 0.0 { (done / self.remaining_events).min(1.0) } else { 1.0 };
        self.work.mul_f64(1.0 - share_done)
    }
}

/// Progress of scoring a complete text.
pub(crate) struct ScoringProgress {
    /// Calls started.
    pub calls: u32,
    /// Internal errors of engines; only these count towards the maximum number of attempts.
    pub failures: u32,
    pub not_before: Duration,
    /// Reason for the delay until `not_before`.
    pub pause_reason: WaitReason,
    pub avoid: Option<InstanceId>,
}

impl Default for ScoringProgress {
    fn default() -> Self {
        Self { calls: 0, failures: 0, not_before: Duration::ZERO, pause_reason: WaitReason::RetryDelay, avoid: None }
    }
}

impl ItemRun {
    /// Expected number of events still to be generated.
    pub fn remaining_events(&self) -> f64 {
        let done = f64::from(self.text.borrow().events());
        // A text longer than its estimate is expected to grow by a share of its current length.
        let expected = (self.expected_events - done).max(done * OVERRUN_SHARE);
        match self.max_events {
            Some(limit) => expected.min((limit - done).max(1.0)),
            None => expected,
        }
    }
}

/// State of an open job.
pub(crate) struct JobRun {
    pub started_at: Duration,
    pub items: Vec<ItemRun>,
    /// Item indexes, longest expected texts first.
    pub longest_first: Vec<u32>,
    /// Mean of the items' expected events.
    pub mean_events: f64,
    /// The engine that each group's items were last sent to.
    pub group_engines: BTreeMap<String, InstanceId>,
    /// Groups with items that an earlier job contained too.
    pub repeated_groups: BTreeSet<String>,
    pub moves_checked_at: Duration,
    /// The trainer, for shares of recent work.
    pub trainer: Trainer,
    /// Which groups the trainer waits for.
    pub wanted: WantedGroups,
    /// Whether the submission was counted for the trainer's interval.
    pub is_submission_recorded: bool,
}

impl JobRun {
    /// Restores a job's items from saved and listed texts of this job and its predecessors.
    pub fn new(job: &Job, state: &ControlState, names: &HeaderNames, tokens_per_event: u32, now: Duration) -> Self {
        let submission = &job.submission;
        let route = state.routing.current().and_then(|document| document.find(&submission.host, &submission.path));
        let texts = earlier_texts(job, state, route);
        let lengths = earlier_lengths(job, state);
        let per_event = f64::from(tokens_per_event.max(1));
        let item = |(index, item): (usize, &JobItem)| {
            let own_text = job.partial_text(index as u32).map(ItemText::restored);
            let text = own_text.or_else(|| texts.get(&item.id).cloned()).unwrap_or_default();
            let estimate = expected_tokens(item, &names.length_hint) as f64 / per_event;
            ItemRun {
                phase: Phase::Waiting,
                text: Rc::new(RefCell::new(text)),
                expected_events: lengths.get(&item.id).map_or(estimate, |observed| observed.adjust(estimate)),
                max_events: max_tokens(item, &names.token_count).map(|tokens| (tokens as f64 / per_event).ceil()),
                failures: 0,
                not_before: Duration::ZERO,
                pause_reason: WaitReason::RetryDelay,
                wait: Wait::default(),
                avoid: None,
                moves: 0,
                displacements: 0,
                scoring: ScoringProgress::default(),
                work: OnceCell::new(),
                scoring_work: OnceCell::new(),
                charge: None,
            }
        };
        let items: Vec<ItemRun> = submission.items.iter().enumerate().map(item).collect();
        let mut longest_first: Vec<u32> = (0..items.len() as u32).collect();
        let expected = |index: &u32| items[*index as usize].expected_events;
        longest_first.sort_by(|left, right| expected(right).total_cmp(&expected(left)));
        let mean_events = items.iter().map(|item| item.expected_events).sum::<f64>() / items.len().max(1) as f64;
        let repeated = submission.items.iter().filter(|item| lengths.contains_key(&item.id));
        let repeated_groups = repeated.map(|item| item.group.clone()).collect();
        let wanted = WantedGroups::new(submission, &repeated_groups);
        Self {
            started_at: now,
            items,
            longest_first,
            mean_events,
            group_engines: BTreeMap::new(),
            repeated_groups,
            moves_checked_at: Duration::ZERO,
            trainer: trainer_of(submission),
            wanted,
            is_submission_recorded: false,
        }
    }
}

/// The text of a listed item if it is in memory; a text that is only on disk is not loaded but generated again.
fn listed_text(listed: &ListedItem, state: &ControlState) -> Option<ItemText> {
    let loaded = LoadedTexts::default();
    let text = state.jobs.texts().text(&listed.text, &loaded)?;
    Some(ItemText::copied_complete(text, &listed.versions))
}

/// Texts of items with the same id and content in earlier jobs, if this job may reuse them.
fn earlier_texts(job: &Job, state: &ControlState, route: Option<&Route>) -> BTreeMap<ItemId, ItemText> {
    let mut texts = BTreeMap::new();
    let Some(route) = route else {
        return texts;
    };
    let indexed = job.submission.items.iter().enumerate();
    let digests: BTreeMap<&ItemId, Option<u64>> =
        indexed.map(|(index, item)| (&item.id, job.digest(index as u32))).collect();
    for earlier in state.jobs.predecessors(&job.submission.id) {
        for (index, item) in earlier.submission.items.iter().enumerate() {
            let has_same_content = digests.get(&item.id).is_some_and(|digest| *digest == earlier.digest(index as u32));
            if !has_same_content || texts.contains_key(&item.id) {
                continue;
            }
            let complete = earlier.completed(index as u32).and_then(|listed| listed_text(listed, state));
            let partial = earlier.partial_text(index as u32).filter(|_| route.resumable).map(ItemText::copied);
            let is_usable =
                |text: &ItemText| text.satisfies(job.submission.minimum_version, route.batch.single_version);
            if let Some(text) = complete.or(partial).filter(is_usable) {
                texts.insert(item.id.clone(), text);
            }
        }
    }
    texts
}
