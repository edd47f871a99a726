//! Picks engines in round-robin order.

use crate::{Candidate, Policy, RoutingRequest};
use std::cell::Cell;

/// Picks engines in turn.
#[derive(Default)]
pub struct RoundRobin {
    next: Cell<usize>,
}

impl Policy for RoundRobin {
    fn choose(&self, _request: &RoutingRequest<'_>, candidates: &[Candidate], _random: u64) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let turn = self.next.replace(self.next.get().wrapping_add(1));
        Some(turn % candidates.len())
    }
}
