//! Picks the engine with the lowest utilization.

use crate::{Candidate, Policy, RoutingRequest};

/// Picks the least loaded engine; ties are broken at random.
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&self, _request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize> {
        least_loaded(candidates, random)
    }
}

/// The index of the least loaded candidate. The search starts at a random index, which breaks ties at random.
pub fn least_loaded(candidates: &[Candidate], random: u64) -> Option<usize> {
    let count = candidates.len();
    let start = if count == 0 { 0 } else { (random % count as u64) as usize };
    let indexes = (0..count).map(|offset| (start + offset) % count);
    indexes.min_by(|left, right| candidates[*left].utilization().total_cmp(&candidates[*right].utilization()))
}
