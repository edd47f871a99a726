//! Digests that are read and written in hexadecimal.

/// Bytes in hexadecimal.
pub(crate) fn write(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads as many bytes as are wanted in hexadecimal; `None` if the text is anything else.
pub(crate) fn read<const BYTES: usize>(text: &str) -> Option<[u8; BYTES]> {
    if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

/// Gives a digest, a tuple of one array of bytes, its text: in hexadecimal in JSON, its first `$shown` bytes in logs.
/// `$called` names it in an error.
macro_rules! digest_as_text {
    ($name:ident, $shown:expr, $called:literal) => {
        impl $name {
            /// Reads a digest in hexadecimal; `None` if it is none.
            pub fn from_hexadecimal(text: &str) -> Option<Self> {
                crate::hexadecimal::read(text).map(Self)
            }

            /// The digest in hexadecimal.
            pub fn to_hexadecimal(self) -> String {
                crate::hexadecimal::write(&self.0)
            }

            /// Its beginning, for logs.
            pub fn shown(&self) -> String {
                crate::hexadecimal::write(&self.0[..$shown])
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.shown())
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
                let expected = concat!("is not ", $called, " in hexadecimal");
                Self::from_hexadecimal(&text).ok_or_else(|| <D::Error as serde::de::Error>::custom(expected))
            }
        }
    };
}

pub(crate) use digest_as_text;
