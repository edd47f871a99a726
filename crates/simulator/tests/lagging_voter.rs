//! A voter behind links that carry less than the group writes: the group must not depend on it after two other voters
//! have lost their disks.

mod group;

use group::{Group, address};
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_simulator::network::LinkFaults;
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Number of threads that run the seeds.
const THREADS: usize = 5;

/// Number of machines: five voters, a learner and two that may join.
const MACHINES: u8 = 8;

/// Number of zones, with indexes from 1. Those of the fifth and sixth machine have two members.
const ZONES: u8 = 4;

/// Links of the zone, which lose a fifth and carry less than the group writes.
const LOSSY_LINKS: LinkFaults = LinkFaults {
    lost_per_mille: 200,
    bytes_per_second: 10_000,
    connect_delay: Duration::ZERO,
    connect_jitter: Duration::ZERO,
};

/// Time from the start of the packet loss to the power loss.
const LOSSY_TIME: Duration = Duration::from_secs(20);

/// Time after the machines are back by which the group serves again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

fn zone_of(index: u8) -> usize {
    usize::from((index - 1) % ZONES + 1)
}

/// A group of five voters that keeps its log rather than taking snapshots often.
fn form_group(seed: u64) -> Group {
    let mut group = Group::new(seed);
    group.zones = (1..=MACHINES).map(|index| (index, zone_of(index))).collect::<BTreeMap<u8, usize>>();
    group.config = ReplicationConfig {
        snapshot_entries: 40_000,
        memory_bytes: 512 * 1024,
        memory_bytes_behind: 3 * 1024 * 1024,
        call_timeout: Duration::from_millis(700),
        ..group.config
    };
    let mut group = group.form();
    (6..=MACHINES).for_each(|index| group.start(index, false));
    group.propose_for(Duration::from_secs(3));
    group
}

/// Indexes of the machines that vote.
fn voters(group: &Group) -> Vec<u8> {
    let view = group.leader().and_then(|leader| leader.view()).expect("there is a leader");
    let is_voter = |index: &u8| view.replicas.iter().any(|replica| replica.voter && replica.address == address(*index));
    (1..=MACHINES).filter(is_voter).collect()
}

/// A voter that shares its zone with no other voter, and is not the leader.
fn lone_follower(group: &Group) -> u8 {
    let voters = voters(group);
    let is_alone = |index: &u8| voters.iter().filter(|other| zone_of(**other) == zone_of(*index)).count() == 1;
    let mut candidates = voters.iter().copied().filter(|index| Some(*index) != group.leader_index());
    candidates.find(is_alone).expect("a zone has one voter")
}

/// Time until the group commits again after all machines have lost power and two voters outside the lossy zone their
/// disks.
fn time_to_recover(seed: u64) -> Option<Duration> {
    let mut group = form_group(seed);
    let lossy_zone = zone_of(lone_follower(&group));
    group.world.network.set_zone_link_faults(lossy_zone, LOSSY_LINKS);
    group.propose_for(LOSSY_TIME);
    let lost_disks: Vec<u8> =
        voters(&group).into_iter().filter(|index| zone_of(*index) != lossy_zone).take(2).collect();
    for index in 1..=MACHINES {
        if lost_disks.contains(&index) { group.lose_disk(index) } else { group.power_off(index) }
    }
    (1..=MACHINES).for_each(|index| group.start(index, false));
    let started_at = group.world.clock.now();
    let committed = group.acknowledged.borrow().len();
    let acknowledged = group.acknowledged.clone();
    let recovered = group.propose_until(RECOVERY_LIMIT * 5, move || acknowledged.borrow().len() > committed);
    let elapsed = group.world.clock.now() - started_at;
    if recovered {
        group.check(&format!("seed {seed}"));
    }
    recovered.then_some(elapsed)
}

/// Runs all seeds on several threads; the results are in the order of the seeds.
fn run_all() -> Vec<(u64, Option<Duration>)> {
    let seeds: Vec<u64> = SEEDS.collect();
    let chunk_size = seeds.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let run_seeds = |seeds: &[u64]| seeds.iter().map(|seed| (*seed, time_to_recover(*seed))).collect::<Vec<_>>();
        let threads: Vec<_> = seeds.chunks(chunk_size).map(|seeds| scope.spawn(move || run_seeds(seeds))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("the thread did not panic")).collect()
    })
}

/// Guards against a group that can commit nothing for as long as a lagging voter needs to catch up over bad links.
#[test]
fn the_group_recovers_without_waiting_for_a_lagging_voter() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let times = run_all();
    let late: Vec<_> = times.iter().filter(|(_, time)| time.is_none_or(|time| time > RECOVERY_LIMIT)).collect();
    assert!(late.is_empty(), "{} of {} seeds recover late: {late:?}", late.len(), times.len());
}
