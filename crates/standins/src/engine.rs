//! A stand-in model engine with continuous batching, a slot limit, a priority queue, a bounded prefix cache, fenced
//! weight swaps, delayed load reports and injectable faults.

use crate::recorder::Recorder;
use crate::tokens;
use futures::channel::{mpsc, oneshot};
use saddlerelay_checker::record::Record;
use saddlerelay_runtime::Runtime;
use saddlerelay_types::engine::{
    EngineAction, EngineChunk, EngineDescription, EngineLoad, EngineOrder, EngineRequest, EngineStatus, WeightState,
};
use saddlerelay_types::identity::{Fence, ModelName, WeightVersion};
use saddlerelay_types::request::{FinishReason, Priority};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Tokens in one chunk.
const CHUNK_TOKENS: u32 = 4;

/// Polling interval while a swap is in progress.
const SWAP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Length of the cached prefix of a prompt, in characters.
const PREFIX_CHARACTERS: usize = 256;

/// Fetches weights from the weight store.
pub trait WeightSource: Clone + 'static {
    /// Fetches a weight version. Returns whether it succeeded.
    fn fetch(&self, model: ModelName, version: WeightVersion) -> impl Future<Output = bool>;
}

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Identity, address and capacity.
    pub description: EngineDescription,
    /// Base time per token; it is multiplied by one plus the fraction of slots in use.
    pub token_time: Duration,
    /// Prefill time of a prompt whose prefix is not cached.
    pub prefill_time: Duration,
    /// Maximum number of cached prefixes.
    pub cached_prefixes: usize,
    /// Time for which generation pauses during a weight swap.
    pub swap_pause: Duration,
    /// Age of the reported load.
    pub report_lag: Duration,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
}

/// Faults to inject into an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Factor on the time per token; 0 counts as 1.
    pub slowness: u32,
    /// The next weight swap fails after the fetch.
    pub fail_next_swap: bool,
    /// Rejects every request.
    pub refuse: bool,
    /// Ends the next stream after its first chunk.
    pub break_next_stream: bool,
    /// Sends every chunk but the last twice.
    pub duplicate_chunks: bool,
    /// Drops one chunk in the middle of the next stream.
    pub lose_chunk: bool,
}

/// Why a request or an order was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection(pub String);

struct State {
    weights: WeightState,
    pending: Option<WeightVersion>,
    swapping: bool,
    leaving: bool,
    fence: Fence,
    running: u32,
    /// Queued requests by priority and arrival; each is sent a message when it gets a slot.
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<()>>,
    next_queue_number: u64,
    /// Cached prompt prefixes, least recently used first.
    cache: VecDeque<String>,
    /// Recent loads with their times, for delayed reports.
    reports: VecDeque<(Duration, EngineLoad)>,
    faults: EngineFaults,
}

/// An engine. Clones share its state.
pub struct Engine<P: Runtime, W: WeightSource> {
    inner: Rc<Inner<P, W>>,
}

struct Inner<P, W> {
    platform: P,
    options: EngineOptions,
    weights: W,
    recorder: Recorder,
    incarnation: u64,
    state: RefCell<State>,
}

impl<P: Runtime, W: WeightSource> Clone for Engine<P, W> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

/// Releases an engine slot when dropped, and admits queued requests.
struct Slot<P: Runtime, W: WeightSource>(Engine<P, W>);

impl<P: Runtime, W: WeightSource> Drop for Slot<P, W> {
    fn drop(&mut self) {
        let mut state = self.0.inner.state.borrow_mut();
        state.running -= 1;
        while state.running < self.0.inner.options.description.slots {
            let Some((_, waiter)) = state.waiting.pop_first() else {
                return;
            };
            if waiter.send(()).is_ok() {
                state.running += 1;
            }
        }
    }
}

impl<P: Runtime, W: WeightSource> Engine<P, W> {
    /// Starts an engine with weight version 0 confirmed.
    pub fn start(platform: P, options: EngineOptions, weights: W, recorder: Recorder) -> Self {
        let state = State {
            weights: WeightState::Confirmed(WeightVersion(0)),
            pending: None,
            swapping: false,
            leaving: false,
            fence: Fence(0),
            running: 0,
            waiting: BTreeMap::new(),
            next_queue_number: 0,
            cache: VecDeque::new(),
            reports: VecDeque::new(),
            faults: EngineFaults::default(),
        };
        let incarnation = platform.random().max(1);
        let engine = options.description.id.clone();
        recorder.record(Record::EngineStarted { at: platform.unix_milliseconds(), engine });
        let inner = Inner { platform, options, weights, recorder, incarnation, state: RefCell::new(state) };
        Self { inner: Rc::new(inner) }
    }

