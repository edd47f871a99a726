//! The relay's copy of configuration, engine list and target versions, and the lease under which it may be used.

use saddlerelay_types::configuration::{
    ConfigurationUpdate, ObjectName, ObjectState, ObjectValue, Template, TenantParameters,
};
use saddlerelay_types::engine::WeightState;
use saddlerelay_types::identity::{EngineId, ModelName, Revision, TemplateId, TenantId, WeightVersion};
use saddlerelay_types::membership::{EngineAvailability, EngineRecord};
use saddlerelay_types::protocol::{ModelTarget, RenewReply};
use std::collections::BTreeMap;
use std::time::Duration;

/// The view; without a lease until the first renewal.
#[derive(Debug, Default)]
pub struct View {
    revision: Revision,
    objects: BTreeMap<ObjectName, ObjectState>,
    tenants: BTreeMap<TenantId, TenantParameters>,
    engine_revision: u64,
    engines: BTreeMap<EngineId, EngineRecord>,
    targets: BTreeMap<ModelName, WeightVersion>,
    relay_count: u32,
    lease_until: Duration,
}

impl View {
    /// The configuration revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The revision of the engine list.
    pub fn engine_revision(&self) -> u64 {
        self.engine_revision
    }

    /// The target weight version of each model, ordered by model as in the control group's replies.
    pub fn targets(&self) -> Vec<ModelTarget> {
        let target =
            |(model, version): (&ModelName, &WeightVersion)| ModelTarget { model: model.clone(), version: *version };
        self.targets.iter().map(target).collect()
    }

    /// Whether the lease is valid at `now`.
    pub fn is_leased(&self, now: Duration) -> bool {
        now < self.lease_until
    }

    /// Ends the lease and requests the full engine list with the next renewal.
    pub fn end_lease(&mut self) {
        self.lease_until = Duration::ZERO;
        self.engine_revision = 0;
    }

    /// A tenant's parameters.
    pub fn tenant(&self, id: &TenantId) -> Option<&TenantParameters> {
        self.tenants.get(id)
    }

    /// All tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (&TenantId, &TenantParameters)> {
        self.tenants.iter()
    }

    /// Available engines of `model` with the weight version that each has confirmed.
    pub fn ready_engines(&self, model: &ModelName) -> impl Iterator<Item = (&EngineRecord, WeightVersion)> {
        self.engines.values().filter_map(move |engine| match engine.weights {
            WeightState::Confirmed(version)
                if engine.availability == EngineAvailability::Available && engine.description.model == *model =>
            {
                Some((engine, version))
            }
            _ => None,
        })
    }

    /// Whether an engine is available and has a confirmed weight version.
    pub fn is_ready(&self, id: &EngineId) -> bool {
        self.engines.get(id).is_some_and(|engine| {
            engine.availability == EngineAvailability::Available && matches!(engine.weights, WeightState::Confirmed(_))
        })
    }

    /// The incarnation of an engine if it is ready.
    pub fn ready_incarnation(&self, id: &EngineId) -> Option<u64> {
        self.engines.get(id).filter(|_| self.is_ready(id)).map(|engine| engine.incarnation)
    }

    /// The oldest weight version that the tenant's trainer can use: the target version minus the staleness bound.
    pub fn oldest_useful_version(&self, tenant: &TenantId) -> WeightVersion {
        let Some(parameters) = self.tenants.get(tenant) else {
            return WeightVersion(0);
        };
        let target = self.targets.get(&parameters.model).copied().unwrap_or_default();
        WeightVersion(target.0.saturating_sub(parameters.staleness_bound))
    }

    /// Number of relays that share the engines, including this one.
    pub fn relay_count(&self) -> u32 {
        self.relay_count.max(1)
    }

    /// The configuration with `update` applied. `None` if the update is older than the current revision.
    pub fn updated_objects(&self, update: &ConfigurationUpdate) -> Option<BTreeMap<ObjectName, ObjectState>> {
        if update.revision < self.revision {
            return None;
        }
        let mut objects = if update.whole { BTreeMap::new() } else { self.objects.clone() };
        for object in &update.objects {
            match object.value {
                Some(_) => objects.insert(object.name.clone(), object.clone()),
                None => objects.remove(&object.name),
            };
        }
        Some(objects)
    }

    /// Replaces the configuration; it must have been stored before.
    pub fn set_configuration(&mut self, revision: Revision, objects: BTreeMap<ObjectName, ObjectState>) {
        self.revision = revision;
        self.tenants = resolve_tenants(&objects);
        self.objects = objects;
    }

    /// Applies a renewal's engine list and targets, and extends the lease from `sent_at`.
    pub fn renew(&mut self, reply: RenewReply, sent_at: Duration) {
        if reply.engine_revision >= self.engine_revision {
            self.engine_revision = reply.engine_revision;
            for engine in reply.engines {
                self.engines.insert(engine.description.id.clone(), engine);
            }
        }
        self.targets = reply.targets.into_iter().map(|ModelTarget { model, version }| (model, version)).collect();
        self.relay_count = reply.relay_count;
        let lease = Duration::from_millis(reply.lease_milliseconds);
        self.lease_until = self.lease_until.max(sent_at + lease);
    }
}

fn resolve_tenants(objects: &BTreeMap<ObjectName, ObjectState>) -> BTreeMap<TenantId, TenantParameters> {
    let template = |id: &TemplateId| -> Option<&Template> {
        match objects.get(&ObjectName::Template(id.clone()))?.value.as_ref()? {
            ObjectValue::Template(template) => Some(template),
            ObjectValue::Tenant(_) => None,
        }
    };
    let tenants = objects.iter().filter_map(|(name, state)| match (name, state.value.as_ref()?) {
        (ObjectName::Tenant(id), ObjectValue::Tenant(tenant)) => {
            let parameters = TenantParameters::resolve(template(&tenant.template)?, tenant);
            Some((id.clone(), parameters))
        }
        _ => None,
    });
    tenants.collect()
}
