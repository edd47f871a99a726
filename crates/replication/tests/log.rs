//! Property tests of the in-memory log against a reference model, and of quorum values.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_replication::log::{EntryPayload, LogEntry, MemoryLog};
use saddlerelay_replication::membership::{Member, Membership};
use saddlerelay_types::identity::ReplicaId;

fn membership(voters: u64, learners: u64) -> Membership {
    let member = |id: u64| Member { id: ReplicaId(id), address: ([127, 0, 0, 1], 1).into(), voter: id <= voters };
    Membership { members: (1..=voters + learners).map(member).collect() }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Push { term: u8, membership: bool },
    Truncate { keep: u8 },
    Compact { upto: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        match u8::arbitrary(generator) % 6 {
            0 => Self::Truncate { keep: u8::arbitrary(generator) },
            1 => Self::Compact { upto: u8::arbitrary(generator) },
            _ => Self::Push { term: u8::arbitrary(generator) % 5, membership: bool::arbitrary(generator) },
        }
    }
}

/// Reference model that keeps all entries.
#[derive(Default)]
struct Model {
    entries: Vec<LogEntry>,
    base: u64,
}

impl Model {
    fn membership_at(&self, index: u64) -> Membership {
        let upto = &self.entries[..index as usize];
        let newest = upto.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership.clone()),
            _ => None,
        });
        newest.unwrap_or_else(|| membership(3, 0))
    }
}

fn apply_step(log: &mut MemoryLog, model: &mut Model, step: Step) {
    let last = model.entries.len() as u64;
    match step {
        Step::Push { term, membership: changes } => {
            let index = last + 1;
            let payload =
                if changes { EntryPayload::Membership(membership(1 + index % 5, 0)) } else { EntryPayload::Empty };
            let entry = LogEntry { index, term: term.into(), payload };
            log.push(entry.clone());
            model.entries.push(entry);
        }
        Step::Truncate { keep } => {
            let keep = model.base + u64::from(keep) % (last - model.base + 1);
            log.truncate(keep);
            model.entries.truncate(keep as usize);
        }
        Step::Compact { upto } => {
            model.base += u64::from(upto) % (last - model.base + 1);
            log.compact(model.base);
        }
    }
}

#[test]
fn the_log_matches_a_model_without_compaction() {
    fn matches_model(steps: Vec<Step>) -> bool {
        let mut log = MemoryLog::new(0, 0, membership(3, 0));
        let mut model = Model::default();
        steps.into_iter().for_each(|step| apply_step(&mut log, &mut model, step));
        let last = model.entries.len() as u64;
        let entries_match =
            (model.base + 1..=last).all(|index| log.entry(index) == model.entries.get(index as usize - 1));
        let compacted_entries_are_removed = (1..=model.base).all(|index| log.entry(index).is_none());
        let memberships_match =
            (model.base..=last).all(|index| *log.membership_at(index) == model.membership_at(index));
        entries_match
            && compacted_entries_are_removed
            && memberships_match
            && log.last_index() == last
            && *log.membership() == model.membership_at(last)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(2_000)
        .quickcheck(matches_model as fn(Vec<Step>) -> bool);
}

#[test]
fn a_quorum_value_is_reached_by_a_majority_of_voters_and_ignores_learners() {
    fn is_quorum_value(values: Vec<u8>, learners: u8) -> bool {
        let voters = values.len() as u64;
        if voters == 0 {
            return true;
        }
        let members = membership(voters, u64::from(learners % 4));
        let value = |id: ReplicaId| values.get(id.0 as usize - 1).copied().unwrap_or(u8::MAX);
        let agreed = members.quorum_value(value).expect("there are voters");
        let reached = values.iter().filter(|value| **value >= agreed).count();
        let above = values.iter().filter(|value| **value > agreed).count();
        reached >= members.quorum() && above < members.quorum()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(9, 5))
        .tests(2_000)
        .quickcheck(is_quorum_value as fn(Vec<u8>, u8) -> bool);
}
