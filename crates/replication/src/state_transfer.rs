//! What is logged about the transfer of a snapshot's segments.

use crate::segments::Segment;
use crate::transfer_policy::{FetchFailure, TransferPolicy};
use saddlerelay_types::identity::ReplicaId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Progress of a transfer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateTransfer {
    started_at: Duration,
    reported_at: Duration,
    /// Segments and bytes fetched.
    segments: u64,
    bytes: u64,
    /// Bytes of segments that were on this replica's disk already.
    kept_bytes: u64,
    /// Bytes requested in vain, an upper bound of the bytes that are sent again.
    repeated_bytes: u64,
    failures: u64,
    timeouts: u64,
}

impl StateTransfer {
    /// Interval between log lines of a transfer in progress.
    pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            reported_at: now,
            segments: 0,
            bytes: 0,
            kept_bytes: 0,
            repeated_bytes: 0,
            failures: 0,
            timeouts: 0,
        }
    }

    /// Records a segment that was found on this replica's disk.
    pub fn record_kept(&mut self, segment: &Segment) {
        self.kept_bytes += segment.bytes;
    }

    /// Records the outcome of a request.
    pub fn record(&mut self, segment: &Segment, fetched: Result<Duration, FetchFailure>) {
        match fetched {
            Ok(_) => {
                self.segments += 1;
                self.bytes += segment.bytes;
            }
            Err(failure) => {
                self.failures += 1;
                if failure == FetchFailure::TimedOut {
                    self.timeouts += 1;
                    self.repeated_bytes += segment.bytes;
                }
            }
        }
    }

    fn bytes_per_second(&self, now: Duration) -> u64 {
        self.bytes * 1_000 / (now.saturating_sub(self.started_at).as_millis() as u64).max(1)
    }

    /// Logs a transfer in progress and what it waits for, at most once in the report interval.
    pub fn log_if_due(&mut self, now: Duration, in_flight: &BTreeMap<u64, ReplicaId>, policy: &TransferPolicy) {
        if now < self.reported_at + Self::REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        let describe = |(number, source): (&u64, &ReplicaId)| {
            let rate = policy.rate(*source).map_or("-".to_string(), |rate| rate.to_string());
            format!("{number}@{}:{rate}", source.0)
        };
        let waits_for = in_flight.iter().map(describe).collect::<Vec<_>>().join(" ");
        spdlog::info!("state transfer in progress", kv: {
            segments = self.segments, bytes = self.bytes, kept_bytes = self.kept_bytes,
            repeated_bytes = self.repeated_bytes, bytes_per_second = self.bytes_per_second(now),
            elapsed_ms = now.saturating_sub(self.started_at).as_millis() as u64,
            failures = self.failures, timeouts = self.timeouts,
            waits_for = waits_for.as_str()
        });
    }

    /// Logs the end of a transfer.
    pub fn log_end(&self, now: Duration, is_complete: bool) {
        spdlog::info!("state transfer ended", kv: {
            complete = is_complete, segments = self.segments, bytes = self.bytes, kept_bytes = self.kept_bytes,
            repeated_bytes = self.repeated_bytes, bytes_per_second = self.bytes_per_second(now),
            elapsed_ms = now.saturating_sub(self.started_at).as_millis() as u64,
            failures = self.failures, timeouts = self.timeouts
        });
    }
}
