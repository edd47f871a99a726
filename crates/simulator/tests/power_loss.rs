//! Power loss at every disk operation of a replica, also with the loss of two of five disks: the others recover without
//! intervention and have all acknowledged entries.

mod group;

use group::{Group, name};
use saddlerelay_replication::wal::{self, WalRecord};
use std::time::Duration;

/// Maximum number of disk operations before the power loss: those of several appends and a snapshot with its segments.
const STEPS: u64 = 48;

/// Time limit for a disk to make `STEPS` operations.
const STEPS_LIMIT: Duration = Duration::from_secs(2);

/// Time limit for the remaining replicas to elect a leader.
const ELECTION_LIMIT: Duration = Duration::from_secs(4);

/// Time limit for replicas with empty disks to become voters again.
const REJOIN_LIMIT: Duration = Duration::from_secs(6);

fn for_each_step(seeds: std::ops::Range<u64>, steps: u64, mut test: impl FnMut(u64, u64)) {
    for seed in seeds {
        (0..steps).for_each(|step| test(seed, step));
    }
}

/// Selects two of `indexes` by `choice`; also returns the others.
fn choose_two(indexes: &[u8], choice: u64) -> (Vec<u8>, Vec<u8>) {
    let mut others = indexes.to_vec();
    let first = others.remove(choice as usize % others.len());
    let second = others.remove(choice as usize / 7 % others.len());
    (vec![first, second], others)
}

/// All machines lose power, and those at the indexes `lost` also their disks. Those at `survivors` must elect a leader
/// with all acknowledged entries; then those at `lost` start with empty disks and must become voters.
fn lose_power(group: &mut Group, lost: &[u8], survivors: &[u8], what: &str) {
    lost.iter().for_each(|index| group.lose_disk(*index));
    survivors.iter().for_each(|index| group.power_off(*index));
    survivors.iter().for_each(|index| group.start(*index, false));
    group.await_leader(ELECTION_LIMIT, what);
    group.check(what);
    lost.iter().for_each(|index| group.start(*index, false));
    group.await_voters(5, REJOIN_LIMIT, what);
    group.check(what);
}

#[test]
fn two_disks_lost_while_all_others_lose_power_at_any_operation_of_a_disk() {
    for_each_step(0..6, STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::formed(seed * STEPS + step);
        group.propose_for(Duration::from_millis(300));
        let watched = 1 + (group.world.random() % 5) as u8;
        group.world.disks.halt_after(&name(watched), step);
        let disks = group.world.clone();
        let halted = group.propose_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(watched)));
        assert!(halted, "{what}: the disk made too few operations");
        let (lost, survivors) = choose_two(&[1, 2, 3, 4, 5], group.world.random());
        lose_power(&mut group, &lost, &survivors, &what);
    });
}

/// Before the first snapshot, the log files of replicas that joined are durable only by the folder sync. One founder is
/// down and the disks of the two others are lost, so that only the replicas that joined have the acknowledged entries.
#[test]
fn two_disks_lost_while_all_others_lose_power_before_the_first_snapshot() {
    for seed in 0..40 {
        let mut group = Group::new(seed);
        group.config.snapshot_entries = 100_000;
        group.config.memory_bytes = 1_000_000;
        let mut group = group.form();
        let down = group.followers()[0];
        assert!(down <= 3, "seed {seed}: the stopped follower is not a founder");
        group.power_off(down);
        group.propose_for(Duration::from_millis(40));
        let lost: Vec<u8> = (1..=3).filter(|index| *index != down).collect();
        lose_power(&mut group, &lost, &[down, 4, 5], &format!("seed {seed}"));
    }
}

/// Power loss at any disk operation of a voter that restarts and installs a snapshot, with the loss of two other disks.
#[test]
fn two_disks_lost_while_a_restarted_voter_installs_a_snapshot() {
    for_each_step(0..4, STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::formed(seed * STEPS + step);
        let stopped = 1 + (group.world.random() % 5) as u8;
        group.power_off(stopped);
        group.propose_for(Duration::from_millis(1_200));
        group.world.disks.halt_after(&name(stopped), step);
        group.start(stopped, false);
        let disks = group.world.clone();
        group.propose_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(stopped)));
        let others: Vec<u8> = (1..=5).filter(|index| *index != stopped).collect();
        let (lost, mut survivors) = choose_two(&others, group.world.random());
        survivors.push(stopped);
        lose_power(&mut group, &lost, &survivors, &what);
    });
}

