//! The cases: what is done, and the check of the rule.

use crate::Verdict;
use crate::deployment::{Deployment, ZONES};
use crate::engine::{APPLICATION, Engine, EngineOptions, MODEL, SERVICE};
use crate::http;
use crate::journal::{Journal, Run, RunEnd};
use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const PREFIX: &str = "/pufi791/";
const LOOKUPS: &str = "/lohu930/";

/// Time after which the trainer gives a step up, as in the sheets.
const STEP_DEADLINE: Duration = Duration::from_secs(12);

/// Bounds of the sheets: how long a disruption counts, and how long an item must be at no engine.
const CONTACT: Duration = Duration::from_secs(3);
const LEFT_LYING: Duration = Duration::from_secs(5);

/// The number of a field in a flat JSON object.
pub fn json_number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn run(case: &str, trouble: bool, deployment: &mut Deployment, journal: &Journal) -> Verdict {
    let verdict = match case {
        "crashes" => crashes(trouble, deployment, journal),
        "versions" => versions(trouble, deployment, journal),
        "beats" => beats(trouble, deployment, journal),
        _ => Verdict::NotRun(format!("there is no case `{case}`")),
    };
    let ended = deployment.ended();
    if ended.is_empty() { verdict } else { Verdict::Broken(format!("processes ended by themselves: {ended:?}")) }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn configuration(slots: u32) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-hwrr6x7","host":"{HOST}","path_prefix":"{PREFIX}","kind":"rollout","timeout_ms":10000,"slo_ms":400,"priority":1,"service":"{SERVICE}","max_attempts":3,"max_queue_s":40.0,"run_target_ms":7500,"single_version":false,"sticky":true,"resumable":true}},{{"name":"r-i7yd4a3","host":"{HOST}","path_prefix":"{LOOKUPS}","kind":"idempotent","timeout_ms":2000,"slo_ms":150,"priority":2,"service":"{APPLICATION}","max_attempts":2}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kv_capacity":114759,"kv_token_bytes":163840,"link_mbps":4400000.0,"backups":true,"stride":58,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}}},{{"name":"{APPLICATION}","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Starts engines and waits until each has been acknowledged by every keeper.
fn start_engines(
    deployment: &Deployment,
    journal: &Journal,
    count: usize,
    slots: u32,
    event_time: Duration,
    events: u64,
) -> Result<Vec<Engine>, String> {
    let engine = |number| {
        let options = EngineOptions {
            number,
            address: deployment.engine(number),
            control: deployment.control(),
            zone: ZONES[number % ZONES.len()].to_string(),
            slots,
            event_time,
            events,
            service: if events == 0 { APPLICATION } else { SERVICE },
        };
        Engine::start(options, journal)
    };
    let engines: Vec<Engine> = (0..count).map(engine).collect();
    if !deployment.configure(&configuration(slots), seconds(20.0)) {
        return Err("no configuration was acknowledged".to_string());
    }
    let until = Instant::now() + seconds(20.0);
    while engines.iter().any(|engine| engine.nodes_reached() < deployment.control().len()) {
        if Instant::now() > until {
            return Err("not every keeper took heartbeats of every engine".to_string());
        }
        thread::sleep(seconds(0.05));
    }
    journal.note("every engine has been acknowledged by every keeper");
    // One more round of heartbeats.
    thread::sleep(seconds(4.0));
    Ok(engines)
}

/// A training step: groups of four items.
struct Step {
    id: String,
    items: Vec<String>,
}

const GROUP: usize = 4;

impl Step {
    fn new(number: u64, carried: &[String], groups: usize) -> Self {
        let mut items = carried.to_vec();
        let first = items.len();
        items.extend((first..groups * GROUP).map(|index| format!("{number:04x}{index:012x}")));
        Self { id: format!("{:016x}", 0x7c41_0000 + number), items }
    }

    fn body(&self, number: u64) -> String {
        let item = |id: &String| {
            let group = &id[..id.len() - 1];
            let group = format!("g{group}{}", u64::from_str_radix(&id[id.len() - 4..], 16).unwrap_or(0) / GROUP as u64);
            format!(
                r#"{{"id":"{id}","path":"{PREFIX}3/{id}","headers":{{"X-Saddlerelay-Model":"{MODEL}","X-Saddlerelay-Token-Count":"300,600","X-Saddlerelay-Length-Hint":"500"}},"body":"{}","tokens":900,"group":"{group}"}}"#,
                base64(id.as_bytes())
            )
        };
        let items: Vec<String> = self.items.iter().map(item).collect();
        let wanted = self.items.len() / GROUP * 9 / 10;
        format!(
            r#"{{"step":{number},"model":"{MODEL}","min_version":1,"desired_count":{wanted},"items":[{}]}}"#,
            items.join(",")
        )
    }

    /// Hands the step in; returns when it was first sent.
    fn submit(&self, number: u64, deployment: &Deployment, journal: &Journal) -> Result<Duration, String> {
        let sent_at = journal.now();
        let path = format!("{PREFIX}{}", self.id);
        let headers =
            [("Host", HOST), ("X-Saddlerelay-Request-Id", self.id.as_str()), ("Content-Type", "application/json")];
        for attempt in 0..20 {
            let answer = http::call(
                deployment.front(attempt),
                "POST",
                &path,
                &headers,
                self.body(number).as_bytes(),
                seconds(3.0),
            );
            let status = answer.map_or(0, |answer| answer.status());
            journal.note(&format!("step {number} ({}, {} items) sent: {status}", self.id, self.items.len()));
            if status == 202 {
                return Ok(sent_at);
            }
            thread::sleep(seconds(0.2));
        }
        Err("the step was not accepted".to_string())
    }

    /// The items that are listed.
    fn listed(&self, deployment: &Deployment) -> Option<BTreeSet<String>> {
        let mut listed = BTreeSet::new();
        let mut after = 0;
        for attempt in 0..40 {
            let path = format!("/lots/{}?after={after}", self.id);
            let answer = http::call(deployment.front(attempt), "GET", &path, &[("Host", HOST)], b"", seconds(3.0));
            let Ok(answer) = answer else {
                continue;
            };
            if answer.status() != 200 {
                thread::sleep(seconds(0.1));
                continue;
            }
            let body = String::from_utf8_lossy(&answer.body).to_string();
            let next = json_number(&body, "next_token")?;
            listed
                .extend(body.split("\"id\":\"").skip(1).filter_map(|part| part.split('"').next()).map(str::to_string));
            if next == after {
                return Some(listed);
            }
            after = next;
        }
        None
    }

    /// Reads the step until all its groups but a tenth, and all items in `waited`, are listed, or the trainer's deadline; then ends it.
    /// Returns the items that are not listed and whether the deadline was reached.
    fn wait(
        &self,
        sent_at: Duration,
        waited: &[String],
        deployment: &Deployment,
        journal: &Journal,
    ) -> Result<(Vec<String>, bool), String> {
        loop {
            thread::sleep(seconds(0.25));
            let listed = self.listed(deployment).ok_or("the step can't be read")?;
            let missing: Vec<String> = self.items.iter().filter(|item| !listed.contains(*item)).cloned().collect();
            let groups: BTreeSet<usize> = self
                .items
                .iter()
                .enumerate()
                .filter(|(_, item)| missing.contains(item))
                .map(|(index, _)| index / GROUP)
                .collect();
            let is_late = journal.now() >= sent_at + STEP_DEADLINE;
            let is_whole =
                groups.len() * 10 <= self.items.len() / GROUP && !missing.iter().any(|item| waited.contains(item));
            if is_late || is_whole {
                let what = if is_whole { "has what the trainer waits for" } else { "runs out of time" };
                journal.note(&format!(
                    "step {} {what}: {} of {} items are not listed",
                    self.id,
                    missing.len(),
                    self.items.len()
                ));
                return Ok((missing, !is_whole));
            }
        }
    }

    /// The whole groups of some items, at most half of those that the trainer waits for.
    fn groups_of(&self, items: &[String]) -> Vec<String> {
        let groups = self.items.chunks(GROUP).filter(|group| group.iter().any(|item| items.contains(item)));
        let most = self.items.len() / GROUP * 9 / 10 / 2;
        groups.take(most).flatten().cloned().collect()
    }

    fn end(&self, deployment: &Deployment) {
        for attempt in 0..20 {
            let path = format!("/lots/{}", self.id);
            let answer = http::call(deployment.front(attempt), "DELETE", &path, &[("Host", HOST)], b"", seconds(3.0));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let sign = |value: u32| SIGNS[(value & 63) as usize] as char;
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value =
            chunk.iter().enumerate().fold(0, |value, (index, byte)| value | u32::from(*byte) << (16 - 8 * index));
        text.extend((0..4).map(|index| if index <= chunk.len() { sign(value >> (18 - 6 * index)) } else { '=' }));
    }
    text
}

/// LOST: a step has run out of time at `at`. Its items that no engine has finished and that have been at no engine for
/// five calm seconds, while other items of the step had begun and the engines stood under half full. `calm_since` is when
/// the last disruption ended; no version is named in these cases.
fn left_lying(
    step: &Step,
    sent_at: Duration,
    at: Duration,
    calm_since: Duration,
    engines: &[Engine],
    journal: &Journal,
) -> Vec<String> {
    let runs = journal.runs();
    let of = |item: &str| -> Vec<&Run> { runs.iter().filter(|run| run.item == item).collect() };
    let running: u32 = engines.iter().filter(|engine| engine.is_up()).map(Engine::running).sum();
    let slots: u32 = engines.iter().filter(|engine| engine.is_up()).map(Engine::slots).sum();
    let others_began = runs.iter().any(|run| run.began_at >= sent_at && step.items.contains(&run.item));
    journal.note(&format!(
        "at the end of the step {running} of {slots} places are taken; others had begun: {others_began}"
    ));
    if at < calm_since + CONTACT + LEFT_LYING || running * 2 >= slots || !others_began {
        return Vec::new();
    }
    let is_lying = |item: &&String| {
        let runs = of(item);
        let finished = runs.iter().any(|run| matches!(run.ended, Some((_, RunEnd::Finished))));
        let last = runs.iter().map(|run| run.ended.map_or(at, |(ended_at, _)| ended_at)).max();
        !finished && at.saturating_sub(last.unwrap_or(sent_at).max(sent_at)) >= LEFT_LYING
    };
    step.items.iter().filter(is_lying).cloned().collect()
}

fn judge(lying: &[String], journal: &Journal) -> Verdict {
    for item in lying {
        let runs = journal.runs();
        let runs: Vec<String> = runs.iter().filter(|run| run.item == *item).map(|run| format!("{run:?}")).collect();
        journal.note(&format!("left lying: {item}; its runs: {runs:?}"));
    }
    if lying.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "LOST: {} items of a step that ran out of time were at no engine for 5 s of steady state",
        lying.len()
    ))
}

/// Engines crash under items that have nothing to do with it.
fn crashes(trouble: bool, deployment: &mut Deployment, journal: &Journal) -> Verdict {
    let engines = match start_engines(deployment, journal, 11, 4, seconds(0.2), 24) {
        Ok(engines) => engines,
        Err(reason) => return Verdict::NotRun(reason),
    };
    // Waves of four of eleven engines, 0.6 s apart, each for 0.6 s; which ones is drawn from the time of day.
    let drawn =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64 | 1);
    let steps = || -> Result<Vec<String>, String> {
        let first = Step::new(1, &[], 11);
        let sent_at = first.submit(1, deployment, journal)?;
        thread::sleep(seconds(0.5));
        let mut state = drawn;
        for _ in 0..6 {
            if trouble {
                let mut order: Vec<usize> = (0..engines.len()).collect();
                for index in (1..order.len()).rev() {
                    state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    order.swap(index, (state >> 33) as usize % (index + 1));
                }
                order
                    .into_iter()
                    .filter(|number| engines[*number].is_up())
                    .take(4)
                    .for_each(|number| engines[number].crash(seconds(0.55)));
            }
            thread::sleep(seconds(0.6));
        }
        let calm_since = journal.now();
        journal.note("nothing is disturbed from now on");
        let (missing, _) = first.wait(sent_at, &[], deployment, journal)?;
        first.end(deployment);
        let mut carried = first.groups_of(&missing);
        // Groups that weren't whole come again under the same ids, and the trainer waits for them.
        for number in 2..=3 {
            thread::sleep(seconds(1.0));
            let step = Step::new(number, &carried, 11);
            let sent_at = step.submit(number, deployment, journal)?;
            let (missing, late) = step.wait(sent_at, &carried, deployment, journal)?;
            if late {
                let lying = left_lying(&step, sent_at, journal.now(), calm_since, &engines, journal);
                if !lying.is_empty() {
                    return Ok(lying);
                }
            }
            step.end(deployment);
            carried = step.groups_of(&missing);
        }
        Ok(Vec::new())
    };
    match steps() {
        Ok(lying) => judge(&lying, journal),
        Err(reason) => Verdict::NotRun(reason),
    }
}

