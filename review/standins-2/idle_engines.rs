//! A trainer that allows only the newest version: while items wait, the engines that are one version behind get no order,
//! although they can't serve these items. One of the engines that have the version is lost for good.

use crate::Verdict;
use crate::deployment::{Deployment, MODEL};
use crate::platform::operator::{self, config};
use crate::platform::trainer::{self, Item, Listed};
use crate::record::{Record, now_ms};
use crate::runs::runs;
use crate::steps::{ENGINES, EVENT_MS, SLOTS, STEP_DEADLINE_MS, Times, judge, whole_groups};

const GROUPS: usize = 16;
/// The trainer waits for 90 in 100 of its groups, as on the sheets.
const WANTED_GROUPS: usize = 14;
const ITEMS_PER_GROUP: usize = 4;
const EVENTS: u64 = 40;
const JOB: &str = "step-2";

fn items() -> Vec<Item> {
    let item = |group: usize, index: usize| {
        let id = format!("item-{group}-{index}");
        Item { group: format!("group-{group}"), body: format!("events={EVENTS} of={id}"), id }
    };
    (0..GROUPS).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let items = items();
    let mut deployment = Deployment::new(record.clone());
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(false, SLOTS))?;
    operator::name_version(&deployment, 2)?;
    let named_at = now_ms();
    trainer::submit(&deployment, JOB, MODEL, 2, WANTED_GROUPS, &items)?;
    let handed_in_at = now_ms();
    let mut listed: Vec<Listed> = Vec::new();
    let mut killed_at = None;
    while now_ms() < handed_in_at + STEP_DEADLINE_MS && whole_groups(&items, &listed) < WANTED_GROUPS {
        listed.extend(trainer::read(&deployment, JOB, listed.len())?);
        if trouble && killed_at.is_none() {
            killed_at = lose_engine(&mut deployment);
        }
    }
    let ended_at = now_ms();
    let lines = record.lines();
    trainer::end(&deployment, JOB)?;
    if trouble && killed_at.is_none() {
        return Err("no engine was full of items".to_string());
    }
    if listed.iter().any(|result| result.state != "completed") {
        return Ok(Verdict::Broken("an item was aborted before its time".to_string()));
    }
    if whole_groups(&items, &listed) >= WANTED_GROUPS {
        return Ok(Verdict::Held);
    }
    let engines = ENGINES - usize::from(killed_at.is_some());
    let times = Times { named_at, handed_in_at, disturbed_at: killed_at.unwrap_or(0), ended_at, engines };
    Ok(judge(&items, &runs(&lines), &listed, &times))
}

/// Kills the first engine whose slots are full. It is not started again.
fn lose_engine(deployment: &mut Deployment) -> Option<u64> {
    let all = runs(&deployment.record.lines());
    let count = |name: &str| all.iter().filter(|run| run.engine == name && run.ended.is_none()).count();
    let name = (0..ENGINES).map(|index| format!("engine-{index}")).find(|name| count(name) == SLOTS as usize)?;
    deployment.processes.remove(&name)?.kill();
    deployment.record.note(&name, "killed", &[]);
    Some(now_ms())
}
