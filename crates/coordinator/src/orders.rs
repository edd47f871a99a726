//! Orders weight loads, so that engines get the versions that trainers publish.
//!
//! A trainer's next step usually accepts samples of the newest version and the one before it. An engine two or more
//! versions behind cannot serve such a step and loads immediately. An engine one version behind stays available to
//! waiting items that it may run; what they accept is up to their job, see [`crate::waiting_items`].

use crate::coordinator::Coordinator;
use crate::fleet::Fleet;
use crate::format::{EngineCall, EngineReport, OrderResponse, RunningStreams, WeightOrder};
use crate::load_order::{DueLoad, ModelBacklog, choose_loads};
use crate::waiting_items::{LoadReason, WaitingItems, is_too_old, load_reason};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use saddlerelay_control::orders::OrderGrant;
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::instance::{InstanceId, InstanceState, LoadedModel};
use saddlerelay_types::routing::RouteKind;
use saddlerelay_upstream::{EngineTarget, Failure, OutgoingRequest};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for due orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// A weight order that is due.
struct DueOrder {
    target: EngineTarget,
    model: LoadedModel,
    loaded_version: u64,
    reason: LoadReason,
    running: RunningStreams,
}

impl DueOrder {
    fn to_due_load(&self, fleet: &Fleet) -> DueLoad {
        let instance = &self.target.instance;
        DueLoad {
            instance: instance.clone(),
            model: self.model.model.clone(),
            cannot_serve: matches!(self.reason, LoadReason::TooOld | LoadReason::CannotServeWaiting),
            behind: self.model.version.saturating_sub(self.loaded_version),
            in_flight: fleet.in_flight(instance),
        }
    }
}

/// Runs until the process ends; issues orders only while this process is leader.
pub(crate) async fn issue_orders<B: Backends>(coordinator: Coordinator<B>) {
    let inner = &coordinator.inner;
    loop {
        inner.runtime.sleep(CHECK_INTERVAL).await;
        inner.node.observe_order_intents();
        let Some(term) = inner.node.replica().leading_term() else {
            continue;
        };
        let due = inner.node.read(|state| due_orders(&coordinator, state)).unwrap_or_default();
        if due.is_empty() {
            continue;
        }
        let subjects = due.iter().map(|order| OrderSubject::engine(&order.target.instance)).collect();
        let Some(grant) = inner.node.commit_order_intent(term, subjects).await else {
            continue;
        };
        for order in due {
            inner.fleet.begin_load(&order.target.instance, &order.model.model, coordinator.now());
            inner.runtime.spawn(execute_order(coordinator.clone(), order, grant));
        }
    }
}

/// Due orders, limited by the number of engines that may load concurrently.
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
        let engines = reporting_engines(coordinator, state, &service.name);
        let config = &inner.config;
        let pools = state.instances.engine_pools().filter(|pool| pool.service == service.name);
        let available: u32 = pools.map(|pool| state.instances.available(pool)).sum();
        let max_loads = available.div_ceil(config.engines_per_load).max(config.min_concurrent_loads) as usize;
        let loading = engines.iter().filter(|engine| inner.fleet.is_loading_any(&engine.instance)).count();
        let any_single_version =
            document.routes.iter().any(|route| route.kind == RouteKind::Rollout && route.batch.single_version);
        let running = if any_single_version { RunningStreams::Wait } else { RunningStreams::Keep };
        coordinator.rebalance_models(state, &service.name, &engines, &hosting.models);
        let published = hosting.models.iter().filter_map(|model| Some((model, *state.weights.published().get(model)?)));
        let outdated =
            published.flat_map(|(model, newest)| outdated_engines(coordinator, &engines, model, newest, running));
        let outdated: Vec<DueOrder> = outdated.collect();
        let loads: Vec<DueLoad> = outdated.iter().map(|order| order.to_due_load(&inner.fleet)).collect();
        let backlogs = model_backlogs(coordinator, &engines, &hosting.models, state.weights.published());
        let chosen = choose_loads(&loads, &backlogs, max_loads.saturating_sub(loading));
        let mut outdated: Vec<Option<DueOrder>> = outdated.into_iter().map(Some).collect();
        due.extend(chosen.into_iter().filter_map(|index| outdated[index].take()));
    }
    due
}

