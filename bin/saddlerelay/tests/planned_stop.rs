//! A planned stop of a gateway as a real process, with requests that may not be repeated.

#[allow(dead_code, reason = "each test program uses its own shapes")]
#[path = "client_crowds/crowd.rs"]
mod crowd;
#[allow(dead_code, reason = "each test program uses its own parts of a deployment")]
#[path = "client_crowds/processes.rs"]
mod processes;

use crowd::call;
use processes::{Deployment, ENDLESS_PATH, GRACE, SLOW_PATH, SLOW_TIME};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a client waits for the next byte of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request whose body is not complete.
struct HalfSent(TcpStream);

impl HalfSent {
    fn send(address: SocketAddr, path: &str) -> Self {
        let mut stream = TcpStream::connect(address).expect("failed to connect");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the socket takes a timeout");
        let head = format!("POST {path} HTTP/1.1\r\nhost: clients.example\r\ncontent-length: 4\r\n\r\nbo");
        stream.write_all(head.as_bytes()).expect("failed to send");
        Self(stream)
    }

    fn complete(&mut self) {
        self.0.write_all(b"dy").expect("failed to send the rest of the body");
    }

    /// Everything that the client receives.
    fn received(mut self) -> String {
        let mut received = Vec::new();
        let read = self.0.read_to_end(&mut received);
        assert!(!received.is_empty(), "the connection ended without a response: {read:?}");
        String::from_utf8_lossy(&received).into_owned()
    }
}

fn assert_status(received: &str, status: u16) {
    assert!(received.starts_with(&format!("HTTP/1.1 {status} ")), "{received}");
    assert_eq!(received.contains("retry-after: "), status == 503, "{received}");
}

// Guards against requests that are passed on late in the grace period and cut without a response at its end, and against
// a reload of the settings that ends requests.
#[test]
fn every_request_on_an_open_connection_is_answered_when_a_gateway_stops() {
    let mut deployment = Deployment::start(None);
    let slow = call(deployment.clients, &format!("POST {SLOW_PATH}"), b"body").expect("no response");
    assert_eq!(slow.0, 200, "the gateway has to learn how long such requests take");
    let mut completed_early = HalfSent::send(deployment.clients, SLOW_PATH);
    let mut completed_late = HalfSent::send(deployment.clients, SLOW_PATH);
    let never_completed = HalfSent::send(deployment.clients, SLOW_PATH);
    let mut never_answered = HalfSent::send(deployment.clients, ENDLESS_PATH);
    never_answered.complete();
    deployment.gateway.reload();
    std::thread::sleep(Duration::from_millis(500));
    deployment.gateway.begin_stop();
    let stop_begun_at = Instant::now();
    completed_early.complete();
    std::thread::sleep(GRACE - SLOW_TIME);
    completed_late.complete();
    assert_status(&completed_late.received(), 503);
    assert!(stop_begun_at.elapsed() < GRACE - SLOW_TIME / 2, "the late request was not refused at once");
    assert_status(&completed_early.received(), 200);
    assert_status(&never_answered.received(), 504);
    assert_status(&never_completed.received(), 503);
    assert!(deployment.gateway.wait(), "the gateway reported a failure");
    assert!(stop_begun_at.elapsed() < GRACE, "{:?}", stop_begun_at.elapsed());
}
