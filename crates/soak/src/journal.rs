//! Observations of callers, operators and engines during a soak.

use crate::links::Party;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemEnd, ItemId, JobId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time since the start of the soak.
pub type Moment = Duration;

/// A request that an engine started to execute.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time of the observation.
    pub at: Moment,
    /// Engine instance.
    pub instance: InstanceId,
    /// The engine's service.
    pub service: String,
    /// Request id; for a job item, the item id.
    pub request: String,
    /// Job of the item, derived from the request path.
    pub job: Option<JobId>,
    /// Kind of crashing work, if the request crashes its engine.
    pub crashing: Option<u32>,
}

/// Execution of an item at an engine.
#[derive(Clone, Debug)]
pub struct ItemRun {
    /// Item id.
    pub item: ItemId,
    /// Engine instance.
    pub instance: InstanceId,
    /// Start time.
    pub from: Moment,
    /// End time; `None` while in progress.
    pub until: Option<Moment>,
    /// How it ended.
    pub end: ItemRunEnd,
}

/// How the execution of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemRunEnd {
    /// In progress, or its caller disconnected.
    Open,
    /// The engine produced all events.
    Finished,
    /// The engine returned a failure.
    Failed,
    /// The engine terminated.
    EngineEnded,
}

/// State of an engine that runs the model, at one moment.
#[derive(Clone, Debug)]
pub struct EngineSample {
    /// Engine number.
    pub number: u8,
    /// Loaded model version.
    pub version: u64,
    /// Requests in progress, including items.
    pub running: u32,
    /// Whether it accepts items: reachable, not loading weights, not draining and behaving normally.
    pub accepts_items: bool,
}

/// States of all engines that run the model, at one moment.
#[derive(Clone, Debug)]
pub struct EnginesSample {
    /// Time of the observation.
    pub at: Moment,
    /// State of each engine.
    pub engines: Vec<EngineSample>,
}

/// Outcome of a client's request, as observed by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response with status 200. One that does not match the request is also recorded as a violation.
    Complete,
    /// Status that guarantees that the request was not and will not be executed.
    NotExecuted(u16),
    /// Any other error status.
    Failed(u16),
    /// No complete response: the connection was closed, or the client timed out.
    Incomplete,
}

/// A request sent by a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Request id.
    pub request: String,
    /// Path prefix, which selects the route.
    pub prefix: &'static str,
    /// Send time.
    pub sent_at: Moment,
    /// End time.
    pub ended_at: Moment,
    /// How it ended.
    pub outcome: Outcome,
}

/// Outcome of a request on a keep-alive connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAliveOutcome {
    /// Complete response received.
    Answered,
    /// Connection closed before a complete response.
    Closed,
    /// Client timed out.
    TimedOut,
}

/// A request on a keep-alive connection.
#[derive(Clone, Debug)]
pub struct KeepAliveRequest {
    /// Request id.
    pub request: String,
    /// Gateway that the connection goes to.
    pub gateway: u8,
    /// Whether it is the first request of its connection. The proxy also accepts connections while the process behind
    /// it is down.
    pub is_first: bool,
    /// Send time.
    pub sent_at: Moment,
    /// End time.
    pub ended_at: Moment,
    /// How it ended.
    pub outcome: KeepAliveOutcome,
}

/// Interval of a fault or of planned work at a party.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Affected party.
    pub party: Party,
    /// Start time.
    pub from: Moment,
    /// End time; `None` while it lasts.
    pub until: Option<Moment>,
}

/// A weight load order received by an engine.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// Time of the observation.
    pub at: Moment,
    /// Engine instance.
    pub instance: InstanceId,
    /// Lease holder that sent it.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
}

/// A routing document sent by an operator.
#[derive(Clone, Debug)]
pub struct SentDocument {
    /// Document version.
    pub version: u64,
    /// Target service of the route that changes with each document.
    pub rerouted_to: &'static str,
    /// Document as sent, in bytes.
    pub body: Vec<u8>,
    /// Time of the first send.
    pub sent_at: Moment,
    /// Time of the first acknowledgement.
    pub acknowledged_at: Option<Moment>,
}

