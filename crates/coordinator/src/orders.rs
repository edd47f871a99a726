//! Brings engines to the weight versions that trainers name.
//!
//! A trainer's next step takes samples of the newest version and of the one before it. An engine that has fallen two
//! versions behind can serve no step: it loads at once. One that is a version behind loads while no item waits.

use crate::coordinator::Coordinator;
use crate::dialect::{Call, EngineReport, OrderAnswer, RunningStreams, VersionOrder};
use crate::fleet::Fleet;
use crate::load_order::{DueLoad, ModelNeed, choose_loads};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use saddlerelay_control::orders::OrderGrant;
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::instance::{InstanceId, InstanceState, LoadedModel};
use saddlerelay_types::routing::RouteKind;
use saddlerelay_upstream::{EngineTarget, Failure, Outgoing};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks at whether an order is due.
const INTERVAL: Duration = Duration::from_millis(60);

/// An order that is due.
struct DueOrder {
    target: EngineTarget,
    model: LoadedModel,
    held: u64,
    running: RunningStreams,
}

impl DueOrder {
    fn load(&self, fleet: &Fleet) -> DueLoad {
        let instance = &self.target.instance;
        DueLoad {
            instance: instance.clone(),
            model: self.model.model.clone(),
            useless: is_useless(self.held, self.model.version),
            behind: self.model.version.saturating_sub(self.held),
            in_flight: fleet.in_flight(instance),
        }
    }
}

/// Gives orders while this process leads.
pub(crate) async fn give_orders<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        inner.runtime.sleep(INTERVAL).await;
        inner.node.watch_orders();
        let Some(term) = inner.node.replica().leading_term() else {
            continue;
        };
        let due = inner.node.read(|state| due_orders(&coordinator, state)).unwrap_or_default();
        if due.is_empty() {
            continue;
        }
        let subjects = due.iter().map(|order| OrderSubject::engine(&order.target.instance)).collect();
        let Some(grant) = inner.node.note_orders(term, subjects).await else {
            continue;
        };
        for order in due {
            inner.fleet.begin_load(&order.target.instance, &order.model.model, coordinator.now());
            inner.runtime.spawn(carry_out(coordinator.clone(), order, grant));
        }
    }
}

/// The orders that may be given now, no more than may load at once.
fn due_orders<B: Backends>(coordinator: &Coordinator<B>, state: &ControlState) -> Vec<DueOrder> {
    let inner = &coordinator.inner;
    let Some(document) = state.routing.current() else {
        return Vec::new();
    };
    let mut due = Vec::new();
    for service in &document.services {
        let Some(hosting) = &service.hosting else {
            continue;
        };
        let engines = engines_in_work(coordinator, state, &service.name);
        let config = &inner.config;
        let places = state.instances.places().filter(|place| place.service == service.name);
        let present: u32 = places.map(|place| state.instances.present(place)).sum();
        let most = present.div_ceil(config.engines_per_load).max(config.least_loads) as usize;
        let loading = engines.iter().filter(|engine| inner.fleet.is_loading_any(&engine.instance)).count();
        let single = document.routes.iter().any(|route| route.kind == RouteKind::Rollout && route.batch.single_version);
        let running = if single { RunningStreams::Wait } else { RunningStreams::Keep };
        coordinator.share_out(&engines, &hosting.models, state.weights.named());
        let behind = hosting.models.iter().filter_map(|model| Some((model, *state.weights.named().get(model)?)));
        let behind = behind.flat_map(|(model, named)| engines_behind(coordinator, &engines, model, named, running));
        let behind: Vec<DueOrder> = behind.collect();
        let loads: Vec<DueLoad> = behind.iter().map(|order| order.load(&inner.fleet)).collect();
        let needs = model_needs(coordinator, &engines, &hosting.models, state.weights.named());
        let chosen = choose_loads(&loads, &needs, most.saturating_sub(loading));
        let mut behind: Vec<Option<DueOrder>> = behind.into_iter().map(Some).collect();
        due.extend(chosen.into_iter().filter_map(|place| behind[place].take()));
    }
    due
}

/// The engines of a service that are worked with and report themselves.
fn engines_in_work<B: Backends>(
    coordinator: &Coordinator<B>,
    state: &ControlState,
    service: &str,
) -> Vec<EngineTarget> {
    let working_set = coordinator.inner.working_set.borrow();
    let records = working_set.of_service(service).filter_map(|instance| state.instances.get(instance));
    let sound = records.filter(|record| record.state == InstanceState::Ready && !record.silent);
    sound.map(|record| EngineTarget { instance: record.report.id.clone(), address: record.report.address }).collect()
}

