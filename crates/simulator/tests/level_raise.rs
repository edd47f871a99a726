//! Raising a group's feature level while machines are killed, lose power or their disks, are down or join: replicas
//! decode each entry and snapshot at the level at which it was written, and no acknowledged entry is lost.

mod group;

use group::{Group, Node, name};
use saddlerelay_replication::wal;
use saddlerelay_types::feature_level::FeatureLevel;
use std::time::Duration;

/// Maximum number of disk operations before the power loss: those of a level raise, of the appends around it and of a
/// later snapshot.
const STEPS: u64 = 40;

/// Time limit for a disk to make `STEPS` operations.
const STEPS_LIMIT: Duration = Duration::from_secs(2);

/// Time limit for the remaining replicas to elect a leader.
const ELECTION_LIMIT: Duration = Duration::from_secs(4);

/// Time limit for a replica to catch up, or for one with an empty disk to become a voter.
const REJOIN_LIMIT: Duration = Duration::from_secs(6);

/// Time in which several snapshots are taken.
const SEVERAL_SNAPSHOTS_TIME: Duration = Duration::from_millis(1_500);

/// Levels from which a group is raised to the newest one.
fn older_levels() -> impl Iterator<Item = FeatureLevel> {
    FeatureLevel::ALL.into_iter().filter(|level| *level < FeatureLevel::NEWEST)
}

fn new_at(level: FeatureLevel, seed: u64) -> Group {
    let mut group = Group::new(seed);
    group.config.first_level = level;
    group
}

fn formed_at(level: FeatureLevel, seed: u64) -> Group {
    new_at(level, seed).form()
}

/// A group whose log is never compacted.
fn formed_without_snapshots(level: FeatureLevel, seed: u64) -> Group {
    let mut group = new_at(level, seed);
    group.config.snapshot_entries = 1_000_000;
    group.config.snapshot_bytes = u64::MAX / 1_000;
    group.config.memory_bytes = u64::MAX / 2;
    group.config.memory_bytes_behind = u64::MAX / 2;
    group.form()
}

fn raise(group: &Group) {
    if let Some(leader) = group.leader() {
        // Fails if the replica has lost leadership.
        let _ = leader.raise_level(FeatureLevel::NEWEST);
    }
}

fn all_are_at_level(group: &Group, level: FeatureLevel) -> bool {
    group.nodes().iter().all(|node: &Node| node.level() == Some(level))
}

/// Raises the level and retries until every running machine has reached it.
fn raise_and_await(group: &mut Group, what: &str) {
    let until = group.world.clock.now() + REJOIN_LIMIT;
    while !all_are_at_level(group, FeatureLevel::NEWEST) {
        assert!(group.world.clock.now() < until, "{what}: not all machines are at the newest level");
        raise(group);
        group.propose_for(Duration::from_millis(100));
    }
}

fn stored_format(group: &Group, index: u8) -> u32 {
    let bytes = group.world.disks.content(&name(index), "format").expect("there is a format file");
    bitcode::decode(wal::unframe(&bytes).expect("the frame is valid").expect("the frame is complete"))
        .expect("the format is a number")
}

#[test]
fn files_keep_the_old_format_until_the_level_is_raised() {
    for level in older_levels() {
        let mut group = formed_at(level, 1);
        group.propose_for(SEVERAL_SNAPSHOTS_TIME);
        assert!(all_are_at_level(&group, level));
        assert!((1..=5).all(|index| stored_format(&group, index) == level.file_format()));
        raise_and_await(&mut group, "a group without faults");
        let older = FeatureLevel::ALL.map(FeatureLevel::file_format);
        assert!((1..=5).all(|index| !older.contains(&stored_format(&group, index))));
        group.check("a group without faults");
        let new = Group::formed(1);
        assert!((1..=5).all(|index| stored_format(&new, index) == FeatureLevel::NEWEST.file_format()));
    }
}

#[test]
fn power_is_lost_at_any_operation_of_a_disk_while_the_level_is_raised() {
    for level in older_levels() {
        for seed in 0..5 {
            for step in 0..STEPS {
                let what = format!("level {level}, seed {seed}, step {step}");
                let mut group = formed_at(level, seed * STEPS + step);
                group.propose_for(Duration::from_millis(200));
                let halted = 1 + (group.world.random() % 5) as u8;
                group.world.disks.halt_after(&name(halted), step);
                raise(&group);
                let disks = group.world.clone();
                group.propose_until(STEPS_LIMIT, move || disks.disks.is_halted(&name(halted)));
                (1..=5).for_each(|index| group.power_off(index));
                (1..=5).for_each(|index| group.start(index, false));
                group.await_leader(ELECTION_LIMIT, &what);
                group.check(&what);
                raise_and_await(&mut group, &what);
                group.check(&what);
            }
        }
    }
}