/// Ready, reporting engines of a service in the working set.
fn reporting_engines<B: Backends>(
    coordinator: &Coordinator<B>,
    state: &ControlState,
    service: &str,
) -> Vec<EngineTarget> {
    let working_set = coordinator.inner.working_set.borrow();
    let records = working_set.of_service(service).filter_map(|instance| state.instances.get(instance));
    let healthy = records.filter(|record| record.state == InstanceState::Ready && !record.silent);
    healthy.map(|record| EngineTarget { instance: record.report.id.clone(), address: record.report.address }).collect()
}

/// Waiting items of each model, and the number of engines that can serve its next step or are loading the model.
fn model_backlogs<B: Backends>(
    coordinator: &Coordinator<B>,
    engines: &[EngineTarget],
    models: &[String],
    published_versions: &BTreeMap<String, u64>,
) -> BTreeMap<String, ModelBacklog> {
    let inner = &coordinator.inner;
    let waiting = inner.waiting_items.borrow();
    let backlog = |model: &String| {
        let newest = published_versions.get(model).copied().unwrap_or_default();
        let can_serve = |engine: &&EngineTarget| {
            let loaded_version = inner.fleet.version(&engine.instance, model);
            loaded_version.is_some_and(|loaded_version| !is_too_old(loaded_version, newest))
                || inner.fleet.is_loading(&engine.instance, model)
        };
        let waiting = waiting.get(model).map_or(0, WaitingItems::count);
        (model.clone(), ModelBacklog { waiting, engines: engines.iter().filter(can_serve).count() as u32 })
    };
    models.iter().map(backlog).collect()
}

/// Engines assigned to a model that should load its published version now.
fn outdated_engines<B: Backends>(
    coordinator: &Coordinator<B>,
    engines: &[EngineTarget],
    model: &str,
    published_version: u64,
    running: RunningStreams,
) -> Vec<DueOrder> {
    let inner = &coordinator.inner;
    let now = coordinator.now();
    let waiting = inner.waiting_items.borrow().get(model).cloned().unwrap_or_default();
    let model_assignments = inner.model_assignments.borrow();
    let assigned = engines.iter().filter(|engine| model_assignments.is_assigned(&engine.instance, model));
    let mut outdated = Vec::new();
    for engine in assigned {
        let Some(loaded_version) = inner.fleet.version(&engine.instance, model) else {
            continue;
        };
        let Some(reason) = load_reason(loaded_version, published_version, &waiting) else {
            continue;
        };
        let is_available =
            !inner.fleet.is_loading_any(&engine.instance) && !inner.fleet.is_backing_off(&engine.instance, now);
        if is_available && inner.node.may_order(&OrderSubject::engine(&engine.instance)) {
            let model = LoadedModel { model: model.to_string(), version: published_version };
            outdated.push(DueOrder { target: engine.clone(), model, loaded_version, reason, running });
        }
    }
    outdated
}

/// Maximum number of concurrent report requests, so that a new leader with a large working set still sends its
/// heartbeats in time: 500 requests at once take a leader with 0.3 of a core half a second, and it loses its quorum.
const MAX_CONCURRENT_REPORT_REQUESTS: usize = 8;

