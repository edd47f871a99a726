//! The engine with the smallest share of its slots in use.

use crate::{Candidate, Policy, RoutingRequest};

/// Chooses the least loaded; equal loads are decided at random.
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&self, _request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize> {
        least_loaded(candidates, random)
    }
}

/// The least loaded candidate, looking from a random place on.
pub fn least_loaded(candidates: &[Candidate], random: u64) -> Option<usize> {
    let count = candidates.len();
    let from = if count == 0 { 0 } else { (random % count as u64) as usize };
    let places = (0..count).map(|offset| (from + offset) % count);
    places.min_by(|left, right| candidates[*left].utilization().total_cmp(&candidates[*right].utilization()))
}
