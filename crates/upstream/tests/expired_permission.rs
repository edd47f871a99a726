//! No byte of a call is sent once its permission has ended, however long this process takes between the check of the
//! permission and the write.

mod common;

use common::order;
use futures::future::LocalBoxFuture;
use saddlerelay_runtime_compio::clock::boot_time;
use saddlerelay_upstream::{EngineTarget, OutgoingRequest, Pool, Reuse};
use std::cell::Cell;
use std::future::poll_fn;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::task::Poll;
use std::time::Duration;

/// Time for which a call may be sent.
const VALIDITY: Duration = Duration::from_millis(150);

/// Time for which the process does not get on; longer than `VALIDITY`.
const DELAY: Duration = Duration::from_millis(450);

/// Timeout of a call that ends after the delay.
const LONG_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call that ends during the delay.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the receiver waits for bytes.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Address of the receiver; set in the process that is paused.
const RECEIVER_VARIABLE: &str = "SADDLERELAY_TEST_RECEIVER";

/// Accepts one connection on a thread of its own; returns the bytes received, each part with its time.
fn receive() -> (SocketAddr, mpsc::Receiver<Vec<(Duration, usize)>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("the address is valid");
    let (sender, received) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the caller connects");
        stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("the timeout is valid");
        let mut parts = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            parts.push((boot_time(), count));
        }
        let _ = sender.send(parts);
    });
    (address, received)
}

/// Permission until `valid_until`. Once it has been checked, `delay` runs before any task that the check's caller wakes.
fn permission(valid_until: Duration, delay: impl Fn() + 'static) -> impl Fn() -> bool {
    let checked = Rc::new(Cell::new(false));
    let seen = checked.clone();
    // A task that is always in the queue, ahead of those that are woken later.
    let delayed = poll_fn(move |context| {
        if seen.get() {
            delay();
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    });
    compio::runtime::spawn(delayed).detach();
    move || {
        checked.set(true);
        boot_time() < valid_until
    }
}

type Call = fn(Pool, EngineTarget, OutgoingRequest, Duration) -> LocalBoxFuture<'static, ()>;

/// Makes a call whose permission ends before the process gets on, and checks that nothing arrives afterwards.
fn check_delayed_call(call: Call) {
    let (address, received) = receive();
    let valid_until = boot_time() + VALIDITY;
    let (pool, target, request) = order(address, RECEIVE_TIMEOUT);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(call(pool, target, request, valid_until));
    drop(runtime);
    check_arrivals(&received, valid_until);
}

fn check_arrivals(received: &mpsc::Receiver<Vec<(Duration, usize)>>, valid_until: Duration) {
    let parts = received.recv_timeout(2 * RECEIVE_TIMEOUT).expect("the receiver ends");
    let late = parts.iter().filter(|(at, _)| *at > valid_until);
    let late: Vec<String> =
        late.map(|(at, count)| format!("{count} bytes {:?} later", at.saturating_sub(valid_until))).collect();
    assert!(late.is_empty(), "bytes arrived after the permission had ended: {late:?}");
}

fn block_thread() {
    std::thread::sleep(DELAY);
}

/// Guards against a control call whose first byte is written after its permission has ended.
#[test]
fn a_control_call_that_is_delayed_past_its_permission_sends_nothing() {
    check_delayed_call(|pool, target, request, valid_until| {
        Box::pin(async move {
            let _ = pool.call(&target, &request, LONG_TIMEOUT, permission(valid_until, block_thread)).await;
        })
    });
}

/// Guards against a control call that is written although its timeout has passed as well.
#[test]
fn a_control_call_that_is_delayed_past_its_timeout_sends_nothing() {
    check_delayed_call(|pool, target, request, valid_until| {
        Box::pin(async move {
            let _ = pool.call(&target, &request, SHORT_TIMEOUT, permission(valid_until, block_thread)).await;
        })
    });
}

/// Guards against a forwarded request whose first byte is written after its permission has ended.
#[test]
fn a_request_that_is_delayed_past_its_permission_sends_nothing() {
    check_delayed_call(|pool, target, request, valid_until| {
        Box::pin(async move {
            let may_send = permission(valid_until, block_thread);
            let call = pool.send(&target, &request, Reuse::None, || LONG_TIMEOUT, may_send);
            let _ = compio::time::timeout(LONG_TIMEOUT, call).await;
        })
    });
}

/// Shows that the receiver of these tests sees what is sent in time.
#[test]
fn a_control_call_within_its_permission_arrives() {
    let (address, received) = receive();
    let (pool, target, request) = order(address, RECEIVE_TIMEOUT);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let call = async {
        let may_send = permission(boot_time() + RECEIVE_TIMEOUT, || {});
        pool.call(&target, &request, SHORT_TIMEOUT, may_send).await
    };
    runtime.block_on(call).expect_err("the receiver sends no response");
    let parts = received.recv_timeout(2 * RECEIVE_TIMEOUT).expect("the receiver ends");
    assert!(parts.iter().map(|(_, count)| count).sum::<usize>() > 0, "nothing arrived");
}

fn pause_this_process() {
    let pause = format!("kill -STOP {}", std::process::id());
    Command::new("sh").args(["-c", &pause]).status().expect("the shell runs");
}

/// The state letter in `/proc`; `T` while the process is paused.
fn process_state(id: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.chars().next()
}

/// The paused process of the test below: it is paused between the check of its permission and the write.
fn run_paused_caller(address: SocketAddr) {
    let (pool, target, request) = order(address, RECEIVE_TIMEOUT);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let call = async {
        let may_send = permission(boot_time() + VALIDITY, pause_this_process);
        pool.call(&target, &request, LONG_TIMEOUT, may_send).await
    };
    let _ = runtime.block_on(call);
}

/// Guards against a process that is paused with a call in hand and writes it when it runs again.
#[test]
fn a_process_that_is_paused_past_the_permission_sends_nothing() {
    if let Ok(address) = std::env::var(RECEIVER_VARIABLE) {
        run_paused_caller(address.parse().expect("the address is valid"));
        return;
    }
    let (address, received) = receive();
    let name = "a_process_that_is_paused_past_the_permission_sends_nothing";
    let program = std::env::current_exe().expect("the program has a path");
    let caller = Command::new(program)
        .args([name, "--exact"])
        .env(RECEIVER_VARIABLE, address.to_string())
        .stdout(Stdio::null())
        .spawn();
    let mut caller = caller.expect("the caller starts");
    let deadline = boot_time() + RECEIVE_TIMEOUT;
    while process_state(caller.id()) != Some('T') {
        assert!(boot_time() < deadline, "the caller was not paused");
        std::thread::sleep(Duration::from_millis(5));
    }
    // The permission began before the pause, so it has ended by then.
    let valid_until = boot_time() + VALIDITY;
    std::thread::sleep(DELAY);
    let resume = format!("kill -CONT {}", caller.id());
    Command::new("sh").args(["-c", &resume]).status().expect("the shell runs");
    caller.wait().expect("the caller ends");
    check_arrivals(&received, valid_until);
}
