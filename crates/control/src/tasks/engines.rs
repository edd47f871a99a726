//! Polls engines, records what changed, and rolls out weights in waves by fenced orders.

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

/// Time limit of an order.
const ORDER_LIMIT: Duration = Duration::from_millis(1000);

/// How long an order may stay without effect on an engine's report before it is repeated.
const ORDER_PATIENCE: Duration = Duration::from_millis(1500);

/// Smallest share of a model's engines that load weights at once, in percent.
const SMALLEST_WAVE_PERCENT: usize = 25;

/// Share added to a wave when only staleness counts, in percent.
const STALENESS_WAVE_PERCENT: usize = 50;

/// Looks at the engines in one poll interval: an engine that loads weights is polled at each of them.
const LOOKS_PER_POLL: u32 = 5;

/// Most engines that are polled at each look, so that a large rollout does not multiply the polls.
const MOST_CLOSE_POLLS: usize = 64;

/// What polling knows of one engine.
#[derive(Default)]
struct Poll {
    under_way: bool,
    due_at: Duration,
    failures: u32,
    status: Option<EngineStatus>,
}

type Polls = Rc<RefCell<BTreeMap<EngineId, Poll>>>;

/// Fences drawn and orders given in this term.
#[derive(Default)]
struct Orders {
    /// Engines that were loading weights at the last look.
    loading: BTreeSet<EngineId>,
    fences: BTreeMap<ModelName, (WeightVersion, Fence)>,
    given_at: BTreeMap<EngineId, (WeightVersion, Duration)>,
}

/// Manages engines while this process leads.
pub async fn manage<P: Runtime, B: Backends>(node: ControlNode<P, B>) {
    let polls = Polls::default();
    let mut orders = Orders::default();
    let mut managed_term = 0;
    let look_interval = node.inner.config.engine_poll_interval / LOOKS_PER_POLL;
    loop {
        // A publication is followed at once.
        let seen = node.inner.published.count();
        timeout(&node.inner.platform, look_interval, node.inner.published.changed(seen)).await;
        let Some(term) = node.inner.replica.leading_term() else {
            continue;
        };
        if managed_term != term {
            managed_term = term;
            polls.borrow_mut().clear();
            orders = Orders::default();
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
    let close: BTreeSet<&EngineId> = loading.iter().take(MOST_CLOSE_POLLS).collect();
    for engine in engines {
        let id = engine.description.id.clone();
        let mut table = polls.borrow_mut();
        let is_close = close.contains(&id);
        let poll = table.entry(id).or_default();
        if !poll.under_way && (is_close || now >= poll.due_at) {
            poll.under_way = true;
            poll.due_at = now + node.inner.config.engine_poll_interval;
            node.inner.platform.spawn(poll_engine(node.clone(), polls.clone(), engine.description.clone()));
        }
    }
}

async fn poll_engine<P: Runtime, B: Backends>(node: ControlNode<P, B>, polls: Polls, engine: EngineDescription) {
    let limit = node.inner.config.engine_poll_limit;
    let answer = timeout(&node.inner.platform, limit, node.inner.backends.status(&engine)).await;
    let status = answer.and_then(Result::ok).filter(|status| status.id == engine.id);
    let mut table = polls.borrow_mut();
    let Some(poll) = table.get_mut(&engine.id) else {
        return;
    };
    poll.under_way = false;
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
        // A failed commit is tried again after the next polls.
        let _ = node.commit(Command::Membership(MembershipCommand::Observe(changed))).await;
    }
}

/// What polling saw of an engine, if it differs from the record.
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
    let same_start = observed.incarnation == engine.incarnation;
    let stays_leaving = same_start && engine.availability == EngineAvailability::Leaving;
    let same_availability = stays_leaving || observed.availability == engine.availability;
    let unchanged = same_start && same_availability && observed.weights == engine.weights;
    (!unchanged).then_some(observed)
}

