//! The replicated state. Only `commands` change it.

pub mod claims;
pub mod configuration;
pub mod instances;
pub mod jobs;
pub mod members;
pub mod rollouts;
pub mod routing;
pub mod stores;
pub mod text_archive;
pub mod weights;

use bitcode::{Decode, Encode};
use claims::ClaimTable;
use configuration::ConfigurationStore;
use instances::InstanceTable;
use jobs::JobTable;
use members::MemberTable;
use rollouts::RolloutLedger;
use routing::RoutingState;
use stores::StoreTable;
use weights::WeightState;

/// Everything the control group keeps.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlState {
    /// Unix milliseconds of the newest command; never goes back.
    pub time: u64,
    /// Templates and tenants.
    pub configuration: ConfigurationStore,
    /// Claims of keyed requests.
    pub claims: ClaimTable,
    /// Trainers, steps and samples.
    pub rollouts: RolloutLedger,
    /// Relays and engines.
    pub members: MemberTable,
    /// The routing document.
    pub routing: RoutingState,
    /// Engine instances that report themselves.
    pub instances: InstanceTable,
    /// Weight versions that trainers have named, and the holder of orders.
    pub weights: WeightState,
    /// Batch jobs.
    pub jobs: JobTable,
    /// Machines that keep the group's data.
    pub stores: StoreTable,
}
