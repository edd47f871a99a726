//! All policies pick a valid candidate; the default policy keeps prefix affinity within its load bound.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_policies::{Candidate, PolicyName, RoutingRequest};
use saddlerelay_types::engine::EngineLoad;
use saddlerelay_types::identity::{EngineId, WeightVersion};
use saddlerelay_types::request::Priority;

const SLOTS: u32 = 8;

fn candidate(index: usize, running: u32, version: u64) -> Candidate {
    Candidate {
        id: EngineId::new(format!("engine-{index}")),
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
    loads.0.iter().enumerate().map(|(index, load)| candidate(index, *load, 1)).collect()
}

#[test]
fn every_policy_picks_a_candidate_if_there_is_one() {
    fn holds(loads: Loads, prompt: String, random: u64) -> bool {
        let engines = candidates(&loads);
        PolicyName::ALL.into_iter().all(|name| {
            let chosen = name.build().choose(&request(&prompt, Priority::Interactive, 50), &engines, random);
            chosen.map_or(engines.is_empty(), |index| index < engines.len())
        })
    }
    let property = holds as fn(Loads, String, u64) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(14, 19)).tests(2_000).quickcheck(property);
}

#[test]
fn the_default_policy_sends_a_prefix_to_the_same_engine_on_every_relay() {
    let engines: Vec<Candidate> = (0..6).map(|index| candidate(index, 2, 1)).collect();
    let policy = PolicyName::PrefixAffinity.build();
    let chosen: Vec<_> = (0..20)
        .map(|random| policy.choose(&request("price of fund 7", Priority::Batch, 50), &engines, random))
        .collect();
    assert!(chosen.iter().all(|index| *index == chosen[0]));
}

/// Guards against overload of one engine by a popular prefix.
#[test]
fn the_default_policy_limits_the_load_of_an_engine_with_a_popular_prefix() {
    fn holds(loads: Loads, prompt: String, random: u64) -> bool {
        let engines = candidates(&loads);
        let policy = PolicyName::PrefixAffinity.build();
        let Some(index) = policy.choose(&request(&prompt, Priority::Interactive, 50), &engines, random) else {
            return engines.is_empty();
        };
        let mean = engines.iter().map(Candidate::utilization).sum::<f64>() / engines.len() as f64;
        let lowest = engines.iter().map(Candidate::utilization).fold(f64::INFINITY, f64::min);
        engines[index].utilization() < mean + 0.25 || engines[index].utilization() <= lowest
    }
    let property = holds as fn(Loads, String, u64) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(14, 23)).tests(2_000).quickcheck(property);
}

#[test]
fn rollouts_with_a_high_staleness_share_use_the_newest_version_while_it_has_a_free_slot() {
    let policy = PolicyName::PrefixAffinity.build();
    let engines = vec![candidate(0, 1, 4), candidate(1, 5, 5), candidate(2, 1, 4)];
    for prompt in ["a", "b", "c", "d", "e", "f"] {
        assert_eq!(policy.choose(&request(prompt, Priority::Rollout, 70), &engines, 1), Some(1));
    }
    let full = vec![candidate(0, 1, 4), candidate(1, SLOTS, 5), candidate(2, 1, 4)];
    assert_ne!(policy.choose(&request("a", Priority::Rollout, 70), &full, 1), Some(1));
}

#[test]
fn every_policy_name_parses_to_its_policy() {
    for name in PolicyName::ALL {
        assert_eq!(PolicyName::parse(name.as_str()), Some(name));
    }
    assert_eq!(PolicyName::parse("best"), None);
}
