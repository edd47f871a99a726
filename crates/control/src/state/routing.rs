//! The current routing document.

use bitcode::{Decode, Encode};
use saddlerelay_types::routing::RoutingDocument;

/// The routing document with the highest version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RoutingState {
    pub(super) current: Option<RoutingDocument>,
}

impl RoutingState {
    /// The current document.
    pub fn current(&self) -> Option<&RoutingDocument> {
        self.current.as_ref()
    }

    /// The version of the current document.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|document| document.version)
    }

    /// Replaces the current document if `document` has a higher version; returns whether it was replaced.
    pub fn put(&mut self, document: RoutingDocument) -> bool {
        let newer = self.version().is_none_or(|current| document.version > current);
        if newer {
            self.current = Some(document);
        }
        newer
    }
}
