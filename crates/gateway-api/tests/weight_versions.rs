//! Items that only some weight versions may run, with real coordinators and stand-in engines.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, block_on, call, eventually, job, notes, rollouts};
use hyper::{Method, StatusCode};
use saddlerelay_types::job::{ItemEnd, ResultPage};
use saddlerelay_types::routing::{BatchSettings, Route};
use std::time::{Duration, Instant};

/// A rollout route whose texts each come from a single weight version.
fn single_version_rollouts() -> Route {
    let batch = BatchSettings { single_version: true, ..rollouts().batch };
    Route { batch, ..rollouts() }
}

async fn publish_version(deployment: &Deployment, version: u64) {
    let body = serde_json::to_vec(&notes(version)).expect("failed to serialize JSON");
    assert_eq!(call(deployment.control, Method::POST, "/v1/versions", &[], body).await.status, StatusCode::OK);
}

fn events_sent(engines: &[StandInEngine]) -> u32 {
    engines.iter().map(StandInEngine::events_sent).sum()
}

/// Checks that a page contains the whole texts of all items, each from `version` alone.
fn assert_completed_by(page: &ResultPage, version: u64, events: u32) {
    for (_, result) in &page.results {
        assert_eq!((result.end, &result.versions[..]), (ItemEnd::Completed, &[version][..]));
        let lines: Vec<String> = (1..=events).map(|event| format!("/rollouts/{} {event}", result.item)).collect();
        assert_eq!(String::from_utf8_lossy(&result.text), lines.join("\n"));
    }
}

/// Guards against idle engines one version behind that get no order while items wait for the newest version, because
/// another engine already has it (review/6).
#[test]
fn idle_engines_load_the_version_that_waiting_items_require() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("required-version", rollouts(), 6).await;
        engines.iter().for_each(|engine| engine.set_event_interval(Duration::from_millis(50)));
        // More items than there are slots, none of which ends during the test.
        assert_eq!(deployment.submit(&job("j-1", 2, 0, 60, 1_000)).await, StatusCode::ACCEPTED);
        publish_version(&deployment, 2).await;
        let have_items = async || engines.iter().all(|engine| !engine.received_requests().is_empty());
        eventually("every engine runs items", have_items).await;
        assert!(engines.iter().all(|engine| engine.models() == [notes(2)]));
    });
}

/// Guards against an item that is sent to no engine any more because its partial text has a version that is gone
/// (review/5).
#[test]
fn an_item_whose_text_no_engine_can_continue_starts_over() {
    block_on(async {
        let (deployment, engines) =
            Deployment::start_with_engines("text-version-gone", single_version_rollouts(), 2).await;
        engines.iter().for_each(|engine| engine.set_event_interval(Duration::from_millis(10)));
        deployment.submit(&job("j-1", 1, 0, 1, 60)).await;
        eventually("the item has a partial text", async || events_sent(&engines) >= 20).await;
        engines.iter().for_each(|engine| engine.set_version(2));
        engines.iter().for_each(StandInEngine::break_off_streams);
        let page = deployment.await_results("j-1", 1).await;
        assert_completed_by(&page, 2, 60);
        assert!(deployment.coordinator.metrics().encode().contains("texts_discarded_total 1"));
    });
}

/// Guards against an item of a later job that takes over a text of a version that is gone, and never runs.
#[test]
fn a_text_of_an_earlier_job_that_no_engine_can_continue_is_generated_again() {
    block_on(async {
        let (deployment, engines) =
            Deployment::start_with_engines("earlier-text-version", single_version_rollouts(), 2).await;
        // Partial texts are saved from 2 KiB on.
        deployment.submit(&job("j-1", 1, 0, 1, 4_000)).await;
        eventually("the item has a saved text", async || events_sent(&engines) >= 400).await;
        compio::time::sleep(Duration::from_millis(100)).await;
        call(deployment.client_address, Method::DELETE, "/v1/jobs/j-1", &[], "").await;
        engines.iter().for_each(|engine| engine.set_version(2));
        deployment.report(&engines[0], "llm", false, 2).await;
        deployment.report(&engines[1], "llm", false, 2).await;
        deployment.submit(&job("j-2", 1, 0, 1, 4_000)).await;
        let page = deployment.await_results("j-2", 1).await;
        assert_completed_by(&page, 2, 4_000);
    });
}

/// Guards against texts that are discarded although an engine with their version is only busy for a moment.
#[test]
fn a_text_is_continued_by_an_engine_that_still_has_its_version() {
    block_on(async {
        let (deployment, engines) =
            Deployment::start_with_engines("text-version-kept", single_version_rollouts(), 1).await;
        engines[0].set_event_interval(Duration::from_millis(10));
        let newer = StandInEngine::start("engine-1").await;
        newer.set_version(2);
        deployment.submit(&job("j-1", 1, 0, 1, 100)).await;
        eventually("the item has a partial text", async || engines[0].events_sent() >= 60).await;
        deployment.register(&newer, "llm").await;
        deployment.await_engines("llm", 2).await;
        engines[0].break_off_streams();
        let page = deployment.await_results("j-1", 1).await;
        assert_completed_by(&page, 1, 100);
        assert!(newer.received_requests().is_empty());
    });
}

/// Guards against an item that waits until its deadline for the only engine with its text's version, which rejects it,
/// while another engine is idle.
#[test]
fn an_item_starts_over_if_the_engine_with_its_version_does_not_take_it() {
    block_on(async {
        let (deployment, engines) =
            Deployment::start_with_engines("text-version-rejected", single_version_rollouts(), 1).await;
        engines[0].set_event_interval(Duration::from_millis(10));
        let newer = StandInEngine::start("engine-1").await;
        newer.set_version(2);
        deployment.submit(&job("j-1", 1, 0, 1, 60)).await;
        eventually("the item has a partial text", async || engines[0].events_sent() >= 20).await;
        deployment.register(&newer, "llm").await;
        deployment.await_engines("llm", 2).await;
        engines[0].set_behavior(EngineBehavior::Reject);
        engines[0].break_off_streams();
        let since = Instant::now();
        let page = deployment.await_results("j-1", 1).await;
        assert_completed_by(&page, 2, 60);
        assert!(since.elapsed() < Duration::from_secs(4), "the item waited for {:?}", since.elapsed());
    });
}
