//! Samples: asks the control group for work, generates, scores and completes.

use crate::dispatch::GenerationWork;
use crate::relay::Relay;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::identity::{Incarnation, ModelName, TenantId};
use saddlerelay_types::protocol::{Command, CommandOutcome, RolloutCommand};
use saddlerelay_types::request::{FailureCode, Generation, Priority, Repeatability};
use saddlerelay_types::rollout::{SampleAssignment, SamplePayload};
use std::time::Duration;

/// Most time a sample may take before its relay gives it back.
const SAMPLE_LIMIT: Duration = Duration::from_secs(600);

/// Time limit of one call to a scorer.
const SCORE_LIMIT: Duration = Duration::from_secs(5);

/// Pause before a scorer is asked again.
const SCORE_PAUSE: Duration = Duration::from_millis(100);

/// Engines tried for one sample before it is given back.
const SAMPLE_ATTEMPTS: u32 = 8;

/// Counts a sample as running until dropped.
struct Running<P: Runtime, B: Backends>(Relay<P, B>);

impl<P: Runtime, B: Backends> Running<P, B> {
    fn begin(relay: &Relay<P, B>) -> Self {
        let running = &relay.inner.samples_running;
        running.set(running.get() + 1);
        Self(relay.clone())
    }
}

impl<P: Runtime, B: Backends> Drop for Running<P, B> {
    fn drop(&mut self) {
        let running = &self.0.inner.samples_running;
        running.set(running.get() - 1);
    }
}

/// Asks for samples while there is room on engines, until the process ends.
pub(crate) async fn run_samples<P: Runtime, B: Backends>(relay: Relay<P, B>) {
    let mut sequence = 0;
    loop {
        relay.inner.platform.sleep(relay.inner.options.config.rollout_interval).await;
        let room = room_for_samples(&relay).min(most_to_ask_for(&relay));
        if !relay.is_ready() || room == 0 {
            continue;
        }
        sequence += 1;
        let incarnation = relay.inner.incarnation.get();
        let command = RolloutCommand::Assign { relay: incarnation, sequence, limit: room };
        // A planned stop waits for the samples that the answer may bring.
        relay.inner.asking_for_samples.set(true);
        // A lost answer is asked for again: the same sequence brings the same samples.
        let is_held = || relay.inner.incarnation.get() == incarnation;
        let outcome = relay.commit_until_decided(Command::Rollout(command), is_held).await;
        if let Some(CommandOutcome::Assigned(assignments)) = outcome {
            for assignment in assignments {
                let running = Running::begin(&relay);
                relay.inner.platform.spawn(run_sample(running, assignment, incarnation));
            }
        }
        relay.inner.asking_for_samples.set(false);
    }
}

/// A relay that the scorer does not answer asks for one sample at a time, to find out whether it does again.
fn most_to_ask_for<P: Runtime, B: Backends>(relay: &Relay<P, B>) -> u32 {
    let is_out_of_reach = relay.inner.scorer.is_out_of_reach(relay.inner.platform.monotonic());
    if is_out_of_reach { 1_u32.saturating_sub(relay.inner.samples_running.get()) } else { u32::MAX }
}

fn room_for_samples<P: Runtime, B: Backends>(relay: &Relay<P, B>) -> u32 {
    let tenants: Vec<(TenantId, ModelName)> = {
        let view = relay.inner.view.borrow();
        view.tenants().map(|(id, tenant)| (id.clone(), tenant.model.clone())).collect()
    };
    let mut room: Vec<(ModelName, u32)> = Vec::new();
    for (tenant, model) in tenants {
        let free = relay.free_rollout_slots(&tenant, &model);
        match room.iter_mut().find(|(known, _)| *known == model) {
            Some((_, most)) => *most = free.max(*most),
            None => room.push((model, free)),
        }
    }
    let total: u32 = room.iter().map(|(_, free)| free).sum();
    total.min(relay.inner.options.config.rollout_batch)
}

