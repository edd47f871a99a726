//! Parses the settings of processes with seed-based discovery.

use saddlerelay_control::config::ORDER_DELIVERY_LIMIT;
use saddlerelay_scheduling::Activation;
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
    parse_member(text).expect_err("settings must be rejected").iter().map(ToString::to_string).collect()
}

#[test]
fn coordinator_and_gateway_settings_are_parsed() {
    let settings = parse_member(COORDINATOR).expect("settings must be valid");
    assert_eq!(settings.interface, Interface::Native);
    assert_eq!(settings.seed_peers(), ["10.0.0.1:7720".parse().unwrap(), "10.0.1.1:7720".parse().unwrap()]);
    assert!(matches!(settings.role, MemberRole::Coordinator { first_start: true, .. }));
    assert_eq!(settings.bounds.grace, Duration::from_millis(8_500));
    let settings = parse_member(GATEWAY).expect("settings must be valid");
    assert_eq!(settings.interface, Interface::Platform);
    assert!(matches!(settings.role, MemberRole::Gateway { .. }));
}

/// A relay's lease must expire before the bounds, and the group must have enough voters for the tolerated failures.
#[test]
fn timings_are_derived_from_the_bounds() {
    let bounds = parse_member(COORDINATOR).expect("settings must be valid").bounds;
    assert!(bounds.follow_lease() < bounds.drain.min(bounds.configuration));
    assert!(bounds.order_separation() > bounds.order_lease);
    assert!(bounds.control().job_retention > bounds.job_status);
    let replication = bounds.replication();
    assert_eq!(replication.target_voters, 5);
    assert_eq!(replication.error(), None);
    assert!(replication.election_timeout + replication.election_jitter < bounds.follow_lease());
}

/// Guards against orders of two holders that arrive in the wrong order, or closer than the lease, because the earlier one
/// was delivered late.
#[test]
fn another_holder_waits_until_earlier_orders_have_been_delivered() {
    for lease_ms in [0, 100, 500, 1_000, 3_000, 600_000] {
        let text = COORDINATOR.replace("[bounds]", &format!("[bounds]\norder_lease_ms = {lease_ms}"));
        let bounds = parse_member(&text).expect("settings must be valid").bounds;
        let control = bounds.control();
        let last_arrival = control.order_validity + ORDER_DELIVERY_LIMIT;
        let first_of_next_holder = control.order_validity + control.order_separation;
        assert!(first_of_next_holder > last_arrival + bounds.order_lease, "order_lease_ms = {lease_ms}");
    }
}

#[test]
fn usage_and_platform_settings_are_parsed() {
    let with = |text: &str| format!("{COORDINATOR}revocation_ms = 1500\n{text}");
    let usage = "[usage]\nwindow_s = 5\ndue_after_s = 10\n";
    let platform = "[platform]\naddress = \"10.0.0.9:80\"\nduties = [\"usage_report\", \"autoscale\"]\n";
    let settings = parse_member(&with(&format!("{usage}{platform}"))).expect("settings must be valid");
    let (counting, duties) = (settings.usage.expect("usage settings"), settings.platform.expect("platform settings"));
    assert_eq!((counting.window, counting.due_after), (Duration::from_secs(5), Duration::from_secs(10)));
    assert!(duties.reports_usage && duties.orders_engines);
    assert!(
        settings.bounds.follow_lease() < Duration::from_millis(1_500),
        "a partitioned relay rejects a revoked key in time"
    );
    assert_eq!(parse_member(COORDINATOR).expect("settings must be valid").platform, None);
    let messages = errors(&with(platform));
    assert!(messages[0].starts_with("`usage`: is missing"), "{messages:?}");
    let messages = errors(&with(&format!("{usage}{}", platform.replace("autoscale", "baking"))));
    assert!(messages[0].starts_with("`platform.duties`"), "{messages:?}");
}

#[test]
fn all_errors_are_reported() {
    let invalid = GATEWAY
        .replace("readiness_address = \"10.0.0.2:8167\"", "readiness_address = \"front\"")
        .replace("interface = \"platform\"", "interface = \"soap\"")
        .replace("peer_port = 7720", "peer_port = 0")
        .replace("name = \"front-1\"", "");
    let messages = errors(&format!("{invalid}surplus = 1\n\n[bounds]\ndrain_ms = 3\ngrace_s = \"long\"\n"));
    let has_error_for = |key: &str| messages.iter().any(|line| line.starts_with(&format!("`{key}`")));
    for key in ["readiness_address", "interface", "peer_port", "name", "surplus", "bounds.drain_ms", "bounds.grace_s"] {
        assert!(has_error_for(key), "no error about {key}: {messages:#?}");
    }
    assert_eq!(messages.len(), 7);
}

#[test]
fn an_unfilled_template_field_is_reported_by_its_key() {
    // A template whose value is missing renders to an empty string or to nothing.
    let messages = errors(&COORDINATOR.replace("\"10.0.0.1:8166\"\npeer_address", "\"\"\npeer_address"));
    assert_eq!(messages.len(), 1);
    assert!(messages[0].starts_with("`control_address` = \"\""), "{messages:?}");
    let messages = errors(&COORDINATOR.replace("drain_ms = 2500", "drain_ms = "));
    assert!(messages[0].starts_with("`(file)`"), "{messages:?}");
    let messages = errors("role = \"baker\"\nseeds = []\n");
    assert!(messages.contains(&"`role` = \"baker\": is not `gateway` or `coordinator`".to_string()), "{messages:?}");
}

/// Guards against a misspelled value that silently leaves a decision at its default.
#[test]
fn scheduling_settings_are_parsed() {
    let default = parse_member(GATEWAY).expect("settings must be valid").scheduling;
    assert_eq!(default.admission, Activation::Automatic);
    let text = format!("{GATEWAY}\n[scheduling]\nbatch_order = \"on\"\nplacement = \"off\"\n");
    let scheduling = parse_member(&text).expect("settings must be valid").scheduling;
    assert_eq!((scheduling.batch_order, scheduling.placement), (Activation::On, Activation::Off));
    let text = format!("{GATEWAY}\n[scheduling]\nadmission = \"yes\"\n");
    let errors = errors(&text);
    assert!(errors.iter().any(|error| error.contains("scheduling.admission")), "{errors:?}");
}
