//! Settings of processes that find each other from seeds.

use saddlerelay_settings::{Interface, MemberRole, parse_member};
use std::time::Duration;

const COORDINATOR: &str = r#"
role = "coordinator"
name = "store-1"
zone = "north"
control_address = "10.0.0.1:8166"
peer_address = "10.0.0.1:7720"
data_folder = "/data/keeper"
first_start = true
seeds = ["10.0.0.1:8166", "10.0.1.1:8166"]
peer_port = 7720
shared_secret = "a secret of sixteen signs"

[bounds]
drain_ms = 2500
configuration_ms = 2000
grace_s = 8.5
tolerated_losses = 2
"#;

const GATEWAY: &str = r#"
role = "gateway"
interface = "platform"
name = "front-1"
zone = "north"
client_address = "10.0.0.2:8161"
readiness_address = "10.0.0.2:8167"
seeds = ["10.0.0.1:8166"]
peer_port = 7720
shared_secret = "a secret of sixteen signs"
"#;

fn errors(text: &str) -> Vec<String> {
    parse_member(text).expect_err("it is wrong").iter().map(ToString::to_string).collect()
}

#[test]
fn a_coordinator_and_a_gateway_are_read() {
    let settings = parse_member(COORDINATOR).expect("it is right");
    assert_eq!(settings.interface, Interface::Own);
    assert_eq!(settings.seed_peers(), ["10.0.0.1:7720".parse().unwrap(), "10.0.1.1:7720".parse().unwrap()]);
    assert!(matches!(settings.role, MemberRole::Coordinator { first_start: true, .. }));
    assert_eq!(settings.bounds.grace, Duration::from_millis(8_500));
    let settings = parse_member(GATEWAY).expect("it is right");
    assert_eq!(settings.interface, Interface::Platform);
    assert!(matches!(settings.role, MemberRole::Gateway { .. }));
}

/// Whatever the bounds, a relay's right to act ends before them, and the group bears the losses asked for.
#[test]
fn timings_follow_from_the_bounds() {
    let bounds = parse_member(COORDINATOR).expect("it is right").bounds;
    assert!(bounds.follow_lease() < bounds.drain.min(bounds.configuration));
    assert!(bounds.order_distance() > bounds.order_lease);
    assert!(bounds.control().job_keep > bounds.job_status);
    let replication = bounds.replication();
    assert_eq!(replication.target_voters, 5);
    assert_eq!(replication.error(), None);
    assert!(replication.election_timeout + replication.election_jitter < bounds.follow_lease());
}

#[test]
fn duties_towards_the_platform_are_read() {
    let with = |text: &str| format!("{COORDINATOR}revocation_ms = 1500\n{text}");
    let usage = "[usage]\nwindow_s = 5\ndue_after_s = 10\n";
    let platform = "[platform]\naddress = \"10.0.0.9:80\"\nduties = [\"usage_report\", \"autoscale\"]\n";
    let settings = parse_member(&with(&format!("{usage}{platform}"))).expect("it is right");
    let (held, duties) = (settings.usage.expect("it counts"), settings.platform.expect("it has duties"));
    assert_eq!((held.window, held.due_after), (Duration::from_secs(5), Duration::from_secs(10)));
    assert!(duties.reports_usage && duties.orders_engines);
    assert!(settings.bounds.follow_lease() < Duration::from_millis(1_500), "a key is refused in time out of touch too");
    assert_eq!(parse_member(COORDINATOR).expect("it is right").platform, None);
    let told = errors(&with(platform));
    assert!(told[0].starts_with("`usage`: is missing"), "{told:?}");
    let told = errors(&with(&format!("{usage}{}", platform.replace("autoscale", "baking"))));
    assert!(told[0].starts_with("`platform.duties`"), "{told:?}");
}

#[test]
fn everything_that_is_wrong_is_told() {
    let wrong = GATEWAY
        .replace("readiness_address = \"10.0.0.2:8167\"", "readiness_address = \"front\"")
        .replace("interface = \"platform\"", "interface = \"soap\"")
        .replace("peer_port = 7720", "peer_port = 0")
        .replace("name = \"front-1\"", "");
    let told = errors(&format!("{wrong}surplus = 1\n\n[bounds]\ndrain_ms = 3\ngrace_s = \"long\"\n"));
    let about = |key: &str| told.iter().any(|line| line.starts_with(&format!("`{key}`")));
    for key in ["readiness_address", "interface", "peer_port", "name", "surplus", "bounds.drain_ms", "bounds.grace_s"] {
        assert!(about(key), "nothing about {key}: {told:#?}");
    }
    assert_eq!(told.len(), 7);
}

#[test]
fn a_missing_field_of_a_template_is_told_by_its_key() {
    // What a template leaves behind when the deployment lacks a field.
    let told = errors(&COORDINATOR.replace("\"10.0.0.1:8166\"\npeer_address", "\"\"\npeer_address"));
    assert_eq!(told.len(), 1);
    assert!(told[0].starts_with("`control_address` = \"\""), "{told:?}");
    let told = errors(&COORDINATOR.replace("drain_ms = 2500", "drain_ms = "));
    assert!(told[0].starts_with("`(file)`"), "{told:?}");
    let told = errors("role = \"baker\"\nseeds = []\n");
    assert!(told.contains(&"`role` = \"baker\": is not `gateway` or `coordinator`".to_string()), "{told:?}");
}