#[test]
fn two_disks_are_lost_while_all_others_lose_power_around_a_raise() {
    for level in older_levels() {
        for seed in 0..40 {
            let what = format!("level {level}, seed {seed}");
            let mut group = formed_at(level, seed);
            group.propose_for(Duration::from_millis(300));
            raise(&group);
            group.propose_for(Duration::from_millis(seed * 5));
            let lost = [1 + (seed % 5) as u8, 1 + ((seed + 1 + seed / 5 % 4) % 5) as u8];
            let survivors: Vec<u8> = (1..=5).filter(|index| !lost.contains(index)).collect();
            lost.iter().for_each(|index| group.lose_disk(*index));
            survivors.iter().for_each(|index| group.power_off(*index));
            survivors.iter().for_each(|index| group.start(*index, false));
            group.await_leader(ELECTION_LIMIT, &what);
            group.check(&what);
            lost.iter().for_each(|index| group.start(*index, false));
            group.await_voters(5, REJOIN_LIMIT, &what);
            raise_and_await(&mut group, &what);
            group.check(&what);
        }
    }
}

#[test]
fn a_raise_completes_after_the_loss_of_the_leader() {
    for level in older_levels() {
        for seed in 0..40 {
            let what = format!("level {level}, seed {seed}");
            let mut group = formed_at(level, seed);
            group.propose_for(Duration::from_millis(200));
            raise(&group);
            group.propose_for(Duration::from_millis(seed % 10));
            let leader = group.leader_index().expect("there is a leader");
            group.kill(leader);
            group.await_leader(ELECTION_LIMIT, &what);
            group.propose_for(Duration::from_millis(100));
            group.check(&what);
            group.start(leader, false);
            raise_and_await(&mut group, &what);
            group.check(&what);
        }
    }
}

/// The machine that was down has files of the older level, and the others have compacted the log up to the raise.
#[test]
fn a_machine_down_during_the_raise_rejoins_with_its_old_files() {
    for level in older_levels() {
        for seed in 0..20 {
            let what = format!("level {level}, seed {seed}");
            let mut group = formed_at(level, seed);
            group.propose_for(Duration::from_millis(200));
            let stopped = group.followers()[seed as usize % 4];
            group.kill(stopped);
            raise_and_await(&mut group, &what);
            group.propose_for(Duration::from_millis(50 + 100 * (seed % 10)));
            group.start(stopped, false);
            group.await_voters(5, REJOIN_LIMIT, &what);
            raise_and_await(&mut group, &what);
            // The state that it received must be on its disk.
            group.power_off(stopped);
            group.start(stopped, false);
            group.await_voters(5, REJOIN_LIMIT, &what);
            raise_and_await(&mut group, &what);
            group.check(&what);
        }
    }
}

/// The machine receives the log from its first entry and applies entries of both levels.
#[test]
fn a_new_machine_is_sent_a_log_that_begins_before_the_raise() {
    for level in older_levels() {
        for seed in 0..10 {
            let what = format!("level {level}, seed {seed}");
            let mut group = formed_without_snapshots(level, seed);
            group.propose_for(Duration::from_millis(200));
            raise_and_await(&mut group, &what);
            group.propose_for(Duration::from_millis(100));
            let lost = group.followers()[seed as usize % 4];
            group.lose_disk(lost);
            group.start(lost, false);
            group.await_voters(5, REJOIN_LIMIT, &what);
            raise_and_await(&mut group, &what);
            group.check(&what);
            (1..=5).for_each(|index| group.power_off(index));
            (1..=5).for_each(|index| group.start(index, false));
            group.check(&what);
            raise_and_await(&mut group, &what);
        }
    }
}

#[test]
fn raising_to_the_current_level_has_no_effect() {
    let mut group = Group::formed(3);
    raise(&group);
    group.propose_for(Duration::from_millis(200));
    assert!((1..=5).all(|index| stored_format(&group, index) == FeatureLevel::NEWEST.file_format()));
    group.check("a group of the newest level");
}
