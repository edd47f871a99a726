//! Checks the records of stand-ins against the invariants of the service.
//!
//! Stand-ins for engines, trainers, callers and operators write [`record::Record`]s. [`check::check`] uses only these
//! records, not the service's own state. [`report::Report`] holds the violations, counts and measures.

pub mod check;
pub mod measures;
pub mod record;
pub mod report;