    fn now(&self) -> u64 {
        self.inner.platform.unix_milliseconds()
    }

    /// Identity, address and capacity.
    pub fn description(&self) -> &EngineDescription {
        &self.inner.options.description
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.state.borrow_mut().faults = faults;
    }

    /// Starts draining: new requests are rejected.
    pub fn leave(&self) {
        let engine = self.description().id.clone();
        self.inner.recorder.record(Record::Leaving { at: self.now(), engine });
        self.inner.state.borrow_mut().leaving = true;
    }

    /// Whether no request is running or queued.
    pub fn is_idle(&self) -> bool {
        let state = self.inner.state.borrow();
        state.running == 0 && state.waiting.is_empty()
    }

    /// The status report, with the load as of [`EngineOptions::report_lag`] ago.
    pub fn status(&self) -> EngineStatus {
        let now = self.inner.platform.monotonic();
        let mut state = self.inner.state.borrow_mut();
        let load = current_load(&state);
        state.reports.push_back((now, load));
        while state.reports.len() > 1 && state.reports[1].0 + self.inner.options.report_lag <= now {
            state.reports.pop_front();
        }
        EngineStatus {
            id: self.description().id.clone(),
            incarnation: self.inner.incarnation,
            weights: state.weights,
            pending: state.pending,
            leaving: state.leaving,
            load: state.reports.front().map_or(load, |(_, load)| *load),
            fence: state.fence,
        }
    }

    /// Executes a fenced order; rejects one with an older fencing token.
    pub fn order(&self, order: EngineOrder) -> Result<(), Rejection> {
        let mut state = self.inner.state.borrow_mut();
        if order.fence < state.fence {
            return Err(Rejection(format!("fence {} is below {}", order.fence, state.fence)));
        }
        state.fence = order.fence;
        match order.action {
            EngineAction::Leave => {
                drop(state);
                self.leave();
            }
            EngineAction::LoadWeights(version) => {
                let busy = state.pending.is_some() || state.swapping;
                if !busy && state.weights != WeightState::Confirmed(version) {
                    state.pending = Some(version);
                    drop(state);
                    self.inner.platform.spawn(self.clone().swap(version));
                }
            }
        }
        Ok(())
    }

    /// Fetches a version while the current one serves, then pauses generation and swaps.
    async fn swap(self, version: WeightVersion) {
        let engine = self.description().id.clone();
        self.inner.recorder.record(Record::Swap { at: self.now(), engine: engine.clone(), version, loaded: None });
        let fetched = self.inner.weights.fetch(self.description().model.clone(), version).await;
        if !fetched {
            self.inner.state.borrow_mut().pending = None;
            return;
        }
        {
            let mut state = self.inner.state.borrow_mut();
            state.pending = None;
            state.swapping = true;
            state.weights = WeightState::Loading(version);
        }
        self.inner.platform.sleep(self.inner.options.swap_pause).await;
        let failed = {
            let mut state = self.inner.state.borrow_mut();
            let failed = std::mem::take(&mut state.faults.fail_next_swap);
            state.swapping = false;
            state.weights = if failed { WeightState::Broken } else { WeightState::Confirmed(version) };
            failed
        };
        self.inner.recorder.record(Record::Swap { at: self.now(), engine, version, loaded: Some(!failed) });
    }

