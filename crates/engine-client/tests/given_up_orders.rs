//! An order that its sender gives up is taken back as far as it has not reached the engine.

mod common;

use common::engine;
use compio::runtime::Runtime;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::engine::{EngineAction, EngineOrder};
use saddlerelay_types::identity::{Fence, WeightVersion};
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::task::Poll;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time after which the sender gives up.
const PATIENCE: Duration = Duration::from_millis(200);

/// Time for which another task holds the thread; longer than `PATIENCE`.
const DELAY: Duration = Duration::from_millis(500);

/// Timeout that only fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// When each part of a connection arrived, and the error, if it did not end in order.
type Received = (Vec<Instant>, Option<ErrorKind>);

/// Accepts one connection and reads until it ends.
fn receive() -> (SocketAddr, JoinHandle<Received>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let receiver = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the sender connects");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        let mut arrivals = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return (arrivals, None),
                Ok(_) => arrivals.push(Instant::now()),
                Err(error) => return (arrivals, Some(error.kind())),
            }
        }
    });
    (address, receiver)
}

/// Sends an order and gives it up after `PATIENCE`, as the leader does.
async fn give_up_order(address: SocketAddr) {
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None });
    let order = EngineOrder { fence: Fence(1), action: EngineAction::LoadWeights(WeightVersion(2)) };
    let outcome = compio::time::timeout(PATIENCE, backends.order(&engine(address), order)).await;
    assert!(outcome.is_err(), "the engine sent no response");
}

/// Guards against an order that the kernel goes on sending after its sender has given it up.
#[test]
fn giving_up_an_order_resets_its_connection() {
    let (address, receiver) = receive();
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(give_up_order(address));
    // The connection ends as soon as its task runs.
    runtime.block_on(compio::time::sleep(PATIENCE));
    drop(runtime);
    let (arrivals, end) = receiver.join().expect("the receiver ends");
    assert!(!arrivals.is_empty(), "the order was sent");
    assert_eq!(end, Some(ErrorKind::ConnectionReset));
}

/// Sends an order while another task holds the thread in its turn number `turn`; returns how much later than the sender
/// should have given up the order arrived, if it did.
fn delay_order(turn: u32) -> Option<Duration> {
    let (address, receiver) = receive();
    let runtime = Runtime::new().expect("the runtime starts");
    let gives_up_at = Instant::now() + PATIENCE;
    runtime.block_on(async {
        let turns = Cell::new(0);
        let delayed = poll_fn(move |context| {
            if turns.replace(turns.get() + 1) == turn {
                std::thread::sleep(DELAY);
                return Poll::Ready(());
            }
            context.waker().wake_by_ref();
            Poll::Pending
        });
        compio::runtime::spawn(delayed).detach();
        give_up_order(address).await;
        compio::time::sleep(PATIENCE).await;
    });
    drop(runtime);
    // Ends the receiver if the sender has not connected.
    drop(TcpStream::connect(address));
    let (arrivals, _) = receiver.join().expect("the receiver ends");
    arrivals.first().and_then(|at| at.checked_duration_since(gives_up_at))
}

/// Guards against an order whose first byte is written after its sender should have given it up.
#[test]
fn an_order_that_is_delayed_past_its_timeout_is_not_sent() {
    let late = (0..12).filter_map(|turn| Some(format!("turn {turn}: {:?} later", delay_order(turn)?)));
    let late: Vec<String> = late.collect();
    assert!(late.is_empty(), "the order arrived after the sender should have given it up: {late:?}");
}
