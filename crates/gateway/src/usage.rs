//! Counts the requests that engines begin, by tenant and window of time, and hands the counts over to the control group.
//!
//! Counts are handed over in numbered differences. One difference at a time is on its way: it is sent again, unchanged,
//! until the group says that it is committed, so that it counts once whoever leads.

use crate::attempt::PossibleRuns;
use crate::gateway::Gateway;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::tenancy::Caller;
use saddlerelay_types::usage::{TenantCounts, UsageDifference, UsageWindow};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Answers of the control group of which the one that was fastest tells the time of day.
const ANSWERS_COMPARED: usize = 16;

/// The group's time of day, by the relay's steady clock. A jump of the relay's own time of day does not move it.
#[derive(Debug, Default)]
pub struct FollowedClock {
    /// How far the group's time of day was ahead of the steady clock at each of the newest answers, in milliseconds.
    offsets: VecDeque<i64>,
}

impl FollowedClock {
    /// Takes the time that an answer told, which arrived at `now`.
    pub fn hear(&mut self, group_unix_ms: u64, now: Duration) {
        let offset = i64::try_from(group_unix_ms).unwrap_or(i64::MAX).saturating_sub(milliseconds(now));
        self.offsets.push_back(offset);
        if self.offsets.len() > ANSWERS_COMPARED {
            self.offsets.pop_front();
        }
    }

    /// The time of day at `at`, in Unix milliseconds; `None` before the first answer. An answer that was held up on its way
    /// tells too early a time, never too late a one.
    pub fn unix_ms(&self, at: Duration) -> Option<u64> {
        let offset = self.offsets.iter().max()?;
        u64::try_from(milliseconds(at).saturating_add(*offset)).ok()
    }
}

fn milliseconds(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Counts that are not known to be committed.
#[derive(Debug, Default)]
pub struct UsageLedger {
    counted: BTreeMap<UsageWindow, TenantCounts>,
    on_its_way: Option<UsageDifference>,
    sequence: u64,
}

impl UsageLedger {
    /// An engine has begun a request of `tenant` in `window`.
    pub fn count(&mut self, tenant: &TenantId, window: UsageWindow) {
        let counts = self.counted.entry(window).or_default();
        match counts.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                counts.insert(tenant.clone(), 1);
            }
        }
    }

    /// What to hand over now.
    pub fn difference(&mut self) -> Option<UsageDifference> {
        if self.on_its_way.is_none() && !self.counted.is_empty() {
            self.sequence += 1;
            let counts = std::mem::take(&mut self.counted);
            self.on_its_way = Some(UsageDifference { sequence: self.sequence, counts });
        }
        self.on_its_way.clone()
    }

    /// The group holds every difference up to this one.
    pub fn taken(&mut self, sequence: u64) {
        if self.on_its_way.as_ref().is_some_and(|difference| difference.sequence <= sequence) {
            self.on_its_way = None;
        }
    }
}

/// Counts a tenant's request when it ends, however it ends, unless it is proved that no engine has begun it.
pub(crate) struct CountedRuns<'a> {
    gateway: &'a Gateway,
    caller: &'a Caller,
    runs: &'a PossibleRuns,
    began_at: Cell<Option<Duration>>,
}

impl<'a> CountedRuns<'a> {
    pub fn new(gateway: &'a Gateway, caller: &'a Caller, runs: &'a PossibleRuns) -> Self {
        Self { gateway, caller, runs, began_at: Cell::new(None) }
    }

    /// Notes when an engine is known to have begun it; otherwise that is when it was sent.
    pub fn began_at(&self, at: Duration) {
        self.began_at.set(Some(at));
    }
}

impl Drop for CountedRuns<'_> {
    fn drop(&mut self) {
        let began_at = self.began_at.get().or_else(|| self.runs.first_sent_at());
        if let (Some(began_at), Some(tenant)) = (began_at, self.caller.tenant()) {
            self.gateway.count_usage(tenant, began_at);
        }
    }
}

impl Gateway {
    fn count_usage(&self, tenant: &TenantId, began_at: Duration) {
        let inner = &self.inner;
        let Some(length) = inner.options.usage_window else {
            return;
        };
        let Some(unix_ms) = inner.clock.borrow().unix_ms(began_at) else {
            spdlog::warn!("request not counted", kv: { tenant = tenant.as_str(), reason = "the time is not known" });
            return;
        };
        let window = UsageWindow::containing(unix_ms, length.as_millis() as u64);
        inner.usage.borrow_mut().count(tenant, window);
        inner.metrics.usage_counted.inc();
    }
}
