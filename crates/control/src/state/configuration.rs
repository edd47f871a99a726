//! Templates and tenants with their revisions.

use bitcode::{Decode, Encode};
use saddlerelay_types::configuration::{
    ConfigurationOutcome, ObjectName, ObjectState, ObjectValue, Template, Tenant, TenantParameters,
};
use saddlerelay_types::identity::{BodyDigest, IdempotencyKey, Revision, TemplateId, TenantId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of tombstones of deleted objects, which are needed to send deletions in deltas.
const MAX_TOMBSTONES: usize = 1024;

/// Maximum number of idempotency keys whose outcomes are stored; the oldest is evicted.
const MAX_STORED_OUTCOMES: usize = 8192;

/// The outcome of a change with an idempotency key, returned again for retries.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoredOutcome {
    /// Digest of the change.
    pub digest: BodyDigest,
    /// Outcome of the first attempt.
    pub outcome: ConfigurationOutcome,
}

/// The versioned configuration.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationStore {
    revision: Revision,
    objects: BTreeMap<ObjectName, ObjectState>,
    by_revision: BTreeMap<Revision, ObjectName>,
    tombstones: VecDeque<ObjectName>,
    /// Highest revision of a dropped tombstone. Deltas from an earlier revision would miss its deletion.
    compacted_revision: Revision,
    outcomes: BTreeMap<IdempotencyKey, StoredOutcome>,
    outcome_order: VecDeque<IdempotencyKey>,
}

impl ConfigurationStore {
    /// The revision of the newest change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Looks up an object, including a deleted one.
    pub fn object(&self, name: &ObjectName) -> Option<&ObjectState> {
        self.objects.get(name)
    }

    /// All objects that are not deleted.
    pub fn live_objects(&self) -> impl Iterator<Item = &ObjectState> {
        self.objects.values().filter(|object| object.value.is_some())
    }

    /// The objects changed after revision `since`, or `None` if a delta is not possible and the whole configuration
    /// must be sent.
    pub fn changed_after(&self, since: Revision) -> Option<Vec<ObjectState>> {
        if since < self.compacted_revision || since > self.revision {
            return None;
        }
        let changed = self.by_revision.range(since.next()..);
        Some(changed.filter_map(|(_, name)| self.objects.get(name)).cloned().collect())
    }

    /// Looks up a template.
    pub fn template(&self, id: &TemplateId) -> Option<&Template> {
        match self.objects.get(&ObjectName::Template(id.clone()))?.value.as_ref()? {
            ObjectValue::Template(template) => Some(template),
            ObjectValue::Tenant(_) => None,
        }
    }

    /// All tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (&TenantId, &Tenant)> {
        self.objects.iter().filter_map(|(name, state)| match (name, state.value.as_ref()?) {
            (ObjectName::Tenant(id), ObjectValue::Tenant(tenant)) => Some((id, tenant)),
            _ => None,
        })
    }

    /// A tenant's parameters, resolved with its template.
    pub fn parameters(&self, id: &TenantId) -> Option<TenantParameters> {
        match self.objects.get(&ObjectName::Tenant(id.clone()))?.value.as_ref()? {
            ObjectValue::Tenant(tenant) => {
                let template = self.template(&tenant.template)?;
                Some(TenantParameters::resolve(template, tenant))
            }
            ObjectValue::Template(_) => None,
        }
    }

    /// Writes or deletes an object at the next revision.
    pub fn write(&mut self, name: ObjectName, value: Option<ObjectValue>) -> Revision {
        self.revision = self.revision.next();
        if let Some(before) = self.objects.get(&name) {
            self.by_revision.remove(&before.revision);
        }
        if value.is_none() {
            self.tombstones.push_back(name.clone());
        }
        self.by_revision.insert(self.revision, name.clone());
        let state = ObjectState { name: name.clone(), revision: self.revision, value };
        self.objects.insert(name, state);
        self.compact_tombstones();
        self.revision
    }

    fn compact_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(name) = self.tombstones.pop_front() else {
                return;
            };
            let deleted = self.objects.get(&name).filter(|state| state.value.is_none()).map(|state| state.revision);
            if let Some(revision) = deleted {
                self.objects.remove(&name);
                self.by_revision.remove(&revision);
                self.compacted_revision = self.compacted_revision.max(revision);
            }
        }
    }

    /// The stored outcome of the change with this idempotency key.
    pub fn stored_outcome(&self, key: &IdempotencyKey) -> Option<&StoredOutcome> {
        self.outcomes.get(key)
    }

    /// Stores the outcome of the change with this idempotency key.
    pub fn store_outcome(&mut self, key: IdempotencyKey, outcome: StoredOutcome) {
        self.outcomes.insert(key.clone(), outcome);
        self.outcome_order.push_back(key);
        while self.outcome_order.len() > MAX_STORED_OUTCOMES {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
