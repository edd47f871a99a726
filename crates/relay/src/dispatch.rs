//! Runs one generation on engines: chooses, connects, streams, and resumes elsewhere when an engine fails.

use crate::relay::Relay;
use crate::view::View;
use futures::StreamExt;
use futures::channel::mpsc;
use saddlerelay_control_client::suspicions::{RelayTrial, Verdict};
use saddlerelay_policies::{Candidate, RoutingRequest};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::{BackendError, Backends, EngineConnection, StreamEvent};
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::engine::{EngineChunk, EngineDescription, EngineRequest};
use saddlerelay_types::identity::{EngineId, Incarnation, ModelName, TenantId, WeightVersion};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::request::{AnswerPart, ExecutionOutcome, FailureCode, Generation, Priority, Repeatability};
use saddlerelay_types::suspicion::{EngineLoss, TRIAL_RETRY_AFTER};
use saddlerelay_types::work::WorkDigest;
use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::time::Duration;

/// Pause before looking for an able engine again.
const ENGINE_WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Share of staleness when a tenant weighs neither measure.
const EVEN_SHARE_PERCENT: u32 = 50;

/// When callers are told to come back after a failure that may pass.
pub(crate) const SHORT_RETRY: Duration = Duration::from_millis(500);

/// The path by which generations are told apart from routed requests, as work.
const GENERATION_PATH: &str = "generation";

/// One generation to run.
#[derive(Clone, Debug)]
pub struct GenerationWork {
    /// The tenant.
    pub tenant: TenantId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Most tokens in the answer.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// The caller's class.
    pub priority: Priority,
    /// Whether it may run again.
    pub repeatability: Repeatability,
    /// The relay incarnation under which it was begun.
    pub incarnation: Incarnation,
    /// When it was begun, on the relay's clock.
    pub begun: Duration,
    /// When to give up, on the relay's clock.
    pub deadline: Duration,
    /// Most engines to try.
    pub attempts: u32,
    /// The oldest version that its trainer could still use when it was handed out; zero for callers.
    pub oldest_useful_version: WeightVersion,
}

/// Why a generation did not become whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchFailure {
    /// What is known of the execution on engines.
    pub outcome: ExecutionOutcome,
    /// Why.
    pub code: FailureCode,
    /// Why, for people.
    pub message: String,
    /// When to come back; zero when a resend cannot help.
    pub retry_after: Duration,
}

/// How one attempt ended short of a whole answer.
enum AttemptFailure {
    /// The engine did not admit the request.
    NotExecuted(String),
    /// The engine may be running it, or was.
    MayHaveRun(String),
    /// The whole generation is given up.
    GivenUp(FailureCode, String),
}

/// A generation in progress.
struct Progress<'a, P: Runtime> {
    work: &'a GenerationWork,
    generation: Generation,
    parts: Option<&'a mpsc::UnboundedSender<AnswerPart>>,
    may_have_run: bool,
    tried: BTreeSet<EngineId>,
    work_digest: OnceCell<WorkDigest>,
    /// The right to run it, once it is suspected.
    trial: Option<RelayTrial<P>>,
}

