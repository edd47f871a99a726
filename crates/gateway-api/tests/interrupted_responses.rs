//! Engines that break a response off, in its head, between its head and its body, or in its body. A client never gets a
//! success that appears whole, a stream never appears complete before its last event, and an item's text is whole.

mod common;

use common::endless::read_head;
use common::{Deployment, HOST, block_on, document, instance, job, notes, report, rollouts, route};
use compio::io::AsyncWriteExt;
use compio::net::{TcpListener, TcpStream};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode, Version};
use saddlerelay_http::client::Connection;
use saddlerelay_types::instance::InstanceReport;
use saddlerelay_types::job::ItemEnd;
use saddlerelay_types::routing::{Route, RouteKind};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Events of each stream.
const EVENTS: u32 = 3;

/// Prefixes of the paths of forwarded requests and of items.
const FORWARDED: [&str; 2] = ["/plans/", "/rollouts/"];

const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// How an engine marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// With chunks.
    Chunks,
    /// By closing the connection.
    Close,
    /// By closing the connection, with a status line of HTTP/1.0.
    Http10Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Chunks, Framing::Close, Framing::Http10Close];

/// How an engine ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Closes it in order.
    Close,
    /// Resets it.
    Reset,
}

/// Where a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// After this many bytes of the head.
    Head(usize),
    /// Between the head and the body.
    EndOfHead,
    /// After this many whole events, and this many bytes of the next one.
    Event(u32, usize),
    /// After the whole response.
    Nowhere,
}

/// Places in the head: no byte, the status line, a header's name, a header's value, and half of the empty line.
const IN_HEAD: [Place; 5] =
    [Place::Head(0), Place::Head(12), Place::Head(24), Place::Head(40), Place::Head(usize::MAX)];

/// A response that is broken off.
#[derive(Clone, Copy, Debug)]
struct Part {
    framing: Framing,
    place: Place,
    end: End,
}

const WHOLE: Part = Part { framing: Framing::Chunks, place: Place::Nowhere, end: End::Close };

fn event(path: &str, number: u32) -> String {
    format!("saddlerelay-version: 1\nid: {number}\ndata: {path} {number}\n\n")
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

impl Part {
    fn head(self, id: &str) -> String {
        let version = if self.framing == Framing::Http10Close { "HTTP/1.0" } else { "HTTP/1.1" };
        let framing = if self.framing == Framing::Chunks { "transfer-encoding: chunked\r\n" } else { "" };
        let stamp = "saddlerelay-stamp: engine\r\nsaddlerelay-version: 1\r\n";
        format!("{version} 200 OK\r\nsaddlerelay-request: {id}\r\n{stamp}{framing}\r\n")
    }

    /// The bytes of the response to a request whose last received event is `after`.
    fn bytes(self, request: &ReceivedRequest) -> Vec<u8> {
        let head = self.head(&request.id);
        let frame = |data: &str| if self.framing == Framing::Chunks { chunk(data) } else { data.to_string() };
        let events = |count: u32| -> String {
            (request.after + 1..=EVENTS)
                .take(count as usize)
                .map(|number| frame(&event(&request.path, number)))
                .collect()
        };
        let last_chunk = if self.framing == Framing::Chunks { "0\r\n\r\n" } else { "" };
        let response = match self.place {
            Place::Head(bytes) => head[..bytes.min(head.len() - 2)].to_string(),
            Place::EndOfHead => head,
            Place::Event(count, bytes) => {
                let next = event(&request.path, request.after + count + 1);
                let next = if bytes == 0 { String::new() } else { frame(&next[..bytes]) };
                head + &events(count) + &next
            }
            Place::Nowhere => head + &events(EVENTS) + last_chunk,
        };
        response.into_bytes()
    }
}

#[derive(Clone, Debug)]
struct ReceivedRequest {
    id: String,
    path: String,
    /// The last event that the sender has.
    after: u32,
    /// Number of requests with this path before this one.
    earlier: usize,
}

/// Chooses the response to a request.
type Script = Rc<dyn Fn(&ReceivedRequest) -> Part>;

/// Engines at addresses of their own that follow the same script.
struct InterruptedEngines {
    script: Rc<RefCell<Script>>,
    requests: Rc<RefCell<Vec<ReceivedRequest>>>,
}

impl InterruptedEngines {
    /// Starts `count` engines of `service` that break off nothing.
    async fn start(deployment: &Deployment, service: &str, count: usize) -> Self {
        let script: Script = Rc::new(|_| WHOLE);
        let engines = Self { script: Rc::new(RefCell::new(script)), requests: Rc::default() };
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
            let address = listener.local_addr().expect("listener has no local address");
            let (script, requests) = (engines.script.clone(), engines.requests.clone());
            compio::runtime::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    compio::runtime::spawn(serve(stream, script.clone(), requests.clone())).detach();
                }
            })
            .detach();
            let id = instance(&format!("interrupted-{index}"));
            let report = InstanceReport { models: vec![notes(1)], slots: 64, ..report(id, service, address) };
            deployment.send_report(&report).await;
        }
        deployment.await_engines(service, count).await;
        engines
    }

    /// Sets the script and forgets the requests.
    fn follow(&self, script: impl Fn(&ReceivedRequest) -> Part + 'static) {
        *self.script.borrow_mut() = Rc::new(script);
        self.requests.borrow_mut().clear();
    }

    fn requests(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn serve(mut stream: TcpStream, script: Rc<RefCell<Script>>, requests: Rc<RefCell<Vec<ReceivedRequest>>>) {
    while let Some(mut request) = read_request(&mut stream).await {
        if !FORWARDED.iter().any(|prefix| request.path.starts_with(prefix)) {
            // A report request, which the engine does not serve.
            if stream.write_all(NOT_FOUND.to_vec()).await.0.is_err() {
                return;
            }
            continue;
        }
        request.earlier = requests.borrow().iter().filter(|earlier| earlier.path == request.path).count();
        requests.borrow_mut().push(request.clone());
        let part = script.borrow()(&request);
        if stream.write_all(part.bytes(&request)).await.0.is_err() {
            return;
        }
        if part.place == Place::Nowhere && part.framing == Framing::Chunks {
            continue;
        }
        if part.end == End::Reset {
            stream.set_zero_linger().expect("the connection is open");
        }
        return;
    }
}

/// Reads a request with an empty or a short body.
async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let head = read_head(stream).await?;
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim());
    Some(ReceivedRequest {
        id: header("saddlerelay-request:").unwrap_or_default().to_string(),
        path: head.split(' ').nth(1).unwrap_or_default().to_string(),
        after: header("last-event-id:").map_or(0, |id| id.parse().expect("the id is a number")),
        earlier: 0,
    })
}

