//! Learns what each engine can do: its steady pace, the effect of neighbors, and its present slowdown.
//!
//! Designed for engines that run up to a few dozen texts at a time, send 5 to 100 events per second and text, differ in
//! speed by up to a factor of ten, permanently or for a while, and may report their load wrongly or not at all. An
//! engine is only compared with its own past; other engines only supply the default of an engine without events.
//!
//! Paces are quotients of time and events, both of which decay exponentially. Unlike an average of intervals, a quotient
//! is not biased by events that arrive together because the observer was busy, and a speed that swings averages to the
//! rate at which texts advance.

use crate::completion::CapacityEstimate;
use crate::load_report::LoadReport;
use saddlerelay_types::instance::InstanceId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seconds per event that are assumed before any event was observed.
const DEFAULT_PACE: f64 = 0.045;

/// Time constant of the present pace, in seconds. Two seconds after a change of speed, 6 % of the evidence is older than
/// the change; a speed that swings every 600 ms shows with 0.4 of its amplitude.
const PRESENT_TIME_CONSTANT: f64 = 0.7;

/// Time constant of the steady pace, in seconds during which events arrive. Much longer than a temporary slowdown, and
/// short enough that a lasting change becomes the steady pace within half a minute.
const STEADY_TIME_CONSTANT: f64 = 10.0;

/// Longest time between two events of an engine that counts as time during which events arrive, in seconds. The steady
/// pace of an idle engine is kept.
const MAX_OBSERVED_GAP: f64 = 0.5;

/// Weight, in events, of the default in the steady pace.
const STEADY_PRIOR_EVENTS: f64 = 0.5;

/// Weight, in events, of the steady pace and the reported slowdown in the present pace. Low, so that observed events
/// overrule a wrong report; without events for about 5 s, the present pace has returned to the steady one.
const PRESENT_PRIOR_EVENTS: f64 = 0.5;

/// Age up to which a reported work time is used. It changes several times per second.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);

/// Bounds of a reported slowdown, so that a wrong report does not outweigh observed events.
const REPORTED_SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Effect of a neighbor, as a share of the pace alone, before it was observed.
const DEFAULT_NEIGHBOR_SHARE: f64 = 0.01;

/// Upper bound of the effect of a neighbor: texts that run one after the other double the time of each.
const MAX_NEIGHBOR_SHARE: f64 = 1.0;

/// Weight of the default effect of a neighbor, in squared deviations of the number of neighbors.
const NEIGHBOR_PRIOR: f64 = 20.0;

/// Share of the evidence on neighbors that is kept at each event.
const NEIGHBOR_RETENTION: f64 = 0.9998;

/// Weight of an event in the moving means from which deviations are computed.
const MEAN_SMOOTHING: f64 = 0.02;

/// A quotient of time and events that both decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingPace {
    seconds: f64,
    events: f64,
}

impl DecayingPace {
    fn decay(&mut self, weight: f64) {
        self.seconds *= weight;
        self.events *= weight;
    }

    fn add(&mut self, seconds: f64) {
        self.seconds += seconds;
        self.events += 1.0;
    }

    /// Seconds per event, with `prior` weighted as `prior_events` events.
    fn with_prior(&self, prior: f64, prior_events: f64) -> f64 {
        (self.seconds + prior * prior_events) / (self.events + prior_events)
    }
}

/// Work time reported by an engine.
#[derive(Clone, Copy, Debug)]
struct ReportedSlowdown {
    newest: f64,
    /// Moving average. The steady pace contains it, so only deviations from it count as a slowdown.
    usual: f64,
    at: Duration,
}

/// Observations of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    steady: DecayingPace,
    present: DecayingPace,
    last_event_at: Option<Duration>,
    reported: Option<ReportedSlowdown>,
    /// Moving means of the number of neighbors and of the time per event relative to the steady pace.
    mean_neighbors: f64,
    mean_relative_time: f64,
}

impl Observations {
    fn steady(&self, default: f64) -> f64 {
        self.steady.with_prior(default, STEADY_PRIOR_EVENTS)
    }

    fn reported_slowdown(&self, now: Duration) -> f64 {
        let valid = self.reported.filter(|reported| now <= reported.at + REPORT_VALIDITY);
        let (least, most) = REPORTED_SLOWDOWN_BOUNDS;
        valid.map_or(1.0, |reported| (reported.newest / reported.usual).clamp(least, most))
    }

    fn estimate(&self, default: f64, neighbor_share: f64, now: Duration) -> CapacityEstimate {
        let steady = self.steady(default);
        let mut present = self.present;
        present.decay(self.present_retention(now));
        let expected = steady * self.reported_slowdown(now);
        let newest = self.last_event_at.max(self.reported.map(|reported| reported.at));
        CapacityEstimate {
            seconds_per_event_alone: steady,
            added_per_neighbor: steady * neighbor_share,
            slowdown: present.with_prior(expected, PRESENT_PRIOR_EVENTS) / steady,
            age: newest.map(|at| now.saturating_sub(at)),
        }
    }

    /// Share of the present pace's evidence that is left at `now`.
    fn present_retention(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_event_at.unwrap_or(now)).as_secs_f64();
        (-age / PRESENT_TIME_CONSTANT).exp()
    }
}

