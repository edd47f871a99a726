//! Trainers' steps, their samples, and delivery.

use crate::state::ControlState;
use crate::state::rollouts::{
    RelayAssignments, RolloutLedger, SamplePhase, SamplePlace, SampleRecord, Step, TrainerRecord,
};
use saddlerelay_types::identity::{Attempt, Incarnation, Position, TenantId, WeightVersion};
use saddlerelay_types::protocol::{CommandOutcome, RolloutCommand, TrainerRefusal};
use saddlerelay_types::rollout::{
    DeliveredSample, DeliveryBatch, SampleAssignment, SampleId, SamplePayload, StepRequest, TrainerState,
};

/// Most samples in one delivery.
pub const MAX_BATCH_SAMPLES: u32 = 256;

/// Tokens after which a delivery gets no further samples.
pub const MAX_BATCH_TOKENS: usize = 1_000_000;

/// Applies a rollout command.
pub fn apply(state: &mut ControlState, command: RolloutCommand) -> CommandOutcome {
    match command {
        RolloutCommand::OpenTrainer { tenant, incarnation } => answer(open_trainer(state, tenant, incarnation)),
        RolloutCommand::OpenStep { tenant, incarnation, request } => {
            answer(trainer(state, &tenant, incarnation).and_then(|trainer| open_step(trainer, request)))
        }
        RolloutCommand::Publish { tenant, incarnation, version, cursor } => {
            answer(trainer(state, &tenant, incarnation).and_then(|trainer| publish(trainer, version, cursor)))
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

fn answer(outcome: Result<TrainerState, TrainerRefusal>) -> CommandOutcome {
    outcome.map_or_else(CommandOutcome::Refused, CommandOutcome::Trainer)
}

/// The trainer, if `incarnation` is the one that may act.
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

/// Staleness is decided here: what the trainer has not received is taken back and decided again.
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
    trainer.withdraw_placed();
    trainer.last_publication = Some(trainer.state.clone());
    Ok(trainer.state.clone())
}

fn check_cursor(trainer: &TrainerRecord, cursor: Position) -> Result<(), TrainerRefusal> {
    let known = cursor >= trainer.state.cursor && cursor <= trainer.last_placed();
    if known { Ok(()) } else { Err(TrainerRefusal::BadCursor) }
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
        trainer.withdraw_placed();
    }
    if trainer.placed.is_empty() {
        place_ready(trainer, limit.min(MAX_BATCH_SAMPLES));
    }
    let placed: Vec<SamplePlace> = trainer.placed.values().copied().collect();
    let samples = placed.into_iter().filter_map(|place| delivered(trainer, tenant, place)).collect();
    Ok(DeliveryBatch { epoch: trainer.state.epoch, published: trainer.state.published, samples })
}

/// Gives places to finished samples, oldest step first.
fn place_ready(trainer: &mut TrainerRecord, limit: u32) {
    trainer.drop_stale();
    let mut position = trainer.state.cursor;
    let mut tokens = 0;
    let chosen: Vec<SamplePlace> = trainer.ready.iter().copied().take(limit as usize).collect();
    for place in chosen {
        let Some(sample) = trainer.sample_mut(place) else {
            continue;
        };
        let SamplePhase::Ready(payload) = &sample.phase else {
            continue;
        };
        position = position.next();
        tokens += payload.generation.tokens.len();
        sample.phase = SamplePhase::Placed(position, payload.clone());
        trainer.ready.remove(&place);
        trainer.placed.insert(position, place);
        if tokens >= MAX_BATCH_TOKENS {
            return;
        }
    }
}

fn delivered(trainer: &TrainerRecord, tenant: &TenantId, place: SamplePlace) -> Option<DeliveredSample> {
    let step = trainer.steps.get(&place.0)?;
    match &step.samples.get(place.1 as usize)?.phase {
        SamplePhase::Placed(position, payload) => Some(DeliveredSample {
            position: *position,
            sample: sample_id(tenant, place, step.request.group_size),
            payload: payload.clone(),
        }),
        _ => None,
    }
}

fn sample_id(tenant: &TenantId, place: SamplePlace, group_size: u32) -> SampleId {
    SampleId { tenant: tenant.clone(), step: place.0, prompt: place.1 / group_size, member: place.1 % group_size }
}

fn sample_place(trainer: &TrainerRecord, sample: &SampleId) -> Option<SamplePlace> {
    let step: &Step = trainer.steps.get(&sample.step)?;
    Some((sample.step, sample.prompt * step.request.group_size + sample.member))
}

/// Hands pending samples to a relay, one tenant after another.
fn assign(state: &mut ControlState, relay: Incarnation, sequence: u64, limit: u32) -> Vec<SampleAssignment> {
    if !state.members.is_live(relay) {
        return Vec::new();
    }
    let ledger = &mut state.rollouts;
    if let Some(last) = ledger.assignments.get(&relay).filter(|last| last.sequence >= sequence) {
        return if last.sequence == sequence { last.answer.clone() } else { Vec::new() };
    }
    let mut assigned = Vec::new();
    for tenant in tenants_in_turn(ledger) {
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
    record.answer.clone_from(&assigned);
    record.running.extend(assigned.iter().map(|assignment| assignment.sample.clone()));
    assigned
}

fn tenants_in_turn(ledger: &mut RolloutLedger) -> Vec<TenantId> {
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
    let chosen: Vec<SamplePlace> = trainer.pending.iter().copied().take(limit as usize).collect();
    for place in chosen {
        trainer.pending.remove(&place);
        let Some(step) = trainer.steps.get_mut(&place.0) else {
            continue;
        };
        let sample = sample_id(tenant, place, step.request.group_size);
        let record = &mut step.samples[place.1 as usize];
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

/// Takes a finished sample, if its attempt is the one that runs.
fn complete(ledger: &mut RolloutLedger, sample: SampleId, attempt: Attempt, payload: SamplePayload) -> bool {
    let Some((trainer, place)) = running_attempt(ledger, &sample, attempt) else {
        return false;
    };
    let fresh = trainer.is_fresh(&payload);
    if let Some(record) = trainer.sample_mut(place) {
        record.phase = SamplePhase::Ready(payload);
    }
    trainer.ready.insert(place);
    if !fresh {
        trainer.ask_again(place);
    }
    true
}

fn abandon(ledger: &mut RolloutLedger, sample: SampleId, attempt: Attempt) -> bool {
    let Some((trainer, place)) = running_attempt(ledger, &sample, attempt) else {
        return false;
    };
    trainer.ask_again(place);
    true
}

/// Ends the attempt's assignment, if it is the one that runs.
fn running_attempt<'a>(
    ledger: &'a mut RolloutLedger,
    sample: &SampleId,
    attempt: Attempt,
) -> Option<(&'a mut TrainerRecord, SamplePlace)> {
    let trainer = ledger.trainers.get_mut(&sample.tenant)?;
    let place = sample_place(trainer, sample)?;
    let record = trainer.sample_mut(place)?;
    let SamplePhase::Assigned(relay) = record.phase else {
        return None;
    };
    if record.attempt != attempt {
        return None;
    }
    if let Some(assignments) = ledger.assignments.get_mut(&relay) {
        assignments.running.remove(sample);
    }
    Some((trainer, place))
}

/// Asks again for everything a lost relay was running.
pub fn relay_lost(state: &mut ControlState, relay: Incarnation) {
    let ledger = &mut state.rollouts;
    let Some(assignments) = ledger.assignments.remove(&relay) else {
        return;
    };
    for sample in assignments.running {
        let Some(trainer) = ledger.trainers.get_mut(&sample.tenant) else {
            continue;
        };
        let Some(place) = sample_place(trainer, &sample) else {
            continue;
        };
        let held = trainer.sample_mut(place).is_some_and(|record| record.phase == SamplePhase::Assigned(relay));
        if held {
            trainer.ask_again(place);
        }
    }
}

/// Whether any sample waits for a relay.
pub fn samples_are_pending(state: &ControlState) -> bool {
    state.rollouts.trainers.values().any(|trainer| !trainer.pending.is_empty())
}

/// Whether any sample waits for its trainer to fetch it.
pub fn samples_are_ready(state: &ControlState) -> bool {
    state.rollouts.trainers.values().any(|trainer| !trainer.ready.is_empty())
}

/// Whether a fetch would change nothing and bring nothing.
pub fn fetch_is_idle(state: &ControlState, tenant: &TenantId, incarnation: Incarnation, cursor: Position) -> bool {
    let Some(trainer) = state.rollouts.trainers.get(tenant) else {
        return false;
    };
    let same = trainer.state.incarnation == incarnation && trainer.state.cursor == cursor;
    same && trainer.placed.is_empty() && trainer.ready.is_empty()
}

/// Whether an assignment would hand out nothing.
pub fn assign_is_idle(state: &ControlState, relay: Incarnation, sequence: u64) -> bool {
    let resent = state.rollouts.assignments.get(&relay).is_some_and(|last| last.sequence >= sequence);
    !resent && !samples_are_pending(state)
}

/// A delivery of nothing.
pub fn empty_delivery(state: &ControlState, tenant: &TenantId) -> Option<CommandOutcome> {
    let trainer = &state.rollouts.trainers.get(tenant)?.state;
    let batch = DeliveryBatch { epoch: trainer.epoch, published: trainer.published, samples: Vec::new() };
    Some(CommandOutcome::Delivery(batch))
}
