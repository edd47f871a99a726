//! Configuration: optimistic concurrency by revision, idempotency keys, and validation against templates.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::commands;
use saddlerelay_control::queries::configuration::update_after;
use saddlerelay_control::state::ControlState;
use saddlerelay_types::configuration::{
    ConfigurationChange, ConfigurationOutcome, ObjectName, ObjectState, ObjectValue, ParameterName, ParameterRule,
    ParameterValue, Template, Tenant,
};
use saddlerelay_types::identity::{IdempotencyKey, Revision, TemplateId, TenantId};
use saddlerelay_types::protocol::{Command, CommandOutcome, LogCommand};
use std::collections::BTreeMap;

fn change(state: &mut ControlState, change: ConfigurationChange) -> ConfigurationOutcome {
    match commands::apply(state, LogCommand { time: 1, command: Command::Configuration(change) }) {
        CommandOutcome::Configuration(outcome) => outcome,
        other => panic!("unexpected outcome of a configuration change: {other:?}"),
    }
}

fn template(maximum: i64) -> ObjectValue {
    let rule = ParameterRule::Integer { minimum: 0, maximum, default: 1 };
    ObjectValue::Template(Template { parameters: BTreeMap::from([(ParameterName::StalenessBound, rule)]) })
}

fn tenant(bound: i64) -> ObjectValue {
    let values = BTreeMap::from([(ParameterName::StalenessBound, ParameterValue::Integer(bound))]);
    ObjectValue::Tenant(Tenant { template: TemplateId::new("team"), values })
}

fn template_name() -> ObjectName {
    ObjectName::Template(TemplateId::new("team"))
}

fn tenant_name(id: u8) -> ObjectName {
    ObjectName::Tenant(TenantId::new(format!("tenant-{id}")))
}

fn put(name: ObjectName, value: ObjectValue) -> ConfigurationChange {
    ConfigurationChange { name, value: Some(value), expected: None, idempotency_key: None }
}

fn state_with_template() -> ControlState {
    let mut state = ControlState::default();
    assert_eq!(change(&mut state, put(template_name(), template(8))), ConfigurationOutcome::Accepted(Revision(1)));
    state
}

#[test]
fn of_two_changes_with_the_same_expected_revision_the_second_is_rejected_with_the_current_object() {
    let mut state = state_with_template();
    let create = |bound| ConfigurationChange { expected: Some(Revision(0)), ..put(tenant_name(1), tenant(bound)) };
    assert_eq!(change(&mut state, create(3)), ConfigurationOutcome::Accepted(Revision(2)));
    let current = ObjectState { name: tenant_name(1), revision: Revision(2), value: Some(tenant(3)) };
    assert_eq!(change(&mut state, create(4)), ConfigurationOutcome::RevisionMismatch(current));
}

#[test]
fn retry_returns_the_stored_outcome_after_later_changes() {
    let mut state = state_with_template();
    let keyed = ConfigurationChange {
        expected: Some(Revision(0)),
        idempotency_key: Some(IdempotencyKey::new("first")),
        ..put(tenant_name(1), tenant(3))
    };
    let first = change(&mut state, keyed.clone());
    change(&mut state, put(tenant_name(1), tenant(4)));
    assert_eq!(change(&mut state, keyed.clone()), first);
    assert_eq!(state.configuration.revision(), Revision(3));
    let other = ConfigurationChange { value: Some(tenant(5)), ..keyed };
    assert_eq!(change(&mut state, other), ConfigurationOutcome::KeyReused);
}

#[test]
fn values_outside_the_template_and_templates_that_invalidate_a_tenant_are_rejected() {
    let mut state = state_with_template();
    assert!(matches!(change(&mut state, put(tenant_name(1), tenant(9))), ConfigurationOutcome::Invalid(_)));
    change(&mut state, put(tenant_name(1), tenant(6)));
    let ConfigurationOutcome::Invalid(errors) = change(&mut state, put(template_name(), template(5))) else {
        panic!("a template that invalidates a tenant was accepted");
    };
    assert_eq!(errors[0].tenant, Some(TenantId::new("tenant-1")));
    let delete = ConfigurationChange { value: None, ..put(template_name(), template(5)) };
    assert_eq!(change(&mut state, delete), ConfigurationOutcome::InUse(vec![TenantId::new("tenant-1")]));
}

