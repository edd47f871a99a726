//! Tells the platform how many engines are wanted, by service and zone.
//!
//! The numbers are committed before they are ordered. Orders are given when a number changes, and when engines have been
//! missing for a while. Each order has a fence of its own, so that an older one that is carried out late changes nothing.

use crate::Duties;
use crate::backoff::Backoff;
use crate::client::PlatformClient;
use crate::config::EngineCountTerms;
use crate::dialect::{CallRight, EngineCountOrder, PlatformAnswer};
use crate::policies::{EngineCountPolicy, PlaceView};
use saddlerelay_control::state::ControlState;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::gateway::{EnginePlace, GatewayCommand, OrderSubject, WantedEngines};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks at the engines.
const INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for an answer.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// What this leader knows of a place.
#[derive(Clone, Copy, Debug)]
struct Standing {
    /// When it first saw an engine there.
    first_seen: Duration,
    /// Since when engines have been missing.
    missing_since: Option<Duration>,
    /// No further engines are ordered in the place of missing ones before.
    rest_until: Duration,
    backoff: Backoff,
}

impl Standing {
    fn new(now: Duration) -> Self {
        Self { first_seen: now, missing_since: None, rest_until: Duration::ZERO, backoff: Backoff::default() }
    }
}

/// Orders engines while this process leads.
pub async fn order<P: Runtime, B: Backends, C: PlatformClient>(
    duties: Rc<Duties<P, B, C>>,
    terms: EngineCountTerms,
    policy: impl EngineCountPolicy,
) {
    let mut led_term = None;
    let mut standings: BTreeMap<EnginePlace, Standing> = BTreeMap::new();
    loop {
        duties.runtime.sleep(INTERVAL).await;
        duties.node.watch_orders();
        let now = duties.runtime.monotonic();
        let Some(term) = duties.node.replica().leading_term() else {
            led_term = None;
            continue;
        };
        if led_term.replace(term) != Some(term) {
            standings.clear();
        }
        let mut views = duties.node.read(places).unwrap_or_default();
        for view in &views {
            standings.entry(view.place.clone()).or_insert_with(|| Standing::new(now));
        }
        views.retain(|view| now >= standings[&view.place].first_seen + terms.settling_time);
        duties.want(&views, &policy).await;
        for view in &views {
            if let Some(standing) = standings.get_mut(&view.place) {
                duties.order_missing(term, view, standing, terms).await;
            }
        }
    }
}

/// Every place where engines can be ordered. A place that has no engine and never had one is not known.
fn places(state: &ControlState) -> Vec<PlaceView> {
    let Some(document) = state.routing.current() else {
        return Vec::new();
    };
    let mut views = Vec::new();
    for service in &document.services {
        let Some(limits) = &service.scaling else {
            continue;
        };
        let wanted = state.engine_counts.wanted();
        let known = wanted.keys().filter(|place| place.service == service.name).cloned();
        let of_service = state.instances.places().filter(|place| place.service == service.name);
        let seen = of_service.filter(|place| state.instances.present(place) > 0).cloned();
        let places: BTreeSet<EnginePlace> = known.chain(seen).collect();
        views.extend(places.into_iter().map(|place| PlaceView {
            wanted: wanted.get(&place).copied(),
            present: state.instances.present(&place),
            limits: limits.clone(),
            place,
        }));
    }
    views
}

impl<P: Runtime, B: Backends, C: PlatformClient> Duties<P, B, C> {
    /// Commits the numbers that the policy wants, where they differ from those held.
    async fn want(&self, views: &[PlaceView], policy: &impl EngineCountPolicy) {
        let changed = |view: &PlaceView| {
            let count = policy.wanted(view);
            (view.wanted != Some(count)).then(|| WantedEngines { place: view.place.clone(), count })
        };
        let wanted: Vec<WantedEngines> = views.iter().filter_map(changed).collect();
        if wanted.is_empty() {
            return;
        }
        let told = format!("{wanted:?}");
        match self.node.commit_gateway(GatewayCommand::WantEngines(wanted)).await {
            Ok(_) => spdlog::info!("engines wanted", kv: { wanted = told.as_str() }),
            Err(error) => {
                spdlog::warn!("wanted engines not committed", kv: { reason = format!("{error:?}").as_str() });
            }
        }
    }

    /// Orders the wanted number in a place where engines have been missing for a while.
    async fn order_missing(&self, term: u64, view: &PlaceView, standing: &mut Standing, terms: EngineCountTerms) {
        let now = self.runtime.monotonic();
        let Some(wanted) = view.wanted else {
            return;
        };
        if view.present >= wanted {
            standing.missing_since = None;
            return;
        }
        let missing_since = *standing.missing_since.get_or_insert(now);
        let due = now >= missing_since + terms.missing_time && now >= standing.rest_until;
        let subject = OrderSubject::EngineCount(view.place.clone());
        if !due || !standing.backoff.is_over(now) || !self.node.may_order(&subject) {
            return;
        }
        if self.send_order(term, view, wanted).await {
            standing.backoff.reset();
            let start_time = Duration::from_millis(view.limits.start_ms);
            standing.rest_until = self.runtime.monotonic() + start_time + terms.missing_time;
        } else {
            standing.backoff.fail(&self.runtime);
        }
    }

    /// Sends an order; returns whether the platform has taken it.
    async fn send_order(&self, term: u64, view: &PlaceView, count: u32) -> bool {
        let subject = OrderSubject::EngineCount(view.place.clone());
        let Some(grant) = self.node.note_orders(term, vec![subject]).await else {
            return false;
        };
        let right = CallRight { holder: self.name.clone(), fence: grant.fence };
        let order = EngineCountOrder { place: view.place.clone(), count, withdrawable: false };
        let call = self.dialect.engine_count(&right, &order);
        let answered = self.client.call(call, CALL_LIMIT, || self.node.grant_holds(&grant)).await;
        let outcome = match &answered {
            Ok(status) => format!("{:?}", self.dialect.answer(*status, Some(&order))),
            Err(failure) => failure.to_string(),
        };
        let taken = answered.is_ok_and(|status| self.dialect.answer(status, Some(&order)) == PlatformAnswer::Taken);
        spdlog::info!("engines ordered", kv: {
            service = view.place.service.as_str(), zone = view.place.zone.as_str(), count = count,
            present = view.present, fence = grant.fence.0, taken = taken, outcome = outcome.as_str()
        });
        let counter = if taken { &self.metrics.engine_orders_taken } else { &self.metrics.engine_orders_failed };
        counter.inc();
        taken
    }
}
