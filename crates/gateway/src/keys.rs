//! Maps API keys to tenants.

use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::tenancy::TenantAccess;
use std::collections::HashMap;

/// The API keys of a routing document's tenants, indexed by digest. The keys themselves are not stored.
#[derive(Debug, Default)]
pub struct ApiKeyIndex {
    tenants: Vec<TenantId>,
    /// Index in `tenants` of the tenant that a key belongs to.
    tenant_by_key: HashMap<SecretDigest, usize>,
}

impl ApiKeyIndex {
    /// Builds the index for `tenants`.
    pub fn new(tenants: &[TenantAccess]) -> Self {
        let keys =
            tenants.iter().enumerate().flat_map(|(index, tenant)| tenant.keys.iter().map(move |key| (*key, index)));
        Self { tenant_by_key: keys.collect(), tenants: tenants.iter().map(|tenant| tenant.name.clone()).collect() }
    }

    /// The tenant that `key` belongs to.
    pub fn tenant(&self, key: &[u8]) -> Option<&TenantId> {
        let index = self.tenant_by_key.get(&SecretDigest::of(key))?;
        Some(&self.tenants[*index])
    }
}
