//! Routing documents on their way to relays: each is encoded once for all relays that hold the same older one.

use saddlerelay_types::routing::RoutingDocument;
use saddlerelay_types::routing_update::{EncodedRoutingUpdate, RoutingUpdate};
use std::collections::{BTreeMap, VecDeque};

/// Documents remembered, so that relays which hold one of them are told only what has changed since.
const DOCUMENTS_KEPT: usize = 4;

/// The newest documents that this leader has told relays of. It is forgotten with the process: whoever holds a document
/// that is not remembered is told the whole new one.
#[derive(Debug, Default)]
pub struct RoutingUpdates {
    /// Oldest first, without what operators sent.
    documents: VecDeque<RoutingDocument>,
    /// Updates to the newest document, by the version that they go on from.
    encoded: BTreeMap<Option<u64>, EncodedRoutingUpdate>,
}

impl RoutingUpdates {
    /// What a relay that holds version `held` needs for `current`; `None` if that is what it holds.
    pub fn update(&mut self, current: &RoutingDocument, held: Option<u64>) -> Option<EncodedRoutingUpdate> {
        if held == Some(current.version) {
            return None;
        }
        self.remember(current);
        let base = self.documents.iter().find(|document| Some(document.version) == held);
        let key = base.map(|base| base.version);
        let encode = || EncodedRoutingUpdate::encode(&RoutingUpdate::between(base, current));
        Some(self.encoded.entry(key).or_insert_with(encode).clone())
    }

    fn remember(&mut self, current: &RoutingDocument) {
        if self.documents.back().is_some_and(|newest| newest.version == current.version) {
            return;
        }
        self.encoded.clear();
        self.documents.push_back(RoutingDocument { source: Vec::new(), ..current.clone() });
        if self.documents.len() > DOCUMENTS_KEPT {
            self.documents.pop_front();
        }
    }
}
