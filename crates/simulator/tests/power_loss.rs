//! Power loss at every disk operation of a replica, also with the loss of two of five disks: the others recover without
//! intervention and have all acknowledged entries.

mod group;

use group::{Group, name};
use saddlerelay_replication::wal::{self, WalRecord};
use std::time::Duration;

/// Maximum number of disk operations before the power loss: those of several appends and a snapshot with its segments.
const STEPS: u64 = 48;

/// Time limit for a disk to make that many operations.
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

/// Selects two of `places` by `choice`; also returns the others.
fn choose_two(places: &[u8], choice: u64) -> (Vec<u8>, Vec<u8>) {
    let mut others = places.to_vec();
    let first = others.remove(choice as usize % others.len());
    let second = others.remove(choice as usize / 7 % others.len());
    (vec![first, second], others)
}

/// All machines lose power, and those at `lost` their disks. Those at `left` must elect a leader with all acknowledged
/// entries; then those at `lost` start with empty disks and must become voters.
fn lose_power(group: &mut Group, lost: &[u8], left: &[u8], what: &str) {
    lost.iter().for_each(|place| group.lose_disk(*place));
    left.iter().for_each(|place| group.power_off(*place));
    left.iter().for_each(|place| group.start(*place, false));
    group.await_leader(ELECTION_LIMIT, what);
    group.check(what);
    lost.iter().for_each(|place| group.start(*place, false));
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
        assert!(halted, "{what}: the disk is not used");
        let (lost, left) = choose_two(&[1, 2, 3, 4, 5], group.world.random());
        lose_power(&mut group, &lost, &left, &what);
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
        assert!(down <= 3, "seed {seed}: a founder");
        group.power_off(down);
        group.propose_for(Duration::from_millis(40));
        let lost: Vec<u8> = (1..=3).filter(|place| *place != down).collect();
        lose_power(&mut group, &lost, &[down, 4, 5], &format!("seed {seed}"));
    }
}

/// Power loss at any disk operation of a voter that restarts and installs a snapshot, with the loss of two other disks.
#[test]
fn two_disks_lost_while_a_voter_that_was_away_installs_a_snapshot() {
    for_each_step(0..4, STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::formed(seed * STEPS + step);
        let away = 1 + (group.world.random() % 5) as u8;
        group.power_off(away);
        group.propose_for(Duration::from_millis(1_200));
        group.world.disks.halt_after(&name(away), step);
        group.start(away, false);
        let disks = group.world.clone();
        group.propose_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(away)));
        let others: Vec<u8> = (1..=5).filter(|place| *place != away).collect();
        let (lost, mut left) = choose_two(&others, group.world.random());
        left.push(away);
        lose_power(&mut group, &lost, &left, &what);
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
        let others: Vec<u8> = (1..=5).filter(|place| *place != empty).collect();
        let (lost, mut left) = choose_two(&others, group.world.random());
        left.extend([empty, lost[1]]);
        lose_power(&mut group, &lost[..1], &left, &what);
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
        (1..=3).for_each(|place| group.start(place, true));
        let disks = group.world.clone();
        let halted = group.run_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(founder)));
        assert!(halted, "{what}: the disk is not used");
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
fn founders_that_all_lose_power_at_their_first_start_form_their_group_at_the_next() {
    for_each_step(0..10, FOUNDING_STEPS, |seed, step| {
        let what = format!("seed {seed}, step {step}");
        let mut group = Group::new(seed * FOUNDING_STEPS + step);
        group.config.target_voters = 3;
        let founder = 1 + (seed % 3) as u8;
        group.world.disks.halt_after(&name(founder), step);
        (1..=3).for_each(|place| group.start(place, true));
        let disks = group.world.clone();
        group.run_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(founder)));
        (1..=3).for_each(|place| group.power_off(place));
        (1..=3).for_each(|place| group.start(place, true));
        group.await_voters(3, ELECTION_LIMIT, &what);
        group.propose_for(Duration::from_millis(100));
        group.check(&what);
    });
}

/// Whether a founder's log contains its first entry after a power loss.
fn holds_founding_entry(group: &Group, place: u8) -> bool {
    let bytes = group.world.disks.content(&name(place), "wal").unwrap_or_default();
    let content = wal::read(&bytes).expect("a loss of power leaves a log that can be read");
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
        (1..=3).for_each(|place| group.world.disks.halt_after(&name(place), step));
        (1..=3).for_each(|place| group.start(place, true));
        group.run_for(Duration::from_millis(20));
        (1..=3).for_each(|place| group.power_off(place));
        let founders = (1..=3).filter(|place| holds_founding_entry(&group, *place)).count();
        (1..=3).for_each(|place| group.start(place, false));
        if founders >= 2 {
            formed += 1;
            group.await_leader(ELECTION_LIMIT, &what);
            group.check(&what);
        }
    });
    assert!(formed > 20, "{formed} runs with a group");
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
        let led = group.leader_place().expect("there is a leader");
        down.iter().for_each(|place| group.power_off(*place));
        up.iter().for_each(|place| group.world.disks.halt_after(&name(*place), step));
        let disks = group.world.clone();
        let watched: Vec<String> = up.iter().map(|place| name(*place)).collect();
        group.propose_until(STEPS_LIMIT, move || watched.iter().all(|name| disks.disks.is_halted(name)));
        up.iter().for_each(|place| group.kill(*place));
        up.iter().for_each(|place| group.start(*place, false));
        // The leader keeps its term and resends unacknowledged entries.
        let known = group.acknowledged.borrow().len();
        let acknowledged = group.acknowledged.clone();
        group.run_until(Duration::from_secs(1), move || acknowledged.borrow().len() > known);
        let left: Vec<u8> = (1..=5).filter(|place| *place != led).collect();
        lose_power(&mut group, &[led], &left, &what);
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
        let led = group.leader_place().expect("there is a leader");
        down.iter().for_each(|place| group.power_off(*place));
        let killed = up[0];
        let disks = group.world.clone();
        let cuts_log = move || disks.disks.names(&name(killed)).contains(&"wal.new".to_string());
        assert!(group.propose_until(STEPS_LIMIT, cuts_log), "{what}: the log was never compacted");
        group.world.disks.halt_after(&name(killed), STEPS_TO_RENAME);
        let disks = group.world.clone();
        group.run_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(killed)));
        group.kill(killed);
        group.start(killed, false);
        let known = group.acknowledged.borrow().len();
        let acknowledged = group.acknowledged.clone();
        group.propose_until(Duration::from_secs(1), move || acknowledged.borrow().len() > known + 3);
        lose_power(&mut group, &[led, up[1]], &[down[0], down[1], killed], &what);
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