    /// Admits or rejects a generation. Dropping the receiver cancels it.
    pub fn admit(&self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<EngineChunk>, Rejection> {
        let admission = self.acquire_slot_or_enqueue(&request)?;
        self.inner.recorder.record(Record::Execution {
            at: self.now(),
            engine: self.description().id.clone(),
            prompt: request.prompt.clone(),
            attempt_id: request.attempt_id,
            resumed: request.resume_tokens.len() as u32,
            priority: request.priority,
        });
        let (chunks, stream) = mpsc::unbounded();
        self.inner.platform.spawn(self.clone().run(request, admission, chunks));
        Ok(stream)
    }

    /// Takes a free slot and returns `None`, or queues the request and returns a receiver for its slot.
    fn acquire_slot_or_enqueue(&self, request: &EngineRequest) -> Result<Option<oneshot::Receiver<()>>, Rejection> {
        let mut state = self.inner.state.borrow_mut();
        if state.leaving {
            return Err(Rejection("leaving".to_string()));
        }
        if state.faults.refuse {
            return Err(Rejection("refusing".to_string()));
        }
        if state.weights == WeightState::Broken {
            return Err(Rejection("no confirmed weights".to_string()));
        }
        if state.running < self.inner.options.description.slots {
            state.running += 1;
            return Ok(None);
        }
        if state.waiting.len() >= self.inner.options.queue_limit {
            return Err(Rejection("the queue is full".to_string()));
        }
        let (sender, receiver) = oneshot::channel();
        state.next_queue_number += 1;
        let key = (request.priority, state.next_queue_number);
        state.waiting.insert(key, sender);
        Ok(Some(receiver))
    }

    async fn run(
        self,
        request: EngineRequest,
        admission: Option<oneshot::Receiver<()>>,
        chunks: mpsc::UnboundedSender<EngineChunk>,
    ) {
        if let Some(admission) = admission
            && admission.await.is_err()
        {
            return;
        }
        let _slot = Slot(self.clone());
        self.prefill(&request.prompt).await;
        let length = tokens::response_length(&request.prompt, request.seed, request.max_tokens);
        let mut position = request.resume_tokens.len() as u32;
        let mut sequence = 0;
        while position < length {
            let count = CHUNK_TOKENS.min(length - position);
            let Some(version) = self.generate_tokens(count).await else {
                return;
            };
            let is_last = position + count >= length;
            let chunk = self.chunk(&request, sequence, position..position + count, version, is_last);
            if !self.send(chunk, sequence, &chunks) {
                return;
            }
            position += count;
            sequence += 1;
        }
        if sequence == 0 {
            // The request resumes after the last token.
            let version = self.confirmed_version().unwrap_or_default();
            let chunk = self.chunk(&request, 0, position..position, version, true);
            self.send(chunk, 0, &chunks);
        }
    }

    async fn prefill(&self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_CHARACTERS).collect();
        let cached = {
            let mut state = self.inner.state.borrow_mut();
            let cached_at = state.cache.iter().position(|cached| *cached == prefix);
            if let Some(position) = cached_at {
                state.cache.remove(position);
            }
            state.cache.push_back(prefix);
            while state.cache.len() > self.inner.options.cached_prefixes {
                state.cache.pop_front();
            }
            cached_at.is_some()
        };
        if !cached {
            self.inner.platform.sleep(self.inner.options.prefill_time).await;
        }
    }

    fn confirmed_version(&self) -> Option<WeightVersion> {
        match self.inner.state.borrow().weights {
            WeightState::Confirmed(version) => Some(version),
            _ => None,
        }
    }

    /// Waits for the time of `count` tokens; `None` if the weights are not confirmed, which ends the generation.
    async fn generate_tokens(&self, count: u32) -> Option<WeightVersion> {
        let time = {
            let state = self.inner.state.borrow();
            let utilization = f64::from(state.running) / f64::from(self.inner.options.description.slots.max(1));
            let slowness = state.faults.slowness.max(1);
            self.inner.options.token_time.mul_f64(f64::from(count * slowness) * (1.0 + utilization))
        };
        self.inner.platform.sleep(time).await;
        while self.inner.state.borrow().swapping {
            self.inner.platform.sleep(SWAP_POLL_INTERVAL).await;
        }
        self.confirmed_version()
    }

    fn chunk(
        &self,
        request: &EngineRequest,
        sequence: u32,
        positions: std::ops::Range<u32>,
        version: WeightVersion,
        is_last: bool,
    ) -> EngineChunk {
        let token_at = |position| tokens::token(&request.prompt, request.seed, position, version);
        let tokens_in_chunk: Vec<u32> = positions.map(token_at).collect();
        EngineChunk {
            attempt_id: request.attempt_id,
            sequence,
            text: tokens_in_chunk.iter().map(|token| tokens::token_text(*token)).collect(),
            tokens: tokens_in_chunk,
            version,
            finish: is_last.then_some(FinishReason::Stop),
            load: current_load(&self.inner.state.borrow()),
        }
    }

    /// Sends a chunk. Returns `false` if the stream has ended.
    fn send(&self, chunk: EngineChunk, sequence: u32, chunks: &mpsc::UnboundedSender<EngineChunk>) -> bool {
        let faults = self.inner.state.borrow().faults;
        if sequence > 0 && faults.break_next_stream {
            self.inner.state.borrow_mut().faults.break_next_stream = false;
            return false;
        }
        if sequence > 0 && faults.lose_chunk && chunk.finish.is_none() {
            self.inner.state.borrow_mut().faults.lose_chunk = false;
            return true;
        }
        if faults.duplicate_chunks && chunk.finish.is_none() && chunks.unbounded_send(chunk.clone()).is_err() {
            return false;
        }
        chunks.unbounded_send(chunk).is_ok()
    }
}

fn current_load(state: &State) -> EngineLoad {
    EngineLoad { running: state.running, waiting: state.waiting.len() as u32 }
}
