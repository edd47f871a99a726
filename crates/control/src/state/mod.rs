//! The replicated state. Only `commands` change it, except for silent flags at feature level one and the cache of text
//! segments, which are local to a replica.

pub mod claims;
pub mod configuration;
pub mod engine_counts;
pub mod engine_subset;
pub mod instances;
pub mod jobs;
mod level_one;
pub mod loss_history;
pub mod members;
pub mod orders;
pub mod pending_instances;
pub mod registration;
pub mod rollouts;
pub mod routing;
pub mod stores;
pub mod suspicions;
pub mod text_archive;
pub mod uptime_expiry;
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

/// The replicated state of the control group.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlState {
    /// Highest leader time of any applied command, in Unix milliseconds.
    pub time: u64,
    /// Templates and tenants.
    pub configuration: ConfigurationStore,
    /// Claims of requests with an idempotency key.
    pub claims: ClaimTable,
    /// Trainers, steps and samples.
    pub rollouts: RolloutLedger,
    /// Relays and engines.
    pub members: MemberTable,
    /// The current routing document.
    pub routing: RoutingState,
    /// Registered engine instances.
    pub instances: InstanceTable,
    /// Reports of engines whose service is not in the routing document.
    pub pending_instances: PendingInstances,
    /// Weight versions published by trainers.
    pub weights: WeightState,
    /// The holder of orders to engines and to the platform, and its order intents.
    pub orders: OrderState,
    /// Desired number of engines by service and zone.
    pub engine_counts: EngineCountState,
    /// Number of requests that engines have started, by tenant.
    pub usage: UsageState,
    /// Batch jobs.
    pub jobs: JobTable,
    /// Machines that store the group's data.
    pub stores: StoreTable,
    /// Work that was running on engines when they failed, and trial leases.
    pub suspicions: SuspicionTable,
}
