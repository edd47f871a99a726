//! Log of placements by expected completion, and of the capacity and use of engines.
//!
//! At most [`MAX_PLACEMENTS_PER_INTERVAL`] placements and [`MAX_ENGINES_PER_INTERVAL`] engines are logged per
//! [`LOG_INTERVAL`]. An engine is logged when its steady pace or its slowdown has changed much, and every
//! [`REPEAT_INTERVAL`].

use crate::placement_metrics::PlacementMetrics;
use crate::plan::Engine;
use saddlerelay_scheduling::CapacityEstimate;
use saddlerelay_types::instance::InstanceId;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LOG_INTERVAL: Duration = Duration::from_secs(1);

const MAX_PLACEMENTS_PER_INTERVAL: u32 = 4;

const MAX_ENGINES_PER_INTERVAL: usize = 4;

/// Interval at which an engine is logged without a change.
const REPEAT_INTERVAL: Duration = Duration::from_secs(60);

/// An engine is slowed down if its present pace exceeds its own steady pace by this factor; the factor that counts as
/// slow where items are not placed by expected completion.
const SLOWED_FACTOR: f64 = 1.6;

/// Relative change of the steady pace after which an engine is logged again.
const LOGGED_CHANGE: f64 = 0.25;

/// Weight of a second in the moving average of an engine's slot use; about the last half minute counts.
const USE_SMOOTHING: f64 = 0.05;

#[derive(Debug, Default)]
struct EngineUse {
    /// Moving average of the share of slots in use.
    slot_use: Option<f64>,
    logged: Option<LoggedCapacity>,
}

#[derive(Clone, Copy, Debug)]
struct LoggedCapacity {
    at: Duration,
    steady: f64,
    is_slowed: bool,
}

#[derive(Debug, Default)]
struct LogState {
    interval_began_at: Duration,
    placements_logged: u32,
    placements_suppressed: u32,
    engines_logged_at: Duration,
    engines: BTreeMap<InstanceId, EngineUse>,
}

/// Rate-limited log; see the module.
#[derive(Debug, Default)]
pub(crate) struct PlacementLog {
    state: RefCell<LogState>,
}

fn is_slowed(capacity: &CapacityEstimate) -> bool {
    capacity.slowdown > SLOWED_FACTOR
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1_000.0).round() as u64
}

/// Steady and present milliseconds per event of a text alone, and the age of the newest observation.
pub(crate) fn describe(capacity: &CapacityEstimate) -> (u64, u64, i64) {
    let age_ms = capacity.age.map_or(-1, |age| age.as_millis() as i64);
    (milliseconds(capacity.seconds_per_event_alone), milliseconds(capacity.seconds_per_event(1)), age_ms)
}

impl PlacementLog {
    /// Admits a line about a placement or a move. Returns how many were suppressed since the last admitted one, or
    /// `None` if this one is suppressed.
    pub fn admit(&self, now: Duration) -> Option<u32> {
        let mut state = self.state.borrow_mut();
        if now >= state.interval_began_at + LOG_INTERVAL {
            state.interval_began_at = now;
            state.placements_logged = 0;
        }
        if state.placements_logged >= MAX_PLACEMENTS_PER_INTERVAL {
            state.placements_suppressed += 1;
            return None;
        }
        state.placements_logged += 1;
        Some(std::mem::take(&mut state.placements_suppressed))
    }

    /// Updates the use of engines and logs their capacities, once per [`LOG_INTERVAL`].
    pub fn update_engines(&self, engines: &[Engine], metrics: &PlacementMetrics, now: Duration) {
        let mut state = self.state.borrow_mut();
        if now < state.engines_logged_at + LOG_INTERVAL {
            return;
        }
        state.engines_logged_at = now;
        let placed: Vec<(&Engine, CapacityEstimate)> =
            engines.iter().filter_map(|engine| Some((engine, engine.capacity?))).collect();
        let present: BTreeSet<&InstanceId> = placed.iter().map(|(engine, _)| &engine.target.instance).collect();
        state.engines.retain(|instance, _| present.contains(instance));
        let mut use_by_service: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (engine, _) in &placed {
            let recorded = state.engines.entry(engine.target.instance.clone()).or_default();
            let slot_use = recorded.slot_use.get_or_insert(engine.fullness());
            *slot_use += (engine.fullness() - *slot_use) * USE_SMOOTHING;
            let (total, count) = use_by_service.entry(engine.service.as_str()).or_default();
            *total += *slot_use;
            *count += 1.0;
        }
        let relative_use = |engine: &Engine, recorded: &EngineUse| {
            let (total, count) = use_by_service.get(engine.service.as_str()).copied().unwrap_or((0.0, 1.0));
            if total > 0.0 { recorded.slot_use.unwrap_or_default() * count / total } else { 1.0 }
        };
        let mut logged = 0;
        let (mut busiest, mut least_busy) = (0.0_f64, f64::INFINITY);
        for (engine, capacity) in &placed {
            let Some(recorded) = state.engines.get_mut(&engine.target.instance) else {
                continue;
            };
            let relative = relative_use(engine, recorded);
            busiest = busiest.max(relative);
            least_busy = least_busy.min(relative);
            if logged < MAX_ENGINES_PER_INTERVAL && is_due(recorded.logged, capacity, now) {
                logged += 1;
                recorded.logged = Some(LoggedCapacity {
                    at: now,
                    steady: capacity.seconds_per_event_alone,
                    is_slowed: is_slowed(capacity),
                });
                log_engine(engine, capacity, relative);
            }
        }
        let steady = placed.iter().map(|(_, capacity)| capacity.seconds_per_event_alone);
        let percent = |share: f64| (share * 100.0).round() as i64;
        let slowed = placed.iter().filter(|(_, capacity)| is_slowed(capacity)).count();
        metrics.engines_slowed.set(slowed as i64);
        metrics.fastest_steady_ms.set(milliseconds(steady.clone().reduce(f64::min).unwrap_or_default()) as i64);
        metrics.slowest_steady_ms.set(milliseconds(steady.reduce(f64::max).unwrap_or_default()) as i64);
        metrics.busiest_percent.set(percent(busiest));
        metrics.least_busy_percent.set(if placed.is_empty() { 0 } else { percent(least_busy) });
    }
}

/// Whether an engine's capacity is to be logged.
fn is_due(logged: Option<LoggedCapacity>, capacity: &CapacityEstimate, now: Duration) -> bool {
    let Some(logged) = logged else {
        return capacity.age.is_some();
    };
    let change = (capacity.seconds_per_event_alone / logged.steady - 1.0).abs();
    change > LOGGED_CHANGE || is_slowed(capacity) != logged.is_slowed || now >= logged.at + REPEAT_INTERVAL
}

fn log_engine(engine: &Engine, capacity: &CapacityEstimate, relative_use: f64) {
    let (steady_ms, present_ms, age_ms) = describe(capacity);
    let neighbor_percent = 100.0 * capacity.added_per_neighbor / capacity.seconds_per_event_alone;
    spdlog::info!("engine capacity", kv: {
        instance = engine.target.instance.name.as_str(),
        service = engine.service.as_str(),
        steady_ms = steady_ms,
        present_ms = present_ms,
        age_ms = age_ms,
        slowed = is_slowed(capacity),
        neighbor_percent = format!("{neighbor_percent:.1}").as_str(),
        in_flight = engine.load(),
        slots = engine.slots,
        use_percent_of_mean = (relative_use * 100.0).round() as u64
    });
}
