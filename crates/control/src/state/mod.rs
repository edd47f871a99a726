//! The replicated state. Only `commands` change it.

pub mod claims;
pub mod configuration;
pub mod members;
pub mod rollouts;

use bitcode::{Decode, Encode};
use claims::ClaimTable;
use configuration::ConfigurationStore;
use members::MemberTable;
use rollouts::RolloutLedger;

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
}
