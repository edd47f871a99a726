//! Weighing of engine losses, and retrials of quarantined work.

use quickcheck::{QuickCheck, TestResult};
use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_control::suspicion_watch::SuspicionWatch;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, Retrial, TrialId, TrialResult, WorkEvidence};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

const SECOND_MS: u64 = 1_000;
const DAY_MS: u64 = 24 * 60 * 60 * SECOND_MS;

/// Maximum number of engines that one piece of work may crash in a day, sent to one engine at a time: three until it is
/// quarantined, and the three retries that the users' rule allows afterwards.
const MAX_CRASHES: usize = 6;

fn work(number: u32) -> WorkDigest {
    WorkDigest::of_post_request(None, "host", "/rollouts", &number.to_le_bytes())
}

fn engine(number: usize) -> InstanceId {
    InstanceId::without_start_time(format!("engine-{number}"))
}

/// A table that weighs losses, and its watch.
struct Fixture {
    table: SuspicionTable,
    watch: SuspicionWatch,
    trials: u64,
    engines: usize,
}

impl Fixture {
    fn new() -> Self {
        let mut table = SuspicionTable::default();
        table.set_weighs_losses(true);
        Self { table, watch: SuspicionWatch::default(), trials: 0, engines: 0 }
    }

    fn new_engine(&mut self) -> InstanceId {
        self.engines += 1;
        engine(self.engines)
    }

    fn record_losses(&mut self, losses: &[(u32, &InstanceId)], now: u64) {
        let loss =
            |(number, instance): &(u32, &InstanceId)| EngineLoss { work: work(*number), instance: (*instance).clone() };
        let losses = losses.iter().map(loss).collect();
        self.table.record_evidence(WorkEvidence { losses, served: Vec::new() }, now);
    }

    fn begin_trial(&mut self, number: u32, now: u64) -> Option<TrialId> {
        self.trials += 1;
        let id = TrialId { holder: Incarnation(1), number: self.trials };
        (self.table.begin_trial(work(number), id, now, 1_000) == TrialResult::Granted).then_some(id)
    }

    /// Runs work `number` on one engine, which crashes with `others` engines that run other work. Returns whether the
    /// work ran.
    fn run_and_crash(&mut self, number: u32, others: usize, now: u64) -> bool {
        let Some(id) = self.begin_trial(number, now) else {
            return false;
        };
        let crashed = self.new_engine();
        self.record_losses(&[(number, &crashed)], now);
        for other in 0..others {
            let crashed = self.new_engine();
            self.record_losses(&[(1_000_000 + (self.engines * 100 + other) as u32, &crashed)], now);
        }
        self.table.end_trial(&work(number), id);
        true
    }

    /// Allows the retrials that are due at `now`, by the log's time.
    fn allow_due_retrials(&mut self, now: u64) {
        let now = Duration::from_millis(now);
        self.watch.observe(&self.table, now);
        let due = self.watch.due_retrials(&self.table, now);
        due.iter().for_each(|retrial| self.table.allow_retrial(retrial));
        self.watch.observe(&self.table, now);
    }

    /// Runs work `number` as often as the table allows until `until`, checked every second; returns the times.
    fn crash_until(&mut self, number: u32, others: usize, until: u64) -> Vec<u64> {
        let mut times = Vec::new();
        for now in (0..until).step_by(SECOND_MS as usize) {
            self.allow_due_retrials(now);
            if self.run_and_crash(number, others, now) {
                self.watch.observe(&self.table, Duration::from_millis(now));
                times.push(now / SECOND_MS);
            }
        }
        times
    }
}

/// Guards against an hour without work that ran on three engines of a failing rack.
#[test]
fn quarantine_after_crashes_of_several_engines_at_once_ends_within_seconds() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| assert!(fixture.run_and_crash(1, 3, 0)));
    assert!(fixture.table.is_quarantined(&work(1)));
    assert!(!fixture.run_and_crash(1, 0, 0));
    fixture.allow_due_retrials(0);
    fixture.allow_due_retrials(5 * SECOND_MS - 1);
    assert!(fixture.begin_trial(1, 5 * SECOND_MS - 1).is_none());
    fixture.allow_due_retrials(5 * SECOND_MS);
    assert!(fixture.begin_trial(1, 5 * SECOND_MS).is_some());
}

#[test]
fn work_that_crashes_one_engine_after_the_other_is_tried_again_after_an_hour() {
    let times = Fixture::new().crash_until(1, 0, 3_700 * SECOND_MS);
    assert_eq!(times, [0, 1, 2, 3_602]);
}

/// The users' rule allows three retries after the third crash, however long the work comes again.
#[test]
fn work_crashes_at_most_six_engines_in_a_day() {
    for others in [0, 1, 3] {
        let times = Fixture::new().crash_until(1, others, DAY_MS);
        assert_eq!(times.len(), MAX_CRASHES, "{others} other engines crash at the same time: {times:?}");
    }
}

/// Callers may send the same request to several engines before the first crash is known.
#[test]
fn losses_before_the_first_trial_count_once() {
    let mut fixture = Fixture::new();
    let crashed: Vec<InstanceId> = (0..3).map(|_| fixture.new_engine()).collect();
    crashed.iter().for_each(|crashed| fixture.record_losses(&[(1, crashed)], 0));
    assert!(fixture.table.is_quarantined(&work(1)));
    assert_eq!(fixture.table.retrial_after(&work(1)), Some(Duration::from_secs(5)));
    fixture.allow_due_retrials(0);
    fixture.allow_due_retrials(5 * SECOND_MS);
    assert!(fixture.run_and_crash(1, 0, 5 * SECOND_MS), "the first retrial");
    assert_eq!(fixture.table.retrial_after(&work(1)), Some(Duration::from_secs(15)), "two independent losses");
}

