//! Types of a call: the message, its response and errors.

use saddlerelay_types::feature_level::FeatureLevel;

/// How the feature level of a connection is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelSelection {
    /// Negotiated: the newest level that both sides support.
    Negotiated,
    /// Always this level.
    Fixed(FeatureLevel),
}

/// A request that can be encoded at the level of its connection.
pub trait Message {
    /// Encodes the request at `level`; `None` if the level cannot express it.
    fn encode(&self, level: FeatureLevel) -> Option<Vec<u8>>;
}

impl<F: Fn(FeatureLevel) -> Option<Vec<u8>>> Message for F {
    fn encode(&self, level: FeatureLevel) -> Option<Vec<u8>> {
        self(level)
    }
}

/// A peer's encoded reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedReply {
    /// The feature level of its encoding.
    pub level: FeatureLevel,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Why a call returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection's feature level cannot express the request; it was not sent.
    UnsupportedByPeer,
    /// There was no connection; the request was not sent.
    NotSent,
    /// The call timed out or the connection was lost, and the request may have been sent.
    OutcomeUnknown,
}
