//! Finds the route of a request.

use saddlerelay_types::routing::{Route, RoutingDocument};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A routing document with its routes by host.
pub struct RouteTable {
    document: RoutingDocument,
    /// Indexes of each host's routes, longest prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
    /// For each route, what its targets are owed.
    owed: RefCell<Vec<Vec<f64>>>,
}

impl RouteTable {
    /// Indexes `document`. `offset` (0 to 1) says where in the turn of its targets each route begins, so that relays do
    /// not all begin with the same one.
    pub fn new(document: RoutingDocument, offset: f64) -> Self {
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path_prefix.len()));
        }
        let owed = document.routes.iter().map(|route| initial_debts(route, offset)).collect();
        Self { document, by_host, owed: RefCell::new(owed) }
    }

    /// The document.
    pub fn document(&self) -> &RoutingDocument {
        &self.document
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
        let total: f64 = targets.iter().map(|target| target.weight as f64).sum();
        let mut owed = self.owed.borrow_mut();
        let debts = &mut owed[index];
        for (debt, target) in debts.iter_mut().zip(targets) {
            *debt += target.weight as f64 / total;
        }
        let largest = (0..debts.len()).max_by(|left, right| debts[*left].total_cmp(&debts[*right])).unwrap_or(0);
        debts[largest] -= 1.0;
        &targets[largest].service
    }
}

fn initial_debts(route: &Route, offset: f64) -> Vec<f64> {
    let total: f64 = route.targets.iter().map(|target| target.weight as f64).sum();
    let mut passed = 0.0;
    let share = |target: &saddlerelay_types::routing::WeightedTarget| {
        let start = passed;
        passed += target.weight as f64 / total;
        // The target in whose share the offset falls is the first in turn.
        if offset >= start && offset < passed { 0.5 } else { 0.0 }
    };
    route.targets.iter().map(share).collect()
}
