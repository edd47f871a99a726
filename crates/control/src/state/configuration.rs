//! Templates and tenants with their revisions.

use bitcode::{Decode, Encode};
use saddlerelay_types::configuration::{
    ConfigurationOutcome, ObjectName, ObjectState, ObjectValue, Template, Tenant, TenantParameters,
};
use saddlerelay_types::identity::{BodyDigest, IdempotencyKey, Revision, TemplateId, TenantId};
use std::collections::{BTreeMap, VecDeque};

/// Deleted objects remembered, so that relays can be told by delta.
const TOMBSTONES_KEPT: usize = 1024;

/// Answers remembered for resends: more than a day's changes at the size planned for.
const ANSWERS_KEPT: usize = 8192;

/// The first answer to a keyed change.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoredAnswer {
    /// Digest of the change.
    pub digest: BodyDigest,
    /// Its outcome.
    pub outcome: ConfigurationOutcome,
}

/// The configuration.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationStore {
    revision: Revision,
    objects: BTreeMap<ObjectName, ObjectState>,
    by_revision: BTreeMap<Revision, ObjectName>,
    tombstones: VecDeque<ObjectName>,
    /// Deltas from before this revision would miss a forgotten deletion.
    deltas_from: Revision,
    answers: BTreeMap<IdempotencyKey, StoredAnswer>,
    answer_order: VecDeque<IdempotencyKey>,
}

impl ConfigurationStore {
    /// The revision of the newest change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The object, also when deleted.
    pub fn object(&self, name: &ObjectName) -> Option<&ObjectState> {
        self.objects.get(name)
    }

    /// Every object that is not deleted.
    pub fn live_objects(&self) -> impl Iterator<Item = &ObjectState> {
        self.objects.values().filter(|object| object.value.is_some())
    }

    /// The objects changed after `known`, or `None` when only the whole configuration will do.
    pub fn changed_after(&self, known: Revision) -> Option<Vec<ObjectState>> {
        if known < self.deltas_from || known > self.revision {
            return None;
        }
        let changed = self.by_revision.range(known.next()..);
        Some(changed.filter_map(|(_, name)| self.objects.get(name)).cloned().collect())
    }

    /// A template.
    pub fn template(&self, id: &TemplateId) -> Option<&Template> {
        match self.objects.get(&ObjectName::Template(id.clone()))?.value.as_ref()? {
            ObjectValue::Template(template) => Some(template),
            ObjectValue::Tenant(_) => None,
        }
    }

    /// Every tenant.
    pub fn tenants(&self) -> impl Iterator<Item = (&TenantId, &Tenant)> {
        self.objects.iter().filter_map(|(name, state)| match (name, state.value.as_ref()?) {
            (ObjectName::Tenant(id), ObjectValue::Tenant(tenant)) => Some((id, tenant)),
            _ => None,
        })
    }

    /// A tenant's parameters.
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
        self.forget_tombstones();
        self.revision
    }

    fn forget_tombstones(&mut self) {
        while self.tombstones.len() > TOMBSTONES_KEPT {
            let Some(name) = self.tombstones.pop_front() else {
                return;
            };
            let deleted = self.objects.get(&name).filter(|state| state.value.is_none()).map(|state| state.revision);
            if let Some(revision) = deleted {
                self.objects.remove(&name);
                self.by_revision.remove(&revision);
                self.deltas_from = self.deltas_from.max(revision);
            }
        }
    }

    /// The first answer given under `key`.
    pub fn answer(&self, key: &IdempotencyKey) -> Option<&StoredAnswer> {
        self.answers.get(key)
    }

    /// Remembers the first answer given under `key`.
    pub fn remember_answer(&mut self, key: IdempotencyKey, answer: StoredAnswer) {
        self.answers.insert(key.clone(), answer);
        self.answer_order.push_back(key);
        while self.answer_order.len() > ANSWERS_KEPT {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }
}
