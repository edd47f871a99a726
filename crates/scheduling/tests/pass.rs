//! Cost and outcome of a plan over waiting items.

use saddlerelay_scheduling::order::{Candidate, Rank, WaitingOrder};
use saddlerelay_scheduling::pass::{Starter, start_in_order};
use saddlerelay_scheduling::shares::{Shares, Trainer};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const MAX_STARTS: usize = 32;

/// Engines as free slots, by pool.
struct Engines {
    free_slots: Vec<Vec<u32>>,
    engines_examined: usize,
    items_tried: usize,
    started: Vec<Candidate>,
    /// Items kept waiting, and whether the limit of starts was the reason.
    waiting: Vec<(Candidate, bool)>,
}

impl Engines {
    fn new(pools: usize, engines: usize, slots: u32) -> Self {
        let free_slots = vec![vec![slots; engines]; pools];
        Self { free_slots, engines_examined: 0, items_tried: 0, started: Vec::new(), waiting: Vec::new() }
    }
}

impl Starter for Engines {
    type Reason = ();

    fn start(&mut self, _rank: Rank, candidate: &Candidate, shares: &mut Shares) -> Result<(), ()> {
        self.items_tried += 1;
        self.engines_examined += self.free_slots[candidate.pool].len();
        let free = self.free_slots[candidate.pool].iter_mut().find(|free| **free > 0).ok_or(())?;
        *free -= 1;
        shares.record(&trainer(candidate.trainer), candidate.expected, 1.0, NOW);
        self.started.push(candidate.clone());
        Ok(())
    }

    fn keep_waiting(&mut self, candidate: &Candidate, reason: Option<()>) {
        self.waiting.push((candidate.clone(), reason.is_none()));
    }
}

fn trainer(index: usize) -> Trainer {
    Trainer { tenant: None, name: format!("trainer-{index}") }
}

/// `items` items for each of `jobs` jobs of one trainer each; job `j` uses pool `j % pools`.
fn candidates(jobs: usize, items: u32, pools: usize) -> Vec<Candidate> {
    let of_job = |job: usize| {
        (0..items).map(move |item| Candidate {
            job,
            item,
            trainer: job,
            pool: job % pools,
            constraint: job % pools,
            priority: 0,
            wanted: true,
            due_at: NOW + Duration::from_secs(8),
            due_period: Duration::from_secs(8),
            expected: Duration::from_millis(u64::from(100 + item)),
            at_best: Duration::from_millis(u64::from(100 + item)),
            waited: Duration::ZERO,
        })
    };
    (0..jobs).flat_map(of_job).collect()
}

fn run(jobs: usize, items: u32, mut engines: Engines) -> Engines {
    let trainers: Vec<Trainer> = (0..jobs).map(trainer).collect();
    let pools = engines.free_slots.len();
    let candidates = candidates(jobs, items, pools);
    let order = WaitingOrder::new(candidates, &trainers, &vec![false; pools], NOW);
    start_in_order(order, &mut Shares::default(), MAX_STARTS, &mut engines);
    assert_eq!(engines.started.len() + engines.waiting.len(), jobs * items as usize, "an item is lost or repeated");
    engines
}

/// Guards against a plan whose cost grows with jobs times engines, with and without free slots.
#[test]
fn the_engines_examined_do_not_grow_with_the_number_of_jobs() {
    for slots in [0, 1, 8] {
        for (pools, engines) in [(1, 40), (4, 10), (4, 100)] {
            for jobs in [4, 40, 400] {
                let done = run(jobs, 20, Engines::new(pools, engines, slots));
                let tries = MAX_STARTS + pools;
                assert!(done.items_tried <= tries, "{} items tried with {jobs} jobs", done.items_tried);
                assert!(done.engines_examined <= tries * engines, "{} engines examined", done.engines_examined);
            }
        }
    }
}

/// Guards against full engines of one pool that hold up the items of another.
#[test]
fn items_of_a_pool_with_room_start_while_another_is_full() {
    let mut engines = Engines::new(2, 4, 8);
    engines.free_slots[0] = vec![0; 4];
    let done = run(2, 40, engines);
    assert_eq!(done.started.len(), MAX_STARTS);
    assert!(done.started.iter().all(|candidate| candidate.pool == 1));
    assert!(done.waiting.iter().filter(|(candidate, _)| candidate.pool == 0).all(|(_, by_limit)| !by_limit));
}

/// Guards against one trainer that takes all starts of a plan, as each plan starts a limited number.
#[test]
fn the_starts_of_one_plan_are_shared() {
    let done = run(4, 200, Engines::new(1, 40, 8));
    for trainer in 0..4 {
        let count = done.started.iter().filter(|candidate| candidate.trainer == trainer).count();
        assert!((7..=9).contains(&count), "trainer {trainer} started {count} items");
    }
}
