//! Secrets of callers. Only their digests are kept where a comparison is all that is needed.

use crate::hexadecimal::digest_as_text;
use bitcode::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// Bytes of a digest that logs show: enough to tell keys apart, too few to be one.
const SHOWN_BYTES: usize = 4;

/// SHA-256 of a caller's secret; hexadecimal in JSON.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct SecretDigest([u8; DIGEST_BYTES]);

impl SecretDigest {
    /// Digests a secret.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Whether it is that of `secret`. The time that this takes does not tell where they differ.
    pub fn matches(&self, secret: &[u8]) -> bool {
        let other = Self::of(secret);
        let difference = self.0.iter().zip(&other.0).fold(0, |difference, (left, right)| difference | (left ^ right));
        difference == 0
    }
}

digest_as_text!(SecretDigest, SHOWN_BYTES, "a SHA-256 digest");
