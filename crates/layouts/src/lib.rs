//! Encoding of messages between processes and of log commands at each [`FeatureLevel`].
//!
//! The newest level encodes the current types directly. Types of an older level that have changed since are kept here
//! as released and must not change. They are converted to the current types, and back where the older level can
//! express the value. If it cannot, encoding returns `None`, and the sender decides how to proceed.

pub mod commands;
pub mod level_one;
pub mod messages;

pub use saddlerelay_types::feature_level::FeatureLevel;
