//! Claims: a key is granted at most once unless repeatable, and sealed only if the request has not run.

mod common;

use common::{NOW, add_relay, declare_relay_lost};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::commands;
use saddlerelay_control::state::ControlState;
use saddlerelay_control::state::claims::MAX_KEY_LIFETIME_MILLISECONDS;
use saddlerelay_types::claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimResult};
use saddlerelay_types::identity::{BodyDigest, CallerId, IdempotencyKey, Incarnation, TenantId};
use saddlerelay_types::protocol::{ClaimCommand, Command, CommandOutcome, LogCommand};
use saddlerelay_types::request::{Generation, Repeatability};

const EXPIRY: u64 = NOW + 600_000;

fn claim(state: &mut ControlState, time: u64, command: ClaimCommand) -> ClaimOutcome {
    match commands::apply(state, LogCommand { time, command: Command::Claim(command) }) {
        CommandOutcome::Claim(outcome) => outcome,
        other => panic!("unexpected outcome of a claim command: {other:?}"),
    }
}

fn state_with_relays() -> ControlState {
    let mut state = ControlState::default();
    add_relay(&mut state, 1);
    add_relay(&mut state, 2);
    state
}

fn request(holder: u64, arrival: u64, repeatability: Repeatability) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey {
            tenant: TenantId::new("prices"),
            caller: CallerId::new("tellers"),
            key: IdempotencyKey::new("redemption-1"),
        },
        digest: BodyDigest::of(b"price of fund 7"),
        expires_at: EXPIRY,
        holder: Incarnation(holder),
        arrival,
        repeatability,
    }
}

fn non_repeatable(holder: u64, arrival: u64) -> ClaimRequest {
    request(holder, arrival, Repeatability::NotRepeatable)
}

#[test]
fn duplicate_acquire_is_granted_and_another_arrival_is_rejected() {
    let mut state = state_with_relays();
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10))), ClaimOutcome::Granted);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10))), ClaimOutcome::Granted);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(2, 11))), ClaimOutcome::Running);
}

#[test]
fn lost_relay_cannot_acquire_a_claim() {
    let mut state = state_with_relays();
    declare_relay_lost(&mut state, 1);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10))), ClaimOutcome::HolderFenced);
}

#[test]
fn non_repeatable_request_is_not_granted_again_after_its_holder_is_lost() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10)));
    declare_relay_lost(&mut state, 1);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(2, 11))), ClaimOutcome::Lost);
}

#[test]
fn sealed_key_is_not_granted() {
    let mut state = state_with_relays();
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Seal(non_repeatable(1, 10))), ClaimOutcome::Sealed);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(2, 11))), ClaimOutcome::Sealed);
}

#[test]
fn claim_held_by_another_arrival_cannot_be_sealed() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10)));
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Seal(non_repeatable(2, 11))), ClaimOutcome::Running);
}

/// A repeatable request may have run on a lost relay. The retry that was granted the claim must not seal the key.
#[test]
fn key_with_an_earlier_grant_is_not_sealed() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(request(1, 10, Repeatability::Repeatable)));
    declare_relay_lost(&mut state, 1);
    let retry = request(2, 11, Repeatability::Repeatable);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(retry.clone())), ClaimOutcome::Granted);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Seal(retry)), ClaimOutcome::Lost);
}

#[test]
fn retry_returns_the_stored_result() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10)));
    let result = ClaimResult::Answered(Generation::empty());
    let finish = ClaimCommand::Finish { key: non_repeatable(1, 10).key, arrival: 10, result: result.clone() };
    claim(&mut state, NOW, finish);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(2, 11))), ClaimOutcome::Finished(result));
}

#[test]
fn different_digest_under_the_same_key_is_rejected() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10)));
    let other = ClaimRequest { digest: BodyDigest::of(b"price of fund 8"), ..non_repeatable(1, 12) };
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(other)), ClaimOutcome::DigestMismatch);
}

