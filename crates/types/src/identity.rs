//! Identifier types.

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
    /// A tenant: a team with its settings, callers, trainer and model.
    TenantId
);
text_identifier!(
    /// A configuration template for tenants.
    TemplateId
);
text_identifier!(
    /// Name of a model engine, unique in a deployment.
    EngineId
);
text_identifier!(
    /// A failure domain with its own machines.
    Zone
);
text_identifier!(
    /// A model's name, as used in requests.
    ModelName
);
text_identifier!(
    /// A caller within a tenant, for example an application.
    CallerId
);
text_identifier!(
    /// A key that a caller repeats on each resend of a request.
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
    /// One start of a process; random for a relay, increasing for a trainer.
    Incarnation
);
number_identifier!(
    /// Number of an attempt at a sample; a later attempt fences all earlier ones.
    Attempt
);
number_identifier!(
    /// A sample's position in a trainer's delivery order, starting at 1.
    Position
);
number_identifier!(
    /// Increases each time undelivered positions are withdrawn, which invalidates batches of earlier epochs.
    DeliveryEpoch
);
number_identifier!(
    /// Number of a training step.
    StepNumber
);
number_identifier!(
    /// Identifier of a control replica; random, generated when its disk is initialized.
    ReplicaId
);
number_identifier!(
    /// A fencing token for engine orders; engines reject lower ones.
    Fence
);

/// SHA-256 of a request body, used to detect reuse of an idempotency key with another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct BodyDigest(pub [u8; 32]);

impl BodyDigest {
    /// Computes the digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }
}
