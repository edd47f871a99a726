//! Claims: the committed right to run a request once per idempotency key.

use crate::identity::{BodyDigest, CallerId, IdempotencyKey, Incarnation, TenantId};
use crate::request::{Generation, Repeatability, RequestFailure};
use bitcode::{Decode, Encode};

/// Identifies a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ClaimKey {
    /// The tenant.
    pub tenant: TenantId,
    /// The caller.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
}

/// A request for the right to run a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRequest {
    /// The claim's key.
    pub key: ClaimKey,
    /// Digest of the request body.
    pub digest: BodyDigest,
    /// Expiry of the key, in Unix milliseconds.
    pub expires_at: u64,
    /// Incarnation of the relay that would run the request.
    pub holder: Incarnation,
    /// Generated for each arrival of a request at a relay; distinguishes a resent claim command from a resent
    /// request.
    pub arrival: u64,
    /// Whether the request may be run again after its holder is lost.
    pub repeatability: Repeatability,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimResult {
    /// The request completed.
    Answered(Generation),
    /// The request failed, possibly partway.
    Failed(RequestFailure),
}

/// Result of a claim command.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimOutcome {
    /// The requester may run the request once.
    Granted,
    /// Another arrival holds the claim and is running the request.
    Running,
    /// The request has ended with this result.
    Finished(ClaimResult),
    /// The holder was lost, and the request may have run.
    Lost,
    /// The key is sealed: the request has not run and cannot run.
    Sealed,
    /// The key was used with another request body.
    DigestMismatch,
    /// The key's expiry has passed or is too far in the future.
    KeyExpired,
    /// The relay's incarnation was declared lost or has not joined.
    HolderFenced,
}
