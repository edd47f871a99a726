//! A model engine: continuous batching with a slot limit, a bounded prefix cache, priorities, weight swaps by fenced
//! orders, lagging reports, and faults on request.

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

/// Pause between looks at whether a swap is over.
const SWAP_POLL: Duration = Duration::from_millis(5);

/// Characters of a prompt that make its cached prefix.
const PREFIX_CHARACTERS: usize = 256;

/// Brings weights from the store to an engine.
pub trait WeightSource: Clone + 'static {
    /// Fetches a version; `false` when it failed.
    fn fetch(&self, model: ModelName, version: WeightVersion) -> impl Future<Output = bool>;
}

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Who it is.
    pub description: EngineDescription,
    /// Time of one token when it runs alone; with all slots full a token takes twice as long.
    pub token_time: Duration,
    /// Time to read a prompt that is not cached.
    pub prefill_time: Duration,
    /// Prefixes it caches.
    pub cached_prefixes: usize,
    /// Time for which generation stands still during a swap.
    pub swap_pause: Duration,
    /// How old its reported load is.
    pub report_lag: Duration,
    /// Most waiting requests.
    pub queue_limit: usize,
}

/// Faults that are caused on request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Every token takes this many times as long.
    pub slowness: u32,
    /// The next swap fails partway.
    pub fail_next_swap: bool,
    /// Refuses every request.
    pub refuse: bool,
    /// Breaks the next stream off after its first chunk.
    pub break_next_stream: bool,
    /// Sends every chunk twice.
    pub duplicate_chunks: bool,
    /// Loses one chunk out of the middle of the next stream.
    pub lose_chunk: bool,
}

/// Why a request was not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

struct State {
    weights: WeightState,
    pending: Option<WeightVersion>,
    swapping: bool,
    leaving: bool,
    fence: Fence,
    running: u32,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<()>>,
    next_ticket: u64,
    cache: VecDeque<String>,
    reports: VecDeque<(Duration, EngineLoad)>,
    faults: EngineFaults,
}

/// An engine. Clones are the same engine.
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

