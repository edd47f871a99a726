//! The replica that a relay asks for news, where the leader has named one, and whether it answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// The replica, unless it has not answered lately.
#[derive(Debug, Default)]
pub struct NamedFollower {
    named: Cell<Option<SocketAddr>>,
    /// One that is not asked, and until when.
    passed_over: Cell<Option<(SocketAddr, Duration)>>,
}

impl NamedFollower {
    /// The group names a replica, or none.
    pub fn name(&self, address: Option<SocketAddr>) {
        self.named.set(address);
    }

    /// The replica to ask at `now`; `None` for the leader.
    pub fn address(&self, now: Duration) -> Option<SocketAddr> {
        let is_passed_over = |address: &SocketAddr| {
            self.passed_over.get().is_some_and(|(passed_over, until)| passed_over == *address && now < until)
        };
        self.named.get().filter(|address| !is_passed_over(address))
    }

    /// The replica at `address` is not asked before `until`.
    pub fn pass_over(&self, address: SocketAddr, until: Duration) {
        self.passed_over.set(Some((address, until)));
    }
}
