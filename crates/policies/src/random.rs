//! A random engine: the plainest baseline.

use crate::{Candidate, Policy, RoutingRequest};

/// Chooses at random.
pub struct Random;

impl Policy for Random {
    fn choose(&self, _request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize> {
        let count = candidates.len() as u64;
        (count > 0).then(|| (random % count) as usize)
    }
}
