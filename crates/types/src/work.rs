//! What a request asks for, whoever sends it again and however often: every try has an identifier of its own, the work has
//! one digest.

use crate::hexadecimal::digest_as_text;
use crate::identity::TenantId;
use crate::tenancy::Caller;
use bitcode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Bytes that are kept of the SHA-256: enough that nobody finds two kinds of work with one digest.
const DIGEST_BYTES: usize = 16;

/// Bytes of a digest that logs show.
const SHOWN_BYTES: usize = 6;

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Who asks. Nobody can bring another tenant's work into disrepute.
    pub caller: &'a Caller,
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A digest of work; hexadecimal in JSON.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct WorkDigest([u8; DIGEST_BYTES]);

impl WorkDigest {
    /// Digests work.
    pub fn of(work: &Work) -> Self {
        let mut hasher = Sha256::new();
        match work.caller {
            Caller::Anyone | Caller::Public => hasher.update([0]),
            Caller::Tenant(tenant) => {
                hasher.update([1]);
                add(&mut hasher, tenant.as_str().as_bytes());
            }
        }
        for part in [work.method.as_bytes(), work.host.as_bytes(), work.path.as_bytes(), work.body] {
            add(&mut hasher, part);
        }
        let whole = hasher.finalize();
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(kept)
    }

    /// Digests what saddlerelay posts on behalf of the owner of a job.
    pub fn of_posted(owner: Option<&TenantId>, host: &str, path: &str, body: &[u8]) -> Self {
        let caller = owner.cloned().map_or(Caller::Anyone, Caller::Tenant);
        Self::of(&Work { caller: &caller, method: "POST", host, path, body })
    }
}

/// Adds a part with its length, so that parts cannot run into each other.
fn add(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}

digest_as_text!(WorkDigest, SHOWN_BYTES, "a digest of work");
