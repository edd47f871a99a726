//! Settings of a process in a deployment that finds its own members: what the process is, where it listens, whom it
//! asks first, and the deployment's bounds, from which every timing is derived.

use crate::reader::{Section, SettingError};
use saddlerelay_control::config::ControlConfig;
use saddlerelay_replication::config::ReplicationConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Table;

/// Shortest shared secret, in characters.
const SHORTEST_SECRET: usize = 16;

/// What is left between the end of a relay's lease and the bound that it serves, for clocks and messages in flight.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// What is added to the reports that an engine may miss before it is called silent.
const SILENCE_MARGIN: Duration = Duration::from_millis(400);

/// Reports that an engine may miss before it is called silent.
const MISSED_REPORTS: u32 = 3;

/// What is added to the time for which a job must be readable.
const KEEP_MARGIN: Duration = Duration::from_secs(30);

/// What is added to the wait of a new holder of orders.
const ORDER_MARGIN: Duration = Duration::from_millis(400);

/// Bytes of log that a member writes between two snapshots. A process that starts holds them twice, once as its file and
/// once decoded: little beside the smallest machines' memory of 88 MB. Snapshots are small, because they leave texts out.
const SNAPSHOT_BYTES: u64 = 12 * 1024 * 1024;

/// Bytes of log that a member keeps in memory for voters that are behind. Beyond, they are sent what its log file holds.
const MEMORY_BYTES_BEHIND: u64 = 3 * 1024 * 1024;

/// The duty of telling the platform the usage of tenants, as the settings name it.
const USAGE_REPORT: &str = "usage_report";

/// The duty of telling the platform how many engines are wanted, as the settings name it.
const AUTOSCALE: &str = "autoscale";

/// A member's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it tells its metrics, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Where control replicas may be found at first: the addresses that they serve operators and engines at.
    pub seeds: Vec<SocketAddr>,
    /// The port at which every replica listens for saddlerelay's own processes.
    pub peer_port: u16,
    /// The secret that saddlerelay's own processes share; at least 16 characters.
    pub shared_secret: String,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// How tenants' requests are counted; `None` if they are not.
    pub usage: Option<UsageSettings>,
    /// The platform, where the deployment has duties towards it.
    pub platform: Option<PlatformSettings>,
    /// How callers, engines and operators speak to it.
    pub interface: Interface,
    /// What the process is.
    pub role: MemberRole,
}

/// How tenants' requests are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// The length of a window.
    pub window: Duration,
    /// A window's report is due that long after its end.
    pub due_after: Duration,
}

/// What the deployment's leader does towards the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Where the platform takes calls.
    pub address: SocketAddr,
    /// It is told the usage of tenants.
    pub reports_usage: bool,
    /// It is told how many engines are wanted.
    pub orders_engines: bool,
}

/// How callers, engines and operators speak to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// In the product's own formats.
    Own,
    /// In those of the users' platform.
    Platform,
}

/// What a member is.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberRole {
    /// Serves clients; keeps nothing.
    Gateway {
        /// Where clients reach it.
        client_address: SocketAddr,
        /// Where it is asked whether it takes connections.
        readiness_address: SocketAddr,
    },
    /// A replica of the control group, which also runs batch jobs while it leads.
    Coordinator {
        /// Where operators and engines reach it.
        control_address: SocketAddr,
        /// Where saddlerelay's own processes reach it.
        peer_address: SocketAddr,
        /// Where it listens for them, if that is elsewhere, for example behind a forwarder.
        peer_listen_address: SocketAddr,
        /// Its files.
        data_folder: PathBuf,
        /// Whether the deployment starts for the first time.
        first_start: bool,
    },
}

