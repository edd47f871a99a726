//! Ended jobs expire by the group's uptime since feature level three, and by the log's time below it.

use saddlerelay_control::machine::ControlMachine;
use saddlerelay_layouts::commands;
use saddlerelay_replication::StateMachine;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayCommand, UptimeAdvance};
use saddlerelay_types::job::{JobId, JobSubmission};
use saddlerelay_types::protocol::Command;

/// Log time at the start, in Unix milliseconds.
const START: u64 = 1_764_720_000_000;

const HOUR_MS: u64 = 3_600_000;

/// Retention of ended jobs, in milliseconds.
const KEEP_MS: u64 = 150_000;

struct Fixture {
    machine: ControlMachine,
    level: FeatureLevel,
}

impl Fixture {
    fn new(level: FeatureLevel) -> Self {
        let mut machine = ControlMachine::default();
        machine.enter_level(level);
        Self { machine, level }
    }

    fn apply(&mut self, time: u64, command: GatewayCommand) {
        let entries = commands::encode(time, Command::Gateway(command), self.level);
        for entry in entries.expect("the level has the command") {
            self.machine.apply(&entry);
        }
    }

    fn submit(&mut self, time: u64, name: &str) {
        let job = JobSubmission {
            id: JobId(name.to_string()),
            host: "host".to_string(),
            path: "/rollouts".to_string(),
            owner: None,
            model: None,
            step: 0,
            minimum_version: 1,
            wanted_groups: 1,
            items: Vec::new(),
        };
        self.apply(time, GatewayCommand::SubmitJob { job, keep_ms: KEEP_MS });
    }

    fn submit_ended(&mut self, time: u64, name: &str) {
        self.submit(time, name);
        self.apply(time, GatewayCommand::EndJob(JobId(name.to_string())));
    }

    fn advance(&mut self, since_ms: u64, elapsed_ms: u64) {
        let advance = UptimeAdvance { since_ms, elapsed_ms, keep_ms: KEEP_MS };
        self.apply(START, GatewayCommand::ExpireJobs(advance));
    }

    fn raise(&mut self, level: FeatureLevel) {
        self.machine.enter_level(level);
        self.level = level;
    }

    fn has(&self, name: &str) -> bool {
        self.machine.state().jobs.get(&JobId(name.to_string())).is_some()
    }

    fn uptime_ms(&self) -> u64 {
        self.machine.state().jobs.uptime_expiry().expect("the level has an uptime").uptime_ms()
    }
}

#[test]
fn log_time_does_not_expire_an_ended_job() {
    let mut fixture = Fixture::new(FeatureLevel::Three);
    fixture.submit_ended(START, "first");
    fixture.submit(START + HOUR_MS, "second");
    assert!(fixture.has("first"));
}

#[test]
fn an_ended_job_is_kept_for_its_retention_after_the_first_advance() {
    let mut fixture = Fixture::new(FeatureLevel::Three);
    fixture.submit_ended(START, "first");
    // The uptime may not have advanced for long when the first job is submitted.
    fixture.advance(0, HOUR_MS);
    assert!(fixture.has("first"));
    fixture.advance(HOUR_MS, KEEP_MS - 1);
    assert!(fixture.has("first"));
    fixture.advance(HOUR_MS + KEEP_MS - 1, 1);
    assert!(!fixture.has("first"));
    assert!(fixture.machine.state().jobs.uptime_expiry().is_some_and(|expiry| expiry.is_empty()));
}

#[test]
fn an_open_job_does_not_expire() {
    let mut fixture = Fixture::new(FeatureLevel::Three);
    fixture.submit(START, "first");
    fixture.advance(0, 1);
    fixture.advance(1, HOUR_MS);
    assert!(fixture.has("first"));
    fixture.apply(START, GatewayCommand::EndJob(JobId("first".to_string())));
    fixture.advance(1 + HOUR_MS, 1);
    assert!(!fixture.has("first"));
}

/// Two leaders may have measured the same interval.
#[test]
fn an_interval_is_counted_once() {
    let mut fixture = Fixture::new(FeatureLevel::Three);
    fixture.submit_ended(START, "first");
    fixture.advance(0, 10_000);
    fixture.advance(0, KEEP_MS);
    assert_eq!(fixture.uptime_ms(), 10_000);
    assert!(fixture.has("first"));
}

#[test]
fn a_job_submitted_again_keeps_its_time() {
    let mut fixture = Fixture::new(FeatureLevel::Three);
    fixture.submit_ended(START, "first");
    fixture.advance(0, 1);
    fixture.advance(1, KEEP_MS - 1);
    fixture.submit(START, "first");
    fixture.advance(KEEP_MS, 1);
    assert!(!fixture.has("first"));
}

#[test]
fn jobs_are_kept_for_their_retention_after_the_level_is_raised() {
    for level in [FeatureLevel::One, FeatureLevel::Two] {
        let mut fixture = Fixture::new(level);
        fixture.submit_ended(START, "first");
        fixture.raise(FeatureLevel::Three);
        fixture.submit(START + HOUR_MS, "second");
        assert!(fixture.has("first"), "{level}");
        fixture.advance(0, HOUR_MS);
        assert!(fixture.has("first"), "{level}");
        fixture.advance(HOUR_MS, KEEP_MS);
        assert!(!fixture.has("first"), "{level}");
    }
}

#[test]
fn older_levels_expire_jobs_as_released() {
    for level in [FeatureLevel::One, FeatureLevel::Two] {
        let mut fixture = Fixture::new(level);
        fixture.submit_ended(START, "first");
        fixture.submit(START + KEEP_MS - 1, "second");
        assert!(fixture.has("first"), "{level}");
        fixture.submit(START + KEEP_MS, "third");
        assert!(!fixture.has("first"), "{level}");
        let advance = UptimeAdvance { since_ms: 0, elapsed_ms: 1, keep_ms: KEEP_MS };
        let command = Command::Gateway(GatewayCommand::ExpireJobs(advance));
        assert!(commands::encode(START, command, level).is_none(), "{level} has no such command");
    }
}

#[test]
fn a_snapshot_keeps_the_uptime_and_the_times_of_submissions() {
    let mut fixture = Fixture::new(FeatureLevel::Three);
    fixture.submit_ended(START, "first");
    fixture.advance(0, 10_000);
    fixture.submit_ended(START, "second");
    let mut restored = Fixture::new(FeatureLevel::Three);
    restored.machine.restore(&fixture.machine.snapshot(), FeatureLevel::Three);
    assert!(restored.machine.state() == fixture.machine.state());
    for fixture in [&mut fixture, &mut restored] {
        fixture.advance(10_000, KEEP_MS);
        assert!(!fixture.has("first") && fixture.has("second"));
    }
    assert_eq!(fixture.machine.snapshot(), restored.machine.snapshot());
}
