//! Which engine a request goes to, by reported load and own requests.
//!
//! Designed for many relays that each see a small part of the load: with 56 relays and 720 requests per second, a relay
//! receives about five reports of an engine per second, while the engine's queue drains in 100 ms. So a report loses weight
//! with its age, own requests count at once, and only a random sample of engines is compared, because relays that all
//! compare all engines send their requests to the same one.

use crate::LoadReport;
use std::time::Duration;

/// Age at which a report of more load than the mean of the service counts as much as the mean. About the time in which a
/// queue of four requests per slot of 25 ms drains.
const BUSY_HALF_LIFE: Duration = Duration::from_millis(150);

/// As above, for a report of less load than the mean, and for the weight of a report in the mean. Longer, because one
/// fresh report of a full engine says little about the others: at 150 ms they were rated as full as that one.
const IDLE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Age at which an engine's observed work time counts as much as the mean of the service; lets an engine that was slow be
/// tried again.
const WORK_HALF_LIFE: Duration = Duration::from_secs(3);

/// Age from which a report is not used.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Work time assumed for an engine if none of the service has been observed.
const DEFAULT_WORK_SECONDS: f64 = 0.02;

/// Time that a request to another zone and its answer take in addition to those within a zone, in seconds.
const ZONE_CROSSING_SECONDS: f64 = 0.003;

/// Bounds on the reported slowdown, so that a wrong figure neither attracts all requests nor excludes an engine forever.
const SLOWDOWN_RANGE: (f64, f64) = (0.1, 20.0);

/// A report and the time since it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedReport {
    /// The figures.
    pub report: LoadReport,
    /// Time since they were received.
    pub age: Duration,
}

impl AgedReport {
    /// The part of a figure that is left at this age.
    fn weight(&self, half_life: Duration) -> f64 {
        0.5_f64.powf(self.age.as_secs_f64() / half_life.as_secs_f64())
    }

    fn occupancy(&self) -> f64 {
        f64::from(self.report.running) + f64::from(self.report.waiting)
    }
}

/// An engine as a relay sees it at the time of a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLoad {
    /// Requests that it runs concurrently, as registered; a report overrides it.
    pub slots: u32,
    /// Whether it is in the relay's zone.
    pub in_own_zone: bool,
    /// Engines with a higher penalty are chosen only if there is none with a lower one.
    pub penalty: u32,
    /// Time since it last failed, while it is avoided for that.
    pub failed_age: Option<Duration>,
    /// Whether it sent the newest report with a rejection.
    pub rejected: bool,
    /// The newest report, unless it is older than `REPORT_LIFETIME`.
    pub report: Option<AgedReport>,
    /// Own requests in flight.
    pub own_in_flight: u32,
    /// Own requests in flight that were sent after the newest report.
    pub own_since_report: u32,
    /// Observed time of a request without waiting, at the engine's usual speed; `None` before the first answer.
    pub work: Option<ObservedWork>,
}

/// Time of a request without waiting, at the engine's usual speed, as a moving average of `work_sample`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObservedWork {
    /// The average, in seconds.
    pub seconds: f64,
    /// Time since the newest sample.
    pub age: Duration,
}

impl EngineLoad {
    /// Slots, as reported or registered.
    pub fn slots(&self) -> f64 {
        f64::from(self.report.map_or(self.slots, |aged| aged.report.slots).max(1))
    }
}

fn slowdown(report: &LoadReport) -> f64 {
    report.slowdown().unwrap_or(1.0).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
}

/// Time of a request without waiting and at usual speed, in seconds, from the `latency` of an answer and the report that
/// it carried. A wrong report is absorbed: the product of both, which rates the engine, is what was observed.
pub fn work_sample(latency: Duration, report: Option<&LoadReport>) -> f64 {
    let Some(report) = report else {
        return latency.as_secs_f64();
    };
    let waits = f64::from(report.waiting) / f64::from(report.slots.max(1));
    latency.as_secs_f64() / (1.0 + waits) / slowdown(report)
}

/// The engines of a service as a relay sees them, with the means that stand in for missing figures.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    engines: Vec<EngineLoad>,
    /// Occupied part of the slots of an engine, with queued requests counted.
    mean_utilization: f64,
    mean_work_seconds: f64,
}

impl ServiceLoad {
    /// Summarizes the engines that are ready.
    pub fn new(engines: Vec<EngineLoad>) -> Self {
        let (mut utilization, mut slots) = (0.0, 0.0);
        for engine in &engines {
            if let Some(aged) = engine.report {
                // A floor keeps the mean defined if all reports are old.
                let weight = aged.weight(IDLE_HALF_LIFE).max(1e-6);
                utilization += aged.occupancy() * weight;
                slots += engine.slots() * weight;
            }
        }
        let known: Vec<f64> = engines.iter().filter_map(|engine| engine.work).map(|work| work.seconds).collect();
        let mean_work = known.iter().sum::<f64>() / known.len().max(1) as f64;
        Self {
            engines,
            mean_utilization: if slots > 0.0 { utilization / slots } else { 0.0 },
            mean_work_seconds: if mean_work > 0.0 { mean_work } else { DEFAULT_WORK_SECONDS },
        }
    }