/// What a deployment promises, and how often its engines report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Pause between an engine's reports.
    pub report_interval: Duration,
    /// A leaving engine gets no new work so long after its leaving was acknowledged.
    pub drain: Duration,
    /// A configuration is in force so long after it was acknowledged.
    pub configuration: Duration,
    /// A key that was taken away is refused so long after it was acknowledged, by a relay out of touch too.
    pub revocation: Duration,
    /// Holders of orders do not take turns within this time.
    pub order_lease: Duration,
    /// A planned stop may take so long.
    pub grace: Duration,
    /// A batch job stays readable so long after it was handed in.
    pub job_status: Duration,
    /// Machines that may be lost at once.
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
        section.end();
        bounds
    }

    /// How long a relay may act on what it was told.
    pub fn follow_lease(&self) -> Duration {
        self.drain.min(self.configuration).min(self.revocation).saturating_sub(LEASE_MARGIN)
    }

    /// The control group's timing.
    pub fn control(&self) -> ControlConfig {
        ControlConfig {
            follow_lease: self.follow_lease(),
            instance_silence: self.report_interval * MISSED_REPORTS + SILENCE_MARGIN,
            job_keep: self.job_status + KEEP_MARGIN,
            order_distance: self.order_distance(),
            ..ControlConfig::default()
        }
    }

    /// How far apart the orders of two holders about one subject must be.
    pub fn order_distance(&self) -> Duration {
        self.order_lease + ORDER_MARGIN
    }

    /// Replication among as many voters as the losses to be borne ask for.
    pub fn replication(&self) -> ReplicationConfig {
        ReplicationConfig {
            heartbeat_interval: Duration::from_millis(70),
            election_timeout: Duration::from_millis(500),
            election_jitter: Duration::from_millis(200),
            lease: Duration::from_millis(400),
            call_limit: Duration::from_millis(700),
            snapshot_entries: 40_000,
            snapshot_bytes: SNAPSHOT_BYTES,
            memory_bytes: 512 * 1024,
            memory_bytes_behind: MEMORY_BYTES_BEHIND,
            target_voters: 2 * self.tolerated_losses as usize + 1,
            ..ReplicationConfig::default()
        }
    }
}

impl MemberSettings {
    /// Where the replicas behind the seeds listen for saddlerelay's own processes.
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
    section.end();
    Some(usage)
}

fn parse_platform(table: Table, errors: &mut Vec<SettingError>) -> Option<PlatformSettings> {
    if table.is_empty() {
        return None;
    }
    let mut section = Section::new("platform", table, errors);
    let address = section.address("address");
    let duties = section.texts("duties", &[USAGE_REPORT, AUTOSCALE]);
    section.end();
    let has = |duty: &str| duties.iter().any(|named| named == duty);
    Some(PlatformSettings { address, reports_usage: has(USAGE_REPORT), orders_engines: has(AUTOSCALE) })
}

fn parse_interface(root: &mut Section) -> Interface {
    match root.optional_text("interface").as_deref() {
        None | Some("own") => Interface::Own,
        Some("platform") => Interface::Platform,
        Some(other) => {
            root.refuse("interface", Some(format!("\"{other}\"")), "is not `own` or `platform`");
            Interface::Own
        }
    }
}

/// Reads a member's settings, or tells everything that is wrong with them.
pub fn parse_member(text: &str) -> Result<MemberSettings, Vec<SettingError>> {
    let table: Table = text.parse().map_err(|error: toml::de::Error| {
        vec![SettingError { key: "(file)".to_string(), value: None, reason: error.to_string() }]
    })?;
    let mut errors = Vec::new();
    let mut root = Section::new("", table, &mut errors);
    let bounds = root.take_table("bounds");
    let usage = root.take_table("usage");
    let platform = root.take_table("platform");
    let role_name = root.text("role", 1);
    let name = root.text("name", 1);
    let zone = root.text("zone", 1);
    let metrics_address = root.optional_address("metrics_address");
    let seeds = root.addresses("seeds");
    let peer_port = root.required_number("peer_port", 1..=65_535) as u16;
    let shared_secret = root.text("shared_secret", SHORTEST_SECRET);
    let interface = parse_interface(&mut root);
    let role = match role_name.as_str() {
        "coordinator" => parse_coordinator(&mut root),
        _ => MemberRole::Gateway {
            client_address: root.address("client_address"),
            readiness_address: root.address("readiness_address"),
        },
    };
    if !matches!(role_name.as_str(), "" | "gateway" | "coordinator") {
        root.refuse("role", Some(format!("\"{role_name}\"")), "is not `gateway` or `coordinator`");
    }
    root.end();
    let bounds = Bounds::parse(bounds, &mut errors);
    let usage = parse_usage(usage, &mut errors);
    let platform = parse_platform(platform, &mut errors);
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
        interface,
        role,
    };
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}
