//! The order in which items of competing jobs start, and what holds under failures.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, HOST, block_on, call, document, eventually, rollouts};
use hyper::{Method, StatusCode};
use saddlerelay_scheduling::Activation;
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::job::{ItemEnd, JobSubmission};
use saddlerelay_types::routing::{BatchSettings, Route, RoutingDocument};
use saddlerelay_types::tenancy::TenantAccess;
use std::time::{Duration, Instant};

const KEY: &str = "saddlerelay-key";

/// Slots of an engine in these tests.
const SLOTS: usize = 4;

/// A rollout route whose results are due soon.
fn urgent(due_after_ms: u64) -> Route {
    let batch = BatchSettings { due_after_ms, ..rollouts().batch };
    Route { name: "urgent".to_string(), path_prefix: "/urgent/".to_string(), batch, ..rollouts() }
}

async fn start(name: &str, batch_order: Activation, routes: Vec<Route>, engines: usize) -> Started {
    start_group(name, batch_order, routes, engines, 1).await
}

type Started = (Deployment, Vec<StandInEngine>);

async fn start_group(name: &str, batch_order: Activation, routes: Vec<Route>, count: usize, voters: usize) -> Started {
    let deployment = Deployment::start_with_batch_order(name, batch_order, voters).await;
    deployment.configure(&document(1, routes)).await;
    let mut engines = Vec::new();
    for index in 0..count {
        let engine = StandInEngine::start(&format!("engine-{index}")).await;
        engine.set_event_interval(Duration::from_millis(5));
        deployment.register(&engine, "llm").await;
        engines.push(engine);
    }
    deployment.await_engines("llm", count).await;
    (deployment, engines)
}

/// A job whose trainer waits for all groups.
fn job(id: &str, minimum_version: u64, first: u32, count: u32, events: u32) -> JobSubmission {
    JobSubmission { wanted_groups: count / 2, ..common::job(id, minimum_version, first, count, events) }
}

async fn submit_to(deployment: &Deployment, prefix: &str, job: &JobSubmission, key: &str) {
    let job = JobSubmission { path: format!("{prefix}{}", job.id.0), ..job.clone() };
    let body = serde_json::to_vec(&job).expect("failed to serialize JSON");
    let headers = [("host", HOST), ("saddlerelay-request", job.id.0.as_str()), (KEY, key)];
    let answer = call(deployment.client_address, Method::POST, &job.path, &headers, body).await;
    assert_eq!(answer.status, StatusCode::ACCEPTED);
}

/// Numbers of the items that engines received, in order of arrival at each engine.
fn received(engines: &[StandInEngine]) -> Vec<u32> {
    let requests = engines.iter().flat_map(StandInEngine::received_requests);
    let number = |path: &str| path.rsplit_once('/').and_then(|(_, number)| number.parse().ok());
    requests.filter_map(|request| number(&request.path)).collect()
}

/// Position of the last item of the later job among all starts, of which the older job has 40.
async fn last_start_of_the_urgent_job(name: &str, batch_order: Activation) -> usize {
    let (deployment, engines) = start(name, batch_order, vec![rollouts(), urgent(700)], 1).await;
    submit_to(&deployment, "/rollouts/", &job("older", 1, 0, 40, 20), "").await;
    eventually("all slots are taken", async || received(&engines).len() >= SLOTS).await;
    submit_to(&deployment, "/urgent/", &job("later", 1, 100, 4, 20), "").await;
    let page = deployment.await_results("later", 4).await;
    assert!(page.results.iter().all(|(_, result)| result.end == ItemEnd::Completed));
    deployment.await_results("older", 40).await;
    received(&engines).iter().rposition(|item| *item >= 100).expect("the later job did not start")
}

