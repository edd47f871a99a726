//! A route with `single_version`: an engine is lost for good while it runs an item under the older version, and all
//! other engines have the newer one by then.

use crate::Verdict;
use crate::deployment::{Deployment, MODEL};
use crate::record::{Record, now_ms};
use crate::runs::{runs, version_of};
use crate::steps::{ENGINES, EVENT_MS, SLOTS, STEP_DEADLINE_MS, config, judge};
use crate::trainer::{self, Item, Listed};
use std::time::Duration;

const GROUPS: usize = 4;
const ITEMS_PER_GROUP: usize = 4;
const JOB: &str = "step-2";
const LONG_ITEM: &str = "item-0-0";
const LONG_EVENTS: u64 = 120;
const SHORT_EVENTS: u64 = 12;

fn items() -> Vec<Item> {
    let item = |group: usize, index: usize| {
        let id = format!("item-{group}-{index}");
        let events = if id == LONG_ITEM { LONG_EVENTS } else { SHORT_EVENTS };
        Item { group: format!("group-{group}"), body: format!("events={events} of={id}"), id }
    };
    (0..GROUPS).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let items = items();
    let mut deployment = Deployment::new(record.clone());
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(true))?;
    let named = format!(r#"{{"model":"{MODEL}","version":2}}"#);
    deployment.operator("POST", "/version-put", named.as_bytes(), Duration::from_secs(10))?;
    let named_at = now_ms();
    trainer::submit(&deployment, JOB, MODEL, 1, GROUPS, &items)?;
    let handed_in_at = now_ms();
    let mut listed: Vec<Listed> = Vec::new();
    let mut killed_at = None;
    while now_ms() < handed_in_at + STEP_DEADLINE_MS && listed.len() < items.len() {
        listed.extend(trainer::read(&deployment, JOB, listed.len())?);
        if trouble && killed_at.is_none() {
            killed_at = lose_engine(&mut deployment);
        }
    }
    let ended_at = now_ms();
    let lines = record.lines();
    trainer::end(&deployment, JOB)?;
    if trouble && killed_at.is_none() {
        return Err("no engine ran the long item alone under the older version".to_string());
    }
    if listed.iter().any(|result| result.state != "completed") {
        return Ok(Verdict::Broken("an item was aborted before its time".to_string()));
    }
    if listed.len() == items.len() {
        return Ok(Verdict::Held);
    }
    let (times, killed_at) = ((handed_in_at, named_at), killed_at.unwrap_or(0));
    Ok(judge(&items, &runs(&lines), &listed, times, killed_at, ended_at))
}

/// Kills the engine of the long item, which is not started again, once it alone has the older version.
fn lose_engine(deployment: &mut Deployment) -> Option<u64> {
    let lines = deployment.record.lines();
    let all = runs(&lines);
    let run = all.iter().find(|run| run.item == LONG_ITEM && run.ended.is_none())?;
    let others = (0..ENGINES).map(|index| format!("engine-{index}")).filter(|name| *name != run.engine);
    let is_last = run.version == 1 && run.events >= 10 && others.clone().all(|name| version_of(&lines, &name) == 2);
    if !is_last {
        return None;
    }
    deployment.processes.remove(&run.engine)?.kill();
    deployment.record.note(&run.engine, "killed", &[("events", run.events.to_string())]);
    Some(now_ms())
}
