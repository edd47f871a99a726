//! Faults during a state transfer to a voter behind lossy links: what was received is kept and verified, and the
//! transfer continues from another source.

mod transfer_group;

use saddlerelay_replication::StateMachine;
use saddlerelay_simulator::network::LinkFaults;
use std::collections::BTreeMap;
use std::time::Duration;
use transfer_group::{TransferGroup, for_each_seed, name};

const SEEDS: std::ops::Range<u64> = 0..9;

const BYTES_PER_SECOND: u64 = 100_000;

const LOSSY_LINKS: LinkFaults = LinkFaults {
    lost_per_mille: 200,
    bytes_per_second: BYTES_PER_SECOND,
    connect_delay: Duration::ZERO,
    connect_jitter: Duration::ZERO,
};

/// Size of a segment of the test group.
const SEGMENT_BYTES: u64 = 256 * 1024;

/// Time for elections and retransmissions in addition to that which the bytes need.
const OVERHEAD: Duration = Duration::from_secs(5);

/// A group with one voter that is behind by a snapshot and has just started behind lossy links.
struct Setup {
    group: TransferGroup,
    behind: u8,
    /// Commit index when the voter started.
    commit: u64,
    /// Bytes of the snapshot and of the segments that the voter lacks.
    bytes: u64,
    sent_before: u64,
    started_at: Duration,
}

impl Setup {
    fn new(seed: u64, voters: u8, zones: BTreeMap<u8, usize>) -> Self {
        let lossy_zone = zones.get(&1).copied();
        let mut group = TransferGroup::formed(seed, voters, zones);
        let in_lossy_zone = |index: &u8| lossy_zone.is_none() || group.zones.get(index).copied() == lossy_zone;
        let behind = group.followers().into_iter().find(in_lossy_zone).expect("a follower is in the zone");
        group.power_off(behind);
        group.propose_for(Duration::from_secs(3));
        let leader = group.leader_index().and_then(|index| group.node(index)).expect("there is a leader");
        let files = group.world.disks.names(&name(behind));
        let (snapshot, segments) = leader.read_local(|payloads| (payloads.snapshot().len(), payloads.segments()));
        let missing = segments.iter().filter(|segment| !files.contains(&format!("segment-{}", segment.number)));
        let bytes = snapshot as u64 + missing.map(|segment| segment.bytes).sum::<u64>();
        let commit = leader.read_index().expect("the leader has a lease");
        let zone = lossy_zone.unwrap_or(behind.into());
        group.world.network.set_zone_link_faults(zone, LOSSY_LINKS);
        group.start(behind, false);
        let started_at = group.world.clock.now();
        let sent_before = group.world.network.sent_between_zones().1;
        Self { group, behind, commit, bytes, sent_before, started_at }
    }

    /// Time that `bytes` need in addition to those of the transfer.
    fn limit_with(&self, more_bytes: u64) -> Duration {
        OVERHEAD + Duration::from_millis((self.bytes + more_bytes) * 1_300 / BYTES_PER_SECOND)
    }

    fn sent_bytes(&self) -> u64 {
        self.group.world.network.sent_between_zones().1 - self.sent_before
    }

    fn stored_segments(&self) -> usize {
        let files = self.group.world.disks.names(&name(self.behind));
        files.iter().filter(|file| file.starts_with("segment-") && !file.ends_with(".new")).count()
    }

    /// Runs until the voter has stored `count` more segments.
    fn await_segments(&mut self, count: usize) {
        let wanted = self.stored_segments() + count;
        let until = self.group.world.clock.now() + Duration::from_secs(60);
        while self.stored_segments() < wanted {
            assert!(self.group.world.clock.now() < until, "no segment arrives");
            self.group.run_for(Duration::from_millis(100));
        }
    }

    /// Runs until the voter has applied what was committed when it started; returns the time since then.
    fn await_transfer(&mut self, limit: Duration) -> Option<Duration> {
        let until = self.started_at + limit;
        let is_done = |group: &TransferGroup, behind, commit| {
            group.node(behind).is_some_and(|node| node.applied_index() >= commit)
        };
        while !is_done(&self.group, self.behind, self.commit) {
            if self.group.world.clock.now() >= until {
                return None;
            }
            self.group.run_for(Duration::from_millis(100));
        }
        Some(self.group.world.clock.now() - self.started_at)
    }

    /// Checks that each segment of the voter's state is on its disk with the right content.
    fn check_segments(&self, what: &str) {
        let node = self.group.node(self.behind).expect("the voter runs");
        for segment in node.read_local(|payloads| payloads.segments()) {
            let file = format!("segment-{}", segment.number);
            let content = self.group.world.disks.content(&name(self.behind), &file);
            assert!(content.is_some_and(|bytes| segment.matches(&bytes)), "{what}: {file} is wrong");
        }
    }
}

fn all_in_time<T: std::fmt::Debug>(times: Vec<(u64, (Option<Duration>, T))>) {
    let late: Vec<_> = times.iter().filter(|(_, (time, _))| time.is_none()).collect();
    assert!(late.is_empty(), "{} of {} seeds are late: {late:?}", late.len(), times.len());
}

