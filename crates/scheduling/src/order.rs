//! The order in which waiting items of all jobs start.
//!
//! Designed for some thousand waiting items of some dozen jobs that compete for the same engines, planned up to a
//! thousand times per second. Items are ranked by class, slack level and priority ([`Rank`]). Among items of equal rank
//! the trainer with the least recent work goes first; its own items follow each other by slack.
//!
//! Slack is compared by its order of magnitude: items whose slack differs by less than a factor of two are equally
//! urgent, so shares and priority decide between them. As slack shrinks, the levels become narrower, and an item that
//! can't wait is ahead of all that can. Under overload all items reach the lowest level, where priority and shares
//! decide which trainers are served.
//!
//! The wait of an item is bounded by its job's give-up time, after which it is aborted. Until then, of each
//! [`STARTS_PER_OVERDUE_START`] starts of a pool of engines, one goes to the item that has waited longest, once that is
//! longer than the job's due period. Late items therefore get at least that part of the capacity, and the work that
//! can still be in time loses no more than it.

use crate::shares::{Served, Shares, Trainer};
use saddlerelay_types::routing::{RouteKind, RoutingDocument};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

/// Slack up to which items are equally urgent; about the time between two plans, below which an earlier start can't be
/// told from a later one.
const LEAST_SLACK_LEVEL: Duration = Duration::from_millis(50);

/// One in this many starts of a pool goes to its longest waiting item. Late items make progress at
/// an eighth of the capacity, and under overload work that can be in time loses no more than that.
pub const STARTS_PER_OVERDUE_START: u32 = 8;

/// An item that waits for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The caller's index of the job.
    pub job: usize,
    /// Index of the item in the job.
    pub item: u32,
    /// The caller's index of the trainer, into the list passed to [`WaitingOrder::new`].
    pub trainer: usize,
    /// The caller's index of the pool of engines that may run the item.
    pub pool: usize,
    /// The caller's index of what restricts the choice of an engine: if no engine is free for one item of a constraint,
    /// none is for another.
    pub constraint: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether its group is one that the trainer waits for.
    pub wanted: bool,
    /// Due time of the job.
    pub due_at: Duration,
    /// Time from the job's start until its due time.
    pub due_period: Duration,
    /// Expected duration of the rest of the text on a usual engine.
    pub expected: Duration,
    /// Expected duration of the rest of the text on the fastest engine.
    pub at_best: Duration,
    /// How long it has been waiting.
    pub waited: Duration,
}

impl Candidate {
    /// Time for which the item can still wait, zero if none.
    pub fn slack(&self, now: Duration) -> Duration {
        self.due_at.saturating_sub(now).saturating_sub(self.expected)
    }

    /// Whether it can be done in time: on the fastest engine, so that an item that just fits is not taken for late
    /// because a usual engine would not do.
    pub fn can_be_in_time(&self, now: Duration) -> bool {
        now.saturating_add(self.at_best) <= self.due_at
    }
}

/// Class of an item; a lower one goes first. A late item of a wanted group precedes the other groups' items even if
/// those can be in time: the trainer's step ends with the former, and the latter are only a reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It has waited longest in its pool, and it is the turn of such an item.
    Overdue,
    /// It can be in time, and the trainer waits for its group.
    InTimeWanted,
    /// It will be late, but the trainer waits for its group.
    LateWanted,
    /// It can be in time, but the trainer does not wait for its group.
    InTime,
    /// It will be late, and the trainer does not wait for its group.
    Late,
}

/// Rank of an item; a lower one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Class of the item.
    pub class: Class,
    /// Order of magnitude of the slack.
    pub slack_level: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Rank of an item by itself, without the turn of overdue items.
pub fn rank(candidate: &Candidate, now: Duration) -> Rank {
    let class = match (candidate.can_be_in_time(now), candidate.wanted) {
        (true, true) => Class::InTimeWanted,
        (true, false) => Class::InTime,
        (false, true) => Class::LateWanted,
        (false, false) => Class::Late,
    };
    Rank { class, slack_level: slack_level(candidate.slack(now)), priority: candidate.priority }
}

/// Order of magnitude of a slack: 0 up to `LEAST_SLACK_LEVEL`, then one more for each doubling.
pub fn slack_level(slack: Duration) -> u32 {
    let multiple = slack.as_nanos() / LEAST_SLACK_LEVEL.as_nanos();
    u128::BITS - multiple.leading_zeros()
}

/// Starts of each pool since an overdue item of it was started.
#[derive(Clone, Debug)]
pub struct OverdueTurns<K: Ord> {
    starts: BTreeMap<K, u32>,
}

impl<K: Ord> Default for OverdueTurns<K> {
    fn default() -> Self {
        Self { starts: BTreeMap::new() }
    }
}

impl<K: Ord> OverdueTurns<K> {
    /// Whether the next start of the pool is the turn of its longest waiting item.
    pub fn is_due(&self, pool: &K) -> bool {
        self.starts.get(pool).is_some_and(|starts| starts + 1 >= STARTS_PER_OVERDUE_START)
    }

    /// Counts a start.
    pub fn record_start(&mut self, pool: K, class: Class) {
        let starts = self.starts.entry(pool).or_default();
        *starts = if class == Class::Overdue { 0 } else { starts.saturating_add(1) };
    }

    /// Drops pools for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.starts.retain(|pool, _| keep(pool));
    }
}

