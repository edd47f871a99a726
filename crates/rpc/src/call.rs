//! What a call is: a message that can be written at the level of its connection, and what comes of it.

use saddlerelay_types::feature_level::FeatureLevel;

/// Which level connections speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speech {
    /// The newest that the peer knows.
    Negotiated,
    /// This one.
    Fixed(FeatureLevel),
}

/// A request that can be written for a connection.
pub trait Message {
    /// How it is written at `level`; `None` if that level has no words for it.
    fn encode(&self, level: FeatureLevel) -> Option<Vec<u8>>;
}

impl<F: Fn(FeatureLevel) -> Option<Vec<u8>>> Message for F {
    fn encode(&self, level: FeatureLevel) -> Option<Vec<u8>> {
        self(level)
    }
}

/// What the peer answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The level at which it is written.
    pub level: FeatureLevel,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection's level has no words for the request; it was not sent.
    Unspeakable,
    /// No connection; the request was not sent.
    NotSent,
    /// The connection was lost or the time ran out after the request may have been sent.
    Unknown,
}
