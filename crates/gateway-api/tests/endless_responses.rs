//! Engines that send bytes without end, in a head or in a body. The connection is closed within bounded time and bytes, and
//! the request is handled as after any other unusable response.

mod common;

use common::endless::{EndlessResponse, EndlessServer};
use common::engine::StandInEngine;
use common::{
    Deployment, HOST, block_on, call, document, eventually, instance, job, notes, report, rollouts, route, scored,
};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::InstanceReport;
use saddlerelay_types::job::ItemEnd;
use saddlerelay_types::routing::{BatchSettings, Route, RouteKind};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A response head up to its last header.
const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: {id}\r\nsaddlerelay-stamp: endless\r\n";

/// Growth of the resident memory that one test case allows, in bytes: the budget for large response bodies, and room for
/// what else a case needs. Endless responses send as much in a fraction of a second.
const MAX_MEMORY_GROWTH: u64 = (128 + 32) * 1024 * 1024;

/// Interval at which the memory is measured.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);

/// Held by each test, as the memory of the whole process is measured.
static ONE_TEST: Mutex<()> = Mutex::new(());

/// Requests sent at the same time to an endless engine.
const CONCURRENT_REQUESTS: usize = 16;

/// Time within which a connection is closed after the request has ended.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);

const fn flood(prefix: &'static str, repeated: &'static str) -> EndlessResponse {
    EndlessResponse { prefix, repeated, pause: None }
}

const fn trickle(prefix: &'static str, repeated: &'static str) -> EndlessResponse {
    EndlessResponse { prefix, repeated, pause: Some(Duration::from_millis(20)) }
}

/// Responses whose head never ends.
const HEADS: [(&str, EndlessResponse); 6] = [
    ("bytes-that-are-no-status-line", flood("", "garbage")),
    ("header-line", flood("HTTP/1.1 200 OK\r\nx: ", "value")),
    ("headers", flood("HTTP/1.1 200 OK\r\n", "x: value\r\n")),
    ("interim-responses", flood("", "HTTP/1.1 100 Continue\r\n\r\n")),
    ("slow-header-line", trickle("HTTP/1.1 200 OK\r\nx: ", "v")),
    ("slow-interim-responses", trickle("", "HTTP/1.1 100 Continue\r\n\r\n")),
];

/// Responses whose body never ends, after [`OPEN_HEAD`].
const BODIES: [(&str, &str, &str); 5] = [
    ("body-until-close", "\r\n", "bytes"),
    ("chunks", "transfer-encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"),
    ("chunk-extension", "transfer-encoding: chunked\r\n\r\n5;", "extension"),
    ("trailers", "transfer-encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n", "x: trailer\r\n"),
    ("bytes-behind-the-body", "content-length: 5\r\n\r\nbytes", "more"),
];

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is not readable");
    let pages: u64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).expect("unexpected statm format");
    pages * 4_096
}

fn open_body(after_head: &str, repeated: &'static str) -> EndlessResponse {
    let prefix: &'static str = Box::leak(format!("{OPEN_HEAD}{after_head}").into_boxed_str());
    flood(prefix, repeated)
}

/// A deployment with an engine that sends bytes without end, and its memory before any request and at most since.
struct Fixture {
    deployment: Deployment,
    endless: EndlessServer,
    memory_before: u64,
    peak_memory: Rc<Cell<u64>>,
}

impl Fixture {
    async fn start(name: &str, routes: &[Route], service: &str, response: EndlessResponse) -> Self {
        let deployment = Deployment::start(&format!("endless-{name}")).await;
        deployment.configure(&document(1, routes.to_vec())).await;
        let endless = EndlessServer::start(response).await;
        let endless_report = InstanceReport {
            models: vec![notes(1)],
            slots: 64,
            ..report(instance("endless"), service, endless.address)
        };
        deployment.send_report(&endless_report).await;
        deployment.await_engines(service, 1).await;
        let memory_before = resident_bytes();
        let peak_memory = Rc::new(Cell::new(memory_before));
        let peak = peak_memory.clone();
        compio::runtime::spawn(async move {
            loop {
                peak.set(peak.get().max(resident_bytes()));
                compio::time::sleep(MEMORY_INTERVAL).await;
            }
        })
        .detach();
        Self { deployment, endless, memory_before, peak_memory }
    }

    /// Checks the growth of the memory.
    fn assert_memory(&self, name: &str) {
        let growth = self.peak_memory.get() - self.memory_before;
        assert!(growth < MAX_MEMORY_GROWTH, "{name}: {growth} bytes more, {} written", self.endless.written());
    }

