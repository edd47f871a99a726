//! Samples: requests assignments from the control group, generates and scores them, and commits the results.

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

/// Deadline for generating a sample, after which it is returned to the control group.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Timeout of a call to the scorer.
const SCORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between calls to the scorer for one sample; up to doubled by jitter.
const SCORE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of attempts to generate a sample before it is returned to the control group.
const SAMPLE_ATTEMPTS: u32 = 8;

/// Counts a sample as running until dropped.
struct RunningSample<P: Runtime, B: Backends>(Relay<P, B>);

impl<P: Runtime, B: Backends> RunningSample<P, B> {
    fn begin(relay: &Relay<P, B>) -> Self {
        let running = &relay.inner.samples_running;
        running.set(running.get() + 1);
        Self(relay.clone())
    }
}

impl<P: Runtime, B: Backends> Drop for RunningSample<P, B> {
    fn drop(&mut self) {
        let running = &self.0.inner.samples_running;
        running.set(running.get() - 1);
    }
}

/// Requests samples whenever engines have free rollout slots, until the process ends.
pub(crate) async fn run_samples<P: Runtime, B: Backends>(relay: Relay<P, B>) {
    let mut sequence = 0;
    loop {
        relay.inner.runtime.sleep(relay.inner.options.config.assignment_interval).await;
        let free_slots = free_sample_slots(&relay).min(max_assignments(&relay));
        if !relay.is_ready() || free_slots == 0 {
            continue;
        }
        sequence += 1;
        let incarnation = relay.inner.incarnation.get();
        let command = RolloutCommand::Assign { relay: incarnation, sequence, limit: free_slots };
        // A drain waits for this request, because its reply may assign samples.
        relay.inner.assignment_in_flight.set(true);
        // The request can be retried after a lost reply: the same sequence returns the same samples.
        let is_current = || relay.inner.incarnation.get() == incarnation;
        let outcome = relay.commit_until_decided(Command::Rollout(command), is_current).await;
        if let Some(CommandOutcome::Assigned(assignments)) = outcome {
            for assignment in assignments {
                let running = RunningSample::begin(&relay);
                relay.inner.runtime.spawn(run_sample(running, assignment, incarnation));
            }
        }
        relay.inner.assignment_in_flight.set(false);
    }
}

/// Limits the relay to one sample at a time while the scorer is unreachable, to probe whether it is back.
fn max_assignments<P: Runtime, B: Backends>(relay: &Relay<P, B>) -> u32 {
    let is_unreachable = relay.inner.scorer.is_unreachable(relay.inner.runtime.monotonic());
    if is_unreachable { 1_u32.saturating_sub(relay.inner.samples_running.get()) } else { u32::MAX }
}

fn free_sample_slots<P: Runtime, B: Backends>(relay: &Relay<P, B>) -> u32 {
    let tenants: Vec<(TenantId, ModelName)> = {
        let view = relay.inner.view.borrow();
        view.tenants().map(|(id, tenant)| (id.clone(), tenant.model.clone())).collect()
    };
    let mut free_slots: Vec<(ModelName, u32)> = Vec::new();
    for (tenant, model) in tenants {
        let free = relay.free_rollout_slots(&tenant, &model);
        match free_slots.iter_mut().find(|(other, _)| *other == model) {
            Some((_, largest)) => *largest = free.max(*largest),
            None => free_slots.push((model, free)),
        }
    }
    let total: u32 = free_slots.iter().map(|(_, free)| free).sum();
    total.min(relay.inner.options.config.max_assignment_batch)
}

async fn run_sample<P: Runtime, B: Backends>(
    running: RunningSample<P, B>,
    assignment: SampleAssignment,
    incarnation: Incarnation,
) {
    let relay = &running.0;
    let Some((generation, reward_milli)) = generate_and_score(relay, &assignment, incarnation).await else {
        let command = RolloutCommand::Abandon { sample: assignment.sample, attempt: assignment.attempt };
        commit_sample_end(relay, command, incarnation).await;
        return;
    };
    let payload = SamplePayload { generation, reward_milli };
    let command = RolloutCommand::Complete { sample: assignment.sample, attempt: assignment.attempt, payload };
    commit_sample_end(relay, command, incarnation).await;
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

/// Pause before a sample whose prompt is suspected of crashing engines is returned to the control group.
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
        started_at: relay.inner.runtime.monotonic(),
        deadline: relay.inner.runtime.monotonic() + SAMPLE_TIMEOUT,
        attempts: SAMPLE_ATTEMPTS,
        oldest_useful_version: assignment.oldest_useful_version,
    };
    let outcome = relay.dispatch(&work, None).await;
    if let Err(failure) = &outcome
        && failure.code == FailureCode::EnginesEnded
    {
        // A returned sample is assigned again immediately.
        relay.inner.runtime.sleep(SUSPECTED_PAUSE).await;
    }
    outcome.ok()
}

/// Calls the scorer until it succeeds. `None` if it is unreachable or the relay was fenced.
async fn score<P: Runtime, B: Backends>(
    relay: &Relay<P, B>,
    prompt: &str,
    generation: &Generation,
    incarnation: Incarnation,
) -> Option<i64> {
    while relay.inner.incarnation.get() == incarnation {
        let call = relay.inner.backends.score(prompt, generation);
        if let Some(Ok(reward)) = timeout(&relay.inner.runtime, SCORE_TIMEOUT, call).await {
            relay.inner.scorer.record_success();
            return Some(reward);
        }
        relay.inner.scorer.record_failure(relay.inner.runtime.monotonic());
        if relay.inner.scorer.is_unreachable(relay.inner.runtime.monotonic()) {
            spdlog::warn!("sample returned because the scorer is unreachable", kv: {
                prompt_bytes = prompt.len(), tokens = generation.tokens.len()
            });
            return None;
        }
        let pause = SCORE_RETRY_PAUSE + relay.inner.runtime.jitter(SCORE_RETRY_PAUSE);
        relay.inner.runtime.sleep(pause).await;
    }
    None
}

/// Commits a sample's completion or return; stops if the relay is fenced, because it then no longer holds the sample.
async fn commit_sample_end<P: Runtime, B: Backends>(
    relay: &Relay<P, B>,
    command: RolloutCommand,
    incarnation: Incarnation,
) {
    let is_current = || relay.inner.incarnation.get() == incarnation;
    relay.commit_until_decided(Command::Rollout(command), is_current).await;
}
