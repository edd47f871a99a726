//! Requests of callers and trainers, and generation of samples.

pub mod callers;
pub mod samples;
pub mod trainers;