async fn start(name: &str, route: Route, engines: usize) -> (Deployment, InterruptedEngines) {
    let service = route.targets[0].service.clone();
    let deployment = Deployment::start(&format!("interrupted-{name}")).await;
    deployment.configure(&document(1, vec![route])).await;
    let engines = InterruptedEngines::start(&deployment, &service, engines).await;
    (deployment, engines)
}

/// All parts whose end the engine has not marked, in the first or only response to a request.
fn parts() -> Vec<Part> {
    let bodies = [Place::EndOfHead, Place::Event(0, 9), Place::Event(1, 30), Place::Event(2, 40)];
    let mut parts = Vec::new();
    for framing in FRAMINGS {
        for end in [End::Close, End::Reset] {
            parts.extend(IN_HEAD.iter().chain(&bodies).map(|place| Part { framing, place: *place, end }));
            // At the end of an event, a closed connection alone would mark the end of an unframed response.
            if framing == Framing::Chunks || end == End::Reset {
                let places = [Place::Event(1, 0), Place::Event(EVENTS, 0)];
                parts.extend(places.map(|place| Part { framing, place, end }));
            }
        }
    }
    parts
}

/// What a client received.
struct Received {
    status: Option<StatusCode>,
    version: Option<Version>,
    body: String,
    /// Whether the end of the response arrived.
    is_complete: bool,
}

impl Received {
    fn ids(&self) -> Vec<u32> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().expect("the id is a number")).collect()
    }

    fn is_whole_success(&self) -> bool {
        self.is_complete && self.status.is_some_and(|status| status.is_success())
    }
}

/// Requests an event stream and reads it to its end.
async fn read_stream(client_address: SocketAddr, id: &str) -> Received {
    let mut received = Received { status: None, version: None, body: String::new(), is_complete: false };
    let mut connection = Connection::open(client_address).await.expect("failed to connect to the gateway");
    let headers = [("saddlerelay-request", id), ("host", HOST), ("events", "3"), ("accept", "text/event-stream")];
    // A stream that breaks off before its first event may end without a response head.
    let Ok(mut response) = connection.send(Method::POST, "/plans/7", &headers, "").await else {
        return received;
    };
    received.status = Some(response.status());
    received.version = Some(response.version());
    loop {
        match response.body_mut().frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                received.body.push_str(std::str::from_utf8(&data).expect("the body is text"));
            }
            Some(Err(_)) => return received,
            None => {
                received.is_complete = true;
                return received;
            }
        }
    }
}

/// Guards against a success that appears whole although its engine stopped in its head or its body, and against the response
/// of another engine joined to it.
#[test]
fn a_response_that_breaks_off_is_no_success() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent] {
        block_on(async {
            let (deployment, engines) = start(&format!("{kind:?}"), route("/plans/", kind, "web"), 2).await;
            // A plain body has no events that show that it broke off: only a reset does.
            let broken = parts().into_iter().filter(|part| match part.place {
                Place::Event(..) => part.framing == Framing::Chunks || part.end == End::Reset,
                _ => true,
            });
            for (index, part) in broken.enumerate() {
                engines.follow(move |_| part);
                let id = format!("r-{index}");
                let headers = [("saddlerelay-request", id.as_str())];
                let response = deployment.request(Method::POST, "/plans/7", &headers, "").await;
                assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{kind:?}, {part:?}");
                let runs = if kind == RouteKind::Idempotent { 2 } else { 1 };
                assert_eq!(engines.requests(), runs, "{kind:?}, {part:?}");
            }
            engines.follow(|_| WHOLE);
            let response = deployment.request(Method::POST, "/plans/7", &[("saddlerelay-request", "last")], "").await;
            let expected: String = (1..=EVENTS).map(|number| event("/plans/7", number)).collect();
            assert_eq!((response.status, &response.body[..]), (StatusCode::OK, expected.as_bytes()));
        });
    }
}

