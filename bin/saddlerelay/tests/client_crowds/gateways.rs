//! Crowds of gateways at a coordinator's peer listener: requests whose replies are large.

use super::processes::{Deployment, ITEM_PATH, ITEM_TEXT_BYTES, SHARED_SECRET, eventually};
use super::{CLIENTS, call, one_at_a_time};
use saddlerelay_layouts::messages::{decode_reply, encode_request};
use saddlerelay_rpc::frame::{Envelope, Hello, WELCOME_ID};
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{FollowRequest, GatewayReply, GatewayRequest};
use saddlerelay_types::identity::Incarnation;
use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission, ResultPage};
use saddlerelay_types::protocol::{ControlReply, ControlRequest};
use saddlerelay_types::tenancy::Caller;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Memory of the coordinator's machine: the default of its settings, in bytes.
const MACHINE_MEMORY_BYTES: usize = 80 * 1024 * 1024;

/// Requests that each gateway sends without waiting for a reply.
const REQUESTS_PER_GATEWAY: usize = 4;

/// Number of items of the job whose results are read: enough for several pages, more than is kept in memory.
const ITEMS: u32 = 256;

/// Time limit of one reply in tests of a single gateway; only a hang reaches it.
const REPLY_LIMIT: Duration = Duration::from_secs(20);

/// The identifier of the job, which `call` sends.
fn job_id() -> JobId {
    JobId("ordinary".to_string())
}

fn job() -> JobSubmission {
    let item = |index: u32| JobItem {
        id: ItemId(format!("item-{index}")),
        path: format!("{ITEM_PATH}{index}"),
        headers: Vec::new(),
        body: b"prompt".to_vec(),
        tokens: 1,
        group: format!("group-{index}"),
        scorer: None,
    };
    JobSubmission {
        id: job_id(),
        host: "clients.example".to_string(),
        path: "/rollouts/crowd".to_string(),
        owner: None,
        model: None,
        step: 0,
        minimum_version: 0,
        wanted_groups: 1,
        items: (0..ITEMS).map(item).collect(),
    }
}

fn read_from(after: u64) -> GatewayRequest {
    GatewayRequest::ReadResults { job: job_id(), after, wait_ms: 0, caller: Caller::Anyone }
}

fn poll(relay: usize) -> GatewayRequest {
    GatewayRequest::Follow(FollowRequest {
        relay: format!("relay-{relay}"),
        zone: "north".to_string(),
        routing_version: None,
        instance_revision: 0,
        at_follower: false,
        incarnation: Incarnation(relay as u64 + 1),
        unix_ms: 1_764_720_000_000,
        usage: None,
        suspicion_revision: 0,
    })
}

/// A gateway's connection to a coordinator.
struct GatewayConnection {
    stream: TcpStream,
    next_id: u64,
}

impl GatewayConnection {
    fn open(deployment: &Deployment) -> Self {
        let stream = TcpStream::connect(deployment.peers).expect("the coordinator refuses connections");
        stream.set_read_timeout(Some(REPLY_LIMIT)).expect("failed to set a time limit");
        let mut connection = Self { stream, next_id: WELCOME_ID + 1 };
        connection.send_frame(&bitcode::encode(&Hello::new(FeatureLevel::NEWEST, SHARED_SECRET)));
        connection
    }

    fn send_frame(&mut self, frame: &[u8]) {
        let length = (frame.len() as u32).to_le_bytes();
        self.stream.write_all(&[length.as_slice(), frame].concat()).expect("the coordinator closed the connection");
    }

    fn send(&mut self, request: GatewayRequest) {
        let body = encode_request(&ControlRequest::Gateway(request), FeatureLevel::NEWEST);
        let body = body.expect("the newest level expresses every request");
        let id = self.next_id;
        self.next_id += 1;
        self.send_frame(&bitcode::encode(&Envelope { id, body }));
    }

