//! Encoded updates of the routing document, cached by the version that the relay holds.

use saddlerelay_types::routing::RoutingDocument;
use saddlerelay_types::routing_update::{EncodedRoutingUpdate, RoutingUpdate};
use std::collections::{BTreeMap, VecDeque};

/// Number of recent documents kept as a base for updates that contain only the changes.
const MAX_DOCUMENTS: usize = 4;

/// Recent routing documents and encoded updates to the newest one. Kept in memory only: a relay whose document is not
/// among them receives the whole new one.
#[derive(Debug, Default)]
pub struct RoutingUpdates {
    /// Oldest first, without their source text.
    documents: VecDeque<RoutingDocument>,
    /// Updates to the newest document, by base version; `None` for the whole document.
    encoded: BTreeMap<Option<u64>, EncodedRoutingUpdate>,
}

impl RoutingUpdates {
    /// The update to `current` for a relay that holds version `relay_version`; `None` if it holds `current`.
    pub fn update(&mut self, current: &RoutingDocument, relay_version: Option<u64>) -> Option<EncodedRoutingUpdate> {
        if relay_version == Some(current.version) {
            return None;
        }
        self.record_document(current);
        let base = self.documents.iter().find(|document| Some(document.version) == relay_version);
        let key = base.map(|base| base.version);
        let encode = || EncodedRoutingUpdate::encode(&RoutingUpdate::between(base, current));
        Some(self.encoded.entry(key).or_insert_with(encode).clone())
    }

    fn record_document(&mut self, current: &RoutingDocument) {
        if self.documents.back().is_some_and(|newest| newest.version == current.version) {
            return;
        }
        self.encoded.clear();
        self.documents.push_back(RoutingDocument { source: Vec::new(), ..current.clone() });
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
    }
}
