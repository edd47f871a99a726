//! Rollout commands: steps of trainers, assignment of samples to relays, and delivery.

use crate::state::ControlState;
use crate::state::rollouts::{
    RelayAssignments, RolloutLedger, SampleKey, SamplePhase, SampleRecord, Step, TrainerRecord,
};
use saddlerelay_types::identity::{Attempt, Incarnation, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::{CommandOutcome, RolloutCommand, TrainerRefusal};
use saddlerelay_types::rollout::{
    DeliveredSample, DeliveryBatch, SampleAssignment, SampleId, SamplePayload, StepRequest, TrainerState,
};

/// Maximum number of samples in one delivery.
pub const MAX_BATCH_SAMPLES: u32 = 256;

/// Number of tokens at which no further samples are added to a delivery.
pub const MAX_BATCH_TOKENS: usize = 1_000_000;

/// Applies a rollout command.
pub fn apply(state: &mut ControlState, command: RolloutCommand) -> CommandOutcome {
    match command {
        RolloutCommand::OpenTrainer { tenant, incarnation } => to_outcome(open_trainer(state, tenant, incarnation)),
        RolloutCommand::OpenStep { tenant, incarnation, request } => {
            to_outcome(trainer(state, &tenant, incarnation).and_then(|trainer| open_step(trainer, request)))
        }
        RolloutCommand::Publish { tenant, incarnation, version, cursor } => {
            to_outcome(trainer(state, &tenant, incarnation).and_then(|trainer| publish(trainer, version, cursor)))
        }
        RolloutCommand::Fetch { tenant, incarnation, cursor, limit } => {
            let fetched = trainer(state, &tenant, incarnation);
            let fetched = fetched.and_then(|trainer| fetch(trainer, &tenant, cursor, limit));
            fetched.map_or_else(CommandOutcome::Refused, CommandOutcome::Delivery)
        }
        RolloutCommand::Assign { relay, sequence, limit } => {
            CommandOutcome::Assigned(assign(state, relay, sequence, limit))
        }
        RolloutCommand::Complete { sample, attempt, payload } => {
            CommandOutcome::Applied(complete(&mut state.rollouts, sample, attempt, payload))
        }
        RolloutCommand::Abandon { sample, attempt } => {
            CommandOutcome::Applied(abandon(&mut state.rollouts, sample, attempt))
        }
    }
}

fn to_outcome(outcome: Result<TrainerState, TrainerRefusal>) -> CommandOutcome {
    outcome.map_or_else(CommandOutcome::Refused, CommandOutcome::Trainer)
}

/// The tenant's trainer, if `incarnation` is its current one.
fn trainer<'a>(
    state: &'a mut ControlState,
    tenant: &TenantId,
    incarnation: Incarnation,
) -> Result<&'a mut TrainerRecord, TrainerRefusal> {
    if state.configuration.parameters(tenant).is_none() {
        return Err(TrainerRefusal::UnknownTenant);
    }
    let trainer = state.rollouts.trainers.get_mut(tenant).ok_or(TrainerRefusal::NotOpen)?;
    if trainer.state.incarnation != incarnation {
        return Err(TrainerRefusal::Fenced);
    }
    Ok(trainer)
}

fn open_trainer(
    state: &mut ControlState,
    tenant: TenantId,
    incarnation: Incarnation,
) -> Result<TrainerState, TrainerRefusal> {
    let parameters = state.configuration.parameters(&tenant).ok_or(TrainerRefusal::UnknownTenant)?;
    let new = || TrainerRecord::new(incarnation, parameters.staleness_bound);
    let trainer = state.rollouts.trainers.entry(tenant).or_insert_with(new);
    if incarnation < trainer.state.incarnation {
        return Err(TrainerRefusal::Fenced);
    }
    if incarnation > trainer.state.incarnation {
        trainer.state.incarnation = incarnation;
        trainer.withdrawal_due = true;
    }
    Ok(trainer.state.clone())
}

fn open_step(trainer: &mut TrainerRecord, request: StepRequest) -> Result<TrainerState, TrainerRefusal> {
    let step = request.step;
    if step <= trainer.state.last_step {
        return Ok(trainer.state.clone());
    }
    if step != trainer.state.last_step.next() {
        return Err(TrainerRefusal::BadStep);
    }
    let count = request.prompts.len() as u32 * request.group_size;
    let sample = SampleRecord { attempt: Attempt(1), phase: SamplePhase::Pending };
    let samples = vec![sample; count as usize];
    trainer.pending.extend((0..count).map(|index| (step, index)));
    trainer.state.last_step = step;
    if count > 0 {
        trainer.steps.insert(step, Step { request, samples, outstanding: count });
    }
    Ok(trainer.state.clone())
}

