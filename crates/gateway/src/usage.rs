//! Counts started requests by tenant and time window, and reports the counts to the control group.
//!
//! Counts are reported as numbered deltas, at most one in flight. A delta is resent unchanged until the
//! control group acknowledges its commit, so that it counts exactly once across leader changes.

use crate::attempt::PossibleRuns;
use crate::gateway::Gateway;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::tenancy::Caller;
use saddlerelay_types::usage::{TenantCounts, UsageDelta, UsageWindow};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of recent replies considered; the one with the lowest delay determines the clock offset.
const CLOCK_SAMPLES: usize = 16;

/// Estimates the control group's wall-clock time from the relay's monotonic clock; unaffected by jumps of the local
/// wall clock.
#[derive(Debug, Default)]
pub struct GroupClockSamples {
    /// Offsets of the group's wall clock from the monotonic clock in the newest replies, in milliseconds.
    offsets: VecDeque<i64>,
}

impl GroupClockSamples {
    /// Adds a sample: the group's time from a reply that arrived at `now`.
    pub fn add_sample(&mut self, group_unix_ms: u64, now: Duration) {
        let offset = i64::try_from(group_unix_ms).unwrap_or(i64::MAX).saturating_sub(milliseconds(now));
        self.offsets.push_back(offset);
        if self.offsets.len() > CLOCK_SAMPLES {
            self.offsets.pop_front();
        }
    }

    /// The group's wall-clock time at `at`, in Unix milliseconds; `None` before the first reply. Uses the largest
    /// offset, because a delayed reply only lowers its offset.
    pub fn unix_ms(&self, at: Duration) -> Option<u64> {
        let offset = self.offsets.iter().max()?;
        u64::try_from(milliseconds(at).saturating_add(*offset)).ok()
    }
}

fn milliseconds(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Counts that are not yet acknowledged as committed.
#[derive(Debug, Default)]
pub struct UsageLedger {
    counted: BTreeMap<UsageWindow, TenantCounts>,
    in_flight: Option<UsageDelta>,
    sequence: u64,
}

impl UsageLedger {
    /// Counts a request of `tenant` that started in `window`.
    pub fn count(&mut self, tenant: &TenantId, window: UsageWindow) {
        let counts = self.counted.entry(window).or_default();
        match counts.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                counts.insert(tenant.clone(), 1);
            }
        }
    }

    /// The delta to send with the next follow request; the unacknowledged one if there is one.
    pub fn next_delta(&mut self) -> Option<UsageDelta> {
        if self.in_flight.is_none() && !self.counted.is_empty() {
            self.sequence += 1;
            let counts = std::mem::take(&mut self.counted);
            self.in_flight = Some(UsageDelta { sequence: self.sequence, counts });
        }
        self.in_flight.clone()
    }

    /// Acknowledges all deltas up to `sequence` as committed.
    pub fn acknowledge(&mut self, sequence: u64) {
        if self.in_flight.as_ref().is_some_and(|delta| delta.sequence <= sequence) {
            self.in_flight = None;
        }
    }
}

/// Counts a tenant's request on drop, unless no engine has started it.
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

    /// Sets when an engine started the request; defaults to the time of the first send.
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
            spdlog::warn!("request not counted", kv: { tenant = tenant.as_str(), reason = "group time unknown" });
            return;
        };
        let window = UsageWindow::containing(unix_ms, length.as_millis() as u64);
        inner.usage.borrow_mut().count(tenant, window);
        inner.metrics.usage_counted.inc();
    }
}
