//! How long items' texts are expected to become.

use hyper::header::HeaderName;
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::Job;
use saddlerelay_types::job::{ItemId, JobItem};
use std::collections::{BTreeMap, BTreeSet};

/// How much longer than it is already a text is expected to become that has outgrown what was expected of it.
pub(crate) const OVERRUN_SHARE: f64 = 0.5;

/// What an earlier job has shown of the length of an item's text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SeenLength {
    /// The text became whole with so many events.
    Whole(f64),
    /// It had so many events when the job ended.
    AtLeast(f64),
}

impl SeenLength {
    /// A sender's guess, corrected by what was seen.
    pub fn correct(self, guess: f64) -> f64 {
        match self {
            Self::Whole(events) => events,
            Self::AtLeast(events) => guess.max(events * (1.0 + OVERRUN_SHARE)),
        }
    }
}

/// What earlier jobs have shown of the lengths of this job's items, also where their texts may not be used again.
pub(crate) fn earlier_lengths(job: &Job, state: &ControlState) -> BTreeMap<ItemId, SeenLength> {
    let wanted: BTreeSet<&ItemId> = job.submission.items.iter().map(|item| &item.id).collect();
    let mut lengths = BTreeMap::new();
    for earlier in state.jobs.predecessors(&job.submission.id) {
        for (index, item) in earlier.submission.items.iter().enumerate() {
            if !wanted.contains(&item.id) || lengths.contains_key(&item.id) {
                continue;
            }
            let whole = earlier.completed(index as u32).map(|result| SeenLength::Whole(f64::from(result.events)));
            let partial = earlier.partial_text(index as u32).map(|text| SeenLength::AtLeast(f64::from(text.events)));
            lengths.insert(item.id.clone(), whole.or(partial).unwrap_or(SeenLength::AtLeast(0.0)));
        }
    }
    lengths
}

/// The most tokens that the item's request lets be generated.
pub(crate) fn most_tokens(item: &JobItem, count: &HeaderName) -> Option<u64> {
    let told = item.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(count.as_str()))?;
    told.1.split(',').nth(1)?.trim().parse().ok()
}

/// The sender's guess at the tokens to be generated, or all that the item may take.
pub(crate) fn expected_tokens(item: &JobItem, hint: &HeaderName) -> u64 {
    let hinted = item.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(hint.as_str()));
    hinted.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(item.tokens)
}
