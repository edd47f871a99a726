//! Claim commands: acquire, seal, abandon and finish.

use crate::state::ControlState;
use crate::state::claims::{Claim, ClaimPhase, MAX_KEY_LIFETIME_MILLISECONDS};
use saddlerelay_types::claim::{ClaimKey, ClaimOutcome, ClaimRequest, ClaimResult};
use saddlerelay_types::protocol::ClaimCommand;
use saddlerelay_types::request::Repeatability;

/// Applies a claim command.
pub fn apply(state: &mut ControlState, command: ClaimCommand) -> ClaimOutcome {
    match command {
        ClaimCommand::Acquire(request) => acquire(state, request),
        ClaimCommand::Seal(request) => seal(state, request),
        ClaimCommand::Abandon { key, arrival } => abandon(state, key, arrival),
        ClaimCommand::Finish { key, arrival, result } => finish(state, key, arrival, result),
    }
}

fn acquire(state: &mut ControlState, request: ClaimRequest) -> ClaimOutcome {
    if !state.members.is_live(request.holder) {
        return ClaimOutcome::HolderFenced;
    }
    match key_status(state, &request) {
        KeyStatus::Free { earlier_grant } => {
            put(state, request, earlier_grant, ClaimPhase::Running);
            ClaimOutcome::Granted
        }
        KeyStatus::HeldByRequester { .. } => ClaimOutcome::Granted,
        KeyStatus::Decided(outcome) => outcome,
    }
}

/// Seals a key so that its request never runs. The arrival that holds the claim may seal it only if it has sent nothing
/// to an engine. If an earlier arrival may have run, the outcome is lost instead.
fn seal(state: &mut ControlState, request: ClaimRequest) -> ClaimOutcome {
    match key_status(state, &request) {
        KeyStatus::Free { earlier_grant: false } | KeyStatus::HeldByRequester { earlier_grant: false } => {
            put(state, request, false, ClaimPhase::Sealed);
            ClaimOutcome::Sealed
        }
        KeyStatus::Free { .. } => ClaimOutcome::Lost,
        KeyStatus::HeldByRequester { .. } => {
            put(state, request, true, ClaimPhase::Lost);
            ClaimOutcome::Lost
        }
        KeyStatus::Decided(outcome) => outcome,
    }
}

fn finish(state: &mut ControlState, key: ClaimKey, arrival: u64, result: ClaimResult) -> ClaimOutcome {
    let Some(claim) = state.claims.get(&key) else {
        return ClaimOutcome::KeyExpired;
    };
    let open = matches!(claim.phase, ClaimPhase::Running | ClaimPhase::Lost);
    if claim.arrival != arrival || !open {
        return ClaimOutcome::Running;
    }
    let finished = Claim { phase: ClaimPhase::Finished(result.clone()), ..claim.clone() };
    state.claims.put(key, finished);
    ClaimOutcome::Finished(result)
}

fn abandon(state: &mut ControlState, key: ClaimKey, arrival: u64) -> ClaimOutcome {
    let Some(claim) = state.claims.get(&key) else {
        return ClaimOutcome::KeyExpired;
    };
    if claim.arrival == arrival && claim.phase == ClaimPhase::Running {
        let lost = Claim { phase: ClaimPhase::Lost, ..claim.clone() };
        state.claims.put(key, lost);
    }
    ClaimOutcome::Lost
}

enum KeyStatus {
    /// The key can be granted.
    Free {
        /// Whether an earlier arrival had the grant and may have run.
        earlier_grant: bool,
    },
    /// The requesting arrival already holds the claim.
    HeldByRequester {
        /// Whether an earlier arrival had the grant and may have run.
        earlier_grant: bool,
    },
    /// The outcome is final, or another arrival holds the claim.
    Decided(ClaimOutcome),
}

fn key_status(state: &ControlState, request: &ClaimRequest) -> KeyStatus {
    let latest_expiry = state.time + MAX_KEY_LIFETIME_MILLISECONDS;
    if request.expires_at <= state.time || request.expires_at > latest_expiry {
        return KeyStatus::Decided(ClaimOutcome::KeyExpired);
    }
    let Some(claim) = state.claims.get(&request.key) else {
        return KeyStatus::Free { earlier_grant: false };
    };
    if claim.digest != request.digest || claim.expires_at != request.expires_at {
        return KeyStatus::Decided(ClaimOutcome::DigestMismatch);
    }
    match &claim.phase {
        ClaimPhase::Running if claim.arrival == request.arrival => {
            KeyStatus::HeldByRequester { earlier_grant: claim.earlier_grant }
        }
        ClaimPhase::Running => KeyStatus::Decided(ClaimOutcome::Running),
        ClaimPhase::Finished(result) => KeyStatus::Decided(ClaimOutcome::Finished(result.clone())),
        // A delayed duplicate of the granted command must not acquire the claim again, as its sender no longer waits
        // for it.
        ClaimPhase::Lost if claim.arrival == request.arrival => KeyStatus::Decided(ClaimOutcome::Lost),
        ClaimPhase::Lost if claim.repeatability == Repeatability::Repeatable => KeyStatus::Free { earlier_grant: true },
        ClaimPhase::Lost => KeyStatus::Decided(ClaimOutcome::Lost),
        ClaimPhase::Sealed => KeyStatus::Decided(ClaimOutcome::Sealed),
    }
}

fn put(state: &mut ControlState, request: ClaimRequest, earlier_grant: bool, phase: ClaimPhase) {
    let claim = Claim {
        digest: request.digest,
        expires_at: request.expires_at,
        holder: request.holder,
        arrival: request.arrival,
        repeatability: request.repeatability,
        earlier_grant,
        phase,
    };
    state.claims.put(request.key, claim);
}
