//! A trainer: asks for steps, receives samples for good, trains and publishes.
//!
//! What it has received is on its disk before it counts, so a restarted trainer knows its place. Its calls are made one
//! after another, and an answer that comes after its call was given up is never used.

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

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(8);

/// Pause before a call is sent again.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Puts trained weights into the weight store.
pub trait WeightSink: Clone + 'static {
    /// Stores a version; `false` when it failed.
    fn store(&self, tenant: TenantId, version: WeightVersion) -> impl Future<Output = bool>;
}

/// How a trainer behaves.
#[derive(Clone, Debug)]
pub struct TrainerOptions {
    /// Its tenant.
    pub tenant: TenantId,
    /// Prompts in a step.
    pub prompts: u32,
    /// Samples for each prompt.
    pub group_size: u32,
    /// Most tokens in a sample.
    pub max_tokens: u32,
    /// Time to train on a step's worth of samples.
    pub train_time: Duration,
    /// Steps opened ahead of the one that is trained.
    pub steps_ahead: u64,
}

/// What a trainer keeps on disk.
#[derive(Clone, Debug, Default, Encode, Decode)]
struct Saved {
    incarnation: u64,
    cursor: Position,
    epoch: DeliveryEpoch,
    published: WeightVersion,
    opened: StepNumber,
    trained_steps: u64,
    /// Samples received and not trained on yet.
    buffered: u64,
    /// The newest receipts as JSON: a trainer killed between saving and recording them records them again, unchanged.
    receipts: Vec<String>,
}

/// Tells a trainer to open no more steps.
pub type StopFlag = Rc<Cell<bool>>;

struct Trainer<P, A, W> {
    platform: P,
    access: A,
    sink: W,
    recorder: Recorder,
    options: TrainerOptions,
    saved: Saved,
    relay: usize,
}

/// How a trainer's run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrainerEnd {
    /// Every opened step was received.
    Finished,
    /// A newer incarnation acts.
    Fenced,
}

/// Runs a trainer until `stop` is set and every opened step is received.
pub async fn run_trainer<P: Runtime, A: Access, W: WeightSink>(
    platform: P,
    access: A,
    sink: W,
    recorder: Recorder,
    options: TrainerOptions,
    stop: StopFlag,
) -> TrainerEnd {
    let file = saved_file(&options.tenant);
    let bytes = platform.disk().read(&file).await.ok().flatten();
    let mut saved: Saved = bytes.and_then(|bytes| bitcode::decode(&bytes).ok()).unwrap_or_default();
    saved.incarnation += 1;
    let mut trainer = Trainer { platform, access, sink, recorder, options, saved, relay: 0 };
    trainer.record_receipts();
    trainer.save().await;
    let outcome = trainer.run(&stop).await;
    if outcome.is_err() { TrainerEnd::Fenced } else { TrainerEnd::Finished }
}

fn saved_file(tenant: &TenantId) -> String {
    format!("trainer-{tenant}")
}

/// The prompt of a sample: names its step, and shares its beginning with the step's other prompts.
pub fn sample_prompt(tenant: &TenantId, step: StepNumber, prompt: u32) -> String {
    format!("{tenant} draft, shared instructions number {}. step {step} prompt {prompt}", step.0 % 3)
}

impl<P: Runtime, A: Access, W: WeightSink> Trainer<P, A, W> {
    async fn run(&mut self, stop: &StopFlag) -> Result<(), TrainerRefusal> {
        let state = self.call_until_decided(Call::Open).await?;
        self.saved.epoch = self.saved.epoch.max(state.epoch);
        self.reconcile(&state).await;
        let mut waited = Duration::ZERO;
        loop {
            self.open_steps(stop).await?;
            if self.outstanding() == 0 && stop.get() {
                return Ok(());
            }
            let since = self.platform.monotonic();
            while self.saved.buffered < self.step_size() && self.outstanding() > 0 {
                self.fetch().await?;
            }
            waited += self.platform.monotonic().saturating_sub(since);
            if self.saved.buffered >= self.step_size() {
                self.train(std::mem::take(&mut waited)).await?;
            }
        }
    }