/// A routing document that was read back.
#[derive(Clone, Debug)]
pub struct ReadDocument {
    /// Send time of the read request.
    pub requested_at: Moment,
    /// Response body; `None` for a not-found response.
    pub body: Option<Vec<u8>>,
}

/// An item result as read by a trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultRecord {
    /// Item id.
    pub item: ItemId,
    /// Whether the item was completed or aborted.
    pub end: ItemEnd,
    /// Generated text.
    pub text: Vec<u8>,
    /// Model versions that the result lists.
    pub versions: Vec<u64>,
    /// Stamp in the scorer's response.
    pub score: Option<String>,
}

/// A batch job as observed by its trainer.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// Number of events by item.
    pub items: BTreeMap<ItemId, u32>,
    /// Oldest model version allowed to generate its items.
    pub minimum_version: u64,
    /// Number of items that crash their engine.
    pub crashing: usize,
    /// Time when a gateway acknowledged the submission.
    pub acknowledged_at: Option<Moment>,
    /// Whether the submission was rejected as not executed and never retried.
    pub rejected: bool,
    /// Time of the first cancellation request.
    pub end_requested_at: Option<Moment>,
    /// Time when the cancellation was acknowledged.
    pub ended_at: Option<Moment>,
    /// Results by position in the listing.
    pub results: BTreeMap<u64, ResultRecord>,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Observation that violates it.
    pub observed: String,
    /// Whether a time limit was exceeded, which lag of the soak's own tasks may cause.
    pub time_bound: bool,
}

/// All observations of a soak.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests that engines started to execute.
    pub runs: Vec<Run>,
    /// Item executions at engines.
    pub item_runs: Vec<ItemRun>,
    /// Periodic samples of the engines that run the model.
    pub engine_samples: Vec<EnginesSample>,
    /// Times of the first send and of the acknowledgement of every published model version, in one list.
    pub versions_published: Vec<Moment>,
    /// Events that engines generated: item id, event number, model version.
    pub events: BTreeSet<(String, u32, u64)>,
    /// Failed executions at engines, by request id.
    pub item_failures: BTreeMap<String, u32>,
    /// Requests of all clients.
    pub requests: Vec<ClientRequest>,
    /// Requests on keep-alive connections.
    pub keep_alive: Vec<KeepAliveRequest>,
    /// Planned stops and reloads, each until the process has ended or the reload is complete.
    pub planned_work: Vec<Disturbance>,
    /// Faults of parties, excluding planned work.
    pub fault_intervals: Vec<Disturbance>,
    /// Orders received by engines.
    pub orders: Vec<OrderRecord>,
    /// Time when a drain was acknowledged, by engine instance.
    pub drains_acknowledged_at: BTreeMap<InstanceId, Moment>,
    /// Routing documents sent by operators.
    pub documents: Vec<SentDocument>,
    /// Routing documents read back.
    pub reads: Vec<ReadDocument>,
    /// Batch jobs by id.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Times when a frozen process resumed or a link healed: traffic held until then arrives late.
    pub resumptions: Vec<Moment>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Maximum scheduling lag of the soak's own tasks.
    pub own_lag: Duration,
    /// Last time at which the lag of the soak's own tasks exceeded the limit.
    pub lagged_at: Option<Moment>,
    /// Injected faults, with start time and description.
    pub faults: Vec<(Moment, String)>,
}

/// Shared store of observations. Clones write to the same records.
#[derive(Clone)]
pub struct Journal {
    started: Instant,
    records: Rc<RefCell<Records>>,
}

impl Default for Journal {
    fn default() -> Self {
        Self { started: Instant::now(), records: Rc::default() }
    }
}

fn end_if_open(run: &mut ItemRun, now: Moment, end: ItemRunEnd) {
    if run.until.is_none() {
        run.until = Some(now);
        run.end = end;
    }
}

