//! Claims: at most one run under a key, and "not executed" only as a proof.

mod common;

use common::{NOW, join, lose};
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
        other => panic!("a claim command brought {other:?}"),
    }
}

fn state_with_relays() -> ControlState {
    let mut state = ControlState::default();
    join(&mut state, 1);
    join(&mut state, 2);
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

fn once(holder: u64, arrival: u64) -> ClaimRequest {
    request(holder, arrival, Repeatability::NotRepeatable)
}

#[test]
fn a_resent_claim_command_is_granted_again_and_another_arrival_is_not() {
    let mut state = state_with_relays();
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10))), ClaimOutcome::Granted);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10))), ClaimOutcome::Granted);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(2, 11))), ClaimOutcome::Running);
}

#[test]
fn a_relay_that_was_declared_lost_is_granted_nothing() {
    let mut state = state_with_relays();
    lose(&mut state, 1);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10))), ClaimOutcome::HolderFenced);
}

#[test]
fn a_request_whose_holder_was_lost_never_runs_again_unless_it_is_repeatable() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10)));
    lose(&mut state, 1);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(2, 11))), ClaimOutcome::Lost);
}

#[test]
fn a_sealed_key_never_runs() {
    let mut state = state_with_relays();
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Seal(once(1, 10))), ClaimOutcome::Sealed);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(2, 11))), ClaimOutcome::Sealed);
}

#[test]
fn a_claim_that_another_arrival_holds_cannot_be_sealed() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10)));
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Seal(once(2, 11))), ClaimOutcome::Running);
}

/// A repeatable request ran on a relay that was lost; its resend is granted, sends nothing, and asks for a seal. That
/// seal would say "not executed" of a request that did run.
#[test]
fn a_key_that_may_have_run_before_is_not_sealed_as_not_executed() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(request(1, 10, Repeatability::Repeatable)));
    lose(&mut state, 1);
    let resend = request(2, 11, Repeatability::Repeatable);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(resend.clone())), ClaimOutcome::Granted);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Seal(resend)), ClaimOutcome::Lost);
}

#[test]
fn a_resend_gets_the_stored_answer() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10)));
    let result = ClaimResult::Answered(Generation::empty());
    let finish = ClaimCommand::Finish { key: once(1, 10).key, arrival: 10, result: result.clone() };
    claim(&mut state, NOW, finish);
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(once(2, 11))), ClaimOutcome::Finished(result));
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10)));
    let other = ClaimRequest { digest: BodyDigest::of(b"price of fund 8"), ..once(1, 12) };
    assert_eq!(claim(&mut state, NOW, ClaimCommand::Acquire(other)), ClaimOutcome::DigestMismatch);
}

#[test]
fn a_key_is_refused_by_its_own_expiry_once_its_claim_is_forgotten() {
    let mut state = state_with_relays();
    claim(&mut state, NOW, ClaimCommand::Acquire(once(1, 10)));
    assert_eq!(claim(&mut state, EXPIRY, ClaimCommand::Acquire(once(2, 11))), ClaimOutcome::KeyExpired);
    assert!(state.claims.is_empty());
    let far = ClaimRequest { expires_at: EXPIRY + MAX_KEY_LIFETIME_MILLISECONDS + 1, ..once(2, 12) };
    assert_eq!(claim(&mut state, EXPIRY, ClaimCommand::Acquire(far)), ClaimOutcome::KeyExpired);
}

/// One step of a history: relays come and go, arrivals claim, seal, finish and abandon in any order, also late.
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

/// Plays a history and returns which arrivals were granted, and whether any was told that the key is sealed.
fn play(steps: &[Step], repeatability: Repeatability) -> Result<(), String> {
    let mut state = ControlState::default();
    (0..4).for_each(|relay| join(&mut state, relay));
    let mut granted: Vec<u8> = Vec::new();
    let mut sealed = false;
    for step in steps {
        match *step {
            Step::Acquire { relay, arrival } => {
                let asked = request(relay.into(), arrival.into(), repeatability);
                if claim(&mut state, NOW, ClaimCommand::Acquire(asked)) == ClaimOutcome::Granted {
                    if sealed {
                        return Err(format!("{step:?}: granted after the key was sealed"));
                    }
                    granted.push(arrival);
                }
            }
            // Only an arrival that sent nothing asks for a seal: one that was not granted, or the newest to be granted.
            Step::Seal { relay, arrival } => {
                let asked = request(relay.into(), arrival.into(), repeatability);
                let proves = claim(&mut state, NOW, ClaimCommand::Seal(asked)) == ClaimOutcome::Sealed;
                let others_ran = granted.iter().any(|other| *other != arrival);
                if proves && !sealed && others_ran {
                    return Err(format!("{step:?}: sealed though {granted:?} may have run"));
                }
                sealed |= proves;
            }
            Step::Finish { arrival } => {
                let result = ClaimResult::Answered(Generation::empty());
                let key = once(0, 0).key;
                claim(&mut state, NOW, ClaimCommand::Finish { key, arrival: arrival.into(), result });
            }
            Step::Abandon { arrival } => {
                let key = once(0, 0).key;
                claim(&mut state, NOW, ClaimCommand::Abandon { key, arrival: arrival.into() });
            }
            Step::Lose { relay } => lose(&mut state, relay.into()),
        }
    }
    granted.dedup();
    let twice = repeatability == Repeatability::NotRepeatable && granted.len() > 1;
    if twice { Err(format!("{granted:?} were all granted")) } else { Ok(()) }
}

#[test]
fn no_history_grants_twice_or_seals_what_may_have_run() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        play(&steps, Repeatability::NotRepeatable)?;
        play(&steps, Repeatability::Repeatable)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 1)).tests(4_000).quickcheck(holds as fn(Vec<Step>) -> _);
}
