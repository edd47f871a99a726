//! Chooses an engine by what this process has seen of each: requests in flight, latency, failures.

use crate::pool::EngineTarget;
use saddlerelay_types::instance::InstanceId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Weight of the newest latency in the mean.
const LATENCY_WEIGHT: f64 = 0.3;

/// Latency assumed of an engine that has not answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(20);

/// What an engine in another zone costs beside its latency, in seconds.
const OTHER_ZONE_COST: f64 = 0.003;

/// How long a failing engine is left alone at first; doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(400);

/// Most doublings of an ejection.
const EJECTION_DOUBLINGS: u32 = 4;

/// An old latency is forgotten by half in this time, so that an engine that was slow is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Seen {
    in_flight: u32,
    /// Smoothed latency in seconds.
    latency: f64,
    measured_at: Duration,
    failures_in_row: u32,
    ejected_until: Duration,
}

impl Seen {
    fn new(now: Duration) -> Self {
        Self {
            in_flight: 0,
            latency: UNKNOWN_LATENCY.as_secs_f64(),
            measured_at: now,
            failures_in_row: 0,
            ejected_until: Duration::ZERO,
        }
    }

    /// The smoothed latency, drawn towards the unknown as it ages.
    fn expected_latency(&self, now: Duration) -> f64 {
        let unknown = UNKNOWN_LATENCY.as_secs_f64();
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64());
        unknown + (self.latency - unknown) * kept
    }
}

/// An engine that may be given new work.
#[derive(Clone, Debug)]
pub struct ReadyEngine {
    /// Where and who it is.
    pub target: EngineTarget,
    /// Where it stands.
    pub zone: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// It no longer reports itself.
    pub silent: bool,
}

/// What this process has seen of each engine. Clones share it.
#[derive(Clone, Default)]
pub struct Balance {
    seen: Rc<RefCell<BTreeMap<InstanceId, Seen>>>,
}

/// A request in flight at an engine; counts until dropped.
pub struct InFlight {
    balance: Balance,
    instance: InstanceId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(seen) = self.balance.seen.borrow_mut().get_mut(&self.instance) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }
}

impl Balance {
    /// The engine to send a request to, leaving out `tried` ones while there are others.
    pub fn choose(
        &self,
        engines: impl Iterator<Item = ReadyEngine>,
        own_zone: &str,
        tried: &[InstanceId],
        now: Duration,
    ) -> Option<ReadyEngine> {
        let seen = self.seen.borrow();
        let rank = |engine: &ReadyEngine| {
            let known = seen.get(&engine.target.instance);
            let ejected = known.is_some_and(|seen| now < seen.ejected_until);
            let penalty = u32::from(tried.contains(&engine.target.instance)) * 4
                + u32::from(ejected) * 2
                + u32::from(engine.silent);
            let fresh = Seen::new(now);
            let known = known.unwrap_or(&fresh);
            let waiting = 1.0 + f64::from(known.in_flight) / f64::from(engine.slots.max(1)).max(1.0);
            let distance = if engine.zone == own_zone { 0.0 } else { OTHER_ZONE_COST };
            (penalty, known.expected_latency(now) * waiting + distance)
        };
        let ranked = engines.map(|engine| (rank(&engine), engine));
        let least = ranked.min_by(|(left, _), (right, _)| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        least.map(|(_, engine)| engine)
    }

    /// Requests in flight from this process.
    pub fn in_flight(&self, instance: &InstanceId) -> u32 {
        self.seen.borrow().get(instance).map_or(0, |seen| seen.in_flight)
    }

    /// Counts a request as in flight.
    pub fn begin(&self, instance: &InstanceId, now: Duration) -> InFlight {
        let mut seen = self.seen.borrow_mut();
        seen.entry(instance.clone()).or_insert_with(|| Seen::new(now)).in_flight += 1;
        InFlight { balance: self.clone(), instance: instance.clone() }
    }

    /// An answer came after `latency`.
    pub fn answered(&self, instance: &InstanceId, latency: Duration, now: Duration) {
        self.measure(instance, latency, now);
        if let Some(seen) = self.seen.borrow_mut().get_mut(instance) {
            seen.failures_in_row = 0;
            seen.ejected_until = Duration::ZERO;
        }
    }

    /// No answer has come for `latency`, and it is no longer waited for.
    pub fn outlasted(&self, instance: &InstanceId, latency: Duration, now: Duration) {
        self.measure(instance, latency, now);
        self.failed(instance, now);
    }

    fn measure(&self, instance: &InstanceId, latency: Duration, now: Duration) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(instance.clone()).or_insert_with(|| Seen::new(now));
        let before = seen.expected_latency(now);
        seen.latency = before + (latency.as_secs_f64() - before) * LATENCY_WEIGHT;
        seen.measured_at = now;
    }

    /// The engine failed: it is left alone for a while, longer with each failure in a row.
    pub fn failed(&self, instance: &InstanceId, now: Duration) {
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(instance.clone()).or_insert_with(|| Seen::new(now));
        let doublings = seen.failures_in_row.min(EJECTION_DOUBLINGS);
        seen.failures_in_row += 1;
        seen.ejected_until = now + FIRST_EJECTION * 2_u32.pow(doublings);
    }

    /// Forgets engines that `keep` does not want.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.seen.borrow_mut().retain(|instance, seen| seen.in_flight > 0 || keep(instance));
    }
}