/// Guards against an older job's items that take slots before a newer job's items that can't wait, and against the order
/// taking effect where the setting is off.
#[test]
fn items_that_cannot_wait_start_before_those_of_an_older_job() {
    block_on(async {
        let by_urgency = last_start_of_the_urgent_job("order-on", Activation::On).await;
        assert!(by_urgency < 20, "the last urgent item started at position {by_urgency}");
        let by_submission = last_start_of_the_urgent_job("order-off", Activation::Off).await;
        assert!(by_submission >= 40, "the last urgent item started at position {by_submission}");
    });
}

/// Guards against an engine that rejects everything keeping items from other engines or spending a trainer's share.
#[test]
fn an_engine_that_rejects_everything_delays_no_job() {
    block_on(async {
        let routes = vec![rollouts(), urgent(2_000)];
        let (deployment, engines) = start("order-rejecting", Activation::On, routes, 2).await;
        engines[0].set_behavior(EngineBehavior::Reject);
        submit_to(&deployment, "/rollouts/", &job("older", 1, 0, 30, 10), "").await;
        submit_to(&deployment, "/urgent/", &job("later", 1, 100, 10, 10), "").await;
        let later = deployment.await_results("later", 10).await;
        let older = deployment.await_results("older", 30).await;
        let results = later.results.iter().chain(&older.results);
        assert!(results.clone().count() == 40 && results.clone().all(|(_, result)| result.end == ItemEnd::Completed));
    });
}

fn tenants(names: &[&str]) -> Option<Vec<TenantAccess>> {
    let tenant = |name: &&str| TenantAccess {
        name: TenantId::new(*name),
        keys: vec![SecretDigest::of(name.as_bytes())],
        priority: None,
    };
    Some(names.iter().map(tenant).collect())
}

async fn result_count(deployment: &Deployment, job: &str, key: &str) -> usize {
    let path = format!("/v1/jobs/{job}/results?after=0&wait_ms=50");
    let answer = call(deployment.client_address, Method::GET, &path, &[(KEY, key)], "").await;
    if answer.status != StatusCode::OK {
        return 0;
    }
    let page: saddlerelay_types::job::ResultPage =
        serde_json::from_slice(&answer.body).expect("the response is not a result page");
    page.results.len()
}

/// Guards against slots spent on results that nobody may read, and against items that are lost when a tenant is listed
/// again.
#[test]
fn items_of_a_removed_tenant_wait_until_it_is_listed_again() {
    block_on(async {
        let routes = vec![rollouts(), urgent(2_000)];
        let deployment = Deployment::start_with_batch_order("order-tenant", Activation::Automatic, 1).await;
        let configure = async |version: u64, names: &[&str]| {
            let document = RoutingDocument { tenants: tenants(names), ..document(version, routes.clone()) };
            deployment.configure(&document).await;
        };
        configure(1, &["clinic", "fund"]).await;
        let engine = StandInEngine::start("engine-0").await;
        engine.set_event_interval(Duration::from_millis(20));
        deployment.register(&engine, "llm").await;
        deployment.await_engines("llm", 1).await;
        submit_to(&deployment, "/rollouts/", &job("clinic-job", 1, 0, 12, 10), "clinic").await;
        eventually("all slots are taken", async || engine.received_requests().len() >= SLOTS).await;
        configure(2, &["fund"]).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        let started = engine.received_requests().len();
        submit_to(&deployment, "/urgent/", &job("fund-job", 1, 100, 8, 10), "fund").await;
        eventually("the other tenant's job is done", async || result_count(&deployment, "fund-job", "fund").await == 8)
            .await;
        let of_removed = received(std::slice::from_ref(&engine)).iter().filter(|item| **item < 100).count();
        assert_eq!(of_removed, started, "an item of the removed tenant started");
        assert!(started < 12, "all items had started before the tenant was removed");
        configure(3, &["clinic", "fund"]).await;
        eventually("the job is done", async || result_count(&deployment, "clinic-job", "clinic").await == 12).await;
    });
}

