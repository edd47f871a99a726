//! Trainers, their steps and samples.

use bitcode::{Decode, Encode};
use saddlerelay_types::identity::{Attempt, Incarnation, Position, StepNumber, TenantId, WeightVersion};
use saddlerelay_types::rollout::{SampleAssignment, SampleId, SamplePayload, StepRequest, TrainerState};
use std::collections::{BTreeMap, BTreeSet};

/// State of a sample.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum SamplePhase {
    /// Waiting to be assigned to a relay.
    Pending,
    /// Assigned to a relay.
    Assigned(Incarnation),
    /// Completed, without a delivery position.
    Ready(SamplePayload),
    /// Completed, with a delivery position, and not yet acknowledged by the trainer.
    Positioned(Position, SamplePayload),
    /// Acknowledged by the trainer.
    Acknowledged,
}

/// A sample of a step.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SampleRecord {
    /// Current attempt number.
    pub attempt: Attempt,
    /// Current state.
    pub phase: SamplePhase,
}

/// A step of a trainer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Step {
    /// The trainer's request.
    pub request: StepRequest,
    /// The samples, ordered by prompt and then by group member.
    pub samples: Vec<SampleRecord>,
    /// Number of samples that the trainer has not acknowledged.
    pub outstanding: u32,
}

/// Step and index within the step of a trainer's sample.
pub type SampleKey = (StepNumber, u32);

/// A trainer with its open steps. A step is dropped once all of its samples are acknowledged.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TrainerRecord {
    /// Incarnation, epoch, cursor, and newest version and step.
    pub state: TrainerState,
    /// The tenant's staleness bound, in weight versions.
    pub staleness_bound: u64,
    /// Steps with unacknowledged samples.
    pub steps: BTreeMap<StepNumber, Step>,
    /// Samples waiting for a relay, oldest step first.
    pub pending: BTreeSet<SampleKey>,
    /// Completed samples without a delivery position, oldest step first.
    pub ready: BTreeSet<SampleKey>,
    /// Unacknowledged samples by delivery position.
    pub positioned: BTreeMap<Position, SampleKey>,
    /// Whether unacknowledged delivery positions are withdrawn at the trainer's next fetch, after its cursor is
    /// applied.
    pub withdrawal_due: bool,
    /// Reply to the newest publication, repeated for retries.
    pub last_publication: Option<TrainerState>,
}

/// A relay's samples, and its last assignment reply for retries.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RelayAssignments {
    /// Sequence number of the newest request.
    pub sequence: u64,
    /// Reply to the newest request.
    pub last_reply: Vec<SampleAssignment>,
    /// All samples assigned to the relay.
    pub running: BTreeSet<SampleId>,
}

/// All trainers and the assignments of all relays.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RolloutLedger {
    /// Trainers by tenant.
    pub trainers: BTreeMap<TenantId, TrainerRecord>,
    /// Assignments by relay.
    pub assignments: BTreeMap<Incarnation, RelayAssignments>,
    /// The tenant served first by the next assignment (round robin).
    pub next_tenant: Option<TenantId>,
}

impl TrainerRecord {
    /// A trainer without any steps.
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
            positioned: BTreeMap::new(),
            withdrawal_due: false,
            last_publication: None,
        }
    }

    /// The oldest weight version within the staleness bound.
    pub fn oldest_useful_version(&self) -> WeightVersion {
        WeightVersion(self.state.published.0.saturating_sub(self.staleness_bound))
    }

    /// Whether `payload` is within the staleness bound.
    pub fn is_fresh(&self, payload: &SamplePayload) -> bool {
        payload.oldest_version() >= self.oldest_useful_version()
    }

    /// Looks up a sample.
    pub fn sample_mut(&mut self, key: SampleKey) -> Option<&mut SampleRecord> {
        self.steps.get_mut(&key.0)?.samples.get_mut(key.1 as usize)
    }

    /// Drops a sample's result, if any, and requeues the sample with the next attempt number.
    pub fn requeue(&mut self, key: SampleKey) {
        if let Some(sample) = self.sample_mut(key) {
            sample.attempt = sample.attempt.next();
            sample.phase = SamplePhase::Pending;
            self.ready.remove(&key);
            self.pending.insert(key);
        }
    }

    /// Withdraws all unacknowledged delivery positions, and increments the epoch, which invalidates earlier deliveries.
    pub fn withdraw_positions(&mut self) {
        for (_, key) in std::mem::take(&mut self.positioned) {
            if let Some(sample) = self.sample_mut(key)
                && let SamplePhase::Positioned(_, payload) = &sample.phase
            {
                sample.phase = SamplePhase::Ready(payload.clone());
                self.ready.insert(key);
            }
        }
        self.state.epoch = self.state.epoch.next();
        self.withdrawal_due = false;
        self.requeue_stale();
    }

    /// Requeues completed samples that exceed the staleness bound.
    pub fn requeue_stale(&mut self) {
        let stale: Vec<SampleKey> = self.ready.iter().copied().filter(|key| !self.ready_is_fresh(*key)).collect();
        for key in stale {
            self.requeue(key);
        }
    }

    fn ready_is_fresh(&self, key: SampleKey) -> bool {
        let sample = self.steps.get(&key.0).and_then(|step| step.samples.get(key.1 as usize));
        match sample.map(|sample| &sample.phase) {
            Some(SamplePhase::Ready(payload)) => self.is_fresh(payload),
            _ => false,
        }
    }

    /// Marks all samples up to delivery position `cursor` as acknowledged.
    pub fn acknowledge(&mut self, cursor: Position) {
        let later = self.positioned.split_off(&cursor.next());
        for (_, key) in std::mem::replace(&mut self.positioned, later) {
            self.mark_acknowledged(key);
        }
        self.state.cursor = self.state.cursor.max(cursor);
    }

    fn mark_acknowledged(&mut self, key: SampleKey) {
        if let Some(sample) = self.sample_mut(key) {
            sample.phase = SamplePhase::Acknowledged;
        }
        let Some(step) = self.steps.get_mut(&key.0) else {
            return;
        };
        step.outstanding -= 1;
        if step.outstanding == 0 {
            self.steps.remove(&key.0);
        }
    }

    /// The highest delivery position assigned so far.
    pub fn last_position(&self) -> Position {
        self.positioned.last_key_value().map_or(self.state.cursor, |(position, _)| *position)
    }
}
