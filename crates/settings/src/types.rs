//! The settings of a process.

use saddlerelay_control::config::ControlConfig;
use saddlerelay_policies::PolicyName;
use saddlerelay_relay::config::RelayConfig;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_types::identity::Zone;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What every process has.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// The folder under which all its files live; created if it does not exist.
    pub data_folder: PathBuf,
    /// Where it serves HTTP.
    pub http_address: SocketAddr,
    /// Where the control replicas listen for saddlerelay's own processes.
    pub control: Vec<SocketAddr>,
    /// The secret that saddlerelay's own processes share; at least 16 characters.
    pub shared_secret: String,
    /// The scorer; without one every sample's reward is zero.
    pub scorer: Option<SocketAddr>,
    /// The platform's machine list, if there is one.
    pub platform: Option<SocketAddr>,
    /// What the process is.
    pub role: Role,
}

/// What a process is.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Serves callers and trainers.
    Relay(RelaySettings),
    /// One replica of the control group.
    Control(Box<ControlSettings>),
}

/// A relay's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Which engine gets a request. Default: `prefix-affinity`.
    pub policy: PolicyName,
    /// Limits.
    pub config: RelayConfig,
}

/// A control process's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Where this replica listens for saddlerelay's own processes; one of the `control` addresses.
    pub peer_address: SocketAddr,
    /// The operators' token; at least 16 characters.
    pub operator_token: String,
    /// Leases and polling.
    pub config: ControlConfig,
    /// Replication.
    pub replication: ReplicationConfig,
}