/// Requests reports from engines, so that a new leader does not depend on their next periodic report.
pub(crate) fn request_reports<B: Backends>(coordinator: &Coordinator<B>, targets: Vec<EngineTarget>, term: u64) {
    let remaining = Rc::new(RefCell::new(targets));
    for _ in 0..MAX_CONCURRENT_REPORT_REQUESTS.min(remaining.borrow().len()) {
        let coordinator = coordinator.clone();
        let runtime = coordinator.inner.runtime.clone();
        let remaining = remaining.clone();
        runtime.spawn(async move {
            loop {
                let next = remaining.borrow_mut().pop();
                let Some(target) = next.filter(|_| coordinator.leads(term)) else {
                    break;
                };
                coordinator.request_report(&target, term).await;
                coordinator.inner.replan.notify();
            }
        });
    }
}

impl<B: Backends> Coordinator<B> {
    /// Assigns a service's engines to its models, fastest engines first. Engines without known weight versions are left
    /// out.
    fn rebalance_models(&self, state: &ControlState, service: &str, engines: &[EngineTarget], models: &[String]) {
        let now = self.now();
        let published_versions = state.weights.published();
        let version = |instance: &InstanceId, model: &str| self.inner.fleet.version(instance, model);
        let with_known_versions =
            engines.iter().filter(|engine| models.iter().all(|model| version(&engine.instance, model).is_some()));
        let mut by_pace: Vec<InstanceId> = with_known_versions.map(|engine| engine.instance.clone()).collect();
        let paces = self.inner.fleet.paces(now);
        let pace = |instance: &InstanceId| paces.of(instance);
        by_pace.sort_by(|left, right| pace(left).total_cmp(&pace(right)));
        let versions_behind = |instance: &InstanceId, model: &str| {
            let newest = published_versions.get(model).copied().unwrap_or_default();
            newest.saturating_sub(version(instance, model).unwrap_or_default())
        };
        let capacities = crate::by_completion::service_capacities(&self.inner, state, service, &by_pace, now);
        if !capacities.is_empty() {
            by_pace.sort_by(|left, right| capacities[right].total_cmp(&capacities[left]));
        }
        let mut assignments = self.inner.model_assignments.borrow_mut();
        assignments.set_capacities(capacities);
        let waiting = self.inner.waiting_items.borrow();
        let has_waiting_items = |model: &str| waiting.get(model).is_some_and(|items| items.count() > 0);
        for reassignment in assignments.rebalance(&by_pace, models, versions_behind, has_waiting_items, now) {
            self.inner.metrics.engines_reassigned.inc();
            spdlog::info!("engine reassigned to another model", kv: {
                instance = reassignment.instance.name.as_str(), service = service,
                from = reassignment.from.as_str(), to = reassignment.to.as_str(),
                reason = reassignment.reason.as_str(), engines = by_pace.len()
            });
        }
    }

    async fn call(
        &self,
        target: &EngineTarget,
        call: EngineCall,
        may_send: impl Fn() -> bool,
    ) -> Result<(u16, bytes::Bytes), Failure> {
        let uri = call.path.parse().map_err(|error| Failure::NotSent(format!("{error}")))?;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&target.address.to_string()) {
            headers.insert(hyper::header::HOST, host);
        }
        let outgoing =
            OutgoingRequest { method: call.method, uri, headers, body: call.body, request_id: String::new() };
        let response = self.inner.pool.call(target, &outgoing, self.inner.config.order_timeout, may_send).await?;
        Ok((response.0.status.as_u16(), response.1))
    }

    async fn request_report(&self, target: &EngineTarget, term: u64) -> Option<EngineReport> {
        let (status, body) = self.call(target, self.inner.engine_format.report(), || self.leads(term)).await.ok()?;
        let report = self.inner.engine_format.parse_report(&body).filter(|_| status == 200)?;
        if !report.may_be_of(&target.instance) {
            spdlog::warn!("engine report from another incarnation ignored", kv: {
                instance = target.instance.name.as_str(),
                started_at_ms = report.started_at_ms.unwrap_or_default(),
                expected_started_at_ms = target.instance.started_at_ms.unwrap_or_default()
            });
            return None;
        }
        self.inner.fleet.record_versions(&target.instance, &report.models, self.now());
        self.inner.fleet.set_orders_accepted(&target.instance, Some(report.orders_taken));
        Some(report)
    }
}

