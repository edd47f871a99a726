//! A stand-in trainer, which opens steps, receives samples, trains and publishes weights.
//!
//! It persists its cursor before a sample counts as received, and resumes there after a restart. A response that arrives
//! after the timeout of its call is ignored.

use crate::access::{Access, TrainerCallError};
use crate::recorder::Recorder;
use crate::tokens;
use bitcode::{Decode, Encode};
use futures::channel::oneshot;
use saddlerelay_checker::record::Record;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_runtime::{Disk, Runtime};
use saddlerelay_types::identity::{DeliveryEpoch, Incarnation, Position, StepNumber, TenantId, WeightVersion};
use saddlerelay_types::protocol::TrainerRefusal;
use saddlerelay_types::rollout::{DeliveredSample, DeliveryBatch, StepRequest, TrainerState};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Stores trained weights in the weight store.
pub trait WeightSink: Clone + 'static {
    /// Stores a weight version. Returns whether it succeeded.
    fn store(&self, tenant: TenantId, version: WeightVersion) -> impl Future<Output = bool>;
}

/// Options of a trainer.
#[derive(Clone, Debug)]
pub struct TrainerOptions {
    /// The tenant that it trains for.
    pub tenant: TenantId,
    /// Prompts per step.
    pub prompts: u32,
    /// Samples per prompt.
    pub group_size: u32,
    /// Maximum number of tokens in a sample.
    pub max_tokens: u32,
    /// Time to train one step.
    pub train_time: Duration,
    /// Number of steps opened ahead of the one in training.
    pub steps_ahead: u64,
}

/// The persistent state of a trainer.
#[derive(Clone, Debug, Default, Encode, Decode)]
struct PersistentState {
    incarnation: u64,
    cursor: Position,
    epoch: DeliveryEpoch,
    published: WeightVersion,
    opened: StepNumber,
    trained_steps: u64,
    /// Samples that were received, but not yet used for training.
    buffered: u64,
    /// Receipt records of the last batch as JSON, rewritten unchanged after a crash between saving and recording.
    receipts: Vec<String>,
}

/// Flag that stops a trainer: once set, it opens no more steps.
pub type StopFlag = Rc<Cell<bool>>;

struct Trainer<P, A, W> {
    platform: P,
    access: A,
    sink: W,
    recorder: Recorder,
    options: TrainerOptions,
    persisted: PersistentState,
    relay: usize,
}

/// Why a trainer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainerEnd {
    /// It received all samples of every opened step.
    Finished,
    /// The service rejected a call, for example because a newer incarnation is active.
    Fenced,
}

/// Runs a trainer until `stop` is set and all samples of every opened step have been received.
pub async fn run_trainer<P: Runtime, A: Access, W: WeightSink>(
    platform: P,
    access: A,
    sink: W,
    recorder: Recorder,
    options: TrainerOptions,
    stop: StopFlag,
) -> TrainerEnd {
    let file = state_file(&options.tenant);
    let bytes = platform.disk().read(&file).await.ok().flatten();
    let mut persisted: PersistentState = bytes.and_then(|bytes| bitcode::decode(&bytes).ok()).unwrap_or_default();
    persisted.incarnation += 1;
    let mut trainer = Trainer { platform, access, sink, recorder, options, persisted, relay: 0 };
    trainer.record_receipts();
    trainer.save().await;
    let outcome = trainer.run(&stop).await;
    if outcome.is_err() { TrainerEnd::Fenced } else { TrainerEnd::Finished }
}

fn state_file(tenant: &TenantId) -> String {
    format!("trainer-{tenant}")
}

/// The prompt of a sample, which contains its step and shares a prefix with the step's other prompts.
pub fn sample_prompt(tenant: &TenantId, step: StepNumber, prompt: u32) -> String {
    format!("{tenant} draft, shared instructions number {}. step {step} prompt {prompt}", step.0 % 3)
}

impl<P: Runtime, A: Access, W: WeightSink> Trainer<P, A, W> {
    async fn run(&mut self, stop: &StopFlag) -> Result<(), TrainerRefusal> {
        let state = self.call_with_retries(Call::OpenTrainer).await?;
        self.persisted.epoch = self.persisted.epoch.max(state.epoch);
        self.reconcile(&state).await;
        let mut waited = Duration::ZERO;
        loop {
            self.open_steps(stop).await?;
            if self.outstanding() == 0 && stop.get() {
                return Ok(());
            }
            let wait_started = self.platform.monotonic();
            while self.persisted.buffered < self.step_size() && self.outstanding() > 0 {
                self.fetch().await?;
            }
            waited += self.platform.monotonic().saturating_sub(wait_started);
            if self.persisted.buffered >= self.step_size() {
                self.train(std::mem::take(&mut waited)).await?;
            }
        }
    }