/// Publishes a weight version. All unacknowledged positions are withdrawn and checked against the staleness bound of
/// the new version.
fn publish(
    trainer: &mut TrainerRecord,
    version: WeightVersion,
    cursor: Position,
) -> Result<TrainerState, TrainerRefusal> {
    if let Some(last) = trainer.last_publication.as_ref().filter(|last| last.published == version) {
        return Ok(last.clone());
    }
    if version <= trainer.state.published {
        return Err(TrainerRefusal::BadVersion);
    }
    check_cursor(trainer, cursor)?;
    trainer.acknowledge(cursor);
    trainer.state.published = version;
    trainer.withdraw_positions();
    trainer.last_publication = Some(trainer.state.clone());
    Ok(trainer.state.clone())
}

fn check_cursor(trainer: &TrainerRecord, cursor: Position) -> Result<(), TrainerRefusal> {
    let in_range = cursor >= trainer.state.cursor && cursor <= trainer.last_position();
    if in_range { Ok(()) } else { Err(TrainerRefusal::BadCursor) }
}

fn fetch(
    trainer: &mut TrainerRecord,
    tenant: &TenantId,
    cursor: Position,
    limit: u32,
) -> Result<DeliveryBatch, TrainerRefusal> {
    check_cursor(trainer, cursor)?;
    trainer.acknowledge(cursor);
    if trainer.withdrawal_due {
        trainer.withdraw_positions();
    }
    if trainer.positioned.is_empty() {
        assign_positions(trainer, limit.min(MAX_BATCH_SAMPLES));
    }
    let positioned: Vec<SampleKey> = trainer.positioned.values().copied().collect();
    let samples = positioned.into_iter().filter_map(|key| delivered_sample(trainer, tenant, key)).collect();
    Ok(DeliveryBatch { epoch: trainer.state.epoch, published: trainer.state.published, samples })
}

/// Assigns delivery positions to completed samples, oldest step first.
fn assign_positions(trainer: &mut TrainerRecord, limit: u32) {
    trainer.requeue_stale();
    let mut position = trainer.state.cursor;
    let mut tokens = 0;
    let chosen: Vec<SampleKey> = trainer.ready.iter().copied().take(limit as usize).collect();
    for key in chosen {
        let Some(sample) = trainer.sample_mut(key) else {
            continue;
        };
        let SamplePhase::Ready(payload) = &sample.phase else {
            continue;
        };
        position = position.next();
        tokens += payload.generation.tokens.len();
        sample.phase = SamplePhase::Positioned(position, payload.clone());
        trainer.ready.remove(&key);
        trainer.positioned.insert(position, key);
        if tokens >= MAX_BATCH_TOKENS {
            return;
        }
    }
}

fn delivered_sample(trainer: &TrainerRecord, tenant: &TenantId, key: SampleKey) -> Option<DeliveredSample> {
    let step = trainer.steps.get(&key.0)?;
    match &step.samples.get(key.1 as usize)?.phase {
        SamplePhase::Positioned(position, payload) => Some(DeliveredSample {
            position: *position,
            sample: sample_id(tenant, key, step.request.group_size),
            payload: payload.clone(),
        }),
        _ => None,
    }
}

fn sample_id(tenant: &TenantId, key: SampleKey, group_size: u32) -> SampleId {
    SampleId { tenant: tenant.clone(), step: key.0, prompt: key.1 / group_size, member: key.1 % group_size }
}

fn sample_key(trainer: &TrainerRecord, sample: &SampleId) -> Option<SampleKey> {
    let step: &Step = trainer.steps.get(&sample.step)?;
    Some((sample.step, sample.prompt * step.request.group_size + sample.member))
}

/// Assigns pending samples to a relay, starting with the next tenant in round-robin order.
fn assign(state: &mut ControlState, relay: Incarnation, sequence: u64, limit: u32) -> Vec<SampleAssignment> {
    if !state.members.is_live(relay) {
        return Vec::new();
    }
    let ledger = &mut state.rollouts;
    if let Some(last) = ledger.assignments.get(&relay).filter(|last| last.sequence >= sequence) {
        return if last.sequence == sequence { last.last_reply.clone() } else { Vec::new() };
    }
    let mut assigned = Vec::new();
    for tenant in tenants_round_robin(ledger) {
        let remaining = limit - assigned.len() as u32;
        if let Some(trainer) = ledger.trainers.get_mut(&tenant) {
            assign_from(trainer, &tenant, relay, remaining, &mut assigned);
        }
        if assigned.len() as u32 >= limit {
            break;
        }
    }
    let record: &mut RelayAssignments = ledger.assignments.entry(relay).or_default();
    record.sequence = sequence;
    record.last_reply.clone_from(&assigned);
    record.running.extend(assigned.iter().map(|assignment| assignment.sample.clone()));
    assigned
}

fn tenants_round_robin(ledger: &mut RolloutLedger) -> Vec<TenantId> {
    let tenants: Vec<TenantId> = ledger.trainers.keys().cloned().collect();
    let first = tenants.iter().position(|tenant| Some(tenant) >= ledger.next_tenant.as_ref()).unwrap_or(0);
    ledger.next_tenant = tenants.get(first + 1).cloned();
    tenants[first..].iter().chain(&tenants[..first]).cloned().collect()
}

