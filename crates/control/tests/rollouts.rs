//! The ledger of samples: each reaches its trainer once, none is too old, whatever is late, lost or sent again.

mod common;

use common::{apply, join, lose};
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

const BOUND: u64 = 1;

fn rollout(state: &mut ControlState, command: RolloutCommand) -> CommandOutcome {
    apply(state, Command::Rollout(command))
}

fn tenant() -> TenantId {
    TenantId::new("plan-training")
}

fn configure(state: &mut ControlState, bound: u64) {
    let template = ObjectValue::Template(Template { parameters: BTreeMap::new() });
    let values = BTreeMap::from([(ParameterName::StalenessBound, ParameterValue::Integer(bound as i64))]);
    let filled = ObjectValue::Tenant(Tenant { template: TemplateId::new("team"), values });
    let names = [ObjectName::Template(TemplateId::new("team")), ObjectName::Tenant(tenant())];
    for (name, value) in names.into_iter().zip([template, filled]) {
        let change = ConfigurationChange { name, value: Some(value), expected: None, idempotency_key: None };
        apply(state, Command::Configuration(change));
    }
}

fn new_state() -> ControlState {
    let mut state = ControlState::default();
    configure(&mut state, BOUND);
    (1..=3).for_each(|relay| join(&mut state, relay));
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
        CommandOutcome::Refused(refusal) => Err(refusal),
        other => panic!("a fetch brought {other:?}"),
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
        other => panic!("an assignment brought {other:?}"),
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
fn a_fetch_at_the_same_cursor_brings_the_same_samples() {
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
fn a_completion_of_an_earlier_attempt_is_dropped() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    let late = assign(&mut state, 1, 1, 1).remove(0);
    lose(&mut state, 1);
    let again = assign(&mut state, 2, 1, 1).remove(0);
    assert_eq!(again.sample, late.sample);
    assert!(!complete(&mut state, &late, 0));
    assert!(complete(&mut state, &again, 0));
    assert!(!complete(&mut state, &again, 0));
}

#[test]
fn a_resent_assignment_brings_the_same_samples() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    let first = assign(&mut state, 1, 1, 2);
    assert_eq!(assign(&mut state, 1, 1, 2), first);
    assert_eq!(assign(&mut state, 1, 2, 4).len(), 2);
}

/// The trap of the brief: a batch on its way while the trainer publishes. What it had not received is decided again.
#[test]
fn a_publication_takes_back_what_was_not_received_and_is_too_old() {
    let mut state = new_state();
    open(&mut state, 1);
    open_step(&mut state, 1, 1);
    for assignment in assign(&mut state, 1, 1, 4) {
        complete(&mut state, &assignment, 0);
    }
    let on_its_way = fetch(&mut state, 1, Position(0)).expect("the trainer may fetch");
    publish(&mut state, 1, 1, Position(0));
    publish(&mut state, 1, 2, Position(0));
    let after = fetch(&mut state, 1, Position(0)).expect("the trainer may fetch");
    assert!(after.epoch > on_its_way.epoch);
    assert!(after.samples.is_empty(), "version 0 is two behind, one is allowed");
    assert_eq!(assign(&mut state, 1, 2, 8).len(), 4, "all of it is asked for again");
}

#[test]
fn an_older_incarnation_of_the_trainer_is_refused() {
    let mut state = new_state();
    open(&mut state, 2);
    assert_eq!(open(&mut state, 1), CommandOutcome::Refused(TrainerRefusal::Fenced));
    assert_eq!(fetch(&mut state, 1, Position(0)), Err(TrainerRefusal::Fenced));
    assert_eq!(publish(&mut state, 1, 1, Position(0)), CommandOutcome::Refused(TrainerRefusal::Fenced));
}

#[test]
fn a_cursor_that_was_never_handed_out_is_refused() {
    let mut state = new_state();
    open(&mut state, 1);
    assert_eq!(fetch(&mut state, 1, Position(1)), Err(TrainerRefusal::BadCursor));
}

/// One step of a trainer's and some relays' history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Assign { relay: u8 },
    Complete { place: u8, behind: u8 },
    LoseRelay { relay: u8 },
    Fetch,
    TakeBatch { place: u8 },
    Publish,
    Restart,
    Tighten { bound: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let number = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 14 {
            0 => Self::Open,
            1..=3 => Self::Assign { relay: number % 3 },
            4..=6 => Self::Complete { place: number, behind: number % 3 },
            7 => Self::LoseRelay { relay: number % 3 },
            8 | 9 => Self::Fetch,
            10 | 11 => Self::TakeBatch { place: number },
            12 => Self::Publish,
            _ if number.is_multiple_of(2) => Self::Restart,
            _ => Self::Tighten { bound: number % 3 },
        }
    }
}

