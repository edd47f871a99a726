//! Changes over HTTP.

pub mod callers;
pub mod control;
pub mod trainers;