    /// Waits until the endless engine can't write any more, and checks the memory.
    async fn assert_closed(&self, name: &str) {
        let deadline = Instant::now() + CLOSE_LIMIT;
        while self.endless.writing() > 0 {
            assert!(Instant::now() < deadline, "{name}: {} connections still open", self.endless.writing());
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(self.endless.requests() > 0, "{name}: the endless engine got no request");
        self.assert_memory(name);
    }

    /// Sends concurrent requests and checks that each gets a failure of the gateway in time.
    async fn assert_requests_fail(&self, name: &str, headers: &[(&str, &str)]) {
        let requests = (0..CONCURRENT_REQUESTS).map(|index| async move {
            let id = format!("{name}-{index}");
            let headers = [&[("saddlerelay-request", id.as_str()), ("host", HOST)], headers].concat();
            let since = Instant::now();
            let response = call(self.deployment.client_address, Method::POST, "/plans/7", &headers, "a plan").await;
            (response.status, since.elapsed())
        });
        for (status, elapsed) in futures::future::join_all(requests).await {
            assert!(status.is_server_error(), "{name}: {status}");
            assert!(elapsed < Duration::from_millis(2_500), "{name}: answered after {elapsed:?}");
        }
    }
}

/// Guards against a gateway that reads a head, interim responses or a body for as long as an engine sends them.
#[test]
fn requests_to_engines_that_send_without_end_fail_in_time_and_memory() {
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    let bodies = BODIES.map(|(name, after_head, repeated)| (name, open_body(after_head, repeated)));
    for (name, response) in HEADS.into_iter().chain(bodies) {
        block_on(async {
            let route = Route { max_attempts: 1, ..route("/plans/", RouteKind::Idempotent, "web") };
            let fixture = Fixture::start(name, &[route], "web", response).await;
            if name == "bytes-behind-the-body" {
                // The response is whole; what follows it belongs to no request.
                let response = fixture.deployment.request(Method::POST, "/plans/7", &[ID], "a plan").await;
                assert_eq!((response.status, &response.body[..]), (StatusCode::OK, &b"bytes"[..]));
            } else {
                fixture.assert_requests_fail(name, &[]).await;
            }
            fixture.assert_closed(name).await;
        });
    }
}

const ID: (&str, &str) = ("saddlerelay-request", "single");

/// Guards against a stream whose event never ends, and against events that keep a stream alive beyond its deadline.
#[test]
fn streams_of_engines_that_send_without_end_are_ended() {
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    let event = open_body("\r\ndata: ", "an event that never ends");
    let head = HEADS[4].1;
    let events = open_body("\r\n", "data: an event\n\n");
    for (name, response) in [("stream-event", event), ("stream-head", head), ("stream-events", events)] {
        block_on(async {
            let route = Route { timeout_ms: 700, ..route("/plans/", RouteKind::Streaming, "web") };
            let fixture = Fixture::start(name, &[route], "web", response).await;
            let streams = (0..CONCURRENT_REQUESTS).map(|index| {
                let client_address = fixture.deployment.client_address;
                async move { read_stream(client_address, &format!("{name}-{index}")).await }
            });
            for (is_complete, elapsed) in futures::future::join_all(streams).await {
                assert!(!is_complete, "{name}: the stream appears complete");
                assert!(elapsed < Duration::from_millis(3_000), "{name}: ended after {elapsed:?}");
            }
            fixture.assert_closed(name).await;
        });
    }
}

/// Opens a stream and discards what arrives; returns whether it ended as a complete success, and after which time.
async fn read_stream(client_address: std::net::SocketAddr, id: &str) -> (bool, Duration) {
    let since = Instant::now();
    let mut connection =
        saddlerelay_http::client::Connection::open(client_address).await.expect("failed to connect to the gateway");
    let headers = [("saddlerelay-request", id), ("host", HOST), ("events", "1")];
    let response = connection.send(Method::POST, "/plans/7", &headers, "a plan").await;
    // A stream that breaks off before its first event may end without a response head.
    let Ok(mut response) = response else {
        return (false, since.elapsed());
    };
    let is_success = response.status().is_success();
    loop {
        match response.body_mut().frame().await {
            Some(Ok(_)) => {}
            Some(Err(_)) => return (false, since.elapsed()),
            None => return (is_success, since.elapsed()),
        }
    }
}

/// Guards against an item whose attempt never ends, and against a text that grows without end.
#[test]
fn items_on_engines_that_send_without_end_run_elsewhere() {
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    let event = open_body("saddlerelay-version: 1\r\n\r\ndata: ", "an event that never ends");
    let events = open_body("saddlerelay-version: 1\r\n\r\n", "data: an event\n\n");
    let slow_events = EndlessResponse { pause: Some(Duration::from_millis(20)), ..events };
    let slow_event = EndlessResponse { pause: Some(Duration::from_millis(100)), ..event };
    let cases = [("event", event), ("events", events), ("slow-events", slow_events), ("slow-event", slow_event)];
    for (name, response) in HEADS.into_iter().chain(cases) {
        block_on(async {
            let fixture = Fixture::start(&format!("item-{name}"), &[rollouts()], "llm", response).await;
            let submission = job("job", 0, 0, 4, 3);
            assert_eq!(fixture.deployment.submit(&submission).await, StatusCode::ACCEPTED);
            eventually("the endless engine got an item", async || fixture.endless.requests() > 0).await;
            let sound = StandInEngine::start("sound").await;
            fixture.deployment.register(&sound, "llm").await;
            let page = fixture.deployment.await_results("job", 4).await;
            for (_, result) in &page.results {
                let text: Vec<String> = (1..=3).map(|event| format!("/rollouts/{} {event}", result.item)).collect();
                assert_eq!(
                    (result.end, String::from_utf8_lossy(&result.text)),
                    (ItemEnd::Completed, text.join("\n").into())
                );
            }
            fixture.assert_closed(name).await;
        });
    }
}

/// Guards against a memory that grows with the number of items whose engine sends large events without end.
#[test]
fn many_items_on_an_engine_that_sends_large_events_without_end_are_held_in_bounded_memory() {
    const ITEMS: u32 = 32;
    const FLOOD_TIME: Duration = Duration::from_secs(6);
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    let repeated: &'static str = Box::leak(format!("data: {}\n\n", "x".repeat(32_000)).into_boxed_str());
    let events = open_body("saddlerelay-version: 1\r\n\r\n", repeated);
    block_on(async {
        let fixture = Fixture::start("large-events", &[rollouts()], "llm", events).await;
        // Enough tokens that their number doesn't end the texts first.
        let submission = job("job", 0, 0, ITEMS, 100_000);
        assert_eq!(fixture.deployment.submit(&submission).await, StatusCode::ACCEPTED);
        eventually("the endless engine got items", async || fixture.endless.requests() > 0).await;
        compio::time::sleep(FLOOD_TIME).await;
        fixture.assert_memory("large-events");
    });
}

/// Guards against an item that is running for ever, beyond its deadline, because its engine always sends another event.
#[test]
fn an_item_ends_at_its_deadline_although_its_engine_sends_on() {
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let events = open_body("saddlerelay-version: 1\r\n\r\n", "data: an event\n\n");
        let response = EndlessResponse { pause: Some(Duration::from_millis(50)), ..events };
        let batch = BatchSettings { give_up_after_ms: 500, ..rollouts().batch };
        let route = Route { batch, path_prefix: "/short/".to_string(), ..rollouts() };
        let fixture = Fixture::start("item-deadline", &[route], "llm", response).await;
        // Enough tokens that their number doesn't end the text first.
        let mut submission = job("job", 0, 0, 1, 100_000);
        submission.path = "/short/job".to_string();
        let headers = [("host", HOST), ("saddlerelay-request", "job")];
        let body = serde_json::to_vec(&submission).expect("failed to serialize JSON");
        let accepted = call(fixture.deployment.client_address, Method::POST, "/short/job", &headers, body).await;
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let since = Instant::now();
        let page = fixture.deployment.await_results("job", 1).await;
        assert_eq!(page.results[0].1.end, ItemEnd::Aborted);
        assert!(since.elapsed() < Duration::from_secs(5), "aborted after {:?}", since.elapsed());
        fixture.assert_closed("item-deadline").await;
    });
}

