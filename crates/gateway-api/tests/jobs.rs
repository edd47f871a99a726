//! Batch jobs, weight versions and control calls through the native interface.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, block_on, call, document, eventually, job, notes, rollouts};
use hyper::{Method, StatusCode};
use saddlerelay_types::job::{ItemEnd, ItemId};
use std::time::{Duration, Instant};

fn text(item: u32, events: u32) -> Vec<u8> {
    let lines: Vec<String> = (1..=events).map(|event| format!("/rollouts/{item} {event}")).collect();
    lines.join("\n").into_bytes()
}

fn run_count(engines: &[StandInEngine], item: u32) -> usize {
    let path = format!("/rollouts/{item}");
    engines.iter().flat_map(StandInEngine::received_requests).filter(|seen| seen.path == path).count()
}

#[test]
fn each_item_is_listed_once_with_its_text_and_versions() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("listed", rollouts(), 2).await;
        let job = job("j-1", 1, 0, 10, 4);
        assert_eq!(deployment.submit(&job).await, StatusCode::ACCEPTED);
        assert_eq!(deployment.submit(&job).await, StatusCode::ACCEPTED, "a repeated submission is idempotent");
        let page = deployment.await_results("j-1", 10).await;
        assert_eq!((page.total, page.next), (10, 10));
        let mut items: Vec<u32> = page.results.iter().map(|(_, result)| result.item).collect();
        items.sort_unstable();
        assert_eq!(items, (0..10).collect::<Vec<u32>>());
        for (id, result) in &page.results {
            assert_eq!(*id, ItemId(format!("item-{}", result.item)));
            assert_eq!(
                (result.end, &result.text, &result.versions[..]),
                (ItemEnd::Completed, &text(result.item, 4), &[1][..])
            );
        }
        let seen = engines[0].received_requests().remove(0);
        assert_eq!((seen.method.as_str(), seen.header("host")), ("POST", Some(common::HOST)));
        assert!(seen.body.starts_with(b"prompt "));
    });
}

#[test]
fn a_text_resumes_at_another_engine_after_its_last_event() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("resumed", rollouts(), 2).await;
        engines[0].set_behavior(EngineBehavior::TruncateAfter(2));
        deployment.submit(&job("j-1", 1, 0, 8, 6)).await;
        let page = deployment.await_results("j-1", 8).await;
        for (_, result) in &page.results {
            assert_eq!(result.text, text(result.item, 6));
        }
        let resumed = engines
            .iter()
            .flat_map(StandInEngine::received_requests)
            .filter(|seen| seen.header("last-event-id").is_some());
        assert!(resumed.count() > 0, "no text was resumed");
    });
}

#[test]
fn items_leave_an_engine_that_stops_responding() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("silent", rollouts(), 2).await;
        engines[0].set_behavior(EngineBehavior::Hang);
        deployment.submit(&job("j-1", 1, 0, 8, 3)).await;
        let page = deployment.await_results("j-1", 8).await;
        assert!(page.results.iter().all(|(_, result)| result.text == text(result.item, 3)));
    });
}

#[test]
fn an_item_that_is_impossible_or_always_fails_is_aborted() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("given-up", rollouts(), 1).await;
        engines[0].set_behavior(EngineBehavior::FailUnprocessable);
        deployment.submit(&job("j-1", 1, 0, 1, 3)).await;
        assert_eq!(deployment.await_results("j-1", 1).await.results[0].1.end, ItemEnd::Aborted);
        assert_eq!(run_count(&engines, 0), 1);
        engines[0].set_behavior(EngineBehavior::Fail);
        deployment.submit(&job("j-2", 1, 5, 1, 3)).await;
        assert_eq!(deployment.await_results("j-2", 1).await.results[0].1.end, ItemEnd::Aborted);
        assert_eq!(run_count(&engines, 5), 3, "the route's maximum number of attempts");
    });
}