/// Power loss at any disk operation of a replica that joins with an empty disk, with the loss of another disk.
#[test]
fn one_more_disk_lost_while_an_empty_replica_joins() {
    for_each_step(0..4, STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::formed(seed * STEPS + step);
        group.propose_for(Duration::from_millis(300));
        let empty = 1 + (group.world.random() % 5) as u8;
        group.lose_disk(empty);
        group.propose_for(Duration::from_millis(300));
        group.world.disks.halt_after(&name(empty), step);
        group.start(empty, false);
        let disks = group.world.clone();
        group.propose_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(empty)));
        let others: Vec<u8> = (1..=5).filter(|index| *index != empty).collect();
        let (lost, mut survivors) = choose_two(&others, group.world.random());
        survivors.extend([empty, lost[1]]);
        lose_power(&mut group, &lost[..1], &survivors, &what);
    });
}

/// Disk operations of a founder until it has joined its group: those of the format file, of two versions of the
/// identity file and of the first entry.
const FOUNDING_STEPS: u64 = 20;

/// A founder loses power at any disk operation of its first start, and restarts without the founding option.
#[test]
fn a_founder_that_loses_power_at_its_first_start_becomes_a_voter() {
    for_each_step(0..10, FOUNDING_STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::new(seed * FOUNDING_STEPS + step);
        group.config.target_voters = 3;
        let founder = 1 + (seed % 3) as u8;
        group.world.disks.halt_after(&name(founder), step);
        (1..=3).for_each(|index| group.start(index, true));
        let disks = group.world.clone();
        let halted = group.run_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(founder)));
        assert!(halted, "{what}: the disk made too few operations");
        group.power_off(founder);
        group.start(founder, false);
        group.await_leader(ELECTION_LIMIT, &what);
        group.await_voters(3, REJOIN_LIMIT, &what);
        group.propose_for(Duration::from_millis(100));
        group.check(&what);
    });
}

/// All founders lose power at any disk operation of the first start of one of them, and restart as founders.
#[test]
fn founders_that_all_lose_power_at_their_first_start_form_the_group_at_the_second() {
    for_each_step(0..10, FOUNDING_STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::new(seed * FOUNDING_STEPS + step);
        group.config.target_voters = 3;
        let founder = 1 + (seed % 3) as u8;
        group.world.disks.halt_after(&name(founder), step);
        (1..=3).for_each(|index| group.start(index, true));
        let disks = group.world.clone();
        group.run_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(founder)));
        (1..=3).for_each(|index| group.power_off(index));
        (1..=3).for_each(|index| group.start(index, true));
        group.await_voters(3, ELECTION_LIMIT, &what);
        group.propose_for(Duration::from_millis(100));
        group.check(&what);
    });
}

/// Whether a founder's log contains its first entry after a power loss.
fn has_first_entry(group: &Group, index: u8) -> bool {
    let bytes = group.world.disks.content(&name(index), "wal").unwrap_or_default();
    let content = wal::read(&bytes).expect("the log is readable after a power loss");
    content.records.iter().any(|record| matches!(record, WalRecord::Entry(_)))
}

/// All founders lose power at any disk operation of their first start, and restart without the founding option. The
/// group must form if two of three have written its first entry; otherwise nothing was acknowledged.
#[test]
fn founders_with_their_first_entry_form_the_group_without_the_founding_option() {
    let mut formed = 0;
    for_each_step(0..10, FOUNDING_STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::new(seed * FOUNDING_STEPS + step);
        group.config.target_voters = 3;
        (1..=3).for_each(|index| group.world.disks.halt_after(&name(index), step));
        (1..=3).for_each(|index| group.start(index, true));
        group.run_for(Duration::from_millis(20));
        (1..=3).for_each(|index| group.power_off(index));
        let founders = (1..=3).filter(|index| has_first_entry(&group, *index)).count();
        (1..=3).for_each(|index| group.start(index, false));
        if founders >= 2 {
            formed += 1;
            group.await_leader(ELECTION_LIMIT, &what);
            group.check(&what);
        }
    });
    assert!(formed > 20, "the group formed in only {formed} runs");
}

