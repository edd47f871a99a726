//! What a relay does for callers, trainers and samples.

pub mod callers;
pub mod samples;
pub mod trainers;
