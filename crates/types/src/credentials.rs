//! Secrets of callers. Only their digests are kept where a comparison is all that is needed.

use bitcode::{Decode, Encode};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;

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

    /// Reads a digest in hexadecimal; `None` if it is none.
    pub fn from_hexadecimal(text: &str) -> Option<Self> {
        read_hexadecimal(text).map(Self)
    }

    /// The digest in hexadecimal.
    pub fn to_hexadecimal(self) -> String {
        hexadecimal(&self.0)
    }

    /// Whether it is that of `secret`. The time that this takes does not tell where they differ.
    pub fn matches(&self, secret: &[u8]) -> bool {
        let other = Self::of(secret);
        let difference = self.0.iter().zip(&other.0).fold(0, |difference, (left, right)| difference | (left ^ right));
        difference == 0
    }

    /// Its beginning, for logs.
    pub fn shown(&self) -> String {
        hexadecimal(&self.0[..SHOWN_BYTES])
    }
}

/// Bytes in hexadecimal.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads as many bytes as are wanted in hexadecimal; `None` if the text is anything else.
pub(crate) fn read_hexadecimal<const BYTES: usize>(text: &str) -> Option<[u8; BYTES]> {
    if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

impl fmt::Debug for SecretDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SecretDigest({})", self.shown())
    }
}

impl Serialize for SecretDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_hexadecimal())
    }
}

impl<'de> Deserialize<'de> for SecretDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::from_hexadecimal(&text).ok_or_else(|| D::Error::custom("is not a SHA-256 digest in hexadecimal"))
    }
}
