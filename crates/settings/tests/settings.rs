//! Parses the example settings files, and checks that all errors of a file are reported together.

use saddlerelay_settings::{Role, parse};
use std::path::PathBuf;
use std::time::Duration;

fn example(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn error_keys(text: &str) -> Vec<String> {
    let errors = parse(text).expect_err("invalid settings were accepted");
    let mut keys: Vec<String> = errors.into_iter().map(|error| error.key).collect();
    keys.sort();
    keys
}

#[test]
fn example_settings_files_are_accepted() {
    for deployment in ["andino", "fund"] {
        let control =
            parse(&example(&format!("{deployment}/control.toml"))).expect("the example settings were rejected");
        assert!(matches!(control.role, Role::Control(_)));
        let relay = parse(&example(&format!("{deployment}/relay.toml"))).expect("the example settings were rejected");
        let Role::Relay(settings) = relay.role else {
            panic!("relay.toml has a role other than relay");
        };
        assert_eq!(settings.config.drain_timeout, Duration::from_secs(600));
        assert_eq!(control.control, relay.control, "both examples name the same control replicas");
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = example("andino/control.toml")
        .replace("zone = \"miraflores\"", "zone = 7")
        .replace("shared_secret = \"replace-with-your-own-secret\"", "shared_secret = \"short\"")
        .replace("relay_loss_ms = 4000", "relay_loss_ms = 1500")
        .replace("voters = 5", "voters = 99\nvoterz = 5");
    let keys = error_keys(&text);
    let expected =
        ["control_process.relay_loss_ms", "replication.voters", "replication.voterz", "shared_secret", "zone", "zone"];
    assert_eq!(keys, expected);
}

#[test]
fn an_error_names_the_value_and_the_allowed_range() {
    let text = example("fund/relay.toml").replace("drain_limit_ms = 600000", "drain_limit_ms = 5");
    let errors = parse(&text).expect_err("invalid settings were accepted");
    assert_eq!(errors[0].to_string(), "`relay.drain_limit_ms` = 5: is not a whole number from 1000 to 3600000");
}

#[test]
fn missing_keys_unknown_sections_and_host_names_are_rejected() {
    let text = example("fund/relay.toml")
        .replace("name = \"relay-plateau-1\"\n", "")
        .replace("http_address = \"10.2.1.21:8080\"", "http_address = \"localhost:8080\"");
    assert_eq!(error_keys(&format!("{text}\n[relays]\n")), ["http_address", "name", "relays"]);
}

#[test]
fn sections_of_the_other_role_are_rejected() {
    let text = format!("{}\n[replication]\nvoters = 3\n", example("fund/relay.toml"));
    assert_eq!(error_keys(&text), ["replication"]);
}

#[test]
fn a_leader_lease_as_long_as_the_election_timeout_is_rejected() {
    let text = format!("{}lease_ms = 1000\n", example("fund/control.toml"));
    assert_eq!(error_keys(&text), ["replication.lease_ms"]);
}

#[test]
fn invalid_toml_is_reported_as_a_single_error() {
    assert_eq!(error_keys("role = "), ["(file)"]);
}
