//! Background tasks of a control process; most act only while it leads.

pub mod confirmation;
pub mod engines;
pub mod job_expiry;
pub mod levels;
pub mod machines;
pub mod relays;
pub mod retirement;
pub mod retrials;
pub mod silence;
pub mod suspicions;
pub mod trials;
pub mod usage;
