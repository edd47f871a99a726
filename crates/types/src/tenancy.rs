//! Tenants of routed requests: authentication by key and ownership of batch jobs.

use crate::credentials::SecretDigest;
use crate::identity::TenantId;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A tenant in the routing document.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TenantAccess {
    /// The tenant.
    pub name: TenantId,
    /// Digests of its keys. Any one of them authenticates the tenant, and none is shared with another tenant.
    pub keys: Vec<SecretDigest>,
    /// Priority of its requests, 0 being the most urgent; overrides the route's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
}

/// The caller of a request, as determined by its key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Caller {
    /// Any caller: the routing document lists no tenants, so no key is required.
    Anyone,
    /// A caller without a key, on a public route.
    Public,
    /// An authenticated tenant.
    Tenant(TenantId),
}

impl Caller {
    /// The tenant, if the caller is one.
    pub fn tenant(&self) -> Option<&TenantId> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Anyone | Self::Public => None,
        }
    }

    /// Whether the caller may read and modify objects of `owner`; objects without an owner are open to all.
    pub fn may_use(&self, owner: Option<&TenantId>) -> bool {
        match (self, owner) {
            (Self::Anyone, _) | (_, None) => true,
            (Self::Public, Some(_)) => false,
            (Self::Tenant(tenant), Some(owner)) => tenant == owner,
        }
    }
}
