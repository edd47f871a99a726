//! Zones of voters: no zone holds a quorum of voters once the group is spread, and the group commits again soon after
//! it has lost two disks outside a zone with lossy links.

mod group;

use group::{Group, address};
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_replication::voter_spread::LossTolerance;
use saddlerelay_simulator::network::LinkFaults;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..24;

/// Number of threads that run the seeds.
const THREADS: usize = 3;

/// Number of machines: five voters, a learner and others that may join.
const MACHINES: u8 = 12;

/// Number of zones, with indexes from 1; each has the same number of machines.
const ZONES: u8 = 4;

/// Links of the lossy zone, which lose a fifth and carry less than the group writes.
const LOSSY_LINKS: LinkFaults = LinkFaults {
    lost_per_mille: 200,
    bytes_per_second: 10_000,
    connect_delay: Duration::ZERO,
    connect_jitter: Duration::ZERO,
};

/// Time from the start of the packet loss to the power loss.
const LOSSY_TIME: Duration = Duration::from_secs(20);

/// Time after the machines are back by which the group commits again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Interval between observations of the members.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which a group that a zone holds a quorum of is corrected.
const CORRECTION_LIMIT: Duration = Duration::from_secs(10);

/// Time within which an unreachable voter is removed; it is replaced after 1.5 s.
const REMOVAL_LIMIT: Duration = Duration::from_secs(4);

/// Time within which a voter whose log is behind is removed: 6 s of lag, and the transfer of the state to a learner.
const LAG_REMOVAL_LIMIT: Duration = Duration::from_secs(20);

/// What happens to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// The leader's zone has the lossy links.
    LeaderInLossyZone,
    /// The leader loses power while another zone has lossy links.
    ElectionDuringLoss,
    /// Two voters are in the lossy zone.
    TwoVotersInLossyZone,
    /// Snapshots are written while a voter lags.
    SnapshotsWhileLagging,
}

/// Result of one run.
#[derive(Debug)]
struct Outcome {
    seed: u64,
    /// Time until the group committed again after the loss of two disks.
    recovered_after: Option<Duration>,
    /// Zones that held a quorum of the voters at some time, with the number of voters.
    crowded: Vec<(usize, usize)>,
}

/// A group whose replicas know the zones of all machines.
struct ZonedGroup {
    group: Group,
    zone_of: fn(u8) -> usize,
    /// Zones that the replicas know, by address.
    registered: BTreeMap<SocketAddr, String>,
    crowded: Vec<(usize, usize)>,
}

fn zone_of(index: u8) -> usize {
    usize::from((index - 1) % ZONES + 1)
}

fn registered_zones(zone_of: fn(u8) -> usize) -> BTreeMap<SocketAddr, String> {
    (1..=MACHINES).map(|index| (address(index), format!("zone-{}", zone_of(index)))).collect()
}

impl ZonedGroup {
    /// Forms a group of five voters from machines 1 to 5, and starts all others.
    fn form(seed: u64, snapshot_entries: u64, zone_of: fn(u8) -> usize) -> Self {
        let mut group = Group::new(seed);
        group.zones = (1..=MACHINES).map(|index| (index, zone_of(index))).collect();
        group.config = ReplicationConfig {
            snapshot_entries,
            memory_bytes: 512 * 1024,
            memory_bytes_behind: 3 * 1024 * 1024,
            call_timeout: Duration::from_millis(700),
            ..group.config
        };
        let mut zoned =
            Self { group: group.form(), zone_of, registered: registered_zones(zone_of), crowded: Vec::new() };
        zoned.pass_zones();
        (6..=MACHINES).for_each(|index| zoned.group.start(index, false));
        zoned.propose_for(Duration::from_secs(3));
        zoned
    }

    /// Passes the zones to all running replicas, as the control state does.
    fn pass_zones(&self) {
        self.group.nodes().iter().for_each(|node| node.set_zones(self.registered.clone()));
    }

    /// Indexes of the machines that vote, in the leader's view.
    fn voters(&self) -> Vec<u8> {
        let view = self.group.leader().and_then(|leader| leader.view());
        let replicas = view.map_or(Vec::new(), |view| view.replicas);
        let is_voter = |index: &u8| replicas.iter().any(|replica| replica.voter && replica.address == address(*index));
        (1..=MACHINES).filter(is_voter).collect()
    }

    fn is_member(&self, index: u8) -> bool {
        let view = self.group.leader().and_then(|leader| leader.view());
        view.is_some_and(|view| view.replicas.iter().any(|replica| replica.address == address(index)))
    }

