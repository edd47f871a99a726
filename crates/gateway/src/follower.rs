//! The control replica assigned to a relay for its follow requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// The assigned replica, and whether it is being skipped.
#[derive(Debug, Default)]
pub struct AssignedReplica {
    assigned: Cell<Option<SocketAddr>>,
    /// A replica that is skipped, and until when.
    skipped: Cell<Option<(SocketAddr, Duration)>>,
}

impl AssignedReplica {
    /// Sets the replica assigned by the control group, if any.
    pub fn assign(&self, address: Option<SocketAddr>) {
        self.assigned.set(address);
    }

    /// The replica to send follow requests to at `now`; `None` for the leader.
    pub fn address(&self, now: Duration) -> Option<SocketAddr> {
        let is_skipped = |address: &SocketAddr| {
            self.skipped.get().is_some_and(|(skipped, until)| skipped == *address && now < until)
        };
        self.assigned.get().filter(|address| !is_skipped(address))
    }

    /// Skips the replica at `address` until `until`.
    pub fn skip_until(&self, address: SocketAddr, until: Duration) {
        self.skipped.set(Some((address, until)));
    }
}
