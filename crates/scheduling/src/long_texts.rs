//! Room for texts that take nearly as long as their job may take.
//!
//! Designed for engines of a few to some dozen slots, and for jobs whose longest texts leave a slack of a few percent of
//! the due period. Three decisions keep such a text in time: its engine takes no neighbor that would make it late, slots
//! are kept free for the long texts of a step that is about to be submitted, and a text that lost its engine continues
//! in the slot of an item that can wait.

use crate::completion::{EngineSnapshot, Work, expected_duration};
use std::time::Duration;

/// How often an item is displaced at most. Each time its prompt is read again and it waits for another slot.
pub const MAX_DISPLACEMENTS_PER_ITEM: u32 = 2;

/// Least slack of an item that is displaced, in addition to its remaining time; ten times the longest interval between
/// plans, so that it is planned several times before it is urgent itself.
const LEAST_DISPLACED_SLACK: Duration = Duration::from_millis(500);

/// Intervals between submissions are regular if they differ by no more than this fraction of the longer one.
const REGULAR_DIFFERENCE: f64 = 0.25;

/// A predicted submission that is overdue by this fraction of the interval is no longer expected.
const OVERDUE_FRACTION: f64 = 0.25;

/// At most one in this many slots of a pool is reserved, so that a wrong prediction costs little.
const SLOTS_PER_RESERVED_SLOT: u32 = 8;

/// Slots are reserved this many times as long before a submission as it takes for that many to become free.
const LEAD_FACTOR: f64 = 2.0;

/// A text that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningText {
    /// Events that are expected until it is complete.
    pub remaining_events: f64,
    /// Due time of its job.
    pub due_at: Duration,
}

/// Whether an additional text on the engine leaves those texts in time that are in time without it.
pub fn allows_neighbor(engine: &EngineSnapshot, texts: &[RunningText], now: Duration) -> bool {
    let without = EngineSnapshot { running: engine.running.saturating_sub(1), ..*engine };
    texts.iter().all(|text| {
        let work = Work { remaining_events: text.remaining_events, prompt_tokens: 0 };
        let ends_in_time = |engine| now.saturating_add(expected_duration(engine, &work)) <= text.due_at;
        !ends_in_time(&without) || ends_in_time(engine)
    })
}

/// A step submitted by a trainer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it was submitted.
    pub at: Duration,
    /// Number of its texts that cannot wait for a slot; see [`cannot_wait`].
    pub long_texts: u32,
    /// Mean expected duration of its texts.
    pub mean_duration: Duration,
}

/// Whether a text would be late if it waited for as long as a usual text of its job takes.
pub fn cannot_wait(due_period: Duration, expected: Duration, mean_duration: Duration) -> bool {
    due_period.saturating_sub(expected) < mean_duration
}

/// Slots kept free for a step that is about to be submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Number of slots.
    pub slots: u32,
    /// When the step is expected.
    pub expected_at: Duration,
    /// Items that must start within this time are exempt.
    pub lead: Duration,
}

/// The last steps of a trainer.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    last: Option<Step>,
    /// The last two intervals, the later one first.
    intervals: [Option<Duration>; 2],
}

impl Submissions {
    /// Records a step.
    pub fn record(&mut self, step: Step) {
        if let Some(last) = self.last {
            self.intervals = [Some(step.at.saturating_sub(last.at)), self.intervals[0]];
        }
        self.last = Some(step);
    }

    /// When the last step was submitted.
    pub fn last_at(&self) -> Option<Duration> {
        self.last.map(|step| step.at)
    }

    /// The interval between steps, if it is regular.
    pub fn interval(&self) -> Option<Duration> {
        let [Some(later), Some(earlier)] = self.intervals else {
            return None;
        };
        let is_regular = later.abs_diff(earlier) <= later.max(earlier).mul_f64(REGULAR_DIFFERENCE);
        is_regular.then_some((later + earlier) / 2)
    }

    /// The reservation for the next step in a pool of `pool_slots` slots, if one is due at `now`.
    pub fn reservation(&self, pool_slots: u32, now: Duration) -> Option<Reservation> {
        let (step, interval) = (self.last?, self.interval()?);
        let slots = step.long_texts.min(pool_slots / SLOTS_PER_RESERVED_SLOT);
        if slots == 0 {
            return None;
        }
        let expected_at = step.at + interval;
        let lead = step.mean_duration.mul_f64(LEAD_FACTOR * f64::from(slots) / f64::from(pool_slots));
        let is_due = now + lead >= expected_at && now <= expected_at + interval.mul_f64(OVERDUE_FRACTION);
        is_due.then_some(Reservation { slots, expected_at, lead })
    }
}

/// A running item whose slot a text that can't wait may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Displaceable {
    /// Expected duration of the rest of the urgent text at its engine.
    pub urgent_duration: Duration,
    /// Whether its trainer waits for its group.
    pub wanted: bool,
    /// Its expected remaining time.
    pub remaining: Duration,
    /// Time until it is due.
    pub due_in: Duration,
    /// How often it was displaced.
    pub displacements: u32,
}

impl Displaceable {
    /// Time for which it could wait for another slot.
    fn slack(&self) -> Duration {
        self.due_in.saturating_sub(self.remaining)
    }

    /// Whether it may be displaced.
    fn may_be_displaced(&self) -> bool {
        let has_slack = self.slack() >= self.remaining + LEAST_DISPLACED_SLACK;
        self.displacements < MAX_DISPLACEMENTS_PER_ITEM && (has_slack || !self.wanted)
    }
}

/// Whether a text with this slack is late unless it takes the slot of a running item, as no slot becomes free in time.
pub fn needs_displacement(slack: Duration, running: &[Displaceable]) -> bool {
    running.iter().all(|item| item.remaining >= slack)
}

/// Index of the running item that a text that can't wait displaces: the text goes where it ends soonest, and takes there
/// the slot of an item that nobody waits for or that has the most slack.
pub fn choose_displaced(running: &[Displaceable]) -> Option<usize> {
    let candidates = running.iter().enumerate().filter(|(_, item)| item.may_be_displaced());
    let cost = |item: &Displaceable| (item.urgent_duration, item.wanted, std::cmp::Reverse(item.slack()));
    candidates.min_by_key(|(_, item)| cost(item)).map(|(index, _)| index)
}
