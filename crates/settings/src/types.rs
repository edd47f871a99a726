//! Settings of a relay or a control process.

use crate::clients::ClientSettings;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_policies::PolicyName;
use saddlerelay_relay::config::RelayConfig;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_types::identity::Zone;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a process; `role` contains those that depend on its role.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// The folder for all of the process's files; created if missing.
    pub data_folder: PathBuf,
    /// HTTP listen address.
    pub http_address: SocketAddr,
    /// Peer RPC addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Shared secret that authenticates peer RPCs; at least 16 bytes.
    pub shared_secret: String,
    /// Address of the scorer; without one the reward of every sample is zero.
    pub scorer: Option<SocketAddr>,
    /// Address of the platform's machine list, if there is one.
    pub platform: Option<SocketAddr>,
    /// What clients may make the process hold.
    pub clients: ClientSettings,
    /// Role of the process.
    pub role: Role,
}

/// Role of a process, with the settings of that role.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// A relay, which serves callers and trainers.
    Relay(RelaySettings),
    /// A replica of the control group.
    Control(Box<ControlSettings>),
}

/// A relay's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Policy that selects the engine of a request. Default: `prefix-affinity`.
    pub policy: PolicyName,
    /// Timeouts, intervals and limits.
    pub config: RelayConfig,
}

/// A control process's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Listen address for peer RPCs; must be one of the `control` addresses.
    pub peer_address: SocketAddr,
    /// Bearer token of operators; at least 16 bytes.
    pub operator_token: String,
    /// Leases, polling intervals and timeouts.
    pub config: ControlConfig,
    /// Replication.
    pub replication: ReplicationConfig,
}
