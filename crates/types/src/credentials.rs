//! Digests of callers' secrets, stored in place of the secrets.

use crate::hexadecimal::digest_as_text;
use bitcode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Length of the digest prefix shown in logs, enough to distinguish keys.
const LOGGED_PREFIX_BYTES: usize = 4;

/// SHA-256 of a caller's secret; hexadecimal in JSON.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct SecretDigest([u8; DIGEST_BYTES]);

impl SecretDigest {
    /// Computes the digest of a secret.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Whether this is the digest of `secret`. The digests are compared in constant time.
    pub fn matches(&self, secret: &[u8]) -> bool {
        let other = Self::of(secret);
        let difference = self.0.iter().zip(&other.0).fold(0, |difference, (left, right)| difference | (left ^ right));
        difference == 0
    }
}

digest_as_text!(SecretDigest, LOGGED_PREFIX_BYTES, "a SHA-256 digest");
