//! Identifiers. Each is a distinct type, so that one cannot be passed for another.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Wraps `value`.
            pub fn new(value: impl Into<String>) -> Self {
                Self(value.into())
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

text_identifier!(
    /// A tenant: one team's settings, callers, trainer and model.
    TenantId
);
text_identifier!(
    /// A template that tenants fill in.
    TemplateId
);
text_identifier!(
    /// A model engine, unique in a deployment.
    EngineId
);
text_identifier!(
    /// A failure domain with its own machines.
    Zone
);
text_identifier!(
    /// A model's name as callers ask for it.
    ModelName
);
text_identifier!(
    /// A caller inside a tenant, for example one application.
    CallerId
);
text_identifier!(
    /// The key a caller repeats on every resend of one request.
    IdempotencyKey
);

number_identifier!(
    /// A model's weight version. Higher is newer; zero is the version engines start with.
    WeightVersion
);
number_identifier!(
    /// The revision of a configuration object or of the whole configuration.
    Revision
);
number_identifier!(
    /// One start of a relay process: drawn at random when the process starts.
    Incarnation
);
number_identifier!(
    /// The number of an attempt at one sample; a later attempt fences every earlier one.
    Attempt
);
number_identifier!(
    /// A sample's place in a trainer's delivery order; the first is 1.
    Position
);
number_identifier!(
    /// Counts the times that undelivered positions were withdrawn; older answers are void.
    DeliveryEpoch
);
number_identifier!(
    /// A trainer's step.
    StepNumber
);
number_identifier!(
    /// A control replica, drawn at random when its disk is first written.
    ReplicaId
);
number_identifier!(
    /// The order in which control's engine orders were issued; engines refuse a lower one.
    Fence
);

/// SHA-256 of a request body, to tell a resend from another request under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct BodyDigest(pub [u8; 32]);

impl BodyDigest {
    /// Digests `body`.
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }
}
