//! What goes over a connection.

use bitcode::{Decode, Encode};

/// Told apart from strangers on the port.
pub const MAGIC: u64 = 0x5ADD_1E2E_1A40_0001;

/// Rises with each incompatible change of the internal messages.
pub const PROTOCOL_VERSION: u32 = 3;

/// The first frame from the side that connected.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Always [`MAGIC`].
    pub magic: u64,
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The deployment's shared secret.
    pub secret: String,
}

impl Hello {
    /// The greeting of this build.
    pub fn new(secret: &str) -> Self {
        Self { magic: MAGIC, version: PROTOCOL_VERSION, secret: secret.to_string() }
    }
}

/// A request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// Pairs an answer with its request on one connection.
    pub id: u64,
    /// The encoded message.
    pub body: Vec<u8>,
}
