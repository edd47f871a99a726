//! Computes how long accepted items are not at an engine while engines have capacity.

use crate::engine::Engine;
use crate::journal::{EnginesSample, ItemRun, ItemRunEnd, JobRecord, Journal, Moment, Records};
use crate::links::{Links, Party};
use crate::workload::SLOTS;
use saddlerelay_types::job::{ItemId, JobId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Maximum time for which an accepted item may be at no engine in a steady state with free engine capacity.
pub const ITEM_WAIT_BOUND: Duration = Duration::from_secs(5);

/// Time without faults and planned work after which the state counts as steady.
pub const QUIET_PERIOD: Duration = crate::checks::PROPAGATION_BOUND;

/// The group counts as having a leader for this time after a change is acknowledged; operators change the routing at
/// least every 2.5 s.
const LEADER_WINDOW: Duration = Duration::from_secs(3);

/// Interval between samples of the engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The longest uninterrupted time for which an item was at no engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemWait {
    /// Item id.
    pub item: ItemId,
    /// Job id.
    pub job: JobId,
    /// Duration in a steady state, with the engines eligible for the item less than half full.
    pub waited: Duration,
    /// End of the wait.
    pub until: Moment,
    /// Number of engines that the item had crashed by then.
    pub engines_terminated: usize,
}

impl fmt::Display for ItemWait {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (item, waited, until) = (&self.item.0, self.waited.as_millis(), self.until.as_secs_f64());
        write!(
            formatter,
            "{item} at no engine for {waited} ms until {until:.3} s, ended under by {}",
            self.engines_terminated
        )
    }
}

/// Periodically records the state of the engines that run the model.
pub async fn watch_engines(engines: Vec<Engine>, links: Links, journal: Journal) {
    loop {
        let model_engines = engines.iter().filter(|engine| engine.hosts_model());
        let samples =
            model_engines.map(|engine| engine.sample(!links.is_down(Party::Engine(engine.number())))).collect();
        let observed = EnginesSample { at: journal.now(), engines: samples };
        journal.write(|records| records.engine_samples.push(observed));
        compio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// The longest wait of each item that waited, in descending order.
pub fn longest_waits(records: &Records) -> Vec<ItemWait> {
    let samples: Vec<Sample> = records.engine_samples.iter().map(|observed| Sample::new(records, observed)).collect();
    let mut runs: BTreeMap<&ItemId, Vec<&ItemRun>> = BTreeMap::new();
    for run in &records.item_runs {
        runs.entry(&run.item).or_default().push(run);
    }
    let mut waits = Vec::new();
    for (job, record) in &records.jobs {
        let open_samples: Vec<&Sample> = samples.iter().filter(|sample| is_open(record, sample.at)).collect();
        let below_half_load_at: Vec<bool> =
            open_samples.iter().map(|sample| sample.is_below_half_load(record.minimum_version)).collect();
        for item in record.items.keys() {
            let runs = runs.get(item).map(Vec::as_slice).unwrap_or_default();
            waits.extend(longest_wait(job, item, runs, &open_samples, &below_half_load_at));
        }
    }
    waits.sort_by_key(|wait| std::cmp::Reverse(wait.waited));
    waits
}

/// Whether a job is accepted and its cancellation not yet requested at `at`.
fn is_open(record: &JobRecord, at: Moment) -> bool {
    record.acknowledged_at.is_some_and(|accepted| accepted <= at) && record.end_requested_at.is_none_or(|end| at < end)
}

fn longest_wait(
    job: &JobId,
    item: &ItemId,
    runs: &[&ItemRun],
    samples: &[&Sample],
    below_half_load_at: &[bool],
) -> Option<ItemWait> {
    let mut longest: Option<ItemWait> = None;
    let mut since: Option<Moment> = None;
    for (sample, is_below_half_load) in samples.iter().zip(below_half_load_at) {
        let state = ItemState::at(runs, sample.at);
        if state.is_done {
            break;
        }
        if !is_below_half_load || !sample.is_steady || state.is_at_engine {
            since = None;
            continue;
        }
        let waited = sample.at - *since.get_or_insert(sample.at);
        if !waited.is_zero() && longest.as_ref().is_none_or(|longest| longest.waited < waited) {
            let (item, job) = (item.clone(), job.clone());
            longest =
                Some(ItemWait { item, job, waited, until: sample.at, engines_terminated: state.engines_terminated });
        }
    }
    longest
}

/// State of an item, derived from its executions.
struct ItemState {
    /// Finished, or failed by an engine.
    is_done: bool,
    is_at_engine: bool,
    engines_terminated: usize,
}

impl ItemState {
    fn at(runs: &[&ItemRun], at: Moment) -> Self {
        let started_runs = || runs.iter().filter(|run| run.from <= at);
        let ended_runs = || started_runs().filter(|run| run.until.is_some_and(|until| until <= at));
        let done = ended_runs().any(|run| matches!(run.end, ItemRunEnd::Finished | ItemRunEnd::Failed));
        let ended = ended_runs().filter(|run| run.end == ItemRunEnd::EngineEnded);
        let engines_terminated = ended.map(|run| &run.instance).collect::<BTreeSet<_>>().len();
        Self {
            is_done: done,
            is_at_engine: started_runs().any(|run| run.until.is_none_or(|until| at < until)),
            engines_terminated,
        }
    }
}

/// A sample of the engines, with the disturbances at that time.
struct Sample<'a> {
    at: Moment,
    is_steady: bool,
    observed: &'a EnginesSample,
    /// Engines without a recent fault.
    healthy: BTreeSet<u8>,
}

impl<'a> Sample<'a> {
    fn new(records: &Records, observed: &'a EnginesSample) -> Self {
        let engine_numbers = observed.engines.iter().map(|engine| engine.number);
        let is_healthy = |number: &u8| !is_disturbed(records, observed.at, |party| party == Party::Engine(*number));
        let is_steady = has_leader(records, observed.at)
            && !records.resumptions.iter().chain(&records.versions_published).any(|at| is_recent(*at, observed.at))
            && !is_disturbed(records, observed.at, |party| matches!(party, Party::Coordinator(_)));
        Self { at: observed.at, is_steady, observed, healthy: engine_numbers.filter(is_healthy).collect() }
    }

    /// Whether the engines eligible for an item with this minimum version are less than half full.
    fn is_below_half_load(&self, version: u64) -> bool {
        let eligible = self.observed.engines.iter().filter(|engine| {
            engine.accepts_items && engine.version >= version && self.healthy.contains(&engine.number)
        });
        let (engines, running) = eligible.fold((0, 0), |(count, sum), engine| (count + 1, sum + engine.running));
        2 * running < engines * SLOTS
    }
}

fn is_recent(event: Moment, at: Moment) -> bool {
    event <= at && at <= event + QUIET_PERIOD
}

fn has_leader(records: &Records, at: Moment) -> bool {
    let acknowledged = records.documents.iter().filter_map(|document| document.acknowledged_at);
    acknowledged.into_iter().any(|acknowledged| acknowledged <= at && at <= acknowledged + LEADER_WINDOW)
}

/// Whether a fault or planned work of a matching party is in progress or ended recently.
fn is_disturbed(records: &Records, at: Moment, concerns: impl Fn(Party) -> bool) -> bool {
    let mut disturbances = records.fault_intervals.iter().chain(&records.planned_work);
    disturbances.any(|disturbance| {
        concerns(disturbance.party)
            && disturbance.from <= at
            && disturbance.until.is_none_or(|until| at <= until + QUIET_PERIOD)
    })
}
