//! Logs items that wait long for an engine, with the reason. An item is logged once each time its wait has doubled, and
//! at most [`MAX_LINES_PER_INTERVAL`] lines are written per [`LOG_INTERVAL`]; the next line reports how many were
//! suppressed.

use crate::metrics::CoordinatorMetrics;
use crate::waiting_items::VersionRequirement;
use saddlerelay_types::job::{ItemId, JobId};
use std::cell::RefCell;
use std::time::Duration;

/// Wait after which an item is first logged; longer than a leader change normally delays an item.
const LOG_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of lines per [`LOG_INTERVAL`].
const MAX_LINES_PER_INTERVAL: u32 = 8;

const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why an item is waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Several engines terminated while running its work, and the pause after the last loss has not elapsed.
    TrialPaused,
    /// Its work is quarantined, and the retrial requested for it is not committed yet.
    RetrialRequested,
    /// No trial lease was granted for its suspected work, for example because another process holds it.
    TrialTaken,
    /// The retry delay after a failed attempt has not elapsed.
    RetryDelay,
    /// No ready engine has the required weights.
    NoEligibleEngine,
    /// No engine with the version of its partial text is available, and the route allows only one version per text.
    NoEngineForText,
    /// All eligible engines are full.
    NoFreeSlot,
    /// Only slow or non-reporting engines have a free slot.
    OnlyDegradedEngines,
    /// The plan has reached its limit of started items; the next one follows at once.
    PlanLimitReached,
    /// Its text is complete, and no engine is available for the score call.
    NoScorer,
    /// The routing document no longer lists the tenant that owns its job, so nobody may read its result.
    OwnerNotListed,
    /// The free slots are reserved for long texts of a step that is about to be submitted.
    SlotsReserved,
}

impl WaitReason {
    /// The value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TrialPaused => "pause after engines terminated while running the work",
            Self::RetrialRequested => "retrial of the quarantined work not committed yet",
            Self::TrialTaken => "no trial lease held for suspected work",
            Self::RetryDelay => "retry delay after a failed attempt",
            Self::NoEligibleEngine => "no ready engine has the required weights",
            Self::NoEngineForText => "no available engine has the version of the partial text",
            Self::NoFreeSlot => "all eligible engines are full",
            Self::OnlyDegradedEngines => "only slow or non-reporting engines have a free slot",
            Self::PlanLimitReached => "start limit of this plan reached",
            Self::NoScorer => "no engine available for scoring",
            Self::OwnerNotListed => "the routing document does not list the owner of the job",
            Self::SlotsReserved => "free slots are reserved for an expected step",
        }
    }

    /// Whether the item waits only because of load, which is logged at a lower level.
    fn is_load(self) -> bool {
        matches!(self, Self::NoFreeSlot | Self::PlanLimitReached | Self::OwnerNotListed | Self::SlotsReserved)
    }
}

/// Tracks how long an item has been waiting for an engine.
#[derive(Debug, Default)]
pub(crate) struct Wait {
    since: Option<Duration>,
    /// Wait after which the item is logged next; zero stands for [`LOG_AFTER`].
    next_log_at: Duration,
}

impl Wait {
    /// Records that the item is waiting at `now`. Returns the wait so far if it is to be logged.
    fn update(&mut self, now: Duration) -> Option<Duration> {
        let waited = now.saturating_sub(*self.since.get_or_insert(now));
        let log_at = self.next_log_at.max(LOG_AFTER);
        if waited < log_at {
            return None;
        }
        self.next_log_at = log_at * 2;
        Some(waited)
    }

    /// How long the item has been waiting at `now`.
    pub fn waited(&self, now: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Ends the wait at `now` and returns how long it lasted.
    pub fn end(&mut self, now: Duration) -> Duration {
        let since = std::mem::take(self).since;
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

/// A waiting item, with the numbers of engines that the plan found for it.
pub(crate) struct WaitingItem<'a> {
    pub job: &'a JobId,
    pub item: &'a ItemId,
    pub reason: WaitReason,
    /// Number of ready engines, of eligible ones among them, and of eligible ones with a free slot.
    pub engines: usize,
    pub eligible: usize,
    pub with_free_slots: usize,
    /// Weight versions with which it may run.
    pub requirement: VersionRequirement,
    /// Number of ready engines that are loading its model.
    pub loading: usize,
    /// Revision of the suspicion table that the plan used.
    pub suspicion_revision: u64,
}

/// Rate-limited log of waiting items.
#[derive(Debug, Default)]
pub(crate) struct WaitLog {
    window: RefCell<LogWindow>,
}

/// Limits the lines of a log to [`MAX_LINES_PER_INTERVAL`] per [`LOG_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct LogWindow {
    began_at: Duration,
    logged: u32,
    suppressed: u32,
}

impl LogWindow {
    /// Admits a line at `now`. Returns how many lines were suppressed since the last admitted one, or `None` if this
    /// one is suppressed.
    pub fn admit(&mut self, now: Duration) -> Option<u32> {
        if now >= self.began_at + LOG_INTERVAL {
            self.began_at = now;
            self.logged = 0;
        }
        if self.logged >= MAX_LINES_PER_INTERVAL {
            self.suppressed += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl WaitLog {
    /// Records that an item is waiting at `now`; counts and logs it if the wait is long.
    pub fn update<'a>(
        &self,
        wait: &mut Wait,
        now: Duration,
        metrics: &CoordinatorMetrics,
        describe: impl FnOnce() -> WaitingItem<'a>,
    ) {
        let Some(waited) = wait.update(now) else {
            return;
        };
        let waiting = describe();
        metrics.long_waits(waiting.reason).inc();
        let Some(suppressed) = self.window.borrow_mut().admit(now) else {
            return;
        };
        let level = if waiting.reason.is_load() { spdlog::Level::Info } else { spdlog::Level::Warn };
        spdlog::log!(level, "item still waiting for an engine", kv: {
            item = waiting.item.0.as_str(),
            job = waiting.job.0.as_str(),
            reason = waiting.reason.as_str(),
            waited_ms = waited.as_millis() as u64,
            engines = waiting.engines,
            eligible = waiting.eligible,
            with_room = waiting.with_free_slots,
            minimum_version = waiting.requirement.minimum,
            text_version = waiting.requirement.text_version.unwrap_or_default(),
            loading = waiting.loading,
            suspicion_revision = waiting.suspicion_revision,
            items_suppressed = suppressed
        });
    }
}
