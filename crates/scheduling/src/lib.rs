//! Decisions under load: which work goes first, which engine it goes to, and which requests are admitted.
//!
//! Each decision is a pure function over a snapshot of engines and work. Modules need neither network nor clock: the
//! caller passes the time.

pub mod activation;
pub mod admission;
pub mod balance;
pub mod capacity;
pub mod completion;
pub mod load_report;
pub mod long_texts;
pub mod order;
pub mod pass;
pub mod placement;
pub mod shares;

pub use activation::Activation;
pub use admission::{Admission, HedgeBudget, RejectReason, Rejection, RequestTimes};
pub use balance::{AgedReport, EngineLoad, ObservedWork, ServiceLoad};
pub use capacity::{Capacities, CapacityModel};
pub use completion::{CapacityEstimate, EngineSnapshot, Work, expected_duration};
pub use load_report::LoadReport;
pub use placement::{
    Candidate, PlacedWork, Placement, PlacementMethod, PlacementReason, RunningWork, move_target, place,
};
