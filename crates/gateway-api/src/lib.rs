//! The HTTP interface of gateways and coordinators.
//!
//! `client` serves clients and trainers on gateways; `control` serves operators, trainers and engines on coordinators. Wire
//! formats implement [`formats::Formats`]; `own` contains saddlerelay's native formats.

pub mod client;
mod concurrency;
pub mod control;
pub mod formats;
pub mod native;
mod rejected_calls;
pub mod responses;

pub use client::{ClientApi, ReadinessApi};
pub use control::{CONTROL_LIMITS, ControlApi};
pub use formats::{CallDecodeError, ClientCall, ControlCall, Formats, JobCall};
pub use native::{NativeEngines, NativeFormats, NativePlatform};
