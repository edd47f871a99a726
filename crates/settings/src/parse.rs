//! Parses the settings file of a relay or a control process.

use crate::clients::ClientSettings;
use crate::reader::{Section, SettingError};
use crate::types::{ControlSettings, RelaySettings, Role, Settings};
use saddlerelay_control::config::ControlConfig;
use saddlerelay_policies::PolicyName;
use saddlerelay_relay::config::RelayConfig;
use saddlerelay_replication::config::ReplicationConfig;
use saddlerelay_types::identity::Zone;
use std::path::PathBuf;
use toml::Table;

const MIN_SECRET_BYTES: usize = 16;

/// Parses settings; on failure returns every error in the file.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingError>> {
    let table: Table = text.parse().map_err(|error: toml::de::Error| {
        vec![SettingError { key: "(file)".to_string(), value: None, reason: error.to_string() }]
    })?;
    let mut errors = Vec::new();
    let mut root = Section::new("", table, &mut errors);
    let role = root.text("role", 1);
    let clients = root.take_table("clients");
    let tables = [root.take_table("relay"), root.take_table("control_process"), root.take_table("replication")];
    let name = root.text("name", 1);
    let zone = Zone(root.text("zone", 1));
    let data_folder = PathBuf::from(root.text("data_folder", 1));
    let http_address = root.address("http_address");
    let control = root.addresses("control");
    let shared_secret = root.text("shared_secret", MIN_SECRET_BYTES);
    let scorer = root.optional_address("scorer");
    let platform = root.optional_address("platform");
    if !matches!(role.as_str(), "" | "relay" | "control") {
        root.reject("role", Some(format!("\"{role}\"")), "is not `relay` or `control`");
    }
    root.reject_unknown_keys();
    let role = parse_role(&role, tables, &control, &mut errors);
    let clients = ClientSettings::parse(clients, &mut errors);
    let settings =
        Settings { name, zone, data_folder, http_address, control, shared_secret, scorer, platform, clients, role };
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

fn parse_role(
    role: &str,
    tables: [Table; 3],
    control: &[std::net::SocketAddr],
    errors: &mut Vec<SettingError>,
) -> Role {
    let [relay, process, replication] = tables;
    if role == "control" {
        reject_section("relay", &relay, errors);
        Role::Control(Box::new(parse_control(process, replication, control, errors)))
    } else {
        reject_section("control_process", &process, errors);
        reject_section("replication", &replication, errors);
        Role::Relay(parse_relay(relay, errors))
    }
}

fn reject_section(name: &str, table: &Table, errors: &mut Vec<SettingError>) {
    if !table.is_empty() {
        let reason = "is a section of the other role".to_string();
        errors.push(SettingError { key: name.to_string(), value: None, reason });
    }
}

fn parse_relay(table: Table, errors: &mut Vec<SettingError>) -> RelaySettings {
    let default = RelayConfig::default();
    let mut section = Section::new("relay", table, errors);
    let policy_name = section.optional_text("policy").unwrap_or_else(|| "prefix-affinity".to_string());
    let policy = PolicyName::parse(&policy_name).unwrap_or_else(|| {
        let names: Vec<&str> = PolicyName::ALL.iter().map(|policy| policy.as_str()).collect();
        section.reject("policy", Some(format!("\"{policy_name}\"")), format!("is not one of {}", names.join(", ")));
        PolicyName::PrefixAffinity
    });
    let config = RelayConfig {
        renewal_retry_delay: section.milliseconds("renew_interval_ms", default.renewal_retry_delay, 50..=1_000),
        renewal_timeout: section.milliseconds("renew_limit_ms", default.renewal_timeout, 100..=5_000),
        assignment_interval: section.milliseconds("rollout_interval_ms", default.assignment_interval, 10..=5_000),
        max_assignment_batch: section.number("rollout_batch", u64::from(default.max_assignment_batch), 1..=1_024)
            as u32,
        connect_timeout: section.milliseconds("connect_limit_ms", default.connect_timeout, 10..=10_000),
        chunk_timeout: section.milliseconds("chunk_limit_ms", default.chunk_timeout, 100..=120_000),
        max_engine_wait: section.milliseconds("engine_wait_ms", default.max_engine_wait, 0..=60_000),
        max_newer_weights_wait: section.milliseconds(
            "newer_weights_wait_ms",
            default.max_newer_weights_wait,
            0..=600_000,
        ),
        claim_timeout: section.milliseconds("claim_limit_ms", default.claim_timeout, 100..=30_000),
        max_attempts: section.number("attempts", u64::from(default.max_attempts), 1..=20) as u32,
        engine_in_flight_percent: section.number(
            "engine_in_flight_percent",
            u64::from(default.engine_in_flight_percent),
            10..=1_000,
        ) as u32,
        max_fetch_wait: section.milliseconds("fetch_wait_ms", default.max_fetch_wait, 0..=30_000),
        drain_timeout: section.milliseconds("drain_limit_ms", default.drain_timeout, 1_000..=3_600_000),
        last_trial_pause: section.milliseconds("last_trial_pause_ms", default.last_trial_pause, 0..=600_000),
    };
    section.reject_unknown_keys();
    RelaySettings { policy, config }
}

