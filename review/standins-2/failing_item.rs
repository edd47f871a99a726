//! An item that fails at each run, while the store machine that leads is stopped and started several times.

use crate::Verdict;
use crate::deployment::{Deployment, MODEL};
use crate::platform::operator::config;
use crate::platform::trainer::{self, Item, Listed};
use crate::record::{Line, Record, now_ms};
use crate::steps::CONTACT_MS;

const JOB: &str = "step-1";
const GROUPS: usize = 30;
const ITEMS_PER_GROUP: usize = 4;
const ENGINES: usize = 3;
const SLOTS: u32 = 4;
const EVENT_MS: u64 = 100;
/// Events of the items that do not fail: 3 s at an engine.
const EVENTS: u64 = 30;
const FAILING_ITEM: &str = "item-0-0";
/// The engine answers 500 so long after it has begun the item.
const FAILS_AFTER_MS: u64 = 1_200;
/// `max_attempts` of the route.
const MAX_ATTEMPTS: usize = 3;
/// Planned stops of the leading store machine, one after the other.
const STOPS: usize = 4;
/// Answers of 500 between two stops, and the time from the last of them to the stop.
const ANSWERS_PER_STOP: usize = 2;
const STOP_DELAY_MS: u64 = 1_000;
/// `max_queue_s` of the route: by then the item is given up.
const TIME_LIMIT_MS: u64 = 40_000;

fn items() -> Vec<Item> {
    let item = |group: usize, index: usize| {
        let id = format!("item-{group}-{index}");
        let is_failing = id == FAILING_ITEM;
        let body = if is_failing { format!("fail=500 after_ms={FAILS_AFTER_MS}") } else { format!("events={EVENTS}") };
        Item { id, group: format!("group-{group}"), body }
    };
    (0..GROUPS).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
}

/// When the engines answered the item with 500.
fn answers(lines: &[Line]) -> Vec<u64> {
    let is_answer =
        |line: &&Line| line.what == "end" && line.field("item") == FAILING_ITEM && line.field("how") == "failed-500";
    lines.iter().filter(is_answer).map(|line| line.at_ms).collect()
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let items = items();
    let mut deployment = Deployment::new(record.clone(), &[MODEL]);
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config(false, SLOTS, &[MODEL]))?;
    trainer::submit(&deployment, JOB, MODEL, 1, GROUPS, &items)?;
    let handed_in_at = now_ms();
    let mut listed: Vec<Listed> = Vec::new();
    let (mut stops, mut disturbed_at) = (0, 0);
    while now_ms() < handed_in_at + TIME_LIMIT_MS && listed.iter().all(|result| result.id != FAILING_ITEM) {
        listed.extend(trainer::read(&deployment, JOB, listed.len())?);
        let answers = answers(&record.lines());
        let is_due = answers.len() >= ANSWERS_PER_STOP * (stops + 1)
            && answers.last().is_some_and(|last| now_ms() >= last + STOP_DELAY_MS);
        if trouble && stops < STOPS && is_due {
            stop_leader(&mut deployment)?;
            stops += 1;
            disturbed_at = now_ms();
        }
    }
    let lines = record.lines();
    trainer::end(&deployment, JOB)?;
    if trouble && stops < STOPS {
        return Err(format!("the leader was stopped only {stops} times before the item had ended"));
    }
    if listed.iter().any(|result| result.id != FAILING_ITEM && result.state != "completed") {
        return Err("an item that does not fail was aborted".to_string());
    }
    Ok(judge(&lines, disturbed_at))
}

/// BUDGET: no run begins after three times `max_attempts` answers of 500. Only runs that begin `contact_ms` or more after the
/// last stop and start count, as all machines are in touch then.
fn judge(lines: &[Line], disturbed_at: u64) -> Verdict {
    let answers = answers(lines);
    let Some(last_allowed) = answers.get(3 * MAX_ATTEMPTS - 1) else {
        return Verdict::Held;
    };
    let last_allowed = (*last_allowed).max(disturbed_at + CONTACT_MS);
    let is_late =
        |line: &&Line| line.what == "begin" && line.field("item") == FAILING_ITEM && line.at_ms > last_allowed;
    let late = lines.iter().filter(is_late).count();
    if late == 0 {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "BUDGET: {FAILING_ITEM} reached an engine from a machine in touch {late} times more after {} answers of 500; {} in all",
        3 * MAX_ATTEMPTS,
        answers.len()
    ))
}

/// Stops the leading store machine (SIGTERM), waits for its end and starts it again.
fn stop_leader(deployment: &mut Deployment) -> Result<(), String> {
    let leader = deployment.leader();
    let index = leader.strip_prefix("store-").and_then(|index| index.parse().ok()).ok_or("no leader is known")?;
    let mut process = deployment.processes.remove(&leader).ok_or("the leader is not running")?;
    deployment.record.note(&leader, "terminated", &[]);
    process.terminate();
    process.wait();
    deployment.start_store(index);
    Ok(())
}
