//! Crowds of clients that do not behave, against real processes on loopback addresses. Each test checks that the process
//! lives, that its memory and descriptors stay within bounds, and that an ordinary request is answered afterwards, while
//! the crowd's connections are still open. Tests run one at a time.

mod crowd;
mod gateways;
#[allow(dead_code, reason = "shared with other test programs")]
mod processes;

use crowd::{Crowd, Shape, Target, call};
use processes::{Deployment, LARGE_PATH, MAX_BODY_BYTES, Process, eventually};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of clients in a crowd.
const CLIENTS: usize = 100;

/// Memory that all clients together may make a process hold by default, in bytes.
const CLIENT_MEMORY_BYTES: usize = 24 * 1024 * 1024;

/// Memory of a process beside what clients make it hold: program, state, buffers of [`CLIENTS`] connections, in bytes.
const BASE_MEMORY_BYTES: usize = 48 * 1024 * 1024;

/// Limit of open files in tests of descriptors.
const MAX_DESCRIPTORS: u64 = 256;

/// Number of clients in a crowd that exceeds [`MAX_DESCRIPTORS`].
const MANY_CLIENTS: usize = 400;

/// Descriptors of a process beside those of clients.
const BASE_DESCRIPTORS: usize = 64;

/// Number of one-byte chunks that a client sends one by one.
const ONE_BYTE_CHUNKS: usize = 1_500;

/// Size of heads and lines beyond any limit, in bytes.
const ENDLESS_BYTES: usize = 4 * 1024 * 1024;

/// Size of the requests that a client sends without reading a response, in bytes.
const PIPELINED_BYTES: usize = 64 * 1024;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn one_at_a_time() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_bounded(process: &mut Process, shape: Shape) {
    assert!(process.is_running(), "the process ended under {shape:?}");
    let (peak, bound) = (process.peak_memory(), CLIENT_MEMORY_BYTES + BASE_MEMORY_BYTES);
    assert!(peak <= bound, "{} MB at the peak under {shape:?}, bound {} MB", peak / 1_000_000, bound / 1_000_000);
}

/// A crowd at the gateway's client listener.
fn crowd_at_gateway(method_and_path: &'static str, shape: Shape) {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    let target = Target { address: deployment.clients, method_and_path };
    let _crowd = Crowd::connect(CLIENTS, target, shape);
    deployment.assert_served();
    assert_bounded(&mut deployment.gateway, shape);
    assert_bounded(&mut deployment.coordinator, shape);
}

/// A crowd at the coordinator's control listener.
fn crowd_at_coordinator(method_and_path: &'static str, shape: Shape) {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    let target = Target { address: deployment.control, method_and_path };
    let _crowd = Crowd::connect(CLIENTS, target, shape);
    deployment.assert_controlled();
    deployment.assert_served();
    assert_bounded(&mut deployment.coordinator, shape);
}

/// The shapes of bodies that stop short of their end, at a listener.
macro_rules! bodies {
    ($module:ident, $crowd:ident, $method_and_path:expr) => {
        mod $module {
            use super::*;

            #[test]
            fn whole_bodies() {
                $crowd($method_and_path, Shape::WholeBody(MAX_BODY_BYTES));
            }

            #[test]
            fn bodies_in_pieces() {
                $crowd($method_and_path, Shape::BodyInPieces(MAX_BODY_BYTES));
            }

            #[test]
            fn large_chunks() {
                $crowd($method_and_path, Shape::LargeChunks(MAX_BODY_BYTES - 64 * 1024));
            }

            #[test]
            fn one_byte_chunks() {
                $crowd($method_and_path, Shape::OneByteChunks(ONE_BYTE_CHUNKS));
            }

            #[test]
            fn one_byte_chunks_at_once() {
                $crowd($method_and_path, Shape::OneByteChunksAtOnce(ONE_BYTE_CHUNKS * 20));
            }

            #[test]
            fn chunk_extensions() {
                $crowd($method_and_path, Shape::ChunkExtension(ENDLESS_BYTES));
            }

            #[test]
            fn trailers() {
                $crowd($method_and_path, Shape::Trailers(ENDLESS_BYTES));
            }
        }
    };
}

bodies!(gateway_requests, crowd_at_gateway, "POST /requests/crowd");
bodies!(gateway_jobs, crowd_at_gateway, "POST /rollouts/crowd");
bodies!(coordinator_documents, crowd_at_coordinator, "PUT /admin/v1/routing");
bodies!(coordinator_reports, crowd_at_coordinator, "PUT /v1/instances/crowd");

/// Heads that are too long, or never end.
macro_rules! heads {
    ($module:ident, $crowd:ident, $method_and_path:expr) => {
        mod $module {
            use super::*;

            #[test]
            fn long_heads() {
                $crowd($method_and_path, Shape::LongHead(400 * 1024));
            }

            #[test]
            fn endless_heads() {
                $crowd($method_and_path, Shape::LongHead(ENDLESS_BYTES));
            }

            #[test]
            fn many_headers() {
                $crowd($method_and_path, Shape::ManyHeaders(400 * 1024));
            }

            #[test]
            fn endless_empty_lines() {
                $crowd($method_and_path, Shape::EmptyLines(ENDLESS_BYTES));
            }

            #[test]
            fn pipelined_requests() {
                $crowd($method_and_path, Shape::Pipelined(PIPELINED_BYTES));
            }
        }
    };
}

heads!(gateway_heads, crowd_at_gateway, "GET /requests/crowd");
heads!(coordinator_heads, crowd_at_coordinator, "GET /admin/v1/routing");

#[test]
fn whole_jobs() {
    crowd_at_gateway("POST /rollouts/crowd", Shape::WholeJob(MAX_BODY_BYTES * 3 / 4));
}