async fn run_sample<P: Runtime, B: Backends>(
    running: Running<P, B>,
    assignment: SampleAssignment,
    incarnation: Incarnation,
) {
    let relay = &running.0;
    let Some((generation, reward_milli)) = generate_and_score(relay, &assignment, incarnation).await else {
        let command = RolloutCommand::Abandon { sample: assignment.sample, attempt: assignment.attempt };
        commit(relay, command, incarnation).await;
        return;
    };
    let payload = SamplePayload { generation, reward_milli };
    let command = RolloutCommand::Complete { sample: assignment.sample, attempt: assignment.attempt, payload };
    commit(relay, command, incarnation).await;
    relay.count(|counters| counters.samples += 1);
}

async fn generate_and_score<P: Runtime, B: Backends>(
    relay: &Relay<P, B>,
    assignment: &SampleAssignment,
    incarnation: Incarnation,
) -> Option<(Generation, i64)> {
    let generation = generate(relay, assignment, incarnation).await?;
    let reward_milli = score(relay, &assignment.prompt, &generation, incarnation).await?;
    Some((generation, reward_milli))
}

/// Pause before a sample is given back that is not sent on because engines have ended under its prompt.
const SUSPECTED_PAUSE: Duration = Duration::from_secs(1);

async fn generate<P: Runtime, B: Backends>(
    relay: &Relay<P, B>,
    assignment: &SampleAssignment,
    incarnation: Incarnation,
) -> Option<Generation> {
    let tenant = assignment.sample.tenant.clone();
    let model = relay.tenant(&tenant)?.model;
    let seed = xxhash_rust::xxh3::xxh3_64(format!("{}#{}", assignment.sample, assignment.attempt).as_bytes());
    let work = GenerationWork {
        tenant,
        model,
        prompt: assignment.prompt.clone(),
        max_tokens: assignment.max_tokens,
        seed,
        priority: Priority::Rollout,
        repeatability: Repeatability::Repeatable,
        incarnation,
        begun: relay.inner.platform.monotonic(),
        deadline: relay.inner.platform.monotonic() + SAMPLE_LIMIT,
        attempts: SAMPLE_ATTEMPTS,
        oldest_useful_version: assignment.oldest_useful_version,
    };
    let outcome = relay.dispatch(&work, None).await;
    if let Err(failure) = &outcome
        && failure.code == FailureCode::EnginesEnded
    {
        // The sample is handed out again as soon as it is given back.
        relay.inner.platform.sleep(SUSPECTED_PAUSE).await;
    }
    outcome.ok()
}

/// Asks the scorer until it answers, or is out of this relay's reach, or the relay loses its incarnation.
async fn score<P: Runtime, B: Backends>(
    relay: &Relay<P, B>,
    prompt: &str,
    generation: &Generation,
    incarnation: Incarnation,
) -> Option<i64> {
    while relay.inner.incarnation.get() == incarnation {
        let call = relay.inner.backends.score(prompt, generation);
        if let Some(Ok(reward)) = timeout(&relay.inner.platform, SCORE_LIMIT, call).await {
            relay.inner.scorer.answered();
            return Some(reward);
        }
        relay.inner.scorer.failed(relay.inner.platform.monotonic());
        if relay.inner.scorer.is_out_of_reach(relay.inner.platform.monotonic()) {
            spdlog::warn!("sample given back, the scorer does not answer", kv: {
                prompt_bytes = prompt.len(), tokens = generation.tokens.len()
            });
            return None;
        }
        let pause = SCORE_PAUSE + relay.inner.platform.jitter(SCORE_PAUSE);
        relay.inner.platform.sleep(pause).await;
    }
    None
}

/// Commits a sample's end, unless the relay loses its incarnation and with it the sample.
async fn commit<P: Runtime, B: Backends>(relay: &Relay<P, B>, command: RolloutCommand, incarnation: Incarnation) {
    let is_held = || relay.inner.incarnation.get() == incarnation;
    relay.commit_until_decided(Command::Rollout(command), is_held).await;
}
