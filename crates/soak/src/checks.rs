//! Judges what was seen against the product's promises.

use crate::deployment::{CONFIGURATION_BOUND, DRAIN_BOUND, ORDER_LEASE};
use crate::journal::{Ending, JobSeen, KeptEnding, KeptRequest, Moment, OrderSeen, Records, SeenResult, Violation};
use crate::links::Party;
use crate::waits;
use crate::workload::{self, MOST_ATTEMPTS, MOVING, ONCE, ROLLOUTS, TIMEOUT_MS};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::job::{ItemEnd, ItemId, JobId};
use saddlerelay_types::routing::RoutingDocument;
use saddlerelay_types::suspicion::MOST_ENGINES_ENDED;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a process does within this time of its waking, or a link passes on after its healing, was under way before.
const WAKING_TIME: Duration = Duration::from_millis(300);

/// By then every process that may act has heard what the group has committed.
pub const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Nothing of a job begins so long after its end was acknowledged.
pub const CANCEL_BOUND: Duration = Duration::from_millis(3_000);

/// A request that was said not to have run has not run.
pub const NOT_RUN: &str = "a request that was said not to run does not run";
/// Requests that must not be repeated run at most once.
pub const AT_MOST_ONCE: &str = "a request that must not be repeated runs at most once";
/// A request goes to no more engines than its route allows.
pub const ATTEMPTS: &str = "a request runs at no more engines than its route allows";
/// A leaving engine receives no new work.
pub const LEAVING: &str = "a leaving engine gets no new work";
/// An accepted configuration is in force, and is not reverted.
pub const CONFIGURATION: &str = "an accepted configuration is in force and never reverts";
/// Results are the items' own, whole, and listed once.
pub const RESULTS: &str = "every item is listed once, whole, with the versions that made it";
/// A text is listed with the stamp of an engine that ran the call for its score.
pub const SCORES_ARE_REAL: &str = "every completed item carries the stamp of an engine that scored it";
/// No text holds a version below its job's least.
pub const STALENESS: &str = "no result is older than its job allows";
/// Nothing of a refused or ended job runs.
pub const JOB_ENDS: &str = "nothing of a refused or ended job runs";
/// Work under which three engines have ended is kept from the others.
pub const CRASHING_WORK: &str = "work that ends its engines reaches few of them";
/// Engines take orders from one holder at a time.
pub const ORDERS: &str = "one holder of orders at a time";

/// An accepted item is at an engine while engines have room.
pub const ITEMS_AT_ENGINES: &str = "accepted items are at an engine";

/// A request on a kept connection is answered, or its connection ends without its having been read.
pub const KEPT: &str = "a request that was read on an open connection is answered";

/// A connection that ends so soon after a request may have been on its way to its end before the request was read.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Every promise that was broken, beside those whose breach was seen at once.
pub fn check(records: &Records) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_not_run(records, &mut violations);
    check_attempts(records, &mut violations);
    check_leaving(records, &mut violations);
    check_moving_route(records, &mut violations);
    check_reads(records, &mut violations);
    check_results(records, &mut violations);
    check_job_ends(records, &mut violations);
    check_orders(records, &mut violations);
    check_crashing_work(records, &mut violations);
    check_kept(records, &mut violations);
    check_waits(records, &mut violations);
    violations
}

/// An item that no engine has finished or failed is at an engine, once it has been accepted and engines have room.
fn check_waits(records: &Records, violations: &mut Vec<Violation>) {
    for wait in waits::longest_waits(records).iter().filter(|wait| wait.steady > waits::ITEM_WAIT_BOUND) {
        add_late(violations, ITEMS_AT_ENGINES, wait.to_string());
    }
}