fn assign_from(
    trainer: &mut TrainerRecord,
    tenant: &TenantId,
    relay: Incarnation,
    limit: u32,
    assigned: &mut Vec<SampleAssignment>,
) {
    let oldest_useful_version = trainer.oldest_useful_version();
    let chosen: Vec<SampleKey> = trainer.pending.iter().copied().take(limit as usize).collect();
    for key in chosen {
        trainer.pending.remove(&key);
        let Some(step) = trainer.steps.get_mut(&key.0) else {
            continue;
        };
        let sample = sample_id(tenant, key, step.request.group_size);
        let record = &mut step.samples[key.1 as usize];
        record.phase = SamplePhase::Assigned(relay);
        assigned.push(SampleAssignment {
            attempt: record.attempt,
            prompt: step.request.prompts[sample.prompt as usize].clone(),
            max_tokens: step.request.max_tokens,
            sample,
            oldest_useful_version,
        });
    }
}

/// Records a completed sample, if `attempt` is the current one; a sample that exceeds the staleness bound is requeued.
fn complete(ledger: &mut RolloutLedger, sample: SampleId, attempt: Attempt, payload: SamplePayload) -> bool {
    let Some((trainer, key)) = running_attempt(ledger, &sample, attempt) else {
        return false;
    };
    let fresh = trainer.is_fresh(&payload);
    if let Some(record) = trainer.sample_mut(key) {
        record.phase = SamplePhase::Ready(payload);
    }
    trainer.ready.insert(key);
    if !fresh {
        trainer.requeue(key);
    }
    true
}

fn abandon(ledger: &mut RolloutLedger, sample: SampleId, attempt: Attempt) -> bool {
    let Some((trainer, key)) = running_attempt(ledger, &sample, attempt) else {
        return false;
    };
    trainer.requeue(key);
    true
}

/// Removes the sample from its relay's assignments, if `attempt` is the current one.
fn running_attempt<'a>(
    ledger: &'a mut RolloutLedger,
    sample: &SampleId,
    attempt: Attempt,
) -> Option<(&'a mut TrainerRecord, SampleKey)> {
    let trainer = ledger.trainers.get_mut(&sample.tenant)?;
    let key = sample_key(trainer, sample)?;
    let record = trainer.sample_mut(key)?;
    let SamplePhase::Assigned(relay) = record.phase else {
        return None;
    };
    if record.attempt != attempt {
        return None;
    }
    if let Some(assignments) = ledger.assignments.get_mut(&relay) {
        assignments.running.remove(sample);
    }
    Some((trainer, key))
}

/// Requeues all samples assigned to a lost relay.
pub fn relay_lost(state: &mut ControlState, relay: Incarnation) {
    let ledger = &mut state.rollouts;
    let Some(assignments) = ledger.assignments.remove(&relay) else {
        return;
    };
    for sample in assignments.running {
        let Some(trainer) = ledger.trainers.get_mut(&sample.tenant) else {
            continue;
        };
        let Some(key) = sample_key(trainer, &sample) else {
            continue;
        };
        let is_assigned = trainer.sample_mut(key).is_some_and(|record| record.phase == SamplePhase::Assigned(relay));
        if is_assigned {
            trainer.requeue(key);
        }
    }
}

/// Whether any sample is waiting for a relay.
pub fn samples_are_pending(state: &ControlState) -> bool {
    state.rollouts.trainers.values().any(|trainer| !trainer.pending.is_empty())
}

/// Whether any completed sample has no delivery position yet.
pub fn samples_are_ready(state: &ControlState) -> bool {
    state.rollouts.trainers.values().any(|trainer| !trainer.ready.is_empty())
}

/// Whether a fetch would change nothing and return no samples.
pub fn fetch_is_idle(state: &ControlState, tenant: &TenantId, incarnation: Incarnation, cursor: Position) -> bool {
    let Some(trainer) = state.rollouts.trainers.get(tenant) else {
        return false;
    };
    let is_unchanged = trainer.state.incarnation == incarnation && trainer.state.cursor == cursor;
    is_unchanged && trainer.positioned.is_empty() && trainer.ready.is_empty()
}

/// Whether an assignment request would return no samples.
pub fn assign_is_idle(state: &ControlState, relay: Incarnation, sequence: u64) -> bool {
    let is_retry = state.rollouts.assignments.get(&relay).is_some_and(|last| last.sequence >= sequence);
    !is_retry && !samples_are_pending(state)
}

/// A delivery without samples; `None` if the tenant has no trainer.
pub fn empty_delivery(state: &ControlState, tenant: &TenantId) -> Option<CommandOutcome> {
    let trainer = &state.rollouts.trainers.get(tenant)?.state;
    let batch = DeliveryBatch { epoch: trainer.epoch, published: trainer.published, samples: Vec::new() };
    Some(CommandOutcome::Delivery(batch))
}
