//! Engines and scorers that break a response off, at each of its bytes: no part of a response may be taken for a whole one,
//! and a generation has exactly the chunks that have arrived whole.

mod common;

use common::{engine, generation_request};
use compio::runtime::Runtime;
use futures::StreamExt;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_runtime::backend::{Backends, EngineConnection};
use saddlerelay_types::engine::{EngineAction, EngineDescription, EngineOrder};
use saddlerelay_types::identity::{Fence, WeightVersion};
use saddlerelay_types::request::Generation;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

/// Timeout that only fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of bytes of a request that are read before a reset: fewer than each request has.
const BYTES_BEFORE_RESET: usize = 16;

/// Ways in which a peer marks the end of a body.
const FRAMINGS: [Framing; 4] = [Framing::Length, Framing::Chunks, Framing::Close, Framing::Http10Close];

const STATUS: &str = r#"{"id":"engine-1","incarnation":1,"weights":{"state":"confirmed","version":1},"pending":null,"leaving":false,"load":{"running":0,"waiting":0},"fence":1}"#;

const SCORE: &str = r#"{"reward_milli":1000}"#;

const MACHINES: &str = "[]";

const ACCEPTED_ORDER: &str = "{}";

/// How a peer marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
    Http10Close,
}

/// How a peer ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Closes it in order.
    Close,
    /// Closes it with a part of the request unread, so that the kernel resets it.
    Reset,
}

