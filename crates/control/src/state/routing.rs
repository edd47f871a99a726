//! The routing document in force.

use bitcode::{Decode, Encode};
use saddlerelay_types::routing::RoutingDocument;

/// Holds the document with the highest version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RoutingState {
    pub(super) current: Option<RoutingDocument>,
}

impl RoutingState {
    /// The document in force.
    pub fn current(&self) -> Option<&RoutingDocument> {
        self.current.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|document| document.version)
    }

    /// Takes `document` if its version is higher than the one held; returns whether it was.
    pub fn put(&mut self, document: RoutingDocument) -> bool {
        let newer = self.version().is_none_or(|held| document.version > held);
        if newer {
            self.current = Some(document);
        }
        newer
    }
}