#[test]
fn no_item_runs_after_its_job_has_ended() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("ended", rollouts(), 1).await;
        engines[0].set_event_interval(Duration::from_millis(50));
        deployment.submit(&job("j-1", 1, 0, 12, 40)).await;
        eventually("items run", async || !engines[0].received_requests().is_empty()).await;
        for _ in 0..2 {
            assert_eq!(
                call(deployment.client_address, Method::DELETE, "/v1/jobs/j-1", &[], "").await.status,
                StatusCode::OK
            );
        }
        let started = engines[0].received_requests().len();
        eventually("running requests are cancelled", async || engines[0].cancelled() as usize >= started).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(engines[0].received_requests().len(), started);
        let page = deployment.results("j-1").await.expect("the results of the ended job are not readable");
        assert_eq!(page.results.len(), 0);
        let body = call(deployment.client_address, Method::GET, "/v1/jobs/j-1/items/item-3/body", &[], "").await;
        assert_eq!(body.status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn item_bodies_are_readable_until_the_items_are_listed() {
    block_on(async {
        let (deployment, _) = Deployment::start_with_engines("bodies", rollouts(), 0).await;
        deployment.submit(&job("j-1", 1, 0, 2, 3)).await;
        let body = call(deployment.client_address, Method::GET, "/v1/jobs/j-1/items/item-1/body", &[], "").await;
        assert_eq!((body.status, &body.body[..]), (StatusCode::OK, &b"prompt 1"[..]));
        let unknown = call(deployment.client_address, Method::GET, "/v1/jobs/none/results", &[], "").await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    });
}

#[test]
fn an_invalid_job_is_rejected_with_the_reason() {
    block_on(async {
        let (deployment, _) = Deployment::start_with_engines("unreadable", rollouts(), 0).await;
        let headers = [("saddlerelay-request", "j-1")];
        let answer = deployment.request(Method::POST, "/rollouts/j-1", &headers, "{\"items\": [").await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert!(String::from_utf8_lossy(&answer.body).contains("EOF"), "{:?}", answer.body);
        assert!(deployment.results("j-1").await.is_none());
    });
}

#[test]
fn no_text_uses_a_version_below_the_jobs_minimum() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("minimum", rollouts(), 2).await;
        engines[1].set_version(2);
        deployment.report(&engines[1], "llm", false, 2).await;
        deployment.submit(&job("j-1", 2, 0, 6, 3)).await;
        let page = deployment.await_results("j-1", 6).await;
        assert!(page.results.iter().all(|(_, result)| result.versions == [2]));
        assert_eq!(engines[0].received_requests().len(), 0);
    });
}

#[test]
fn an_engine_with_other_weights_than_reported_runs_nothing() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("other-weights", rollouts(), 1).await;
        // A new leader polls each engine for its weights; a completed job shows that the poll has succeeded.
        deployment.submit(&job("j-0", 1, 7, 1, 3)).await;
        deployment.await_results("j-0", 1).await;
        let before = engines[0].received_requests().len();
        // The engine reverts to older weights without a report.
        deployment.report(&engines[0], "llm", false, 2).await;
        engines[0].set_version(0);
        deployment.submit(&job("j-1", 1, 0, 1, 3)).await;
        eventually("the engine received the request", async || engines[0].received_requests().len() > before).await;
        compio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(deployment.results("j-1").await.expect("the response is not a result page").results.len(), 0);
        engines[0].set_version(1);
        deployment.report(&engines[0], "llm", false, 3).await;
        let page = deployment.await_results("j-1", 1).await;
        assert_eq!(page.results[0].1.versions, [1]);
    });
}

#[test]
fn a_later_job_reuses_texts_of_an_earlier_one() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("carried", rollouts(), 1).await;
        deployment.submit(&job("j-1", 1, 0, 4, 3)).await;
        deployment.await_results("j-1", 4).await;
        call(deployment.client_address, Method::DELETE, "/v1/jobs/j-1", &[], "").await;
        // Two items of the first job and two new ones.
        deployment.submit(&job("j-2", 1, 2, 4, 3)).await;
        let page = deployment.await_results("j-2", 4).await;
        assert!(page.results.iter().all(|(id, result)| {
            let number: u32 = id.0.trim_start_matches("item-").parse().expect("the item ID has no number");
            result.text == text(number, 3)
        }));
        assert_eq!((run_count(&engines, 2), run_count(&engines, 3), run_count(&engines, 4)), (1, 1, 1));
    });
}

#[test]
fn engines_load_the_version_that_pending_items_need() {
    block_on(async {
        let (deployment, _) = Deployment::start_with_engines("needed", rollouts(), 2).await;
        // All engines have a version below the job's minimum.
        deployment.submit(&job("j-1", 2, 0, 4, 3)).await;
        compio::time::sleep(Duration::from_millis(200)).await;
        let body = serde_json::to_vec(&notes(2)).expect("failed to serialize JSON");
        let answer = call(deployment.control, Method::POST, "/v1/versions", &[], body).await;
        assert_eq!(answer.status, StatusCode::OK);
        let page = deployment.await_results("j-1", 4).await;
        assert!(page.results.iter().all(|(_, result)| result.versions == [2]));
    });
}

