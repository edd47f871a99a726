//! Trainers, steps and samples.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::{Attempt, Incarnation, Position, StepNumber, TenantId, WeightVersion};
use saddlerelay_types::rollout::{SampleAssignment, SampleId, SamplePayload, StepRequest, TrainerState};
use std::collections::{BTreeMap, BTreeSet};

/// Where a sample stands.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum SamplePhase {
    /// Waits for a relay.
    Pending,
    /// A relay runs it.
    Assigned(Incarnation),
    /// Finished, without a place in the delivery order.
    Ready(SamplePayload),
    /// Given a place, not yet acknowledged.
    Placed(Position, SamplePayload),
    /// The trainer has it.
    Received,
}

/// One sample.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SampleRecord {
    /// The newest attempt.
    pub attempt: Attempt,
    /// Where it stands.
    pub phase: SamplePhase,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Step {
    /// What was asked for.
    pub request: StepRequest,
    /// The samples, by prompt and then by group member.
    pub samples: Vec<SampleRecord>,
    /// Samples the trainer does not have yet.
    pub outstanding: u32,
}

/// The place of a sample among a trainer's steps.
pub type SamplePlace = (StepNumber, u32);

/// One trainer. A step is dropped once all of its samples are received.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TrainerRecord {
    /// Where the trainer stands.
    pub state: TrainerState,
    /// The staleness bound that placed samples were decided under.
    pub staleness_bound: u64,
    /// Steps that are not wholly received.
    pub steps: BTreeMap<StepNumber, Step>,
    /// Samples that wait for a relay, oldest step first.
    pub pending: BTreeSet<SamplePlace>,
    /// Finished samples without a place in the delivery order.
    pub ready: BTreeSet<SamplePlace>,
    /// Samples with a place, not yet acknowledged.
    pub placed: BTreeMap<Position, SamplePlace>,
    /// Places are to be taken back at the trainer's next fetch, whose cursor says what it has received.
    pub withdrawal_due: bool,
    /// The answer to the newest publication, for a resend.
    pub last_publication: Option<TrainerState>,
}

/// What a relay was handed last, for a resend.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RelayAssignments {
    /// The newest request's number.
    pub sequence: u64,
    /// Its answer.
    pub answer: Vec<SampleAssignment>,
    /// Everything the relay runs.
    pub running: BTreeSet<SampleId>,
}

/// Every trainer.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RolloutLedger {
    /// By tenant.
    pub trainers: BTreeMap<TenantId, TrainerRecord>,
    /// By relay.
    pub assignments: BTreeMap<Incarnation, RelayAssignments>,
    /// The tenant served first by the next assignment, so that none starves.
    pub next_tenant: Option<TenantId>,
}

impl TrainerRecord {
    /// A trainer that has just opened for the first time.
    pub fn new(incarnation: Incarnation, staleness_bound: u64) -> Self {
        let state = TrainerState {
            incarnation,
            epoch: Default::default(),
            cursor: Position(0),
            published: WeightVersion(0),
            last_step: StepNumber(0),
        };
        Self {
            state,
            staleness_bound,
            steps: BTreeMap::new(),
            pending: BTreeSet::new(),
            ready: BTreeSet::new(),
            placed: BTreeMap::new(),
            withdrawal_due: false,
            last_publication: None,
        }
    }

    /// The oldest version that may still be delivered.
    pub fn oldest_useful_version(&self) -> WeightVersion {
        WeightVersion(self.state.published.0.saturating_sub(self.staleness_bound))
    }

    /// Whether `payload` may be delivered now.
    pub fn is_fresh(&self, payload: &SamplePayload) -> bool {
        payload.oldest_version() >= self.oldest_useful_version()
    }

    /// The sample at `place`.
    pub fn sample_mut(&mut self, place: SamplePlace) -> Option<&mut SampleRecord> {
        self.steps.get_mut(&place.0)?.samples.get_mut(place.1 as usize)
    }

    /// Drops a sample's result, if any, and asks for it again under the next attempt.
    pub fn ask_again(&mut self, place: SamplePlace) {
        if let Some(sample) = self.sample_mut(place) {
            sample.attempt = sample.attempt.next();
            sample.phase = SamplePhase::Pending;
            self.ready.remove(&place);
            self.pending.insert(place);
        }
    }

    /// Takes back every place the trainer has not acknowledged; answers that carry them are void.
    pub fn withdraw_placed(&mut self) {
        for (_, place) in std::mem::take(&mut self.placed) {
            if let Some(sample) = self.sample_mut(place)
                && let SamplePhase::Placed(_, payload) = &sample.phase
            {
                sample.phase = SamplePhase::Ready(payload.clone());
                self.ready.insert(place);
            }
        }
        self.state.epoch = self.state.epoch.next();
        self.withdrawal_due = false;
        self.drop_stale();
    }

    /// Asks again for every finished sample that is too old by now.
    pub fn drop_stale(&mut self) {
        let stale: Vec<SamplePlace> = self.ready.iter().copied().filter(|place| !self.ready_is_fresh(*place)).collect();
        for place in stale {
            self.ask_again(place);
        }
    }

    fn ready_is_fresh(&self, place: SamplePlace) -> bool {
        let sample = self.steps.get(&place.0).and_then(|step| step.samples.get(place.1 as usize));
        match sample.map(|sample| &sample.phase) {
            Some(SamplePhase::Ready(payload)) => self.is_fresh(payload),
            _ => false,
        }
    }

    /// Records that the trainer has everything up to `cursor`.
    pub fn acknowledge(&mut self, cursor: Position) {
        let later = self.placed.split_off(&cursor.next());
        for (_, place) in std::mem::replace(&mut self.placed, later) {
            self.receive(place);
        }
        self.state.cursor = self.state.cursor.max(cursor);
    }

    fn receive(&mut self, place: SamplePlace) {
        if let Some(sample) = self.sample_mut(place) {
            sample.phase = SamplePhase::Received;
        }
        let Some(step) = self.steps.get_mut(&place.0) else {
            return;
        };
        step.outstanding -= 1;
        if step.outstanding == 0 {
            self.steps.remove(&place.0);
        }
    }

    /// The highest position handed out.
    pub fn last_placed(&self) -> Position {
        self.placed.last_key_value().map_or(self.state.cursor, |(position, _)| *position)
    }
}