/// Guards against items that are aborted or forgotten while no engine is there, and against a slow return to work.
#[test]
fn items_start_at_once_after_all_engines_were_away_for_eight_seconds() {
    block_on(async {
        let routes = vec![rollouts(), urgent(2_000)];
        let (deployment, engines) = start("order-away", Activation::On, routes, 3).await;
        for engine in &engines {
            engine.set_behavior(EngineBehavior::Reject);
        }
        submit_to(&deployment, "/rollouts/", &job("older", 1, 0, 24, 10), "").await;
        submit_to(&deployment, "/urgent/", &job("later", 1, 100, 24, 10), "").await;
        compio::time::sleep(Duration::from_secs(8)).await;
        let back_at = Instant::now();
        for engine in &engines {
            engine.set_behavior(EngineBehavior::Respond);
        }
        eventually("texts are generated", async || engines.iter().any(|engine| engine.events_sent() > 0)).await;
        let first = back_at.elapsed();
        assert!(first < Duration::from_secs(1), "first event {first:?} after the engines are back");
        for job in ["later", "older"] {
            let page = deployment.await_results(job, 24).await;
            assert!(page.results.iter().all(|(_, result)| result.end == ItemEnd::Completed));
        }
        println!("first event {first:?} after the engines are back, all results after {:?}", back_at.elapsed());
        assert!(back_at.elapsed() < Duration::from_secs(6), "service was not normal again within 6 s");
    });
}

/// Guards against a new leader that knows neither the texts nor the jobs' due times, or waits before it starts items.
#[test]
fn a_new_leader_starts_items_in_order_while_all_slots_were_taken() {
    block_on(async {
        // At the pace that a new leader assumes, the texts of the older job could otherwise wait less than the others.
        let relaxed = BatchSettings { due_after_ms: 15_000, ..rollouts().batch };
        let routes = vec![Route { batch: relaxed, ..rollouts() }, urgent(2_000)];
        let (deployment, engines) = start_group("order-leader", Activation::On, routes, 1, 2).await;
        let (second, coordinator) = deployment.start_second_coordinator(Activation::On).await;
        let mut older = job("older", 1, 0, 24, 100);
        // An event of the stand-in engine contains the path, and a text is saved once it has grown by 2 KiB.
        older.items.iter_mut().for_each(|item| item.path = format!("/rollouts/{}{}", "x".repeat(200), item.path));
        submit_to(&deployment, "/rollouts/", &older, "").await;
        eventually("all slots are taken", async || received(&engines).len() >= SLOTS).await;
        submit_to(&deployment, "/urgent/", &job("later", 1, 100, SLOTS as u32, 20), "").await;
        compio::time::sleep(Duration::from_millis(250)).await;
        assert_eq!(received(&engines).len(), SLOTS, "a slot became free before the leader was lost");
        let lost_at = Instant::now();
        assert!(deployment.node.transfer_leadership().await, "the leadership was not handed over");
        eventually("the second replica leads", async || second.replica().leading_term().is_some()).await;
        // The election before is not the subject of this test, and takes seconds on a machine under load.
        let led_at = Instant::now();
        eventually("items start", async || received(&engines).len() > SLOTS).await;
        println!("first start {:?} after the handover began", lost_at.elapsed());
        assert!(led_at.elapsed() < Duration::from_secs(1), "first start {:?} after the election", led_at.elapsed());
        let page = deployment.await_results("later", SLOTS).await;
        assert!(page.results.iter().all(|(_, result)| result.end == ItemEnd::Completed));
        let started = &received(&engines)[SLOTS..];
        let urgent = started.iter().take(SLOTS).filter(|item| **item >= 100).count();
        assert_eq!(urgent, SLOTS, "the first starts of the new leader: {started:?}");
        deployment.await_results("older", 24).await;
        assert!(coordinator.metrics().texts_reused.get() > 0, "the new leader continued no text");
    });
}

