//! How messages between processes and commands on the log are written at each [`FeatureLevel`].
//!
//! The newest level is written from the types themselves. Those of an older level that have changed since stand here as they were
//! released, and never change again; they are turned into today's types, and back as far as the older level has words. Nothing
//! is decided here: whoever sends learns that a level has no words for a message and does without, or does it otherwise.

pub mod commands;
pub mod level_one;
pub mod messages;

pub use saddlerelay_types::feature_level::FeatureLevel;
