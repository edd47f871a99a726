//! An engine that sends interim responses without end: its calls fail in time and the caller's other tasks keep running.

mod common;

use bytes::Bytes;
use common::order;
use http_body_util::Full;
use hyper::Request;
use saddlerelay_upstream::connection::Connection;
use saddlerelay_upstream::limits::MAX_HEAD_BYTES;
use saddlerelay_upstream::{Failure, Reuse};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const INTERIM_RESPONSE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\ncontent-length: 2\r\n\r\nok";

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a call must end: its timeout, and the delay of a busy machine.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);

/// How long an engine sends at most, so that a caller that never stops reading ends its test.
const MAX_SENDING_TIME: Duration = Duration::from_secs(5);

/// Longest time for which the other tasks of the caller's thread may wait.
const MAX_TASK_DELAY: Duration = Duration::from_millis(400);

const TICK: Duration = Duration::from_millis(5);

/// Most bytes that an engine may be able to write: what the caller reads, and the kernel's buffers of both sides.
const MAX_WRITTEN_BYTES: usize = 16 << 20;

fn read_request(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    let mut request = Vec::new();
    while !request.ends_with(b"load") {
        let count = stream.read(&mut buffer).expect("the request arrives");
        assert!(count > 0, "the request arrives");
        request.extend_from_slice(&buffer[..count]);
    }
}

/// Sends interim responses until the caller closes the connection; returns the number of bytes written.
fn flood(mut stream: TcpStream) -> usize {
    stream.set_write_timeout(Some(MAX_SENDING_TIME)).expect("the timeout is valid");
    let bytes = INTERIM_RESPONSE.repeat(1_000);
    let started_at = Instant::now();
    let mut written = 0;
    while started_at.elapsed() < MAX_SENDING_TIME {
        match stream.write(bytes.as_bytes()) {
            Ok(count) => written += count,
            Err(_) => break,
        }
    }
    written
}

/// Answers `connections` requests with `answer`, each on a thread of its own.
fn serve(connections: usize, answer: fn(TcpStream) -> usize) -> (SocketAddr, JoinHandle<Vec<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let server = std::thread::spawn(move || {
        let answer_next = |_| {
            let (mut stream, _) = listener.accept().expect("the caller connects");
            std::thread::spawn(move || {
                read_request(&mut stream);
                answer(stream)
            })
        };
        let answers: Vec<JoinHandle<usize>> = (0..connections).map(answer_next).collect();
        answers.into_iter().map(|answer| answer.join().expect("the engine ends")).collect()
    });
    (address, server)
}

/// Runs `future` beside a task that is to run at each tick; also returns the longest time for which that task waited.
fn with_ticking_task<T>(future: impl Future<Output = T>) -> (T, Duration) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let last_tick = Rc::new(Cell::new(Instant::now()));
        let longest_gap = Rc::new(Cell::new(Duration::ZERO));
        let (tick, gap) = (last_tick.clone(), longest_gap.clone());
        let ticking = compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(TICK).await;
                gap.set(gap.get().max(tick.get().elapsed()));
                tick.set(Instant::now());
            }
        });
        let outcome = future.await;
        let gap = longest_gap.get().max(last_tick.get().elapsed());
        drop(ticking);
        (outcome, gap)
    })
}

fn assert_bounded(written: &[usize]) {
    assert!(written.iter().all(|bytes| *bytes < MAX_WRITTEN_BYTES), "bytes that the engines could write: {written:?}");
}

/// Guards against a thread that does nothing but read the interim responses of one engine, so that no deadline fires
/// and no other request of the process is served.
#[test]
fn requests_to_an_engine_that_sends_interim_responses_without_end_fail_and_hold_up_no_other_task() {
    const REQUESTS: usize = 4;
    let (address, server) = serve(REQUESTS, flood);
    let (pool, target, request) = order(address, CALL_TIMEOUT);
    let started_at = Instant::now();
    let (failures, gap) = with_ticking_task(futures::future::join_all((0..REQUESTS).map(async |_| {
        let sending = pool.send(&target, &request, Reuse::None, || CALL_TIMEOUT, || true);
        compio::time::timeout(CALL_TIMEOUT, sending).await.map(|response| response.map(drop))
    })));
    let elapsed = started_at.elapsed();
    assert!(failures.iter().all(|failure| !matches!(failure, Ok(Ok(())))), "{failures:?}");
    assert!(gap < MAX_TASK_DELAY, "no other task ran for {gap:?}; ended after {elapsed:?}");
    assert!(elapsed < CALL_LIMIT, "ended after {elapsed:?}");
    assert_bounded(&server.join().expect("the engine ends"));
}