    /// The engines, in the order given.
    pub fn engines(&self) -> &[EngineLoad] {
        &self.engines
    }

    /// Time of a request without waiting, at the engine's usual speed, in seconds.
    pub fn work_seconds(&self, engine: &EngineLoad) -> f64 {
        let mean = self.mean_work_seconds;
        engine.work.map_or(mean, |work| {
            let weight = 0.5_f64.powf(work.age.as_secs_f64() / WORK_HALF_LIFE.as_secs_f64());
            mean + (work.seconds - mean) * weight
        })
    }

    /// Whether any engine has a report, or one with the work time if `with_work_time`.
    pub fn has_reports(&self, with_work_time: bool) -> bool {
        let reports = self.engines.iter().filter_map(|engine| engine.report);
        reports.into_iter().any(|aged| !with_work_time || aged.report.work_time_percent.is_some())
    }

    /// Estimated number of requests at an engine.
    pub fn occupancy(&self, engine: &EngineLoad) -> f64 {
        let mean = self.mean_utilization * engine.slots();
        let of_others = engine.report.map_or(mean, |aged| {
            let half_life = if aged.occupancy() > mean { BUSY_HALF_LIFE } else { IDLE_HALF_LIFE };
            let weight = aged.weight(half_life);
            aged.occupancy() * weight + mean * (1.0 - weight)
        });
        // Without a report, own requests in flight are a part of the mean.
        let own = if engine.report.is_some() { engine.own_since_report } else { engine.own_in_flight };
        (of_others + f64::from(own)).max(f64::from(engine.own_in_flight))
    }

    /// Time of a request without waiting at the present speed, in seconds.
    pub fn present_work_seconds(&self, engine: &EngineLoad) -> f64 {
        let slowdown = engine.report.map_or(1.0, |aged| {
            let weight = aged.weight(BUSY_HALF_LIFE);
            1.0 + (slowdown(&aged.report) - 1.0) * weight
        });
        self.work_seconds(engine) * slowdown
    }

    /// Expected time from sending a request to its answer, in seconds: the work, after the requests ahead of it.
    pub fn expected_seconds(&self, engine: &EngineLoad) -> f64 {
        let slots = engine.slots();
        let ahead = (self.occupancy(engine) + 1.0 - slots).max(0.0);
        let crossing = if engine.in_own_zone { 0.0 } else { ZONE_CROSSING_SECONDS };
        self.present_work_seconds(engine) * (1.0 + ahead / slots) + crossing
    }

    /// Index of the engine for a request, or `None` without engines. Compares two engines of the own zone and two
    /// of other zones, drawn with `random`; an engine with more slots is drawn more often.
    pub fn choose(&self, random: u64) -> Option<usize> {
        let least_penalty = self.engines.iter().map(|engine| engine.penalty).min()?;
        let mut draws = Draws(random);
        let mut sample = Vec::with_capacity(2 * SAMPLE_SIZE);
        for own_zone in [true, false] {
            let eligible = |engine: &EngineLoad| engine.penalty == least_penalty && engine.in_own_zone == own_zone;
            let mut indexes: Vec<usize> =
                (0..self.engines.len()).filter(|index| eligible(&self.engines[*index])).collect();
            for _ in 0..SAMPLE_SIZE {
                if let Some(position) = self.draw(&indexes, &mut draws) {
                    sample.push(indexes.swap_remove(position));
                }
            }
        }
        let rated = sample.into_iter().map(|index| {
            (self.expected_seconds(&self.engines[index]) + draws.next_fraction() * INDIFFERENCE_SECONDS, index)
        });
        rated.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, index)| index)
    }

    /// A random position in `indexes`, weighted by slots.
    fn draw(&self, indexes: &[usize], draws: &mut Draws) -> Option<usize> {
        let total: f64 = indexes.iter().map(|index| self.engines[*index].slots()).sum();
        let mut remaining = draws.next_fraction() * total;
        for (position, index) in indexes.iter().enumerate() {
            remaining -= self.engines[*index].slots();
            if remaining < 0.0 {
                return Some(position);
            }
        }
        indexes.len().checked_sub(1)
    }
}

/// Expected times that differ by less are chosen between at random; less than the time to another zone.
const INDIFFERENCE_SECONDS: f64 = 0.002;

/// Engines drawn from the own zone, and from all others.
const SAMPLE_SIZE: usize = 2;

/// Random fractions derived from one number (SplitMix64).
pub(crate) struct Draws(pub(crate) u64);

impl Draws {
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }
}