/// Guards against segments that are fetched again after a restart of the receiver, and against damaged files that are
/// used.
#[test]
fn a_restarted_receiver_uses_the_segments_on_its_disk() {
    let times = for_each_seed(SEEDS, |seed| {
        let mut setup = Setup::new(seed, 3, BTreeMap::new());
        setup.await_segments(4);
        let behind = setup.behind;
        setup.group.power_off(behind);
        let files = setup.group.world.disks.names(&name(behind));
        let stored = files.iter().filter_map(|file| file.strip_prefix("segment-")?.parse::<u64>().ok());
        let newest = stored.max().expect("segments are stored");
        setup.group.world.disks.corrupt(&name(behind), &format!("segment-{newest}"));
        setup.group.start(behind, false);
        // The damaged segment, and the one that was being sent.
        let limit = setup.limit_with(2 * SEGMENT_BYTES);
        let time = setup.await_transfer(limit);
        setup.check_segments(&format!("seed {seed}"));
        let sent = setup.sent_bytes();
        assert!(sent * 100 <= (setup.bytes + 2 * SEGMENT_BYTES) * 130, "seed {seed}: {sent} of {}", setup.bytes);
        (time, sent)
    });
    all_in_time(times);
}

/// Guards against a transfer that begins anew with a new leader.
#[test]
fn a_change_of_leader_keeps_what_was_received() {
    let times = for_each_seed(SEEDS, |seed| {
        let mut setup = Setup::new(seed, 5, BTreeMap::new());
        for _ in 0..2 {
            setup.await_segments(2);
            let leader = setup.group.leader_index().expect("there is a leader");
            setup.group.power_off(leader);
            setup.group.run_for(Duration::from_millis(300));
            setup.group.start(leader, false);
        }
        // Each lost leader may have been sending a segment.
        let limit = setup.limit_with(2 * SEGMENT_BYTES);
        let time = setup.await_transfer(limit);
        setup.check_segments(&format!("seed {seed}"));
        let sent = setup.sent_bytes();
        assert!(sent * 100 <= (setup.bytes + 2 * SEGMENT_BYTES) * 130, "seed {seed}: {sent} of {}", setup.bytes);
        (time, sent)
    });
    all_in_time(times);
}

/// Guards against a transfer that waits for a source that hangs or is lost.
#[test]
fn the_transfer_continues_when_sources_hang() {
    let times = for_each_seed(SEEDS, |seed| {
        let mut setup = Setup::new(seed, 5, BTreeMap::new());
        setup.await_segments(2);
        let leader = setup.group.leader_index();
        let others: Vec<u8> = setup.group.followers().into_iter().filter(|index| *index != setup.behind).collect();
        // Two of the three other followers, so that a quorum is left with the receiver.
        for index in others.into_iter().filter(|index| Some(*index) != leader).take(2) {
            setup.group.freeze(index);
        }
        let limit = setup.limit_with(2 * SEGMENT_BYTES);
        let time = setup.await_transfer(limit);
        setup.check_segments(&format!("seed {seed}"));
        (time, setup.sent_bytes())
    });
    all_in_time(times);
}

/// Guards against the use of segments with a wrong checksum, and against a source with damaged files that is asked again
/// and again.
#[test]
fn damaged_files_of_sources_are_not_used() {
    let times = for_each_seed(SEEDS, |seed| {
        let mut setup = Setup::new(seed, 5, BTreeMap::new());
        let leader = setup.group.leader_index().expect("there is a leader");
        let others: Vec<u8> = setup.group.followers().into_iter().filter(|index| *index != setup.behind).collect();
        for index in others.into_iter().filter(|index| *index != leader) {
            let files = setup.group.world.disks.names(&name(index));
            let segments = files.iter().filter(|file| file.starts_with("segment-") && !file.ends_with(".new"));
            segments.for_each(|file| setup.group.world.disks.corrupt(&name(index), file));
        }
        let limit = setup.limit_with(0);
        let time = setup.await_transfer(limit);
        setup.check_segments(&format!("seed {seed}"));
        (time, setup.sent_bytes())
    });
    all_in_time(times);
}

/// Guards against a transfer over bad links while a voter of the receiver's own zone has the segments.
#[test]
fn a_voter_of_the_same_zone_is_asked_first() {
    // The first two machines share the lossy zone.
    let zones: BTreeMap<u8, usize> = [(1, 1), (2, 1), (3, 3), (4, 4), (5, 5)].into();
    let times = for_each_seed(SEEDS, |seed| {
        let mut setup = Setup::new(seed, 5, zones.clone());
        let limit = setup.limit_with(0);
        let time = setup.await_transfer(limit);
        setup.check_segments(&format!("seed {seed}"));
        let sent = setup.sent_bytes();
        assert!(sent * 2 <= setup.bytes, "seed {seed}: {sent} of {} bytes are sent between zones", setup.bytes);
        (time, sent)
    });
    all_in_time(times);
}