/// Guards against control calls that hold up the process in the same way.
#[test]
fn a_control_call_to_an_engine_that_sends_interim_responses_without_end_fails() {
    let (address, server) = serve(1, flood);
    let (pool, target, request) = order(address, CALL_TIMEOUT);
    let started_at = Instant::now();
    let (result, gap) = with_ticking_task(pool.call(&target, &request, CALL_TIMEOUT, || true));
    let elapsed = started_at.elapsed();
    assert!(matches!(result, Err(Failure::PossiblyExecuted(_) | Failure::ConnectionLost(_))), "{result:?}");
    assert!(gap < MAX_TASK_DELAY, "no other task ran for {gap:?}; ended after {elapsed:?}");
    assert!(elapsed < CALL_LIMIT, "ended after {elapsed:?}");
    assert_bounded(&server.join().expect("the engine ends"));
}

/// Sends as many interim responses as one head may have bytes, then a response.
fn respond_after_interim_responses(mut stream: TcpStream) -> usize {
    let interim = INTERIM_RESPONSE.repeat(MAX_HEAD_BYTES / INTERIM_RESPONSE.len());
    for bytes in [interim.as_bytes(), RESPONSE.as_bytes()] {
        stream.write_all(bytes).expect("the caller reads");
    }
    // Until the caller closes the connection.
    let _ = stream.read(&mut [0; 1]);
    interim.len() + RESPONSE.len()
}

/// Guards against a limit that rejects an engine whose interim responses end.
#[test]
fn a_response_after_interim_responses_is_received() {
    let (address, server) = serve(1, respond_after_interim_responses);
    let (pool, target, request) = order(address, CALL_TIMEOUT);
    let (response, _) = with_ticking_task(pool.call(&target, &request, CALL_TIMEOUT, || true));
    assert_eq!(response.expect("the engine responds").1, "ok");
    server.join().expect("the engine ends");
}

/// Guards against a limit that counts the heads of all responses of a connection, or their bodies.
#[test]
fn the_limit_on_a_head_holds_for_each_request_anew() {
    const RESPONSES: usize = 8;
    fn respond_repeatedly(mut stream: TcpStream) -> usize {
        let interim = INTERIM_RESPONSE.repeat(MAX_HEAD_BYTES / INTERIM_RESPONSE.len());
        let body = "x".repeat(8 * MAX_HEAD_BYTES);
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\nsaddlerelay-request: r-1\r\ncontent-length: {length}\r\n\r\n");
        for index in 0..RESPONSES {
            if index > 0 {
                read_request(&mut stream);
            }
            stream.write_all(format!("{interim}{head}{body}").as_bytes()).expect("the caller reads");
        }
        RESPONSES
    }
    let (address, server) = serve(1, respond_repeatedly);
    with_ticking_task(async {
        let mut connection = Connection::open(address, CALL_TIMEOUT).await.expect("the engine listens");
        for _ in 0..RESPONSES {
            assert!(connection.is_ready().await, "the engine keeps the connection open");
            let body = Full::new(Bytes::from_static(b"load"));
            let request = Request::post("/v1/weights").body(body).expect("the request is valid");
            let response = connection.send(request).await.expect("the engine responds");
            let body = http_body_util::BodyExt::collect(response.into_body()).await.expect("the response is whole");
            assert_eq!(body.to_bytes().len(), 8 * MAX_HEAD_BYTES);
        }
    });
    assert_eq!(server.join().expect("the engine ends"), [RESPONSES]);
}