/// The relaxed job fills all slots with long texts that have slack; then a job is submitted whose only text has little.
async fn start_with_full_slots(name: &str, engines: usize, due_after_ms: u64) -> Started {
    let relaxed = BatchSettings { due_after_ms: 60_000, give_up_after_ms: 90_000, ..rollouts().batch };
    let routes = vec![Route { batch: relaxed, ..rollouts() }, urgent(due_after_ms)];
    let (deployment, engines) = start(name, Activation::On, routes, engines).await;
    let slots = engines.len() * SLOTS;
    submit_to(&deployment, "/rollouts/", &job("relaxed", 1, 0, slots as u32, 600), "").await;
    eventually("all slots are taken", async || received(&engines).len() >= slots).await;
    // The pace of the engines is known after some events.
    compio::time::sleep(Duration::from_millis(500)).await;
    (deployment, engines)
}

/// A job of a long text and a short one, the second of which makes the first count as long.
fn one_long_text(events: u32) -> JobSubmission {
    let mut job = job("later", 1, 100, 2, 5);
    job.items[0].headers = vec![("events".to_string(), events.to_string())];
    job.items[0].tokens = u64::from(events);
    job
}

/// Guards against a long text that waits for a slot until it is late, and against the loss of the text that gives way.
#[test]
fn a_long_text_takes_the_slot_of_an_item_that_can_wait() {
    block_on(async {
        let (deployment, engines) = start_with_full_slots("displaced", 1, 2_000).await;
        let submitted_at = Instant::now();
        submit_to(&deployment, "/urgent/", &one_long_text(100), "").await;
        let long_text_is_listed = async || {
            let page = deployment.results("later").await;
            page.is_some_and(|page| page.results.iter().any(|(_, result)| result.item == 0))
        };
        eventually("the long text is complete", long_text_is_listed).await;
        assert!(submitted_at.elapsed() < Duration::from_secs(2), "late by {:?}", submitted_at.elapsed());
        let displaced = deployment.coordinator.metrics().items_displaced.get();
        assert!((1..=2).contains(&displaced), "{displaced} items were displaced");
        let page = deployment.await_results("relaxed", SLOTS).await;
        let whole = |text: &[u8]| text.split(|byte| *byte == b'\n').count() == 600;
        assert!(page.results.iter().all(|(_, result)| result.end == ItemEnd::Completed && whole(&result.text)));
        let resumed =
            engines[0].received_requests().iter().filter(|seen| seen.header("last-event-id").is_some()).count();
        assert!(resumed as u64 >= displaced, "a displaced text was generated from the start");
    });
}

/// Guards against a long text whose engine ends and that then waits behind items that can wait.
#[test]
fn a_text_whose_engine_fails_continues_at_once_elsewhere() {
    block_on(async {
        let (deployment, engines) = start_with_full_slots("continued", 2, 3_500).await;
        submit_to(&deployment, "/urgent/", &one_long_text(250), "").await;
        let runs_at = |engine: &StandInEngine| received(std::slice::from_ref(engine)).contains(&100);
        eventually("the long text runs", async || engines.iter().any(runs_at)).await;
        compio::time::sleep(Duration::from_millis(200)).await;
        let failing = usize::from(runs_at(&engines[1]));
        engines[failing].set_behavior(EngineBehavior::Reject);
        engines[failing].break_off_streams();
        let failed_at = Instant::now();
        eventually("the text continues elsewhere", async || runs_at(&engines[1 - failing])).await;
        let continued = failed_at.elapsed();
        println!("the text continued {continued:?} after its engine failed");
        assert!(continued < Duration::from_millis(500), "the text continued after {continued:?}");
        let starts = engines[1 - failing].received_requests();
        let start = starts.iter().find(|seen| seen.path.ends_with("/100")).expect("the text did not start");
        assert!(start.header("last-event-id").is_some(), "the text was generated from the start");
        deployment.await_results("later", 2).await;
    });
}
