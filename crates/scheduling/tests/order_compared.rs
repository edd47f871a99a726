//! Orders of waiting items compared on the same generated loads: a loop over slots, without engines or network.

use saddlerelay_scheduling::order::{Candidate, GroupProgress, WaitingOrder, wanted_groups};
use saddlerelay_scheduling::shares::{Shares, Trainer};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const SECONDS_PER_EVENT: f64 = 0.0476;
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const DUE_PERIOD: Duration = Duration::from_millis(7_500);
const GIVE_UP_AFTER: Duration = Duration::from_secs(15);
const MAX_OPEN_STEPS: usize = 2;
const LAST_SUBMISSION: Duration = Duration::from_secs(60);

/// Groups, items of a group, mean and longest events, of four trainers.
const TRAINERS: [(usize, usize, f64, f64); 4] =
    [(17, 8, 20.0, 145.0), (7, 16, 20.0, 145.0), (9, 16, 20.0, 145.0), (8, 16, 14.0, 101.0)];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    /// Jobs by submission, each with its longest items first.
    Submission,
    /// By urgency, with shares among equals.
    Urgency,
    /// The trainer with the least recent work first, its items by slack.
    Shares,
}

struct Item {
    duration: Duration,
    group: usize,
    ends_at: Option<Duration>,
}

struct Step {
    trainer: usize,
    at: Duration,
    items: Vec<Item>,
    groups: usize,
    wanted: usize,
    ended_at: Option<Duration>,
}

impl Step {
    /// The expected remaining time of each group, zero if it is complete.
    fn progress(&self, now: Duration) -> Vec<GroupProgress> {
        let mut groups = vec![GroupProgress { repeated: false, remaining: Duration::ZERO }; self.groups];
        for item in &self.items {
            let remaining = item.ends_at.map_or(item.duration, |ends_at| ends_at.saturating_sub(now));
            let group = &mut groups[item.group];
            group.remaining = group.remaining.max(remaining);
        }
        groups
    }
}

/// Pseudorandom numbers in [0, 1).
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn step(trainer: usize, at: Duration, numbers: &mut Numbers) -> Step {
    let (groups, size, mean, longest) = TRAINERS[trainer];
    let item = |index: usize, numbers: &mut Numbers| {
        // Every second group has a longest text; the others are exponentially distributed.
        let is_longest = index.is_multiple_of(2 * size);
        let events = if is_longest { longest } else { (-mean * 0.8 * (1.0 - numbers.next()).ln()).clamp(1.0, longest) };
        Item { duration: Duration::from_secs_f64(events * SECONDS_PER_EVENT), group: index / size, ends_at: None }
    };
    let items = (0..groups * size).map(|index| item(index, numbers)).collect();
    let wanted = (groups as f64 * 0.9).ceil() as usize;
    Step { trainer, at, items, groups, wanted, ended_at: None }
}

fn candidates(steps: &[Step], now: Duration) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (job, step) in steps.iter().enumerate().filter(|(_, step)| step.ended_at.is_none()) {
        let wanted = wanted_groups(&step.progress(now), step.wanted);
        for (index, item) in step.items.iter().enumerate().filter(|(_, item)| item.ends_at.is_none()) {
            candidates.push(Candidate {
                job,
                item: index as u32,
                trainer: step.trainer,
                pool: 0,
                constraint: 0,
                priority: 0,
                wanted: wanted[item.group],
                due_at: step.at + DUE_PERIOD,
                due_period: DUE_PERIOD,
                expected: item.duration,
                at_best: item.duration,
                waited: now - step.at,
            });
        }
    }
    candidates
}

/// The items to start in `free` slots.
fn choose(
    order: Order,
    mut waiting: Vec<Candidate>,
    free: usize,
    shares: &mut Shares,
    now: Duration,
) -> Vec<Candidate> {
    let trainers: Vec<Trainer> =
        (0..TRAINERS.len()).map(|index| Trainer { tenant: None, name: index.to_string() }).collect();
    let mut chosen = Vec::new();
    if order == Order::Submission {
        waiting.sort_by_key(|candidate| (candidate.job, std::cmp::Reverse(candidate.expected)));
        waiting.truncate(free);
        return waiting;
    }
    if order == Order::Shares {
        while chosen.len() < free && !waiting.is_empty() {
            let key = |candidate: &Candidate| {
                let served = shares.served(&trainers[candidate.trainer], now);
                (served, candidate.slack(now), candidate.job, candidate.item)
            };
            let next = waiting.iter().enumerate().min_by_key(|(_, candidate)| key(candidate));
            let Some(position) = next.map(|(position, _)| position) else { break };
            let candidate = waiting.swap_remove(position);
            shares.record(&trainers[candidate.trainer], candidate.expected, 1.0, now);
            chosen.push(candidate);
        }
        return chosen;
    }
    let mut by_urgency = WaitingOrder::new(waiting, &trainers, &[], now);
    while chosen.len() < free {
        let Some((_, candidate)) = by_urgency.next(shares) else { break };
        shares.record(&trainers[candidate.trainer], candidate.expected, 1.0, now);
        chosen.push(candidate);
    }
    chosen
}

