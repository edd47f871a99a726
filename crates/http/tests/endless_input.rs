//! A server that sends without end: who reads from it gives the other tasks of its thread their turn.

use compio::net::TcpStream;
use hyper::rt::{Read, ReadBuf};
use saddlerelay_http::server_stream::ServerStream;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long the server sends, at most.
const SENDING_TIME: Duration = Duration::from_secs(2);

/// How long it is read.
const READING_TIME: Duration = Duration::from_secs(1);

const TICK: Duration = Duration::from_millis(5);

/// Longest time for which the other tasks of the reader's thread may wait.
const MAX_TASK_DELAY: Duration = Duration::from_millis(400);

/// Bytes in one read: so few that the server sends faster than it is read.
const READ_BYTES: usize = 1;

/// Sends to one client, until that closes the connection or the time is over.
fn serve() -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        stream.set_write_timeout(Some(SENDING_TIME)).expect("the timeout is valid");
        let until = Instant::now() + SENDING_TIME;
        while Instant::now() < until && stream.write(&[0; 1 << 16]).is_ok() {}
    });
    (address, server)
}

async fn read(stream: &mut ServerStream) -> usize {
    let mut bytes = [0; READ_BYTES];
    let mut buffer = ReadBuf::new(&mut bytes);
    let read = poll_fn(|context| Pin::new(&mut *stream).poll_read(context, buffer.unfilled())).await;
    read.expect("the server sends");
    buffer.filled().len()
}

/// Guards against a task that keeps its thread for as long as a peer sends: a read that is ready suspends nobody.
#[test]
fn reads_that_are_always_ready_hold_up_no_other_task() {
    let (address, server) = serve();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let longest_gap = Rc::new(Cell::new(Duration::ZERO));
    let gap = longest_gap.clone();
    runtime.block_on(async {
        let (mut stream, limit) = ServerStream::new(TcpStream::connect(address).await.expect("the server listens"));
        limit.end();
        let reading = compio::runtime::spawn(async move {
            let until = Instant::now() + READING_TIME;
            while Instant::now() < until && read(&mut stream).await > 0 {}
        });
        let ticking = async {
            let mut last_tick = Instant::now();
            loop {
                compio::time::sleep(TICK).await;
                gap.set(gap.get().max(last_tick.elapsed()));
                last_tick = Instant::now();
            }
        };
        futures::future::select(std::pin::pin!(ticking), reading).await;
    });
    drop(runtime);
    server.join().expect("the server ends");
    let gap = longest_gap.get();
    assert!(gap > Duration::ZERO && gap < MAX_TASK_DELAY, "the longest time without another task was {gap:?}");
}
