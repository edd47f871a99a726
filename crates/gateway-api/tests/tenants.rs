//! Tenants and API keys at a gateway: authentication, headers sent to engines, ownership of batch jobs and usage counts.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, HOST, block_on, call, document, eventually, job, rollouts, route};
use hyper::{Method, StatusCode};
use saddlerelay_control::state::ControlState;
use saddlerelay_http::client::{BufferedResponse, Connection};
use saddlerelay_types::credentials::SecretDigest;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::job::JobSubmission;
use saddlerelay_types::routing::{Route, RouteKind, RoutingDocument};
use saddlerelay_types::tenancy::TenantAccess;

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");
const KEY: &str = "saddlerelay-key";
const TENANT: &str = "saddlerelay-tenant";

fn tenant(name: &str, keys: &[&str]) -> TenantAccess {
    let keys = keys.iter().map(|key| SecretDigest::of(key.as_bytes())).collect();
    TenantAccess { name: TenantId::new(name), keys, priority: None }
}

fn with_tenants(version: u64, tenants: Vec<TenantAccess>) -> RoutingDocument {
    let open = Route { public: true, ..route("/open/", RouteKind::Idempotent, "web") };
    let routes = vec![route("/plans/", RouteKind::Idempotent, "web"), open, rollouts()];
    RoutingDocument { tenants: Some(tenants), ..document(version, routes) }
}

async fn start_deployment(name: &str) -> (Deployment, StandInEngine, StandInEngine) {
    let deployment = Deployment::start(name).await;
    let tenants = vec![tenant("clinic", &["clinic-1", "clinic-2"]), tenant("fund", &["fund-1"])];
    deployment.configure(&with_tenants(1, tenants)).await;
    let (web, llm) = (StandInEngine::start("web").await, StandInEngine::start("llm").await);
    deployment.register(&web, "web").await;
    deployment.register(&llm, "llm").await;
    deployment.await_engines("web", 1).await;
    deployment.await_engines("llm", 1).await;
    (deployment, web, llm)
}

async fn get(deployment: &Deployment, path: &str, headers: &[(&str, &str)]) -> StatusCode {
    deployment.request(Method::GET, path, &[headers, &[REQUEST_ID]].concat(), "").await.status
}

#[test]
fn a_request_with_an_unknown_key_is_rejected_before_any_engine() {
    block_on(async {
        let (deployment, web, _llm) = start_deployment("keys-unknown").await;
        for headers in [&[][..], &[(KEY, "")], &[(KEY, "clinic-3")], &[(KEY, "clinic-11")], &[(TENANT, "clinic")]] {
            assert_eq!(get(&deployment, "/plans/1", headers).await, StatusCode::UNAUTHORIZED, "{headers:?}");
        }
        let rejected = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID, (KEY, "guessed-key")], "").await;
        assert!(!String::from_utf8_lossy(&rejected.body).contains("guessed-key"));
        assert_eq!(get(&deployment, "/elsewhere/1", &[(KEY, "clinic-3")]).await, StatusCode::NOT_FOUND);
        assert!(web.received_requests().is_empty(), "an engine received a request");
        assert_eq!(deployment.gateway.metrics().keys_refused.get(), 6);
    });
}

#[test]
fn engines_receive_the_tenant_of_the_key_but_not_the_key() {
    block_on(async {
        let (deployment, web, _llm) = start_deployment("keys-told").await;
        for (headers, expected_tenant) in [
            (&[(KEY, "clinic-2")][..], Some("clinic")),
            (&[(KEY, "fund-1"), (TENANT, "clinic")], Some("fund")),
            (&[(TENANT, "clinic"), (KEY, "fund-1"), (TENANT, "clinic")], Some("fund")),
        ] {
            assert_eq!(get(&deployment, "/plans/1", headers).await, StatusCode::OK);
            let seen = web.received_requests().pop().expect("the engine received no request");
            assert_eq!(seen.header(TENANT), expected_tenant);
            assert_eq!(seen.headers.get_all(TENANT).iter().count(), 1);
            assert_eq!(seen.header(KEY), None);
        }
        // A public route needs no key, and the tenant header of the client is removed.
        for headers in [&[(TENANT, "clinic")][..], &[(KEY, "nobody's"), (TENANT, "clinic")]] {
            assert_eq!(get(&deployment, "/open/1", headers).await, StatusCode::OK);
            let seen = web.received_requests().pop().expect("the engine received no request");
            assert_eq!((seen.header(TENANT), seen.header(KEY)), (None, None));
        }
    });
}

