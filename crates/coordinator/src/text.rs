//! The text of an item as it grows, and what is kept of it for later jobs.

use saddlerelay_types::job::{ItemEnd, ItemId, ItemResult, JobItem};
use saddlerelay_upstream::events::Event;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What has been made of an item's text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemText {
    data: Vec<u8>,
    /// The last event that it holds.
    pub last_event: Option<u64>,
    events: u32,
    versions: BTreeSet<u64>,
    complete: bool,
}

impl ItemText {
    /// Adds an event that `version` made.
    pub fn push(&mut self, event: &Event, version: u64) {
        if self.events > 0 {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(&event.data);
        self.events += 1;
        self.last_event = event.id.or(self.last_event);
        self.versions.insert(version);
    }

    /// The stream has ended as it should.
    pub fn complete(&mut self) {
        self.complete = true;
    }

    /// Whether it is the item's whole text.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Events that it holds.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// The versions that made its events.
    pub fn versions(&self) -> &BTreeSet<u64> {
        &self.versions
    }

    /// Whether every version of it is at least `minimum`, and where `single` is asked for, the only one.
    pub fn fits(&self, minimum: u64, single: bool) -> bool {
        let recent = self.versions.first().is_none_or(|oldest| *oldest >= minimum);
        recent && !(single && self.versions.len() > 1)
    }

    /// The result of the item at `index`.
    pub fn to_result(&self, index: u32) -> ItemResult {
        ItemResult {
            item: index,
            end: ItemEnd::Completed,
            text: self.data.clone(),
            versions: self.versions.iter().copied().collect(),
        }
    }
}

/// The result of an item that is given up.
pub fn aborted(index: u32) -> ItemResult {
    ItemResult { item: index, end: ItemEnd::Aborted, text: Vec::new(), versions: Vec::new() }
}

/// Tells whether an item of a later job is the same request.
pub fn digest(item: &JobItem) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(item.path.as_bytes());
    hasher.update(&item.body);
    hasher.finalize()
}

struct Kept {
    text: ItemText,
    digest: u32,
    at: Duration,
}

/// Texts of items whose jobs have ended, whole or not.
#[derive(Default)]
pub struct KeptTexts {
    texts: BTreeMap<ItemId, Kept>,
}

impl KeptTexts {
    /// Keeps a text for a later job.
    pub fn keep(&mut self, id: ItemId, digest: u32, text: ItemText, now: Duration) {
        if text.events > 0 {
            self.texts.insert(id, Kept { text, digest, at: now });
        }
    }

    /// The kept text of the same item, if it fits.
    pub fn take(&mut self, item: &JobItem, minimum: u64, single: bool) -> Option<ItemText> {
        let kept = self.texts.get(&item.id)?;
        let same = kept.digest == digest(item) && kept.text.fits(minimum, single);
        same.then(|| self.texts.remove(&item.id).map(|kept| kept.text)).flatten()
    }

    /// Forgets what was kept before `oldest`.
    pub fn forget_before(&mut self, oldest: Duration) {
        self.texts.retain(|_, kept| kept.at >= oldest);
    }
}