/// Gives an engine's slot back when dropped.
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
    /// Starts an engine with the weights of version zero.
    pub fn start(platform: P, options: EngineOptions, weights: W, recorder: Recorder) -> Self {
        let state = State {
            weights: WeightState::Confirmed(WeightVersion(0)),
            pending: None,
            swapping: false,
            leaving: false,
            fence: Fence(0),
            running: 0,
            waiting: BTreeMap::new(),
            next_ticket: 0,
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

    /// Who this is.
    pub fn description(&self) -> &EngineDescription {
        &self.inner.options.description
    }

    /// Causes faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.state.borrow_mut().faults = faults;
    }

    /// Begins to leave, by the engine's own decision.
    pub fn leave(&self) {
        let engine = self.description().id.clone();
        self.inner.recorder.record(Record::Leaving { at: self.now(), engine });
        self.inner.state.borrow_mut().leaving = true;
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        let state = self.inner.state.borrow();
        state.running == 0 && state.waiting.is_empty()
    }

    /// The engine's own report; its load lags.
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

    /// Follows a fenced order; an older one is refused.
    pub fn order(&self, order: EngineOrder) -> Result<(), Refusal> {
        let mut state = self.inner.state.borrow_mut();
        if order.fence < state.fence {
            return Err(Refusal(format!("fence {} is below {}", order.fence, state.fence)));
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

    /// Fetches while the present version serves, then stands still and swaps.
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

    /// Admits or refuses a generation. Dropping the receiver cancels it.
    pub fn admit(&self, request: EngineRequest) -> Result<mpsc::UnboundedReceiver<EngineChunk>, Refusal> {
        let waiter = self.take_slot_or_ticket(&request)?;
        self.inner.recorder.record(Record::Execution {
            at: self.now(),
            engine: self.description().id.clone(),
            prompt: request.prompt.clone(),
            attempt_id: request.attempt_id,
            resumed: request.resume_tokens.len() as u32,
            priority: request.priority,
        });
        let (chunks, stream) = mpsc::unbounded();
        self.inner.platform.spawn(self.clone().run(request, waiter, chunks));
        Ok(stream)
    }

    fn take_slot_or_ticket(&self, request: &EngineRequest) -> Result<Option<oneshot::Receiver<()>>, Refusal> {
        let mut state = self.inner.state.borrow_mut();
        if state.leaving {
            return Err(Refusal("leaving".to_string()));
        }
        if state.faults.refuse {
            return Err(Refusal("refusing".to_string()));
        }
        if state.weights == WeightState::Broken {
            return Err(Refusal("no confirmed weights".to_string()));
        }
        if state.running < self.inner.options.description.slots {
            state.running += 1;
            return Ok(None);
        }
        if state.waiting.len() >= self.inner.options.queue_limit {
            return Err(Refusal("the queue is full".to_string()));
        }
        let (waiter, ticket) = oneshot::channel();
        state.next_ticket += 1;
        let key = (request.priority, state.next_ticket);
        state.waiting.insert(key, waiter);
        Ok(Some(ticket))
    }

    async fn run(
        self,
        request: EngineRequest,
        waiter: Option<oneshot::Receiver<()>>,
        chunks: mpsc::UnboundedSender<EngineChunk>,
    ) {
        if let Some(waiter) = waiter
            && waiter.await.is_err()
        {
            return;
        }
        let _slot = Slot(self.clone());
        self.prefill(&request.prompt).await;
        let length = tokens::answer_length(&request.prompt, request.seed, request.max_tokens);
        let mut place = request.resume_tokens.len() as u32;
        let mut sequence = 0;
        while place < length {
            let count = CHUNK_TOKENS.min(length - place);
            let Some(version) = self.make_tokens(count).await else {
                return;
            };
            let end = place + count >= length;
            let chunk = self.chunk(&request, sequence, place..place + count, version, end);
            if !self.send(chunk, sequence, &chunks) {
                return;
            }
            place += count;
            sequence += 1;
        }
        if sequence == 0 {
            // Everything was already made by the attempt before.
            let version = self.confirmed_version().unwrap_or_default();
            let chunk = self.chunk(&request, 0, place..place, version, true);
            self.send(chunk, 0, &chunks);
        }
    }

    async fn prefill(&self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_CHARACTERS).collect();
        let cached = {
            let mut state = self.inner.state.borrow_mut();
            let known = state.cache.iter().position(|cached| *cached == prefix);
            if let Some(place) = known {
                state.cache.remove(place);
            }
            state.cache.push_back(prefix);
            while state.cache.len() > self.inner.options.cached_prefixes {
                state.cache.pop_front();
            }
            known.is_some()
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

    /// Takes the time that `count` tokens take; `None` when a swap failed and the generation ends.
    async fn make_tokens(&self, count: u32) -> Option<WeightVersion> {
        let time = {
            let state = self.inner.state.borrow();
            let share = f64::from(state.running) / f64::from(self.inner.options.description.slots.max(1));
            let slowness = state.faults.slowness.max(1);
            self.inner.options.token_time.mul_f64(f64::from(count * slowness) * (1.0 + share))
        };
        self.inner.platform.sleep(time).await;
        while self.inner.state.borrow().swapping {
            self.inner.platform.sleep(SWAP_POLL).await;
        }
        self.confirmed_version()
    }

    fn chunk(
        &self,
        request: &EngineRequest,
        sequence: u32,
        places: std::ops::Range<u32>,
        version: WeightVersion,
        end: bool,
    ) -> EngineChunk {
        let make = |place| tokens::token(&request.prompt, request.seed, place, version);
        let made: Vec<u32> = places.map(make).collect();
        EngineChunk {
            attempt_id: request.attempt_id,
            sequence,
            text: made.iter().map(|token| tokens::token_text(*token)).collect(),
            tokens: made,
            version,
            finish: end.then_some(FinishReason::Stop),
            load: current_load(&self.inner.state.borrow()),
        }
    }

    /// Sends a chunk; `false` when the stream is over.
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
