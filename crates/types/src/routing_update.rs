//! What turns the routing document that a relay holds into a newer one.

use crate::identity::TenantId;
use crate::routing::{RequestLimits, Route, RoutingDocument, Service};
use crate::tenancy::TenantAccess;
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
    /// The tenants.
    pub tenants: TenantUpdate,
}

/// The difference of a document's tenants to an older one's.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum TenantUpdate {
    /// The document lists no tenants: no keys are asked for.
    Unlisted,
    /// It lists those that the older one did, but for these changes.
    Changes {
        /// Tenants that are new or have changed.
        changed: Vec<TenantAccess>,
        /// Tenants that are no more.
        removed: Vec<TenantId>,
    },
}

impl TenantUpdate {
    fn between(base: Option<&[TenantAccess]>, wanted: Option<&[TenantAccess]>) -> Self {
        let Some(wanted) = wanted else {
            return Self::Unlisted;
        };
        let held = tenants_by_name(base.unwrap_or_default());
        let wanted = tenants_by_name(wanted);
        let is_new = |tenant: &&&TenantAccess| held.get(&tenant.name) != Some(*tenant);
        Self::Changes {
            changed: wanted.values().filter(is_new).map(|tenant| (*tenant).clone()).collect(),
            removed: held.keys().filter(|name| !wanted.contains_key(*name)).map(|name| (*name).clone()).collect(),
        }
    }

    fn apply(self, held: Option<&[TenantAccess]>) -> Option<Vec<TenantAccess>> {
        let Self::Changes { changed, removed } = self else {
            return None;
        };
        let mut tenants: BTreeMap<TenantId, TenantAccess> =
            held.unwrap_or_default().iter().map(|tenant| (tenant.name.clone(), tenant.clone())).collect();
        tenants.retain(|name, _| !removed.contains(name));
        tenants.extend(changed.into_iter().map(|tenant| (tenant.name.clone(), tenant)));
        Some(tenants.into_values().collect())
    }
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
            tenants: TenantUpdate::between(base.and_then(|base| base.tenants.as_deref()), document.tenants.as_deref()),
        }
    }

    /// The document that this makes of `held`; `None` if it does not go on from it.
    pub fn apply(self, held: Option<&RoutingDocument>) -> Option<RoutingDocument> {
        let held = match self.base {
            None => None,
            Some(base) => Some(held.filter(|held| held.version == base)?),
        };
        let kept = held.map_or(&[][..], |held| held.routes.as_slice());
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
            tenants: self.tenants.apply(held.and_then(|held| held.tenants.as_deref())),
            source: Vec::new(),
        })
    }
}

fn routes_by_place(routes: &[Route]) -> BTreeMap<RoutePlace, &Route> {
    routes.iter().map(|route| (RoutePlace::of(route), route)).collect()
}

fn tenants_by_name(tenants: &[TenantAccess]) -> BTreeMap<&TenantId, &TenantAccess> {
    tenants.iter().map(|tenant| (&tenant.name, tenant)).collect()
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

    /// An update that was encoded elsewhere.
    pub fn from_bytes(version: u64, bytes: Vec<u8>) -> Self {
        Self { version, bytes }
    }

    /// The encoded update.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
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