    fn step_size(&self) -> u64 {
        u64::from(self.options.prompts * self.options.group_size)
    }

    /// Samples asked for and not received.
    fn outstanding(&self) -> u64 {
        (self.saved.opened.0 * self.step_size()).saturating_sub(self.saved.cursor.0)
    }

    /// Takes over what the service knows and this disk does not, after a crash between a call and its save.
    async fn reconcile(&mut self, state: &TrainerState) {
        self.saved.published = self.saved.published.max(state.published);
        self.saved.trained_steps = self.saved.trained_steps.max(state.published.0);
        let unrecorded = self.saved.opened.0 + 1..=state.last_step.0;
        self.saved.opened = self.saved.opened.max(state.last_step);
        self.save().await;
        unrecorded.for_each(|step| self.record_step(StepNumber(step)));
    }

    async fn open_steps(&mut self, stop: &StopFlag) -> Result<(), TrainerRefusal> {
        while !stop.get() && self.saved.opened.0 <= self.saved.trained_steps + self.options.steps_ahead {
            let step = self.saved.opened.next();
            self.call_until_decided(Call::Step(step)).await?;
            self.saved.opened = step;
            self.save().await;
            self.record_step(step);
        }
        Ok(())
    }

    fn record_step(&self, step: StepNumber) {
        let (tenant, samples) = (self.options.tenant.clone(), self.step_size() as u32);
        self.recorder.record(Record::StepOpened { at: self.platform.unix_milliseconds(), tenant, step, samples });
    }

    /// Trains and publishes. The next samples are asked for meanwhile: what comes before the publication is received,
    /// what comes later is received only if its epoch is not from before it.
    async fn train(&mut self, waited: Duration) -> Result<(), TrainerRefusal> {
        let mut early = self.start_fetch();
        self.platform.sleep(self.options.train_time).await;
        let before = early.try_recv().ok().flatten();
        let answered = before.is_some();
        self.receive_answer(before).await?;
        self.publish(waited).await?;
        if !answered {
            self.receive_answer(early.await.ok()).await?;
        }
        Ok(())
    }

    /// Asks for samples without waiting for the answer.
    fn start_fetch(&self) -> oneshot::Receiver<FetchAnswer> {
        let (sender, answer) = oneshot::channel();
        let (platform, access, tenant) = (self.platform.clone(), self.access.clone(), self.options.tenant.clone());
        let (relay, incarnation, cursor) = (self.relay, self.incarnation(), self.saved.cursor);
        let limit = self.step_size() as u32;
        self.platform.spawn(async move {
            let call = access.fetch(relay, &tenant, incarnation, cursor, limit);
            let answered = timeout(&platform, CALL_LIMIT, call).await.unwrap_or(Err(TrainerCallError::Again));
            // A trainer that has ended needs no answer.
            let _ = sender.send(answered);
        });
        answer
    }

    /// Receives what an early fetch brought, if it brought anything.
    async fn receive_answer(&mut self, answer: Option<FetchAnswer>) -> Result<(), TrainerRefusal> {
        match answer {
            Some(Ok(batch)) => self.receive(batch).await,
            Some(Err(TrainerCallError::Refused(refusal))) => return Err(refusal),
            Some(Err(TrainerCallError::Again)) | None => {}
        }
        Ok(())
    }

