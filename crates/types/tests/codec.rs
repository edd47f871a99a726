//! Codec of the internal protocol: messages round-trip, and malformed bytes never cause a panic.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_types::claim::{ClaimKey, ClaimRequest, ClaimResult};
use saddlerelay_types::configuration::{
    ConfigurationChange, ObjectName, ObjectValue, ParameterName, ParameterRule, ParameterValue, Template, Tenant,
};
use saddlerelay_types::identity::{
    Attempt, BodyDigest, CallerId, IdempotencyKey, Incarnation, Position, Revision, StepNumber, TemplateId, TenantId,
    WeightVersion,
};
use saddlerelay_types::protocol::{ClaimCommand, Command, ControlReply, ControlRequest, LogCommand, RolloutCommand};
use saddlerelay_types::request::{ExecutionOutcome, FailureCode, Generation, Repeatability, RequestFailure};
use saddlerelay_types::rollout::{SampleId, SamplePayload, StepRequest};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Request(ControlRequest);

fn generation(generator: &mut Gen) -> Generation {
    let mut generation = Generation::empty();
    for _ in 0..u8::arbitrary(generator) % 4 {
        let version = WeightVersion(u64::arbitrary(generator));
        generation.extend(&Vec::<u32>::arbitrary(generator), &String::arbitrary(generator), version);
    }
    generation
}

fn claim(generator: &mut Gen) -> ClaimCommand {
    let key = ClaimKey {
        tenant: TenantId::new(String::arbitrary(generator)),
        caller: CallerId::new(String::arbitrary(generator)),
        key: IdempotencyKey::new(String::arbitrary(generator)),
    };
    let request = ClaimRequest {
        key: key.clone(),
        digest: BodyDigest::of(&Vec::<u8>::arbitrary(generator)),
        expires_at: u64::arbitrary(generator),
        holder: Incarnation(u64::arbitrary(generator)),
        arrival: u64::arbitrary(generator),
        repeatability: Repeatability::NotRepeatable,
    };
    let failure = RequestFailure::new(ExecutionOutcome::Unknown, FailureCode::EngineFailed, "lost", 7);
    match u8::arbitrary(generator) % 4 {
        0 => ClaimCommand::Acquire(request),
        1 => ClaimCommand::Seal(request),
        2 => ClaimCommand::Finish { key, arrival: 3, result: ClaimResult::Answered(generation(generator)) },
        _ => ClaimCommand::Finish { key, arrival: 3, result: ClaimResult::Failed(failure) },
    }
}

fn change(generator: &mut Gen) -> ConfigurationChange {
    let rule = ParameterRule::Integer { minimum: i64::arbitrary(generator), maximum: 9, default: 1 };
    let values = BTreeMap::from([
        (ParameterName::StalenessBound, ParameterValue::Integer(i64::arbitrary(generator))),
        (ParameterName::Model, ParameterValue::Text(String::arbitrary(generator))),
    ]);
    let value = match u8::arbitrary(generator) % 3 {
        0 => None,
        1 => Some(ObjectValue::Template(Template {
            parameters: BTreeMap::from([(ParameterName::StalenessBound, rule)]),
        })),
        _ => Some(ObjectValue::Tenant(Tenant { template: TemplateId::new("team"), values })),
    };
    ConfigurationChange {
        name: ObjectName::Tenant(TenantId::new(String::arbitrary(generator))),
        value,
        expected: Option::<u64>::arbitrary(generator).map(Revision),
        idempotency_key: Option::<String>::arbitrary(generator).map(IdempotencyKey),
    }
}

fn rollout(generator: &mut Gen) -> RolloutCommand {
    let tenant = TenantId::new(String::arbitrary(generator));
    let incarnation = Incarnation(u64::arbitrary(generator));
    match u8::arbitrary(generator) % 3 {
        0 => {
            let prompts = Vec::arbitrary(generator);
            let request = StepRequest { step: StepNumber(1), prompts, group_size: 4, max_tokens: 9 };
            RolloutCommand::OpenStep { tenant, incarnation, request }
        }
        1 => RolloutCommand::Fetch { tenant, incarnation, cursor: Position(u64::arbitrary(generator)), limit: 5 },
        _ => RolloutCommand::Complete {
            sample: SampleId { tenant, step: StepNumber(2), prompt: 3, member: 4 },
            attempt: Attempt(u64::arbitrary(generator)),
            payload: SamplePayload { generation: generation(generator), reward_milli: i64::arbitrary(generator) },
        },
    }
}

impl Arbitrary for Request {
    fn arbitrary(generator: &mut Gen) -> Self {
        let command = match u8::arbitrary(generator) % 3 {
            0 => Command::Claim(claim(generator)),
            1 => Command::Configuration(change(generator)),
            _ => Command::Rollout(rollout(generator)),
        };
        Self(ControlRequest::Execute(command))
    }
}

fn check<T: quickcheck::Testable>(property: T) {
    QuickCheck::new().rng(Gen::from_size_and_seed(24, 29)).tests(2_000).quickcheck(property);
}

#[test]
fn messages_round_trip() {
    fn holds(request: Request) -> bool {
        bitcode::decode(&bitcode::encode(&request.0)).is_ok_and(|read: ControlRequest| read == request.0)
    }
    check(holds as fn(Request) -> bool);
}

#[test]
fn truncated_or_corrupted_messages_never_panic() {
    fn holds(request: Request, cut: usize, position: usize, change: u8) -> bool {
        let mut bytes = bitcode::encode(&request.0);
        let position = position % bytes.len();
        bytes[position] ^= change;
        bytes.truncate(cut % (bytes.len() + 1));
        // Decoding may succeed or fail, but must not panic.
        let _ = bitcode::decode::<ControlRequest>(&bytes);
        let _ = bitcode::decode::<ControlReply>(&bytes);
        true
    }
    check(holds as fn(Request, usize, usize, u8) -> bool);
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        let _ = bitcode::decode::<ControlRequest>(&bytes);
        let _ = bitcode::decode::<LogCommand>(&bytes);
        true
    }
    check(holds as fn(Vec<u8>) -> bool);
}