    fn step_size(&self) -> u64 {
        u64::from(self.options.prompts * self.options.group_size)
    }

    /// Number of samples that were requested, but not yet received.
    fn outstanding(&self) -> u64 {
        (self.persisted.opened.0 * self.step_size()).saturating_sub(self.persisted.cursor.0)
    }

    /// Merges the service's state, which is newer after a crash between a call and the save of its result.
    async fn reconcile(&mut self, state: &TrainerState) {
        self.persisted.published = self.persisted.published.max(state.published);
        self.persisted.trained_steps = self.persisted.trained_steps.max(state.published.0);
        let unrecorded = self.persisted.opened.0 + 1..=state.last_step.0;
        self.persisted.opened = self.persisted.opened.max(state.last_step);
        self.save().await;
        unrecorded.for_each(|step| self.record_step(StepNumber(step)));
    }

    async fn open_steps(&mut self, stop: &StopFlag) -> Result<(), TrainerRefusal> {
        while !stop.get() && self.persisted.opened.0 <= self.persisted.trained_steps + self.options.steps_ahead {
            let step = self.persisted.opened.next();
            self.call_with_retries(Call::OpenStep(step)).await?;
            self.persisted.opened = step;
            self.save().await;
            self.record_step(step);
        }
        Ok(())
    }

    fn record_step(&self, step: StepNumber) {
        let (tenant, samples) = (self.options.tenant.clone(), self.step_size() as u32);
        self.recorder.record(Record::StepOpened { at: self.platform.unix_milliseconds(), tenant, step, samples });
    }

    /// Trains and publishes. Samples are prefetched meanwhile; a batch that arrives after the publication is received only
    /// if its epoch is current.
    async fn train(&mut self, waited: Duration) -> Result<(), TrainerRefusal> {
        let mut prefetch = self.start_prefetch();
        self.platform.sleep(self.options.train_time).await;
        let arrived_early = prefetch.try_recv().ok().flatten();
        let has_arrived = arrived_early.is_some();
        self.receive_prefetched(arrived_early).await?;
        self.publish(waited).await?;
        if !has_arrived {
            self.receive_prefetched(prefetch.await.ok()).await?;
        }
        Ok(())
    }

    /// Starts a fetch of samples in the background.
    fn start_prefetch(&self) -> oneshot::Receiver<FetchResult> {
        let (sender, receiver) = oneshot::channel();
        let (platform, access, tenant) = (self.platform.clone(), self.access.clone(), self.options.tenant.clone());
        let (relay, incarnation, cursor) = (self.relay, self.incarnation(), self.persisted.cursor);
        let limit = self.step_size() as u32;
        self.platform.spawn(async move {
            let call = access.fetch(relay, &tenant, incarnation, cursor, limit);
            let fetched = timeout(&platform, CALL_TIMEOUT, call).await.unwrap_or(Err(TrainerCallError::Retry));
            // The trainer may have ended.
            let _ = sender.send(fetched);
        });
        receiver
    }

    /// Receives the batch of a prefetch, unless the prefetch failed or has not completed.
    async fn receive_prefetched(&mut self, prefetched: Option<FetchResult>) -> Result<(), TrainerRefusal> {
        match prefetched {
            Some(Ok(batch)) => self.receive(batch).await,
            Some(Err(TrainerCallError::Refused(refusal))) => return Err(refusal),
            Some(Err(TrainerCallError::Retry)) | None => {}
        }
        Ok(())
    }

    async fn publish(&mut self, waited: Duration) -> Result<(), TrainerRefusal> {
        self.persisted.buffered -= self.step_size();
        self.persisted.trained_steps += 1;
        let version = self.persisted.published.next();
        while !self.sink.store(self.options.tenant.clone(), version).await {
            self.platform.sleep(RETRY_DELAY).await;
        }
        self.save().await;
        let state = self.call_with_retries(Call::Publish(version)).await?;
        self.persisted.published = version;
        self.persisted.epoch = self.persisted.epoch.max(state.epoch);
        self.save().await;
        let at = self.platform.unix_milliseconds();
        let tenant = self.options.tenant.clone();
        self.recorder.record(Record::Published { at, tenant: tenant.clone(), version });
        let (waited, trained) = (waited.as_millis() as u64, self.options.train_time.as_millis() as u64);
        self.recorder.record(Record::Trained { at, tenant, waited, trained });
        Ok(())
    }

