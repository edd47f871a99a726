//! Crowds of clients that do not behave, at a relay and at a control replica. Each test checks that the process lives,
//! that its memory and descriptors stay within bounds, and that an ordinary request is answered afterwards, while the
//! crowd's connections are still open. Tests run one at a time.

mod common;
#[allow(dead_code, reason = "each test program uses its own shapes")]
#[path = "../../saddlerelay/tests/client_crowds/crowd.rs"]
mod crowd;

use common::{Deployment, block_on};
use crowd::{Crowd, Shape, Target, call};
use saddlerelay_fleet_runner::process::RunningChild;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Number of clients that send large bodies.
const CLIENTS: usize = 30;

/// Size of a body, below the limit of 8 MiB.
const BODY_BYTES: usize = 6 * 1024 * 1024;

/// Number of clients that rest.
const RESTING_CLIENTS: usize = 200;

/// Memory that all clients together may make a process hold by default, in bytes.
const CLIENT_MEMORY_BYTES: usize = 24 * 1024 * 1024;

/// Memory of a process beside what clients make it hold, in bytes.
const BASE_MEMORY_BYTES: usize = 48 * 1024 * 1024;

/// Descriptors of a process beside those of clients.
const BASE_DESCRIPTORS: usize = 64;

/// Limit for conditions that hold at once on any machine; only a hang reaches it.
const HANG_LIMIT: Duration = Duration::from_secs(30);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < HANG_LIMIT, "not reached: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn peak_memory(child: &RunningChild) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
    let kilobytes = peak.split_whitespace().next().and_then(|count| count.parse::<usize>().ok());
    kilobytes.expect("the process has ended") * 1024
}

fn descriptors(child: &RunningChild) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", child.id())).expect("the process has ended").count()
}

fn assert_bounded(child: &RunningChild, shape: Shape) {
    let (peak, bound) = (peak_memory(child), CLIENT_MEMORY_BYTES + BASE_MEMORY_BYTES);
    assert!(peak <= bound, "{} MB at the peak under {shape:?}, bound {} MB", peak / 1_000_000, bound / 1_000_000);
}

fn child<'a>(deployment: &'a Deployment, prefix: &str) -> &'a RunningChild {
    let mut children = deployment.fleet.children.iter();
    children.find(|(name, _)| name.starts_with(prefix)).expect("there is such a process").1
}

fn assert_served(address: SocketAddr) {
    let messages = json!([{ "role": "user", "content": "ordinary" }]);
    let body = json!({ "model": common::MODEL, "max_tokens": 8, "messages": messages }).to_string();
    eventually("an ordinary request is answered", || {
        call(address, "POST /v1/chat/completions", body.as_bytes()).is_ok_and(|(status, _)| status == 200)
    });
}

fn bodies_at_relay(shape: Shape) {
    let _guard = one_at_a_time();
    let deployment = block_on(Deployment::start());
    let relay = deployment.relay(0);
    let target = Target { address: relay, method_and_path: "POST /v1/chat/completions" };
    let _crowd = Crowd::connect(CLIENTS, target, shape);
    assert_served(relay);
    assert_bounded(child(&deployment, "relay"), shape);
}

fn crowd_rests(address: impl Fn(&Deployment) -> SocketAddr, process: &str, shape: Shape) {
    let _guard = one_at_a_time();
    let deployment = block_on(Deployment::start());
    let address = address(&deployment);
    let _crowd = Crowd::connect(RESTING_CLIENTS, Target { address, method_and_path: "GET /healthz" }, shape);
    let process = child(&deployment, process);
    eventually("the crowd's connections are closed", || descriptors(process) <= BASE_DESCRIPTORS);
    assert_bounded(process, shape);
    assert_served(deployment.relay(0));
    eventually("a health check is answered", || {
        call(address, "GET /healthz", b"").is_ok_and(|(status, _)| status == 200)
    });
}

#[test]
fn whole_bodies_at_a_relay() {
    bodies_at_relay(Shape::WholeBody(BODY_BYTES));
}

#[test]
fn bodies_in_pieces_at_a_relay() {
    bodies_at_relay(Shape::BodyInPieces(BODY_BYTES));
}

#[test]
fn large_chunks_at_a_relay() {
    bodies_at_relay(Shape::LargeChunks(BODY_BYTES));
}

#[test]
fn one_byte_chunks_at_a_relay() {
    bodies_at_relay(Shape::OneByteChunks(2_000));
}

#[test]
fn silent_connections_at_a_relay_are_closed() {
    crowd_rests(|deployment| deployment.relay(0), "relay", Shape::Silence);
}

#[test]
fn half_heads_at_a_relay_are_closed() {
    crowd_rests(|deployment| deployment.relay(0), "relay", Shape::HalfHead);
}

#[test]
fn silent_connections_at_a_control_replica_are_closed() {
    crowd_rests(Deployment::control, "control", Shape::Silence);
}

#[test]
fn half_heads_at_a_control_replica_are_closed() {
    crowd_rests(Deployment::control, "control", Shape::HalfHead);
}