/// A connection that ended without an answer must not have had its request read: none that ran, and none that was held
/// (but for the first on a connection, which may have been held by the proxy of a process that was down).
/// Left out: what was disturbed by a fault of its gateway or engine, and what has had its route's whole time.
fn check_kept(records: &Records, violations: &mut Vec<Violation>) {
    for kept in records.kept.iter().filter(|kept| kept.ending == KeptEnding::Closed) {
        let engines: Vec<Party> = engines_of(records, &kept.request).collect();
        let held = kept.ended_at.saturating_sub(kept.sent_at);
        let timed_out = held >= Duration::from_millis(TIMEOUT_MS);
        if timed_out || is_disturbed(records, kept, &engines) {
            continue;
        }
        let held = held.as_millis();
        let (at, gateway) = (seconds(kept.sent_at), kept.gateway);
        let seen =
            format!("{} was sent to gateway {gateway} at {at}, and its connection ended {held} ms later", kept.request);
        if !engines.is_empty() {
            add(violations, KEPT, format!("{seen}; it ran at {engines:?}"));
        } else if !kept.is_first && held > LOSS_SLACK.as_millis() {
            add_late(violations, KEPT, seen);
        }
    }
}

/// The engines at which a request ran.
fn engines_of<'a>(records: &'a Records, request: &'a str) -> impl Iterator<Item = Party> + 'a {
    let runs = records.runs.iter().filter(move |run| run.request == request);
    runs.filter_map(|run| crate::engine::number_of(&run.instance)).map(Party::Engine)
}

/// Whether a fault of its gateway or of one of `engines` reached into a request, or ended shortly before.
fn is_disturbed(records: &Records, kept: &KeptRequest, engines: &[Party]) -> bool {
    let concerns = |party: &Party| *party == Party::Gateway(kept.gateway) || engines.contains(party);
    let since = kept.sent_at.saturating_sub(CONTACT_TIME);
    records.disruptions.iter().any(|fault| {
        concerns(&fault.party) && fault.from <= kept.ended_at && fault.until.is_none_or(|until| until >= since)
    })
}

/// Later than [`CONTACT_TIME`] after it has ended the third engine, such work reaches at most as many again.
fn check_crashing_work(records: &Records, violations: &mut Vec<Violation>) {
    let mut begun: BTreeMap<u32, Vec<Moment>> = BTreeMap::new();
    for run in &records.runs {
        if let Some(kind) = run.crashing {
            begun.entry(kind).or_default().push(run.at);
        }
    }
    for (kind, mut moments) in begun {
        moments.sort();
        let Some(third) = moments.get(MOST_ENGINES_ENDED - 1) else {
            continue;
        };
        let later = moments.iter().filter(|moment| **moment > *third + CONTACT_TIME).count();
        if later > MOST_ENGINES_ENDED {
            add_late(violations, CRASHING_WORK, format!("kind {kind} ended three engines and reached {later} later"));
        }
    }
}

fn add(violations: &mut Vec<Violation>, promise: &'static str, seen: String) {
    violations.push(Violation { promise, seen, time_bound: false });
}

/// Adds a breach that is one only because of the time that something took.
fn add_late(violations: &mut Vec<Violation>, promise: &'static str, seen: String) {
    violations.push(Violation { promise, seen, time_bound: true });
}

fn seconds(moment: Moment) -> String {
    format!("{:.3} s", moment.as_secs_f64())
}

/// Whether something that happened at `at` may have been under way since before a process woke or a link healed.
fn is_near_waking(records: &Records, at: Moment) -> bool {
    records.woken.iter().any(|woken| *woken <= at && at <= *woken + WAKING_TIME)
}

fn check_not_run(records: &Records, violations: &mut Vec<Violation>) {
    let ran: BTreeSet<&str> = records.runs.iter().map(|run| run.request.as_str()).collect();
    for request in &records.requests {
        if let Ending::NotRun(status) = request.ending
            && ran.contains(request.request.as_str())
        {
            add(violations, NOT_RUN, format!("{} was answered {status} and ran", request.request));
        }
    }
}

fn check_attempts(records: &Records, violations: &mut Vec<Violation>) {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for run in &records.runs {
        *runs.entry(&run.request).or_default() += 1;
    }
    for request in &records.requests {
        let count = runs.get(request.request.as_str()).copied().unwrap_or(0);
        if request.prefix == ONCE && count > 1 {
            add(violations, AT_MOST_ONCE, format!("{} ran {count} times", request.request));
        }
        if count > MOST_ATTEMPTS {
            add(violations, ATTEMPTS, format!("{} ran {count} times", request.request));
        }
    }
}

