//! Runs generations on engines: picks an engine, streams its output, and resumes on another engine after a failure.

use crate::relay::Relay;
use crate::view::View;
use futures::StreamExt;
use futures::channel::mpsc;
use saddlerelay_control_client::suspicions::RelayTrial;
use saddlerelay_policies::{Candidate, RoutingRequest};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::{BackendError, Backends, EngineConnection, StreamEvent};
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::engine::{EngineChunk, EngineDescription, EngineRequest};
use saddlerelay_types::identity::{EngineId, Incarnation, ModelName, TenantId, WeightVersion};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::request::{ExecutionOutcome, FailureCode, Generation, Priority, Repeatability, ResponsePart};
use saddlerelay_types::suspicion::{EngineLoss, OWED_PAUSE, TRIAL_RETRY_AFTER, Verdict};
use saddlerelay_types::work::WorkDigest;
use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::time::Duration;

/// Polling interval while no engine is available.
const ENGINE_WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Weight of staleness relative to trainer idle time for a tenant that sets both weights to zero, in percent.
const DEFAULT_STALENESS_SHARE_PERCENT: u32 = 50;

/// Retry delay sent to callers after a transient failure.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A generation to run.
#[derive(Clone, Debug)]
pub struct GenerationWork {
    /// The tenant that it runs for.
    pub tenant: TenantId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// The priority class.
    pub priority: Priority,
    /// Whether it may be executed more than once.
    pub repeatability: Repeatability,
    /// The relay incarnation that started it; it is not sent to engines under another one.
    pub incarnation: Incarnation,
    /// Start time, in the relay's monotonic time.
    pub started_at: Duration,
    /// Deadline, in the relay's monotonic time.
    pub deadline: Duration,
    /// Maximum number of attempts.
    pub attempts: u32,
    /// For samples, the oldest weight version that the trainer could use when the sample was assigned; zero for
    /// callers' requests.
    pub oldest_useful_version: WeightVersion,
}

/// Why a generation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchFailure {
    /// Whether engines executed the request.
    pub outcome: ExecutionOutcome,
    /// Machine-readable reason.
    pub code: FailureCode,
    /// Human-readable reason.
    pub message: String,
    /// Retry delay; zero if a retry is pointless.
    pub retry_after: Duration,
}

/// Why an attempt failed.
enum AttemptFailure {
    /// The engine did not receive or did not admit the request.
    NotExecuted(String),
    /// The engine may have executed the request, or may still be executing it.
    PossiblyExecuted(String),
    /// The generation fails without further attempts.
    Aborted(FailureCode, String),
}

/// A generation in progress.
struct GenerationProgress<'a, P: Runtime> {
    work: &'a GenerationWork,
    generation: Generation,
    parts: Option<&'a mpsc::UnboundedSender<ResponsePart>>,
    may_have_run: bool,
    tried: BTreeSet<EngineId>,
    work_digest: OnceCell<WorkDigest>,
    /// The trial lease for suspected work.
    trial: Option<RelayTrial<P>>,
}

