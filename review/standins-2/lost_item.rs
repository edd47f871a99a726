//! A route with `single_version`: an engine is lost for good while it runs an item under the older version, and all
//! other engines have the newer one by then.

use crate::Verdict;
use crate::deployment::{Deployment, HOST, MODEL, SERVICE, ZONES};
use crate::record::{Record, now_ms};
use crate::runs::{Run, runs, version_of};
use crate::trainer::{self, Item, Listed};
use std::time::Duration;

const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const EVENT_MS: u64 = 50;
const GROUPS: usize = 4;
const ITEMS_PER_GROUP: usize = 4;
const JOB: &str = "step-2";
const LONG_ITEM: &str = "item-0-0";
const LONG_EVENTS: u64 = 120;
const SHORT_EVENTS: u64 = 12;

/// The trainer gives the step up this long after it handed it in, as on the sheets.
const STEP_DEADLINE_MS: u64 = 12_000;
/// `contact_ms`: so long after the loss of the engine no time counts as steady here.
const CONTACT_MS: u64 = 3_000;
/// An item that has been at no engine for so long is lost.
const AT_NO_ENGINE_MS: u64 = 5_000;
/// No version may have been named within this time before the end of the step.
const NAMED_MS: u64 = 6_000;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"rollouts","host":"{HOST}","path_prefix":"/rollouts/","kind":"rollout","timeout_ms":10000,"slo_ms":400,"priority":1,"service":"{SERVICE}","max_attempts":3,"max_queue_s":40.0,"run_target_ms":7500,"single_version":true,"sticky":true,"resumable":true}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":170,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kv_capacity":90000,"kv_token_bytes":163840,"link_mbps":4400000.0,"backups":true,"stride":58,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn items() -> Vec<Item> {
    let item = |group: usize, index: usize| {
        let id = format!("item-{group}-{index}");
        let events = if id == LONG_ITEM { LONG_EVENTS } else { SHORT_EVENTS };
        Item { group: format!("group-{group}"), body: format!("events={events} of={id}"), id }
    };
    (0..GROUPS).flat_map(|group| (0..ITEMS_PER_GROUP).map(move |index| item(group, index))).collect()
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record.clone());
    record.note("case", "zones", &[("names", ZONES.join(","))]);
    deployment.start(ENGINES, SLOTS, EVENT_MS, &config())?;
    let named = format!(r#"{{"model":"{MODEL}","version":2}}"#);
    deployment.operator("POST", "/version-put", named.as_bytes(), Duration::from_secs(10))?;
    let named_at = now_ms();
    trainer::submit(&deployment, JOB, MODEL, 1, GROUPS, &items())?;
    let deadline = now_ms() + STEP_DEADLINE_MS;
    let mut listed: Vec<Listed> = Vec::new();
    let mut killed_at = None;
    while now_ms() < deadline && listed.len() < GROUPS * ITEMS_PER_GROUP {
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
    if listed.len() == GROUPS * ITEMS_PER_GROUP {
        return Ok(Verdict::Held);
    }
    Ok(judge(&runs(&lines), &listed, named_at, killed_at.unwrap_or(0), ended_at))
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

/// The rule LOST for the items of a step that ran out of time.
fn judge(all: &[Run], listed: &[Listed], named_at: u64, killed_at: u64, ended_at: u64) -> Verdict {
    let running = all.iter().filter(|run| run.ended.is_none()).count();
    let is_full = running * 2 >= (ENGINES - 1) * SLOTS as usize;
    if is_full || ended_at < named_at + NAMED_MS {
        return Verdict::Held;
    }
    for item in items().iter().filter(|item| listed.iter().all(|result| result.id != item.id)) {
        let own: Vec<&Run> = all.iter().filter(|run| run.item == item.id).collect();
        let has_ended = |run: &&Run| {
            let how = run.ended.as_ref().map_or("", |(_, how)| how.as_str());
            how == "whole" || how.starts_with("failed")
        };
        if own.iter().any(has_ended) || own.iter().any(|run| run.ended.is_none()) {
            continue;
        }
        let others_began = all.iter().any(|run| run.item != item.id);
        let last_end = own.iter().filter_map(|run| run.ended.as_ref().map(|(at, _)| *at)).max().unwrap_or(0);
        let steady_from = last_end.max(killed_at + CONTACT_MS);
        if others_began && ended_at >= steady_from + AT_NO_ENGINE_MS {
            let rested = ended_at - last_end;
            return Verdict::Broken(format!(
                "LOST: {} was at no engine for the last {rested} ms of its step, {} ms of them steady; {running} runs under way",
                item.id,
                ended_at - steady_from
            ));
        }
    }
    Verdict::Held
}