async fn send(connection: &mut Connection, key: &str) -> StatusCode {
    let headers = [REQUEST_ID, (KEY, key), ("host", HOST)];
    let response = connection.send(Method::GET, "/plans/1", &headers, "").await.expect("the server sent no response");
    let (head, body) = response.into_parts();
    saddlerelay_http::body::read_body(body).await.expect("failed to read the entire body");
    head.status
}

#[test]
fn a_revoked_key_is_rejected_on_an_open_connection_and_a_new_key_accepted() {
    block_on(async {
        let (deployment, _web, _llm) = start_deployment("keys-revoked").await;
        let mut connection =
            Connection::open(deployment.client_address).await.expect("failed to connect to the gateway");
        assert_eq!(send(&mut connection, "clinic-1").await, StatusCode::OK);
        let tenants = vec![tenant("clinic", &["clinic-2", "clinic-9"]), tenant("fund", &["fund-1"])];
        deployment.configure(&with_tenants(2, tenants)).await;
        eventually("the key is rejected", async || send(&mut connection, "clinic-1").await == StatusCode::UNAUTHORIZED)
            .await;
        assert_eq!(send(&mut connection, "clinic-2").await, StatusCode::OK);
        assert_eq!(send(&mut connection, "clinic-9").await, StatusCode::OK);
        // An older document is ignored.
        let body = serde_json::to_vec(&with_tenants(1, vec![tenant("clinic", &["clinic-1"])]))
            .expect("failed to serialize JSON");
        let answer = call(deployment.control, Method::PUT, "/admin/v1/routing", &[], body).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(send(&mut connection, "clinic-1").await, StatusCode::UNAUTHORIZED);
    });
}

#[test]
fn a_document_in_which_two_tenants_share_a_key_is_rejected() {
    block_on(async {
        let (deployment, _web, _llm) = start_deployment("keys-shared").await;
        let shared = with_tenants(2, vec![tenant("clinic", &["clinic-1"]), tenant("fund", &["clinic-1"])]);
        let body = serde_json::to_vec(&shared).expect("failed to serialize JSON");
        let answer = call(deployment.control, Method::PUT, "/admin/v1/routing", &[], body).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert_eq!(get(&deployment, "/plans/1", &[(KEY, "fund-1")]).await, StatusCode::OK);
    });
}

async fn submit(deployment: &Deployment, job: &JobSubmission, key: &str) -> StatusCode {
    let body = serde_json::to_vec(job).expect("failed to serialize JSON");
    let path = format!("/rollouts/{}", job.id.0);
    let headers = [("host", HOST), ("saddlerelay-request", job.id.0.as_str()), (KEY, key)];
    call(deployment.client_address, Method::POST, &path, &headers, body).await.status
}

async fn call_as(deployment: &Deployment, method: Method, path: &str, key: &str) -> BufferedResponse {
    call(deployment.client_address, method, path, &[("host", HOST), (KEY, key)], "").await
}

async fn results(deployment: &Deployment, key: &str) -> (StatusCode, usize) {
    let answer = call_as(deployment, Method::GET, "/v1/jobs/j/results?after=0&wait_ms=50", key).await;
    let page = serde_json::from_slice::<saddlerelay_types::job::ResultPage>(&answer.body);
    (answer.status, page.map_or(0, |page| page.results.len()))
}

