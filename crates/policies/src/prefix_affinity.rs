//! Sends requests with the same prompt prefix to the same engine, to reuse its KV cache, unless its load is too high.
//!
//! The preferred engine is selected by rendezvous hashing of the prefix, so relays agree without coordination or cache
//! events. The load bound prevents a popular prefix from overloading one engine (consistent hashing with bounded loads;
//! Mirrokni, Thorup and Zadimoghaddam, 2018).

use crate::least_loaded::least_loaded;
use crate::{Candidate, Policy, RoutingRequest};
use saddlerelay_types::request::Priority;

/// An engine is eligible for affinity if its utilization is less than this above the lowest one.
const LOAD_SLACK: f64 = 0.15;

/// Staleness share, in percent, from which a tenant's rollouts prefer engines with the newest weight version.
const NEWEST_VERSION_SHARE_PERCENT: u32 = 50;

/// Prefix affinity with a load bound; the default policy.
pub struct PrefixAffinity;

impl Policy for PrefixAffinity {
    fn choose(&self, request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize> {
        let eligible = eligible_indexes(request, candidates);
        let eligible_candidates: Vec<Candidate> = eligible.iter().map(|index| candidates[*index].clone()).collect();
        let lowest = eligible_candidates.iter().map(Candidate::utilization).fold(f64::INFINITY, f64::min);
        let limit = lowest + LOAD_SLACK;
        let hash = request.prefix_hash();
        let within_limit =
            (0..eligible_candidates.len()).filter(|index| eligible_candidates[*index].utilization() < limit);
        let preferred = within_limit.max_by_key(|index| rendezvous_weight(hash, &eligible_candidates[*index]));
        let index = preferred.or_else(|| least_loaded(&eligible_candidates, random))?;
        Some(eligible[index])
    }
}

/// Indexes of the eligible candidates. Rollouts with a high staleness share use only engines with the newest weight
/// version, while one of them has a free slot.
fn eligible_indexes(request: &RoutingRequest<'_>, candidates: &[Candidate]) -> Vec<usize> {
    let all = || (0..candidates.len()).collect::<Vec<_>>();
    let prefers_newest =
        request.priority == Priority::Rollout && request.staleness_share_percent >= NEWEST_VERSION_SHARE_PERCENT;
    if !prefers_newest {
        return all();
    }
    let newest = candidates.iter().map(|candidate| candidate.version).max();
    let is_newest = |index: &usize| Some(candidates[*index].version) == newest;
    let free = |index: &usize| candidates[*index].utilization() < 1.0;
    let newest_free: Vec<usize> = (0..candidates.len()).filter(is_newest).filter(free).collect();
    if newest_free.is_empty() { all() } else { newest_free }
}

fn rendezvous_weight(prefix_hash: u64, candidate: &Candidate) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate.id.as_str().as_bytes(), prefix_hash)
}
