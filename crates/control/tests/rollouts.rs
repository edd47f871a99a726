//! Rollouts: each sample is delivered once and within the staleness bound, despite delays, losses and retries.

mod common;

use common::{add_relay, apply, declare_relay_lost};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use saddlerelay_control::state::ControlState;
use saddlerelay_types::configuration::{
    ConfigurationChange, ObjectName, ObjectValue, ParameterName, ParameterValue, Template, Tenant,
};
use saddlerelay_types::identity::{
    DeliveryEpoch, Incarnation, Position, StepNumber, TemplateId, TenantId, WeightVersion,
};
use saddlerelay_types::protocol::{Command, CommandOutcome, RolloutCommand, TrainerRefusal};
use saddlerelay_types::request::{FinishReason, Generation, VersionSpan};
use saddlerelay_types::rollout::{DeliveryBatch, SampleAssignment, SampleId, SamplePayload, StepRequest};
use std::collections::{BTreeMap, BTreeSet};

const STALENESS_BOUND: u64 = 1;

fn rollout(state: &mut ControlState, command: RolloutCommand) -> CommandOutcome {
    apply(state, Command::Rollout(command))
}

fn tenant() -> TenantId {
    TenantId::new("plan-training")
}

fn configure(state: &mut ControlState, bound: u64) {
    let template = ObjectValue::Template(Template { parameters: BTreeMap::new() });
    let values = BTreeMap::from([(ParameterName::StalenessBound, ParameterValue::Integer(bound as i64))]);
    let tenant_object = ObjectValue::Tenant(Tenant { template: TemplateId::new("team"), values });
    let names = [ObjectName::Template(TemplateId::new("team")), ObjectName::Tenant(tenant())];
    for (name, value) in names.into_iter().zip([template, tenant_object]) {
        let change = ConfigurationChange { name, value: Some(value), expected: None, idempotency_key: None };
        apply(state, Command::Configuration(change));
    }
}

fn new_state() -> ControlState {
    let mut state = ControlState::default();
    configure(&mut state, STALENESS_BOUND);
    (1..=3).for_each(|relay| add_relay(&mut state, relay));
    state
}

fn open(state: &mut ControlState, incarnation: u64) -> CommandOutcome {
    rollout(state, RolloutCommand::OpenTrainer { tenant: tenant(), incarnation: Incarnation(incarnation) })
}

fn open_step(state: &mut ControlState, incarnation: u64, step: u64) -> CommandOutcome {
    let prompts = vec!["progress note".to_string(), "exercise set".to_string()];
    let request = StepRequest { step: StepNumber(step), prompts, group_size: 2, max_tokens: 8 };
    rollout(state, RolloutCommand::OpenStep { tenant: tenant(), incarnation: Incarnation(incarnation), request })
}

fn fetch(state: &mut ControlState, incarnation: u64, cursor: Position) -> Result<DeliveryBatch, TrainerRefusal> {
    let incarnation = Incarnation(incarnation);
    match rollout(state, RolloutCommand::Fetch { tenant: tenant(), incarnation, cursor, limit: 3 }) {
        CommandOutcome::Delivery(batch) => Ok(batch),
        CommandOutcome::Refused(rejection) => Err(rejection),
        other => panic!("unexpected outcome of a fetch: {other:?}"),
    }
}

fn publish(state: &mut ControlState, incarnation: u64, version: u64, cursor: Position) -> CommandOutcome {
    let incarnation = Incarnation(incarnation);
    let version = WeightVersion(version);
    rollout(state, RolloutCommand::Publish { tenant: tenant(), incarnation, version, cursor })
}

fn assign(state: &mut ControlState, relay: u64, sequence: u64, limit: u32) -> Vec<SampleAssignment> {
    match rollout(state, RolloutCommand::Assign { relay: Incarnation(relay), sequence, limit }) {
        CommandOutcome::Assigned(assigned) => assigned,
        other => panic!("unexpected outcome of an assignment: {other:?}"),
    }
}

fn complete(state: &mut ControlState, assignment: &SampleAssignment, version: u64) -> bool {
    let versions = vec![VersionSpan { version: WeightVersion(version), tokens: 1 }];
    let generation = Generation { tokens: vec![7], text: "x".to_string(), versions, finish: FinishReason::Stop };
    let command = RolloutCommand::Complete {
        sample: assignment.sample.clone(),
        attempt: assignment.attempt,
        payload: SamplePayload { generation, reward_milli: 0 },
    };
    rollout(state, command) == CommandOutcome::Applied(true)
}

