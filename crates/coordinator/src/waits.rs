//! Tells of items that are at no engine for long, and why. Bounded: an item is told of once each time that its wait has
//! doubled, and [`LINES_AT_ONCE`] items each [`LINES_INTERVAL`] at most; the next line says how many were left out.

use crate::metrics::CoordinatorMetrics;
use saddlerelay_types::job::{ItemId, JobId};
use std::cell::RefCell;
use std::time::Duration;

/// An item that has been at no engine for so long is told of. A new leader sends what it takes up within 1 to 2 s of the
/// old one's end, so that what waits longer waits for something else.
const LONG_WAIT: Duration = Duration::from_secs(2);

/// Most lines in each [`LINES_INTERVAL`].
const LINES_AT_ONCE: u32 = 8;

/// See [`LINES_AT_ONCE`].
const LINES_INTERVAL: Duration = Duration::from_secs(1);

/// Why an item is not sent to an engine now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Engine after engine has ended under its work.
    Quarantined,
    /// Another process holds the right to run its suspected work.
    TrialTaken,
    /// A pause after an attempt that failed.
    RetryPause,
    /// No ready engine has the weights that it asks for.
    NoFittingEngine,
    /// The engines that fit are full.
    NoRoom,
    /// Only slow or silent engines have room.
    NoSoundEngine,
    /// This plan starts no more items; the next one follows at once.
    PlanIsFull,
    /// Its text is whole, and no engine takes the call for its score.
    NoScorer,
}

impl WaitReason {
    /// The reason as logs tell it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "engines have ended under its work",
            Self::TrialTaken => "another process holds the right to run its work",
            Self::RetryPause => "pause after a failed attempt",
            Self::NoFittingEngine => "no ready engine has the weights",
            Self::NoRoom => "fitting engines are full",
            Self::NoSoundEngine => "only slow or silent engines have room",
            Self::PlanIsFull => "other items are started first",
            Self::NoScorer => "no engine takes the call for its score",
        }
    }

    /// Whether it is a matter of load alone.
    fn is_load(self) -> bool {
        matches!(self, Self::NoRoom | Self::PlanIsFull)
    }
}

/// How long an item has been at no engine.
#[derive(Debug, Default)]
pub(crate) struct Wait {
    since: Option<Duration>,
    /// It is told of again once it has waited so long; zero stands for [`LONG_WAIT`].
    next_told: Duration,
}

impl Wait {
    /// The item waits at `now`. Returns how long it has, if that is to be told.
    fn go_on(&mut self, now: Duration) -> Option<Duration> {
        let waited = now.saturating_sub(*self.since.get_or_insert(now));
        let told_at = self.next_told.max(LONG_WAIT);
        if waited < told_at {
            return None;
        }
        self.next_told = told_at * 2;
        Some(waited)
    }

    /// An engine has the item at `now`. Returns how long it has waited.
    pub fn end(&mut self, now: Duration) -> Duration {
        let since = std::mem::take(self).since;
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

/// An item that waits, and what the plan knew of engines.
pub(crate) struct WaitingItem<'a> {
    pub job: &'a JobId,
    pub item: &'a ItemId,
    pub reason: WaitReason,
    /// Engines that are ready, those of them that fit, and those of these that have room.
    pub engines: usize,
    pub fitting: usize,
    pub with_room: usize,
    /// The revision of the list of suspected work that was looked at.
    pub suspicion_revision: u64,
}

/// Bounds the lines about waiting items.
#[derive(Debug, Default)]
pub(crate) struct WaitLines {
    window: RefCell<LineWindow>,
}

#[derive(Debug, Default)]
struct LineWindow {
    began_at: Duration,
    told: u32,
    left_out: u32,
}

impl LineWindow {
    /// Takes a line at `now`; returns how many were left out before it, or `None` if it is left out itself.
    fn take(&mut self, now: Duration) -> Option<u32> {
        if now >= self.began_at + LINES_INTERVAL {
            self.began_at = now;
            self.told = 0;
        }
        if self.told >= LINES_AT_ONCE {
            self.left_out += 1;
            return None;
        }
        self.told += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

impl WaitLines {
    /// An item waits at `now`; says so if it has for long.
    pub fn go_on<'a>(
        &self,
        wait: &mut Wait,
        now: Duration,
        metrics: &CoordinatorMetrics,
        describe: impl FnOnce() -> WaitingItem<'a>,
    ) {
        let Some(waited) = wait.go_on(now) else {
            return;
        };
        let waiting = describe();
        metrics.long_waits(waiting.reason).inc();
        let Some(left_out) = self.window.borrow_mut().take(now) else {
            return;
        };
        let level = if waiting.reason.is_load() { spdlog::Level::Info } else { spdlog::Level::Warn };
        spdlog::log!(level, "item waits at no engine", kv: {
            item = waiting.item.0.as_str(),
            job = waiting.job.0.as_str(),
            reason = waiting.reason.as_str(),
            waited_ms = waited.as_millis() as u64,
            engines = waiting.engines,
            fitting = waiting.fitting,
            with_room = waiting.with_room,
            suspicion_revision = waiting.suspicion_revision,
            items_left_out = left_out
        });
    }
}