/// The lead changes while some engines can't be reached from the core.
fn versions(trouble: bool, deployment: &mut Deployment, journal: &Journal) -> Verdict {
    let engines = match start_engines(deployment, journal, 10, 4, seconds(0.2), 8) {
        Ok(engines) => engines,
        Err(reason) => return Verdict::NotRun(reason),
    };
    // Four of ten engines.
    let cut = &engines[..4];
    let Some(leader) = deployment.leader() else {
        return Verdict::NotRun("no keeper leads".to_string());
    };
    if trouble {
        cut.iter().for_each(|engine| engine.set_partitioned(true));
        thread::sleep(seconds(0.5));
        deployment.freeze(leader);
        thread::sleep(seconds(2.0));
        deployment.thaw(leader);
        thread::sleep(seconds(0.8));
        cut.iter().for_each(|engine| engine.set_partitioned(false));
    } else {
        thread::sleep(seconds(3.3));
    }
    let calm_since = journal.now();
    journal.note(&format!(
        "nothing is disturbed from now on; the lead went from store-{leader} to store-{:?}",
        deployment.leader()
    ));
    thread::sleep(seconds(6.0));
    // Planned: three of the other engines are emptied and taken away.
    engines[7..].iter().for_each(|engine| engine.leave(seconds(2.5)));
    thread::sleep(seconds(5.0));
    let step = Step::new(1, &[], 26);
    let judged = step.submit(1, deployment, journal).and_then(|sent_at| {
        let (_, late) = step.wait(sent_at, &[], deployment, journal)?;
        Ok(if late { left_lying(&step, sent_at, journal.now(), calm_since, &engines, journal) } else { Vec::new() })
    });
    match judged {
        Ok(lying) => judge(&lying, journal),
        Err(reason) => Verdict::NotRun(reason),
    }
}

