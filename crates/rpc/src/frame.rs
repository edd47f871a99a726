//! What goes over a connection.

use bitcode::{Decode, Encode};
use saddlerelay_types::feature_level::FeatureLevel;

/// Told apart from strangers on the port.
pub const MAGIC: u64 = 0x5ADD_1E2E_1A40_0001;

/// The identifier of the server's [`Welcome`]; requests have higher ones. Builds that know of no welcome pass it over.
pub const WELCOME_ID: u64 = 0;

/// The first frame from the side that connected.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Always [`MAGIC`].
    pub magic: u64,
    /// The protocol of all messages on this connection, see [`FeatureLevel::protocol`].
    pub version: u32,
    /// The deployment's shared secret.
    pub secret: String,
}

impl Hello {
    /// The greeting of a connection that speaks `level`.
    pub fn new(level: FeatureLevel, secret: &str) -> Self {
        Self { magic: MAGIC, version: level.protocol(), secret: secret.to_string() }
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

/// The server's first words on a connection that it serves. Its layout stays as it is in all protocols.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Welcome {
    /// The newest protocol that the server speaks.
    pub newest_protocol: u32,
}

impl Welcome {
    /// What this build says.
    pub fn new() -> Self {
        Self { newest_protocol: FeatureLevel::NEWEST.protocol() }
    }

    /// The frame that carries it.
    pub fn frame(&self) -> Vec<u8> {
        bitcode::encode(&Envelope { id: WELCOME_ID, body: bitcode::encode(self) })
    }
}

impl Default for Welcome {
    fn default() -> Self {
        Self::new()
    }
}
