//! What turns the routing document that a relay holds into a newer one.

use crate::routing::{RequestLimits, Route, RoutingDocument, Service};
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Where a route stands: no two routes of a document share it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RoutePlace {
    /// Its host.
    pub host: String,
    /// The beginning of its paths.
    pub path_prefix: String,
}

impl RoutePlace {
    fn of(route: &Route) -> Self {
        Self { host: route.host.clone(), path_prefix: route.path_prefix.clone() }
    }
}

/// The difference of a document to an older one, or to none.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingUpdate {
    /// The version of the document that it goes on from.
    pub base: Option<u64>,
    /// The version that it leads to.
    pub version: u64,
    /// Routes that are new or have changed.
    pub changed: Vec<Route>,
    /// Routes that are no more.
    pub removed: Vec<RoutePlace>,
    /// All services.
    pub services: Vec<Service>,
    /// The limits.
    pub limits: RequestLimits,
}

impl RoutingUpdate {
    /// What turns `base`, or nothing, into `document`; what operators sent is left out.
    pub fn between(base: Option<&RoutingDocument>, document: &RoutingDocument) -> Self {
        let held = routes_by_place(base.map_or(&[], |base| base.routes.as_slice()));
        let wanted = routes_by_place(&document.routes);
        let is_new = |(place, route): &(&RoutePlace, &&Route)| held.get(*place).is_none_or(|held| held != *route);
        Self {
            base: base.map(|base| base.version),
            version: document.version,
            changed: wanted.iter().filter(is_new).map(|(_, route)| (*route).clone()).collect(),
            removed: held.keys().filter(|place| !wanted.contains_key(place)).cloned().collect(),
            services: document.services.clone(),
            limits: document.limits,
        }
    }

    /// The document that this makes of `held`; `None` if it does not go on from it.
    pub fn apply(self, held: Option<&RoutingDocument>) -> Option<RoutingDocument> {
        let kept = match self.base {
            None => &[],
            Some(base) => held.filter(|held| held.version == base)?.routes.as_slice(),
        };
        let mut routes: BTreeMap<RoutePlace, Route> =
            kept.iter().map(|route| (RoutePlace::of(route), route.clone())).collect();
        for place in &self.removed {
            routes.remove(place);
        }
        routes.extend(self.changed.into_iter().map(|route| (RoutePlace::of(&route), route)));
        Some(RoutingDocument {
            version: self.version,
            routes: routes.into_values().collect(),
            services: self.services,
            limits: self.limits,
            source: Vec::new(),
        })
    }
}

fn routes_by_place(routes: &[Route]) -> BTreeMap<RoutePlace, &Route> {
    routes.iter().map(|route| (RoutePlace::of(route), route)).collect()
}

/// An encoded update. A document goes to every relay at the same time, so it is encoded once for all of them.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EncodedRoutingUpdate {
    /// The version that it leads to.
    pub version: u64,
    bytes: Vec<u8>,
}

impl EncodedRoutingUpdate {
    /// Encodes an update.
    pub fn encode(update: &RoutingUpdate) -> Self {
        Self { version: update.version, bytes: bitcode::encode(update) }
    }

    /// The update; `None` if it cannot be read.
    pub fn decode(&self) -> Option<RoutingUpdate> {
        bitcode::decode(&self.bytes).ok()
    }

    /// Its size in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
