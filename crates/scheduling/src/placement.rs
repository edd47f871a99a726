//! Chooses the engine for a text, and whether a running text moves to another one.
//!
//! Designed for up to a few hundred engines that differ in speed, permanently or for a while, and texts whose length is
//! known to within about a quarter. One decision examines each candidate twice.
//!
//! Two methods are implemented. With [`PlacementMethod::EarliestEnd`], each text goes where it is expected to end first.
//! With [`PlacementMethod::InTimeClasses`], engines are classed by how surely the text ends in time there, and the least
//! used engine of the best class receives it, so that texts that end in time anywhere leave the fast engines to those
//! that don't. `tests/placement_methods.rs` compares both on the same loads; the coordinator uses
//! [`PlacementMethod::InTimeClasses`].

use crate::completion::{EngineSnapshot, Work, expected_duration};
use std::time::Duration;

/// A text ends safely in time at an engine if it is expected to take at most this share of the time left. The remainder
/// allows for an underestimated length, a slowdown of the engine, and a move.
const SAFE_SHARE: f64 = 0.6;

/// Reduction of an engine's fullness if its cache contains the prompt of the text's group.
const CACHED_PROMPT_BONUS: f64 = 0.15;

/// Lower bound of the fullness less the bonus, so that among engines with a cached prompt the faster one is preferred.
const MIN_FULLNESS: f64 = 0.01;

/// With at least this many sound engines, a text waits for one of them rather than run on another.
const SUFFICIENT_SOUND_ENGINES: usize = 2;

/// A text that is late at every free engine waits for a full one only if it is expected to end there, including the wait,
/// after at most this share of its earliest time at a free one: a text must not take three times as long on an engine
/// that is slowed down because it can't be in time anywhere.
const LATE_WAIT_SHARE: f64 = 0.5;

/// Minimum share of the remaining time that a move must save. The present pace of an engine whose speed swings every
/// 600 ms deviates from its mean by up to 0.4 (see `capacity`), which is no reason to move.
const MIN_SAVING_SHARE: f64 = 0.3;

/// How the engine for a text is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementMethod {
    /// The free engine with the earliest expected end.
    EarliestEnd,
    /// The least used free engine among those where the text ends safely in time; without one, the earliest end.
    InTimeClasses,
}

/// An engine that may run a text, with or without a free slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineSnapshot,
    /// Whether its cache contains the prompt of the text's group.
    pub has_cached_prompt: bool,
    /// Whether the text's last attempt failed there, or it was moved away from there.
    pub avoided: bool,
}

impl Candidate {
    /// Whether the engine reports and is not avoided.
    fn is_sound(&self) -> bool {
        self.engine.reporting && !self.avoided
    }

    fn has_free_slot(&self) -> bool {
        self.engine.running < self.engine.slots
    }

    /// Time that the engine's slots are expected to be in use, relative to other engines, with the text as an additional
    /// one: the share of slots in use, less the bonus for a cached prompt, times the time per event. Slow engines thus
    /// receive fewer texts, so that the slots of all are in use for about the same time.
    fn use_cost(&self) -> f64 {
        let running = self.engine.running + 1;
        let fullness = f64::from(running) / f64::from(self.engine.slots.max(1));
        let bonus = if self.has_cached_prompt { CACHED_PROMPT_BONUS } else { 0.0 };
        (fullness - bonus).max(MIN_FULLNESS) * self.engine.capacity.seconds_per_event(running)
    }
}

/// The text to place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedWork {
    /// The text, or its rest.
    pub work: Work,
    /// Time left until it should be complete.
    pub time_left: Duration,
    /// Expected events of an average text, from which the wait for a slot of a full engine is estimated.
    pub mean_events: f64,
}

/// Why a text was placed at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementReason {
    /// It ends safely in time, at the least used engine.
    LeastUsed,
    /// It ends safely in time nowhere; the engine has the earliest end, in time.
    EarliestInTime,
    /// It ends in time nowhere; the engine has the earliest end.
    EarliestLate,
    /// Too few sound engines are left; the engine does not report, or the text failed there before.
    LastResort,
}

impl PlacementReason {
    /// The value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeastUsed => "least used engine where it ends in time",
            Self::EarliestInTime => "earliest end, little time to spare",
            Self::EarliestLate => "earliest end, expected late",
            Self::LastResort => "too few sound engines",
        }
    }
}

/// Where a text runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It starts now.
    At {
        /// Index into the candidates.
        index: usize,
        /// Expected time until its last event.
        expected: Duration,
        /// Why this engine.
        reason: PlacementReason,
    },
    /// No sound engine has a free slot.
    WaitForSlot,
    /// It would be late at every free engine, and is expected to be in time, or to end in half the time, at a full one,
    /// including the wait for a slot.
    WaitForFasterEngine,
}

