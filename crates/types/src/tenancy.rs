//! Tenants of routed requests: whose a request or a batch job is, and by which keys a tenant is known.

use crate::credentials::SecretDigest;
use crate::identity::TenantId;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A tenant as the routing document lists it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TenantAccess {
    /// The tenant.
    pub name: TenantId,
    /// Digests of its keys, each of which is enough. No other tenant has one of them.
    pub keys: Vec<SecretDigest>,
    /// Rank of its requests, 0 the most urgent; goes before a route's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
}

/// Who makes a call, as its key tells.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Caller {
    /// Anyone: the routing document lists no tenants, so no keys are asked for.
    Anyone,
    /// Someone without a key, on a public route.
    Public,
    /// A tenant.
    Tenant(TenantId),
}

impl Caller {
    /// The tenant, if it is one.
    pub fn tenant(&self) -> Option<&TenantId> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Anyone | Self::Public => None,
        }
    }

    /// Whether the caller may see and change what belongs to `owner`, or to nobody.
    pub fn may_use(&self, owner: Option<&TenantId>) -> bool {
        match (self, owner) {
            (Self::Anyone, _) | (_, None) => true,
            (Self::Public, Some(_)) => false,
            (Self::Tenant(tenant), Some(owner)) => tenant == owner,
        }
    }
}
