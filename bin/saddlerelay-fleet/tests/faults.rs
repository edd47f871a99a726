//! Faults in real processes, checked from the records of the stand-ins. The time limits only detect hangs; the simulator
//! checks the real limits in virtual time.

mod common;

use common::{block_on, executable};
use saddlerelay_checker::check::Limits;
use saddlerelay_fleet_runner::run::{RunOptions, RunResult, run};
use saddlerelay_scenarios::builtin::scenario;
use saddlerelay_scenarios::deployment::demo;
use std::time::Duration;

const HANG_LIMIT_MS: u64 = 60_000;
const LOAD_DURATION: Duration = Duration::from_secs(6);

fn run_scenario(name: &str) -> RunResult {
    let scenario = scenario(name).expect("the scenario is not defined");
    let limits = Limits { leaving: HANG_LIMIT_MS, configuration: HANG_LIMIT_MS, ..scenario.limits() };
    let options = RunOptions {
        scenario,
        executable: executable(),
        limits,
        deployment: Some(demo()),
        duration: Some(LOAD_DURATION),
        relay_settings: String::new(),
        progress: false,
        keep: false,
        record: None,
    };
    let result = block_on(run(options)).expect("the run failed");
    assert_eq!(result.report.violations, [], "{name}");
    result
}

#[test]
fn without_faults_every_request_is_answered() {
    let counts = run_scenario("steady").report.counts;
    assert_eq!(counts.answered, counts.requests);
    assert_eq!(counts.samples_delivered, counts.samples_expected);
}

#[test]
fn killing_the_control_leader_and_its_successor_causes_no_violation() {
    run_scenario("leader-crash");
}

#[test]
fn losing_two_control_disks_in_turn_causes_no_violation() {
    run_scenario("control-disk-lost");
}

#[test]
fn relays_resumed_after_eviction_cause_no_violation() {
    run_scenario("relay-freeze");
}

#[test]
fn planned_stops_of_all_relays_lose_no_request() {
    let counts = run_scenario("planned-stop-relays").report.counts;
    assert_eq!(counts.lost, 0);
}

#[test]
fn a_trainer_crash_causes_no_violation() {
    run_scenario("trainer-crash");
}
