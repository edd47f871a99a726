//! Estimates the length of items' texts.

use hyper::header::HeaderName;
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::jobs::Job;
use saddlerelay_types::job::{ItemId, JobItem};
use std::collections::{BTreeMap, BTreeSet};

/// Expected further growth of a text that is longer than its estimate, as a share of its current length.
pub(crate) const OVERRUN_SHARE: f64 = 0.5;

/// Length of an item's text observed in an earlier job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ObservedLength {
    /// The text is complete and has this number of events.
    Exact(f64),
    /// The text had this number of events when the job ended.
    AtLeast(f64),
}

impl ObservedLength {
    /// Adjusts the caller's estimate by the observed length.
    pub fn adjust(self, estimate: f64) -> f64 {
        match self {
            Self::Exact(events) => events,
            Self::AtLeast(events) => estimate.max(events * (1.0 + OVERRUN_SHARE)),
        }
    }
}

/// Lengths of this job's items observed in earlier jobs, including items whose texts may not be reused.
pub(crate) fn earlier_lengths(job: &Job, state: &ControlState) -> BTreeMap<ItemId, ObservedLength> {
    let item_ids: BTreeSet<&ItemId> = job.submission.items.iter().map(|item| &item.id).collect();
    let mut lengths = BTreeMap::new();
    for earlier in state.jobs.predecessors(&job.submission.id) {
        for (index, item) in earlier.submission.items.iter().enumerate() {
            if !item_ids.contains(&item.id) || lengths.contains_key(&item.id) {
                continue;
            }
            let exact = earlier.completed(index as u32).map(|result| ObservedLength::Exact(f64::from(result.events)));
            let partial =
                earlier.partial_text(index as u32).map(|text| ObservedLength::AtLeast(f64::from(text.events)));
            lengths.insert(item.id.clone(), exact.or(partial).unwrap_or(ObservedLength::AtLeast(0.0)));
        }
    }
    lengths
}

/// Maximum number of tokens that the engine may generate, from the second value of the item's token count header.
pub(crate) fn max_tokens(item: &JobItem, count: &HeaderName) -> Option<u64> {
    let limit_header = item.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(count.as_str()))?;
    limit_header.1.split(',').nth(1)?.trim().parse().ok()
}

/// The caller's estimate of the number of generated tokens, or the item's token budget if there is none.
pub(crate) fn expected_tokens(item: &JobItem, hint: &HeaderName) -> u64 {
    let hint_header = item.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(hint.as_str()));
    hint_header.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(item.tokens)
}