#[test]
fn a_requested_version_is_loaded_through_fenced_orders() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("named", rollouts(), 3).await;
        for version in [2, 3] {
            let body = serde_json::to_vec(&notes(version)).expect("failed to serialize JSON");
            let answer = call(deployment.control, Method::POST, "/v1/versions", &[], body).await;
            assert_eq!(answer.status, StatusCode::OK);
            let everywhere = async || engines.iter().all(|engine| engine.models() == [notes(version)]);
            eventually("every engine has the version", everywhere).await;
        }
        for engine in &engines {
            let orders = engine.orders();
            assert_eq!(orders.len(), 2);
            assert!(0 < orders[0].fence && orders[0].fence < orders[1].fence, "fencing tokens must increase");
            assert_eq!((orders[0].orders_taken, orders[1].orders_taken), (0, 1));
            assert!(orders.iter().all(|order| order.holder == "coordinator"));
        }
        let recorded = deployment.node.read_applied(|state| state.orders.intents().len());
        assert_eq!(recorded, 3, "each order is committed to the log before it is sent");
    });
}

/// The engine's report shows whether the order was executed, and later orders must not be blocked.
#[test]
fn a_lost_order_response_does_not_block_later_versions() {
    block_on(async {
        let (deployment, engines) = Deployment::start_with_engines("order-unknown", rollouts(), 2).await;
        for version in [2, 3] {
            engines.iter().for_each(|engine| engine.lose_order_responses(1));
            let body = serde_json::to_vec(&notes(version)).expect("failed to serialize JSON");
            let answer = call(deployment.control, Method::POST, "/v1/versions", &[], body).await;
            assert_eq!(answer.status, StatusCode::OK);
            let since = Instant::now();
            let items = job(&format!("j-{version}"), version, 10 * version as u32, 4, 3);
            assert_eq!(deployment.submit(&items).await, StatusCode::ACCEPTED);
            let page = deployment.await_results(&format!("j-{version}"), 4).await;
            assert!(page.results.iter().all(|(_, result)| result.versions == [version]));
            assert!(since.elapsed() < Duration::from_secs(4), "items were delayed for {:?}", since.elapsed());
        }
        assert!(engines.iter().all(|engine| engine.orders_rejected() == 0), "an order was rejected");
    });
}

#[test]
fn an_invalid_document_is_rejected_with_the_reason() {
    block_on(async {
        let (deployment, _) = Deployment::start_with_engines("invalid", rollouts(), 0).await;
        let mut invalid = document(9, vec![rollouts()]);
        invalid.routes[0].timeout_ms = 0;
        let body = serde_json::to_vec(&invalid).expect("failed to serialize JSON");
        let rejected = call(deployment.control, Method::PUT, "/admin/v1/routing", &[], body.clone()).await;
        assert_eq!(rejected.status, StatusCode::BAD_REQUEST);
        assert_eq!(rejected.body, "the timeout of route `/rollouts/` is 0");
        let truncated =
            call(deployment.control, Method::PUT, "/admin/v1/routing", &[], body[..body.len() / 2].to_vec()).await;
        assert_eq!(truncated.status, StatusCode::BAD_REQUEST);
        let stored = call(deployment.control, Method::GET, "/admin/v1/routing", &[], "").await;
        assert!(stored.body.starts_with(b"{\"version\":1,"), "{:?}", stored.body);
    });
}

#[test]
fn a_machine_is_retired_only_if_enough_remain() {
    block_on(async {
        let (deployment, _) = Deployment::start_with_engines("retired", rollouts(), 0).await;
        let path = "/admin/v1/stores/store-1/retirement";
        assert_eq!(call(deployment.control, Method::POST, path, &[], "").await.status, StatusCode::NOT_FOUND);
        let record = saddlerelay_types::gateway::StoreRecord {
            name: "store-1".to_string(),
            replica: deployment.node.replica().id(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "north".to_string(),
        };
        let command = saddlerelay_types::gateway::GatewayCommand::RegisterStore(record);
        deployment.node.commit_gateway(command).await.expect("the command was not committed");
        assert_eq!(call(deployment.control, Method::POST, path, &[], "").await.status, StatusCode::CONFLICT);
    });
}