/// A random change of a tenant, with the current, another or no expected revision, and with or without an idempotency
/// key.
#[derive(Clone, Copy, Debug)]
struct Edit {
    tenant: u8,
    delete: bool,
    expected: Option<u8>,
    key: Option<u8>,
}

impl Arbitrary for Edit {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            tenant: u8::arbitrary(generator) % 4,
            delete: u8::arbitrary(generator).is_multiple_of(5),
            expected: Option::<u8>::arbitrary(generator).map(|revision| revision % 30),
            key: Option::<u8>::arbitrary(generator).map(|key| key % 6),
        }
    }
}

fn change_of(edit: Edit) -> ConfigurationChange {
    ConfigurationChange {
        name: tenant_name(edit.tenant),
        value: (!edit.delete).then(|| tenant(i64::from(edit.tenant))),
        expected: edit.expected.map(|revision| Revision(revision.into())),
        idempotency_key: edit.key.map(|key| IdempotencyKey::new(format!("key-{key}"))),
    }
}

/// Accepted changes have ascending revisions and match the current revision, and a key never has two outcomes.
#[test]
fn accepted_changes_are_linear() {
    fn check(edits: Vec<Edit>) -> Result<(), String> {
        let mut state = state_with_template();
        let mut outcomes: BTreeMap<u8, ConfigurationOutcome> = BTreeMap::new();
        for edit in edits {
            let before = state.configuration.clone();
            let outcome = change(&mut state, change_of(edit));
            if let Some(first) = edit.key.and_then(|key| outcomes.get(&key)) {
                let is_consistent = outcome == *first || outcome == ConfigurationOutcome::KeyReused;
                if !is_consistent || before != state.configuration {
                    return Err(format!("{edit:?}: first outcome {first:?}, then {outcome:?}"));
                }
                continue;
            }
            if let ConfigurationOutcome::Accepted(revision) = outcome {
                let current = before.object(&tenant_name(edit.tenant)).filter(|object| object.value.is_some());
                let current = current.map_or(0, |object| object.revision.0);
                let matches = edit.expected.is_none_or(|expected| u64::from(expected) == current);
                if revision != before.revision().next() || !matches {
                    return Err(format!("{edit:?}: accepted at {revision} over revision {current}"));
                }
            } else if before.revision() != state.configuration.revision() {
                return Err(format!("{edit:?}: rejected, but the revision changed"));
            }
            outcomes.extend(edit.key.map(|key| (key, outcome)));
        }
        Ok(())
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(2_000).quickcheck(check as fn(Vec<Edit>) -> _);
}

/// Applying the update after any known revision leads to the current configuration.
#[test]
fn update_after_any_revision_leads_to_the_current_configuration() {
    fn check(edits: Vec<Edit>, known: u8) -> bool {
        let mut state = state_with_template();
        let mut known_objects = BTreeMap::new();
        let known = Revision(u64::from(known) % (edits.len() as u64 + 1));
        for edit in edits {
            if state.configuration.revision() == known {
                known_objects = objects_of(&state);
            }
            change(&mut state, change_of(edit));
        }
        if state.configuration.revision() == known {
            known_objects = objects_of(&state);
        }
        let update = update_after(&state.configuration, known);
        let mut objects = if update.whole { BTreeMap::new() } else { known_objects };
        for object in update.objects {
            objects.insert(object.name.clone(), object);
        }
        objects.retain(|_, object| object.value.is_some());
        update.revision == state.configuration.revision() && objects == objects_of(&state)
    }
    let property = check as fn(Vec<Edit>, u8) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(40, 13)).tests(1_000).quickcheck(property);
}

fn objects_of(state: &ControlState) -> BTreeMap<ObjectName, ObjectState> {
    state.configuration.live_objects().map(|object| (object.name.clone(), object.clone())).collect()
}
