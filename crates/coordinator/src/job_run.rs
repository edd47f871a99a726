//! Where the items of a job stand in this leader's memory.

use crate::lengths::{OVERRUN_SHARE, earlier_lengths, expected_tokens, most_tokens};
use crate::text::ItemText;
use crate::waits::{Wait, WaitReason};
use compio::runtime::JoinHandle;
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::{Job, ListedItem};
use saddlerelay_control::state::text_archive::LoadedTexts;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemId, JobItem};
use saddlerelay_types::routing::Route;
use saddlerelay_types::work::WorkDigest;
use saddlerelay_upstream::HeaderNames;
use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Where an item stands.
pub(crate) enum Phase {
    /// It waits for an engine.
    Waiting,
    /// It runs; dropping the handle ends the request.
    Running { _task: JoinHandle<()>, instance: InstanceId, since: Duration },
    /// Its text is whole and is being scored; dropping the handle ends the call.
    Scoring { _task: JoinHandle<()> },
    /// It has a result, listed or on its way.
    Ended,
}

/// An item of a job that runs.
pub(crate) struct ItemRun {
    pub phase: Phase,
    pub text: Rc<RefCell<ItemText>>,
    /// Events that its text is expected to have.
    pub expected_events: f64,
    /// Events that its text has at most, where its request says so.
    pub most_events: Option<f64>,
    /// Failures that count as attempts.
    pub failures: u32,
    /// Not sent before.
    pub not_before: Duration,
    /// What it waits for until then.
    pub pause_reason: WaitReason,
    /// How long it has been at no engine.
    pub wait: Wait,
    /// The engine that failed it last, or that it moved away from.
    pub avoid: Option<InstanceId>,
    pub moves: u32,
    pub scoring: ScoringProgress,
    /// What the item asks for; made only while some work is suspected.
    pub work: OnceCell<WorkDigest>,
    /// What its call for a score asks for; likewise.
    pub scoring_work: OnceCell<WorkDigest>,
    /// It has been held back because engines have ended under its work.
    pub held_back: bool,
}

/// How far the scoring of an item's whole text is.
pub(crate) struct ScoringProgress {
    /// Calls begun.
    pub calls: u32,
    /// Answers by which the engine said that it failed; only these count as attempts.
    pub failures: u32,
    pub not_before: Duration,
    /// What it waits for until then.
    pub pause_reason: WaitReason,
    /// The engine that was called last.
    pub avoid: Option<InstanceId>,
}

impl Default for ScoringProgress {
    fn default() -> Self {
        Self { calls: 0, failures: 0, not_before: Duration::ZERO, pause_reason: WaitReason::RetryPause, avoid: None }
    }
}

impl ItemRun {
    /// Events that are expected to be missing of its text.
    pub fn remaining_events(&self) -> f64 {
        let done = f64::from(self.text.borrow().events());
        // One that has gone beyond what was expected of it is likely to go on for a while.
        let expected = (self.expected_events - done).max(done * OVERRUN_SHARE);
        match self.most_events {
            Some(most) => expected.min((most - done).max(1.0)),
            None => expected,
        }
    }
}

/// A job that runs.
pub(crate) struct JobRun {
    pub seen_at: Duration,
    pub items: Vec<ItemRun>,
    /// The items' indexes, those expected to take longest first.
    pub order: Vec<u32>,
    /// Mean of the events that its items are expected to have.
    pub mean_events: f64,
    /// Where each group's items were last sent.
    pub group_engines: BTreeMap<String, InstanceId>,
    /// Groups that came in an earlier job too.
    pub carried_groups: BTreeSet<String>,
    /// When moves were last considered.
    pub moves_considered_at: Duration,
}

impl JobRun {
    /// Takes a job up where the group's state and earlier jobs leave it.
    pub fn new(job: &Job, state: &ControlState, names: &HeaderNames, tokens_per_event: u32, now: Duration) -> Self {
        let submission = &job.submission;
        let route = state.routing.current().and_then(|document| document.find(&submission.host, &submission.path));
        let texts = earlier_texts(job, state, route);
        let lengths = earlier_lengths(job, state);
        let per_event = f64::from(tokens_per_event.max(1));
        let item = |(index, item): (usize, &JobItem)| {
            let own = job.partial_text(index as u32).map(ItemText::saved);
            let text = own.or_else(|| texts.get(&item.id).cloned()).unwrap_or_default();
            let guess = expected_tokens(item, &names.length_hint) as f64 / per_event;
            ItemRun {
                phase: Phase::Waiting,
                text: Rc::new(RefCell::new(text)),
                expected_events: lengths.get(&item.id).map_or(guess, |seen| seen.correct(guess)),
                most_events: most_tokens(item, &names.token_count).map(|most| (most as f64 / per_event).ceil()),
                failures: 0,
                not_before: Duration::ZERO,
                pause_reason: WaitReason::RetryPause,
                wait: Wait::default(),
                avoid: None,
                moves: 0,
                scoring: ScoringProgress::default(),
                work: OnceCell::new(),
                scoring_work: OnceCell::new(),
                held_back: false,
            }
        };
        let items: Vec<ItemRun> = submission.items.iter().enumerate().map(item).collect();
        let mut order: Vec<u32> = (0..items.len() as u32).collect();
        let expected = |index: &u32| items[*index as usize].expected_events;
        order.sort_by(|left, right| expected(right).total_cmp(&expected(left)));
        let mean_events = items.iter().map(|item| item.expected_events).sum::<f64>() / items.len().max(1) as f64;
        let carried = submission.items.iter().filter(|item| lengths.contains_key(&item.id));
        let carried_groups = carried.map(|item| item.group.clone()).collect();
        Self {
            seen_at: now,
            items,
            order,
            mean_events,
            group_engines: BTreeMap::new(),
            carried_groups,
            moves_considered_at: Duration::ZERO,
        }
    }
}

/// The text of a listed item, if memory still holds it; one that is only on disk is made again.
fn whole_text(listed: &ListedItem, state: &ControlState) -> Option<ItemText> {
    let loaded = LoadedTexts::default();
    let text = state.jobs.texts().text(&listed.text, &loaded)?;
    Some(ItemText::whole(text, &listed.versions))
}

/// What earlier jobs have left of this job's items, where it may stand in this one.
fn earlier_texts(job: &Job, state: &ControlState, route: Option<&Route>) -> BTreeMap<ItemId, ItemText> {
    let mut texts = BTreeMap::new();
    let Some(route) = route else {
        return texts;
    };
    let indexed = job.submission.items.iter().enumerate();
    let wanted: BTreeMap<&ItemId, Option<u64>> =
        indexed.map(|(index, item)| (&item.id, job.digest(index as u32))).collect();
    for earlier in state.jobs.predecessors(&job.submission.id) {
        for (index, item) in earlier.submission.items.iter().enumerate() {
            let same = wanted.get(&item.id).is_some_and(|wanted| *wanted == earlier.digest(index as u32));
            if !same || texts.contains_key(&item.id) {
                continue;
            }
            let whole = earlier.completed(index as u32).and_then(|listed| whole_text(listed, state));
            let partial = earlier.partial_text(index as u32).filter(|_| route.resumable).map(ItemText::unsaved);
            let fits = |text: &ItemText| text.fits(job.submission.minimum_version, route.batch.single_version);
            if let Some(text) = whole.or(partial).filter(fits) {
                texts.insert(item.id.clone(), text);
            }
        }
    }
    texts
}
