//! Time that a new holder of orders has to wait, by subject.

use saddlerelay_control::order_watch::OrderWatch;
use saddlerelay_control::state::orders::OrderState;
use saddlerelay_types::gateway::OrderSubject;
use saddlerelay_types::identity::ReplicaId;
use saddlerelay_types::instance::InstanceId;
use std::time::Duration;

const OLD: ReplicaId = ReplicaId(1);
const NEW: ReplicaId = ReplicaId(2);
const SEPARATION: Duration = Duration::from_secs(3);

fn engine(name: &str) -> OrderSubject {
    OrderSubject::Engine(name.to_string())
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn new_holder_waits_only_for_subjects_with_recent_notes_of_another_holder() {
    let mut state = OrderState::default();
    let mut watch = OrderWatch::default();
    state.record(OLD, vec![engine("a")]);
    watch.observe(&state, seconds(10));
    state.record(OLD, vec![engine("b")]);
    watch.observe(&state, seconds(12));
    // Observing an intent again does not extend the wait.
    watch.observe(&state, seconds(13));
    assert_eq!(watch.earliest_order_time(&engine("a"), NEW, SEPARATION), seconds(13));
    assert_eq!(watch.earliest_order_time(&engine("b"), NEW, SEPARATION), seconds(15));
    assert_eq!(watch.earliest_order_time(&engine("c"), NEW, SEPARATION), Duration::ZERO);
    assert_eq!(
        watch.earliest_order_time(&engine("b"), OLD, SEPARATION),
        Duration::ZERO,
        "a holder does not wait for itself"
    );
}

#[test]
fn newer_note_of_the_same_engine_restarts_the_wait() {
    let mut state = OrderState::default();
    let mut watch = OrderWatch::default();
    state.record(OLD, vec![engine("a")]);
    watch.observe(&state, seconds(10));
    state.record(OLD, vec![engine("a")]);
    watch.observe(&state, seconds(14));
    assert_eq!(watch.earliest_order_time(&engine("a"), NEW, SEPARATION), seconds(17));
}

#[test]
fn restarted_process_treats_every_note_as_new() {
    let mut state = OrderState::default();
    state.record(OLD, vec![engine("a"), engine("b")]);
    let mut watch = OrderWatch::default();
    watch.observe(&state, seconds(100));
    assert_eq!(watch.earliest_order_time(&engine("a"), NEW, SEPARATION), seconds(103));
    state.remove_engine(&InstanceId::without_start_time("a"));
    watch.observe(&state, seconds(101));
    assert_eq!(watch.earliest_order_time(&engine("a"), NEW, SEPARATION), Duration::ZERO, "the intent was removed");
}