impl Framing {
    fn response(self, content_type: &str, body: &str) -> String {
        let content_type = format!("content-type: {content_type}\r\n");
        let length = body.len();
        match self {
            Self::Length => format!("HTTP/1.1 200 OK\r\n{content_type}content-length: {length}\r\n\r\n{body}"),
            Self::Chunks => {
                let head = format!("HTTP/1.1 200 OK\r\n{content_type}transfer-encoding: chunked\r\n\r\n");
                format!("{head}{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            Self::Close => format!("HTTP/1.1 200 OK\r\n{content_type}\r\n{body}"),
            Self::Http10Close => format!("HTTP/1.0 200 OK\r\n{content_type}\r\n{body}"),
        }
    }
}

/// Answers one request on each of `parts.len()` connections with the next of `parts`, and ends the connection.
fn serve_parts(parts: Vec<Vec<u8>>, end: End) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let server = std::thread::spawn(move || {
        for part in parts {
            let (mut stream, _) = listener.accept().expect("the client connects");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
            let mut request = vec![0; if end == End::Reset { BYTES_BEFORE_RESET } else { 1 << 16 }];
            let count = stream.read(&mut request).expect("the client sends a request");
            assert!(count > 0, "the request was broken off");
            stream.write_all(&part).expect("the client reads");
        }
    });
    (address, server)
}

/// Breaks `response` off after each number of its bytes, the whole response included; returns what `call` made of each part.
fn read_each_part<T>(
    response: &str,
    end: End,
    call: impl AsyncFn(&HttpBackends, &EngineDescription) -> T,
) -> Vec<(usize, T)> {
    let parts = (0..=response.len()).map(|cut| response.as_bytes()[..cut].to_vec()).collect();
    let (address, server) = serve_parts(parts, end);
    let runtime = Runtime::new().expect("the runtime starts");
    let results = runtime.block_on(async {
        let mut results = Vec::new();
        for cut in 0..=response.len() {
            // A pool of its own, so that each call opens a connection.
            let addresses = BackendAddresses { scorer: Some(address), platform: Some(address) };
            let backends = HttpBackends::new(addresses);
            let result = compio::time::timeout(TEST_TIMEOUT, call(&backends, &engine(address))).await;
            results.push((cut, result.expect("the call ends")));
        }
        results
    });
    // A request that was sent again would have taken the connection of the next part.
    server.join().expect("each connection carried one request");
    results
}

/// Checks that `call` succeeds with the whole of a response with this body, and with no part of it.
fn assert_only_the_whole_counts(body: &str, call: impl AsyncFn(&HttpBackends, &EngineDescription) -> bool) {
    for framing in FRAMINGS {
        let response = framing.response("application/json", body);
        for end in [End::Close, End::Reset] {
            for (cut, succeeded) in read_each_part(&response, end, &call) {
                let is_whole = cut == response.len();
                if is_whole && end == End::Reset {
                    // The response may have arrived before the reset.
                    continue;
                }
                assert_eq!(succeeded, is_whole, "{framing:?}, {end:?}, {:?}", &response[..cut]);
            }
        }
    }
}

/// Guards against a status of an engine that is taken from a part of a response.
#[test]
fn no_part_of_a_status_is_taken_as_whole() {
    assert_only_the_whole_counts(STATUS, async |backends, engine| backends.status(engine).await.is_ok());
}

/// Guards against a score that is taken from a part of a response.
#[test]
fn no_part_of_a_score_is_taken_as_whole() {
    assert_only_the_whole_counts(SCORE, async |backends, _| {
        backends.score("a prompt", &Generation::empty()).await.is_ok()
    });
}

/// Guards against a machine list that is taken from a part of a response.
#[test]
fn no_part_of_a_machine_list_is_taken_as_whole() {
    assert_only_the_whole_counts(MACHINES, async |backends, _| backends.machines().await.is_ok());
}

/// Guards against an order that counts as accepted after a part of its response.
#[test]
fn no_part_of_the_response_to_an_order_is_taken_as_whole() {
    assert_only_the_whole_counts(ACCEPTED_ORDER, async |backends, engine| {
        let order = EngineOrder { fence: Fence(1), action: EngineAction::LoadWeights(WeightVersion(2)) };
        backends.order(engine, order).await.is_ok()
    });
}

fn chunk(sequence: u32, finish: &str) -> String {
    format!(
        "data: {{\"attempt_id\":1,\"sequence\":{sequence},\"weight_version\":1,\"load\":{{\"running\":1,\"waiting\":0}},\
         \"choices\":[{{\"index\":0,\"text\":\"w\",\"token_ids\":[7],\"finish_reason\":{finish}}}]}}\n\n"
    )
}

/// The sequence numbers of the chunks that a generation received, each with whether it ended the text.
async fn generate(backends: &HttpBackends, engine: &EngineDescription) -> Vec<(u32, bool)> {
    let connection = backends.connect(engine).await.expect("the engine accepts the connection");
    let Ok(mut stream) = connection.generate(generation_request()).await else {
        return Vec::new();
    };
    let mut chunks = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.expect("no part of an event is forwarded");
        chunks.push((chunk.sequence, chunk.finish.is_some()));
    }
    chunks
}

/// Guards against a generation that ends as complete before its last chunk, or that contains a part of a chunk.
#[test]
fn a_generation_that_breaks_off_has_exactly_the_whole_chunks() {
    let events = [chunk(0, "null"), chunk(1, "null"), chunk(2, "\"stop\"")];
    let body = format!("{}data: [DONE]\n\n", events.concat());
    for framing in FRAMINGS {
        let response = framing.response("text/event-stream", &body);
        let start_of_body = response.find("data: ").expect("the response has events");
        for end in [End::Close, End::Reset] {
            for (cut, chunks) in read_each_part(&response, end, generate) {
                let received = cut.saturating_sub(start_of_body);
                let ends = (1..=events.len()).map(|count| events[..count].concat().len());
                let whole = ends.filter(|end| *end <= received).count() as u32;
                let expected: Vec<(u32, bool)> = (0..whole).map(|sequence| (sequence, sequence == 2)).collect();
                match end {
                    End::Close => assert_eq!(chunks, expected, "{framing:?}, {:?}", &response[..cut]),
                    // The reset may have overtaken chunks that were sent.
                    End::Reset => assert!(expected.starts_with(&chunks), "{framing:?}, {:?}", &response[..cut]),
                }
            }
        }
    }
}