    async fn publish(&mut self, waited: Duration) -> Result<(), TrainerRefusal> {
        self.saved.buffered -= self.step_size();
        self.saved.trained_steps += 1;
        let version = self.saved.published.next();
        while !self.sink.store(self.options.tenant.clone(), version).await {
            self.platform.sleep(CALL_PAUSE).await;
        }
        self.save().await;
        let state = self.call_until_decided(Call::Publish(version)).await?;
        self.saved.published = version;
        self.saved.epoch = self.saved.epoch.max(state.epoch);
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
        let call = self.access.fetch(self.relay, &self.options.tenant, self.incarnation(), self.saved.cursor, limit);
        match timeout(&self.platform, CALL_LIMIT, call).await {
            Some(Ok(batch)) => self.receive(batch).await,
            Some(Err(TrainerCallError::Refused(refusal))) => return Err(refusal),
            Some(Err(TrainerCallError::Again)) | None => {
                self.next_relay();
                self.platform.sleep(CALL_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Receives a batch for good, unless it is from before positions were withdrawn.
    async fn receive(&mut self, batch: DeliveryBatch) {
        if batch.epoch < self.saved.epoch {
            return;
        }
        self.saved.epoch = batch.epoch;
        let fresh: Vec<_> = batch.samples.into_iter().filter(|sample| sample.position > self.saved.cursor).collect();
        let Some(last) = fresh.last().map(|sample| sample.position) else {
            return;
        };
        self.saved.cursor = last;
        self.saved.buffered += fresh.len() as u64;
        let receipts = fresh.iter().map(|delivered| self.receipt(delivered));
        self.saved.receipts = receipts.filter_map(|receipt| serde_json::to_string(&receipt).ok()).collect();
        self.save().await;
        self.record_receipts();
    }

    fn record_receipts(&self) {
        let receipts = self.saved.receipts.iter().filter_map(|receipt| serde_json::from_str(receipt).ok());
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
            published: self.saved.published,
            fault: self.sample_fault(delivered),
        }
    }

    fn sample_fault(&self, delivered: &DeliveredSample) -> Option<String> {
        let sample = &delivered.sample;
        let generation = &delivered.payload.generation;
        let prompt = sample_prompt(&sample.tenant, sample.step, sample.prompt);
        let whole = tokens::is_whole_under_any_seed(&prompt, self.options.max_tokens, &generation.tokens);
        let broken = (!whole).then(|| "its tokens are not a whole answer to its prompt".to_string());
        broken.or_else(|| tokens::version_fault(generation))
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(self.saved.incarnation)
    }

    fn next_relay(&mut self) {
        self.relay = (self.relay + 1) % self.access.relays().max(1);
    }

    async fn save(&self) {
        let file = saved_file(&self.options.tenant);
        while self.platform.disk().replace(&file, bitcode::encode(&self.saved)).await.is_err() {
            self.platform.sleep(CALL_PAUSE).await;
        }
    }

    async fn call_until_decided(&mut self, call: Call) -> Result<TrainerState, TrainerRefusal> {
        loop {
            match timeout(&self.platform, CALL_LIMIT, self.call(&call)).await {
                Some(Ok(state)) => return Ok(state),
                Some(Err(TrainerCallError::Refused(refusal))) if refusal != TrainerRefusal::UnknownTenant => {
                    return Err(refusal);
                }
                _ => {
                    self.next_relay();
                    self.platform.sleep(CALL_PAUSE).await;
                }
            }
        }
    }

    async fn call(&self, call: &Call) -> Result<TrainerState, TrainerCallError> {
        let tenant = &self.options.tenant;
        let incarnation = self.incarnation();
        match call {
            Call::Open => self.access.open_trainer(self.relay, tenant, incarnation).await,
            Call::Step(step) => {
                let request = StepRequest {
                    step: *step,
                    prompts: (0..self.options.prompts).map(|prompt| sample_prompt(tenant, *step, prompt)).collect(),
                    group_size: self.options.group_size,
                    max_tokens: self.options.max_tokens,
                };
                self.access.open_step(self.relay, tenant, incarnation, &request).await
            }
            Call::Publish(version) => {
                self.access.publish(self.relay, tenant, incarnation, *version, self.saved.cursor).await
            }
        }
    }
}

type FetchAnswer = Result<DeliveryBatch, TrainerCallError>;

enum Call {
    Open,
    Step(StepNumber),
    Publish(WeightVersion),
}