/// The waiting items of all jobs, in the order in which they start.
pub struct WaitingOrder<'a> {
    now: Duration,
    trainers: &'a [Trainer],
    /// Items not yet distributed to `current`.
    sorted: std::iter::Peekable<std::vec::IntoIter<(Rank, Candidate)>>,
    rank: Option<Rank>,
    /// Items of the current rank by trainer, each by slack.
    current: BTreeMap<usize, VecDeque<Candidate>>,
    /// Trainers with items of the current rank. An entry may be older than the trainer's last start.
    turns: BinaryHeap<Reverse<(Served, Duration, usize)>>,
}

impl<'a> WaitingOrder<'a> {
    /// Sorts the items once. `overdue_due` has, for each pool, whether the next start is the turn of its longest waiting
    /// item.
    pub fn new(candidates: Vec<Candidate>, trainers: &'a [Trainer], overdue_due: &[bool], now: Duration) -> Self {
        let mut longest: BTreeMap<usize, (Duration, usize)> = BTreeMap::new();
        for (position, candidate) in candidates.iter().enumerate() {
            let is_overdue = candidate.waited >= candidate.due_period;
            if is_overdue && overdue_due.get(candidate.pool).copied().unwrap_or(false) {
                let entry = longest.entry(candidate.pool).or_insert((candidate.waited, position));
                if candidate.waited > entry.0 {
                    *entry = (candidate.waited, position);
                }
            }
        }
        let mut ranked: Vec<(Rank, Candidate)> =
            candidates.into_iter().map(|candidate| (rank(&candidate, now), candidate)).collect();
        for (_, position) in longest.into_values() {
            ranked[position].0.class = Class::Overdue;
        }
        // A late item's slack is zero, so late items of a trainer follow each other by due time.
        let key = |candidate: &Candidate| {
            let latest_start = (candidate.slack(now), candidate.due_at, Reverse(candidate.expected));
            (latest_start, candidate.job, candidate.item)
        };
        ranked.sort_by(|(left_rank, left), (right_rank, right)| {
            left_rank.cmp(right_rank).then_with(|| key(left).cmp(&key(right)))
        });
        Self {
            now,
            trainers,
            sorted: ranked.into_iter().peekable(),
            rank: None,
            current: BTreeMap::new(),
            turns: BinaryHeap::new(),
        }
    }

    /// The next item with its rank. `shares` includes the starts so far.
    pub fn next(&mut self, shares: &Shares) -> Option<(Rank, Candidate)> {
        if self.turns.is_empty() {
            self.begin_next_rank(shares)?;
        }
        let rank = self.rank?;
        while let Some(Reverse((served, slack, trainer))) = self.turns.pop() {
            let served_now = self.served(trainer, shares);
            if served_now > served {
                self.turns.push(Reverse((served_now, slack, trainer)));
                continue;
            }
            let items = self.current.get_mut(&trainer)?;
            let candidate = items.pop_front()?;
            match items.front().map(|next| next.slack(self.now)) {
                Some(slack) => self.turns.push(Reverse((served_now, slack, trainer))),
                None => {
                    self.current.remove(&trainer);
                }
            }
            return Some((rank, candidate));
        }
        None
    }

    /// The remaining items, in no particular order.
    pub fn into_rest(self) -> impl Iterator<Item = Candidate> {
        let current = self.current.into_values().flatten();
        current.chain(self.sorted.map(|(_, candidate)| candidate))
    }

    fn served(&self, trainer: usize, shares: &Shares) -> Served {
        self.trainers.get(trainer).map(|trainer| shares.served(trainer, self.now)).unwrap_or_default()
    }

    /// Distributes the items of the next rank to their trainers.
    fn begin_next_rank(&mut self, shares: &Shares) -> Option<()> {
        let rank = self.sorted.peek()?.0;
        self.rank = Some(rank);
        while let Some((_, candidate)) = self.sorted.next_if(|(next, _)| *next == rank) {
            self.current.entry(candidate.trainer).or_default().push_back(candidate);
        }
        for (trainer, items) in &self.current {
            let slack = items.front().map(|first| first.slack(self.now)).unwrap_or_default();
            self.turns.push(Reverse((self.served(*trainer, shares), slack, *trainer)));
        }
        Some(())
    }
}

/// A group of a job that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupProgress {
    /// Whether an earlier job contained items of it too, whose results the trainer has therefore been waiting for
    /// longer.
    pub repeated: bool,
    /// Expected time until its last text is complete, if all its items start at once; zero if it is complete.
    pub remaining: Duration,
}

/// Which groups the trainer waits for: the `count` groups that can be complete first, repeated ones before others. The
/// result has one entry for each group.
pub fn wanted_groups(groups: &[GroupProgress], count: usize) -> Vec<bool> {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by_key(|index| {
        let group = &groups[*index];
        (!group.remaining.is_zero(), !group.repeated, group.remaining)
    });
    let mut wanted = vec![false; groups.len()];
    order.into_iter().take(count).for_each(|index| wanted[index] = true);
    wanted
}

/// Whether trainers compete, so that the order is needed: the document lists tenants, and two or more rollout routes
/// share a service.
pub fn trainers_compete(document: &RoutingDocument) -> bool {
    let lists_tenants = document.tenants.as_ref().is_some_and(|tenants| !tenants.is_empty());
    let rollouts = || document.routes.iter().filter(|route| route.kind == RouteKind::Rollout);
    let is_shared = |service: &str| rollouts().filter(|route| route.serves(service)).nth(1).is_some();
    lists_tenants && document.services.iter().any(|service| is_shared(&service.name))
}
