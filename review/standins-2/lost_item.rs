//! A route with `single_version`: an item runs under the older version at the last engine that has it, and its run is ended
//! by a planned stop of the store machine that leads, or by the loss of the engine.

use crate::Verdict;
use crate::deployment::{Deployment, MODEL};
use crate::platform::operator::{self, config};
use crate::platform::trainer::{self, Item, Listed};
use crate::record::{Record, now_ms};
use crate::runs::{runs, version_of};
use crate::steps::{ENGINES, EVENT_MS, SLOTS, STEP_DEADLINE_MS, Times, judge};

const GROUPS: usize = 4;
const ITEMS_PER_GROUP: usize = 4;
const JOB: &str = "step-2";
const LONG_ITEM: &str = "item-0-0";
const LONG_EVENTS: u64 = 120;
const SHORT_EVENTS: u64 = 12;

/// What ends the run of the long item.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// The store machine that leads is stopped (SIGTERM) and started again.
    Stop,
    /// The engine is lost for good.
    Engine,
}

fn items() -> Vec<Item> {
    let item = |group: usize, index: usize| {
        let id = format!("item-{group}-{index}");
        let events = if id == LONG_ITEM { LONG_EVENTS } else { SHORT_EVENTS };
        Item { group: format!("group-{group}"), body: format!("events={events} of={id}"), id }
    };
    (0..GROUPS).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
}

pub fn play(record: &Record, trouble: Trouble) -> Result<Verdict, String> {
    let items = items();
    let mut deployment = Deployment::new(record.clone(), &[MODEL]);
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(true, SLOTS, &[MODEL]))?;
    operator::name_version(&deployment, MODEL, 2)?;
    let named_at = now_ms();
    trainer::submit(&deployment, JOB, MODEL, 1, GROUPS, &items)?;
    let handed_in_at = now_ms();
    let mut listed: Vec<Listed> = Vec::new();
    let mut disturbed_at = None;
    while now_ms() < handed_in_at + STEP_DEADLINE_MS && listed.len() < items.len() {
        listed.extend(trainer::read(&deployment, JOB, listed.len())?);
        if trouble != Trouble::None && disturbed_at.is_none() {
            disturbed_at = disturb(&mut deployment, trouble);
        }
    }
    let ended_at = now_ms();
    let lines = record.lines();
    trainer::end(&deployment, JOB)?;
    if trouble != Trouble::None && disturbed_at.is_none() {
        return Err("no engine ran the long item alone under the older version".to_string());
    }
    if listed.iter().any(|result| result.state != "completed") {
        return Ok(Verdict::Broken("an item was aborted before its time".to_string()));
    }
    if listed.len() == items.len() {
        return Ok(Verdict::Held);
    }
    let engines = ENGINES - usize::from(trouble == Trouble::Engine);
    let times = Times { named_at, handed_in_at, disturbed_at: disturbed_at.unwrap_or(0), ended_at, engines };
    Ok(judge(&items, &runs(&lines), &listed, &times))
}

/// Brings the trouble about once the engine of the long item alone has the older version. Returns when it was over.
fn disturb(deployment: &mut Deployment, trouble: Trouble) -> Option<u64> {
    let lines = deployment.record.lines();
    let all = runs(&lines);
    let run = all.iter().find(|run| run.item == LONG_ITEM && run.ended.is_none())?;
    let mut others = (0..ENGINES).map(|index| format!("engine-{index}")).filter(|name| *name != run.engine);
    if run.version != 1 || run.events < 10 || others.any(|name| version_of(&lines, &name) != 2) {
        return None;
    }
    if trouble == Trouble::Engine {
        deployment.processes.remove(&run.engine)?.kill();
        deployment.record.note(&run.engine, "killed", &[("events", run.events.to_string())]);
        return Some(now_ms());
    }
    let leader = deployment.leader();
    let index = leader.strip_prefix("store-")?.parse().ok()?;
    let mut process = deployment.processes.remove(&leader)?;
    deployment.record.note(&leader, "terminated", &[("events", run.events.to_string())]);
    process.terminate();
    process.wait();
    deployment.start_store(index);
    Some(now_ms())
}
