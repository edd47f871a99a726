//! A trainer that allows only the newest version: while items wait, the engines that are one version behind get no order,
//! although they can't serve these items. One of the engines that have the version is lost for good.

use crate::Verdict;
use crate::deployment::{Deployment, MODEL};
use crate::platform::operator::{self, config};
use crate::platform::trainer::{self, Item, Listed};
use crate::record::{Record, now_ms};
use crate::runs::{Run, runs};
use crate::steps::{ENGINES, EVENT_MS, SLOTS, STEP_DEADLINE_MS, Times, judge, whole_groups};
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

const GROUPS: usize = 16;
/// The trainer waits for 90 in 100 of its groups, as on the sheets.
const WANTED_GROUPS: usize = 14;
const ITEMS_PER_GROUP: usize = 4;
const EVENTS: u64 = 40;
const JOB: &str = "step-2";
/// A leader that plans just after it has checked for due orders lets two more engines load. The play then begins anew.
const SETUPS: usize = 5;
/// Time that an engine has been full when it is lost; by then, orders that were due before have been given.
const SETTLE_MS: u64 = 400;
/// Engines that load a version at the same time.
const LOADING: usize = 2;
/// Time in which the last lines of a play that begins anew arrive.
const LAST_LINES: Duration = Duration::from_millis(300);

fn items() -> Vec<Item> {
    let item = |group: usize, index: usize| {
        let id = format!("item-{group}-{index}");
        Item { group: format!("group-{group}"), body: format!("events={EVENTS} of={id}"), id }
    };
    (0..GROUPS).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    for _ in 0..SETUPS {
        if let Some(verdict) = play_once(record, trouble)? {
            return Ok(verdict);
        }
        thread::sleep(LAST_LINES);
        record.clear();
    }
    Err("more engines than the first got the version each time".to_string())
}

/// Returns `None` if more engines than the first got an order before one was to be lost.
fn play_once(record: &Record, trouble: bool) -> Result<Option<Verdict>, String> {
    let items = items();
    let mut deployment = Deployment::new(record.clone(), &[MODEL]);
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(false, SLOTS, &[MODEL]))?;
    operator::name_version(&deployment, MODEL, 2)?;
    let named_at = now_ms();
    trainer::submit(&deployment, JOB, MODEL, 2, WANTED_GROUPS, &items)?;
    let handed_in_at = now_ms();
    let mut listed: Vec<Listed> = Vec::new();
    let (mut killed_at, mut is_settled) = (None, false);
    while now_ms() < handed_in_at + STEP_DEADLINE_MS && whole_groups(&items, &listed) < WANTED_GROUPS {
        listed.extend(trainer::read(&deployment, JOB, listed.len())?);
        let Some(engine) = full_engine(&deployment).filter(|_| !is_settled) else {
            continue;
        };
        is_settled = true;
        if engines_ordered(&deployment) > LOADING {
            return Ok(None);
        }
        if trouble {
            deployment.processes.remove(&engine).ok_or("the engine is not running")?.kill();
            deployment.record.note(&engine, "killed", &[]);
            killed_at = Some(now_ms());
        }
    }
    let ended_at = now_ms();
    let lines = record.lines();
    trainer::end(&deployment, JOB)?;
    if trouble && killed_at.is_none() {
        return Err("no engine was full of items".to_string());
    }
    if listed.iter().any(|result| result.state != "completed") {
        return Ok(Some(Verdict::Broken("an item was aborted before its time".to_string())));
    }
    if whole_groups(&items, &listed) >= WANTED_GROUPS {
        return Ok(Some(Verdict::Held));
    }
    let engines = ENGINES - usize::from(killed_at.is_some());
    let times = Times { named_at, handed_in_at, disturbed_at: killed_at.unwrap_or(0), ended_at, engines };
    Ok(Some(judge(&items, &runs(&lines), &listed, &times)))
}

/// The first engine whose slots have been full for a while. It is killed and not started again.
fn full_engine(deployment: &Deployment) -> Option<String> {
    let all = runs(&deployment.record.lines());
    let settled = |run: &&Run| run.ended.is_none() && now_ms() >= run.began_at + SETTLE_MS;
    let count = |name: &str| all.iter().filter(settled).filter(|run| run.engine == name).count();
    (0..ENGINES).map(|index| format!("engine-{index}")).find(|name| count(name) == SLOTS as usize)
}

/// Engines that have taken an order.
fn engines_ordered(deployment: &Deployment) -> usize {
    let lines = deployment.record.lines();
    let taken = lines.iter().filter(|line| line.what == "order" && line.field("answer") == "202");
    taken.map(|line| line.who.as_str()).collect::<BTreeSet<&str>>().len()
}