/// A trainer as the interface asks it to be: it drops batches of an earlier epoch and takes positions in order. Its
/// cursor lasts; batches on their way may arrive late, twice, or after it was started again.
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
    on_their_way: Vec<DeliveryBatch>,
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
            bound: BOUND,
            sequences: [0; 3],
            relays: [1, 2, 3],
            next_relay: 4,
            assigned: Vec::new(),
            on_their_way: Vec::new(),
            received: BTreeSet::new(),
        }
    }

    fn take(&mut self, batch: &DeliveryBatch) -> Result<(), String> {
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
                return Err(format!("{}: {behind} versions behind, {} allowed", sample.sample, self.bound));
            }
            if !self.received.insert(sample.sample.clone()) {
                return Err(format!("{}: received again", sample.sample));
            }
            self.cursor = sample.position;
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Open => {
                self.steps += 1;
                open_step(&mut self.state, self.incarnation, self.steps);
            }
            Step::Assign { relay } => {
                let place = usize::from(relay);
                self.sequences[place] += 1;
                let assigned = assign(&mut self.state, self.relays[place], self.sequences[place], 2);
                self.assigned.extend(assigned);
            }
            Step::Complete { place, behind } if !self.assigned.is_empty() => {
                let assignment = self.assigned[usize::from(place) % self.assigned.len()].clone();
                let version = self.published.saturating_sub(behind.into());
                complete(&mut self.state, &assignment, version);
            }
            Step::Complete { .. } => {}
            Step::LoseRelay { relay } => {
                let place = usize::from(relay);
                lose(&mut self.state, self.relays[place]);
                self.relays[place] = self.next_relay;
                self.sequences[place] = 0;
                join(&mut self.state, self.next_relay);
                self.next_relay += 1;
            }
            Step::Fetch => {
                let batch = fetch(&mut self.state, self.incarnation, self.cursor);
                self.on_their_way.push(batch.map_err(|refusal| format!("a fetch was refused: {refusal:?}"))?);
            }
            Step::TakeBatch { place } if !self.on_their_way.is_empty() => {
                let batch = self.on_their_way[usize::from(place) % self.on_their_way.len()].clone();
                self.take(&batch)?;
            }
            Step::TakeBatch { .. } => {}
            Step::Publish => {
                self.published += 1;
                let answer = publish(&mut self.state, self.incarnation, self.published, self.cursor);
                let CommandOutcome::Trainer(state) = answer else {
                    return Err(format!("a publication brought {answer:?}"));
                };
                self.epoch = self.epoch.max(state.epoch);
            }
            Step::Restart => {
                self.incarnation += 1;
                open(&mut self.state, self.incarnation);
                // The earlier incarnation's answers go to nobody.
                self.on_their_way.clear();
            }
            // Batches already on their way were decided under the looser bound: the trainer may take them until it is
            // told otherwise by its next answer, so they are not sent here.
            Step::Tighten { bound } => {
                self.on_their_way.clear();
                self.bound = u64::from(bound);
                configure(&mut self.state, self.bound);
            }
        }
        Ok(())
    }
}

#[test]
fn no_history_delivers_twice_too_old_or_out_of_order() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        let mut history = History::new();
        steps.into_iter().try_for_each(|step| history.step(step))?;
        drain(&mut history)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(150, 17)).tests(2_000).quickcheck(holds as fn(Vec<Step>) -> _);
}

/// After any history, working relays and a trainer that fetches bring every sample that was asked for.
fn drain(history: &mut History) -> Result<(), String> {
    let expected = history.steps as usize * 4;
    // Relays that hold samples and never finish them are lost in the end.
    (0..3).try_for_each(|relay| history.step(Step::LoseRelay { relay }))?;
    for _ in 0..=expected {
        history.sequences[0] += 1;
        let sequence = history.sequences[0];
        for assignment in assign(&mut history.state, history.relays[0], sequence, u32::MAX) {
            complete(&mut history.state, &assignment, history.published);
        }
        let batch = fetch(&mut history.state, history.incarnation, history.cursor);
        history.take(&batch.map_err(|refusal| format!("a fetch was refused: {refusal:?}"))?)?;
    }
    let received = history.received.len();
    if received == expected { Ok(()) } else { Err(format!("{received} of {expected} samples were received")) }
}
