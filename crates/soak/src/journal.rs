//! What callers, operators and engines saw during a soak.

use crate::links::Party;
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemEnd, ItemId, JobId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time since the soak's start.
pub type Moment = Duration;

/// A request that an engine began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// When.
    pub at: Moment,
    /// The engine.
    pub instance: InstanceId,
    /// Its service.
    pub service: String,
    /// The request's identifier; an item's on the path of batch jobs.
    pub request: String,
    /// The job that the request is an item of, as its path tells.
    pub job: Option<JobId>,
    /// The kind of work that ends its engine, if it is such.
    pub crashing: Option<u32>,
}

/// An item at an engine.
#[derive(Clone, Debug)]
pub struct ItemRun {
    /// The item.
    pub item: ItemId,
    /// The engine.
    pub instance: InstanceId,
    /// When it began.
    pub from: Moment,
    /// When it left the engine; `None` while it is there.
    pub until: Option<Moment>,
    /// How.
    pub end: ItemRunEnd,
}

/// How an item left its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemRunEnd {
    /// It has not left, or its caller has gone.
    Open,
    /// The engine has made its whole text.
    Finished,
    /// The engine has answered that it failed.
    Failed,
    /// The engine has ended.
    EngineEnded,
}

/// An engine that runs the model, at one moment.
#[derive(Clone, Debug)]
pub struct EngineSeen {
    /// Its number.
    pub number: u8,
    /// The version that it holds.
    pub version: u64,
    /// Items and other requests that it runs.
    pub running: u32,
    /// Whether it takes items: it is reached, loads nothing, does not leave and answers as it should.
    pub takes_items: bool,
}

/// The engines that run the model, at one moment.
#[derive(Clone, Debug)]
pub struct EnginesSeen {
    /// When.
    pub at: Moment,
    /// The engines.
    pub engines: Vec<EngineSeen>,
}

/// How a client's request ended, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole successful answer that is the request's own.
    Whole,
    /// A status that promises that the request has not run and never will.
    NotRun(u16),
    /// Another failing status.
    Failed(u16),
    /// The connection ended, or the client's patience.
    Broken,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its identifier.
    pub request: String,
    /// The beginning of its path.
    pub prefix: &'static str,
    /// When it was sent.
    pub sent_at: Moment,
    /// When it ended.
    pub ended_at: Moment,
    /// How.
    pub ending: Ending,
}

/// How a request on a connection that its client keeps ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptEnding {
    /// With a whole answer.
    Answered,
    /// The connection ended before the whole answer.
    Closed,
    /// The client's patience ended.
    GivenUp,
}

/// A request on a connection that its client keeps.
#[derive(Clone, Debug)]
pub struct KeptRequest {
    /// Its identifier.
    pub request: String,
    /// The gateway at the other end.
    pub gateway: u8,
    /// Whether it is the first on its connection. The proxy takes connections for a process that is down, too.
    pub is_first: bool,
    /// When it was sent.
    pub sent_at: Moment,
    /// When it ended.
    pub ended_at: Moment,
    /// How.
    pub ending: KeptEnding,
}

/// Time for which something was done to a party.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The party.
    pub party: Party,
    /// When it began.
    pub from: Moment,
    /// When it ended; `None` while it lasts.
    pub until: Option<Moment>,
}

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub struct OrderSeen {
    /// When.
    pub at: Moment,
    /// The engine.
    pub instance: InstanceId,
    /// Who gave it.
    pub holder: String,
    /// Its fence.
    pub fence: u64,
}

/// A routing document as operators sent it.
#[derive(Clone, Debug)]
pub struct SentDocument {
    /// Its version.
    pub version: u64,
    /// The service to which the route that moves goes.
    pub moving_to: &'static str,
    /// Its bytes.
    pub body: Vec<u8>,
    /// When it was first sent.
    pub sent_at: Moment,
    /// When it was first acknowledged.
    pub acknowledged_at: Option<Moment>,
}

/// A routing document that was read back.
#[derive(Clone, Debug)]
pub struct ReadDocument {
    /// When the question was sent.
    pub asked_at: Moment,
    /// Its bytes; `None` when there was said to be none.
    pub body: Option<Vec<u8>>,
}

/// A result as a trainer read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenResult {
    /// The item.
    pub item: ItemId,
    /// How it ended.
    pub end: ItemEnd,
    /// Its text.
    pub text: Vec<u8>,
    /// The versions that it names.
    pub versions: Vec<u64>,
    /// The stamp of its scorer's answer.
    pub score: Option<String>,
}

