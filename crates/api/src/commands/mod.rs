//! Handlers of calls that change state.

pub mod callers;
pub mod control;
pub mod trainers;