fn check_leaving(records: &Records, violations: &mut Vec<Violation>) {
    for run in &records.runs {
        let Some(acknowledged) = records.leaving.get(&run.instance) else {
            continue;
        };
        let late = run.at > *acknowledged + DRAIN_BOUND;
        if late && !is_near_waking(records, run.at) {
            let (at, told) = (seconds(run.at), seconds(*acknowledged));
            let seen =
                format!("{} reached {} at {at}, acknowledged as leaving at {told}", run.request, run.instance.name);
            add_late(violations, LEAVING, seen);
        }
    }
}

/// The newest version that was acknowledged `bound` before `at`.
fn newest_acknowledged(records: &Records, at: Moment, bound: Duration) -> u64 {
    let acknowledged = records
        .documents
        .iter()
        .filter(|document| document.acknowledged_at.is_some_and(|acknowledged| acknowledged + bound < at));
    acknowledged.map(|document| document.version).max().unwrap_or(0)
}

fn check_moving_route(records: &Records, violations: &mut Vec<Violation>) {
    let moving = records.requests.iter().filter(|request| request.prefix == MOVING);
    let sent: BTreeMap<&str, Moment> = moving.map(|request| (request.request.as_str(), request.sent_at)).collect();
    for run in &records.runs {
        let Some(sent_at) = sent.get(run.request.as_str()) else {
            continue;
        };
        let least = newest_acknowledged(records, *sent_at, CONFIGURATION_BOUND);
        let allowed =
            |document: &&crate::journal::SentDocument| document.version >= least && document.sent_at <= run.at;
        let mut services = records.documents.iter().filter(allowed).map(|document| document.moving_to);
        if !services.any(|service| service == run.service) && !is_near_waking(records, run.at) {
            let at = seconds(*sent_at);
            add_late(
                violations,
                CONFIGURATION,
                format!("{} sent at {at} ran at {}, against version {least}", run.request, run.service),
            );
        }
    }
}

fn check_reads(records: &Records, violations: &mut Vec<Violation>) {
    for read in &records.reads {
        let least = newest_acknowledged(records, read.asked_at, Duration::ZERO);
        let at = seconds(read.asked_at);
        let Some(body) = &read.body else {
            if least > 0 {
                add(violations, CONFIGURATION, format!("no document read at {at}, after version {least}"));
            }
            continue;
        };
        let version = serde_json::from_slice::<RoutingDocument>(body).map_or(0, |document| document.version);
        let as_sent = records.documents.iter().any(|sent| sent.version == version && sent.body == *body);
        if version < least || !as_sent {
            let what = if as_sent { "as sent" } else { "other content" };
            add(violations, CONFIGURATION, format!("version {version} ({what}) read at {at}, after version {least}"));
        }
    }
}

fn check_results(records: &Records, violations: &mut Vec<Violation>) {
    for (job, seen) in &records.jobs {
        let mut listed = BTreeSet::new();
        for result in seen.results.values() {
            if !listed.insert(&result.item) {
                add(violations, RESULTS, format!("{} is listed twice", result.item.0));
            }
            match result.end {
                ItemEnd::Completed => {
                    check_completed(records, job, seen, result, violations);
                    check_score(records, result, violations);
                }
                ItemEnd::Aborted => check_aborted(records, seen, result, violations),
            }
        }
    }
}

/// The path of a job's item.
fn item_path(job: &JobId, item: &ItemId) -> Option<String> {
    let number = item.0.strip_prefix(&job.0)?.strip_prefix("-item-")?;
    Some(format!("{ROLLOUTS}{}/{number}", job.0))
}

