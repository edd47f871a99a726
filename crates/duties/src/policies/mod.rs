//! Policies that choose how many engines are wanted.

pub mod keep_initial;

pub use keep_initial::KeepInitial;

use saddlerelay_types::gateway::EnginePool;
use saddlerelay_types::routing::ScalingLimits;

/// The state of a service in a zone, as observed by the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePoolView {
    /// The service and zone.
    pub pool: EnginePool,
    /// Engines that are ready and reporting.
    pub available: u32,
    /// The committed number of wanted engines; `None` before the first decision.
    pub wanted: Option<u32>,
    /// The service's scaling limits and costs.
    pub limits: ScalingLimits,
}

/// Chooses how many engines are wanted.
pub trait EngineCountPolicy: 'static {
    /// The number of engines wanted in an engine pool from now on.
    fn wanted(&self, view: &EnginePoolView) -> u32;
}
