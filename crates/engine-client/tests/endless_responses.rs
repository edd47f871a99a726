//! Engines and scorers that send a body without end: each call ends with an error, and its connection is closed.

mod common;

use common::{engine, generation_request};
use compio::runtime::Runtime;
use futures::StreamExt;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_runtime::backend::{Backends, EngineConnection};
use saddlerelay_types::engine::{EngineAction, EngineOrder};
use saddlerelay_types::identity::{Fence, WeightVersion};
use saddlerelay_types::request::Generation;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time within which each call must end.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Most bytes that a server may be able to write before its connection is closed: the largest body that is read, and the
/// kernel's buffers.
const MAX_WRITTEN_BYTES: usize = 32 * 1024 * 1024;

/// Answers one request with `head`, and then `repeated` until the peer closes the connection. The thread returns the number
/// of bytes written.
fn serve(head: &'static str, repeated: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("the client sends a request");
        let bytes = repeated.repeat(16 * 1_024 / repeated.len());
        let mut written = 0;
        let mut result = stream.write_all(head.as_bytes());
        while result.is_ok() && written < 10 * MAX_WRITTEN_BYTES {
            written += bytes.len();
            result = stream.write_all(bytes.as_bytes());
        }
        written
    });
    (address, server)
}

/// Runs `call` against a server that sends without end; returns whether the call succeeded.
fn call<F: Future<Output = bool>>(
    head: &'static str,
    repeated: &'static str,
    call: impl FnOnce(HttpBackends, SocketAddr) -> F,
) -> bool {
    let (address, server) = serve(head, repeated);
    let runtime = Runtime::new().expect("the runtime starts");
    let succeeded = runtime.block_on(async {
        let backends = HttpBackends::new(BackendAddresses { scorer: Some(address), platform: Some(address) });
        let outcome = compio::time::timeout(CALL_LIMIT, call(backends, address)).await;
        // The connection is closed as soon as its task runs.
        compio::time::sleep(Duration::from_millis(200)).await;
        outcome.expect("the call did not end in time")
    });
    drop(runtime);
    let written = server.join().expect("the server ends");
    assert!(written < MAX_WRITTEN_BYTES, "the server could write {written} bytes");
    succeeded
}

const BODY: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n[";

/// Guards against calls that buffer a body for as long as the peer sends.
#[test]
fn calls_to_peers_that_send_without_end_fail() {
    assert!(!call(BODY, "1,", async |backends, address| backends.status(&engine(address)).await.is_ok()));
    assert!(!call(BODY, "1,", async |backends, _| backends.score("a prompt", &Generation::empty()).await.is_ok()));
    assert!(!call(BODY, "1,", async |backends, _| backends.machines().await.is_ok()));
    let order = EngineOrder { fence: Fence(1), action: EngineAction::LoadWeights(WeightVersion(2)) };
    assert!(!call(BODY, "1,", async |backends, address| backends.order(&engine(address), order).await.is_ok()));
}

const INTERIM_RESPONSE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Guards against orders and generations that read interim responses for as long as the engine sends them.
#[test]
fn orders_and_generations_of_engines_that_send_interim_responses_without_end_fail() {
    let order = EngineOrder { fence: Fence(1), action: EngineAction::LoadWeights(WeightVersion(2)) };
    assert!(!call("", INTERIM_RESPONSE, async |backends, address| {
        backends.order(&engine(address), order).await.is_ok()
    }));
    assert!(!call("", INTERIM_RESPONSE, async |backends, address| {
        let connection = backends.connect(&engine(address)).await.expect("the engine accepts the connection");
        connection.generate(generation_request()).await.is_ok()
    }));
}

/// Guards against status, score and platform calls that read interim responses for as long as the peer sends them.
#[test]
fn other_calls_to_peers_that_send_interim_responses_without_end_fail() {
    assert!(!call("", INTERIM_RESPONSE, async |backends, address| backends.status(&engine(address)).await.is_ok()));
    assert!(!call("", INTERIM_RESPONSE, async |backends, _| {
        backends.score("a prompt", &Generation::empty()).await.is_ok()
    }));
    assert!(!call("", INTERIM_RESPONSE, async |backends, _| backends.machines().await.is_ok()));
}

/// Guards against a generation whose stream has an event that never ends.
#[test]
fn a_generation_with_an_event_that_never_ends_breaks_off() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ";
    let succeeded = call(head, "an event that never ends", async |backends, address| {
        let connection = backends.connect(&engine(address)).await.expect("the engine accepts the connection");
        let mut stream = connection.generate(generation_request()).await.expect("the engine responds");
        stream.next().await.is_some_and(|event| event.is_ok())
    });
    assert!(!succeeded);
}