    fn voters_in(&self, zone: usize) -> usize {
        self.voters().into_iter().filter(|index| (self.zone_of)(*index) == zone).count()
    }

    /// The zone that holds a quorum of the voters, if any, with its number of voters.
    fn crowded_zone(&self) -> Option<(usize, usize)> {
        let quorum = self.voters().len() / 2 + 1;
        let counts = (1..=usize::from(ZONES)).map(|zone| (zone, self.voters_in(zone)));
        counts.into_iter().find(|(_, count)| *count >= quorum)
    }

    /// Proposes until `done` returns true, or `limit` has passed, while the members are observed. Returns whether it
    /// did.
    fn propose_until(&mut self, limit: Duration, done: impl Fn() -> bool) -> bool {
        let until = self.group.world.clock.now() + limit;
        while self.group.world.clock.now() < until {
            if self.group.propose_until(OBSERVATION_INTERVAL, &done) {
                return true;
            }
            self.pass_zones();
            self.crowded.extend(self.crowded_zone());
        }
        false
    }

    fn propose_for(&mut self, time: Duration) {
        self.propose_until(time, || false);
    }

    fn leader(&self) -> u8 {
        self.group.leader_index().expect("there is a leader")
    }

    /// The lossy zone of a case.
    fn choose_lossy_zone(&mut self, case: Case) -> usize {
        let leader_zone = (self.zone_of)(self.leader());
        let zones = || 1..=usize::from(ZONES);
        match case {
            Case::LeaderInLossyZone => leader_zone,
            Case::TwoVotersInLossyZone => {
                zones().find(|zone| self.voters_in(*zone) == 2).expect("a zone has two voters")
            }
            Case::ElectionDuringLoss | Case::SnapshotsWhileLagging => zones()
                .find(|zone| self.voters_in(*zone) == 1 && *zone != leader_zone)
                .expect("a zone has one voter that does not lead"),
        }
    }

    /// How many zones and disks may be lost, in the leader's view.
    fn tolerance(&self) -> Option<LossTolerance> {
        self.group.leader().and_then(|leader| leader.loss_tolerance())
    }

    /// Restarts all machines after a power loss that takes the disks of two voters outside the lossy zone. Returns the
    /// time until the group commits again.
    fn lose_two_disks(&mut self, lossy_zone: usize) -> Option<Duration> {
        let outside = self.voters().into_iter().filter(|index| (self.zone_of)(*index) != lossy_zone);
        let lost_disks: Vec<u8> = outside.take(2).collect();
        for index in 1..=MACHINES {
            if lost_disks.contains(&index) { self.group.lose_disk(index) } else { self.group.power_off(index) }
        }
        (1..=MACHINES).for_each(|index| self.group.start(index, false));
        let started_at = self.group.world.clock.now();
        let committed = self.group.acknowledged.borrow().len();
        let acknowledged = self.group.acknowledged.clone();
        let recovered = self.propose_until(RECOVERY_LIMIT * 2, move || acknowledged.borrow().len() > committed);
        recovered.then(|| self.group.world.clock.now() - started_at)
    }
}

fn run(seed: u64, case: Case) -> Outcome {
    let snapshot_entries = if case == Case::SnapshotsWhileLagging { 400 } else { 40_000 };
    let mut zoned = ZonedGroup::form(seed, snapshot_entries, zone_of);
    let lossy_zone = zoned.choose_lossy_zone(case);
    zoned.group.world.network.set_zone_link_faults(lossy_zone, LOSSY_LINKS);
    if case == Case::ElectionDuringLoss {
        zoned.propose_for(LOSSY_TIME / 2);
        if let Some(leader) = zoned.group.leader_index() {
            zoned.group.power_off(leader);
            zoned.propose_for(Duration::from_millis(500));
            zoned.group.start(leader, false);
        }
        zoned.propose_for(LOSSY_TIME / 2);
    } else {
        zoned.propose_for(LOSSY_TIME);
    }
    let recovered_after = zoned.lose_two_disks(lossy_zone);
    if recovered_after.is_some() {
        zoned.propose_for(Duration::from_secs(5));
        zoned.group.check(&format!("{case:?}, seed {seed}"));
    }
    Outcome { seed, recovered_after, crowded: zoned.crowded }
}

/// Runs all seeds of a case on several threads.
fn run_all(case: Case) -> Vec<Outcome> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let seeds: Vec<u64> = SEEDS.collect();
    std::thread::scope(|scope| {
        let run_seeds = |seeds: &[u64]| seeds.iter().map(|seed| run(*seed, case)).collect::<Vec<_>>();
        let chunks = seeds.chunks(seeds.len().div_ceil(THREADS));
        let threads: Vec<_> = chunks.map(|seeds| scope.spawn(move || run_seeds(seeds))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("the thread did not panic")).collect()
    })
}

