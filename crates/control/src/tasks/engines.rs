//! Polls engines, commits observed changes, and rolls out weights in batches (waves) of orders that carry fencing
//! tokens.

use crate::node::ControlNode;
use crate::queries::weights;
use crate::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::engine::{EngineAction, EngineDescription, EngineOrder, EngineStatus, WeightState};
use saddlerelay_types::identity::{EngineId, Fence, ModelName, WeightVersion};
use saddlerelay_types::membership::{EngineAvailability, EngineObservation, EngineRecord};
use saddlerelay_types::protocol::{Command, CommandOutcome, MembershipCommand, ModelTarget};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1000);

/// An order is repeated if the engine's status shows no effect after this time.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Share of a model's engines that may load weights at once, in percent, if the weight of staleness is zero.
const BASE_WAVE_PERCENT: usize = 25;

/// Maximum share added to a wave, in percent, in proportion to the weight of staleness.
const MAX_STALENESS_WAVE_PERCENT: usize = 50;

/// Ticks in one poll interval. Engines that load weights are polled at each tick.
const TICKS_PER_POLL: u32 = 5;

/// Maximum number of engines polled at each tick, which limits the polls during a large rollout.
const MAX_POLLED_PER_TICK: usize = 64;

/// Poll state of one engine.
#[derive(Default)]
struct Poll {
    in_flight: bool,
    due_at: Duration,
    failures: u32,
    status: Option<EngineStatus>,
}

type Polls = Rc<RefCell<BTreeMap<EngineId, Poll>>>;

/// Fencing tokens issued and orders sent in this term.
#[derive(Default)]
struct SentOrders {
    /// Engines that were loading weights at the last tick.
    loading: BTreeSet<EngineId>,
    /// The token for the orders to load each model's target version.
    fences: BTreeMap<ModelName, (WeightVersion, Fence)>,
    /// The version and time of the last order to each engine.
    sent_at: BTreeMap<EngineId, (WeightVersion, Duration)>,
}

/// Manages engines while this process leads.
pub async fn manage<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let polls = Polls::default();
    let mut orders = SentOrders::default();
    let mut managed_term = 0;
    let tick_interval = node.inner.config.engine_poll_interval / TICKS_PER_POLL;
    loop {
        // A newly published version starts the next tick early.
        let notified_count = node.inner.weights_published.count();
        timeout(&node.inner.platform, tick_interval, node.inner.weights_published.changed(notified_count)).await;
        let Some(term) = node.inner.replica.leading_term() else {
            continue;
        };
        if managed_term != term {
            managed_term = term;
            polls.borrow_mut().clear();
            orders = SentOrders::default();
        }
        let engines = node.read(|state| state.members.engines().cloned().collect::<Vec<_>>()).unwrap_or_default();
        start_polls(&node, &polls, &engines, &orders.loading);
        record_changes(&node, &polls, &engines).await;
        roll_out(&node, &polls, &mut orders).await;
    }
}

fn start_polls<P: Runtime, B: Backends>(
    node: &ControlNode<P, B>,
    polls: &Polls,
    engines: &[EngineRecord],
    loading: &BTreeSet<EngineId>,
) {
    let now = node.inner.platform.monotonic();
    let polled_each_tick_ids: BTreeSet<&EngineId> = loading.iter().take(MAX_POLLED_PER_TICK).collect();
    for engine in engines {
        let id = engine.description.id.clone();
        let mut table = polls.borrow_mut();
        let polled_each_tick = polled_each_tick_ids.contains(&id);
        let poll = table.entry(id).or_default();
        if !poll.in_flight && (polled_each_tick || now >= poll.due_at) {
            poll.in_flight = true;
            poll.due_at = now + node.inner.config.engine_poll_interval;
            node.inner.platform.spawn(poll_engine(node.clone(), polls.clone(), engine.description.clone()));
        }
    }
}

async fn poll_engine<P: Runtime, B: Backends>(node: ControlNode<P, B>, polls: Polls, engine: EngineDescription) {
    let limit = node.inner.config.engine_poll_timeout;
    let result = timeout(&node.inner.platform, limit, node.inner.backends.status(&engine)).await;
    let status = result.and_then(Result::ok).filter(|status| status.id == engine.id);
    let mut table = polls.borrow_mut();
    let Some(poll) = table.get_mut(&engine.id) else {
        return;
    };
    poll.in_flight = false;
    match status {
        Some(status) => {
            poll.failures = 0;
            poll.status = Some(status);
        }
        None => poll.failures += 1,
    }
}

async fn record_changes<P: Runtime, B: Backends>(node: &ControlNode<P, B>, polls: &Polls, engines: &[EngineRecord]) {
    let limit = node.inner.config.engine_poll_failures;
    let changed: Vec<EngineObservation> = {
        let table = polls.borrow();
        engines.iter().filter_map(|engine| observation(engine, table.get(&engine.description.id)?, limit)).collect()
    };
    if !changed.is_empty() {
        // If the commit fails, the changes are observed again at the next tick.
        let _ = node.commit(Command::Membership(MembershipCommand::Observe(changed))).await;
    }
}

