//! Settings of a gateway or coordinator in a deployment with seed-based discovery: its role, listen addresses and seeds, and
//! the deployment's bounds, from which leases and timeouts are derived.

use crate::clients::ClientSettings;
use crate::reader::{Section, SettingError};
use saddlerelay_control::config::{ControlConfig, ORDER_DELIVERY_LIMIT};
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_scheduling::Activation;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Table;

/// Minimum length of the shared secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Margin between the end of a relay's configuration lease and the shortest bound it must satisfy, for clock drift and
/// messages in flight.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Added to the interval of [`MISSED_REPORTS`] before an engine is considered silent.
const SILENCE_MARGIN: Duration = Duration::from_millis(400);

/// Consecutive reports that an engine may miss before it is considered silent.
const MISSED_REPORTS: u32 = 3;

/// Added to the retention that the settings require for a job.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// Added to the order lease and the time in which an order is delivered before a different holder may send orders about
/// the same subject, for packets that the network delays.
const ORDER_MARGIN: Duration = Duration::from_millis(200);

/// Log bytes between two snapshots. Replay at startup holds them in memory twice, encoded and decoded.
const SNAPSHOT_BYTES: u64 = 12 * 1024 * 1024;

/// Log bytes kept in memory for lagging voters; older entries are read from the log file.
const LAGGING_VOTER_BYTES: u64 = 3 * 1024 * 1024;

/// Settings value that enables usage reports to the platform.
const USAGE_REPORT: &str = "usage_report";

/// Settings value that enables requests to the platform for engine counts.
const AUTOSCALE: &str = "autoscale";

/// A member's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Listen address of the metrics endpoint; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Control addresses of coordinators, used for initial discovery.
    pub seeds: Vec<SocketAddr>,
    /// The peer RPC port of every replica.
    pub peer_port: u16,
    /// Shared secret that authenticates peer RPCs; at least 16 bytes.
    pub shared_secret: String,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// Usage accounting by tenant; `None` disables it.
    pub usage: Option<UsageSettings>,
    /// The platform that receives usage reports and engine counts; `None` if there is none.
    pub platform: Option<PlatformSettings>,
    /// Decisions under load that only some deployments need.
    pub scheduling: SchedulingSettings,
    /// What clients may make the process hold.
    pub clients: ClientSettings,
    /// Wire formats for callers, engines and operators.
    pub interface: Interface,
    /// Role of the process.
    pub role: MemberRole,
}

/// Which decisions under load are active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingSettings {
    /// Orders the waiting items of all batch jobs by urgency instead of by job.
    pub batch_order: Activation,
    /// Places items by their expected completion at each engine.
    pub placement: Activation,
    /// Admits and balances requests by the load that engines report.
    pub admission: Activation,
}

/// Usage accounting by tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of an accounting window.
    pub window: Duration,
    /// Deadline for a window's report, counted from the end of the window.
    pub due_after: Duration,
}

/// Calls that the deployment makes to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The platform's HTTP address.
    pub address: SocketAddr,
    /// Whether usage reports are sent.
    pub reports_usage: bool,
    /// Whether engine counts are requested.
    pub orders_engines: bool,
}

/// Wire formats for callers, engines and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// saddlerelay's native formats.
    Native,
    /// The formats of the users' platform.
    Platform,
}

/// Role of a process, with the settings of that role.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberRole {
    /// Serves clients; keeps no state on disk.
    Gateway {
        /// Listen address for clients.
        client_address: SocketAddr,
        /// Listen address of the readiness probe.
        readiness_address: SocketAddr,
    },
    /// A replica of the control group, which also runs batch jobs while it is the leader.
    Coordinator {
        /// Listen address for operators, trainers and engines.
        control_address: SocketAddr,
        /// Advertised address for peer RPCs.
        peer_address: SocketAddr,
        /// Listen address for peer RPCs; differs from `peer_address` behind a forwarder.
        peer_listen_address: SocketAddr,
        /// Folder for the log and the snapshots.
        data_folder: PathBuf,
        /// Whether the replicas at the seeds form a new group.
        first_start: bool,
    },
}

