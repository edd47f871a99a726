//! Estimates the pace of engines, in seconds per event, from the intervals between the events of their streams.

use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new interval in the exponential moving average of seconds per event.
const SMOOTHING_FACTOR: f64 = 0.03;

/// Age of the last event up to which an estimate is used unchanged.
const FRESH_PERIOD: Duration = Duration::from_secs(1);

/// Half-life with which an older estimate decays to the median, so that a slow engine is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Pace in seconds per event that is used before any event was observed.
const DEFAULT_PACE: f64 = 0.045;

/// Pace estimate of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceEstimate {
    /// Moving average of seconds per event; `None` before the first interval.
    smoothed: Option<f64>,
    observed_at: Duration,
}

impl PaceEstimate {
    /// Records an interval; `median` is the median pace of all engines, if known.
    pub fn observe(&mut self, interval: Duration, median: Option<f64>, now: Duration) {
        let previous = match median {
            Some(median) => self.expected(median, now),
            None => self.smoothed.unwrap_or(interval.as_secs_f64()),
        };
        self.smoothed = Some(previous + (interval.as_secs_f64() - previous) * SMOOTHING_FACTOR);
        self.observed_at = now;
    }

    fn expected(&self, median: f64, now: Duration) -> f64 {
        let Some(smoothed) = self.smoothed else {
            return median;
        };
        let age = now.saturating_sub(self.observed_at + FRESH_PERIOD).as_secs_f64();
        let weight = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        median + (smoothed - median) * weight
    }
}

/// Paces of all engines at one time.
pub struct Paces {
    median: f64,
    by_engine: BTreeMap<InstanceId, f64>,
}

impl Paces {
    /// Evaluates the estimates at `now`.
    pub fn new<'a>(estimates: impl Iterator<Item = (&'a InstanceId, &'a PaceEstimate)> + Clone, now: Duration) -> Self {
        let mut smoothed: Vec<f64> = estimates.clone().filter_map(|(_, pace)| pace.smoothed).collect();
        smoothed.sort_by(f64::total_cmp);
        let median = smoothed.get(smoothed.len() / 2).copied().unwrap_or(DEFAULT_PACE);
        let by_engine = estimates.map(|(instance, pace)| (instance.clone(), pace.expected(median, now))).collect();
        Self { median, by_engine }
    }

    /// Seconds per event of an engine; the median for an engine without observations.
    pub fn of(&self, instance: &InstanceId) -> f64 {
        self.by_engine.get(instance).copied().unwrap_or(self.median)
    }

    /// Median of the engines' seconds per event.
    pub fn median(&self) -> f64 {
        self.median
    }
}
