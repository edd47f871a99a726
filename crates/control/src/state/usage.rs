//! Requests that engines have begun, by tenant and window, until the platform has taken the report of the window.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::usage::{RelayUsage, TenantCounts, UsageReport, UsageWindow};
use std::collections::BTreeMap;

/// Windows that are kept for a platform that takes no reports; the oldest give way. A day of windows of five seconds.
const WINDOWS_KEPT: usize = 17_280;

/// Starts of relays that are remembered, so that no difference counts twice; the ones heard of longest ago give way.
const RELAYS_KEPT: usize = 4_096;

/// A start of a relay: the newest difference taken from it, and when it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct TakenFrom {
    sequence: u64,
    /// The state's time, in Unix milliseconds.
    at: u64,
}

/// The counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct UsageState {
    relays: BTreeMap<Incarnation, TakenFrom>,
    /// Counts that may still grow.
    open: BTreeMap<UsageWindow, TenantCounts>,
    /// Counts that are fixed and not yet reported.
    fixed: BTreeMap<UsageWindow, TenantCounts>,
    /// The first window whose counts are not fixed.
    first_open: Option<UsageWindow>,
    /// Requests that came after the counts of their window were fixed.
    uncounted: u64,
    /// The newest window whose report the platform has taken.
    newest_reported: Option<UsageWindow>,
}

impl UsageState {
    /// The newest difference taken from a start of a relay; 0 for none.
    pub fn taken_from(&self, relay: Incarnation) -> u64 {
        self.relays.get(&relay).map_or(0, |taken| taken.sequence)
    }

    /// Adds a relay's counts, unless they have been added before.
    pub fn add(&mut self, usage: RelayUsage, now: u64) {
        if usage.difference.sequence <= self.taken_from(usage.relay) {
            return;
        }
        self.relays.insert(usage.relay, TakenFrom { sequence: usage.difference.sequence, at: now });
        self.forget_oldest_relay();
        for (window, counts) in usage.difference.counts {
            if self.first_open.is_some_and(|first| window < first) {
                self.uncounted += counts.values().sum::<u64>();
                continue;
            }
            let held = self.open.entry(window).or_default();
            for (tenant, count) in counts {
                *held.entry(tenant).or_default() += count;
            }
        }
    }

    fn forget_oldest_relay(&mut self) {
        if self.relays.len() <= RELAYS_KEPT {
            return;
        }
        let oldest = self.relays.iter().min_by_key(|(_, taken)| taken.at).map(|(relay, _)| *relay);
        oldest.map(|oldest| self.relays.remove(&oldest));
    }

    /// Fixes the counts of all windows up to `last`; the first time, only of those in which something was counted, and of
    /// `last`.
    pub fn fix(&mut self, last: UsageWindow) {
        let first_counted = self.open.first_key_value().map_or(last, |(window, _)| *window);
        let mut window = self.first_open.unwrap_or(first_counted.min(last));
        while window <= last {
            let counts = self.open.remove(&window).unwrap_or_default();
            self.fixed.insert(window, counts);
            window = window.next();
            if self.fixed.len() > WINDOWS_KEPT {
                self.fixed.pop_first();
            }
        }
        self.first_open = Some(window);
    }

    /// Counts that may still grow, by window.
    pub fn open_counts(&self) -> impl Iterator<Item = (&UsageWindow, &TenantCounts)> {
        self.open.iter()
    }

    /// The first window whose counts are not fixed; `None` before any were.
    pub fn first_open(&self) -> Option<UsageWindow> {
        self.first_open
    }

    /// Reports that the platform has not taken yet, oldest window first.
    pub fn unreported(&self) -> impl Iterator<Item = UsageReport> {
        self.fixed.iter().map(|(window, counts)| UsageReport { window: *window, counts: counts.clone() })
    }

    /// The platform has taken a report.
    pub fn reported(&mut self, window: UsageWindow) {
        if self.fixed.remove(&window).is_some() {
            self.newest_reported = self.newest_reported.max(Some(window));
        }
    }

    /// The newest window whose report the platform has taken.
    pub fn newest_reported(&self) -> Option<UsageWindow> {
        self.newest_reported
    }

    /// Requests that came after the counts of their window were fixed.
    pub fn uncounted(&self) -> u64 {
        self.uncounted
    }
}