    async fn fetch(&mut self) -> Result<(), TrainerRefusal> {
        let limit = self.step_size() as u32;
        let call =
            self.access.fetch(self.relay, &self.options.tenant, self.incarnation(), self.persisted.cursor, limit);
        match timeout(&self.platform, CALL_TIMEOUT, call).await {
            Some(Ok(batch)) => self.receive(batch).await,
            Some(Err(TrainerCallError::Refused(refusal))) => return Err(refusal),
            Some(Err(TrainerCallError::Retry)) | None => {
                self.next_relay();
                self.platform.sleep(RETRY_DELAY).await;
            }
        }
        Ok(())
    }

    /// Receives a batch and persists the cursor, unless the delivery epoch of the batch is outdated.
    async fn receive(&mut self, batch: DeliveryBatch) {
        if batch.epoch < self.persisted.epoch {
            return;
        }
        self.persisted.epoch = batch.epoch;
        let new_samples: Vec<_> =
            batch.samples.into_iter().filter(|sample| sample.position > self.persisted.cursor).collect();
        let Some(last) = new_samples.last().map(|sample| sample.position) else {
            return;
        };
        self.persisted.cursor = last;
        self.persisted.buffered += new_samples.len() as u64;
        let receipts = new_samples.iter().map(|delivered| self.receipt(delivered));
        self.persisted.receipts = receipts.filter_map(|receipt| serde_json::to_string(&receipt).ok()).collect();
        self.save().await;
        self.record_receipts();
    }

    fn record_receipts(&self) {
        let receipts = self.persisted.receipts.iter().filter_map(|receipt| serde_json::from_str(receipt).ok());
        receipts.for_each(|receipt| self.recorder.record(receipt));
    }

    fn receipt(&self, delivered: &DeliveredSample) -> Record {
        let generation = &delivered.payload.generation;
        let versions = generation.tokens.iter().map(|token| tokens::version_of(*token));
        Record::SampleReceived {
            at: self.platform.unix_milliseconds(),
            tenant: self.options.tenant.clone(),
            position: delivered.position,
            sample: delivered.sample.clone(),
            oldest: versions.min().unwrap_or_default(),
            published: self.persisted.published,
            fault: self.sample_defect(delivered),
        }
    }

    fn sample_defect(&self, delivered: &DeliveredSample) -> Option<String> {
        let sample = &delivered.sample;
        let generation = &delivered.payload.generation;
        let prompt = sample_prompt(&sample.tenant, sample.step, sample.prompt);
        let is_complete = tokens::is_complete_with_any_seed(&prompt, self.options.max_tokens, &generation.tokens);
        let token_defect = (!is_complete).then(|| "the tokens are not a complete response to the prompt".to_string());
        token_defect.or_else(|| tokens::version_defect(generation))
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(self.persisted.incarnation)
    }

    fn next_relay(&mut self) {
        self.relay = (self.relay + 1) % self.access.relays().max(1);
    }

    async fn save(&self) {
        let file = state_file(&self.options.tenant);
        while self.platform.disk().replace(&file, bitcode::encode(&self.persisted)).await.is_err() {
            self.platform.sleep(RETRY_DELAY).await;
        }
    }

    async fn call_with_retries(&mut self, call: Call) -> Result<TrainerState, TrainerRefusal> {
        loop {
            match timeout(&self.platform, CALL_TIMEOUT, self.call(&call)).await {
                Some(Ok(state)) => return Ok(state),
                Some(Err(TrainerCallError::Refused(refusal))) if refusal != TrainerRefusal::UnknownTenant => {
                    return Err(refusal);
                }
                _ => {
                    self.next_relay();
                    self.platform.sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn call(&self, call: &Call) -> Result<TrainerState, TrainerCallError> {
        let tenant = &self.options.tenant;
        let incarnation = self.incarnation();
        match call {
            Call::OpenTrainer => self.access.open_trainer(self.relay, tenant, incarnation).await,
            Call::OpenStep(step) => {
                let request = StepRequest {
                    step: *step,
                    prompts: (0..self.options.prompts).map(|prompt| sample_prompt(tenant, *step, prompt)).collect(),
                    group_size: self.options.group_size,
                    max_tokens: self.options.max_tokens,
                };
                self.access.open_step(self.relay, tenant, incarnation, &request).await
            }
            Call::Publish(version) => {
                self.access.publish(self.relay, tenant, incarnation, *version, self.persisted.cursor).await
            }
        }
    }
}

type FetchResult = Result<DeliveryBatch, TrainerCallError>;

enum Call {
    OpenTrainer,
    OpenStep(StepNumber),
    Publish(WeightVersion),
}