impl<P: Runtime> Progress<'_, P> {
    /// What the generation asks for, whatever its seed: what crashes an engine is the prompt.
    fn work_digest(&self) -> WorkDigest {
        let work = self.work;
        *self.work_digest.get_or_init(|| {
            let body = work.prompt.as_bytes();
            WorkDigest::of_posted(Some(&work.tenant), work.model.as_str(), GENERATION_PATH, body)
        })
    }
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Runs `work` until its answer is whole or it is given up. Tokens go to `parts` as they come.
    pub(crate) async fn dispatch(
        &self,
        work: &GenerationWork,
        parts: Option<&mpsc::UnboundedSender<AnswerPart>>,
    ) -> Result<Generation, DispatchFailure> {
        let mut progress = Progress {
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
            self.inner.suspicions.note_served(|| progress.work_digest());
        }
        outcome.map(|()| progress.generation)
    }

    async fn try_engines(&self, progress: &mut Progress<'_, P>) -> Result<(), DispatchFailure> {
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
                Err(AttemptFailure::GivenUp(code, message)) => return Err(progress.failure(code, message)),
                Err(AttemptFailure::NotExecuted(message)) => last_message = message,
                Err(AttemptFailure::MayHaveRun(message)) => {
                    progress.may_have_run = true;
                    self.look_into_failure(progress, &engine).await;
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

    /// Refuses work that is not to be sent on now.
    async fn check_suspicion(&self, progress: &mut Progress<'_, P>) -> Result<(), DispatchFailure> {
        let suspicions = &self.inner.suspicions;
        let is_suspected = suspicions.engines_ended(|| progress.work_digest()) > 0;
        let retry_after = match suspicions.verdict(|| progress.work_digest()) {
            Verdict::Send if !is_suspected || progress.trial.as_ref().is_some_and(RelayTrial::holds) => return Ok(()),
            Verdict::Send => {
                let left = progress.work.deadline.saturating_sub(self.inner.platform.monotonic());
                progress.trial = suspicions.begin_trial(progress.work_digest(), left).await;
                if progress.trial.is_some() {
                    return Ok(());
                }
                TRIAL_RETRY_AFTER
            }
            Verdict::Pause(left) => left,
            Verdict::Quarantine => Duration::ZERO,
        };
        self.count(|counters| counters.kept_from_engines += 1);
        let message = "engines have ended under this work".to_string();
        Err(DispatchFailure { retry_after, ..progress.failure(FailureCode::EnginesEnded, message) })
    }

    /// Finds out whether an engine has ended under the generation, and has the group take it as evidence.
    async fn look_into_failure(&self, progress: &Progress<'_, P>, engine: &EngineDescription) {
        let Some(incarnation) = self.inner.view.borrow().able_incarnation(&engine.id) else {
            // One that is leaving has ended for a reason of its own.
            return;
        };
        if !self.inner.backends.has_ended(engine).await {
            return;
        }
        self.count(|counters| counters.engines_ended += 1);
        let work = progress.work_digest();
        let instance = InstanceId::named(format!("{}/{}", engine.id, incarnation));
        spdlog::warn!("engine ended under a generation", kv: {
            work = work.shown().as_str(), instance = instance.name.as_str()
        });
        self.inner.suspicions.note_loss(EngineLoss { work, instance });
        // What other relays have seen meanwhile comes with the group's answer, before another engine is tried.
        self.inner.suspicions.await_known_to_group(&work).await;
    }

    fn may_retry(&self) -> bool {
        let now = self.inner.platform.monotonic();
        let allowed = self.inner.retries.borrow_mut().take(now);
        if allowed {
            self.count(|counters| counters.retries += 1);
        }
        allowed
    }

    /// The engine to try next, waiting a little when none is able.
    async fn wait_for_engine(&self, progress: &Progress<'_, P>) -> Option<EngineDescription> {
        let config = &self.inner.options.config;
        let rollout = progress.work.priority == Priority::Rollout;
        let patience = if rollout { config.engine_wait + config.newer_weights_wait } else { config.engine_wait };
        let give_up = (self.inner.platform.monotonic() + patience).min(progress.work.deadline);
        loop {
            if let Some(engine) = self.choose_engine(progress) {
                return Some(engine);
            }
            let stale = !self.may_act_as(progress.work.incarnation);
            if stale || self.inner.platform.monotonic() >= give_up {
                return None;
            }
            self.inner.platform.sleep(ENGINE_WAIT_INTERVAL).await;
        }
    }

    fn choose_engine(&self, progress: &Progress<'_, P>) -> Option<EngineDescription> {
        let work = progress.work;
        let candidates = self.candidates(work);
        let untried: Vec<_> = candidates.iter().filter(|(engine, _)| !progress.tried.contains(&engine.id)).collect();
        let pool: Vec<_> = if untried.is_empty() { candidates.iter().collect() } else { untried };
        let choices: Vec<Candidate> = pool.iter().map(|(_, candidate)| candidate.clone()).collect();
        let request = RoutingRequest {
            prompt: &work.prompt,
            priority: work.priority,
            staleness_share_percent: self.staleness_share_percent(&work.tenant),
        };
        let place = self.inner.policy.choose(&request, &choices, self.inner.platform.random())?;
        Some(pool[place].0.clone())
    }

    fn staleness_share_percent(&self, tenant: &TenantId) -> u32 {
        let view = self.inner.view.borrow();
        let weights = view.tenant(tenant).map(|tenant| (tenant.staleness_weight, tenant.idle_weight));
        let (staleness, idle) = weights.unwrap_or((1, 1));
        (staleness * 100).checked_div(staleness + idle).unwrap_or(EVEN_SHARE_PERCENT)
    }

    /// Engines that can take the work now.
    fn candidates(&self, work: &GenerationWork) -> Vec<(EngineDescription, Candidate)> {
        let now = self.inner.platform.monotonic();
        let view = self.inner.view.borrow();
        let rollout = work.priority == Priority::Rollout;
        let oldest = if rollout { self.oldest_to_start_on(&view, work, now) } else { WeightVersion(0) };
        let share = view.tenant(&work.tenant).map_or(100, |tenant| tenant.rollout_share_percent);
        let relay_count = view.relay_count();
        let limit_percent = self.inner.options.config.engine_in_flight_percent;
        let mut candidates = Vec::new();
        for (engine, version) in view.able_engines(&work.model) {
            let description = &engine.description;
            let seen = self.inner.registry.get(&description.id);
            let full = seen.in_flight * 100 >= description.slots * limit_percent;
            let rollouts_full = rollout && seen.rollouts >= rollout_slots(description.slots, share, relay_count);
            let unable = version < oldest || self.inner.registry.is_ejected(&description.id, now);
            if full || rollouts_full || unable {
                continue;
            }
            let candidate = Candidate {
                id: description.id.clone(),
                slots: description.slots,
                in_flight: seen.in_flight,
                reported: seen.reported,
                report_age_milliseconds: now.saturating_sub(seen.reported_at).as_millis() as u64,
                same_zone: description.zone == self.inner.options.zone,
                version,
            };
            candidates.push((description.clone(), candidate));
        }
        candidates
    }

    /// The oldest version on which a sample is started. One that is started on the oldest version its trainer can use
    /// is thrown away at the next publication unless it ends before; so it waits, for a while after a publication, for
    /// an engine that has taken newer weights.
    fn oldest_to_start_on(&self, view: &View, work: &GenerationWork, now: Duration) -> WeightVersion {
        let useful = view.oldest_useful_version(&work.tenant).max(work.oldest_useful_version);
        let bound = view.tenant(&work.tenant).map_or(0, |tenant| tenant.staleness_bound);
        let patient = now < work.begun + self.inner.options.config.newer_weights_wait;
        if bound > 0 && useful > WeightVersion(0) && patient { useful.next() } else { useful }
    }

    async fn attempt(&self, progress: &mut Progress<'_, P>, engine: &EngineDescription) -> Result<(), AttemptFailure> {
        let work = progress.work;
        let rollout = work.priority == Priority::Rollout;
        let _in_flight = self.inner.registry.begin(&engine.id, rollout);
        let connection = self.connect(engine).await?;
        // From here to the send there is no wait: a relay that was frozen while connecting notices it.
        if !self.may_act_as(work.incarnation) {
            let message = "the relay lost its lease before the request was sent".to_string();
            return Err(AttemptFailure::GivenUp(FailureCode::NotReady, message));
        }
        if !self.inner.view.borrow().is_able(&engine.id) {
            return Err(AttemptFailure::NotExecuted("the engine is leaving".to_string()));
        }
        if progress.trial.as_ref().is_some_and(|trial| !trial.holds()) {
            return Err(AttemptFailure::NotExecuted("the right to run suspected work is over".to_string()));
        }
        let request = self.engine_request(progress);
        let attempt_id = request.attempt_id;
        let left = work.deadline.saturating_sub(self.inner.platform.monotonic());
        let limit = left.min(self.inner.options.config.chunk_limit);
        let stream = match timeout(&self.inner.platform, limit, connection.generate(request)).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(self.engine_failed(engine, error)),
            None => return Err(self.engine_failed(engine, BackendError::Unknown("no answer in time".to_string()))),
        };
        progress.may_have_run = true;
        self.follow_stream(progress, engine, attempt_id, stream).await
    }

    async fn connect(&self, engine: &EngineDescription) -> Result<B::Connection, AttemptFailure> {
        let limit = self.inner.options.config.connect_limit;
        match timeout(&self.inner.platform, limit, self.inner.backends.connect(engine)).await {
            Some(Ok(connection)) => Ok(connection),
            Some(Err(error)) => Err(self.engine_failed(engine, error)),
            None => Err(self.engine_failed(engine, BackendError::NotSent("no connection in time".to_string()))),
        }
    }

    fn engine_failed(&self, engine: &EngineDescription, error: BackendError) -> AttemptFailure {
        self.inner.registry.record_failure(&engine.id, self.inner.platform.monotonic());
        match error {
            BackendError::NotSent(message) | BackendError::Refused(message) => AttemptFailure::NotExecuted(message),
            BackendError::Unknown(message) => AttemptFailure::MayHaveRun(message),
        }
    }

    fn engine_request(&self, progress: &Progress<'_, P>) -> EngineRequest {
        EngineRequest {
            attempt_id: self.inner.platform.random(),
            prompt: progress.work.prompt.clone(),
            resume_tokens: progress.generation.tokens.clone(),
            max_tokens: progress.work.max_tokens,
            seed: progress.work.seed,
            priority: progress.work.priority,
        }
    }

    /// Takes chunks in order until the explicit end. Chunks of another attempt or already taken are dropped; a gap ends
    /// the attempt.
    async fn follow_stream(
        &self,
        progress: &mut Progress<'_, P>,
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
                return Err(self.engine_failed(engine, error));
            }
            next_sequence += 1;
            self.take_chunk(progress, engine, &chunk)?;
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
        let left = work.deadline.saturating_sub(self.inner.platform.monotonic());
        let limit = left.min(self.inner.options.config.chunk_limit);
        let event = timeout(&self.inner.platform, limit, stream.next()).await;
        match event {
            Some(Some(Ok(chunk))) => Ok(chunk),
            Some(Some(Err(error))) => Err(self.engine_failed(engine, error)),
            Some(None) => {
                let error = BackendError::Unknown("the stream broke off".to_string());
                Err(self.engine_failed(engine, error))
            }
            None if limit == left => {
                let message = "the deadline passed while the request ran".to_string();
                Err(AttemptFailure::GivenUp(FailureCode::DeadlineExceeded, message))
            }
            None => {
                let error = BackendError::Unknown("the engine fell silent".to_string());
                Err(self.engine_failed(engine, error))
            }
        }
    }

    fn take_chunk(
        &self,
        progress: &mut Progress<'_, P>,
        engine: &EngineDescription,
        chunk: &EngineChunk,
    ) -> Result<(), AttemptFailure> {
        let now = self.inner.platform.monotonic();
        self.inner.registry.record_load(&engine.id, chunk.load, now);
        self.count(|counters| counters.tokens += chunk.tokens.len() as u64);
        progress.generation.extend(&chunk.tokens, &chunk.text, chunk.version);
        if progress.work.priority == Priority::Rollout && self.is_stale(progress) {
            let message = "the sample is too old to be delivered".to_string();
            return Err(AttemptFailure::GivenUp(FailureCode::DeadlineExceeded, message));
        }
        if let Some(parts) = progress.parts {
            let (tokens, text) = (chunk.tokens.clone(), chunk.text.clone());
            // A caller that is gone is noticed where the answer is given.
            let _ = parts.unbounded_send(AnswerPart::Tokens { tokens, text, version: chunk.version });
        }
        Ok(())
    }

    fn is_stale(&self, progress: &Progress<'_, P>) -> bool {
        let oldest_useful = self.inner.view.borrow().oldest_useful_version(&progress.work.tenant);
        let oldest = progress.generation.versions.iter().map(|span| span.version).min();
        oldest.is_some_and(|oldest| oldest < oldest_useful)
    }

    /// Samples that this relay may run at once on the engines of `model`, less those it runs.
    pub(crate) fn free_rollout_slots(&self, tenant: &TenantId, model: &ModelName) -> u32 {
        let view = self.inner.view.borrow();
        let share = view.tenant(tenant).map_or(0, |tenant| tenant.rollout_share_percent);
        let oldest = view.oldest_useful_version(tenant);
        let relay_count = view.relay_count();
        let able = view.able_engines(model).filter(|(_, version)| *version >= oldest);
        let free = able.map(|(engine, _)| {
            let allowed = rollout_slots(engine.description.slots, share, relay_count);
            allowed.saturating_sub(self.inner.registry.get(&engine.description.id).rollouts)
        });
        free.sum()
    }
}

/// One relay's part of the slots that rollouts may fill.
fn rollout_slots(slots: u32, share_percent: u32, relay_count: u32) -> u32 {
    (slots * share_percent).div_ceil(100 * relay_count)
}

impl<P: Runtime> Progress<'_, P> {
    fn failure(&self, code: FailureCode, message: String) -> DispatchFailure {
        let outcome = if !self.may_have_run {
            ExecutionOutcome::NotExecuted
        } else if self.generation.tokens.is_empty() {
            ExecutionOutcome::Unknown
        } else {
            ExecutionOutcome::FailedWhileExecuting
        };
        DispatchFailure { outcome, code, message, retry_after: SHORT_RETRY }
    }
}
