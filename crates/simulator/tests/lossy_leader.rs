//! Packet loss between the leader's zone and all others: leadership moves to another zone, while voters stay where they
//! are.

mod group;

use group::{Group, address};
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_simulator::network::LinkFaults;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..30;

/// Number of machines: three in each of four zones.
const MACHINES: u8 = 12;

/// Number of zones, with indexes from 1.
const ZONES: u8 = 4;

/// Observation time after the packet loss begins.
const OBSERVATION_TIME: Duration = Duration::from_secs(20);

/// Time limit for leadership to move to another zone, for nine of ten seeds.
const TRANSFER_LIMIT: Duration = Duration::from_secs(6);

/// Interval between observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// Observations of one run.
struct Observed {
    /// Time until leadership left the zone for the rest of the run.
    left_zone_after: Option<Duration>,
    /// Number of changes of leader.
    leader_changes: usize,
    /// Percentage of observations with a leader that holds the lease.
    leased_percent: usize,
    /// Maximum number of voters in the zone of the first leader.
    max_voters_in_zone: usize,
}

fn zone_of(index: u8) -> usize {
    usize::from((index - 1) % ZONES + 1)
}

fn index_of(wanted: SocketAddr) -> u8 {
    (1..=MACHINES).find(|index| address(*index) == wanted).expect("the address belongs to a machine")
}

/// A group of five voters and a learner, and six other machines, all of which receive announcements.
fn form_group(seed: u64) -> Group {
    let mut group = Group::new(seed);
    group.zones = (1..=MACHINES).map(|index| (index, zone_of(index))).collect::<BTreeMap<u8, usize>>();
    group.config = ReplicationConfig {
        // Avoids frequent snapshots, which would dominate the traffic.
        snapshot_entries: 40_000,
        memory_bytes: 512 * 1024,
        memory_bytes_behind: 3 * 1024 * 1024,
        call_timeout: Duration::from_millis(700),
        ..group.config
    };
    let mut group = group.form();
    (6..=MACHINES).for_each(|index| group.start(index, false));
    group.run_for(Duration::from_secs(2));
    let machines: BTreeSet<SocketAddr> = (1..=MACHINES).map(address).collect();
    group.nodes().iter().for_each(|node| node.set_announcement_targets(machines.clone()));
    group.propose_for(Duration::from_secs(1));
    group
}

fn packet_loss(per_mille: u64) -> LinkFaults {
    LinkFaults { lost_per_mille: per_mille, ..LinkFaults::default() }
}

/// Observes a group after `apply_faults` was called with the first leader's zone.
fn observe(seed: u64, apply_faults: impl FnOnce(&Group, usize)) -> Observed {
    let mut group = form_group(seed);
    let zone = zone_of(group.leader_index().expect("there is a leader"));
    apply_faults(&group, zone);
    let began = group.world.clock.now();
    let (mut observations, mut leased, mut leader_changes, mut max_voters_in_zone) = (0, 0, 0, 0);
    let (mut last, mut left_zone_after) = (group.leader().map(|leader| leader.id()), None);
    while group.world.clock.now() < began + OBSERVATION_TIME {
        group.propose();
        group.run_for(OBSERVATION_INTERVAL);
        observations += 1;
        let holders = group.nodes().iter().filter(|node| node.leading_term().is_some()).count();
        assert!(holders <= 1, "seed {seed}: {holders} replicas hold the lease");
        let Some(leader) = group.leader() else {
            continue;
        };
        leased += 1;
        if last != Some(leader.id()) {
            last = Some(leader.id());
            leader_changes += 1;
        }
        if zone_of(index_of(leader.address())) == zone {
            left_zone_after = None;
        } else if left_zone_after.is_none() {
            left_zone_after = Some(group.world.clock.now() - began);
        }
        let view = leader.view().expect("the leader has a view");
        let in_zone = |address: SocketAddr| zone_of(index_of(address)) == zone;
        let voters = view.replicas.iter().filter(|replica| replica.voter && in_zone(replica.address)).count();
        max_voters_in_zone = max_voters_in_zone.max(voters);
    }
    group.check(&format!("seed {seed}"));
    Observed { left_zone_after, leader_changes, leased_percent: leased * 100 / observations, max_voters_in_zone }
}

/// Observes a group for each seed and prints a row of the table in `docs/design/lossy-leader.md`.
fn observe_all(what: &str, apply_faults: impl Fn(&Group, usize)) -> Vec<Observed> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let observed: Vec<Observed> = SEEDS.map(|seed| observe(seed, &apply_faults)).collect();
    let mut times_to_leave: Vec<Duration> = observed.iter().filter_map(|run| run.left_zone_after).collect();
    times_to_leave.sort_unstable();
    println!(
        "| {what} | {} of {} | {:.1}, {:.1} | {} | {}, {} | {} |",
        times_to_leave.len(),
        observed.len(),
        times_to_leave.get(times_to_leave.len() / 2).copied().unwrap_or_default().as_secs_f64(),
        times_to_leave.last().copied().unwrap_or_default().as_secs_f64(),
        observed.iter().map(|run| run.leased_percent).sum::<usize>() / observed.len(),
        observed.iter().map(|run| run.leader_changes).sum::<usize>(),
        observed.iter().map(|run| run.leader_changes).max().unwrap_or_default(),
        observed.iter().map(|run| run.max_voters_in_zone).max().unwrap_or_default(),
    );
    observed
}

/// Guards against a leader that keeps its lease over lossy links while voters in other zones have better ones.
#[test]
fn a_leader_with_lossy_links_transfers_leadership() {
    let observed = observe_all("its zone loses 0.2", |group, zone| {
        group.world.network.set_zone_link_faults(zone, packet_loss(200))
    });
    let in_time = |run: &&Observed| run.left_zone_after.is_some_and(|after| after <= TRANSFER_LIMIT);
    let count = observed.iter().filter(in_time).count();
    assert!(count * 10 >= observed.len() * 9, "{count} of {} left the zone that loses packets", observed.len());
    assert!(observed.iter().all(|run| run.left_zone_after.is_some()), "leadership stayed in the lossy zone");
    assert!(observed.iter().all(|run| run.leader_changes <= 2), "leadership changed more than twice");
}

/// Guards against a leader with lossy links that replaces reachable voters by learners of its own zone because their
/// append replies are delayed.
#[test]
fn voters_do_not_move_to_a_lossy_zone() {
    let observed = observe_all("the same, members", |group, zone| {
        group.world.network.set_zone_link_faults(zone, packet_loss(200));
    });
    let with_quorum_in_zone = observed.iter().filter(|run| run.max_voters_in_zone > 2).count();
    assert!(
        with_quorum_in_zone == 0,
        "in {with_quorum_in_zone} of {} a quorum of the voters was in that zone",
        observed.len()
    );
}

#[test]
fn leadership_is_seldom_transferred_under_uniform_loss() {
    let observed = observe_all("all zones lose 0.2", |group, _| group.world.network.set_link_faults(packet_loss(200)));
    let leader_changes = observed.iter().map(|run| run.leader_changes).sum::<usize>();
    assert!(
        leader_changes * 3 <= observed.len(),
        "leadership changed {leader_changes} times in {} runs",
        observed.len()
    );
}

#[test]
fn leadership_is_stable_without_loss() {
    let observed = observe_all("nothing lost", |_, _| {});
    assert!(observed.iter().all(|run| run.leader_changes == 0), "leadership changed without faults");
}
