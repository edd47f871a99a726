//! Finds the route of a request.

use crate::keys::KeyRing;
use saddlerelay_types::routing::{Route, RoutingDocument};
use saddlerelay_upstream::turns::WeightedTurns;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Multiples of it fall evenly between whole numbers.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Versions are taken by this remainder, so that a fraction of their multiple is exact enough.
const VERSION_CYCLE: u64 = 1 << 20;

/// A routing document with its routes by host.
pub struct RouteTable {
    document: RoutingDocument,
    /// Indexes of each host's routes, longest prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
    /// For each route, the turns of its targets.
    turns: RefCell<Vec<WeightedTurns>>,
    /// The tenants' keys; `None` where no keys are asked for.
    keys: Option<Rc<KeyRing>>,
    has_public_routes: bool,
}

impl RouteTable {
    /// Indexes `document`. `offset` (0 to 1) says where in the turn of its targets each route begins, so that relays do
    /// not all begin with the same one.
    pub fn new(document: RoutingDocument, offset: f64) -> Self {
        let keys = document.tenants.as_deref().map(|tenants| Rc::new(KeyRing::new(tenants)));
        Self::with_keys(document, offset, keys)
    }

    fn with_keys(document: RoutingDocument, offset: f64, keys: Option<Rc<KeyRing>>) -> Self {
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path_prefix.len()));
        }
        let turns = document.routes.iter().map(|route| WeightedTurns::new(&route.targets, offset)).collect();
        let has_public_routes = document.routes.iter().any(|route| route.public);
        Self { document, by_host, turns: RefCell::new(turns), keys, has_public_routes }
    }

    /// A table of the document that follows on another's. Routes whose targets stay as they are go on in their turns; the
    /// others begin elsewhere each time, or with documents that change often one target would get every first request. Keys
    /// that stay as they are need not be indexed anew.
    pub fn following(document: RoutingDocument, before: Option<&Self>, offset: f64) -> Self {
        let begins = (offset + (document.version % VERSION_CYCLE) as f64 * GOLDEN_RATIO).fract();
        let Some(before) = before else {
            return Self::new(document, begins);
        };
        let table = if document.tenants == before.document.tenants {
            Self::with_keys(document, begins, before.keys.clone())
        } else {
            Self::new(document, begins)
        };
        table.take_turns_over(before);
        table
    }

    fn take_turns_over(&self, before: &Self) {
        let held = before.turns.borrow();
        let place = |route: &Route| (route.host.clone(), route.path_prefix.clone());
        let indexes: BTreeMap<_, usize> =
            before.document.routes.iter().enumerate().map(|(index, route)| (place(route), index)).collect();
        for (turns, route) in self.turns.borrow_mut().iter_mut().zip(&self.document.routes) {
            let index = indexes.get(&place(route)).copied();
            if let Some(index) = index.filter(|index| before.document.routes[*index].targets == route.targets) {
                turns.clone_from(&held[index]);
            }
        }
    }

    /// The document.
    pub fn document(&self) -> &RoutingDocument {
        &self.document
    }

    /// The tenants' keys; `None` where no keys are asked for.
    pub fn keys(&self) -> Option<&KeyRing> {
        self.keys.as_deref()
    }

    /// Whether some requests need no key although others do.
    pub fn has_public_routes(&self) -> bool {
        self.has_public_routes
    }

    /// The index of the route that serves this host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        routes.iter().copied().find(|index| path.starts_with(&self.document.routes[*index].path_prefix))
    }

    /// The route at `index`.
    pub fn route(&self, index: usize) -> &Route {
        &self.document.routes[index]
    }

    /// The service whose turn it is: over time each target gets its weight's share, in even turns.
    pub fn next_service(&self, index: usize) -> &str {
        let targets = &self.document.routes[index].targets;
        let next = self.turns.borrow_mut()[index].take(targets);
        &targets[next].service
    }
}