/// For each trainer, the fraction of the steps asked in the whole time that ended in time. A step that is not submitted
/// because two are open counts as not in time.
fn in_time(order: Order, slots: usize, seed: u64) -> Vec<f64> {
    let mut shares = Shares::default();
    let mut steps: Vec<Step> = Vec::new();
    let mut next_at: Vec<Duration> = (0..TRAINERS.len() as u32).map(|index| STEP_INTERVAL * index / 4).collect();
    let mut now = Duration::ZERO;
    while now < LAST_SUBMISSION + GIVE_UP_AFTER {
        for step in steps.iter_mut().filter(|step| step.ended_at.is_none()) {
            let complete = step.progress(now).iter().filter(|group| group.remaining.is_zero()).count();
            if complete >= step.wanted || now >= step.at + GIVE_UP_AFTER {
                step.ended_at = Some(now);
            }
        }
        for (trainer, next_at) in next_at.iter_mut().enumerate() {
            let open = steps.iter().filter(|step| step.trainer == trainer && step.ended_at.is_none()).count();
            if now >= *next_at && now < LAST_SUBMISSION && open < MAX_OPEN_STEPS {
                // The same texts whatever the order: the numbers depend on the trainer and its count of steps.
                let count = steps.iter().filter(|step| step.trainer == trainer).count() as u64;
                let mut own = Numbers(seed ^ (trainer as u64 * 1_000 + count));
                own.next();
                steps.push(step(trainer, now, &mut own));
                *next_at = now + STEP_INTERVAL;
            }
        }
        let running = steps.iter().filter(|step| step.ended_at.is_none()).flat_map(|step| &step.items);
        let busy = running.filter(|item| item.ends_at.is_some_and(|ends_at| ends_at > now)).count();
        let free = slots.saturating_sub(busy);
        if free > 0 {
            for candidate in choose(order, candidates(&steps, now), free, &mut shares, now) {
                let item = &mut steps[candidate.job].items[candidate.item as usize];
                item.ends_at = Some(now + item.duration);
            }
        }
        now += TICK;
    }
    let asked = LAST_SUBMISSION.as_secs_f64() / STEP_INTERVAL.as_secs_f64();
    let done = |trainer: usize| {
        let own = steps.iter().filter(|step| step.trainer == trainer);
        let in_time = own.filter(|step| step.ended_at.is_some_and(|ended| ended <= step.at + DUE_PERIOD)).count();
        in_time as f64 / asked
    };
    (0..TRAINERS.len()).map(done).collect()
}

/// Guards against an order that serves the trainers worse than submission order or than shares alone do. The figures in
/// docs/design/order-of-waiting-work.md are printed by this test.
#[test]
fn the_order_by_urgency_serves_the_worst_trainer_best() {
    let orders = [Order::Submission, Order::Urgency, Order::Shares];
    for slots in [260, 150, 125, 110, 100] {
        let mut worst = [0.0; 3];
        for (order, worst) in orders.iter().zip(&mut worst) {
            let seeds = [1, 2, 3];
            let runs: Vec<Vec<f64>> = seeds.iter().map(|seed| in_time(*order, slots, *seed)).collect();
            let mean = |trainer: usize| runs.iter().map(|run| run[trainer]).sum::<f64>() / seeds.len() as f64;
            let trainers: Vec<f64> = (0..TRAINERS.len()).map(mean).collect();
            *worst = trainers.iter().copied().fold(1.0, f64::min);
            println!("{slots} slots, {order:?}: {trainers:.3?}");
        }
        assert!(worst[1] >= worst[0] && worst[1] >= worst[2], "{slots} slots: {worst:?}");
    }
}