/// Time bounds that a deployment guarantees, and the report interval of its engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Interval of an engine's reports.
    pub report_interval: Duration,
    /// Time from the acknowledgement that an engine is leaving until no new work is sent to it.
    pub drain: Duration,
    /// Time from the acknowledgement of a configuration until it is in force on every relay.
    pub configuration: Duration,
    /// Time from the acknowledgement of a key's revocation until every relay rejects the key, even a partitioned one.
    pub revocation: Duration,
    /// Minimum time between orders of two different holders.
    pub order_lease: Duration,
    /// Time limit of a graceful shutdown.
    pub grace: Duration,
    /// Time for which a batch job stays readable after its submission.
    pub job_status: Duration,
    /// Number of machines that may fail at the same time.
    pub tolerated_losses: u64,
}

impl Bounds {
    fn parse(table: Table, errors: &mut Vec<SettingError>) -> Self {
        let mut section = Section::new("bounds", table, errors);
        let milliseconds = Duration::from_millis;
        let bounds = Self {
            report_interval: section.milliseconds("report_interval_ms", milliseconds(1_200), 50..=60_000),
            drain: section.milliseconds("drain_ms", milliseconds(2_000), 500..=600_000),
            configuration: section.milliseconds("configuration_ms", milliseconds(2_000), 500..=600_000),
            revocation: section.milliseconds("revocation_ms", milliseconds(600_000), 500..=600_000),
            order_lease: section.milliseconds("order_lease_ms", milliseconds(3_000), 0..=600_000),
            grace: section.seconds("grace_s", milliseconds(8_000), 1..=3_600),
            job_status: section.seconds("job_status_s", milliseconds(120_000), 1..=86_400),
            tolerated_losses: section.number("tolerated_losses", 1, 0..=4),
        };
        section.reject_unknown_keys();
        bounds
    }

    /// How long a relay may act on the configuration that it last received.
    pub fn follow_lease(&self) -> Duration {
        self.drain.min(self.configuration).min(self.revocation).saturating_sub(LEASE_MARGIN)
    }

    /// Timing of the control group.
    pub fn control(&self) -> ControlConfig {
        ControlConfig {
            follow_lease: self.follow_lease(),
            instance_silence_timeout: self.report_interval * MISSED_REPORTS + SILENCE_MARGIN,
            job_retention: self.job_status + RETENTION_MARGIN,
            order_separation: self.order_separation(),
            ..ControlConfig::default()
        }
    }

    /// Minimum time between the end of an order's validity and an order of a different holder about the same subject. An
    /// order that is delivered late still arrives an order lease before those of the next holder.
    pub fn order_separation(&self) -> Duration {
        self.order_lease + ORDER_DELIVERY_LIMIT + ORDER_MARGIN
    }

    /// Replication settings, with enough voters to tolerate `tolerated_losses` failures.
    pub fn replication(&self) -> ReplicationConfig {
        ReplicationConfig {
            heartbeat_interval: Duration::from_millis(70),
            election_timeout: Duration::from_millis(500),
            election_jitter: Duration::from_millis(200),
            lease: Duration::from_millis(400),
            call_timeout: Duration::from_millis(700),
            snapshot_entries: 40_000,
            snapshot_bytes: SNAPSHOT_BYTES,
            memory_bytes: 512 * 1024,
            memory_bytes_behind: LAGGING_VOTER_BYTES,
            target_voters: 2 * self.tolerated_losses as usize + 1,
            ..ReplicationConfig::default()
        }
    }
}

impl MemberSettings {
    /// Peer RPC addresses of the replicas at the seeds.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.peer_port)).collect()
    }
}

fn parse_coordinator(root: &mut Section) -> MemberRole {
    let peer_address = root.address("peer_address");
    MemberRole::Coordinator {
        control_address: root.address("control_address"),
        peer_address,
        peer_listen_address: root.optional_address("peer_listen_address").unwrap_or(peer_address),
        data_folder: PathBuf::from(root.text("data_folder", 1)),
        first_start: root.flag("first_start", false),
    }
}

fn parse_usage(table: Table, errors: &mut Vec<SettingError>) -> Option<UsageSettings> {
    if table.is_empty() {
        return None;
    }
    let mut section = Section::new("usage", table, errors);
    let usage = UsageSettings {
        window: section.seconds("window_s", Duration::from_secs(60), 1..=86_400),
        due_after: section.seconds("due_after_s", Duration::from_secs(60), 1..=86_400),
    };
    section.reject_unknown_keys();
    Some(usage)
}