/// What the items of each model ask for, and how many engines can serve its next step or are being brought to it.
fn model_needs<B: Backends>(
    coordinator: &Coordinator<B>,
    engines: &[EngineTarget],
    models: &[String],
    named: &BTreeMap<String, u64>,
) -> BTreeMap<String, ModelNeed> {
    let inner = &coordinator.inner;
    let waiting = inner.waiting.borrow();
    let need = |model: &String| {
        let newest = named.get(model).copied().unwrap_or_default();
        let serves = |engine: &&EngineTarget| {
            let held = inner.fleet.version(&engine.instance, model);
            held.is_some_and(|held| !is_useless(held, newest)) || inner.fleet.is_loading(&engine.instance, model)
        };
        let engines = engines.iter().filter(serves).count() as u32;
        (model.clone(), ModelNeed { waiting: waiting.get(model).copied().unwrap_or_default(), engines })
    };
    models.iter().map(need).collect()
}

/// Whether an engine that holds a version can serve no step once `named` is named: a step takes samples of the newest
/// version and of the one before it.
fn is_useless(held: u64, named: u64) -> bool {
    held + 2 <= named
}

/// Engines that should load `named` of a model now.
fn engines_behind<B: Backends>(
    coordinator: &Coordinator<B>,
    engines: &[EngineTarget],
    model: &str,
    named: u64,
    running: RunningStreams,
) -> Vec<DueOrder> {
    let inner = &coordinator.inner;
    let now = coordinator.now();
    let items_wait = inner.waiting.borrow().get(model).is_some_and(|count| *count > 0);
    let awaited = inner.awaited.borrow().get(model).copied().unwrap_or_default();
    let homes = inner.homes.borrow();
    let at_home = engines.iter().filter(|engine| homes.is_home(&engine.instance, model));
    let mut behind = Vec::new();
    for engine in at_home {
        let Some(held) = inner.fleet.version(&engine.instance, model) else {
            continue;
        };
        // Items keep an engine from loading that may serve them, but not one whose version is too old for them: they would
        // wait for ever.
        let due = is_useless(held, named) || held < named && (!items_wait || held < awaited);
        let free = !inner.fleet.is_loading_any(&engine.instance) && !inner.fleet.is_resting(&engine.instance, now);
        if due && free && inner.node.may_order(&OrderSubject::engine(&engine.instance)) {
            let model = LoadedModel { model: model.to_string(), version: named };
            behind.push(DueOrder { target: engine.clone(), model, held, running });
        }
    }
    behind
}

/// Engines that are asked for reports at the same time: 500 at once take a leader of 0.3 of a core half a second, in which
/// it loses its quorum.
const ASKED_AT_ONCE: usize = 8;

/// Asks engines for reports, so that a new leader need not wait until each has reported by itself.
pub(crate) fn ask_reports<B: Backends>(coordinator: &Coordinator<B>, targets: Vec<EngineTarget>, term: u64) {
    let left = Rc::new(RefCell::new(targets));
    for _ in 0..ASKED_AT_ONCE.min(left.borrow().len()) {
        let coordinator = coordinator.clone();
        let runtime = coordinator.inner.runtime.clone();
        let left = left.clone();
        runtime.spawn(async move {
            loop {
                let next = left.borrow_mut().pop();
                let Some(target) = next.filter(|_| coordinator.leads(term)) else {
                    break;
                };
                coordinator.ask_report(&target, term).await;
                coordinator.inner.replan.notify();
            }
        });
    }
}

impl<B: Backends> Coordinator<B> {
    /// Shares the engines of a service out among its models, fastest first.
    /// Those whose weights are not known yet are left out.
    fn share_out(&self, engines: &[EngineTarget], models: &[String], named: &BTreeMap<String, u64>) {
        let now = self.now();
        let version = |instance: &InstanceId, model: &str| self.inner.fleet.version(instance, model);
        let known =
            engines.iter().filter(|engine| models.iter().all(|model| version(&engine.instance, model).is_some()));
        let mut by_pace: Vec<InstanceId> = known.map(|engine| engine.instance.clone()).collect();
        let paces = self.inner.fleet.paces(now);
        let pace = |instance: &InstanceId| paces.of(instance);
        by_pace.sort_by(|left, right| pace(left).total_cmp(&pace(right)));
        let lag = |instance: &InstanceId, model: &str| {
            let newest = named.get(model).copied().unwrap_or_default();
            newest.saturating_sub(version(instance, model).unwrap_or_default())
        };
        self.inner.homes.borrow_mut().share_out(&by_pace, models, lag, now);
    }

