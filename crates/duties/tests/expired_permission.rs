//! No byte of a call to the platform is sent once its permission has ended.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use saddlerelay_duties::format::PlatformCall;
use saddlerelay_duties::{HttpPlatform, PlatformClient};
use std::cell::Cell;
use std::future::poll_fn;
use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Time for which the call may be sent.
const VALIDITY: Duration = Duration::from_millis(150);

/// Time for which another task holds the thread; longer than `VALIDITY`.
const DELAY: Duration = Duration::from_millis(450);

/// Timeout of the call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against a usage report or a number of engines whose first byte is written after its permission has ended.
#[test]
fn a_call_that_is_delayed_past_its_permission_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let platform = HttpPlatform { address: listener.local_addr().expect("the address is valid") };
    let receiver = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the caller connects");
        let count = stream.read(&mut [0; 4096]).unwrap_or(0);
        (count > 0).then(Instant::now)
    });
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let valid_until = Instant::now() + VALIDITY;
    let _ = runtime.block_on(async {
        let checked = Rc::new(Cell::new(false));
        let seen = checked.clone();
        // A task that is always in the queue, ahead of those that the call wakes.
        let delayed = poll_fn(move |context| {
            if seen.get() {
                std::thread::sleep(DELAY);
                return Poll::Ready(());
            }
            context.waker().wake_by_ref();
            Poll::Pending
        });
        compio::runtime::spawn(delayed).detach();
        let call = PlatformCall {
            method: Method::POST,
            path: "/report".to_string(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"report"),
        };
        let may_send = || {
            checked.set(true);
            Instant::now() < valid_until
        };
        platform.call(call, CALL_TIMEOUT, may_send).await
    });
    drop(runtime);
    let arrived_at = receiver.join().expect("the receiver ends");
    let late = arrived_at.and_then(|at| at.checked_duration_since(valid_until));
    assert_eq!(late, None, "the call arrived so long after its permission had ended");
}
