//! Number of requests that engines have started, by tenant and time window. A window's counts are kept until the
//! platform has accepted its report.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::usage::{RelayUsage, TenantCounts, UsageReport, UsageWindow};
use std::collections::BTreeMap;

/// Maximum number of closed, unreported windows; the oldest is dropped. One day of five-second windows.
const MAX_UNREPORTED_WINDOWS: usize = 17_280;

/// Maximum number of relay incarnations that are tracked to deduplicate deltas; the least recently updated is evicted.
const MAX_TRACKED_RELAYS: usize = 4_096;

/// The newest delta applied from a relay incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct LastDelta {
    sequence: u64,
    /// The state's time when it was applied, in Unix milliseconds.
    applied_at: u64,
}

/// Usage counts of open and closed windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct UsageState {
    relays: BTreeMap<Incarnation, LastDelta>,
    /// Counts of windows that still accept deltas.
    open: BTreeMap<UsageWindow, TenantCounts>,
    /// Final counts that are not yet reported.
    closed: BTreeMap<UsageWindow, TenantCounts>,
    /// The first window that is not closed; `None` before any was closed.
    first_open: Option<UsageWindow>,
    /// Number of requests that were counted after their window was closed, and are in no report.
    late_requests: u64,
    /// The newest window whose report the platform has accepted.
    newest_reported: Option<UsageWindow>,
}

impl UsageState {
    /// Sequence number of the newest delta applied from a relay incarnation; 0 for none.
    pub fn last_sequence(&self, relay: Incarnation) -> u64 {
        self.relays.get(&relay).map_or(0, |last| last.sequence)
    }

    /// Adds a relay's delta, unless it was already applied. `now` is in Unix milliseconds.
    pub fn add(&mut self, usage: RelayUsage, now: u64) {
        if usage.delta.sequence <= self.last_sequence(usage.relay) {
            return;
        }
        self.relays.insert(usage.relay, LastDelta { sequence: usage.delta.sequence, applied_at: now });
        self.evict_oldest_relay();
        for (window, counts) in usage.delta.counts {
            if self.first_open.is_some_and(|first| window < first) {
                self.late_requests += counts.values().sum::<u64>();
                continue;
            }
            let totals = self.open.entry(window).or_default();
            for (tenant, count) in counts {
                *totals.entry(tenant).or_default() += count;
            }
        }
    }

    fn evict_oldest_relay(&mut self) {
        if self.relays.len() <= MAX_TRACKED_RELAYS {
            return;
        }
        let oldest = self.relays.iter().min_by_key(|(_, last)| last.applied_at).map(|(relay, _)| *relay);
        oldest.map(|oldest| self.relays.remove(&oldest));
    }

    /// Closes all windows up to and including `last`. The first call starts at the earliest window with counts, or at
    /// `last` if there is none before it.
    pub fn close_windows(&mut self, last: UsageWindow) {
        let first_counted = self.open.first_key_value().map_or(last, |(window, _)| *window);
        let mut window = self.first_open.unwrap_or(first_counted.min(last));
        while window <= last {
            let counts = self.open.remove(&window).unwrap_or_default();
            self.closed.insert(window, counts);
            window = window.next();
            if self.closed.len() > MAX_UNREPORTED_WINDOWS {
                self.closed.pop_first();
            }
        }
        self.first_open = Some(window);
    }

    /// Counts of open windows.
    pub fn open_counts(&self) -> impl Iterator<Item = (&UsageWindow, &TenantCounts)> {
        self.open.iter()
    }

    /// The first window that is not closed; `None` before any was closed.
    pub fn first_open(&self) -> Option<UsageWindow> {
        self.first_open
    }

    /// Reports that the platform has not accepted yet, oldest window first.
    pub fn unreported(&self) -> impl Iterator<Item = UsageReport> {
        self.closed.iter().map(|(window, counts)| UsageReport { window: *window, counts: counts.clone() })
    }

    /// Drops a window's counts after the platform has accepted its report.
    pub fn mark_reported(&mut self, window: UsageWindow) {
        if self.closed.remove(&window).is_some() {
            self.newest_reported = self.newest_reported.max(Some(window));
        }
    }

    /// The newest window whose report the platform has accepted.
    pub fn newest_reported(&self) -> Option<UsageWindow> {
        self.newest_reported
    }

    /// Number of requests that were counted after their window was closed, and are in no report.
    pub fn late_requests(&self) -> u64 {
        self.late_requests
    }
}
