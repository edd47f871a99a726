//! The HTTP interface of gateways and coordinators.
//!
//! `front` answers clients and trainers, `control` operators, trainers and engines. What calls look like on the wire is
//! behind [`formats::Formats`]: `own` has the product's own, and a deployment may bring others.

pub mod control;
pub mod formats;
pub mod front;
pub mod outcomes;
pub mod own;
mod refused_calls;

pub use control::ControlApi;
pub use formats::{ControlCall, Formats, FrontCall, JobCall, UnreadableCall};
pub use front::{FrontApi, ReadinessApi};
pub use own::{OwnEngines, OwnFormats, OwnPlatform};
