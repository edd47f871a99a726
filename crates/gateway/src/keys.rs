//! Finds the tenant of a key.

use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::tenancy::TenantAccess;
use std::collections::HashMap;

/// The keys of a routing document's tenants. Only digests are held: a key is looked up by its own.
#[derive(Debug, Default)]
pub struct KeyRing {
    tenants: Vec<TenantId>,
    /// The index of the tenant that has a key.
    holders: HashMap<SecretDigest, usize>,
}

impl KeyRing {
    /// Indexes the keys of `tenants`.
    pub fn new(tenants: &[TenantAccess]) -> Self {
        let keys =
            tenants.iter().enumerate().flat_map(|(index, tenant)| tenant.keys.iter().map(move |key| (*key, index)));
        Self { holders: keys.collect(), tenants: tenants.iter().map(|tenant| tenant.name.clone()).collect() }
    }

    /// The tenant that has this key.
    pub fn tenant(&self, key: &[u8]) -> Option<&TenantId> {
        let index = self.holders.get(&SecretDigest::of(key))?;
        Some(&self.tenants[*index])
    }
}