fn check_all(case: Case) {
    let outcomes = run_all(case);
    let count = outcomes.len();
    let is_late = |outcome: &&Outcome| outcome.recovered_after.is_none_or(|after| after > RECOVERY_LIMIT);
    let late: Vec<_> = outcomes.iter().filter(is_late).map(|run| (run.seed, run.recovered_after)).collect();
    let is_crowded = |outcome: &&Outcome| !outcome.crowded.is_empty();
    let crowded: Vec<_> = outcomes.iter().filter(is_crowded).map(|run| (run.seed, run.crowded[0])).collect();
    assert!(
        late.is_empty() && crowded.is_empty(),
        "{case:?}: {} of {count} seeds recover late: {late:?}; a zone holds a quorum in {} seeds: {crowded:?}",
        late.len(),
        crowded.len()
    );
}

/// Guards against a leader that removes sound voters which are late only over its own links.
#[test]
fn voters_stay_spread_with_the_leader_in_the_lossy_zone() {
    check_all(Case::LeaderInLossyZone);
}

/// Guards against a new leader that judges voters by what it has not heard yet.
#[test]
fn voters_stay_spread_over_an_election_during_packet_loss() {
    check_all(Case::ElectionDuringLoss);
}

/// Guards against a leader that takes two late voters of one zone for a fault of its own links.
#[test]
fn two_voters_in_the_lossy_zone_do_not_delay_recovery() {
    check_all(Case::TwoVotersInLossyZone);
}

/// Guards against a group that depends on a voter which needs a snapshot over lossy links.
#[test]
fn voters_stay_spread_while_snapshots_are_written_and_a_voter_lags() {
    check_all(Case::SnapshotsWhileLagging);
}

/// Machines 1 to 3 and 5 are in one zone, so that the group is formed with a quorum of voters there.
fn crowded_zone_of(index: u8) -> usize {
    if index <= 3 { 1 } else { zone_of(index) }
}

/// Guards against a group that keeps a quorum of its voters in one zone although machines of other zones could vote.
#[test]
fn a_group_with_a_quorum_in_one_zone_is_corrected() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        let mut zoned = ZonedGroup::form(seed, 40_000, crowded_zone_of);
        assert!(!zoned.crowded.is_empty(), "seed {seed}: the group is not formed with a quorum in one zone");
        zoned.propose_for(CORRECTION_LIMIT);
        assert_eq!(zoned.tolerance(), Some(LossTolerance { zones: 1, disks: 2 }), "seed {seed}");
        assert_eq!(zoned.crowded_zone(), None, "seed {seed}: voters {:?}", zoned.voters());
        assert_eq!(zoned.voters().len(), 5, "seed {seed}");
        zoned.group.check(&format!("seed {seed}"));
    }
}

/// Guards against the admission and promotion of a machine of a crowded zone while one of another zone could join.
#[test]
fn a_lost_machine_is_not_replaced_in_a_crowded_zone() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        // Three zones: the voters are two, two and one.
        let mut zoned = ZonedGroup::form(seed, 40_000, |index| usize::from((index - 1) % 3 + 1));
        zoned.propose_for(Duration::from_secs(2));
        for _ in 0..2 {
            let leader = zoned.leader();
            let lone = (1..=3).find(|zone| zoned.voters_in(*zone) == 1).expect("a zone has one voter");
            let candidates = zoned.voters().into_iter().filter(|index| *index != leader);
            let lost = candidates.max_by_key(|index| (zoned.zone_of)(*index) == lone).expect("there are voters");
            zoned.group.lose_disk(lost);
            zoned.propose_for(Duration::from_secs(5));
            assert_eq!(zoned.voters().len(), 5, "seed {seed}");
        }
        assert!(zoned.crowded.is_empty(), "seed {seed}: a quorum in one zone: {:?}", zoned.crowded);
    }
}

