//! Operators' changes.

use crate::state::ControlState;
use crate::state::configuration::{ConfigurationStore, StoredAnswer};
use saddlerelay_types::configuration::{
    ConfigurationChange, ConfigurationOutcome, ObjectName, ObjectState, ObjectValue, ParameterError, Template, Tenant,
};
use saddlerelay_types::identity::{BodyDigest, Revision, TemplateId};

/// Applies a change, or gives the first answer again to a resend.
pub fn apply(state: &mut ControlState, change: ConfigurationChange) -> ConfigurationOutcome {
    let digest = digest(&change);
    let key = change.idempotency_key.clone();
    if let Some(answer) = key.as_ref().and_then(|key| state.configuration.answer(key)) {
        let same = answer.digest == digest;
        return if same { answer.outcome.clone() } else { ConfigurationOutcome::KeyReused };
    }
    let outcome = decide(&mut state.configuration, change);
    if let Some(key) = key {
        state.configuration.remember_answer(key, StoredAnswer { digest, outcome: outcome.clone() });
    }
    if matches!(outcome, ConfigurationOutcome::Accepted(_)) {
        follow_staleness_bounds(state);
    }
    outcome
}

fn digest(change: &ConfigurationChange) -> BodyDigest {
    let unkeyed = ConfigurationChange { idempotency_key: None, ..change.clone() };
    BodyDigest::of(&bitcode::encode(&unkeyed))
}

fn decide(store: &mut ConfigurationStore, change: ConfigurationChange) -> ConfigurationOutcome {
    if let Some(mismatch) = revision_mismatch(store, &change) {
        return ConfigurationOutcome::RevisionMismatch(mismatch);
    }
    let refusal = match (&change.name, &change.value) {
        (ObjectName::Template(id), Some(ObjectValue::Template(template))) => template_refusal(store, id, template),
        (ObjectName::Template(id), None) => template_deletion_refusal(store, id),
        (ObjectName::Tenant(_), Some(ObjectValue::Tenant(tenant))) => tenant_refusal(store, tenant),
        (ObjectName::Tenant(_), None) => None,
        _ => Some(ConfigurationOutcome::NotFound(change.name.clone())),
    };
    let exists = store.object(&change.name).is_some_and(|object| object.value.is_some());
    match refusal {
        Some(refusal) => refusal,
        None if change.value.is_none() && !exists => ConfigurationOutcome::NotFound(change.name),
        None => ConfigurationOutcome::Accepted(store.write(change.name, change.value)),
    }
}

/// The object as it is, when it is not at the revision that the operator saw.
fn revision_mismatch(store: &ConfigurationStore, change: &ConfigurationChange) -> Option<ObjectState> {
    let expected = change.expected?;
    let absent = || ObjectState { name: change.name.clone(), revision: Revision(0), value: None };
    let current = store.object(&change.name).cloned().unwrap_or_else(absent);
    let seen = if current.value.is_some() { current.revision } else { Revision(0) };
    (seen != expected).then_some(current)
}

fn template_refusal(store: &ConfigurationStore, id: &TemplateId, template: &Template) -> Option<ConfigurationOutcome> {
    let mut errors = template.errors();
    for (tenant_id, tenant) in store.tenants().filter(|(_, tenant)| tenant.template == *id) {
        let broken = template.tenant_errors(tenant).into_iter();
        errors.extend(broken.map(|error| ParameterError { tenant: Some(tenant_id.clone()), ..error }));
    }
    (!errors.is_empty()).then_some(ConfigurationOutcome::Invalid(errors))
}

fn template_deletion_refusal(store: &ConfigurationStore, id: &TemplateId) -> Option<ConfigurationOutcome> {
    let users = store.tenants().filter(|(_, tenant)| tenant.template == *id);
    let users: Vec<_> = users.map(|(tenant_id, _)| tenant_id.clone()).collect();
    (!users.is_empty()).then_some(ConfigurationOutcome::InUse(users))
}

fn tenant_refusal(store: &ConfigurationStore, tenant: &Tenant) -> Option<ConfigurationOutcome> {
    let Some(template) = store.template(&tenant.template) else {
        return Some(ConfigurationOutcome::NotFound(ObjectName::Template(tenant.template.clone())));
    };
    let errors = template.tenant_errors(tenant);
    (!errors.is_empty()).then_some(ConfigurationOutcome::Invalid(errors))
}

/// Samples placed under a looser bound are decided again at the trainer's next fetch: only its cursor tells which of
/// them it has received. A deleted tenant's trainer is dropped.
fn follow_staleness_bounds(state: &mut ControlState) {
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
