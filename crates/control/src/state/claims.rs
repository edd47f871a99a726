//! Claims of requests with an idempotency key.

use bitcode::{Decode, Encode};
use saddlerelay_types::claim::{ClaimKey, ClaimResult};
use saddlerelay_types::identity::{BodyDigest, Incarnation};
use saddlerelay_types::request::Repeatability;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time from an acquire or seal request until its key expires, in milliseconds.
pub const MAX_KEY_LIFETIME_MILLISECONDS: u64 = 3_600_000;

/// Maximum number of expired claims dropped per command, to bound the cost of each command.
const MAX_EXPIRED_PER_COMMAND: usize = 32;

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimPhase {
    /// Granted; the holder may be running the request.
    Running,
    /// The request has finished with this result.
    Finished(ClaimResult),
    /// The holder was lost or abandoned the request, which may have run.
    Lost,
    /// The request has not run and will never be granted.
    Sealed,
}

/// A claim of a request key.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Claim {
    /// Digest of the request.
    pub digest: BodyDigest,
    /// Unix milliseconds from which the key is rejected as expired.
    pub expires_at: u64,
    /// The relay to which the claim was granted.
    pub holder: Incarnation,
    /// The request arrival to which the claim was granted.
    pub arrival: u64,
    /// Whether the claim may be granted again after its holder is lost.
    pub repeatability: Repeatability,
    /// Whether an earlier arrival also had the grant and may have run, so that the key can no longer be sealed.
    pub earlier_grant: bool,
    /// Current state.
    pub phase: ClaimPhase,
}

/// Claims by key, indexed by expiry and by the holder of running claims.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
    by_expiry: BTreeSet<(u64, ClaimKey)>,
    running_by_holder: BTreeMap<Incarnation, BTreeSet<ClaimKey>>,
}

impl ClaimTable {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Looks up a claim.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Inserts or replaces a claim.
    pub fn put(&mut self, key: ClaimKey, claim: Claim) {
        self.remove(&key);
        if claim.phase == ClaimPhase::Running {
            self.running_by_holder.entry(claim.holder).or_default().insert(key.clone());
        }
        self.by_expiry.insert((claim.expires_at, key.clone()));
        self.claims.insert(key, claim);
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else {
            return;
        };
        self.by_expiry.remove(&(claim.expires_at, key.clone()));
        if let Some(running) = self.running_by_holder.get_mut(&claim.holder) {
            running.remove(key);
            if running.is_empty() {
                self.running_by_holder.remove(&claim.holder);
            }
        }
    }

    /// Drops up to `MAX_EXPIRED_PER_COMMAND` claims whose keys have expired at `time`, in Unix milliseconds. Requests
    /// with expired keys are rejected without a claim.
    pub fn drop_expired(&mut self, time: u64) {
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            match self.by_expiry.first() {
                Some((expires_at, key)) if *expires_at <= time => {
                    let key = key.clone();
                    self.remove(&key);
                }
                _ => return,
            }
        }
    }

    /// Marks all running claims of `holder` as lost.
    pub fn mark_holder_lost(&mut self, holder: Incarnation) {
        for key in self.running_by_holder.remove(&holder).unwrap_or_default() {
            if let Some(claim) = self.claims.get_mut(&key) {
                claim.phase = ClaimPhase::Lost;
            }
        }
    }
}
