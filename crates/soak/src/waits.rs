//! How long accepted items are at no engine while engines have room, from what the soak's engines and trainer see.

use crate::engine::Engine;
use crate::journal::{EnginesSeen, ItemRun, ItemRunEnd, JobSeen, Journal, Moment, Records};
use crate::links::{Links, Party};
use crate::workload::SLOTS;
use saddlerelay_types::job::{ItemId, JobId};
use saddlerelay_types::suspicion::MOST_ENGINES_ENDED;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// An accepted item may be at no engine for so long in a steady state: the users' bound.
pub const ITEM_WAIT_BOUND: Duration = Duration::from_secs(5);

/// The state is steady when nothing has been disturbed for so long: the time within which everyone has heard of a change.
pub const CALM_TIME: Duration = crate::checks::CONTACT_TIME;

/// A group has a leader when it has acknowledged a change within this time; operators change the routing every 2.5 s or
/// sooner.
const LEADER_WINDOW: Duration = Duration::from_secs(3);

/// Pause between looks at the engines: a hundredth of the bound.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The longest time for which an item was at no engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemWait {
    /// The item.
    pub item: ItemId,
    /// Its job.
    pub job: JobId,
    /// How long, in one piece, while the state was steady and engines that could take it were less than half full.
    pub steady: Duration,
    /// When that was over.
    pub until: Moment,
    /// Engines that had ended under it by then.
    pub engines_ended: usize,
}

impl fmt::Display for ItemWait {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (item, waited, until) = (&self.item.0, self.steady.as_millis(), self.until.as_secs_f64());
        write!(
            formatter,
            "{item} at no engine for {waited} ms until {until:.3} s, ended under by {}",
            self.engines_ended
        )
    }
}

/// Writes down, again and again, what the engines are that run the model.
pub async fn watch_engines(engines: Vec<Engine>, links: Links, journal: Journal) {
    loop {
        let hosts = engines.iter().filter(|engine| engine.hosts_model());
        let seen = hosts.map(|engine| engine.seen(!links.is_down(Party::Engine(engine.number())))).collect();
        let seen = EnginesSeen { at: journal.now(), engines: seen };
        journal.write(|records| records.engines_seen.push(seen));
        compio::time::sleep(LOOK_PAUSE).await;
    }
}

/// The longest wait of each item that waited, the longest first.
pub fn longest_waits(records: &Records) -> Vec<ItemWait> {
    let looks: Vec<Look> = records.engines_seen.iter().map(|seen| Look::new(records, seen)).collect();
    let mut runs: BTreeMap<&ItemId, Vec<&ItemRun>> = BTreeMap::new();
    for run in &records.item_runs {
        runs.entry(&run.item).or_default().push(run);
    }
    let mut waits = Vec::new();
    for (job, seen) in &records.jobs {
        let open: Vec<&Look> = looks.iter().filter(|look| is_open(seen, look.at)).collect();
        let room: Vec<bool> = open.iter().map(|look| look.has_room(seen.minimum_version)).collect();
        for item in seen.items.keys() {
            let runs = runs.get(item).map(Vec::as_slice).unwrap_or_default();
            waits.extend(longest_wait(job, item, runs, &open, &room));
        }
    }
    waits.sort_by_key(|wait| std::cmp::Reverse(wait.steady));
    waits
}

/// Whether a job is accepted at `at`, and its end not asked for.
fn is_open(seen: &JobSeen, at: Moment) -> bool {
    seen.acknowledged_at.is_some_and(|accepted| accepted <= at) && seen.end_asked_at.is_none_or(|end| at < end)
}

fn longest_wait(job: &JobId, item: &ItemId, runs: &[&ItemRun], looks: &[&Look], room: &[bool]) -> Option<ItemWait> {
    let mut longest: Option<ItemWait> = None;
    let mut since: Option<Moment> = None;
    for (look, has_room) in looks.iter().zip(room) {
        let state = ItemState::at(runs, look.at);
        if state.is_settled {
            break;
        }
        if !has_room || !look.is_steady || state.is_at_engine {
            since = None;
            continue;
        }
        let steady = look.at - *since.get_or_insert(look.at);
        if !steady.is_zero() && longest.as_ref().is_none_or(|longest| longest.steady < steady) {
            let (item, job) = (item.clone(), job.clone());
            longest = Some(ItemWait { item, job, steady, until: look.at, engines_ended: state.engines_ended });
        }
    }
    longest
}

/// What engines have done with an item.
struct ItemState {
    /// An engine has finished or failed it, or so many have ended under it that it is held back on purpose.
    is_settled: bool,
    is_at_engine: bool,
    engines_ended: usize,
}

impl ItemState {
    fn at(runs: &[&ItemRun], at: Moment) -> Self {
        let begun = || runs.iter().filter(|run| run.from <= at);
        let left = || begun().filter(|run| run.until.is_some_and(|until| until <= at));
        let done = left().any(|run| matches!(run.end, ItemRunEnd::Finished | ItemRunEnd::Failed));
        let ended = left().filter(|run| run.end == ItemRunEnd::EngineEnded);
        let engines_ended = ended.map(|run| &run.instance).collect::<BTreeSet<_>>().len();
        Self {
            is_settled: done || engines_ended >= MOST_ENGINES_ENDED,
            is_at_engine: begun().any(|run| run.until.is_none_or(|until| at < until)),
            engines_ended,
        }
    }
}

/// A look at the engines.
struct Look<'a> {
    at: Moment,
    is_steady: bool,
    seen: &'a EnginesSeen,
    /// Engines that nothing has harmed lately.
    unharmed: BTreeSet<u8>,
}

impl<'a> Look<'a> {
    fn new(records: &Records, seen: &'a EnginesSeen) -> Self {
        let numbers = seen.engines.iter().map(|engine| engine.number);
        let is_unharmed = |number: &u8| !is_disturbed(records, seen.at, |party| party == Party::Engine(*number));
        let is_steady = has_leader(records, seen.at)
            && !records.woken.iter().chain(&records.versions_named).any(|at| is_recent(*at, seen.at))
            && !is_disturbed(records, seen.at, |party| matches!(party, Party::Coordinator(_)));
        Self { at: seen.at, is_steady, seen, unharmed: numbers.filter(is_unharmed).collect() }
    }

    /// Whether engines that can take an item, which must not be older than `version`, are less than half full.
    fn has_room(&self, version: u64) -> bool {
        let can_take =
            self.seen.engines.iter().filter(|engine| {
                engine.takes_items && engine.version >= version && self.unharmed.contains(&engine.number)
            });
        let (engines, running) = can_take.fold((0, 0), |(count, sum), engine| (count + 1, sum + engine.running));
        2 * running < engines * SLOTS
    }
}

fn is_recent(event: Moment, at: Moment) -> bool {
    event <= at && at <= event + CALM_TIME
}

fn has_leader(records: &Records, at: Moment) -> bool {
    let acknowledged = records.documents.iter().filter_map(|document| document.acknowledged_at);
    acknowledged.into_iter().any(|acknowledged| acknowledged <= at && at <= acknowledged + LEADER_WINDOW)
}

/// Whether a fault of such a party, or planned work there, is under way or ended lately.
fn is_disturbed(records: &Records, at: Moment, concerns: impl Fn(Party) -> bool) -> bool {
    let mut disturbances = records.disruptions.iter().chain(&records.planned);
    disturbances.any(|disturbance| {
        concerns(disturbance.party)
            && disturbance.from <= at
            && disturbance.until.is_none_or(|until| at <= until + CALM_TIME)
    })
}