/// Requests that were sent and that were served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: u32,
    served: u32,
}

/// Callers look up prices for some time.
fn look_up(deployment: &Deployment, journal: &Journal, seconds_long: f64, first_id: u64) -> Served {
    let until = Instant::now() + seconds(seconds_long);
    let total = std::sync::Mutex::new((Served::default(), std::collections::BTreeMap::<String, u32>::new()));
    thread::scope(|scope| {
        for caller in 0..36_u64 {
            let total = &total;
            scope.spawn(move || {
                // Callers are out of step with each other.
                thread::sleep(seconds(caller as f64 * 0.003));
                for number in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let sent_at = Instant::now();
                    let id = format!("{:016x}", first_id + caller * 100_000 + number);
                    let headers = [
                        ("Host", HOST),
                        ("X-Saddlerelay-Request-Id", id.as_str()),
                        ("X-Saddlerelay-Request-Deadline", "2000"),
                    ];
                    let path = format!("{LOOKUPS}{id}");
                    let answer = http::call(
                        deployment.front(caller as usize / 2),
                        "POST",
                        &path,
                        &headers,
                        b"unit price",
                        seconds(2.5),
                    );
                    let what = answer.as_ref().map_or("no answer".to_string(), |answer| {
                        let own =
                            if answer.header("X-Saddlerelay-Response-Stamp").is_some() { "" } else { " of the system" };
                        format!(
                            "{}{own} {}",
                            answer.status(),
                            if own.is_empty() {
                                String::new()
                            } else {
                                String::from_utf8_lossy(&answer.body).to_string()
                            }
                        )
                    });
                    let mut total = total.lock().unwrap();
                    total.0.sent += 1;
                    total.0.served += u32::from(answer.is_ok_and(|answer| answer.status() == 200));
                    *total.1.entry(what).or_default() += 1;
                    drop(total);
                    thread::sleep((sent_at + seconds(0.1)).saturating_duration_since(Instant::now()));
                }
            });
        }
    });
    let (served, answers) = total.into_inner().unwrap();
    journal.note(&format!("{served:?}: {answers:?}"));
    served
}