async fn execute_order<B: Backends>(coordinator: Coordinator<B>, due: DueOrder, grant: OrderGrant) {
    let inner = &coordinator.inner;
    let began_at = coordinator.now();
    let completed = send_order(&coordinator, &due, grant).await;
    let elapsed = coordinator.now().saturating_sub(began_at);
    let instance = &due.target.instance;
    if completed {
        inner.metrics.load_seconds.observe(elapsed.as_secs_f64());
    } else {
        inner.fleet.back_off_until(instance, coordinator.now() + inner.config.engine_backoff);
    }
    inner.fleet.end_load(instance, &due.model.model);
    inner.replan.notify();
    spdlog::info!("weights ordered", kv: {
        instance = instance.name.as_str(), model = due.model.model.as_str(), held = due.loaded_version,
        version = due.model.version, reason = due.reason.as_str(), fence = grant.fence.0, done = completed,
        lasted_ms = elapsed.as_millis() as u64
    });
}

/// Sends one order if the grant is still valid, and waits until the weights are loaded; returns whether they are.
async fn send_order<B: Backends>(coordinator: &Coordinator<B>, due: &DueOrder, grant: OrderGrant) -> bool {
    let inner = &coordinator.inner;
    let instance = &due.target.instance;
    let orders_taken = match inner.fleet.orders_accepted(instance) {
        Some(count) => count,
        None => match coordinator.request_report(&due.target, grant.term).await {
            Some(report) if report.busy => return false,
            Some(report) => report.orders_taken,
            None => return false,
        },
    };
    let order = WeightOrder {
        target: due.model.clone(),
        holder: inner.name.clone(),
        fence: grant.fence.0,
        orders_taken,
        running: due.running,
    };
    inner.metrics.orders.inc();
    let may_send = || inner.node.grant_is_valid(&grant);
    let answer = coordinator.call(&due.target, inner.engine_format.order(&order), may_send).await;
    let result = answer.as_ref().ok().and_then(|(status, _)| {
        hyper::StatusCode::from_u16(*status).ok().map(|status| inner.engine_format.order_response(status))
    });
    match result {
        Some(OrderResponse::Accepted) => {
            inner.fleet.set_orders_accepted(instance, Some(orders_taken + 1));
            wait_until_loaded(coordinator, due, grant.term).await
        }
        Some(OrderResponse::AlreadyLoaded) => {
            inner.fleet.record_versions(instance, std::slice::from_ref(&due.model), coordinator.now());
            inner.fleet.set_orders_accepted(instance, None);
            true
        }
        Some(other) => {
            spdlog::warn!("weight order rejected by engine", kv: {
                instance = instance.name.as_str(), answer = format!("{other:?}").as_str(), fence = grant.fence.0
            });
            inner.fleet.set_orders_accepted(instance, None);
            false
        }
        None => {
            // The order may still be executed; the engine's next report shows the result.
            inner.metrics.orders_unknown.inc();
            inner.fleet.set_orders_accepted(instance, None);
            false
        }
    }
}

async fn wait_until_loaded<B: Backends>(coordinator: &Coordinator<B>, due: &DueOrder, term: u64) -> bool {
    let inner = &coordinator.inner;
    let deadline = coordinator.now() + inner.config.load_timeout;
    inner.runtime.sleep(inner.config.expected_load_time).await;
    while coordinator.now() < deadline && coordinator.leads(term) {
        let report = coordinator.request_report(&due.target, term).await;
        let loaded = report.as_ref().is_some_and(|report| !report.busy && report.models.contains(&due.model));
        if loaded {
            return true;
        }
        inner.runtime.sleep(inner.config.load_poll_interval).await;
    }
    false
}