    /// The next reply; `None` if the connection is closed.
    fn receive(&mut self) -> Option<GatewayReply> {
        loop {
            let mut length = [0; 4];
            self.stream.read_exact(&mut length).ok()?;
            let mut frame = vec![0; u32::from_le_bytes(length) as usize];
            self.stream.read_exact(&mut frame).ok()?;
            let envelope: Envelope = bitcode::decode(&frame).expect("a malformed envelope");
            if envelope.id == WELCOME_ID {
                continue;
            }
            let reply = decode_reply(&envelope.body, FeatureLevel::NEWEST).expect("a malformed reply");
            let ControlReply::Gateway(reply) = reply else {
                panic!("not a reply to a gateway: {reply:?}");
            };
            return Some(reply);
        }
    }

    fn read_page(&mut self, after: u64) -> Option<ResultPage> {
        self.send(read_from(after));
        match self.receive()? {
            GatewayReply::Results(page) => Some(page),
            _ => None,
        }
    }
}

/// A deployment with a job whose items all have results.
fn with_results() -> Deployment {
    let deployment = Deployment::start(None);
    let body = serde_json::to_vec(&job()).expect("failed to serialize JSON");
    let submit = || call(deployment.clients, "POST /rollouts/crowd", &body).is_ok_and(|(status, _)| status == 202);
    eventually("the job is accepted", submit);
    let mut connection = GatewayConnection::open(&deployment);
    eventually("all results are listed", || {
        connection.read_page(u64::from(ITEMS) - 1).is_some_and(|page| page.next == u64::from(ITEMS))
    });
    deployment
}

/// Every result, read page by page; a page that is refused is read again.
fn read_all(deployment: &Deployment) -> Vec<usize> {
    let mut connection = GatewayConnection::open(deployment);
    let mut texts = Vec::new();
    while texts.len() < ITEMS as usize {
        let mut page = None;
        eventually("a page of results", || {
            page = connection.read_page(texts.len() as u64);
            page.is_some()
        });
        let page = page.expect("the page was read");
        texts.extend(page.results.iter().map(|(_, result)| result.text.len()));
    }
    texts
}

/// Sends `request` from many gateways, several times each; none reads the replies.
fn crowd(deployment: &Deployment, request: impl Fn(usize) -> GatewayRequest) -> Vec<GatewayConnection> {
    let mut crowd: Vec<_> = (0..CLIENTS).map(|_| GatewayConnection::open(deployment)).collect();
    for _ in 0..REQUESTS_PER_GATEWAY {
        for (index, gateway) in crowd.iter_mut().enumerate() {
            gateway.send(request(index));
        }
    }
    crowd
}

fn assert_within_machine(deployment: &mut Deployment) {
    assert!(deployment.coordinator.is_running(), "the coordinator ended");
    let peak = deployment.coordinator.peak_memory();
    assert!(
        peak <= MACHINE_MEMORY_BYTES,
        "{} MB at the peak, the machine has {} MB",
        peak / 1_000_000,
        MACHINE_MEMORY_BYTES / 1_000_000
    );
}

/// Guards against a coordinator that runs out of memory when many gateways read results at the same time.
#[test]
fn many_reads_of_results_stay_within_the_memory_of_the_machine() {
    let _guard = one_at_a_time();
    let mut deployment = with_results();
    let crowd = crowd(&deployment, |index| read_from(index as u64 % u64::from(ITEMS)));
    assert_eq!(read_all(&deployment), vec![ITEM_TEXT_BYTES; ITEMS as usize], "results are read beside the crowd");
    deployment.assert_controlled();
    assert_within_machine(&mut deployment);
    drop(crowd);
}

/// Guards against a coordinator that runs out of memory when all relays fetch the routing document at the same time.
#[test]
fn many_polls_for_the_document_stay_within_the_memory_of_the_machine() {
    let _guard = one_at_a_time();
    let mut deployment = Deployment::start(None);
    let crowd = crowd(&deployment, poll);
    let mut connection = GatewayConnection::open(&deployment);
    eventually("a relay gets the document beside the crowd", || {
        connection.send(poll(CLIENTS));
        matches!(connection.receive(), Some(GatewayReply::Followed(reply)) if reply.routing.is_some())
    });
    deployment.assert_controlled();
    assert_within_machine(&mut deployment);
    drop(crowd);
}
