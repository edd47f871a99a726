//! Chooses the engine that scores an item's whole text.
//!
//! Callers' requests go to the same engines and come first: calls for scores take only a part of an engine's slots, and
//! none while the engine says that requests wait there.

use saddlerelay_control::state::ControlState;
use saddlerelay_types::instance::{InstanceId, InstanceRecord, InstanceState};
use saddlerelay_types::job::ScoringRequest;
use saddlerelay_types::routing::{Route, WeightedTarget};
use saddlerelay_upstream::balance::InFlight;
use saddlerelay_upstream::turns::WeightedTurns;
use saddlerelay_upstream::{Balance, EngineTarget, ReadyEngine};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The part of an engine's slots that calls for scores may take.
const SLOT_SHARE: f64 = 0.5;

/// Engines of a service in one zone among which the one for a call is chosen. Each call looks at all of them: 64 of 4 slots
/// score some thousand texts a second, more than a leader has made.
const MOST_OF_A_PLACE: usize = 64;

/// How long an engine that told of waiting requests is given no calls for scores.
const CROWDED_REST: Duration = Duration::from_millis(40);

/// What one plan knows of the engines that may score.
pub(crate) struct ScoringRound<'a> {
    state: &'a ControlState,
    now: Duration,
    /// Calls planned in this round, by engine.
    planned: BTreeMap<InstanceId, u32>,
    /// Services without room; no need to look again in this round.
    full: BTreeSet<String>,
}

impl<'a> ScoringRound<'a> {
    /// A round over the committed state.
    pub fn new(state: &'a ControlState, now: Duration) -> Self {
        Self { state, now, planned: BTreeMap::new(), full: BTreeSet::new() }
    }

    fn engines(&self, service: &str) -> Vec<ReadyEngine> {
        let instances = &self.state.instances;
        let places = instances.places().filter(|place| place.service == service);
        let ready = |record: &&InstanceRecord| record.state == InstanceState::Ready;
        let serving = places.flat_map(|place| instances.engines_in(place).filter(ready).take(MOST_OF_A_PLACE));
        serving
            .map(|record| ReadyEngine {
                target: EngineTarget { instance: record.report.id.clone(), address: record.report.address },
                zone: record.report.zone.clone(),
                slots: record.report.slots,
                silent: record.silent,
            })
            .collect()
    }
}

/// The turns of a route's targets, and the targets that they were made for.
struct RouteTurns {
    targets: Vec<WeightedTarget>,
    turns: WeightedTurns,
}

/// What this leader has seen of the engines that score.
pub(crate) struct Scorers {
    zone: String,
    balance: Balance,
    /// Engines that have told of waiting requests, and until when they are spared.
    crowded: RefCell<BTreeMap<InstanceId, Duration>>,
    /// By host and prefix, for routes with several targets.
    turns: RefCell<BTreeMap<(String, String), RouteTurns>>,
}

impl Scorers {
    /// Nothing seen yet; engines in `zone` are nearest.
    pub fn new(zone: String) -> Self {
        Self { zone, balance: Balance::default(), crowded: RefCell::default(), turns: RefCell::default() }
    }

    /// Counts a call as in flight.
    pub fn begin(&self, instance: &InstanceId, now: Duration) -> InFlight {
        self.balance.begin(instance, now)
    }

    /// What has been seen of engines' latencies and failures.
    pub fn balance(&self) -> &Balance {
        &self.balance
    }

    /// The engine told how many requests wait for one of its slots.
    pub fn hear_waiting(&self, instance: &InstanceId, waiting: u32, now: Duration) {
        let mut crowded = self.crowded.borrow_mut();
        if waiting > 0 {
            crowded.insert(instance.clone(), now + CROWDED_REST);
        } else {
            crowded.remove(instance);
        }
    }

    /// Forgets engines that `keep` does not want.
    pub fn retain(&self, keep: impl Fn(&InstanceId) -> bool) {
        self.balance.retain(&keep);
        self.crowded.borrow_mut().retain(|instance, _| keep(instance));
    }

    /// The route of a call and the engine for it; `None` while there is no route or no engine has room.
    pub fn choose<'a>(
        &self,
        round: &mut ScoringRound<'a>,
        request: &ScoringRequest,
        avoid: Option<&InstanceId>,
    ) -> Option<(&'a Route, ReadyEngine)> {
        let route = round.state.routing.current()?.find(&request.host, &request.path)?;
        let mut turns = self.turns.borrow_mut();
        let held = turns.entry((route.host.clone(), route.path_prefix.clone())).or_insert_with(|| begin_turns(route));
        if held.targets != route.targets {
            *held = begin_turns(route);
        }
        // The turn is taken only if the call can be made now.
        let mut next = held.turns.clone();
        let service = &route.targets[next.take(&route.targets)].service;
        let engine = self.choose_engine(round, service, avoid)?;
        held.turns = next;
        *round.planned.entry(engine.target.instance.clone()).or_default() += 1;
        Some((route, engine))
    }

    fn choose_engine(
        &self,
        round: &mut ScoringRound,
        service: &str,
        avoid: Option<&InstanceId>,
    ) -> Option<ReadyEngine> {
        if round.full.contains(service) {
            return None;
        }
        let with_room: Vec<ReadyEngine> =
            round.engines(service).into_iter().filter(|engine| self.has_room(round, engine)).collect();
        if with_room.is_empty() {
            round.full.insert(service.to_string());
            return None;
        }
        let tried: Vec<InstanceId> = avoid.into_iter().cloned().collect();
        self.balance.choose(with_room.into_iter(), &self.zone, &tried, round.now)
    }

    fn has_room(&self, round: &ScoringRound, engine: &ReadyEngine) -> bool {
        let instance = &engine.target.instance;
        if self.crowded.borrow().get(instance).is_some_and(|until| round.now < *until) {
            return false;
        }
        let planned = round.planned.get(instance).copied().unwrap_or(0);
        let most = (f64::from(engine.slots) * SLOT_SHARE).max(1.0);
        f64::from(self.balance.in_flight(instance) + planned) < most.floor()
    }
}

fn begin_turns(route: &Route) -> RouteTurns {
    RouteTurns { targets: route.targets.clone(), turns: WeightedTurns::new(&route.targets, 0.0) }
}