/// Each engine of the application in turn is cut off from the core and crashes twice behind the cut. After the cut, and
/// after the newest incarnation has registered, the heartbeat of the one before it arrives.
fn delay_heartbeats(engines: &[Engine], journal: &Journal) -> Result<(), String> {
    for (number, engine) in engines.iter().enumerate() {
        engine.set_partitioned(true);
        thread::sleep(seconds(0.3));
        engine.crash(seconds(0.3));
        thread::sleep(seconds(0.9));
        let held_up = engine.take_held_up().ok_or("the cut holds up no heartbeat")?;
        engine.crash(seconds(0.3));
        thread::sleep(seconds(0.9));
        engine.set_partitioned(false);
        let until = Instant::now() + seconds(10.0);
        while engine.nodes_reached() == 0 {
            if Instant::now() > until {
                return Err("no heartbeat was acknowledged after the cut".to_string());
            }
            thread::sleep(seconds(0.02));
        }
        journal.note(&format!("engine {number}: a heartbeat of its newest incarnation is acknowledged"));
        thread::sleep(seconds(0.5));
        engine.deliver(held_up);
    }
    journal.note("nothing is disturbed from now on");
    Ok(())
}

/// RECOVER: heartbeats arrive late, later all processes of the system are killed.
fn beats(trouble: bool, deployment: &mut Deployment, journal: &Journal) -> Verdict {
    let engines = match start_engines(deployment, journal, 3, 12, seconds(0.06), 0) {
        Ok(engines) => engines,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let mut before = look_up(deployment, journal, 4.0, 0x1000_0000);
    let (during, delayed) = thread::scope(|scope| {
        let delayed = scope.spawn(|| if trouble { delay_heartbeats(&engines, journal) } else { Ok(()) });
        let during = look_up(deployment, journal, 14.0, 0x2000_0000);
        (during, delayed.join())
    });
    match delayed {
        Ok(Ok(())) => {}
        Ok(Err(reason)) => return Verdict::NotRun(reason),
        Err(_) => return Verdict::NotRun("the disruption ended early".to_string()),
    }
    before.sent += during.sent;
    before.served += during.served;
    let acknowledged = |engine: &Engine| engine.acknowledged();
    let calm: Vec<u64> = engines.iter().map(acknowledged).collect();
    let verdict = judge_recovery(before, deployment, journal);
    for (number, engine) in engines.iter().enumerate() {
        let acknowledged = engine.acknowledged() - calm[number];
        journal
            .note(&format!("engine {number} is up: {}; {acknowledged} heartbeats acknowledged since", engine.is_up()));
    }
    verdict
}

/// RECOVER: all processes of the system are killed and come back; `recovery_s` later callers ask again.
fn judge_recovery(before: Served, deployment: &mut Deployment, journal: &Journal) -> Verdict {
    const RECOVERY: f64 = 12.0;
    thread::sleep(seconds(6.0));
    if let Err(reason) = deployment.kill_all(seconds(0.8)) {
        return Verdict::NotRun(reason);
    }
    journal.note("all processes are back");
    thread::sleep(seconds(RECOVERY));
    let after = look_up(deployment, journal, 6.0, 0x3000_0000);
    if before.served * 4 < before.sent {
        return Verdict::NotRun("less than a quarter was served before the final fault".to_string());
    }
    if after.served * 4 < after.sent {
        return Verdict::Broken(format!(
            "RECOVER: before {before:?}; more than {RECOVERY} s after the machines were back {after:?}"
        ));
    }
    Verdict::Held
}