/// Guards against a new leader that does not complete the replacement that its predecessor has begun.
#[test]
fn a_leader_lost_between_removal_and_promotion_is_succeeded_by_one_that_promotes() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        let mut group = Group::new(seed);
        group.zones = (1..=MACHINES).map(|index| (index, crowded_zone_of(index))).collect();
        let mut zoned = ZonedGroup {
            group: group.form(),
            zone_of: crowded_zone_of,
            registered: registered_zones(crowded_zone_of),
            crowded: Vec::new(),
        };
        zoned.pass_zones();
        assert_eq!(zoned.tolerance(), Some(LossTolerance { zones: 0, disks: 2 }), "seed {seed}");
        (6..=MACHINES).for_each(|index| zoned.group.start(index, false));
        let leader = zoned.group.leader().expect("there is a leader");
        let voters = move || leader.view().map_or(0, |view| view.replicas.iter().filter(|member| member.voter).count());
        assert!(zoned.group.run_until(CORRECTION_LIMIT, move || voters() == 4), "seed {seed}: no voter was removed");
        zoned.group.power_off(zoned.leader());
        zoned.propose_for(CORRECTION_LIMIT * 2);
        assert_eq!(zoned.voters().len(), 5, "seed {seed}");
        assert_eq!(zoned.crowded_zone(), None, "seed {seed}: voters {:?}", zoned.voters());
        zoned.group.check(&format!("seed {seed}"));
    }
}

/// Guards against a wrong registration of one machine that stops changes of the membership.
#[test]
fn a_machine_with_a_wrong_zone_is_replaced_like_any_other() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    // Machine 3 is registered with the zone of machine 1.
    let wrong_zone_of = |index: u8| if index == 3 { zone_of(1) } else { zone_of(index) };
    for seed in SEEDS {
        let mut zoned = ZonedGroup::form(seed, 40_000, wrong_zone_of);
        zoned.propose_for(CORRECTION_LIMIT);
        assert_eq!(zoned.crowded_zone(), None, "seed {seed}: voters {:?}", zoned.voters());
        let leader = zoned.leader();
        let lost = zoned.voters().into_iter().find(|index| *index != leader).expect("there are voters");
        zoned.group.lose_disk(lost);
        zoned.propose_for(Duration::from_secs(6));
        assert_eq!(zoned.voters().len(), 5, "seed {seed}");
        assert_eq!(zoned.crowded_zone(), None, "seed {seed}: voters {:?}", zoned.voters());
    }
}

/// A group whose machines are registered in one zone, except for the one that is chosen: its zone is not known yet. The
/// links of each machine are those of a network zone of its own.
fn group_with_unregistered_machine(seed: u64, choose: fn(&ZonedGroup, u8) -> bool) -> (ZonedGroup, u8) {
    let mut zoned = ZonedGroup::form(seed, 40_000, usize::from);
    let leader = zoned.leader();
    let mut others = (1..=MACHINES).filter(|index| *index != leader);
    let machine = others.find(|index| choose(&zoned, *index)).expect("there is such a machine");
    zoned.registered = registered_zones(|_| 1);
    zoned.registered.remove(&address(machine));
    zoned.pass_zones();
    (zoned, machine)
}

fn group_with_unregistered_voter(seed: u64) -> (ZonedGroup, u8) {
    group_with_unregistered_machine(seed, |zoned, index| zoned.voters().contains(&index))
}

/// Guards against a leader that blames its links to other zones for the silence of a voter of unknown zone.
#[test]
fn an_unreachable_voter_of_unknown_zone_is_removed() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        let (mut zoned, voter) = group_with_unregistered_voter(seed);
        zoned.group.world.network.partition(usize::from(voter), false);
        zoned.propose_for(REMOVAL_LIMIT);
        assert!(!zoned.voters().contains(&voter), "seed {seed}: the voter was not removed");
        zoned.group.check(&format!("seed {seed}"));
    }
}

/// Guards against a leader that blames its links to other zones for the lag of a voter of unknown zone.
#[test]
fn a_lagging_voter_of_unknown_zone_is_removed() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        let (mut zoned, voter) = group_with_unregistered_voter(seed);
        zoned.group.world.network.set_zone_link_faults(usize::from(voter), LOSSY_LINKS);
        zoned.propose_for(LAG_REMOVAL_LIMIT);
        assert!(!zoned.voters().contains(&voter), "seed {seed}: the voter was not removed");
        zoned.group.check(&format!("seed {seed}"));
    }
}

/// Guards against a sound voter that is replaced by a machine of unknown zone, as if that were a zone without voters.
#[test]
fn a_machine_of_unknown_zone_replaces_no_sound_voter() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for seed in SEEDS {
        let (mut zoned, _) = group_with_unregistered_machine(seed, |zoned, index| !zoned.is_member(index));
        let voters = zoned.voters();
        zoned.propose_for(CORRECTION_LIMIT);
        assert_eq!(zoned.voters(), voters, "seed {seed}");
        zoned.group.check(&format!("seed {seed}"));
    }
}