#[test]
fn expired_key_is_rejected_after_its_claim_is_dropped() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(non_repeatable(1, 10)));
    assert_eq!(claim(&mut state, EXPIRY, ClaimCommand::Acquire(non_repeatable(2, 11))), ClaimOutcome::KeyExpired);
    assert!(state.claims.is_empty());
    let beyond_limit = ClaimRequest { expires_at: EXPIRY + MAX_KEY_LIFETIME_MILLISECONDS + 1, ..non_repeatable(2, 12) };
    assert_eq!(claim(&mut state, EXPIRY, ClaimCommand::Acquire(beyond_limit)), ClaimOutcome::KeyExpired);
}

/// A step of a random history: arrivals acquire, seal, finish and abandon a claim in any order, and relays are lost.
#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire { relay: u8, arrival: u8 },
    Seal { relay: u8, arrival: u8 },
    Finish { arrival: u8 },
    Abandon { arrival: u8 },
    Lose { relay: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let (relay, arrival) = (u8::arbitrary(generator) % 4, u8::arbitrary(generator) % 6);
        match u8::arbitrary(generator) % 8 {
            0..=2 => Self::Acquire { relay, arrival },
            3 => Self::Seal { relay, arrival },
            4 => Self::Finish { arrival },
            5 => Self::Abandon { arrival },
            _ => Self::Lose { relay },
        }
    }
}

/// Applies a history; fails if a sealed or non-repeatable key is granted again, or a key that may have run is sealed.
fn run_history(steps: &[Step], repeatability: Repeatability) -> Result<(), String> {
    let mut state = ControlState::default();
    (0..4).for_each(|relay| add_relay(&mut state, relay));
    let mut granted: Vec<u8> = Vec::new();
    let mut sealed = false;
    for step in steps {
        match *step {
            Step::Acquire { relay, arrival } => {
                let claim_request = request(relay.into(), arrival.into(), repeatability);
                if claim(&mut state, NOW, ClaimCommand::Acquire(claim_request)) == ClaimOutcome::Granted {
                    if sealed {
                        return Err(format!("{step:?}: granted after the key was sealed"));
                    }
                    granted.push(arrival);
                }
            }
            // A relay seals a key only if it has sent nothing, so the sealing arrival does not count as run.
            Step::Seal { relay, arrival } => {
                let claim_request = request(relay.into(), arrival.into(), repeatability);
                let is_sealed = claim(&mut state, NOW, ClaimCommand::Seal(claim_request)) == ClaimOutcome::Sealed;
                let others_ran = granted.iter().any(|other| *other != arrival);
                if is_sealed && !sealed && others_ran {
                    return Err(format!("{step:?}: sealed though {granted:?} may have run"));
                }
                sealed |= is_sealed;
            }
            Step::Finish { arrival } => {
                let result = ClaimResult::Answered(Generation::empty());
                let key = non_repeatable(0, 0).key;
                claim(&mut state, NOW, ClaimCommand::Finish { key, arrival: arrival.into(), result });
            }
            Step::Abandon { arrival } => {
                let key = non_repeatable(0, 0).key;
                claim(&mut state, NOW, ClaimCommand::Abandon { key, arrival: arrival.into() });
            }
            Step::Lose { relay } => declare_relay_lost(&mut state, relay.into()),
        }
    }
    granted.dedup();
    let granted_twice = repeatability == Repeatability::NotRepeatable && granted.len() > 1;
    if granted_twice { Err(format!("arrivals {granted:?} were all granted")) } else { Ok(()) }
}

#[test]
fn no_history_grants_a_key_twice_or_seals_a_key_that_may_have_run() {
    fn check(steps: Vec<Step>) -> Result<(), String> {
        run_history(&steps, Repeatability::NotRepeatable)?;
        run_history(&steps, Repeatability::Repeatable)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 1)).tests(4_000).quickcheck(check as fn(Vec<Step>) -> _);
}
