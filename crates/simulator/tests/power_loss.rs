//! Power is lost at every operation of a replica's disk, also together with two of five disks: the others come back by
//! themselves and hold everything that was acknowledged.

mod group;

use group::{Group, name};
use saddlerelay_replication::wal::{self, WalRecord};
use std::time::Duration;

/// Operations of one disk before the power is lost: those of several appends and of a whole snapshot with its segments.
const STEPS: u64 = 48;

/// Time within which a running group's disk makes so many operations.
const STEPS_LIMIT: Duration = Duration::from_secs(2);

/// Time for the replicas that are left to elect a leader.
const ELECTION_LIMIT: Duration = Duration::from_secs(4);

/// Time for replicas with empty disks to become voters in place of those they were.
const REJOIN_LIMIT: Duration = Duration::from_secs(6);

fn for_each_step(seeds: std::ops::Range<u64>, steps: u64, mut test: impl FnMut(u64, u64)) {
    for seed in seeds {
        (0..steps).for_each(|step| test(seed, step));
    }
}

/// Two of `places` by `choice`, and the others.
fn choose_two(places: &[u8], choice: u64) -> (Vec<u8>, Vec<u8>) {
    let mut others = places.to_vec();
    let first = others.remove(choice as usize % others.len());
    let second = others.remove(choice as usize / 7 % others.len());
    (vec![first, second], others)
}

/// Everybody loses power, those at `lost` their disks too. The others are started and must lead and hold everything; then
/// come those at `lost`, with empty disks.
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

/// Where no snapshot was taken yet, replicas that joined have made their logs by appending: the folder's sync makes them last.
/// One founder is down, and the disks of the two others are lost: only those that joined hold what is acknowledged then.
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

/// A voter was away for so long that it is sent a snapshot; at any operation of its disk from its start on the power is lost,
/// with two disks of others.
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

/// A replica with an empty disk joins; at any operation of its disk the power is lost, with one more disk.
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

/// Operations of a disk from the first start until a founder belongs to its group: those of its format, of its identity
/// twice, and of its first entry.
const FOUNDING_STEPS: u64 = 20;

/// A founder loses power at any operation of its first start, and is told that it is not the first any more.
#[test]
fn a_founder_that_loses_power_at_any_operation_of_its_first_start_votes_in_the_end() {
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

/// All founders lose power at any operation of the first start of one of them. They are started with the same settings again.
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

/// Whether a founder's log holds its first entry after a loss of power.
fn holds_founding_entry(group: &Group, place: u8) -> bool {
    let bytes = group.world.disks.content(&name(place), "wal").unwrap_or_default();
    let content = wal::read(&bytes).expect("a loss of power leaves a log that can be read");
    content.records.iter().any(|record| matches!(record, WalRecord::Entry(_)))
}

/// All founders lose power at any operation of their first start and are told that it is not the first any more. Where two of
/// three have written the group's first entry, it is formed; before that there is no group, and nothing was acknowledged.
#[test]
fn founders_that_have_written_their_first_entry_form_their_group_without_being_told_again() {
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

/// Two followers are killed with an entry written and not synced, and started again: what they then acknowledge must be on
/// their disks when the power is lost with the leader's disk. The other two followers were down all the while.
#[test]
fn what_a_killed_process_left_unsynced_is_synced_before_the_next_one_acknowledges_it() {
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
        // The leader is not deposed meanwhile, and sends again what it has no answer for.
        let known = group.acknowledged.borrow().len();
        let acknowledged = group.acknowledged.clone();
        group.run_until(Duration::from_secs(1), move || acknowledged.borrow().len() > known);
        let left: Vec<u8> = (1..=5).filter(|place| *place != led).collect();
        lose_power(&mut group, &[led], &left, &what);
    });
}

/// Operations of a replacement from the moment at which the new file is there until it has its name: write, sync, rename.
const STEPS_TO_RENAME: u64 = 3;

/// A follower is killed with its log renamed and its folder not synced. What the next process appends goes to the new file: the
/// name must last before anything in it is acknowledged. Two are down, and the disks of the two others that held it are lost.
#[test]
fn a_log_whose_new_name_a_killed_process_left_unsynced_keeps_it() {
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
        assert!(group.propose_until(STEPS_LIMIT, cuts_log), "{what}: the log is never cut");
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

/// A process is killed with an entry written and not synced; what the next process writes behind it may be there after a
/// loss of power when the first is not, and must not make the files unreadable.
#[test]
fn what_a_killed_process_left_unsynced_leaves_no_hole_before_what_the_next_one_writes() {
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
        // Its first write of entries is there and not synced.
        stop(&mut group, 1 + step % 4);
        lose_power(&mut group, &[], &[1, 2, 3, 4, 5], &what);
    });
}
