//! The text of an item as it grows, and how much of it the group holds.

use saddlerelay_types::job::{ItemEnd, ItemOutcome, PartialText, TextPart};
use saddlerelay_upstream::events::Event;
use std::collections::BTreeSet;

/// What has been made of an item's text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemText {
    data: Vec<u8>,
    /// The last event that it holds.
    pub last_event: Option<u64>,
    events: u32,
    versions: BTreeSet<u64>,
    /// Bytes that the group holds.
    saved: usize,
    complete: bool,
    /// The group knows that the text is whole.
    saved_as_whole: bool,
}

impl ItemText {
    /// A text of which the group holds `partial` for the same item.
    pub fn saved(partial: &PartialText) -> Self {
        Self { saved: partial.data.len(), saved_as_whole: partial.whole, ..Self::unsaved(partial) }
    }

    /// A text that the group holds only for an item of another job.
    pub fn unsaved(partial: &PartialText) -> Self {
        Self {
            data: partial.data.clone(),
            last_event: partial.last_event,
            events: partial.events,
            versions: partial.versions.iter().copied().collect(),
            saved: 0,
            complete: partial.whole,
            saved_as_whole: false,
        }
    }

    /// The whole text of the same item in another job.
    pub fn whole(text: &[u8], versions: &[u64]) -> Self {
        Self {
            data: text.to_vec(),
            versions: versions.iter().copied().collect(),
            complete: true,
            events: 1,
            ..Self::default()
        }
    }

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

    /// Bytes that the group does not hold yet.
    pub fn unsaved_bytes(&self) -> usize {
        self.data.len() - self.saved
    }

    /// Whether the text is whole and the group does not know it.
    pub fn is_unsaved_as_whole(&self) -> bool {
        self.complete && !self.saved_as_whole
    }

    /// What the group does not hold yet.
    pub fn unsaved_part(&self, index: u32) -> TextPart {
        TextPart {
            item: index,
            offset: self.saved as u64,
            data: self.data[self.saved..].to_vec(),
            events: self.events,
            last_event: self.last_event,
            versions: self.versions.iter().copied().collect(),
            whole: self.complete,
        }
    }

    /// The group holds everything up to the end of `part`, unless the text was begun anew meanwhile.
    pub fn mark_saved(&mut self, part: &TextPart) {
        let end = part.offset as usize + part.data.len();
        let same_text = self.data.get(part.offset as usize..end) == Some(part.data.as_slice());
        if same_text && self.saved == part.offset as usize {
            self.saved = end;
            self.saved_as_whole = part.whole;
        }
    }

    /// The group holds nothing of it: all of it is sent again.
    pub fn forget_saved(&mut self) {
        self.saved = 0;
        self.saved_as_whole = false;
    }

    /// How the item at `index` has ended, with the score of its text where it names a scorer.
    pub fn outcome(&self, index: u32, score: Option<String>) -> ItemOutcome {
        ItemOutcome { end: ItemEnd::Completed, rest: self.unsaved_part(index), score }
    }
}

/// The outcome of an item that is given up.
pub fn aborted(index: u32) -> ItemOutcome {
    let rest = TextPart {
        item: index,
        offset: 0,
        data: Vec::new(),
        events: 0,
        last_event: None,
        versions: Vec::new(),
        whole: false,
    };
    ItemOutcome { end: ItemEnd::Aborted, rest, score: None }
}
