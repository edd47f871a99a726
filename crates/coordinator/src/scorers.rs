//! Chooses the engine for a score call.
//!
//! These engines also serve requests of callers, which have priority: score calls use only part of an engine's slots,
//! and none while the engine reports queued requests.

use saddlerelay_control::state::ControlState;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceState};
use saddlerelay_types::job::ScoringRequest;
use saddlerelay_types::routing::{Route, WeightedTarget};
use saddlerelay_upstream::balance::InFlight;
use saddlerelay_upstream::round_robin::WeightedRoundRobin;
use saddlerelay_upstream::{EngineTarget, LoadBalancer, ReadyEngine};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Fraction of an engine's slots that score calls may use.
const MAX_SLOT_SHARE: f64 = 0.5;

/// Maximum number of engines considered per service and zone; bounds the cost of a choice in large fleets. 64 engines of
/// 4 slots score several thousand texts a second.
const MAX_ENGINES_PER_POOL: usize = 64;

/// How long an engine that reported queued requests receives no score calls.
const QUEUE_BACKOFF: Duration = Duration::from_millis(40);

/// State of one planning round: the committed state and the calls planned so far.
pub(crate) struct ScoringRound<'a> {
    state: &'a ControlState,
    now: Duration,
    /// Calls planned in this round, by engine.
    planned: BTreeMap<InstanceId, u32>,
    /// Services found to have no free capacity in this round.
    full_services: BTreeSet<String>,
}

impl<'a> ScoringRound<'a> {
    pub fn new(state: &'a ControlState, now: Duration) -> Self {
        Self { state, now, planned: BTreeMap::new(), full_services: BTreeSet::new() }
    }

    fn engines(&self, service: &str) -> Vec<ReadyEngine> {
        let instances = &self.state.instances;
        let pools = instances.engine_pools().filter(|pool| pool.service == service);
        let ready = |record: &&InstanceRecord| record.state == InstanceState::Ready;
        let candidates = pools.flat_map(|pool| instances.engines_in(pool).filter(ready).take(MAX_ENGINES_PER_POOL));
        candidates
            .map(|record| ReadyEngine {
                target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
                zone: record.report.zone.clone(),
                slots: record.report.slots,
                silent: record.silent,
            })
            .collect()
    }
}

/// Weighted round-robin state of a route, valid for `targets`.
struct RouteRoundRobin {
    targets: Vec<WeightedTarget>,
    round_robin: WeightedRoundRobin,
}

/// Selects scoring engines by route weights, observed latency and failures, and free slots.
pub(crate) struct Scorers {
    zone: String,
    balancer: LoadBalancer,
    /// Engines that reported queued requests, and until when they receive no score calls.
    backed_off: RefCell<BTreeMap<InstanceId, Duration>>,
    /// Round-robin state by host and path prefix.
    round_robin: RefCell<BTreeMap<(String, String), RouteRoundRobin>>,
}

impl Scorers {
    /// Creates the state for a process in `zone`, whose engines are preferred.
    pub fn new(zone: String) -> Self {
        Self {
            zone,
            balancer: LoadBalancer::default(),
            backed_off: RefCell::default(),
            round_robin: RefCell::default(),
        }
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn begin_call(&self, instance: &InstanceId, now: Duration) -> InFlight {
        self.balancer.begin(instance, now)
    }

    /// Observed latencies and failures of engines.
    pub fn balancer(&self) -> &LoadBalancer {
        &self.balancer
    }

    /// Records the queue length that an engine reported; a nonzero one backs it off from score calls.
    pub fn record_queue_length(&self, instance: &InstanceId, waiting: u32, now: Duration) {
        let mut backed_off = self.backed_off.borrow_mut();
        if waiting > 0 {
            backed_off.insert(instance.clone(), now + QUEUE_BACKOFF);
        } else {
            backed_off.remove(instance);
        }
    }

    /// Drops the state of engines for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.balancer.retain(&keep);
        self.backed_off.borrow_mut().retain(|instance, _| keep(instance));
    }

    /// The route and engine for a call; `None` if no route matches or no engine has free capacity.
    pub fn choose<'a>(
        &self,
        round: &mut ScoringRound<'a>,
        request: &ScoringRequest,
        avoid: Option<&InstanceId>,
    ) -> Option<(&'a Route, ReadyEngine)> {
        let route = round.state.routing.current()?.find(&request.host, &request.path)?;
        let mut round_robin = self.round_robin.borrow_mut();
        let route_round_robin = round_robin
            .entry((route.host.clone(), route.path_prefix.clone()))
            .or_insert_with(|| new_round_robin(route));
        if route_round_robin.targets != route.targets {
            *route_round_robin = new_round_robin(route);
        }
        // The round robin advances only if an engine is available.
        let mut next_round_robin = route_round_robin.round_robin.clone();
        let service = &route.targets[next_round_robin.next_index(&route.targets)].service;
        let engine = self.choose_engine(round, service, avoid)?;
        route_round_robin.round_robin = next_round_robin;
        *round.planned.entry(engine.target.instance.clone()).or_default() += 1;
        Some((route, engine))
    }

    fn choose_engine(
        &self,
        round: &mut ScoringRound,
        service: &str,
        avoid: Option<&InstanceId>,
    ) -> Option<ReadyEngine> {
        if round.full_services.contains(service) {
            return None;
        }
        let with_free_capacity: Vec<ReadyEngine> =
            round.engines(service).into_iter().filter(|engine| self.has_free_capacity(round, engine)).collect();
        if with_free_capacity.is_empty() {
            round.full_services.insert(service.to_string());
            return None;
        }
        let tried: Vec<InstanceId> = avoid.into_iter().cloned().collect();
        self.balancer.choose(with_free_capacity.into_iter(), &self.zone, &tried, round.now)
    }

    fn has_free_capacity(&self, round: &ScoringRound, engine: &ReadyEngine) -> bool {
        let instance = &engine.target.instance;
        if self.backed_off.borrow().get(instance).is_some_and(|until| round.now < *until) {
            return false;
        }
        let planned = round.planned.get(instance).copied().unwrap_or(0);
        let limit = (f64::from(engine.slots) * MAX_SLOT_SHARE).max(1.0);
        f64::from(self.balancer.in_flight(instance) + planned) < limit.floor()
    }
}

fn new_round_robin(route: &Route) -> RouteRoundRobin {
    RouteRoundRobin { targets: route.targets.clone(), round_robin: WeightedRoundRobin::new(&route.targets, 0.0) }
}
