//! Configuration: one winner for each revision, the first answer for each key, and templates that hold.

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
        other => panic!("a change brought {other:?}"),
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
fn of_two_changes_that_name_the_same_revision_the_first_wins_and_the_other_is_shown_it() {
    let mut state = state_with_template();
    let create = |bound| ConfigurationChange { expected: Some(Revision(0)), ..put(tenant_name(1), tenant(bound)) };
    assert_eq!(change(&mut state, create(3)), ConfigurationOutcome::Accepted(Revision(2)));
    let winner = ObjectState { name: tenant_name(1), revision: Revision(2), value: Some(tenant(3)) };
    assert_eq!(change(&mut state, create(4)), ConfigurationOutcome::RevisionMismatch(winner));
}

#[test]
fn a_resend_gets_its_first_answer_also_after_later_changes() {
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
fn values_outside_the_template_are_refused_and_a_template_that_breaks_a_tenant_names_it() {
    let mut state = state_with_template();
    assert!(matches!(change(&mut state, put(tenant_name(1), tenant(9))), ConfigurationOutcome::Invalid(_)));
    change(&mut state, put(tenant_name(1), tenant(6)));
    let ConfigurationOutcome::Invalid(errors) = change(&mut state, put(template_name(), template(5))) else {
        panic!("a template that breaks a tenant was accepted");
    };
    assert_eq!(errors[0].tenant, Some(TenantId::new("tenant-1")));
    let delete = ConfigurationChange { value: None, ..put(template_name(), template(5)) };
    assert_eq!(change(&mut state, delete), ConfigurationOutcome::InUse(vec![TenantId::new("tenant-1")]));
}

/// A history of changes by operators who name the revision they saw, another one, or none.
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

/// Accepted changes have rising revisions, each names the revision that stood, and no key has two answers.
#[test]
fn histories_of_changes_are_linear() {
    fn holds(edits: Vec<Edit>) -> Result<(), String> {
        let mut state = state_with_template();
        let mut answers: BTreeMap<u8, ConfigurationOutcome> = BTreeMap::new();
        for edit in edits {
            let before = state.configuration.clone();
            let outcome = change(&mut state, change_of(edit));
            if let Some(first) = edit.key.and_then(|key| answers.get(&key)) {
                let resent = outcome == *first || outcome == ConfigurationOutcome::KeyReused;
                if !resent || before != state.configuration {
                    return Err(format!("{edit:?}: answered {first:?}, then {outcome:?}"));
                }
                continue;
            }
            if let ConfigurationOutcome::Accepted(revision) = outcome {
                let stood = before.object(&tenant_name(edit.tenant)).filter(|object| object.value.is_some());
                let stood = stood.map_or(0, |object| object.revision.0);
                let named = edit.expected.is_none_or(|expected| u64::from(expected) == stood);
                if revision != before.revision().next() || !named {
                    return Err(format!("{edit:?}: accepted at {revision} over {stood}"));
                }
            } else if before.revision() != state.configuration.revision() {
                return Err(format!("{edit:?}: refused, yet it changed something"));
            }
            answers.extend(edit.key.map(|key| (key, outcome)));
        }
        Ok(())
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(2_000).quickcheck(holds as fn(Vec<Edit>) -> _);
}

/// A relay that follows by deltas, from any revision on, holds what a relay holds that was sent everything.
#[test]
fn a_delta_from_any_revision_brings_the_whole_configuration() {
    fn holds(edits: Vec<Edit>, known: u8) -> bool {
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
    let property = holds as fn(Vec<Edit>, u8) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(40, 13)).tests(1_000).quickcheck(property);
}

fn objects_of(state: &ControlState) -> BTreeMap<ObjectName, ObjectState> {
    state.configuration.live_objects().map(|object| (object.name.clone(), object.clone())).collect()
}
