//! Faults of real processes: killed, frozen, stopped, their disks lost, and everything checked from what the stand-ins
//! saw. The time limits here are for hangs only; the simulator checks the promises' own limits in virtual time.

mod common;

use common::{block_on, executable};
use saddlerelay_checker::check::Limits;
use saddlerelay_fleet_runner::run::{RunOptions, RunResult, run};
use saddlerelay_scenarios::builtin::scenario;
use saddlerelay_scenarios::deployment::demo;
use std::time::Duration;

const HANG_LIMIT_MILLISECONDS: u64 = 60_000;
const LOAD: Duration = Duration::from_secs(6);

fn run_scenario(name: &str) -> RunResult {
    let scenario = scenario(name).expect("the scenario exists");
    let limits =
        Limits { leaving: HANG_LIMIT_MILLISECONDS, configuration: HANG_LIMIT_MILLISECONDS, ..scenario.limits() };
    let options = RunOptions {
        scenario,
        executable: executable(),
        limits,
        deployment: Some(demo()),
        duration: Some(LOAD),
        relay_settings: String::new(),
        progress: false,
        keep: false,
        record: None,
    };
    let result = block_on(run(options)).expect("the run came to its end");
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
fn the_control_leader_is_killed_and_then_its_successor() {
    run_scenario("leader-crash");
}

#[test]
fn a_control_disk_is_lost_and_another_right_after() {
    run_scenario("control-disk-lost");
}

#[test]
fn relays_stand_still_and_go_on_after_they_were_declared_lost() {
    run_scenario("relay-freeze");
}

#[test]
fn relays_are_stopped_in_an_orderly_way_in_turn() {
    let counts = run_scenario("planned-stop-relays").report.counts;
    assert_eq!(counts.lost, 0);
}

#[test]
fn the_trainer_is_killed_and_starts_again() {
    run_scenario("trainer-crash");
}
