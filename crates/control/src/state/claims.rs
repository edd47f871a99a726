//! Claims of keyed requests.

use bitcode::{Decode, Encode};
use saddlerelay_types::claim::{ClaimKey, ClaimResult};
use saddlerelay_types::identity::{BodyDigest, Incarnation};
use saddlerelay_types::request::Repeatability;
use std::collections::{BTreeMap, BTreeSet};

/// How far ahead a key's expiry may lie, in milliseconds.
pub const MAX_KEY_LIFETIME_MILLISECONDS: u64 = 3_600_000;

/// Expired claims dropped with each command, so that no command does unbounded work.
const EXPIRED_PER_COMMAND: usize = 32;

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ClaimPhase {
    /// Its holder may be running it.
    Running,
    /// It ended.
    Finished(ClaimResult),
    /// Its holder was lost while it may have run.
    Lost,
    /// It has not run and never will.
    Sealed,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Claim {
    /// Digest of the request.
    pub digest: BodyDigest,
    /// Unix milliseconds from which the key is refused.
    pub expires_at: u64,
    /// The relay that was granted it.
    pub holder: Incarnation,
    /// The arrival that was granted it.
    pub arrival: u64,
    /// Whether it may be granted again after its holder is lost.
    pub repeatability: Repeatability,
    /// Whether an earlier arrival was granted it too and may have run: it can no longer be proved not to have.
    pub earlier_grant: bool,
    /// Where it stands.
    pub phase: ClaimPhase,
}

/// Every claim whose key has not expired.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
    by_expiry: BTreeSet<(u64, ClaimKey)>,
    running_by_holder: BTreeMap<Incarnation, BTreeSet<ClaimKey>>,
}

impl ClaimTable {
    /// How many claims are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// A claim.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Writes a claim.
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

    /// Drops claims whose keys have expired: from then on the expiry itself refuses the key.
    pub fn drop_expired(&mut self, time: u64) {
        for _ in 0..EXPIRED_PER_COMMAND {
            match self.by_expiry.first() {
                Some((expires_at, key)) if *expires_at <= time => {
                    let key = key.clone();
                    self.remove(&key);
                }
                _ => return,
            }
        }
    }

    /// Marks every claim that `holder` was running as lost.
    pub fn holder_lost(&mut self, holder: Incarnation) {
        for key in self.running_by_holder.remove(&holder).unwrap_or_default() {
            if let Some(claim) = self.claims.get_mut(&key) {
                claim.phase = ClaimPhase::Lost;
            }
        }
    }
}