/// Orders the next wave of every model to load its target version.
async fn roll_out<P: Runtime, B: Backends>(node: &ControlNode<P, B>, polls: &Polls, orders: &mut Orders) {
    orders.loading.clear();
    for target in node.read(weights::targets).unwrap_or_default() {
        let now = node.inner.platform.monotonic();
        let wave = node.read(|state| next_wave(state, &target, &polls.borrow(), orders, now)).unwrap_or_default();
        orders.loading.extend(wave.loading);
        let wave = wave.next;
        if wave.is_empty() {
            continue;
        }
        let Some(fence) = fence_for(node, orders, &target).await else {
            continue;
        };
        for engine in wave {
            orders.loading.insert(engine.id.clone());
            orders.given_at.insert(engine.id.clone(), (target.version, now));
            let order = EngineOrder { fence, action: EngineAction::LoadWeights(target.version) };
            node.inner.platform.spawn(give_order(node.clone(), engine, order));
        }
    }
}

/// Where a model's engines stand with its target version.
#[derive(Default)]
struct Wave {
    /// Those that load it now.
    loading: Vec<EngineId>,
    /// Those to order next.
    next: Vec<EngineDescription>,
}

/// Engines to order now: a broken engine first, and no more at once than the wave allows.
fn next_wave(
    state: &ControlState,
    target: &ModelTarget,
    polls: &BTreeMap<EngineId, Poll>,
    orders: &Orders,
    now: Duration,
) -> Wave {
    let serves = |engine: &&EngineRecord| {
        engine.description.model == target.model && engine.availability == EngineAvailability::Available
    };
    let engines: Vec<&EngineRecord> = state.members.engines().filter(serves).collect();
    let lacks = |engine: &&&EngineRecord| engine.weights != WeightState::Confirmed(target.version);
    let under_way = |engine: &EngineRecord| {
        let ordered = orders.given_at.get(&engine.description.id);
        let recent = ordered.is_some_and(|(version, at)| *version == target.version && now < *at + ORDER_PATIENCE);
        let status = polls.get(&engine.description.id).and_then(|poll| poll.status.as_ref());
        let fetching = status.is_some_and(|status| status.pending == Some(target.version));
        recent || fetching || engine.weights == WeightState::Loading(target.version)
    };
    let lacking: Vec<&&EngineRecord> = engines.iter().filter(lacks).collect();
    let loading: Vec<EngineId> =
        lacking.iter().filter(|engine| under_way(engine)).map(|engine| engine.description.id.clone()).collect();
    let staleness_share = weights::staleness_share_percent(state, &target.model) as usize;
    let percent = SMALLEST_WAVE_PERCENT + staleness_share * STALENESS_WAVE_PERCENT / 100;
    let wave = (engines.len() * percent).div_ceil(100).max(1);
    let mut waiting: Vec<&&EngineRecord> = lacking.into_iter().filter(|engine| !under_way(engine)).collect();
    waiting.sort_by_key(|engine| (engine.weights != WeightState::Broken, engine.description.id.clone()));
    let room = wave.saturating_sub(loading.len());
    let next = waiting.into_iter().take(room).map(|engine| engine.description.clone()).collect();
    Wave { loading, next }
}

/// The fence of the orders for `target`: drawn once for each new target, so that an older order is refused.
async fn fence_for<P: Runtime, B: Backends>(
    node: &ControlNode<P, B>,
    orders: &mut Orders,
    target: &ModelTarget,
) -> Option<Fence> {
    if let Some((version, fence)) = orders.fences.get(&target.model)
        && *version == target.version
    {
        return Some(*fence);
    }
    match node.commit(Command::Membership(MembershipCommand::DrawFence)).await {
        Ok(CommandOutcome::Fence(fence)) => {
            orders.fences.insert(target.model.clone(), (target.version, fence));
            Some(fence)
        }
        _ => None,
    }
}

/// A failed order shows in the engine's report and is repeated.
async fn give_order<P: Runtime, B: Backends>(node: ControlNode<P, B>, engine: EngineDescription, order: EngineOrder) {
    let _ = timeout(&node.inner.platform, ORDER_LIMIT, node.inner.backends.order(&engine, order)).await;
}
