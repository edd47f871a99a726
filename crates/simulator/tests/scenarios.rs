//! Runs every built-in scenario with fixed seeds.

use saddlerelay_policies::PolicyName;
use saddlerelay_scenarios::builtin::{scenario, scenarios};
use saddlerelay_scenarios::trace::Scenario;
use saddlerelay_simulator::run::run;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const SEEDS: std::ops::Range<u64> = 0..4;
const THREADS: usize = 8;

#[test]
fn no_scenario_has_violations() {
    let scenarios = scenarios();
    let runs: Vec<(&Scenario, u64)> =
        scenarios.iter().flat_map(|scenario| SEEDS.map(move |seed| (scenario, seed))).collect();
    let next = AtomicUsize::new(0);
    let failed_runs = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((scenario, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = run(scenario, *seed, PolicyName::PrefixAffinity);
                    let violations = outcome.map(|outcome| outcome.report.violations);
                    if violations.as_ref().map_or(true, |violations| !violations.is_empty()) {
                        failed_runs.lock().expect("no run panicked").push((scenario.name.clone(), *seed, violations));
                    }
                }
            });
        }
    });
    let failed_runs = failed_runs.into_inner().expect("no run panicked");
    assert!(failed_runs.is_empty(), "{failed_runs:#?}");
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_seed_another() {
    let random = scenario("random").expect("the scenario exists");
    let hash = |seed| run(&random, seed, PolicyName::PrefixAffinity).expect("the run completed").trace_hash;
    assert_eq!(hash(5), hash(5));
    assert_ne!(hash(5), hash(6));
}

#[test]
fn no_policy_has_violations() {
    let double_fault = scenario("double-fault").expect("the scenario exists");
    for policy in PolicyName::ALL {
        let outcome = run(&double_fault, 1, policy).expect("the run completed");
        assert_eq!(outcome.report.violations, [], "{}", policy.as_str());
    }
}

/// A run that misses the scenario's stated outcome must not pass.
#[test]
fn a_missed_outcome_is_a_violation() {
    let mut steady = scenario("steady").expect("the scenario exists");
    steady.outcome.versions_published = 1_000;
    let outcome = run(&steady, 1, PolicyName::PrefixAffinity).expect("the run completed");
    assert_eq!(outcome.report.violations.len(), 1);
}

/// Replaying a recorded run makes the same number of requests.
#[test]
fn a_recorded_run_is_replayed() {
    let scenario = scenario("double-fault").expect("the scenario exists");
    let first = run(&scenario, 3, PolicyName::PrefixAffinity).expect("the run completed");
    let text = first.recorded.write().expect("a trace can be written");
    let trace = Scenario::parse(&text).expect("the written trace can be parsed");
    assert_eq!(trace.arrivals.len() as u64, first.report.counts.requests);
    let replayed = run(&trace, 4, PolicyName::PrefixAffinity).expect("the run completed");
    assert_eq!(replayed.report.counts.requests, first.report.counts.requests);
    assert_eq!(replayed.report.counts.non_repeatable, first.report.counts.non_repeatable);
    assert_eq!(replayed.report.violations, []);
}

#[test]
fn traces_round_trip() {
    for scenario in scenarios() {
        let text = scenario.write().expect("a trace can be written");
        assert_eq!(Scenario::parse(&text).expect("the written trace can be parsed"), scenario);
    }
}