#[test]
fn a_batch_job_belongs_to_its_tenant() {
    block_on(async {
        let (deployment, _web, llm) = start_deployment("keys-jobs").await;
        llm.set_behavior(EngineBehavior::Hang);
        let mut submission = job("j", 1, 0, 4, 3);
        let forged_headers = vec![(TENANT.to_string(), "fund".to_string()), (KEY.to_string(), "clinic-1".to_string())];
        submission.items[0].headers.extend(forged_headers);
        assert_eq!(submit(&deployment, &submission, "guessed").await, StatusCode::UNAUTHORIZED);
        assert_eq!(submit(&deployment, &submission, "clinic-1").await, StatusCode::ACCEPTED);
        let calls = [
            (Method::GET, "/v1/jobs/j/results?after=0"),
            (Method::GET, "/v1/jobs/j/items/item-3/body"),
            (Method::DELETE, "/v1/jobs/j"),
        ];
        for (method, path) in calls.clone() {
            let rejected = call_as(&deployment, method.clone(), path, "guessed").await;
            assert_eq!(rejected.status, StatusCode::UNAUTHORIZED, "{path}");
            let another = call_as(&deployment, method.clone(), path, "fund-1").await;
            let unknown =
                call_as(&deployment, method, &path.replace("/j", "/x").replace("/xobs", "/jobs"), "fund-1").await;
            assert_eq!(another.status, StatusCode::NOT_FOUND, "{path}");
            assert_eq!(
                (another.status, another.body),
                (unknown.status, unknown.body),
                "the response reveals the job to another tenant"
            );
        }
        assert_eq!(submit(&deployment, &submission, "fund-1").await, StatusCode::NOT_FOUND);
        assert_eq!(
            submit(&deployment, &submission, "clinic-2").await,
            StatusCode::ACCEPTED,
            "a repeated submission is idempotent"
        );
        let body = call_as(&deployment, Method::GET, "/v1/jobs/j/items/item-3/body", "clinic-2").await;
        assert_eq!((body.status, &body.body[..]), (StatusCode::OK, &b"prompt 3"[..]));
        eventually("items are at the engine", async || llm.received_requests().len() >= 4).await;
        for seen in llm.received_requests() {
            assert_eq!((seen.header(TENANT), seen.header(KEY)), (Some("clinic"), None));
            assert_eq!(seen.headers.get_all(TENANT).iter().count(), 1);
        }
        let ended = call_as(&deployment, Method::DELETE, "/v1/jobs/j", "clinic-2").await;
        assert_eq!(ended.status, StatusCode::OK);
    });
}

#[test]
fn revoking_a_key_does_not_end_its_jobs() {
    block_on(async {
        let (deployment, _web, llm) = start_deployment("keys-lost").await;
        llm.set_behavior(EngineBehavior::Reject);
        assert_eq!(submit(&deployment, &job("j", 1, 0, 4, 3), "clinic-1").await, StatusCode::ACCEPTED);
        let tenants = vec![tenant("clinic", &["clinic-2"]), tenant("fund", &["fund-1"])];
        deployment.configure(&with_tenants(2, tenants)).await;
        eventually("the key is revoked", async || results(&deployment, "clinic-1").await.0 == StatusCode::UNAUTHORIZED)
            .await;
        llm.set_behavior(EngineBehavior::Respond);
        eventually("the job is done", async || results(&deployment, "clinic-2").await == (StatusCode::OK, 4)).await;
    });
}

#[test]
fn only_requests_that_an_engine_started_are_counted_for_their_tenant() {
    block_on(async {
        let (deployment, web, _llm) = start_deployment("keys-usage").await;
        eventually("the gateway has the time", async || {
            deployment.gateway.metrics().usage_counted.get() > 0
                || get(&deployment, "/plans/1", &[(KEY, "fund-1")]).await != StatusCode::OK
        })
        .await;
        let before = deployment.gateway.metrics().usage_counted.get();
        for _ in 0..3 {
            assert_eq!(get(&deployment, "/plans/1", &[(KEY, "clinic-1")]).await, StatusCode::OK);
        }
        // Not counted: a request without a tenant, a rejected one, and one that the engine did not execute.
        assert_eq!(get(&deployment, "/open/1", &[]).await, StatusCode::OK);
        assert_eq!(get(&deployment, "/plans/1", &[(KEY, "guessed")]).await, StatusCode::UNAUTHORIZED);
        web.set_behavior(EngineBehavior::Reject);
        assert_eq!(get(&deployment, "/plans/1", &[(KEY, "clinic-1")]).await, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(deployment.gateway.metrics().usage_counted.get() - before, 3);
        // A request that failed after its execution started is counted.
        web.set_behavior(EngineBehavior::Fail);
        assert_eq!(get(&deployment, "/plans/1", &[(KEY, "clinic-1")]).await, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(deployment.gateway.metrics().usage_counted.get() - before, 4);
        let committed = || {
            let sum = |name: &str| {
                let counts = |state: &ControlState| {
                    state.usage.open_counts().filter_map(|(_, c)| c.get(&TenantId::new(name)).copied()).sum::<u64>()
                };
                deployment.node.read(counts).unwrap_or_default()
            };
            (sum("clinic"), sum("fund"))
        };
        eventually("the counts are committed", async || committed() == (4, before)).await;
    });
}
