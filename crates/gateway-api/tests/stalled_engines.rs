//! A stalled engine must not delay responses that are already available.

mod common;

use common::engine::{EngineBehavior, StandInEngine};
use common::{Deployment, block_on, call, document, eventually, report, route};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use hyper::{Method, StatusCode};
use saddlerelay_types::instance::InstanceId;
use saddlerelay_types::routing::{Route, RouteKind};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const REQUEST_ID: (&str, &str) = ("saddlerelay-request", "r-1");

/// Larger than the socket buffers of a connection.
const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Bytes per read of the early engine, which reads so slowly that the request lasts longer than the test.
const READ_BYTES: usize = 16 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(150);

const EARLY_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\nsaddlerelay-stamp: early\r\ncontent-length: 5\r\n\r\nearly";

/// Starts an engine that responds after its first read and reads the rest of the request slowly; returns the number of bytes
/// read.
async fn start_early_engine() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("listener has no local address");
    let read = Rc::new(Cell::new(0));
    let read_counter = read.clone();
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(answer_early(stream, read_counter.clone())).detach();
        }
    })
    .detach();
    (address, read)
}

async fn answer_early(mut stream: TcpStream, read: Rc<Cell<usize>>) {
    let mut is_answered = false;
    loop {
        let BufResult(count, _) = stream.read(Vec::with_capacity(READ_BYTES)).await;
        match count {
            Ok(count) if count > 0 => read.set(read.get() + count),
            _ => return,
        }
        if !is_answered && stream.write_all(EARLY_ANSWER.as_bytes()).await.0.is_err() {
            return;
        }
        is_answered = true;
        compio::time::sleep(READ_PAUSE).await;
    }
}

#[test]
fn a_complete_response_is_forwarded_before_the_engine_has_read_the_request() {
    block_on(async {
        let deployment = Deployment::start("early").await;
        let plans = Route { timeout_ms: 6_000, ..route("/plans/", RouteKind::NonIdempotent, "web") };
        let mut document = document(1, vec![plans]);
        document.limits.max_body_bytes = LONG_BODY_BYTES as u64;
        deployment.configure(&document).await;
        let (address, read) = start_early_engine().await;
        let body = serde_json::to_vec(&report(InstanceId::without_start_time("early"), "web", address))
            .expect("failed to serialize JSON");
        call(deployment.control, Method::PUT, "/v1/instances/early", &[], body).await;
        deployment.await_engines("web", 1).await;
        let answer = deployment.request(Method::POST, "/plans/1", &[REQUEST_ID], &"x".repeat(LONG_BODY_BYTES)).await;
        assert_eq!((answer.status, &answer.body[..]), (StatusCode::OK, &b"early"[..]));
        assert!(read.get() < LONG_BODY_BYTES, "the engine had read the entire request");
    });
}

#[test]
fn a_request_at_a_stalled_engine_is_answered_by_another() {
    block_on(async {
        let deployment = Deployment::start("still").await;
        let plans = Route { timeout_ms: 20_000, ..route("/plans/", RouteKind::Idempotent, "web") };
        deployment.configure(&document(1, vec![plans])).await;
        let engines = [StandInEngine::start("first").await, StandInEngine::start("second").await];
        for engine in &engines {
            deployment.register(engine, "web").await;
        }
        deployment.await_engines("web", 2).await;
        for (stalled, other) in [(0, 1), (1, 0)] {
            engines[stalled].set_behavior(EngineBehavior::Hang);
            engines[other].set_behavior(EngineBehavior::Respond);
            let before = engines[stalled].received_requests().len();
            // A stalled engine is avoided for a while.
            eventually("a request reaches the stalled engine", async || {
                let answer = deployment.request(Method::GET, "/plans/1", &[REQUEST_ID], "").await;
                let expected = ["first answers /plans/1", "second answers /plans/1"][other];
                assert_eq!((answer.status, &answer.body[..]), (StatusCode::OK, expected.as_bytes()));
                engines[stalled].received_requests().len() > before
            })
            .await;
            eventually("the requests at the stalled engine are cancelled", async || {
                engines[stalled].cancelled() as usize + before == engines[stalled].received_requests().len()
            })
            .await;
        }
    });
}
