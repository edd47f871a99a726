//! Picks an engine by in-flight requests, latency and failures as observed by this process, or by the load that engines
//! report.

use crate::pool::EngineTarget;
use saddlerelay_scheduling::balance::{REPORT_LIFETIME, work_sample};
use saddlerelay_scheduling::{AgedReport, EngineLoad, LoadReport, ObservedWork, ServiceLoad};
use saddlerelay_types::instance::InstanceId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Weight of the newest sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.3;

/// Latency assumed for an engine without samples.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(20);

/// Score penalty of an engine in another zone, in seconds.
const OTHER_ZONE_COST: f64 = 0.003;

/// Ejection time after the first failure; doubles with each consecutive failure.
const FIRST_EJECTION: Duration = Duration::from_millis(400);

/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS: u32 = 4;

/// Half-life of a latency sample; lets an engine that was slow be tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct EngineStats {
    in_flight: u32,
    /// Moving average of latencies, in seconds.
    latency: f64,
    measured_at: Duration,
    consecutive_failures: u32,
    ejected_until: Duration,
    failed_at: Duration,
    /// The newest load report and when it was received.
    report: Option<(LoadReport, Duration)>,
    /// Whether the newest report came with a rejection.
    rejected: bool,
    /// Requests in flight that were sent after the newest report.
    begun_since_report: u32,
    /// Moving average of the work time without waiting, in seconds, and when it was last updated.
    work: Option<(f64, Duration)>,
}

impl EngineStats {
    fn new(now: Duration) -> Self {
        Self {
            in_flight: 0,
            latency: UNKNOWN_LATENCY.as_secs_f64(),
            measured_at: now,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            failed_at: Duration::ZERO,
            report: None,
            rejected: false,
            begun_since_report: 0,
            work: None,
        }
    }

    /// Higher for engines that are chosen only if no other is left.
    fn penalty(&self, is_tried: bool, is_silent: bool, now: Duration) -> u32 {
        u32::from(is_tried) * 4 + u32::from(now < self.ejected_until) * 2 + u32::from(is_silent)
    }

    /// The average latency in seconds, decaying towards `UNKNOWN_LATENCY` with its age.
    fn expected_latency(&self, now: Duration) -> f64 {
        let unknown = UNKNOWN_LATENCY.as_secs_f64();
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64());
        unknown + (self.latency - unknown) * decay
    }
}

/// An engine that is ready for new requests.
#[derive(Clone, Debug)]
pub struct ReadyEngine {
    /// Its instance and address, to which requests are sent.
    pub target: EngineTarget,
    /// Its zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// It has stopped sending reports; other engines are preferred.
    pub silent: bool,
}

/// Load and health of each engine as observed by this process. Clones share state.
#[derive(Clone, Default)]
pub struct LoadBalancer {
    stats: Rc<RefCell<BTreeMap<InstanceId, EngineStats>>>,
}

/// Counts a request as in flight at an engine until dropped.
pub struct InFlight {
    balance: LoadBalancer,
    instance: InstanceId,
    begun_at: Duration,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(stats) = self.balance.stats.borrow_mut().get_mut(&self.instance) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
            if stats.report.is_none_or(|(_, received_at)| self.begun_at >= received_at) {
                stats.begun_since_report = stats.begun_since_report.saturating_sub(1);
            }
        }
    }
}