fn parse_control(
    process: Table,
    replication: Table,
    control: &[std::net::SocketAddr],
    errors: &mut Vec<SettingError>,
) -> ControlSettings {
    let default = ControlConfig::default();
    let mut section = Section::new("control_process", process, errors);
    let peer_address = section.address("peer_address");
    if !control.contains(&peer_address) {
        section.reject("peer_address", Some(format!("\"{peer_address}\"")), "is not among the `control` addresses");
    }
    let operator_token = section.text("operator_token", MIN_SECRET_BYTES);
    let config = ControlConfig {
        relay_lease: section.milliseconds("relay_lease_ms", default.relay_lease, 500..=10_000),
        relay_loss_timeout: section.milliseconds("relay_loss_ms", default.relay_loss_timeout, 1_000..=60_000),
        engine_poll_interval: section.milliseconds("engine_poll_interval_ms", default.engine_poll_interval, 50..=5_000),
        engine_poll_timeout: section.milliseconds("engine_poll_limit_ms", default.engine_poll_timeout, 50..=5_000),
        engine_poll_failures: section.number("engine_poll_failures", u64::from(default.engine_poll_failures), 1..=100)
            as u32,
        platform_interval: section.milliseconds("platform_interval_ms", default.platform_interval, 50..=10_000),
        relay_check_interval: default.relay_check_interval,
        long_poll_timeout: section.milliseconds("renewal_wait_ms", default.long_poll_timeout, 50..=1_000),
        leader_relays: default.leader_relays,
        update_batch_delay: section.milliseconds("news_interval_ms", default.update_batch_delay, 1..=1_000),
        sample_long_poll_timeout: default.sample_long_poll_timeout,
        follow_lease: default.follow_lease,
        instance_silence_timeout: default.instance_silence_timeout,
        job_retention: default.job_retention,
        order_separation: default.order_separation,
        order_validity: default.order_validity,
        reply_memory: default.reply_memory,
    };
    if config.relay_loss_timeout <= config.relay_lease {
        section.reject("relay_loss_ms", None, "must be longer than `relay_lease_ms`");
    }
    section.reject_unknown_keys();
    let replication = parse_replication(replication, errors);
    ControlSettings { peer_address, operator_token, config, replication }
}

fn parse_replication(table: Table, errors: &mut Vec<SettingError>) -> ReplicationConfig {
    let default = ReplicationConfig::default();
    let mut section = Section::new("replication", table, errors);
    let config = ReplicationConfig {
        heartbeat_interval: section.milliseconds("heartbeat_ms", default.heartbeat_interval, 10..=5_000),
        election_timeout: section.milliseconds("election_timeout_ms", default.election_timeout, 100..=30_000),
        election_jitter: section.milliseconds("election_jitter_ms", default.election_jitter, 10..=30_000),
        lease: section.milliseconds("lease_ms", default.lease, 50..=30_000),
        snapshot_entries: section.number("snapshot_entries", default.snapshot_entries, 16..=10_000_000),
        snapshot_bytes: section.number("snapshot_bytes", default.snapshot_bytes, 65_536..=1 << 40),
        target_voters: section.number("voters", default.target_voters as u64, 1..=9) as usize,
        ..default
    };
    if let Some(reason) = config.error() {
        section.reject("lease_ms", None, reason);
    }
    section.reject_unknown_keys();
    config
}
