//! Checks what stand-ins saw against what must always hold.
//!
//! Engines, trainers, callers and operators each write [`record::Record`]s of their own. [`check::check`] reads them
//! all and never asks the product. [`report::Report`] holds the violations, counts and measures.

pub mod check;
pub mod measures;
pub mod record;
pub mod report;
