//! Frames exchanged on a connection.

use bitcode::{Decode, Encode};
use saddlerelay_types::feature_level::FeatureLevel;

/// Identifies the protocol, so that other clients on the port are rejected.
pub const MAGIC: u64 = 0x5ADD_1E2E_1A40_0001;

/// Envelope identifier of the server's [`Welcome`]; requests have higher ones. Builds that predate the welcome ignore
/// it.
pub const WELCOME_ID: u64 = 0;

/// The client's first frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Always [`MAGIC`].
    pub magic: u64,
    /// Protocol version of all messages on the connection, see [`FeatureLevel::protocol`].
    pub version: u32,
    /// The deployment's shared secret.
    pub secret: String,
}

impl Hello {
    /// The frame that opens a connection at `level`.
    pub fn new(level: FeatureLevel, secret: &str) -> Self {
        Self { magic: MAGIC, version: level.protocol(), secret: secret.to_string() }
    }
}

/// A request or a response.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// Identifies the request on this connection; its response has the same value.
    pub id: u64,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// The server's first message on an accepted connection. Its encoding is the same in all protocol versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Welcome {
    /// The newest protocol version that the server supports.
    pub newest_protocol: u32,
}

impl Welcome {
    /// The welcome of this build.
    pub fn new() -> Self {
        Self { newest_protocol: FeatureLevel::NEWEST.protocol() }
    }

    /// Encodes the welcome in its envelope.
    pub fn frame(&self) -> Vec<u8> {
        bitcode::encode(&Envelope { id: WELCOME_ID, body: bitcode::encode(self) })
    }
}

impl Default for Welcome {
    fn default() -> Self {
        Self::new()
    }
}
