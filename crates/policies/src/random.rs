//! Picks a random engine; a baseline for comparisons.

use crate::{Candidate, Policy, RoutingRequest};

/// Picks engines at random.
pub struct Random;

impl Policy for Random {
    fn choose(&self, _request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize> {
        let count = candidates.len() as u64;
        (count > 0).then(|| (random % count) as usize)
    }
}