#[test]
fn unread_responses_of_engines() {
    crowd_at_gateway("GET /requests/large", Shape::UnreadResponse);
    assert!("GET /requests/large".ends_with(LARGE_PATH));
}

#[test]
fn unread_documents() {
    crowd_at_coordinator("GET /admin/v1/routing", Shape::UnreadResponse);
}

#[test]
fn unfinished_frames_of_peers() {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    let shape = Shape::Frame(MAX_BODY_BYTES);
    let _crowd = Crowd::connect(CLIENTS, Target { address: deployment.peers, method_and_path: "" }, shape);
    deployment.assert_controlled();
    deployment.assert_served();
    assert_bounded(&mut deployment.coordinator, shape);
}

/// The process and the listener that a crowd meets.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Clients,
    Readiness,
    GatewayMetrics,
    Control,
    CoordinatorMetrics,
    Peers,
}

impl Listener {
    fn target(self, deployment: &Deployment) -> Target {
        let address = match self {
            Self::Clients => deployment.clients,
            Self::Readiness => deployment.readiness,
            Self::GatewayMetrics => deployment.gateway_metrics,
            Self::Control => deployment.control,
            Self::CoordinatorMetrics => deployment.coordinator_metrics,
            Self::Peers => deployment.peers,
        };
        Target { address, method_and_path: "GET /" }
    }

    fn process(self, deployment: &mut Deployment) -> &mut Process {
        match self {
            Self::Clients | Self::Readiness | Self::GatewayMetrics => &mut deployment.gateway,
            Self::Control | Self::CoordinatorMetrics | Self::Peers => &mut deployment.coordinator,
        }
    }

    fn assert_answers(self, deployment: &Deployment) {
        let address = self.target(deployment).address;
        let is_answered = |path: &str| call(address, path, b"").is_ok_and(|(status, _)| status == 200);
        match self {
            Self::Clients | Self::Peers => {}
            Self::Readiness => eventually("the probe is answered", || is_answered("GET /")),
            Self::GatewayMetrics | Self::CoordinatorMetrics => {
                eventually("the metrics are answered", || is_answered("GET /metrics"));
            }
            Self::Control => deployment.assert_controlled(),
        }
        deployment.assert_served();
    }
}

/// Connections that rest are closed, so that the crowd's descriptors are given back while its clients stay connected.
fn crowd_rests(listener: Listener, shape: Shape) {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    let _crowd = Crowd::connect(CLIENTS, listener.target(&deployment), shape);
    let process = listener.process(&mut deployment);
    eventually("the crowd's connections are closed", || process.descriptors() <= BASE_DESCRIPTORS);
    assert_bounded(process, shape);
    listener.assert_answers(&deployment);
}

/// More connections than the process has descriptors.
fn crowd_exceeds_descriptors(listener: Listener, shape: Shape) {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(Some(MAX_DESCRIPTORS));
    let _crowd = Crowd::connect(MANY_CLIENTS, listener.target(&deployment), shape);
    listener.assert_answers(&deployment);
    let process = listener.process(&mut deployment);
    assert!(process.descriptors() < MAX_DESCRIPTORS as usize, "no descriptor is left");
    assert_bounded(process, shape);
}

/// The process stops although a crowd is connected.
fn stops_under_crowd(listener: Listener, shape: Shape) {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    let _crowd = Crowd::connect(CLIENTS, listener.target(&deployment), shape);
    assert!(listener.process(&mut deployment).stop(), "the process did not stop in order");
}

/// Connections at a listener.
macro_rules! connections {
    ($module:ident, $listener:expr) => {
        mod $module {
            use super::*;

            #[test]
            fn silent_connections_are_closed() {
                crowd_rests($listener, Shape::Silence);
            }

            #[test]
            fn half_heads_are_closed() {
                crowd_rests($listener, Shape::HalfHead);
            }

            #[test]
            fn silent_connections_beyond_the_descriptors() {
                crowd_exceeds_descriptors($listener, Shape::Silence);
            }

            #[test]
            fn half_heads_beyond_the_descriptors() {
                crowd_exceeds_descriptors($listener, Shape::HalfHead);
            }
        }
    };
}

connections!(gateway_connections, Listener::Clients);
connections!(readiness_connections, Listener::Readiness);
connections!(gateway_metrics_connections, Listener::GatewayMetrics);
connections!(control_connections, Listener::Control);
connections!(coordinator_metrics_connections, Listener::CoordinatorMetrics);
connections!(peer_connections, Listener::Peers);

#[test]
fn gateway_stops_under_unfinished_bodies() {
    stops_under_crowd(Listener::Clients, Shape::BodyInPieces(MAX_BODY_BYTES));
}

#[test]
fn coordinator_stops_under_half_heads() {
    stops_under_crowd(Listener::Control, Shape::HalfHead);
}

#[test]
fn connections_follow_a_changed_document() {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    deployment.set_idle_timeout(2, 3_600_000);
    let crowd = Crowd::connect(CLIENTS, Listener::Clients.target(&deployment), Shape::Silence);
    deployment.set_idle_timeout(3, 1_000);
    let gateway = &mut deployment.gateway;
    eventually("the connections are closed", || gateway.descriptors() <= BASE_DESCRIPTORS);
    drop(crowd);
    deployment.assert_served();
}

#[test]
fn the_largest_legal_request_is_served() {
    let _guard = one_at_a_time();
    let deployment = Deployment::start(None);
    let body = vec![b'x'; MAX_BODY_BYTES];
    let (status, returned) = call(deployment.clients, "POST /requests/whole", &body).expect("no response");
    assert_eq!((status, returned.len()), (200, body.len()));
}