/// A batch job as its trainer saw it.
#[derive(Clone, Debug, Default)]
pub struct JobSeen {
    /// Its items, with the number of events of each.
    pub items: BTreeMap<ItemId, u32>,
    /// The oldest version that may make its text.
    pub minimum_version: u64,
    /// How many of its items end the engines that run them.
    pub crashing: usize,
    /// When a gateway acknowledged it.
    pub acknowledged_at: Option<Moment>,
    /// Whether it was never sent again after a promise that nothing of it runs.
    pub refused: bool,
    /// When its end was first asked for.
    pub end_asked_at: Option<Moment>,
    /// When its end was acknowledged.
    pub ended_at: Option<Moment>,
    /// Results by position.
    pub results: BTreeMap<u64, SeenResult>,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
    /// Whether it is one because of the time that something took, so that a late soak may have caused it.
    pub time_bound: bool,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests that engines ran.
    pub runs: Vec<Run>,
    /// Items at engines.
    pub item_runs: Vec<ItemRun>,
    /// The engines that run the model, several times a second.
    pub engines_seen: Vec<EnginesSeen>,
    /// When versions were named: the first send and the acknowledgement of each.
    pub versions_named: Vec<Moment>,
    /// Events that engines made: item, number, version.
    pub events: BTreeSet<(String, u32, u64)>,
    /// Failures of items at engines, by item.
    pub item_failures: BTreeMap<String, u32>,
    /// Clients' requests.
    pub requests: Vec<ClientRequest>,
    /// Clients' requests on connections that they keep.
    pub kept: Vec<KeptRequest>,
    /// Planned work: stops and reloads, each until the process has ended or its reload is long done.
    pub planned: Vec<Disturbance>,
    /// Faults of parties, apart from planned work.
    pub disruptions: Vec<Disturbance>,
    /// Orders that engines saw.
    pub orders: Vec<OrderSeen>,
    /// When the leaving of an engine was acknowledged.
    pub leaving: BTreeMap<InstanceId, Moment>,
    /// Documents that operators sent.
    pub documents: Vec<SentDocument>,
    /// Documents that were read.
    pub reads: Vec<ReadDocument>,
    /// Batch jobs.
    pub jobs: BTreeMap<JobId, JobSeen>,
    /// Moments at which a process woke or a link healed: what was held up until then arrives late.
    pub woken: Vec<Moment>,
    /// Promises whose breach was seen at once.
    pub violations: Vec<Violation>,
    /// The latest that a task of the soak itself ran.
    pub own_lag: Duration,
    /// When one was last later than is in time.
    pub late_at: Option<Moment>,
    /// Faults, for the report.
    pub faults: Vec<(Moment, String)>,
}

/// The journal. Clones write to the same one.
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
    /// Time since the start.
    pub fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Changes the records.
    pub fn write<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        change(&mut self.records.borrow_mut())
    }

    /// Looks at the records.
    pub fn read<T>(&self, look: impl FnOnce(&Records) -> T) -> T {
        look(&self.records.borrow())
    }

    /// Notes a broken promise.
    pub fn violation(&self, promise: &'static str, seen: String) {
        self.take_violation(Violation { promise, seen, time_bound: false });
    }

    /// Notes that something took longer than was promised.
    pub fn late(&self, promise: &'static str, seen: String) {
        self.take_violation(Violation { promise, seen, time_bound: true });
    }

    /// Notes a broken promise that a check has found.
    pub fn take_violation(&self, violation: Violation) {
        let now = self.now().as_secs_f64();
        eprintln!("{now:>8.3} s  broken: {}: {}", violation.promise, violation.seen);
        self.write(|records| records.violations.push(violation));
    }

    /// Notes that a task of the soak itself was later than is in time.
    pub fn note_lateness(&self) {
        let now = self.now();
        self.write(|records| records.late_at = Some(now));
    }

    /// When a task of the soak itself was last later than is in time.
    pub fn late_at(&self) -> Option<Moment> {
        self.read(|records| records.late_at)
    }

    /// Notes that planned work on `party` begins; returns its number for [`Self::end_planned`].
    pub fn begin_planned(&self, party: Party) -> usize {
        let from = self.now();
        self.write(|records| {
            records.planned.push(Disturbance { party, from, until: None });
            records.planned.len() - 1
        })
    }

    /// Notes that planned work is over.
    pub fn end_planned(&self, number: usize) {
        let now = self.now();
        self.write(|records| records.planned[number].until = Some(now));
    }

    /// Whether planned work on `party` is under way.
    pub fn is_under_planned_work(&self, party: Party) -> bool {
        let under_way = |work: &Disturbance| work.party == party && work.until.is_none();
        self.read(|records| records.planned.iter().any(under_way))
    }

    /// Notes that a fault of `party` begins.
    pub fn begin_disruption(&self, party: Party) {
        let from = self.now();
        self.write(|records| records.disruptions.push(Disturbance { party, from, until: None }));
    }

    /// Notes that the faults of `party` are over.
    pub fn end_disruption(&self, party: Party) {
        let now = self.now();
        self.write(|records| {
            let lasting = |fault: &&mut Disturbance| fault.party == party && fault.until.is_none();
            records.disruptions.iter_mut().filter(lasting).for_each(|fault| fault.until = Some(now));
        });
    }

    /// Notes that a process woke or a link healed.
    pub fn woke(&self) {
        let now = self.now();
        self.write(|records| records.woken.push(now));
    }

    /// Notes that an item has begun at an engine; returns its number for [`Self::end_item_run`].
    pub fn begin_item_run(&self, item: ItemId, instance: InstanceId) -> usize {
        let from = self.now();
        self.write(|records| {
            records.item_runs.push(ItemRun { item, instance, from, until: None, end: ItemRunEnd::Open });
            records.item_runs.len() - 1
        })
    }

    /// Notes that an item has left its engine, unless it had before.
    pub fn end_item_run(&self, number: usize, end: ItemRunEnd) {
        let now = self.now();
        self.write(|records| end_if_open(&mut records.item_runs[number], now, end));
    }

    /// Notes that an engine has ended, with the items that were there.
    pub fn engine_ended(&self, instance: &InstanceId) {
        let now = self.now();
        self.write(|records| {
            let there = records.item_runs.iter_mut().filter(|run| run.instance == *instance);
            there.for_each(|run| end_if_open(run, now, ItemRunEnd::EngineEnded));
        });
    }

    /// Notes a fault.
    pub fn fault(&self, what: String) {
        let now = self.now();
        println!("{:>8.3} s  {what}", now.as_secs_f64());
        self.write(|records| records.faults.push((now, what)));
    }
}
