//! Configuration changes by operators.

use crate::state::ControlState;
use crate::state::configuration::{ConfigurationStore, StoredOutcome};
use saddlerelay_types::configuration::{
    ConfigurationChange, ConfigurationOutcome, ObjectName, ObjectState, ObjectValue, ParameterError, Template, Tenant,
};
use saddlerelay_types::identity::{BodyDigest, Revision, TemplateId};

/// Applies a change. A retry with the same idempotency key returns the stored outcome.
pub fn apply(state: &mut ControlState, change: ConfigurationChange) -> ConfigurationOutcome {
    let digest = digest(&change);
    let key = change.idempotency_key.clone();
    if let Some(stored) = key.as_ref().and_then(|key| state.configuration.stored_outcome(key)) {
        let is_retry = stored.digest == digest;
        return if is_retry { stored.outcome.clone() } else { ConfigurationOutcome::KeyReused };
    }
    let outcome = write_if_valid(&mut state.configuration, change);
    if let Some(key) = key {
        state.configuration.store_outcome(key, StoredOutcome { digest, outcome: outcome.clone() });
    }
    if matches!(outcome, ConfigurationOutcome::Accepted(_)) {
        update_staleness_bounds(state);
    }
    outcome
}

fn digest(change: &ConfigurationChange) -> BodyDigest {
    let unkeyed = ConfigurationChange { idempotency_key: None, ..change.clone() };
    BodyDigest::of(&bitcode::encode(&unkeyed))
}

fn write_if_valid(store: &mut ConfigurationStore, change: ConfigurationChange) -> ConfigurationOutcome {
    if let Some(mismatch) = revision_mismatch(store, &change) {
        return ConfigurationOutcome::RevisionMismatch(mismatch);
    }
    let rejection = match (&change.name, &change.value) {
        (ObjectName::Template(id), Some(ObjectValue::Template(template))) => template_rejection(store, id, template),
        (ObjectName::Template(id), None) => template_deletion_rejection(store, id),
        (ObjectName::Tenant(_), Some(ObjectValue::Tenant(tenant))) => tenant_rejection(store, tenant),
        (ObjectName::Tenant(_), None) => None,
        _ => Some(ConfigurationOutcome::NotFound(change.name.clone())),
    };
    let exists = store.object(&change.name).is_some_and(|object| object.value.is_some());
    match rejection {
        Some(rejection) => rejection,
        None if change.value.is_none() && !exists => ConfigurationOutcome::NotFound(change.name),
        None => ConfigurationOutcome::Accepted(store.write(change.name, change.value)),
    }
}

/// The current object, if its revision differs from the expected one. Absent and deleted objects have revision 0.
fn revision_mismatch(store: &ConfigurationStore, change: &ConfigurationChange) -> Option<ObjectState> {
    let expected = change.expected?;
    let absent = || ObjectState { name: change.name.clone(), revision: Revision(0), value: None };
    let current = store.object(&change.name).cloned().unwrap_or_else(absent);
    let current_revision = if current.value.is_some() { current.revision } else { Revision(0) };
    (current_revision != expected).then_some(current)
}

fn template_rejection(
    store: &ConfigurationStore,
    id: &TemplateId,
    template: &Template,
) -> Option<ConfigurationOutcome> {
    let mut errors = template.errors();
    for (tenant_id, tenant) in store.tenants().filter(|(_, tenant)| tenant.template == *id) {
        let tenant_errors = template.tenant_errors(tenant).into_iter();
        errors.extend(tenant_errors.map(|error| ParameterError { tenant: Some(tenant_id.clone()), ..error }));
    }
    (!errors.is_empty()).then_some(ConfigurationOutcome::Invalid(errors))
}

fn template_deletion_rejection(store: &ConfigurationStore, id: &TemplateId) -> Option<ConfigurationOutcome> {
    let users = store.tenants().filter(|(_, tenant)| tenant.template == *id);
    let users: Vec<_> = users.map(|(tenant_id, _)| tenant_id.clone()).collect();
    (!users.is_empty()).then_some(ConfigurationOutcome::InUse(users))
}

fn tenant_rejection(store: &ConfigurationStore, tenant: &Tenant) -> Option<ConfigurationOutcome> {
    let Some(template) = store.template(&tenant.template) else {
        return Some(ConfigurationOutcome::NotFound(ObjectName::Template(tenant.template.clone())));
    };
    let errors = template.tenant_errors(tenant);
    (!errors.is_empty()).then_some(ConfigurationOutcome::Invalid(errors))
}

/// Copies changed staleness bounds to the trainers, and drops trainers of deleted tenants. After a bound is tightened,
/// the delivery positions assigned under the old bound are withdrawn at the trainer's next fetch, after its cursor has
/// acknowledged the samples that it has received.
fn update_staleness_bounds(state: &mut ControlState) {
    let configuration = &state.configuration;
    state.rollouts.trainers.retain(|tenant, trainer| {
        let Some(parameters) = configuration.parameters(tenant) else {
            return false;
        };
        trainer.withdrawal_due |= parameters.staleness_bound < trainer.staleness_bound;
        trainer.staleness_bound = parameters.staleness_bound;
        true
    });
}