#[test]
fn one_other_crash_at_the_same_time_explains_nothing() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|crash| assert!(fixture.run_and_crash(1, 1, crash * 10 * SECOND_MS)));
    assert_eq!(fixture.table.retrial_after(&work(1)), Some(Duration::from_secs(3_600)));
}

/// A retrial that two leaders propose is allowed once.
#[test]
fn a_repeated_retrial_has_no_effect() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| assert!(fixture.run_and_crash(1, 3, 0)));
    let retrial = Retrial { work: work(1), number: 0 };
    fixture.table.allow_retrial(&retrial);
    assert!(fixture.run_and_crash(1, 3, 0));
    let revision = fixture.table.revision();
    fixture.table.allow_retrial(&retrial);
    assert!(fixture.table.is_quarantined(&work(1)));
    assert_eq!(fixture.table.revision(), revision);
}

/// Another relay may report a loss again after the retrial removed it from the suspicion.
#[test]
fn a_loss_that_is_reported_again_after_a_retrial_has_no_effect() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| assert!(fixture.run_and_crash(1, 3, 0)));
    let engines = fixture.table.get(&work(1)).expect("the work is suspected").engines.clone();
    fixture.table.allow_retrial(&Retrial { work: work(1), number: 0 });
    engines.iter().for_each(|engine| fixture.record_losses(&[(1, engine)], 0));
    assert!(!fixture.table.is_quarantined(&work(1)));
}

#[test]
fn success_clears_the_history() {
    let mut fixture = Fixture::new();
    (0..3).for_each(|_| assert!(fixture.run_and_crash(1, 3, 0)));
    fixture.table.allow_retrial(&Retrial { work: work(1), number: 0 });
    fixture.table.record_evidence(WorkEvidence { losses: Vec::new(), served: vec![work(1)] }, 0);
    assert!(fixture.table.get(&work(1)).is_none());
    let history = fixture.table.history().expect("losses are weighed");
    assert_eq!((history.retrials(&work(1)), history.independent_losses(&work(1))), (0, 0));
}

/// A new leader has observed the suspicions as a follower; its wall clock is not used.
#[test]
fn retrials_go_by_the_monotonic_clock_of_each_replica() {
    let mut fixture = Fixture::new();
    let mut late_watch = SuspicionWatch::default();
    (0..3).for_each(|_| assert!(fixture.run_and_crash(1, 3, DAY_MS)));
    fixture.watch.observe(&fixture.table, Duration::ZERO);
    let five_seconds = Duration::from_secs(5);
    assert_eq!(fixture.watch.due_retrials(&fixture.table, five_seconds).len(), 1);
    late_watch.observe(&fixture.table, five_seconds);
    assert!(late_watch.due_retrials(&fixture.table, five_seconds * 2 - Duration::from_millis(1)).is_empty());
    assert_eq!(late_watch.due_retrials(&fixture.table, five_seconds * 2).len(), 1);
}

/// Bursts of crashes fill the table with harmless work, which must not displace work that crashes its engines.
#[test]
fn harmless_work_of_bursts_does_not_evict_work_with_independent_losses() {
    fn property(bursts: Vec<u8>) -> TestResult {
        let mut fixture = Fixture::new();
        assert!(fixture.run_and_crash(1, 0, 0));
        for (number, burst) in (0..).zip(bursts) {
            let crashed: Vec<InstanceId> = (0..4).map(|_| fixture.new_engine()).collect();
            let works = 40 + u32::from(burst) % 40;
            let losses: Vec<_> = (0..works)
                .flat_map(|index| crashed.iter().map(move |crashed| (crashed, index)))
                .enumerate()
                .map(|(place, (crashed, _))| (1_000 + number * 1_000 + place as u32, crashed))
                .collect();
            fixture.record_losses(&losses, (1 + u64::from(number)) * 60 * SECOND_MS);
        }
        TestResult::from_bool(fixture.table.get(&work(1)).is_some() && fixture.table.iter().count() <= 512)
    }
    QuickCheck::new().tests(10).quickcheck(property as fn(Vec<u8>) -> TestResult);
}

/// Memory stays bounded however many engines crash.
#[test]
fn the_history_of_terminations_is_bounded() {
    let mut fixture = Fixture::new();
    for crash in 0..2_000 {
        let crashed = fixture.new_engine();
        fixture.record_losses(&[(crash, &crashed)], u64::from(crash));
    }
    let encoded = bitcode::encode(fixture.table.history().expect("losses are weighed"));
    assert!(encoded.len() < 100_000, "{} bytes", encoded.len());
}

/// Losses recorded before the raise of the feature level count as independent.
#[test]
fn a_quarantine_of_an_older_level_is_tried_again_after_an_hour() {
    let mut fixture = Fixture::new();
    fixture.table.set_weighs_losses(false);
    (0..3).for_each(|_| assert!(fixture.run_and_crash(1, 3, 0)));
    assert_eq!(fixture.table.retrial_after(&work(1)), None);
    fixture.table.set_weighs_losses(true);
    assert_eq!(fixture.table.retrial_after(&work(1)), Some(Duration::from_secs(3_600)));
}
