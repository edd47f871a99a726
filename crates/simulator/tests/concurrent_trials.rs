//! Concurrent attempts of a request that crashes its engines, at two relays with three engines: the client's retry
//! arrives while the first attempt runs at its second engine. The retry must not crash the last engine.

use saddlerelay_control::state::suspicions::SuspicionTable;
use saddlerelay_control_client::suspicions::Suspicions;
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::suspicion::{EngineLoss, LAST_TRIAL_PAUSE, TrialId, TrialResult, Verdict};
use saddlerelay_types::work::WorkDigest;
use std::time::Duration;

/// Time from the start of the request to the crash of its engine.
const CRASH_TIME: Duration = Duration::from_millis(60);
/// Time from an engine's crash until every relay has been notified.
const NOTIFICATION_TIME: Duration = Duration::from_millis(10);
/// Time from the first engine's crash to the arrival of the client's retry.
const CLIENT_RETRY_DELAY: Duration = Duration::from_millis(44);

/// Deadline of a request.
const REQUEST_LIMIT: Duration = Duration::from_millis(1_500);

struct Fixture {
    table: SuspicionTable,
    relays: [Suspicions; 2],
    work: WorkDigest,
    crashed: Vec<&'static str>,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: SuspicionTable::default(),
            relays: Default::default(),
            work: WorkDigest::of_post_request(None, "host", "/plans", b"guilty"),
            crashed: Vec::new(),
        }
    }

    /// Whether `relay` may send the request to an engine at `now`. Once the relay knows of a crash, this needs a trial
    /// lease from the group.
    fn may_send(&mut self, relay: usize, now: Duration) -> bool {
        if self.relays[relay].verdict(&self.work, now, LAST_TRIAL_PAUSE) != Verdict::Send {
            return false;
        }
        if self.relays[relay].engines_terminated(&self.work) == 0 {
            return true;
        }
        let id = TrialId { holder: Incarnation(relay as u64), number: 1 };
        let limit_ms = REQUEST_LIMIT.as_millis() as u64;
        self.table.begin_trial(self.work, id, now.as_millis() as u64, limit_ms) == TrialResult::Granted
    }

    /// Crashes an engine that runs the request for `relay`, and notifies every relay after `NOTIFICATION_TIME`.
    fn crash_engine(&mut self, relay: usize, engine: &'static str, now: Duration) {
        self.crashed.push(engine);
        let loss = EngineLoss { work: self.work, instance: InstanceId::without_start_time(engine) };
        self.relays[relay].record_loss(loss, now);
        let evidence = self.relays[relay].evidence().clone();
        self.table.record_evidence(evidence.clone(), now.as_millis() as u64);
        self.relays[relay].remove_committed(&evidence);
        for notified in &mut self.relays {
            notified.apply_list(self.table.list(), now + NOTIFICATION_TIME);
        }
    }
}

#[test]
fn a_retry_of_a_crashing_request_does_not_crash_the_last_engine() {
    let mut fixture = Fixture::new();
    let crashed_at = CRASH_TIME;
    assert!(fixture.may_send(0, Duration::ZERO));
    fixture.crash_engine(0, "first", crashed_at);
    // The relay retries once the group knows of the crash; the client's retry arrives meanwhile at the other relay.
    let relay_retry_at = crashed_at + NOTIFICATION_TIME;
    let relay_retry_sent = fixture.may_send(0, relay_retry_at);
    let client_retry_at = crashed_at + CLIENT_RETRY_DELAY;
    let client_retry_sent = fixture.may_send(1, client_retry_at);
    assert!(relay_retry_sent, "the relay did not retry a request that lost one engine");
    fixture.crash_engine(0, "second", relay_retry_at + CRASH_TIME);
    if client_retry_sent {
        fixture.crash_engine(1, "third", client_retry_at + CRASH_TIME);
    }
    assert_eq!(fixture.crashed, ["first", "second"], "the client's retry crashed the last engine");
}

/// A trial lease ends with its request, or expires when it is not renewed. It does not expire by the wall clock in the
/// log, which may jump forward.
#[test]
fn a_trial_lease_is_released_or_expires() {
    let mut fixture = Fixture::new();
    fixture.crash_engine(0, "first", CRASH_TIME);
    let id = |holder: u64| TrialId { holder: Incarnation(holder), number: 1 };
    let mut request_trial = |holder, at| fixture.table.begin_trial(fixture.work, id(holder), at, 1_500);
    assert_eq!(request_trial(0, 100), TrialResult::Granted);
    assert_eq!(request_trial(0, 101), TrialResult::Granted, "a resent request of the holder is granted");
    assert_eq!(request_trial(1, 102), TrialResult::Taken);
    fixture.table.end_trial(&fixture.work, id(1));
    let mut request_trial = |holder, at| fixture.table.begin_trial(fixture.work, id(holder), at, 1_500);
    assert_eq!(request_trial(1, 103), TrialResult::Taken, "only the holder can release a lease");
    assert_eq!(request_trial(1, 1_600), TrialResult::Taken, "the time in the log does not expire the lease");
    let unrenewed: Vec<_> = fixture.table.trials().collect();
    fixture.table.expire_trials(&unrenewed);
    let mut request_trial = |holder, at| fixture.table.begin_trial(fixture.work, id(holder), at, 1_500);
    assert_eq!(request_trial(1, 1_601), TrialResult::Granted, "the lease has expired");
    fixture.table.end_trial(&fixture.work, id(1));
    let harmless = WorkDigest::of_post_request(None, "host", "/plans", b"innocent");
    assert_eq!(fixture.table.begin_trial(harmless, id(0), 1_700, 1_500), TrialResult::Granted);
    assert_eq!(
        fixture.table.begin_trial(harmless, id(1), 1_700, 1_500),
        TrialResult::Granted,
        "work that is not suspected needs no exclusive lease"
    );
}