/// Two followers are killed with a written but unsynced entry and restart: entries that they then acknowledge must
/// survive a power loss with the loss of the leader's disk. The other two followers are down throughout.
#[test]
fn unsynced_entries_of_a_killed_process_are_synced_before_acknowledgement() {
    for_each_step(0..4, 12, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::formed(seed * STEPS + step);
        group.propose_for(Duration::from_millis(200));
        let (down, up) = choose_two(&group.followers(), group.world.random());
        let leader = group.leader_index().expect("there is a leader");
        down.iter().for_each(|index| group.power_off(*index));
        up.iter().for_each(|index| group.world.disks.halt_after(&name(*index), step));
        let disks = group.world.clone();
        let watched: Vec<String> = up.iter().map(|index| name(*index)).collect();
        group.propose_until(STEPS_LIMIT, move || watched.iter().all(|name| disks.disks.is_halted(name)));
        up.iter().for_each(|index| group.kill(*index));
        up.iter().for_each(|index| group.start(*index, false));
        // The leader keeps its term and resends unacknowledged entries.
        let acknowledged_before = group.acknowledged.borrow().len();
        let acknowledged = group.acknowledged.clone();
        group.run_until(Duration::from_secs(1), move || acknowledged.borrow().len() > acknowledged_before);
        let survivors: Vec<u8> = (1..=5).filter(|index| *index != leader).collect();
        lose_power(&mut group, &[leader], &survivors, &what);
    });
}

/// Disk operations of a file replacement from the creation of the new file to its rename: write, sync, rename.
const STEPS_TO_RENAME: u64 = 3;

/// A follower is killed after renaming its log and before syncing the folder. The restarted process must make the
/// rename durable before it acknowledges entries in the new file. Two others are down, and the other two disks with the
/// entries are lost.
#[test]
fn an_unsynced_rename_of_the_log_is_made_durable_after_a_restart() {
    for seed in 0..40 {
        let what = format!("seed {seed}");
        let mut group = Group::formed(seed);
        group.propose_for(Duration::from_millis(200));
        let (down, up) = choose_two(&group.followers(), group.world.random());
        let leader = group.leader_index().expect("there is a leader");
        down.iter().for_each(|index| group.power_off(*index));
        let killed = up[0];
        let disks = group.world.clone();
        let is_compacting = move || disks.disks.names(&name(killed)).contains(&"wal.new".to_string());
        assert!(group.propose_until(STEPS_LIMIT, is_compacting), "{what}: the log was never compacted");
        group.world.disks.halt_after(&name(killed), STEPS_TO_RENAME);
        let disks = group.world.clone();
        group.run_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(killed)));
        group.kill(killed);
        group.start(killed, false);
        let acknowledged_before = group.acknowledged.borrow().len();
        let acknowledged = group.acknowledged.clone();
        group.propose_until(Duration::from_secs(1), move || acknowledged.borrow().len() > acknowledged_before + 3);
        lose_power(&mut group, &[leader, up[1]], &[down[0], down[1], killed], &what);
    }
}

/// A process is killed with an unsynced entry. A power loss may drop that entry and keep a later one of the next
/// process, which must not make the log unreadable.
#[test]
fn unsynced_entries_of_a_killed_process_leave_no_gap_in_the_log() {
    for_each_step(0..6, 12, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::formed(seed * STEPS + step);
        group.propose_for(Duration::from_millis(200));
        let killed = 1 + (group.world.random() % 5) as u8;
        let disks = group.world.clone();
        let stop = move |group: &mut Group, steps: u64| {
            group.world.disks.halt_after(&name(killed), steps);
            let disks = disks.clone();
            group.propose_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(killed)));
        };
        stop(&mut group, step);
        group.kill(killed);
        group.start(killed, false);
        // The restarted process stops with unsynced writes.
        stop(&mut group, 1 + step % 4);
        lose_power(&mut group, &[], &[1, 2, 3, 4, 5], &what);
    });
}
