//! Picks engines in round-robin order.

use crate::{Candidate, Policy, RoutingRequest};
use std::cell::Cell;

/// Cycles through the candidates.
#[derive(Default)]
pub struct RoundRobin {
    next: Cell<usize>,
}

impl Policy for RoundRobin {
    fn choose(&self, _request: &RoutingRequest<'_>, candidates: &[Candidate], _random: u64) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let position = self.next.replace(self.next.get().wrapping_add(1));
        Some(position % candidates.len())
    }
}