impl<P: Runtime> GenerationProgress<'_, P> {
    /// The digest of the generation's work.
    fn work_digest(&self) -> WorkDigest {
        let work = self.work;
        *self.work_digest.get_or_init(|| WorkDigest::of_generation(&work.tenant, &work.model, &work.prompt))
    }
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Runs `work` to completion or failure. Tokens are sent to `parts` as they arrive.
    pub(crate) async fn dispatch(
        &self,
        work: &GenerationWork,
        parts: Option<&mpsc::UnboundedSender<ResponsePart>>,
    ) -> Result<Generation, DispatchFailure> {
        let mut progress = GenerationProgress {
            work,
            generation: Generation::empty(),
            parts,
            may_have_run: false,
            tried: BTreeSet::new(),
            work_digest: OnceCell::new(),
            trial: None,
        };
        let outcome = self.try_engines(&mut progress).await;
        if outcome.is_ok() {
            self.inner.suspicions.record_served(|| progress.work_digest());
        }
        outcome.map(|()| progress.generation)
    }

    async fn try_engines(&self, progress: &mut GenerationProgress<'_, P>) -> Result<(), DispatchFailure> {
        let work = progress.work;
        self.inner.retries.borrow_mut().record_request();
        let mut last_message = String::from("no engine was tried");
        for attempt in 0..work.attempts {
            if attempt > 0 && !self.may_retry() {
                return Err(progress.failure(FailureCode::Overloaded, "the retry budget is used up".to_string()));
            }
            self.check_suspicion(progress).await?;
            let Some(engine) = self.wait_for_engine(progress).await else {
                return Err(progress.failure(FailureCode::NoEngine, format!("no engine can take it: {last_message}")));
            };
            match self.attempt(progress, &engine).await {
                Ok(()) => return Ok(()),
                Err(AttemptFailure::Aborted(code, message)) => return Err(progress.failure(code, message)),
                Err(AttemptFailure::NotExecuted(message)) => last_message = message,
                Err(AttemptFailure::PossiblyExecuted(message)) => {
                    progress.may_have_run = true;
                    self.check_engine_terminated(progress, &engine).await;
                    if work.repeatability == Repeatability::NotRepeatable {
                        return Err(progress.failure(FailureCode::EngineFailed, message));
                    }
                    last_message = message;
                }
            }
            progress.tried.insert(engine.id);
        }
        Err(progress.failure(FailureCode::EngineFailed, last_message))
    }

    /// Checks the work for suspicion and acquires a trial lease if needed. Fails if the work must not run now.
    async fn check_suspicion(&self, progress: &mut GenerationProgress<'_, P>) -> Result<(), DispatchFailure> {
        let suspicions = &self.inner.suspicions;
        let is_suspected = suspicions.engines_terminated(|| progress.work_digest()) > 0;
        // A sample is owed; the group allows its trials after pauses of its own.
        let verdict = match progress.work.priority {
            Priority::Rollout => suspicions.verdict_after(|| progress.work_digest(), OWED_PAUSE),
            Priority::Interactive | Priority::Batch => suspicions.verdict(|| progress.work_digest()),
        };
        let retry_after = match verdict {
            Verdict::Send if !is_suspected || progress.trial.as_ref().is_some_and(RelayTrial::is_held) => return Ok(()),
            Verdict::Send => {
                let remaining = progress.work.deadline.saturating_sub(self.inner.runtime.monotonic());
                progress.trial = suspicions.begin_trial(progress.work_digest(), remaining).await;
                if progress.trial.is_some() {
                    return Ok(());
                }
                TRIAL_RETRY_AFTER
            }
            Verdict::Pause(remaining) => remaining,
            Verdict::Quarantine => Duration::ZERO,
        };
        self.count(|counters| counters.suspected_work_rejected += 1);
        let message = "engines have ended under this work".to_string();
        Err(DispatchFailure { retry_after, ..progress.failure(FailureCode::EnginesEnded, message) })
    }

    /// Checks whether the engine process terminated during the generation, and reports the loss to the control group.
    async fn check_engine_terminated(&self, progress: &GenerationProgress<'_, P>, engine: &EngineDescription) {
        let Some(incarnation) = self.inner.view.borrow().ready_incarnation(&engine.id) else {
            // An engine that is not available is assumed to have been shut down.
            return;
        };
        if !self.inner.backends.has_terminated(engine).await {
            return;
        }
        self.count(|counters| counters.engines_terminated += 1);
        let work = progress.work_digest();
        let instance = InstanceId::without_start_time(format!("{}/{}", engine.id, incarnation));
        spdlog::warn!("engine terminated during a generation", kv: {
            work = work.log_prefix().as_str(), instance = instance.name.as_str()
        });
        self.inner.suspicions.record_loss(EngineLoss { work, instance });
        // The control group's reply contains losses reported by other relays; they are applied before the next attempt.
        self.inner.suspicions.wait_for_commit(&work).await;
    }

    fn may_retry(&self) -> bool {
        let now = self.inner.runtime.monotonic();
        let allowed = self.inner.retries.borrow_mut().try_acquire(now);
        if allowed {
            self.count(|counters| counters.retries += 1);
        }
        allowed
    }

    /// Picks the engine for the next attempt; waits a limited time for one to become available.
    async fn wait_for_engine(&self, progress: &GenerationProgress<'_, P>) -> Option<EngineDescription> {
        let config = &self.inner.options.config;
        let is_rollout = progress.work.priority == Priority::Rollout;
        let max_wait =
            if is_rollout { config.max_engine_wait + config.max_newer_weights_wait } else { config.max_engine_wait };
        let wait_until = (self.inner.runtime.monotonic() + max_wait).min(progress.work.deadline);
        loop {
            if let Some(engine) = self.choose_engine(progress) {
                return Some(engine);
            }
            let lease_lost = !self.is_leased_as(progress.work.incarnation);
            if lease_lost || self.inner.runtime.monotonic() >= wait_until {
                return None;
            }
            self.inner.runtime.sleep(ENGINE_WAIT_INTERVAL).await;
        }
    }

    fn choose_engine(&self, progress: &GenerationProgress<'_, P>) -> Option<EngineDescription> {
        let work = progress.work;
        let candidates = self.candidates(work);
        let untried: Vec<_> = candidates.iter().filter(|(engine, _)| !progress.tried.contains(&engine.id)).collect();
        let preferred: Vec<_> = if untried.is_empty() { candidates.iter().collect() } else { untried };
        let choices: Vec<Candidate> = preferred.iter().map(|(_, candidate)| candidate.clone()).collect();
        let request = RoutingRequest {
            prompt: &work.prompt,
            priority: work.priority,
            staleness_share_percent: self.staleness_share_percent(&work.tenant),
        };
        let index = self.inner.policy.choose(&request, &choices, self.inner.runtime.random())?;
        Some(preferred[index].0.clone())
    }

    fn staleness_share_percent(&self, tenant: &TenantId) -> u32 {
        let view = self.inner.view.borrow();
        let weights = view.tenant(tenant).map(|tenant| (tenant.staleness_weight, tenant.idle_weight));
        let (staleness, idle) = weights.unwrap_or((1, 1));
        (staleness * 100).checked_div(staleness + idle).unwrap_or(DEFAULT_STALENESS_SHARE_PERCENT)
    }

    /// Engines that can accept the work now.
    fn candidates(&self, work: &GenerationWork) -> Vec<(EngineDescription, Candidate)> {
        let now = self.inner.runtime.monotonic();
        let view = self.inner.view.borrow();
        let rollout = work.priority == Priority::Rollout;
        let oldest = if rollout { self.oldest_start_version(&view, work, now) } else { WeightVersion(0) };
        let share = view.tenant(&work.tenant).map_or(100, |tenant| tenant.rollout_share_percent);
        let relay_count = view.relay_count();
        let limit_percent = self.inner.options.config.engine_in_flight_percent;
        let mut candidates = Vec::new();
        for (engine, version) in view.ready_engines(&work.model) {
            let description = &engine.description;
            let stats = self.inner.registry.get(&description.id);
            let is_full = stats.in_flight * 100 >= description.slots * limit_percent;
            let rollouts_full = rollout && stats.rollouts >= rollout_slots(description.slots, share, relay_count);
            let unsuitable = version < oldest || self.inner.registry.is_ejected(&description.id, now);
            if is_full || rollouts_full || unsuitable {
                continue;
            }
            let candidate = Candidate {
                id: description.id.clone(),
                slots: description.slots,
                in_flight: stats.in_flight,
                reported: stats.reported,
                report_age_milliseconds: now.saturating_sub(stats.reported_at).as_millis() as u64,
                same_zone: description.zone == self.inner.options.zone,
                version,
            };
            candidates.push((description.clone(), candidate));
        }
        candidates
    }

    /// The oldest weight version that a sample may start on. A sample on the oldest version that its trainer can use is
    /// discarded at the next publication. For `max_newer_weights_wait` after its start, a sample therefore waits for an
    /// engine with newer weights.
    fn oldest_start_version(&self, view: &View, work: &GenerationWork, now: Duration) -> WeightVersion {
        let useful = view.oldest_useful_version(&work.tenant).max(work.oldest_useful_version);
        let bound = view.tenant(&work.tenant).map_or(0, |tenant| tenant.staleness_bound);
        let may_wait = now < work.started_at + self.inner.options.config.max_newer_weights_wait;
        if bound > 0 && useful > WeightVersion(0) && may_wait { useful.next() } else { useful }
    }

    async fn attempt(
        &self,
        progress: &mut GenerationProgress<'_, P>,
        engine: &EngineDescription,
    ) -> Result<(), AttemptFailure> {
        let work = progress.work;
        let rollout = work.priority == Priority::Rollout;
        let _in_flight = self.inner.registry.begin(&engine.id, rollout);
        let connection = self.connect(engine).await?;
        // There is no await between this check and the send, so a lease that expired while connecting is noticed.
        if !self.is_leased_as(work.incarnation) {
            let message = "the relay lost its lease before the request was sent".to_string();
            return Err(AttemptFailure::Aborted(FailureCode::NotReady, message));
        }
        if !self.inner.view.borrow().is_ready(&engine.id) {
            return Err(AttemptFailure::NotExecuted("the engine is leaving".to_string()));
        }
        if progress.trial.as_ref().is_some_and(|trial| !trial.is_held()) {
            return Err(AttemptFailure::NotExecuted("the right to run suspected work is over".to_string()));
        }
        let request = self.engine_request(progress);
        let attempt_id = request.attempt_id;
        let remaining = work.deadline.saturating_sub(self.inner.runtime.monotonic());
        let response_timeout = remaining.min(self.inner.options.config.chunk_timeout);
        let stream = match timeout(&self.inner.runtime, response_timeout, connection.generate(request)).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(self.record_error(engine, error)),
            None => return Err(self.record_error(engine, BackendError::Unknown("no answer in time".to_string()))),
        };
        progress.may_have_run = true;
        self.read_stream(progress, engine, attempt_id, stream).await
    }

    async fn connect(&self, engine: &EngineDescription) -> Result<B::Connection, AttemptFailure> {
        let connect_timeout = self.inner.options.config.connect_timeout;
        match timeout(&self.inner.runtime, connect_timeout, self.inner.backends.connect(engine)).await {
            Some(Ok(connection)) => Ok(connection),
            Some(Err(error)) => Err(self.record_error(engine, error)),
            None => Err(self.record_error(engine, BackendError::NotSent("no connection in time".to_string()))),
        }
    }

    fn record_error(&self, engine: &EngineDescription, error: BackendError) -> AttemptFailure {
        self.inner.registry.record_failure(&engine.id, self.inner.runtime.monotonic());
        match error {
            BackendError::NotSent(message) | BackendError::Refused(message) => AttemptFailure::NotExecuted(message),
            BackendError::Unknown(message) => AttemptFailure::PossiblyExecuted(message),
        }
    }

    fn engine_request(&self, progress: &GenerationProgress<'_, P>) -> EngineRequest {
        EngineRequest {
            attempt_id: self.inner.runtime.random(),
            prompt: progress.work.prompt.clone(),
            resume_tokens: progress.generation.tokens.clone(),
            max_tokens: progress.work.max_tokens,
            seed: progress.work.seed,
            priority: progress.work.priority,
        }
    }

    /// Reads chunks in order up to the one with a finish reason. Duplicates and chunks of other attempts are ignored; a
    /// gap fails the attempt.
    async fn read_stream(
        &self,
        progress: &mut GenerationProgress<'_, P>,
        engine: &EngineDescription,
        attempt_id: u64,
        mut stream: mpsc::UnboundedReceiver<StreamEvent>,
    ) -> Result<(), AttemptFailure> {
        let mut next_sequence = 0;
        loop {
            let chunk = self.next_chunk(progress.work, engine, &mut stream).await?;
            if chunk.attempt_id != attempt_id || chunk.sequence < next_sequence {
                continue;
            }
            if chunk.sequence > next_sequence {
                let error = BackendError::Unknown("a chunk is missing from the stream".to_string());
                return Err(self.record_error(engine, error));
            }
            next_sequence += 1;
            if progress.generation.tokens.len() + chunk.tokens.len() > progress.work.max_tokens as usize {
                let error = BackendError::Unknown("the engine sent more tokens than requested".to_string());
                return Err(self.record_error(engine, error));
            }
            self.apply_chunk(progress, engine, &chunk)?;
            if let Some(finish) = chunk.finish {
                self.inner.registry.record_success(&engine.id);
                progress.generation.finish = finish;
                return Ok(());
            }
        }
    }

    async fn next_chunk(
        &self,
        work: &GenerationWork,
        engine: &EngineDescription,
        stream: &mut mpsc::UnboundedReceiver<StreamEvent>,
    ) -> Result<EngineChunk, AttemptFailure> {
        let remaining = work.deadline.saturating_sub(self.inner.runtime.monotonic());
        if remaining.is_zero() {
            // A stream that always has chunks ready would not time out.
            return Err(deadline_exceeded());
        }
        let chunk_timeout = remaining.min(self.inner.options.config.chunk_timeout);
        let event = timeout(&self.inner.runtime, chunk_timeout, stream.next()).await;
        match event {
            Some(Some(Ok(chunk))) => Ok(chunk),
            Some(Some(Err(error))) => Err(self.record_error(engine, error)),
            Some(None) => {
                let error = BackendError::Unknown("the stream broke off".to_string());
                Err(self.record_error(engine, error))
            }
            None if chunk_timeout == remaining => Err(deadline_exceeded()),
            None => {
                let error = BackendError::Unknown("the engine fell silent".to_string());
                Err(self.record_error(engine, error))
            }
        }
    }

    fn apply_chunk(
        &self,
        progress: &mut GenerationProgress<'_, P>,
        engine: &EngineDescription,
        chunk: &EngineChunk,
    ) -> Result<(), AttemptFailure> {
        let now = self.inner.runtime.monotonic();
        self.inner.registry.record_load(&engine.id, chunk.load, now);
        self.count(|counters| counters.tokens += chunk.tokens.len() as u64);
        progress.generation.extend(&chunk.tokens, &chunk.text, chunk.version);
        if progress.work.priority == Priority::Rollout && self.is_stale(progress) {
            let message = "the sample is too old to be delivered".to_string();
            return Err(AttemptFailure::Aborted(FailureCode::DeadlineExceeded, message));
        }
        if let Some(parts) = progress.parts {
            let (tokens, text) = (chunk.tokens.clone(), chunk.text.clone());
            // A disconnected caller does not stop the generation.
            let _ = parts.unbounded_send(ResponsePart::Tokens { tokens, text, version: chunk.version });
        }
        Ok(())
    }

    fn is_stale(&self, progress: &GenerationProgress<'_, P>) -> bool {
        let oldest_useful = self.inner.view.borrow().oldest_useful_version(&progress.work.tenant);
        let oldest = progress.generation.versions.iter().map(|span| span.version).min();
        oldest.is_some_and(|oldest| oldest < oldest_useful)
    }

    /// Number of additional samples that this relay may run on the engines of `model`.
    pub(crate) fn free_rollout_slots(&self, tenant: &TenantId, model: &ModelName) -> u32 {
        let view = self.inner.view.borrow();
        let share = view.tenant(tenant).map_or(0, |tenant| tenant.rollout_share_percent);
        let oldest = view.oldest_useful_version(tenant);
        let relay_count = view.relay_count();
        let ready = view.ready_engines(model).filter(|(_, version)| *version >= oldest);
        let free = ready.map(|(engine, _)| {
            let allowed = rollout_slots(engine.description.slots, share, relay_count);
            allowed.saturating_sub(self.inner.registry.get(&engine.description.id).rollouts)
        });
        free.sum()
    }
}

fn deadline_exceeded() -> AttemptFailure {
    AttemptFailure::Aborted(FailureCode::DeadlineExceeded, "the deadline passed while the request ran".to_string())
}

/// One relay's share of the slots of an engine that rollouts may use, rounded up.
fn rollout_slots(slots: u32, share_percent: u32, relay_count: u32) -> u32 {
    (slots * share_percent).div_ceil(100 * relay_count)
}

impl<P: Runtime> GenerationProgress<'_, P> {
    fn failure(&self, code: FailureCode, message: String) -> DispatchFailure {
        let outcome = if !self.may_have_run {
            ExecutionOutcome::NotExecuted
        } else if self.generation.tokens.is_empty() {
            ExecutionOutcome::Unknown
        } else {
            ExecutionOutcome::FailedWhileExecuting
        };
        DispatchFailure { outcome, code, message, retry_after: RETRY_DELAY }
    }
}
