//! Granting, sealing and finishing claims.

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
    match standing(state, &request) {
        Standing::Free { earlier_grant } => {
            put(state, request, earlier_grant, ClaimPhase::Running);
            ClaimOutcome::Granted
        }
        Standing::HeldByThisArrival { .. } => ClaimOutcome::Granted,
        Standing::Settled(outcome) => outcome,
    }
}

/// Makes sure that the key never runs. The arrival that holds the claim may seal it only if it sent nothing. Where an
/// earlier arrival may have run, there is nothing to prove: the claim ends as lost.
fn seal(state: &mut ControlState, request: ClaimRequest) -> ClaimOutcome {
    match standing(state, &request) {
        Standing::Free { earlier_grant: false } | Standing::HeldByThisArrival { earlier_grant: false } => {
            put(state, request, false, ClaimPhase::Sealed);
            ClaimOutcome::Sealed
        }
        Standing::Free { .. } => ClaimOutcome::Lost,
        Standing::HeldByThisArrival { .. } => {
            put(state, request, true, ClaimPhase::Lost);
            ClaimOutcome::Lost
        }
        Standing::Settled(outcome) => outcome,
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

enum Standing {
    /// The key may be granted.
    Free {
        /// Whether an arrival before this one was granted it and may have run.
        earlier_grant: bool,
    },
    /// The asking arrival already holds the claim.
    HeldByThisArrival {
        /// Whether an arrival before this one was granted it and may have run.
        earlier_grant: bool,
    },
    /// The key is decided, or held by another arrival.
    Settled(ClaimOutcome),
}

fn standing(state: &ControlState, request: &ClaimRequest) -> Standing {
    let latest_expiry = state.time + MAX_KEY_LIFETIME_MILLISECONDS;
    if request.expires_at <= state.time || request.expires_at > latest_expiry {
        return Standing::Settled(ClaimOutcome::KeyExpired);
    }
    let Some(claim) = state.claims.get(&request.key) else {
        return Standing::Free { earlier_grant: false };
    };
    if claim.digest != request.digest || claim.expires_at != request.expires_at {
        return Standing::Settled(ClaimOutcome::DigestMismatch);
    }
    match &claim.phase {
        ClaimPhase::Running if claim.arrival == request.arrival => {
            Standing::HeldByThisArrival { earlier_grant: claim.earlier_grant }
        }
        ClaimPhase::Running => Standing::Settled(ClaimOutcome::Running),
        ClaimPhase::Finished(result) => Standing::Settled(ClaimOutcome::Finished(result.clone())),
        // A late copy of the command that was granted before must not hold the claim again: nobody would run it.
        ClaimPhase::Lost if claim.arrival == request.arrival => Standing::Settled(ClaimOutcome::Lost),
        ClaimPhase::Lost if claim.repeatability == Repeatability::Repeatable => Standing::Free { earlier_grant: true },
        ClaimPhase::Lost => Standing::Settled(ClaimOutcome::Lost),
        ClaimPhase::Sealed => Standing::Settled(ClaimOutcome::Sealed),
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
