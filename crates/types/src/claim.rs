//! Claims: the committed right to run a keyed request once.

use crate::identity::{BodyDigest, CallerId, IdempotencyKey, Incarnation, TenantId};
use crate::request::{Generation, Repeatability, RequestFailure};
use bitcode::{Decode, Encode};

/// Names a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ClaimKey {
    /// The tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// Asks for the right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRequest {
    /// The claim's name.
    pub key: ClaimKey,
    /// Digest of the request.
    pub digest: BodyDigest,
    /// Unix milliseconds from which the key is refused.
    pub expires_at: u64,
    /// The relay incarnation that would run it.
    pub holder: Incarnation,
    /// Drawn for each arrival at a relay, so that a resent claim command is told from a resent request.
    pub arrival: u64,
    /// Whether the request may run again after its holder is lost.
    pub repeatability: Repeatability,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimResult {
    /// It ran whole.
    Answered(Generation),
    /// It failed, perhaps partway.
    Failed(RequestFailure),
}

/// What a claim request brings.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimOutcome {
    /// The asker may run the request, once.
    Granted,
    /// Another arrival is running it.
    Running,
    /// It ended; this is its answer.
    Finished(ClaimResult),
    /// Its holder was lost while it may have run.
    Lost,
    /// It was sealed: it has not run and never will.
    Sealed,
    /// The key is bound to another request.
    DigestMismatch,
    /// The key's expiry has passed, or lies too far ahead.
    KeyExpired,
    /// The asking relay's incarnation was declared lost, or never joined.
    HolderFenced,
}
