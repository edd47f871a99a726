//! The replicated state. Only `commands` change it.

pub mod claims;
pub mod configuration;
pub mod engine_counts;
pub mod engine_subset;
pub mod instances;
pub mod jobs;
mod level_one;
pub mod members;
pub mod orders;
pub mod pending_instances;
pub mod registration;
pub mod rollouts;
pub mod routing;
pub mod stores;
pub mod suspicions;
pub mod text_archive;
pub mod usage;
pub mod weights;

use bitcode::{Decode, Encode};
use claims::ClaimTable;
use configuration::ConfigurationStore;
use engine_counts::EngineCountState;
use instances::InstanceTable;
use jobs::JobTable;
use members::MemberTable;
use orders::OrderState;
use pending_instances::PendingInstances;
use rollouts::RolloutLedger;
use routing::RoutingState;
use stores::StoreTable;
use suspicions::SuspicionTable;
use usage::UsageState;
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
    /// Reports of engines whose service is not named yet.
    pub pending_instances: PendingInstances,
    /// Weight versions that trainers have named.
    pub weights: WeightState,
    /// Who gives orders to engines and to the platform.
    pub orders: OrderState,
    /// How many engines are wanted where.
    pub engine_counts: EngineCountState,
    /// Requests that engines have begun, by tenant.
    pub usage: UsageState,
    /// Batch jobs.
    pub jobs: JobTable,
    /// Machines that keep the group's data.
    pub stores: StoreTable,
    /// Work under which engines have ended.
    pub suspicions: SuspicionTable,
}
