//! Matches requests to routes, and picks a service among a route's weighted targets.

use crate::durations::RecentDurations;
use crate::keys::ApiKeyIndex;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::routing::{Route, RoutingDocument};
use saddlerelay_types::tenancy::Caller;
use saddlerelay_upstream::round_robin::WeightedRoundRobin;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Fractional part of the golden ratio. The fractional parts of its multiples are evenly distributed between 0 and 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Versions are reduced modulo this value to limit the rounding error of their multiples.
const VERSION_CYCLE: u64 = 1 << 20;

/// A routing document with its routes indexed by host.
pub struct RouteTable {
    document: RoutingDocument,
    /// Indexes of each host's routes, longest path prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
    /// Weighted round-robin state of each route.
    round_robins: RefCell<Vec<WeightedRoundRobin>>,
    /// Durations of each route's requests, shared with the tables of other documents.
    durations: Vec<Rc<RecentDurations>>,
    /// The tenants' API keys; `None` if authentication is disabled.
    keys: Option<Rc<ApiKeyIndex>>,
    has_public_routes: bool,
    /// Priorities of tenants that have their own.
    tenant_priorities: BTreeMap<TenantId, u32>,
}

impl RouteTable {
    /// Indexes `document`. `offset` (0 to 1) is the start position in each route's weighted round-robin; it differs
    /// between relays so that they do not all start with the same target.
    pub fn new(document: RoutingDocument, offset: f64) -> Self {
        let keys = document.tenants.as_deref().map(|tenants| Rc::new(ApiKeyIndex::new(tenants)));
        Self::with_keys(document, offset, keys)
    }

    fn with_keys(document: RoutingDocument, offset: f64, keys: Option<Rc<ApiKeyIndex>>) -> Self {
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path_prefix.len()));
        }
        let round_robins =
            document.routes.iter().map(|route| WeightedRoundRobin::new(&route.targets, offset)).collect();
        let has_public_routes = document.routes.iter().any(|route| route.public);
        let tenants = document.tenants.iter().flatten();
        let tenant_priorities = tenants.filter_map(|tenant| Some((tenant.name.clone(), tenant.priority?))).collect();
        let round_robins = RefCell::new(round_robins);
        let durations = document.routes.iter().map(|_| Rc::default()).collect();
        Self { document, by_host, round_robins, durations, keys, has_public_routes, tenant_priorities }
    }

    /// Indexes a document that replaces that of `previous`. Routes keep their durations, and with unchanged targets
    /// their round-robin state. Other routes start at a position that varies with the version: with frequent updates, a
    /// fixed start would send most requests to the same target. The index of unchanged keys is reused.
    pub fn replacing(document: RoutingDocument, previous: Option<&Self>, offset: f64) -> Self {
        let start = (offset + (document.version % VERSION_CYCLE) as f64 * GOLDEN_RATIO).fract();
        let Some(previous) = previous else {
            return Self::new(document, start);
        };
        let mut table = if document.tenants == previous.document.tenants {
            Self::with_keys(document, start, previous.keys.clone())
        } else {
            Self::new(document, start)
        };
        table.copy_route_state_from(previous);
        table
    }

    fn copy_route_state_from(&mut self, previous: &Self) {
        let previous_round_robins = previous.round_robins.borrow();
        let location = |route: &Route| (route.host.clone(), route.path_prefix.clone());
        let indexes: BTreeMap<_, usize> =
            previous.document.routes.iter().enumerate().map(|(index, route)| (location(route), index)).collect();
        let states = self.round_robins.get_mut().iter_mut().zip(&mut self.durations);
        for ((round_robin, durations), route) in states.zip(&self.document.routes) {
            let Some(index) = indexes.get(&location(route)).copied() else {
                continue;
            };
            *durations = previous.durations[index].clone();
            if previous.document.routes[index].targets == route.targets {
                round_robin.clone_from(&previous_round_robins[index]);
            }
        }
    }

    /// The routing document.
    pub fn document(&self) -> &RoutingDocument {
        &self.document
    }

    /// The tenants' API keys; `None` if authentication is disabled.
    pub fn keys(&self) -> Option<&ApiKeyIndex> {
        self.keys.as_deref()
    }

    /// Whether any route is public.
    pub fn has_public_routes(&self) -> bool {
        self.has_public_routes
    }

    /// The index of the route that matches this host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        routes.iter().copied().find(|index| path.starts_with(&self.document.routes[*index].path_prefix))
    }

    /// The route at `index`.
    pub fn route(&self, index: usize) -> &Route {
        &self.document.routes[index]
    }

    /// The priority of a caller's requests on a route; 0 is the most urgent.
    pub fn priority(&self, index: usize, caller: &Caller) -> u32 {
        let own = caller.tenant().and_then(|tenant| self.tenant_priorities.get(tenant));
        own.copied().unwrap_or(self.route(index).priority)
    }

    /// Records how long a successful request on a route took.
    pub fn record_duration(&self, index: usize, duration: Duration) {
        self.durations[index].record(duration);
    }

    /// How long a request on a route is expected to take: as long as the longest recent one. Before the first one it is
    /// the route's objective, or its timeout if it has none.
    pub fn expected_duration(&self, index: usize) -> Duration {
        let route = self.route(index);
        let configured_ms = if route.objective_ms == 0 { route.timeout_ms } else { route.objective_ms };
        self.durations[index].longest().unwrap_or(Duration::from_millis(configured_ms))
    }

    /// Picks the next service of a route by weighted round-robin.
    pub fn next_service(&self, index: usize) -> &str {
        let targets = &self.document.routes[index].targets;
        let next = self.round_robins.borrow_mut()[index].next_index(targets);
        &targets[next].service
    }
}