impl LoadBalancer {
    /// Picks an engine for a request; engines in `tried` are picked only if there is no other.
    pub fn choose(
        &self,
        engines: impl Iterator<Item = ReadyEngine>,
        own_zone: &str,
        tried: &[InstanceId],
        now: Duration,
    ) -> Option<ReadyEngine> {
        let stats = self.stats.borrow();
        let rank = |engine: &ReadyEngine| {
            let engine_stats = stats.get(&engine.target.instance);
            let default_stats = EngineStats::new(now);
            let engine_stats = engine_stats.unwrap_or(&default_stats);
            let penalty = engine_stats.penalty(tried.contains(&engine.target.instance), engine.silent, now);
            let load_factor = 1.0 + f64::from(engine_stats.in_flight) / f64::from(engine.slots.max(1)).max(1.0);
            let zone_cost = if engine.zone == own_zone { 0.0 } else { OTHER_ZONE_COST };
            (penalty, engine_stats.expected_latency(now) * load_factor + zone_cost)
        };
        let ranked = engines.map(|engine| (rank(&engine), engine));
        let best = ranked.min_by(|(left, _), (right, _)| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        best.map(|(_, engine)| engine)
    }

    /// The load of `engines` as reported and observed, in the same order; engines in `tried` are penalized.
    pub fn service_load(
        &self,
        engines: &[ReadyEngine],
        own_zone: &str,
        tried: &[InstanceId],
        now: Duration,
    ) -> ServiceLoad {
        let stats = self.stats.borrow();
        let default_stats = EngineStats::new(now);
        let load = |engine: &ReadyEngine| {
            let instance = &engine.target.instance;
            let stats = stats.get(instance).unwrap_or(&default_stats);
            let age = |at: Duration| now.saturating_sub(at);
            let report = stats.report.map(|(report, received_at)| AgedReport { report, age: age(received_at) });
            EngineLoad {
                slots: engine.slots,
                in_own_zone: engine.zone == own_zone,
                penalty: stats.penalty(tried.contains(instance), engine.silent, now),
                failed_age: (now < stats.ejected_until).then(|| age(stats.failed_at)),
                rejected: stats.rejected,
                report: report.filter(|report| report.age < REPORT_LIFETIME),
                own_in_flight: stats.in_flight,
                own_since_report: stats.begun_since_report,
                work: stats.work.map(|(seconds, updated_at)| ObservedWork { seconds, age: age(updated_at) }),
            }
        };
        ServiceLoad::new(engines.iter().map(load).collect())
    }

    /// Records the load that an engine reported, `rejected` with a rejection.
    pub fn record_report(&self, instance: &InstanceId, report: LoadReport, rejected: bool, now: Duration) {
        let mut stats = self.stats.borrow_mut();
        let stats = stats.entry(instance.clone()).or_insert_with(|| EngineStats::new(now));
        stats.report = Some((report, now));
        stats.rejected = rejected;
        stats.begun_since_report = 0;
    }

    /// Records the work time of an answer that arrived after `latency` with `report`.
    pub fn record_work(&self, instance: &InstanceId, latency: Duration, report: Option<&LoadReport>, now: Duration) {
        let mut stats = self.stats.borrow_mut();
        let stats = stats.entry(instance.clone()).or_insert_with(|| EngineStats::new(now));
        let sample = work_sample(latency, report);
        let seconds = stats.work.map_or(sample, |(seconds, _)| seconds + (sample - seconds) * LATENCY_WEIGHT);
        stats.work = Some((seconds, now));
    }

    /// Number of requests of this process in flight at an engine.
    pub fn in_flight(&self, instance: &InstanceId) -> u32 {
        self.stats.borrow().get(instance).map_or(0, |stats| stats.in_flight)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin(&self, instance: &InstanceId, now: Duration) -> InFlight {
        let mut stats = self.stats.borrow_mut();
        let stats = stats.entry(instance.clone()).or_insert_with(|| EngineStats::new(now));
        stats.in_flight += 1;
        stats.begun_since_report += 1;
        InFlight { balance: self.clone(), instance: instance.clone(), begun_at: now }
    }

    /// Records a response after `latency`; ends any ejection.
    pub fn record_response(&self, instance: &InstanceId, latency: Duration, now: Duration) {
        self.record_latency(instance, latency, now);
        if let Some(stats) = self.stats.borrow_mut().get_mut(instance) {
            stats.consecutive_failures = 0;
            stats.ejected_until = Duration::ZERO;
        }
    }

    /// Records an attempt that was cancelled after `latency` without a response, as a failure.
    pub fn record_cancellation(&self, instance: &InstanceId, latency: Duration, now: Duration) {
        self.record_latency(instance, latency, now);
        self.record_failure(instance, now);
    }

    fn record_latency(&self, instance: &InstanceId, latency: Duration, now: Duration) {
        let mut stats = self.stats.borrow_mut();
        let stats = stats.entry(instance.clone()).or_insert_with(|| EngineStats::new(now));
        let previous = stats.expected_latency(now);
        stats.latency = previous + (latency.as_secs_f64() - previous) * LATENCY_WEIGHT;
        stats.measured_at = now;
    }

    /// Records a failure and ejects the engine, longer with each consecutive failure.
    pub fn record_failure(&self, instance: &InstanceId, now: Duration) {
        let mut stats = self.stats.borrow_mut();
        let stats = stats.entry(instance.clone()).or_insert_with(|| EngineStats::new(now));
        let doublings = stats.consecutive_failures.min(EJECTION_DOUBLINGS);
        stats.consecutive_failures += 1;
        stats.failed_at = now;
        stats.ejected_until = now + FIRST_EJECTION * 2_u32.pow(doublings);
    }

    /// Drops engines for which `keep` returns false and no request is in flight.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.stats.borrow_mut().retain(|instance, stats| stats.in_flight > 0 || keep(instance));
    }
}