impl Journal {
    /// Time since the start of the soak.
    pub fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Modifies the records.
    pub fn write<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        change(&mut self.records.borrow_mut())
    }

    /// Reads the records.
    pub fn read<T>(&self, inspect: impl FnOnce(&Records) -> T) -> T {
        inspect(&self.records.borrow())
    }

    /// Records a violated invariant, other than a time limit.
    pub fn violation(&self, invariant: &'static str, observed: String) {
        self.record_violation(Violation { invariant, observed, time_bound: false });
    }

    /// Records a violated time limit.
    pub fn timeout(&self, invariant: &'static str, observed: String) {
        self.record_violation(Violation { invariant, observed, time_bound: true });
    }

    /// Prints and records a violation.
    pub fn record_violation(&self, violation: Violation) {
        let now = self.now().as_secs_f64();
        eprintln!("{now:>8.3} s  broken: {}: {}", violation.invariant, violation.observed);
        self.write(|records| records.violations.push(violation));
    }

    /// Records that the lag of one of the soak's own tasks exceeded the limit.
    pub fn record_excessive_lag(&self) {
        let now = self.now();
        self.write(|records| records.lagged_at = Some(now));
    }

    /// Last time when the lag of the soak's own tasks exceeded the limit.
    pub fn lagged_at(&self) -> Option<Moment> {
        self.read(|records| records.lagged_at)
    }

    /// Records the start of planned work on `party`; returns an index for [`Self::end_planned_work`].
    pub fn begin_planned_work(&self, party: Party) -> usize {
        let from = self.now();
        self.write(|records| {
            records.planned_work.push(Disturbance { party, from, until: None });
            records.planned_work.len() - 1
        })
    }

    /// Records the end of planned work.
    pub fn end_planned_work(&self, number: usize) {
        let now = self.now();
        self.write(|records| records.planned_work[number].until = Some(now));
    }

    /// Whether planned work on `party` is in progress.
    pub fn is_under_planned_work(&self, party: Party) -> bool {
        let in_progress = |work: &Disturbance| work.party == party && work.until.is_none();
        self.read(|records| records.planned_work.iter().any(in_progress))
    }

    /// Records the start of a fault of `party`.
    pub fn begin_fault(&self, party: Party) {
        let from = self.now();
        self.write(|records| records.fault_intervals.push(Disturbance { party, from, until: None }));
    }

    /// Records the end of all faults of `party`.
    pub fn end_faults(&self, party: Party) {
        let now = self.now();
        self.write(|records| {
            let in_progress = |fault: &&mut Disturbance| fault.party == party && fault.until.is_none();
            records.fault_intervals.iter_mut().filter(in_progress).for_each(|fault| fault.until = Some(now));
        });
    }

    /// Records that a frozen process resumed or a link healed.
    pub fn record_resumption(&self) {
        let now = self.now();
        self.write(|records| records.resumptions.push(now));
    }

    /// Records the start of an item at an engine; returns an index for [`Self::end_item_run`].
    pub fn begin_item_run(&self, item: ItemId, instance: InstanceId) -> usize {
        let from = self.now();
        self.write(|records| {
            records.item_runs.push(ItemRun { item, instance, from, until: None, end: ItemRunEnd::Open });
            records.item_runs.len() - 1
        })
    }

    /// Records the end of an item execution, unless it ended before.
    pub fn end_item_run(&self, number: usize, end: ItemRunEnd) {
        let now = self.now();
        self.write(|records| end_if_open(&mut records.item_runs[number], now, end));
    }

    /// Records that an engine ended, which ends the executions of items in progress there.
    pub fn end_engine_runs(&self, instance: &InstanceId) {
        let now = self.now();
        self.write(|records| {
            let affected = records.item_runs.iter_mut().filter(|run| run.instance == *instance);
            affected.for_each(|run| end_if_open(run, now, ItemRunEnd::EngineEnded));
        });
    }

    /// Prints and records an injected fault.
    pub fn record_fault(&self, description: String) {
        let now = self.now();
        println!("{:>8.3} s  {description}", now.as_secs_f64());
        self.write(|records| records.faults.push((now, description)));
    }
}
