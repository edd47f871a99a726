//! Requests with the same prefix go to the same engine, unless it is loaded beyond its share.
//!
//! The preferred engine follows from the prefix alone by rendezvous hashing, so relays agree without telling each
//! other, and cache events may be late or missing. The load bound keeps one popular prefix from filling one engine
//! (consistent hashing with bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2018).

use crate::least_loaded::least_loaded;
use crate::{Candidate, Policy, RoutingRequest};
use saddlerelay_types::request::Priority;

/// How far above the least utilization an engine may be and still be preferred for its cache.
const LOAD_SLACK: f64 = 0.15;

/// Share of the tenant's weight on staleness from which rollouts keep to the newest version.
const NEWEST_VERSION_SHARE_PERCENT: u32 = 50;

/// The default policy.
pub struct PrefixAffinity;

impl Policy for PrefixAffinity {
    fn choose(&self, request: &RoutingRequest<'_>, candidates: &[Candidate], random: u64) -> Option<usize> {
        let allowed = allowed_places(request, candidates);
        let chosen: Vec<Candidate> = allowed.iter().map(|place| candidates[*place].clone()).collect();
        let least = chosen.iter().map(Candidate::utilization).fold(f64::INFINITY, f64::min);
        let limit = least + LOAD_SLACK;
        let hash = request.prefix_hash();
        let within_limit = (0..chosen.len()).filter(|place| chosen[*place].utilization() < limit);
        let preferred = within_limit.max_by_key(|place| rendezvous_weight(hash, &chosen[*place]));
        let place = preferred.or_else(|| least_loaded(&chosen, random))?;
        Some(allowed[place])
    }
}

/// Rollouts of a tenant that counts staleness keep to engines with the newest version while one has a free slot.
fn allowed_places(request: &RoutingRequest<'_>, candidates: &[Candidate]) -> Vec<usize> {
    let all = || (0..candidates.len()).collect::<Vec<_>>();
    let keeps_to_newest =
        request.priority == Priority::Rollout && request.staleness_share_percent >= NEWEST_VERSION_SHARE_PERCENT;
    if !keeps_to_newest {
        return all();
    }
    let newest = candidates.iter().map(|candidate| candidate.version).max();
    let is_newest = |place: &usize| Some(candidates[*place].version) == newest;
    let free = |place: &usize| candidates[*place].utilization() < 1.0;
    let fresh: Vec<usize> = (0..candidates.len()).filter(is_newest).filter(free).collect();
    if fresh.is_empty() { all() } else { fresh }
}

fn rendezvous_weight(prefix_hash: u64, candidate: &Candidate) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate.id.as_str().as_bytes(), prefix_hash)
}