    async fn call(
        &self,
        target: &EngineTarget,
        call: Call,
        may_send: impl Fn() -> bool,
    ) -> Result<(u16, bytes::Bytes), Failure> {
        let uri = call.path.parse().map_err(|error| Failure::NotSent(format!("{error}")))?;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
            headers.insert(hyper::header::HOST, host);
        }
        let outgoing = Outgoing { method: call.method, uri, headers, body: call.body, request_id: String::new() };
        let answer = self.inner.pool.call(target, &outgoing, self.inner.config.order_limit, may_send).await?;
        Ok((answer.0.status.as_u16(), answer.1))
    }

    async fn ask_report(&self, target: &EngineTarget, term: u64) -> Option<EngineReport> {
        let (status, body) = self.call(target, self.inner.dialect.report(), || self.leads(term)).await.ok()?;
        let report = self.inner.dialect.read_report(&body).filter(|_| status == 200)?;
        if !report.may_be_of(&target.instance) {
            spdlog::warn!("report of another start of the engine", kv: {
                instance = target.instance.name.as_str(),
                started_at_ms = report.started_at_ms.unwrap_or_default(),
                expected_ms = target.instance.started_at_ms.unwrap_or_default()
            });
            return None;
        }
        self.inner.fleet.learn(&target.instance, &report.models, self.now());
        self.inner.fleet.set_orders_taken(&target.instance, Some(report.orders_taken));
        Some(report)
    }
}

async fn carry_out<B: Backends>(coordinator: Coordinator<B>, due: DueOrder, grant: OrderGrant) {
    let inner = &coordinator.inner;
    let began_at = coordinator.now();
    let done = give(&coordinator, &due, grant).await;
    let lasted = coordinator.now().saturating_sub(began_at);
    let instance = &due.target.instance;
    if done {
        inner.metrics.load_seconds.observe(lasted.as_secs_f64());
    } else {
        inner.fleet.rest_until(instance, coordinator.now() + inner.config.engine_rest);
    }
    inner.fleet.end_load(instance, &due.model.model);
    inner.replan.notify();
    spdlog::info!("weights ordered", kv: {
        instance = instance.name.as_str(), model = due.model.model.as_str(), held = due.held,
        version = due.model.version, fence = grant.fence.0, done = done, lasted_ms = lasted.as_millis() as u64
    });
}

/// Gives one order, while the grant holds or not at all, and waits until it is carried out; returns whether it is.
async fn give<B: Backends>(coordinator: &Coordinator<B>, due: &DueOrder, grant: OrderGrant) -> bool {
    let inner = &coordinator.inner;
    let instance = &due.target.instance;
    let orders_taken = match inner.fleet.orders_taken(instance) {
        Some(count) => count,
        None => match coordinator.ask_report(&due.target, grant.term).await {
            Some(report) if report.busy => return false,
            Some(report) => report.orders_taken,
            None => return false,
        },
    };
    let order = VersionOrder {
        target: due.model.clone(),
        holder: inner.name.clone(),
        fence: grant.fence.0,
        orders_taken,
        running: due.running,
    };
    inner.metrics.orders.inc();
    let may_send = || inner.node.grant_holds(&grant);
    let answer = coordinator.call(&due.target, inner.dialect.order(&order), may_send).await;
    let meaning = answer.as_ref().ok().and_then(|(status, _)| {
        hyper::StatusCode::from_u16(*status).ok().map(|status| inner.dialect.order_answer(status))
    });
    match meaning {
        Some(OrderAnswer::Taken) => {
            inner.fleet.set_orders_taken(instance, Some(orders_taken + 1));
            wait_until_loaded(coordinator, due, grant.term).await
        }
        Some(OrderAnswer::Holds) => {
            inner.fleet.learn(instance, std::slice::from_ref(&due.model), coordinator.now());
            inner.fleet.set_orders_taken(instance, None);
            true
        }
        Some(other) => {
            spdlog::warn!("order refused", kv: {
                instance = instance.name.as_str(), answer = format!("{other:?}").as_str(), fence = grant.fence.0
            });
            inner.fleet.set_orders_taken(instance, None);
            false
        }
        None => {
            // It may be carried out later: what the engine reports next decides.
            inner.metrics.orders_unknown.inc();
            inner.fleet.set_orders_taken(instance, None);
            false
        }
    }
}

async fn wait_until_loaded<B: Backends>(coordinator: &Coordinator<B>, due: &DueOrder, term: u64) -> bool {
    let inner = &coordinator.inner;
    let until = coordinator.now() + inner.config.load_limit;
    inner.runtime.sleep(inner.config.usual_load).await;
    while coordinator.now() < until && coordinator.leads(term) {
        let report = coordinator.ask_report(&due.target, term).await;
        let loaded = report.as_ref().is_some_and(|report| !report.busy && report.models.contains(&due.model));
        if loaded {
            return true;
        }
        inner.runtime.sleep(inner.config.load_poll).await;
    }
    false
}