fn check_completed(
    records: &Records,
    job: &JobId,
    seen: &JobSeen,
    result: &SeenResult,
    violations: &mut Vec<Violation>,
) {
    let item = &result.item;
    let (Some(path), Some(events)) = (item_path(job, item), seen.items.get(item)) else {
        add(violations, RESULTS, format!("{} is no item of {}", item.0, job.0));
        return;
    };
    let text = String::from_utf8_lossy(&result.text);
    let made: Vec<Option<(u32, u64)>> = text.lines().map(|data| workload::read_event_data(data, &path)).collect();
    let numbers: Vec<Option<u32>> = made.iter().map(|event| event.map(|(number, _)| number)).collect();
    let expected: Vec<Option<u32>> = (1..=*events).map(Some).collect();
    if numbers != expected {
        add(violations, RESULTS, format!("{} of {events} events has {numbers:?}", item.0));
    }
    let versions: BTreeSet<u64> = made.iter().flatten().map(|(_, version)| *version).collect();
    if !versions.iter().eq(result.versions.iter()) {
        add(violations, RESULTS, format!("{} names {:?}, made by {versions:?}", item.0, result.versions));
    }
    for (number, version) in made.iter().flatten() {
        if !records.events.contains(&(item.0.clone(), *number, *version)) {
            add(violations, RESULTS, format!("event {number} of {} by version {version} was never made", item.0));
        }
    }
    if versions.first().is_some_and(|oldest| *oldest < seen.minimum_version) {
        add(violations, STALENESS, format!("{} has {versions:?}, least {}", item.0, seen.minimum_version));
    }
}

fn check_score(records: &Records, result: &SeenResult, violations: &mut Vec<Violation>) {
    let request = workload::score_request(&result.item.0);
    let mut scored_by = records.runs.iter().filter(|run| run.request == request).map(|run| run.instance.name.as_str());
    let real = result.score.as_deref().is_some_and(|score| scored_by.any(|instance| instance == score));
    if !real {
        add(violations, SCORES_ARE_REAL, format!("{} carries {:?}", result.item.0, result.score));
    }
}

fn check_aborted(records: &Records, seen: &JobSeen, result: &SeenResult, violations: &mut Vec<Violation>) {
    let failures_of = |request: &str| records.item_failures.get(request).copied().unwrap_or(0);
    // Its scorer's failures end an item too.
    let failures = failures_of(&result.item.0).max(failures_of(&workload::score_request(&result.item.0)));
    if seen.end_asked_at.is_none() && failures < MOST_ATTEMPTS {
        add(violations, RESULTS, format!("{} was given up after {failures} failures", result.item.0));
    }
}

fn check_job_ends(records: &Records, violations: &mut Vec<Violation>) {
    for run in &records.runs {
        let Some((job, seen)) = run.job.as_ref().and_then(|job| records.jobs.get_key_value(job)) else {
            continue;
        };
        if seen.refused {
            add(violations, JOB_ENDS, format!("{} of {}, which was refused, ran", run.request, job.0));
        }
        let late = seen.ended_at.is_some_and(|ended| run.at > ended + CANCEL_BOUND);
        if late && !is_near_waking(records, run.at) {
            add_late(violations, JOB_ENDS, format!("{} of {} ran at {}", run.request, job.0, seconds(run.at)));
        }
    }
}

fn check_orders(records: &Records, violations: &mut Vec<Violation>) {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for order in &records.orders {
        let holder = holders.entry(order.fence).or_insert(&order.holder);
        if *holder != order.holder {
            add(violations, ORDERS, format!("{holder} and {} share fence {}", order.holder, order.fence));
        }
    }
    let mut newest: BTreeMap<&InstanceId, &OrderSeen> = BTreeMap::new();
    for order in &records.orders {
        if let Some(before) = newest.insert(&order.instance, order) {
            check_turn(records, before, order, violations);
        }
    }
}

/// Two orders that reached one engine, one after the other.
fn check_turn(records: &Records, before: &OrderSeen, after: &OrderSeen, violations: &mut Vec<Violation>) {
    if is_near_waking(records, before.at) || is_near_waking(records, after.at) {
        return;
    }
    let engine = &after.instance.name;
    let gap = after.at.saturating_sub(before.at);
    if before.holder != after.holder && gap < ORDER_LEASE {
        let gap = gap.as_millis();
        add_late(violations, ORDERS, format!("{} ordered {engine} {gap} ms after {}", after.holder, before.holder));
    }
    if after.fence < before.fence {
        add(violations, ORDERS, format!("{engine} got fence {} after {}", after.fence, before.fence));
    }
}
