//! Read access to the relay's view.

use crate::relay::Relay;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::configuration::TenantParameters;
use saddlerelay_types::identity::{ModelName, Revision, TenantId};

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// The models of all tenants, sorted and without duplicates.
    pub fn models(&self) -> Vec<ModelName> {
        let view = self.inner.view.borrow();
        let mut models: Vec<ModelName> = view.tenants().map(|(_, tenant)| tenant.model.clone()).collect();
        models.sort();
        models.dedup();
        models
    }

    /// A tenant's parameters.
    pub fn tenant(&self, tenant: &TenantId) -> Option<TenantParameters> {
        self.inner.view.borrow().tenant(tenant).cloned()
    }

    /// The revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.inner.view.borrow().revision()
    }
}