/// Effect of a neighbor as a share of the pace alone; one figure for all engines, as a single engine rarely shows enough
/// different numbers of neighbors.
#[derive(Clone, Copy, Debug, Default)]
struct NeighborEffect {
    covariance: f64,
    variance: f64,
}

impl NeighborEffect {
    fn share(&self) -> f64 {
        let share = (self.covariance + DEFAULT_NEIGHBOR_SHARE * NEIGHBOR_PRIOR) / (self.variance + NEIGHBOR_PRIOR);
        share.clamp(0.0, MAX_NEIGHBOR_SHARE)
    }

    fn add(&mut self, neighbors: f64, relative_time: f64) {
        self.covariance = self.covariance * NEIGHBOR_RETENTION + neighbors * relative_time;
        self.variance = self.variance * NEIGHBOR_RETENTION + neighbors * neighbors;
    }
}

/// Observations of all engines; see the module.
#[derive(Clone, Debug, Default)]
pub struct CapacityModel {
    engines: BTreeMap<InstanceId, Observations>,
    neighbor: NeighborEffect,
    /// Median of the steady paces when estimates were last evaluated.
    median: Option<f64>,
}

impl CapacityModel {
    /// Records the time between two events of a text while the engine ran `running` texts, including this one.
    pub fn observe_interval(&mut self, instance: &InstanceId, interval: Duration, running: u32, now: Duration) {
        let default = self.median.unwrap_or(DEFAULT_PACE);
        let neighbors = f64::from(running.saturating_sub(1));
        let share = self.neighbor.share();
        let engine = self.engines.entry(instance.clone()).or_default();
        let seconds = interval.as_secs_f64();
        let relative_time = seconds / engine.steady(default);
        match engine.last_event_at {
            Some(last_event_at) => {
                let gap = now.saturating_sub(last_event_at).as_secs_f64().min(MAX_OBSERVED_GAP);
                engine.steady.decay((-gap / STEADY_TIME_CONSTANT).exp());
                engine.present.decay(engine.present_retention(now));
                self.neighbor.add(neighbors - engine.mean_neighbors, relative_time - engine.mean_relative_time);
                engine.mean_neighbors += (neighbors - engine.mean_neighbors) * MEAN_SMOOTHING;
                engine.mean_relative_time += (relative_time - engine.mean_relative_time) * MEAN_SMOOTHING;
            }
            None => {
                engine.mean_neighbors = neighbors;
                engine.mean_relative_time = relative_time;
            }
        }
        let alone = seconds / (1.0 + share * neighbors);
        engine.steady.add(alone);
        engine.present.add(alone);
        engine.last_event_at = Some(now.max(engine.last_event_at.unwrap_or_default()));
    }

    /// Records the work time of a load report, if it has one.
    pub fn observe_report(&mut self, instance: &InstanceId, report: &LoadReport, now: Duration) {
        let Some(slowdown) = report.slowdown() else {
            return;
        };
        let engine = self.engines.entry(instance.clone()).or_default();
        let usual = match engine.reported {
            Some(earlier) => {
                let age = now.saturating_sub(earlier.at).as_secs_f64().min(MAX_OBSERVED_GAP);
                earlier.usual + (slowdown - earlier.usual) * (1.0 - (-age / STEADY_TIME_CONSTANT).exp())
            }
            None => slowdown,
        };
        engine.reported = Some(ReportedSlowdown { newest: slowdown, usual, at: now });
    }

    /// Whether an engine has reported its work time.
    pub fn reports_work_time(&self, instance: &InstanceId) -> bool {
        self.engines.get(instance).is_some_and(|engine| engine.reported.is_some())
    }

    /// Drops engines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.engines.retain(|instance, _| keep(instance));
    }

    /// Evaluates the estimates of all engines.
    pub fn estimates(&mut self, now: Duration) -> Capacities {
        let observed = self.engines.values().filter(|engine| engine.steady.events > 0.0);
        let mut steady: Vec<f64> = observed.map(|engine| engine.steady.seconds / engine.steady.events).collect();
        steady.sort_by(f64::total_cmp);
        self.median = steady.get(steady.len() / 2).copied().filter(|median| *median > 0.0);
        let default = self.median.unwrap_or(DEFAULT_PACE);
        let share = self.neighbor.share();
        let estimates =
            self.engines.iter().map(|(instance, engine)| (instance.clone(), engine.estimate(default, share, now)));
        Capacities { by_engine: estimates.collect(), unknown: Observations::default().estimate(default, share, now) }
    }
}

/// Estimates of all engines at one time.
#[derive(Clone, Debug)]
pub struct Capacities {
    by_engine: BTreeMap<InstanceId, CapacityEstimate>,
    unknown: CapacityEstimate,
}

impl Capacities {
    /// The estimate of an engine. Without observations of it, the median of the known engines.
    pub fn of(&self, instance: &InstanceId) -> CapacityEstimate {
        self.by_engine.get(instance).copied().unwrap_or(self.unknown)
    }

    /// The estimate of an engine about which nothing is known: the median of the known engines.
    pub fn unknown(&self) -> CapacityEstimate {
        self.unknown
    }
}