/// Guards against a stream that appears complete before its last event: in particular, a response of HTTP/1.0 has no chunks,
/// so that a client would take the end of the connection for the end of the stream.
#[test]
fn a_stream_that_breaks_off_does_not_appear_complete() {
    block_on(async {
        let (deployment, engines) = start("stream", route("/plans/", RouteKind::Streaming, "web"), 2).await;
        for (index, part) in parts().into_iter().enumerate() {
            engines.follow(move |_| part);
            let received = read_stream(deployment.client_address, &format!("r-{index}")).await;
            assert!(!received.is_whole_success(), "{part:?}: {:?}", received.body);
            let ids = received.ids();
            assert_eq!(ids, (1..=ids.len() as u32).collect::<Vec<_>>(), "{part:?}");
            assert_eq!(engines.requests(), 1, "{part:?}");
        }
        for framing in FRAMINGS {
            engines.follow(move |_| Part { framing, ..WHOLE });
            let received = read_stream(deployment.client_address, &format!("whole-{framing:?}")).await;
            assert!(received.is_whole_success(), "{framing:?}");
            assert_eq!((received.version, received.ids()), (Some(Version::HTTP_11), vec![1, 2, 3]), "{framing:?}");
        }
    });
}

/// Guards against a stream that continues at another engine and appears complete although that engine stops too.
#[test]
fn a_resumed_stream_that_breaks_off_again_does_not_appear_complete() {
    block_on(async {
        let resumable = Route { resumable: true, ..route("/plans/", RouteKind::Streaming, "web") };
        let (deployment, engines) = start("resumed", resumable, 2).await;
        // The resumed stream has two events left.
        let broken = parts().into_iter().filter(|part| !matches!(part.place, Place::Event(2 | EVENTS, _)));
        for (index, part) in broken.enumerate() {
            let first = Part { place: Place::Event(1, 30), ..part };
            engines.follow(move |request| if request.after == 0 { first } else { part });
            let received = read_stream(deployment.client_address, &format!("r-{index}")).await;
            assert!(!received.is_whole_success(), "{part:?}: {:?}", received.body);
            let ids = received.ids();
            assert_eq!(ids, (1..=ids.len() as u32).collect::<Vec<_>>(), "{part:?}");
            assert_eq!(engines.requests(), 2, "{part:?}");
            engines.follow(move |request| if request.after == 0 { first } else { WHOLE });
            let received = read_stream(deployment.client_address, &format!("whole-{index}")).await;
            assert!(received.is_whole_success(), "{first:?}");
            assert_eq!(received.ids(), [1, 2, 3], "{first:?}");
        }
    });
}

/// Runs a job with one item for each of `parts`, whose responses `script` chooses by the item's part; checks the texts.
async fn run_items(name: &str, parts: Vec<Part>, script: impl Fn(&ReceivedRequest, Part) -> Part + 'static) {
    let (deployment, engines) = start(name, rollouts(), 2).await;
    let submission = job("job", 0, 0, parts.len() as u32, EVENTS);
    let paths = submission.items.iter().map(|item| item.path.clone());
    let by_path: BTreeMap<String, Part> = paths.zip(parts.iter().copied()).collect();
    let scripts = by_path.clone();
    engines.follow(move |request| script(request, scripts[&request.path]));
    assert_eq!(deployment.submit(&submission).await, StatusCode::ACCEPTED);
    let page = deployment.await_results("job", parts.len()).await;
    for (_, result) in &page.results {
        let item = &submission.items[result.item as usize];
        let text: Vec<String> = (1..=EVENTS).map(|event| format!("{} {event}", item.path)).collect();
        let received = (result.end, String::from_utf8_lossy(&result.text));
        assert_eq!(received, (ItemEnd::Completed, text.join("\n").into()), "{:?}", by_path[&item.path]);
    }
}

/// Guards against an item whose text counts as complete before its last event, or has an event twice.
#[test]
fn items_whose_response_breaks_off_become_whole() {
    block_on(run_items("items", parts(), |request, part| if request.earlier == 0 { part } else { WHOLE }));
}

/// Guards against an item whose text counts as complete because the response that continues it is empty.
#[test]
fn items_whose_continuation_breaks_off_become_whole() {
    // The continuation has two events left.
    let parts = parts().into_iter().filter(|part| !matches!(part.place, Place::Event(2 | EVENTS, _))).collect();
    block_on(run_items("continuations", parts, |request, part| match request.earlier {
        0 => Part { place: Place::Event(1, 30), ..part },
        1 => part,
        _ => WHOLE,
    }));
}
