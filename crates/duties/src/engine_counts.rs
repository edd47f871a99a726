//! Orders from the platform the number of engines wanted per service and zone.
//!
//! The numbers are committed before they are ordered. An order is sent when fewer engines than wanted have been present
//! for `replacement_delay`. Each order has its own fencing token, so that a delayed older order has no effect.

use crate::Duties;
use crate::backoff::Backoff;
use crate::client::PlatformClient;
use crate::config::EngineCountConfig;
use crate::format::{CallGrant, EngineCountOrder, PlatformResponse};
use crate::policies::{EngineCountPolicy, EnginePoolView};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{EnginePool, GatewayCommand, OrderSubject, WantedEngines};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks of the engine counts.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What this leader has observed of a service in a zone during its term.
#[derive(Clone, Copy, Debug)]
struct EnginePoolState {
    /// When the engine pool was first observed in this term.
    first_seen: Duration,
    /// Since when fewer engines than wanted have been present; `None` if there are enough.
    missing_since: Option<Duration>,
    /// No order is sent before this time, so that ordered engines have time to start.
    next_order_at: Duration,
    backoff: Backoff,
}

impl EnginePoolState {
    fn new(now: Duration) -> Self {
        Self { first_seen: now, missing_since: None, next_order_at: Duration::ZERO, backoff: Backoff::default() }
    }
}

/// Runs until the process ends; orders engines only while this process is leader.
pub async fn run<P: Runtime, B: Backends, C: PlatformClient>(
    duties: Rc<Duties<P, B, C>>,
    terms: EngineCountConfig,
    policy: impl EngineCountPolicy,
) {
    let mut last_term = None;
    let mut engine_pool_states: BTreeMap<EnginePool, EnginePoolState> = BTreeMap::new();
    loop {
        duties.runtime.sleep(CHECK_INTERVAL).await;
        duties.node.observe_order_intents();
        let now = duties.runtime.monotonic();
        let Some(term) = duties.node.replica().leading_term() else {
            last_term = None;
            continue;
        };
        if last_term.replace(term) != Some(term) {
            engine_pool_states.clear();
        }
        let mut views = duties.node.read(engine_pool_views).unwrap_or_default();
        for view in &views {
            engine_pool_states.entry(view.pool.clone()).or_insert_with(|| EnginePoolState::new(now));
        }
        views.retain(|view| now >= engine_pool_states[&view.pool].first_seen + terms.discovery_time);
        duties.commit_wanted(&views, &policy).await;
        for view in &views {
            if let Some(pool_state) = engine_pool_states.get_mut(&view.pool) {
                duties.order_missing(term, view, pool_state, terms).await;
            }
        }
    }
}

/// Every service and zone with scaling limits that has a committed number of wanted engines or at least one engine
/// present.
fn engine_pool_views(state: &ControlState) -> Vec<EnginePoolView> {
    let Some(document) = state.routing.current() else {
        return Vec::new();
    };
    let mut views = Vec::new();
    for service in &document.services {
        let Some(limits) = &service.scaling else {
            continue;
        };
        let wanted = state.engine_counts.wanted();
        let recorded = wanted.keys().filter(|pool| pool.service == service.name).cloned();
        let of_service = state.instances.engine_pools().filter(|pool| pool.service == service.name);
        let with_engines = of_service.filter(|pool| state.instances.available(pool) > 0).cloned();
        let pools: BTreeSet<EnginePool> = recorded.chain(with_engines).collect();
        views.extend(pools.into_iter().map(|pool| EnginePoolView {
            wanted: wanted.get(&pool).copied(),
            available: state.instances.available(&pool),
            limits: limits.clone(),
            pool,
        }));
    }
    views
}

impl<P: Runtime, B: Backends, C: PlatformClient> Duties<P, B, C> {
    /// Commits the numbers that the policy wants, where they differ from the committed ones.
    async fn commit_wanted(&self, views: &[EnginePoolView], policy: &impl EngineCountPolicy) {
        let changed = |view: &EnginePoolView| {
            let count = policy.wanted(view);
            (view.wanted != Some(count)).then(|| WantedEngines { pool: view.pool.clone(), count })
        };
        let wanted: Vec<WantedEngines> = views.iter().filter_map(changed).collect();
        if wanted.is_empty() {
            return;
        }
        let description = format!("{wanted:?}");
        match self.node.commit_gateway(GatewayCommand::SetWantedEngines(wanted)).await {
            Ok(_) => spdlog::info!("wanted engine counts committed", kv: { wanted = description.as_str() }),
            Err(error) => {
                spdlog::warn!("wanted engine counts not committed", kv: { reason = format!("{error:?}").as_str() });
            }
        }
    }

    /// Orders the wanted number in an engine pool where engines have been missing for `replacement_delay`.
    async fn order_missing(
        &self,
        term: u64,
        view: &EnginePoolView,
        pool_state: &mut EnginePoolState,
        terms: EngineCountConfig,
    ) {
        let now = self.runtime.monotonic();
        let Some(wanted) = view.wanted else {
            return;
        };
        if view.available >= wanted {
            pool_state.missing_since = None;
            return;
        }
        let missing_since = *pool_state.missing_since.get_or_insert(now);
        let due = now >= missing_since + terms.replacement_delay && now >= pool_state.next_order_at;
        let subject = OrderSubject::EngineCount(view.pool.clone());
        if !due || !pool_state.backoff.is_elapsed(now) || !self.node.may_order(&subject) {
            return;
        }
        if self.send_order(term, view, wanted).await {
            pool_state.backoff.reset();
            let start_time = Duration::from_millis(view.limits.start_ms);
            pool_state.next_order_at = self.runtime.monotonic() + start_time + terms.replacement_delay;
        } else {
            pool_state.backoff.record_failure(&self.runtime);
        }
    }

    /// Sends an order; returns whether the platform accepted it.
    async fn send_order(&self, term: u64, view: &EnginePoolView, count: u32) -> bool {
        let subject = OrderSubject::EngineCount(view.pool.clone());
        let Some(grant) = self.node.commit_order_intent(term, vec![subject]).await else {
            return false;
        };
        let call_grant = CallGrant { holder: self.name.clone(), fence: grant.fence };
        let order = EngineCountOrder { place: view.pool.clone(), count, withdrawable: false };
        let call = self.platform_format.engine_count(&call_grant, &order);
        let answered = self.client.call(call, CALL_TIMEOUT, || self.node.grant_is_valid(&grant)).await;
        let outcome = match &answered {
            Ok(status) => format!("{:?}", self.platform_format.response(*status, Some(&order))),
            Err(failure) => failure.to_string(),
        };
        let accepted =
            answered.is_ok_and(|status| self.platform_format.response(status, Some(&order)) == PlatformResponse::Taken);
        spdlog::info!("engine order sent", kv: {
            service = view.pool.service.as_str(), zone = view.pool.zone.as_str(), count = count,
            present = view.available, fence = grant.fence.0, taken = accepted, outcome = outcome.as_str()
        });
        let counter = if accepted { &self.metrics.engine_orders_accepted } else { &self.metrics.engine_orders_failed };
        counter.inc();
        accepted
    }
}