fn parse_platform(table: Table, errors: &mut Vec<SettingError>) -> Option<PlatformSettings> {
    if table.is_empty() {
        return None;
    }
    let mut section = Section::new("platform", table, errors);
    let address = section.address("address");
    let duties = section.texts("duties", &[USAGE_REPORT, AUTOSCALE]);
    section.reject_unknown_keys();
    let is_enabled = |duty: &str| duties.iter().any(|enabled| enabled == duty);
    Some(PlatformSettings { address, reports_usage: is_enabled(USAGE_REPORT), orders_engines: is_enabled(AUTOSCALE) })
}

fn parse_scheduling(table: Table, errors: &mut Vec<SettingError>) -> SchedulingSettings {
    let mut section = Section::new("scheduling", table, errors);
    let scheduling = SchedulingSettings {
        batch_order: parse_activation(&mut section, "batch_order"),
        placement: parse_activation(&mut section, "placement"),
        admission: parse_activation(&mut section, "admission"),
    };
    section.reject_unknown_keys();
    scheduling
}

fn parse_activation(section: &mut Section, key: &str) -> Activation {
    let Some(name) = section.optional_text(key) else {
        return Activation::default();
    };
    let activation = Activation::parse(&name);
    if activation.is_none() {
        section.reject(key, Some(format!("\"{name}\"")), "is not `automatic`, `on` or `off`");
    }
    activation.unwrap_or_default()
}

fn parse_interface(root: &mut Section) -> Interface {
    match root.optional_text("interface").as_deref() {
        None | Some("own") => Interface::Native,
        Some("platform") => Interface::Platform,
        Some(other) => {
            root.reject("interface", Some(format!("\"{other}\"")), "is not `own` or `platform`");
            Interface::Native
        }
    }
}

/// Parses a member's settings; on failure returns every error in the file.
pub fn parse_member(text: &str) -> Result<MemberSettings, Vec<SettingError>> {
    let table: Table = text.parse().map_err(|error: toml::de::Error| {
        vec![SettingError { key: "(file)".to_string(), value: None, reason: error.to_string() }]
    })?;
    let mut errors = Vec::new();
    let mut root = Section::new("", table, &mut errors);
    let bounds = root.take_table("bounds");
    let usage = root.take_table("usage");
    let platform = root.take_table("platform");
    let scheduling = root.take_table("scheduling");
    let clients = root.take_table("clients");
    let role_name = root.text("role", 1);
    let name = root.text("name", 1);
    let zone = root.text("zone", 1);
    let metrics_address = root.optional_address("metrics_address");
    let seeds = root.addresses("seeds");
    let peer_port = root.required_number("peer_port", 1..=65_535) as u16;
    let shared_secret = root.text("shared_secret", MIN_SECRET_BYTES);
    let interface = parse_interface(&mut root);
    let role = match role_name.as_str() {
        "coordinator" => parse_coordinator(&mut root),
        _ => MemberRole::Gateway {
            client_address: root.address("client_address"),
            readiness_address: root.address("readiness_address"),
        },
    };
    if !matches!(role_name.as_str(), "" | "gateway" | "coordinator") {
        root.reject("role", Some(format!("\"{role_name}\"")), "is not `gateway` or `coordinator`");
    }
    root.reject_unknown_keys();
    let bounds = Bounds::parse(bounds, &mut errors);
    let usage = parse_usage(usage, &mut errors);
    let platform = parse_platform(platform, &mut errors);
    let scheduling = parse_scheduling(scheduling, &mut errors);
    let clients = ClientSettings::parse(clients, &mut errors);
    if platform.is_some_and(|platform| platform.reports_usage) && usage.is_none() {
        let reason = "is missing, although `platform.duties` names `usage_report`".to_string();
        errors.push(SettingError { key: "usage".to_string(), value: None, reason });
    }
    let settings = MemberSettings {
        name,
        zone,
        metrics_address,
        seeds,
        peer_port,
        shared_secret,
        bounds,
        usage,
        platform,
        scheduling,
        clients,
        interface,
        role,
    };
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}