#[test]
fn repeated_fetch_at_a_cursor_returns_the_same_samples() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    for assignment in assign(&mut state, 1, 1, 4) {
        complete(&mut state, &assignment, 0);
    }
    let first = fetch(&mut state, 1, Position(0)).expect("the trainer may fetch");
    assert_eq!(first.samples.len(), 3);
    assert_eq!(fetch(&mut state, 1, Position(0)), Ok(first));
    assert_eq!(fetch(&mut state, 1, Position(3)).map(|batch| batch.samples.len()), Ok(1));
}

#[test]
fn completion_of_an_earlier_attempt_is_ignored() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    let delayed = assign(&mut state, 1, 1, 1).remove(0);
    declare_relay_lost(&mut state, 1);
    let again = assign(&mut state, 2, 1, 1).remove(0);
    assert_eq!(again.sample, delayed.sample);
    assert!(!complete(&mut state, &delayed, 0));
    assert!(complete(&mut state, &again, 0));
    assert!(!complete(&mut state, &again, 0));
}

#[test]
fn retried_assignment_returns_the_same_samples() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    let first = assign(&mut state, 1, 1, 2);
    assert_eq!(assign(&mut state, 1, 1, 2), first);
    assert_eq!(assign(&mut state, 1, 2, 4).len(), 2);
}

/// A batch is in flight while the trainer publishes: unacknowledged samples are checked again for staleness.
#[test]
fn publication_withdraws_and_requeues_stale_samples_that_were_not_received() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    for assignment in assign(&mut state, 1, 1, 4) {
        complete(&mut state, &assignment, 0);
    }
    let in_flight = fetch(&mut state, 1, Position(0)).expect("the trainer may fetch");
    publish(&mut state, 1, 1, Position(0));
    publish(&mut state, 1, 2, Position(0));
    let after = fetch(&mut state, 1, Position(0)).expect("the trainer may fetch");
    assert!(after.epoch > in_flight.epoch);
    assert!(after.samples.is_empty(), "version 0 is two behind, the bound is one");
    assert_eq!(assign(&mut state, 1, 2, 8).len(), 4, "all samples are requeued");
}

#[test]
fn older_trainer_incarnation_is_rejected() {
    let mut state = new_state();
    open(&mut state, 2);
    assert_eq!(open(&mut state, 1), CommandOutcome::Refused(TrainerRefusal::Fenced));
    assert_eq!(fetch(&mut state, 1, Position(0)), Err(TrainerRefusal::Fenced));
    assert_eq!(publish(&mut state, 1, 1, Position(0)), CommandOutcome::Refused(TrainerRefusal::Fenced));
}

#[test]
fn cursor_beyond_the_last_position_is_rejected() {
    let mut state = new_state();
    open(&mut state, 1);
    assert_eq!(fetch(&mut state, 1, Position(1)), Err(TrainerRefusal::BadCursor));
}

/// An action in a random history of a trainer and its relays.
#[derive(Clone, Copy, Debug)]
enum Action {
    Open,
    Assign { relay: u8 },
    Complete { index: u8, behind: u8 },
    LoseRelay { relay: u8 },
    Fetch,
    ReceiveBatch { index: u8 },
    Publish,
    Restart,
    Tighten { bound: u8 },
}

impl Arbitrary for Action {
    fn arbitrary(generator: &mut Gen) -> Self {
        let number = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 14 {
            0 => Self::Open,
            1..=3 => Self::Assign { relay: number % 3 },
            4..=6 => Self::Complete { index: number, behind: number % 3 },
            7 => Self::LoseRelay { relay: number % 3 },
            8 | 9 => Self::Fetch,
            10 | 11 => Self::ReceiveBatch { index: number },
            12 => Self::Publish,
            _ if number.is_multiple_of(2) => Self::Restart,
            _ => Self::Tighten { bound: number % 3 },
        }
    }
}

/// A trainer that ignores batches of earlier epochs and accepts positions in order. Its cursor survives restarts;
/// batches in flight may arrive late or more than once.
struct History {
    state: ControlState,
    incarnation: u64,
    steps: u64,
    cursor: Position,
    epoch: DeliveryEpoch,
    published: u64,
    bound: u64,
    sequences: [u64; 3],
    relays: [u64; 3],
    next_relay: u64,
    assigned: Vec<SampleAssignment>,
    batches_in_flight: Vec<DeliveryBatch>,
    received: BTreeSet<SampleId>,
}

