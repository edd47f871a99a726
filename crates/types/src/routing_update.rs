//! Incremental updates of the routing document for relays.

use crate::identity::TenantId;
use crate::routing::{RequestLimits, Route, RoutingDocument, Service};
use crate::tenancy::TenantAccess;
use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Host and path prefix, which identify a route within a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RouteKey {
    /// The route's host.
    pub host: String,
    /// The route's path prefix.
    pub path_prefix: String,
}

impl RouteKey {
    fn of(route: &Route) -> Self {
        Self { host: route.host.clone(), path_prefix: route.path_prefix.clone() }
    }
}

/// The changes from an older document, or from none, to a newer one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingUpdate {
    /// The version that the update applies to; `None` if it is a full update.
    pub base: Option<u64>,
    /// The version after the update is applied.
    pub version: u64,
    /// New or changed routes.
    pub changed: Vec<Route>,
    /// Removed routes.
    pub removed: Vec<RouteKey>,
    /// All services.
    pub services: Vec<Service>,
    /// The limits.
    pub limits: RequestLimits,
    /// The tenants.
    pub tenants: TenantUpdate,
}

/// The changes to a document's tenants.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum TenantUpdate {
    /// The document lists no tenants, so requests need no key.
    NoTenants,
    /// The changes to the older document's tenants.
    Changes {
        /// New or changed tenants.
        changed: Vec<TenantAccess>,
        /// Removed tenants.
        removed: Vec<TenantId>,
    },
}

impl TenantUpdate {
    fn between(base: Option<&[TenantAccess]>, new_tenants: Option<&[TenantAccess]>) -> Self {
        let Some(new_tenants) = new_tenants else {
            return Self::NoTenants;
        };
        let base_tenants = tenants_by_name(base.unwrap_or_default());
        let new_tenants = tenants_by_name(new_tenants);
        let is_new_or_changed = |tenant: &&&TenantAccess| base_tenants.get(&tenant.name) != Some(*tenant);
        Self::Changes {
            changed: new_tenants.values().filter(is_new_or_changed).map(|tenant| (*tenant).clone()).collect(),
            removed: base_tenants
                .keys()
                .filter(|name| !new_tenants.contains_key(*name))
                .map(|name| (*name).clone())
                .collect(),
        }
    }

    fn apply(self, base: Option<&[TenantAccess]>) -> Option<Vec<TenantAccess>> {
        let Self::Changes { changed, removed } = self else {
            return None;
        };
        let mut tenants: BTreeMap<TenantId, TenantAccess> =
            base.unwrap_or_default().iter().map(|tenant| (tenant.name.clone(), tenant.clone())).collect();
        tenants.retain(|name, _| !removed.contains(name));
        tenants.extend(changed.into_iter().map(|tenant| (tenant.name.clone(), tenant)));
        Some(tenants.into_values().collect())
    }
}

impl RoutingUpdate {
    /// The update from `base`, or from nothing, to `document`. The document's source is left out.
    pub fn between(base: Option<&RoutingDocument>, document: &RoutingDocument) -> Self {
        let base_routes = routes_by_key(base.map_or(&[], |base| base.routes.as_slice()));
        let new_routes = routes_by_key(&document.routes);
        let is_new_or_changed =
            |(key, route): &(&RouteKey, &&Route)| base_routes.get(*key).is_none_or(|base_route| base_route != *route);
        Self {
            base: base.map(|base| base.version),
            version: document.version,
            changed: new_routes.iter().filter(is_new_or_changed).map(|(_, route)| (*route).clone()).collect(),
            removed: base_routes.keys().filter(|key| !new_routes.contains_key(key)).cloned().collect(),
            services: document.services.clone(),
            limits: document.limits,
            tenants: TenantUpdate::between(base.and_then(|base| base.tenants.as_deref()), document.tenants.as_deref()),
        }
    }

    /// Applies the update to `current`; `None` if the update has another base version.
    pub fn apply(self, current: Option<&RoutingDocument>) -> Option<RoutingDocument> {
        let current = match self.base {
            None => None,
            Some(base) => Some(current.filter(|current| current.version == base)?),
        };
        let base_routes = current.map_or(&[][..], |current| current.routes.as_slice());
        let mut routes: BTreeMap<RouteKey, Route> =
            base_routes.iter().map(|route| (RouteKey::of(route), route.clone())).collect();
        for key in &self.removed {
            routes.remove(key);
        }
        routes.extend(self.changed.into_iter().map(|route| (RouteKey::of(&route), route)));
        Some(RoutingDocument {
            version: self.version,
            routes: routes.into_values().collect(),
            services: self.services,
            limits: self.limits,
            tenants: self.tenants.apply(current.and_then(|current| current.tenants.as_deref())),
            source: Vec::new(),
        })
    }
}

fn routes_by_key(routes: &[Route]) -> BTreeMap<RouteKey, &Route> {
    routes.iter().map(|route| (RouteKey::of(route), route)).collect()
}

fn tenants_by_name(tenants: &[TenantAccess]) -> BTreeMap<&TenantId, &TenantAccess> {
    tenants.iter().map(|tenant| (&tenant.name, tenant)).collect()
}

/// An encoded update, shared so that it is encoded once for all relays.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EncodedRoutingUpdate {
    /// The version after the update is applied.
    pub version: u64,
    bytes: Vec<u8>,
}

impl EncodedRoutingUpdate {
    /// Encodes an update.
    pub fn encode(update: &RoutingUpdate) -> Self {
        Self { version: update.version, bytes: bitcode::encode(update) }
    }

    /// Wraps an update that is already encoded.
    pub fn from_bytes(version: u64, bytes: Vec<u8>) -> Self {
        Self { version, bytes }
    }

    /// The encoded update.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Decodes the update; `None` if it is malformed.
    pub fn decode(&self) -> Option<RoutingUpdate> {
        bitcode::decode(&self.bytes).ok()
    }

    /// The encoded size in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no encoded bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