/// Chooses the engine for a text.
pub fn place(method: PlacementMethod, candidates: &[Candidate], text: &PlacedWork) -> Placement {
    let rated = |is_usable: &dyn Fn(&Candidate) -> bool| {
        let free = candidates.iter().enumerate().filter(|(_, candidate)| candidate.has_free_slot());
        let usable = free.filter(|(_, candidate)| is_usable(candidate));
        let rated: Vec<(usize, &Candidate, Duration)> = usable
            .map(|(index, candidate)| (index, candidate, expected_duration(&candidate.engine, &text.work)))
            .collect();
        rated
    };
    let free = rated(&Candidate::is_sound);
    let Some(&(earliest, _, expected)) = free.iter().min_by_key(|(_, _, expected)| *expected) else {
        let sound = candidates.iter().filter(|candidate| candidate.is_sound()).count();
        if sound >= SUFFICIENT_SOUND_ENGINES {
            return Placement::WaitForSlot;
        }
        let last_resort = rated(&|_| true);
        let best = last_resort.iter().min_by_key(|(_, candidate, expected)| (candidate.avoided, *expected));
        return best.map_or(Placement::WaitForSlot, |(index, _, expected)| Placement::At {
            index: *index,
            expected: *expected,
            reason: PlacementReason::LastResort,
        });
    };
    let is_in_time = expected <= text.time_left;
    let reason = if is_in_time { PlacementReason::EarliestInTime } else { PlacementReason::EarliestLate };
    let at_earliest = Placement::At { index: earliest, expected, reason };
    if method == PlacementMethod::EarliestEnd {
        return at_earliest;
    }
    let safe = free.iter().filter(|(_, _, expected)| *expected <= text.time_left.mul_f64(SAFE_SHARE));
    let least_used = safe.min_by(|(_, left, _), (_, right, _)| left.use_cost().total_cmp(&right.use_cost()));
    match least_used {
        Some((index, _, expected)) => {
            Placement::At { index: *index, expected: *expected, reason: PlacementReason::LeastUsed }
        }
        None if !is_in_time && candidates.iter().any(|candidate| is_worth_waiting(candidate, text, expected)) => {
            Placement::WaitForFasterEngine
        }
        None => at_earliest,
    }
}

/// Whether a text that would end late, after `expected`, is to wait for a slot of a full engine. It does not wait beyond
/// its time, which bounds the wait.
fn is_worth_waiting(candidate: &Candidate, text: &PlacedWork, expected: Duration) -> bool {
    if !candidate.is_sound() || candidate.has_free_slot() || text.time_left.is_zero() {
        return false;
    }
    let engine = EngineSnapshot { running: candidate.engine.running.saturating_sub(1), ..candidate.engine };
    let average = Work { remaining_events: text.mean_events, prompt_tokens: 0 };
    let wait = expected_duration(&engine, &average) / candidate.engine.slots.max(1);
    let end = expected_duration(&engine, &text.work).saturating_add(wait);
    end <= text.time_left.max(expected.mul_f64(LATE_WAIT_SHARE))
}

/// A running text that may move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningWork {
    /// The engine that runs it, which counts it as running.
    pub engine: EngineSnapshot,
    /// The rest of the text.
    pub work: Work,
    /// Time left until it should be complete.
    pub time_left: Duration,
    /// Time left until a later bound, which counts for a text that can't meet the first one anywhere.
    pub later_time_left: Duration,
    /// Expected time from the decision to move until the first event at the other engine, which reads the prompt again.
    pub restart_time: Duration,
}

impl RunningWork {
    /// Expected time until the last event where it runs.
    pub fn expected_rest(&self) -> Duration {
        let running = self.engine.running.saturating_sub(1);
        expected_duration(&EngineSnapshot { running, ..self.engine }, &self.work)
    }

    /// Whether it is expected to miss its time where it runs.
    pub fn is_late(&self) -> bool {
        self.expected_rest() > self.time_left
    }
}

/// The engine to which a running text moves: the one with the earliest end, if the text would miss its time where it is
/// and would meet it there. A text that meets its time nowhere is judged by the later bound. Returns the index into `candidates`, from which the engine that runs it is to be left out.
pub fn move_target(text: &RunningWork, candidates: &[Candidate]) -> Option<usize> {
    if !text.is_late() {
        return None;
    }
    let rest = text.expected_rest();
    let usable =
        candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_sound() && candidate.has_free_slot());
    let rated = usable.map(|(index, candidate)| {
        // An engine that is faster than usual at present is not expected to remain so.
        let mut engine = candidate.engine;
        engine.capacity.slowdown = engine.capacity.slowdown.max(1.0);
        (index, expected_duration(&engine, &text.work).saturating_add(text.restart_time))
    });
    let (target, expected) = rated.min_by_key(|(_, expected)| *expected)?;
    let is_met = |time_left: Duration| rest > time_left && expected <= time_left;
    let saves_enough = expected <= rest.mul_f64(1.0 - MIN_SAVING_SHARE);
    (saves_enough && (is_met(text.time_left) || is_met(text.later_time_left))).then_some(target)
}
