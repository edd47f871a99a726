//! Policies: each chooses among the candidates only, and the default keeps prefixes together within the load bound.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_policies::{Candidate, PolicyName, RoutingRequest};
use saddlerelay_types::engine::EngineLoad;
use saddlerelay_types::identity::{EngineId, WeightVersion};
use saddlerelay_types::request::Priority;

const SLOTS: u32 = 8;

fn candidate(place: usize, running: u32, version: u64) -> Candidate {
    Candidate {
        id: EngineId::new(format!("engine-{place}")),
        slots: SLOTS,
        in_flight: running,
        reported: EngineLoad { running, waiting: 0 },
        report_age_milliseconds: 0,
        same_zone: true,
        version: WeightVersion(version),
    }
}

fn request(prompt: &str, priority: Priority, staleness_share_percent: u32) -> RoutingRequest<'_> {
    RoutingRequest { prompt, priority, staleness_share_percent }
}

#[derive(Clone, Debug)]
struct Loads(Vec<u32>);

impl Arbitrary for Loads {
    fn arbitrary(generator: &mut Gen) -> Self {
        let loads: Vec<u8> = Vec::arbitrary(generator);
        Self(loads.into_iter().map(|load| u32::from(load) % (2 * SLOTS)).collect())
    }
}

fn candidates(loads: &Loads) -> Vec<Candidate> {
    loads.0.iter().enumerate().map(|(place, load)| candidate(place, *load, 1)).collect()
}

#[test]
fn every_policy_chooses_a_candidate_when_there_is_one() {
    fn holds(loads: Loads, prompt: String, random: u64) -> bool {
        let engines = candidates(&loads);
        PolicyName::ALL.into_iter().all(|name| {
            let chosen = name.build().choose(&request(&prompt, Priority::Interactive, 50), &engines, random);
            chosen.map_or(engines.is_empty(), |place| place < engines.len())
        })
    }
    let property = holds as fn(Loads, String, u64) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(14, 19)).tests(2_000).quickcheck(property);
}

#[test]
fn the_default_sends_a_prefix_to_the_same_engine_on_every_relay() {
    let engines: Vec<Candidate> = (0..6).map(|place| candidate(place, 2, 1)).collect();
    let policy = PolicyName::PrefixAffinity.build();
    let chosen: Vec<_> = (0..20)
        .map(|random| policy.choose(&request("price of fund 7", Priority::Batch, 50), &engines, random))
        .collect();
    assert!(chosen.iter().all(|place| *place == chosen[0]));
}

/// No engine far above the mean load is chosen, however popular its prefix.
#[test]
fn the_default_leaves_a_loaded_engine_in_spite_of_its_cache() {
    fn holds(loads: Loads, prompt: String, random: u64) -> bool {
        let engines = candidates(&loads);
        let policy = PolicyName::PrefixAffinity.build();
        let Some(place) = policy.choose(&request(&prompt, Priority::Interactive, 50), &engines, random) else {
            return engines.is_empty();
        };
        let mean = engines.iter().map(Candidate::utilization).sum::<f64>() / engines.len() as f64;
        let least = engines.iter().map(Candidate::utilization).fold(f64::INFINITY, f64::min);
        engines[place].utilization() < mean + 0.25 || engines[place].utilization() <= least
    }
    let property = holds as fn(Loads, String, u64) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(14, 23)).tests(2_000).quickcheck(property);
}

#[test]
fn rollouts_of_a_tenant_that_counts_staleness_keep_to_the_newest_version_while_it_has_room() {
    let policy = PolicyName::PrefixAffinity.build();
    let engines = vec![candidate(0, 1, 4), candidate(1, 5, 5), candidate(2, 1, 4)];
    for prompt in ["a", "b", "c", "d", "e", "f"] {
        assert_eq!(policy.choose(&request(prompt, Priority::Rollout, 70), &engines, 1), Some(1));
    }
    let full = vec![candidate(0, 1, 4), candidate(1, SLOTS, 5), candidate(2, 1, 4)];
    assert_ne!(policy.choose(&request("a", Priority::Rollout, 70), &full, 1), Some(1));
}

#[test]
fn names_are_read_back() {
    for name in PolicyName::ALL {
        assert_eq!(PolicyName::parse(name.as_str()), Some(name));
    }
    assert_eq!(PolicyName::parse("best"), None);
}
