//! How many engines are wanted: one policy a file, behind one trait.

pub mod keep_initial;

pub use keep_initial::KeepInitial;

use saddlerelay_types::gateway::EnginePlace;
use saddlerelay_types::routing::ScalingLimits;

/// A service in a zone, as the leader sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceView {
    /// The service and the zone.
    pub place: EnginePlace,
    /// Engines that report themselves and may be given work.
    pub present: u32,
    /// How many are wanted so far; `None` before that was decided.
    pub wanted: Option<u32>,
    /// Between which numbers they may be ordered, and what they cost.
    pub limits: ScalingLimits,
}

/// Decides how many engines are wanted.
pub trait EngineCountPolicy: 'static {
    /// How many are wanted in a place from now on.
    fn wanted(&self, view: &PlaceView) -> u32;
}