/// Guards against score calls, reports and order responses that are read without end.
#[test]
fn control_and_score_calls_to_engines_that_send_without_end_are_ended() {
    let _one_test = ONE_TEST.lock().unwrap_or_else(PoisonError::into_inner);
    for (name, response) in [HEADS[0], HEADS[3], ("body", open_body("\r\n", "bytes"))] {
        block_on(async {
            let scores = route("/scores/", RouteKind::Idempotent, "web");
            let fixture = Fixture::start(&format!("score-{name}"), &[scores, rollouts()], "web", response).await;
            // Also hosts the model, so that it is sent report requests and orders.
            let endless_report = InstanceReport {
                models: vec![notes(1)],
                ..report(instance("endless-model"), "llm", fixture.endless.address)
            };
            fixture.deployment.send_report(&endless_report).await;
            let sound = StandInEngine::start("sound").await;
            fixture.deployment.register(&sound, "llm").await;
            let version = serde_json::to_vec(&notes(2)).expect("failed to serialize JSON");
            let published = call(fixture.deployment.control, Method::POST, "/v1/versions", &[], version).await;
            assert_eq!(published.status, StatusCode::OK, "{name}");
            let submission = scored(job("job", 0, 0, 2, 1));
            assert_eq!(fixture.deployment.submit(&submission).await, StatusCode::ACCEPTED);
            eventually(&format!("the endless engine got calls ({name})"), async || fixture.endless.requests() >= 6)
                .await;
            let scorer = StandInEngine::start("scorer").await;
            fixture.deployment.register(&scorer, "web").await;
            fixture.deployment.await_results("job", 2).await;
            // Report requests and orders go on; each connection of them is closed in time.
            fixture.assert_memory(name);
            assert!(fixture.endless.writing() <= 8, "{name}: {} connections open", fixture.endless.writing());
        });
    }
}