impl History {
    fn new() -> Self {
        let mut state = new_state();
        open(&mut state, 1);
        Self {
            state,
            incarnation: 1,
            steps: 0,
            cursor: Position(0),
            epoch: DeliveryEpoch(0),
            published: 0,
            bound: STALENESS_BOUND,
            sequences: [0; 3],
            relays: [1, 2, 3],
            next_relay: 4,
            assigned: Vec::new(),
            batches_in_flight: Vec::new(),
            received: BTreeSet::new(),
        }
    }

    fn receive(&mut self, batch: &DeliveryBatch) -> Result<(), String> {
        if batch.epoch < self.epoch {
            return Ok(());
        }
        self.epoch = batch.epoch;
        for sample in &batch.samples {
            if sample.position != self.cursor.next() {
                continue;
            }
            let behind = self.published - sample.payload.oldest_version().0;
            if behind > self.bound {
                return Err(format!("{}: {behind} versions behind, the bound is {}", sample.sample, self.bound));
            }
            if !self.received.insert(sample.sample.clone()) {
                return Err(format!("{}: received again", sample.sample));
            }
            self.cursor = sample.position;
        }
        Ok(())
    }

    fn perform(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Open => {
                self.steps += 1;
                open_step(&mut self.state, self.incarnation, self.steps);
            }
            Action::Assign { relay } => {
                let index = usize::from(relay);
                self.sequences[index] += 1;
                let assigned = assign(&mut self.state, self.relays[index], self.sequences[index], 2);
                self.assigned.extend(assigned);
            }
            Action::Complete { index, behind } if !self.assigned.is_empty() => {
                let assignment = self.assigned[usize::from(index) % self.assigned.len()].clone();
                let version = self.published.saturating_sub(behind.into());
                complete(&mut self.state, &assignment, version);
            }
            Action::Complete { .. } => {}
            Action::LoseRelay { relay } => {
                let index = usize::from(relay);
                declare_relay_lost(&mut self.state, self.relays[index]);
                self.relays[index] = self.next_relay;
                self.sequences[index] = 0;
                add_relay(&mut self.state, self.next_relay);
                self.next_relay += 1;
            }
            Action::Fetch => {
                let batch = fetch(&mut self.state, self.incarnation, self.cursor);
                self.batches_in_flight.push(batch.map_err(|rejection| format!("a fetch was rejected: {rejection:?}"))?);
            }
            Action::ReceiveBatch { index } if !self.batches_in_flight.is_empty() => {
                let batch = self.batches_in_flight[usize::from(index) % self.batches_in_flight.len()].clone();
                self.receive(&batch)?;
            }
            Action::ReceiveBatch { .. } => {}
            Action::Publish => {
                self.published += 1;
                let outcome = publish(&mut self.state, self.incarnation, self.published, self.cursor);
                let CommandOutcome::Trainer(state) = outcome else {
                    return Err(format!("unexpected outcome of a publication: {outcome:?}"));
                };
                self.epoch = self.epoch.max(state.epoch);
            }
            Action::Restart => {
                self.incarnation += 1;
                open(&mut self.state, self.incarnation);
                // Replies to the earlier incarnation are not received.
                self.batches_in_flight.clear();
            }
            // Batches in flight may satisfy only the old bound. They are dropped here, as the trainer may accept them
            // until it receives its next batch.
            Action::Tighten { bound } => {
                self.batches_in_flight.clear();
                self.bound = u64::from(bound);
                configure(&mut self.state, self.bound);
            }
        }
        Ok(())
    }
}

#[test]
fn every_history_delivers_each_sample_once_and_within_the_staleness_bound() {
    fn check(actions: Vec<Action>) -> Result<(), String> {
        let mut history = History::new();
        actions.into_iter().try_for_each(|action| history.perform(action))?;
        drain(&mut history)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(150, 17)).tests(2_000).quickcheck(check as fn(Vec<Action>) -> _);
}

/// Completes and fetches all outstanding samples; fails if any requested sample is not delivered.
fn drain(history: &mut History) -> Result<(), String> {
    let expected = history.steps as usize * 4;
    // Declares all relays lost, so that their unfinished samples are requeued.
    (0..3).try_for_each(|relay| history.perform(Action::LoseRelay { relay }))?;
    for _ in 0..=expected {
        history.sequences[0] += 1;
        let sequence = history.sequences[0];
        for assignment in assign(&mut history.state, history.relays[0], sequence, u32::MAX) {
            complete(&mut history.state, &assignment, history.published);
        }
        let batch = fetch(&mut history.state, history.incarnation, history.cursor);
        history.receive(&batch.map_err(|rejection| format!("a fetch was rejected: {rejection:?}"))?)?;
    }
    let received = history.received.len();
    if received == expected { Ok(()) } else { Err(format!("{received} of {expected} samples were received")) }
}
