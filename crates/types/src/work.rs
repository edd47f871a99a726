//! Identity of a request's content: all attempts and resends of the same request share one digest.

use crate::hexadecimal::digest_as_text;
use crate::identity::{ModelName, TenantId};
use crate::tenancy::Caller;
use bitcode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Length of the truncated SHA-256, long enough to be collision-resistant.
const DIGEST_BYTES: usize = 16;

/// Path that stands for a generation.
const GENERATION_PATH: &str = "generation";

/// Length of the digest prefix shown in logs.
const LOGGED_PREFIX_BYTES: usize = 6;

/// The parts of a request that identify its content.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// The caller; part of the digest, so that a tenant cannot get another tenant's requests quarantined.
    pub caller: &'a Caller,
    /// The HTTP method.
    pub method: &'a str,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The request body.
    pub body: &'a [u8],
}

/// Digest of a request's content; hexadecimal in JSON.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct WorkDigest([u8; DIGEST_BYTES]);

impl WorkDigest {
    /// Computes the digest.
    pub fn of(work: &Work) -> Self {
        let mut hasher = Sha256::new();
        match work.caller {
            Caller::Anyone | Caller::Public => hasher.update([0]),
            Caller::Tenant(tenant) => {
                hasher.update([1]);
                hash_part(&mut hasher, tenant.as_str().as_bytes());
            }
        }
        for part in [work.method.as_bytes(), work.host.as_bytes(), work.path.as_bytes(), work.body] {
            hash_part(&mut hasher, part);
        }
        let full_digest = hasher.finalize();
        let mut truncated = [0; DIGEST_BYTES];
        truncated.copy_from_slice(&full_digest[..DIGEST_BYTES]);
        Self(truncated)
    }

    /// Computes the digest of a generation for a tenant, whether a caller or a trainer asks for it. Excludes the seed: a
    /// crash is attributed to the prompt.
    pub fn of_generation(tenant: &TenantId, model: &ModelName, prompt: &str) -> Self {
        Self::of_post_request(Some(tenant), model.as_str(), GENERATION_PATH, prompt.as_bytes())
    }

    /// Computes the digest of a POST request that is sent on behalf of a job's owner.
    pub fn of_post_request(owner: Option<&TenantId>, host: &str, path: &str, body: &[u8]) -> Self {
        let caller = owner.cloned().map_or(Caller::Anyone, Caller::Tenant);
        Self::of(&Work { caller: &caller, method: "POST", host, path, body })
    }
}

/// Hashes a part with its length as prefix, so that the boundaries between parts are unambiguous.
fn hash_part(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}

digest_as_text!(WorkDigest, LOGGED_PREFIX_BYTES, "a digest of work");