/// The polled state of an engine, if it differs from its record.
fn observation(engine: &EngineRecord, poll: &Poll, failure_limit: u32) -> Option<EngineObservation> {
    let lost = poll.failures >= failure_limit;
    let observed = match &poll.status {
        Some(status) if !lost => EngineObservation {
            id: engine.description.id.clone(),
            incarnation: status.incarnation,
            availability: if status.leaving { EngineAvailability::Leaving } else { EngineAvailability::Available },
            weights: status.weights,
        },
        _ if lost => EngineObservation {
            id: engine.description.id.clone(),
            incarnation: engine.incarnation,
            availability: EngineAvailability::Unreachable,
            weights: engine.weights,
        },
        _ => return None,
    };
    let same_incarnation = observed.incarnation == engine.incarnation;
    let stays_leaving = same_incarnation && engine.availability == EngineAvailability::Leaving;
    let same_availability = stays_leaving || observed.availability == engine.availability;
    let unchanged = same_incarnation && same_availability && observed.weights == engine.weights;
    (!unchanged).then_some(observed)
}

/// Orders the engines of each model's next wave to load its target version.
async fn roll_out<P: Runtime, B: Backends>(node: &ControlNode<P, B>, polls: &Polls, orders: &mut SentOrders) {
    orders.loading.clear();
    for target in node.read(weights::targets).unwrap_or_default() {
        let now = node.inner.platform.monotonic();
        let wave = node.read(|state| next_wave(state, &target, &polls.borrow(), orders, now)).unwrap_or_default();
        orders.loading.extend(wave.loading);
        let next = wave.next;
        if next.is_empty() {
            continue;
        }
        let Some(fence) = fence_for(node, orders, &target).await else {
            continue;
        };
        for engine in next {
            orders.loading.insert(engine.id.clone());
            orders.sent_at.insert(engine.id.clone(), (target.version, now));
            let order = EngineOrder { fence, action: EngineAction::LoadWeights(target.version) };
            node.inner.platform.spawn(send_order(node.clone(), engine, order));
        }
    }
}

/// Rollout progress of a model's target version.
#[derive(Default)]
struct Wave {
    /// Engines that are loading it.
    loading: Vec<EngineId>,
    /// Engines to order next.
    next: Vec<EngineDescription>,
}

/// Selects the engines to order now, those with broken weights first. The number of loading engines never exceeds one
/// wave.
fn next_wave(
    state: &ControlState,
    target: &ModelTarget,
    polls: &BTreeMap<EngineId, Poll>,
    orders: &SentOrders,
    now: Duration,
) -> Wave {
    let serves = |engine: &&EngineRecord| {
        engine.description.model == target.model && engine.availability == EngineAvailability::Available
    };
    let engines: Vec<&EngineRecord> = state.members.engines().filter(serves).collect();
    let is_outdated = |engine: &&&EngineRecord| engine.weights != WeightState::Confirmed(target.version);
    let in_flight = |engine: &EngineRecord| {
        let ordered = orders.sent_at.get(&engine.description.id);
        let recent = ordered.is_some_and(|(version, at)| *version == target.version && now < *at + ORDER_RETRY_DELAY);
        let status = polls.get(&engine.description.id).and_then(|poll| poll.status.as_ref());
        let fetching = status.is_some_and(|status| status.pending == Some(target.version));
        recent || fetching || engine.weights == WeightState::Loading(target.version)
    };
    let outdated: Vec<&&EngineRecord> = engines.iter().filter(is_outdated).collect();
    let loading: Vec<EngineId> =
        outdated.iter().filter(|engine| in_flight(engine)).map(|engine| engine.description.id.clone()).collect();
    let staleness_share = weights::staleness_share_percent(state, &target.model) as usize;
    let percent = BASE_WAVE_PERCENT + staleness_share * MAX_STALENESS_WAVE_PERCENT / 100;
    let wave_size = (engines.len() * percent).div_ceil(100).max(1);
    let mut waiting: Vec<&&EngineRecord> = outdated.into_iter().filter(|engine| !in_flight(engine)).collect();
    waiting.sort_by_key(|engine| (engine.weights != WeightState::Broken, engine.description.id.clone()));
    let available = wave_size.saturating_sub(loading.len());
    let next = waiting.into_iter().take(available).map(|engine| engine.description.clone()).collect();
    Wave { loading, next }
}

/// The fencing token of the orders for `target`, issued once per target version, so that engines reject older orders.
async fn fence_for<P: Runtime, B: Backends>(
    node: &ControlNode<P, B>,
    orders: &mut SentOrders,
    target: &ModelTarget,
) -> Option<Fence> {
    if let Some((version, fence)) = orders.fences.get(&target.model)
        && *version == target.version
    {
        return Some(*fence);
    }
    match node.commit(Command::Membership(MembershipCommand::IssueFence)).await {
        Ok(CommandOutcome::Fence(fence)) => {
            orders.fences.insert(target.model.clone(), (target.version, fence));
            Some(fence)
        }
        _ => None,
    }
}

/// Sends an order. The result is ignored: if it failed, the engine's status shows no effect and the order is repeated.
async fn send_order<P: Runtime, B: Backends>(node: ControlNode<P, B>, engine: EngineDescription, order: EngineOrder) {
    let _ = timeout(&node.inner.platform, ORDER_TIMEOUT, node.inner.backends.order(&engine, order)).await;
}
