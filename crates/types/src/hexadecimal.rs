//! Hexadecimal encoding of digests.

/// Encodes bytes as lower-case hexadecimal.
pub(crate) fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes exactly `BYTES` bytes; `None` if the text has another length or other characters.
pub(crate) fn decode<const BYTES: usize>(text: &str) -> Option<[u8; BYTES]> {
    if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

/// Implements the text forms of a digest type that wraps a byte array: full hexadecimal in JSON, the first
/// `$prefix_bytes` bytes in `Debug` and logs. `$description` names the type in deserialization errors.
macro_rules! digest_as_text {
    ($name:ident, $prefix_bytes:expr, $description:literal) => {
        impl $name {
            /// Parses a digest in hexadecimal; `None` if it is malformed.
            pub fn from_hexadecimal(text: &str) -> Option<Self> {
                crate::hexadecimal::decode(text).map(Self)
            }

            /// The digest in hexadecimal.
            pub fn to_hexadecimal(self) -> String {
                crate::hexadecimal::encode(&self.0)
            }

            /// The first bytes in hexadecimal, for logs.
            pub fn log_prefix(&self) -> String {
                crate::hexadecimal::encode(&self.0[..$prefix_bytes])
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.log_prefix())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.to_hexadecimal())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                let expected = concat!("is not ", $description, " in hexadecimal");
                Self::from_hexadecimal(&text).ok_or_else(|| <D::Error as serde::de::Error>::custom(expected))
            }
        }
    };
}

pub(crate) use digest_as_text;
