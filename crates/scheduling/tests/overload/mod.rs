//! Relays as values and engines as counters in one loop over events, without a network.
//!
//! Both ways use the product's own choice of engines (`LoadBalancer`); the loop around it follows `gateway::forward`.

mod world;

use std::collections::BTreeMap;
pub use world::run;

pub const OBJECTIVE: u64 = 150_000;
pub const DEADLINE: u64 = 2_000_000;
const QUEUE: usize = 24;
const RELAYS: usize = 56;
pub const ENGINES: usize = 3;
const SLOTS: usize = 6;
const MAX_RUNS: usize = 2;
const EXTRA_ENGINES: usize = 2;
const HEDGE_AFTER: u64 = OBJECTIVE * 45 / 100;
const FIXED_RETRY: u64 = 200_000;

/// Tenants 0 to 3 send 15 % of the requests each, the other 16 send 2.5 % each.
pub const TENANTS: usize = 20;

/// What differs between runs. Times are in microseconds.
#[derive(Clone, Copy)]
pub struct Setup {
    pub seed: u64,
    /// Whether relays decide by reported load.
    pub by_load: bool,
    pub per_second: f64,
    pub ends_at: u64,
    /// While these engines are away.
    pub away: (u64, u64),
    pub away_engines: usize,
    /// Whether engines send reports, and whether these are always "idle".
    pub reports: Reports,
    /// Engines that reject every request, as a bit set.
    pub rejecting: u32,
    /// Whether engines take 2.5 times as long for 600 ms, one after the other, each every 7.2 s.
    pub slow_phases: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    True,
    None,
    AlwaysIdle,
    /// True up to this time, and none afterwards.
    Until(u64),
}

impl Setup {
    pub fn new(seed: u64, by_load: bool) -> Self {
        Self {
            seed,
            by_load,
            per_second: 648.0,
            ends_at: 30_000_000,
            away: (10_000_000, 18_000_000),
            away_engines: 1,
            reports: Reports::True,
            rejecting: 0,
            slow_phases: false,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    InTime,
    Late,
    Rejected,
    Failed,
}

pub struct Ended {
    pub arrived: u64,
    pub tenant: usize,
    pub end: End,
    pub tries: u32,
}

#[derive(Default)]
pub struct Outcome {
    pub ended: Vec<Ended>,
    /// Requests sent to engines.
    pub attempts: u64,
    pub hedges: u64,
    pub rejections: u64,
    /// Rejections while under half of the slots were in use at the engines that serve, and nobody waited.
    pub wrong_rejections: u64,
    /// Rejections while that was so at one of these engines.
    pub rejections_beside_idle: u64,
    /// Requests that ran and were answered 503.
    pub run_and_rejected: u64,
}

impl Outcome {
    pub fn count(&self, end: End, from: u64, to: u64) -> usize {
        self.ended.iter().filter(|ended| ended.end == end && (from..to).contains(&ended.arrived)).count()
    }

    /// Parts of each tenant's requests that were answered in time.
    pub fn in_time_by_tenant(&self, from: u64, to: u64) -> Vec<(f64, f64)> {
        let mut parts = vec![(0.0, 0.0); TENANTS];
        for ended in self.ended.iter().filter(|ended| (from..to).contains(&ended.arrived)) {
            parts[ended.tenant].0 += f64::from(u32::from(ended.end == End::InTime));
            parts[ended.tenant].1 += 1.0;
        }
        parts
    }
}

/// Requests by their end, in the order in time, late, rejected and failed.
pub fn ends(outcome: &Outcome, from: u64, to: u64) -> [usize; 4] {
    [End::InTime, End::Late, End::Rejected, End::Failed].map(|end| outcome.count(end, from, to))
}

/// Least and greatest part that was in time among tenants of equal need, over all outcomes.
pub fn shares(outcomes: &[Outcome], from: u64, to: u64) -> BTreeMap<&'static str, (f64, f64)> {
    let mut sums = vec![(0.0, 0.0); TENANTS];
    for outcome in outcomes {
        for (sum, part) in sums.iter_mut().zip(outcome.in_time_by_tenant(from, to)) {
            *sum = (sum.0 + part.0, sum.1 + part.1);
        }
    }
    let range = |sums: &[(f64, f64)]| {
        let parts = sums.iter().map(|(in_time, all)| in_time / f64::max(*all, 1.0));
        parts.fold((f64::INFINITY, 0.0), |range: (f64, f64), part| (range.0.min(part), range.1.max(part)))
    };
    BTreeMap::from([("large", range(&sums[..4])), ("small", range(&sums[4..]))])
}
