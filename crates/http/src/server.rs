//! HTTP server with one task per connection, limits on what clients may make it hold, and graceful shutdown.

use crate::body::{BodyInterrupted, LocalBody, Reply, full_reply};
use crate::connection_state::{CloseReason, ConnectionState, Phase};
use crate::limited_stream::LimitedStream;
use crate::limits::ListenerLimits;
use crate::memory::{Reservation, SMALL_BYTES};
use crate::overload::{OpenConnection, OverloadManager};
use crate::refusal;
use crate::request_body::RequestBody;
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use futures::FutureExt;
use futures::future::{self, Either, LocalBoxFuture};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, server::conn::http1};
use saddlerelay_runtime::signal::Signal;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a server that is shutting down waits for further connections from the backlog.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// How long a server that is shutting down waits for the first request of a connection, counted from its accept.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Time for the responses to requests that a shutdown interrupts, and for the ends of their connections.
pub const INTERRUPTED_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Interval at which [`Shutdown::close`] checks whether all connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size of hyper's read buffer up to which limits on heads may rise while a connection is open, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Time for the last response of a connection that gives way to others.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// `Retry-After` of responses that there is no memory for, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Handles requests.
pub trait HttpHandler: 'static {
    /// Returns the response to `request`.
    fn handle(self: Rc<Self>, request: Request<RequestBody>) -> impl Future<Output = Reply> + 'static;
}

/// Graceful shutdown of the servers it was passed to. Clones share their state.
#[derive(Clone, Default)]
pub struct Shutdown {
    inner: Rc<ShutdownState>,
}

#[derive(Default)]
struct ShutdownState {
    closing: Signal,
    /// The time for requests in progress is over.
    interrupted: Signal,
    /// Number of listeners that still accept.
    active_listeners: Cell<usize>,
    /// Number of open connections.
    open: Cell<usize>,
}

impl ShutdownState {
    fn is_closed(&self) -> bool {
        self.active_listeners.get() == 0 && self.open.get() == 0
    }
}

impl Shutdown {
    /// Stops accepting connections and waits, for at most `timeout`, until requests in progress have completed and all
    /// connections are closed. Returns whether all were closed in time.
    ///
    /// Requests that outlast `timeout` are interrupted: a client receives a response that tells whether its request may
    /// have been executed, or the end of an incomplete stream. This takes up to [`INTERRUPTED_RESPONSE_TIME`] more.
    pub async fn close(&self, timeout: Duration) -> bool {
        self.inner.closing.notify();
        if self.wait_until_closed(timeout).await {
            return true;
        }
        self.inner.interrupted.notify();
        self.wait_until_closed(INTERRUPTED_RESPONSE_TIME).await;
        false
    }

    async fn wait_until_closed(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.inner.is_closed() && Instant::now() < deadline {
            compio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        self.inner.is_closed()
    }

    async fn closing(&self) {
        self.inner.closing.changed(0).await;
    }

    async fn interrupted(&self) {
        self.inner.interrupted.changed(0).await;
    }

    fn is_interrupted(&self) -> bool {
        self.inner.interrupted.count() > 0
    }

    fn track_connection(&self) -> CountedConnection {
        self.inner.open.set(self.inner.open.get() + 1);
        CountedConnection(self.inner.clone())
    }
}

/// Counts a connection as open until it is dropped.
struct CountedConnection(Rc<ShutdownState>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// What a listener shares with its connections.
struct Listener<H> {
    handler: Rc<H>,
    limits: ListenerLimits,
    manager: OverloadManager,
    shutdown: Shutdown,
    id: u64,
}

impl<H: HttpHandler> Listener<H> {
    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        if !self.manager.make_room(self.id, self.limits.max_connections) {
            compio::runtime::spawn(refusal::refuse(stream)).detach();
            return;
        }
        let tracked = self.shutdown.track_connection();
        let open = self.manager.open(self.id);
        let listener = self.clone();
        compio::runtime::spawn(async move {
            listener.serve_connection(stream, &open).await;
            drop(tracked);
        })
        .detach();
    }
}

/// Accepts connections until the process ends.
pub async fn serve<H: HttpHandler>(listener: TcpListener, handler: Rc<H>, limits: ListenerLimits) {
    serve_until(listener, handler, limits, OverloadManager::default(), Shutdown::default()).await;
}

/// Accepts connections until `shutdown` is closed, and still serves those that are in the backlog at that time. What
/// clients may make the process hold is limited by `limits` for each connection and for the listener, and by `manager`
/// for all listeners that share it.
pub async fn serve_until<H: HttpHandler>(
    listener: TcpListener,
    handler: Rc<H>,
    limits: ListenerLimits,
    manager: OverloadManager,
    shutdown: Shutdown,
) {
    let active = &shutdown.inner.clone().active_listeners;
    active.set(active.get() + 1);
    let id = manager.add_listener(&limits);
    let shared = Rc::new(Listener { handler, limits, manager, shutdown, id });
    // The accept future is reused across polls: dropping one that has already accepted a connection would reset it.
    let mut accepting = Box::pin(listener.accept());
    loop {
        match future::select(accepting.as_mut(), pin!(shared.shutdown.closing())).await {
            Either::Left((Ok((stream, _)), _)) => shared.spawn_connection(stream),
            Either::Left((Err(_), _)) => {
                shared.manager.release_descriptor();
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => break,
        }
        accepting = Box::pin(listener.accept());
    }
    loop {
        let wait_started_at = Instant::now();
        match future::select(accepting.as_mut(), pin!(compio::time::sleep(BACKLOG_WAIT))).await {
            Either::Left((Ok((stream, _)), _)) => {
                shared.spawn_connection(stream);
                accepting = Box::pin(listener.accept());
            }
            // The process was not scheduled in time: connections may have arrived meanwhile.
            Either::Right(_) if wait_started_at.elapsed() > 2 * BACKLOG_WAIT => {}
            Either::Left((Err(_), _)) | Either::Right(_) => break,
        }
    }
    drop(accepting);
    drop(listener);
    active.set(active.get() - 1);
}

impl<H: HttpHandler> Listener<H> {
    async fn serve_connection(self: &Rc<Self>, stream: TcpStream, open: &OpenConnection) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let state = &open.state;
        let mut socket = stream.clone();
        let phase_at_close = {
            let first_request_received = Rc::new(Signal::default());
            let service = service_fn(|request| {
                first_request_received.notify();
                let response = self.clone().respond(request, state.clone());
                async move { Ok::<_, Infallible>(response.await) }
            });
            let max_head_bytes = (self.limits.connection)().max_head_bytes;
            let io = LimitedStream::new(stream, state.clone(), self.limits.connection.clone());
            let connection = http1::Builder::new()
                .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES))
                .serve_connection(io, service);
            self.drive(pin!(connection), state, &first_request_received).await;
            state.phase()
        };
        if let Some(reason) = state.close_reason() {
            refusal::send_refusal(&mut socket, reason, phase_at_close).await;
        }
        if state.has_unread_input() {
            refusal::discard_input(socket, state).await;
        }
    }

    /// Runs a connection until it ends, the process shuts down, or it has to give way.
    async fn drive<C>(&self, mut connection: Pin<&mut C>, state: &ConnectionState, first_request: &Signal)
    where
        C: GracefulConnection,
    {
        let accepted_at = Instant::now();
        // Connection errors affect only this task; hyper answers malformed requests with 400.
        let shutting_down = pin!(self.shutdown.closing());
        let giving_way = pin!(state.closing());
        match future::select(connection.as_mut(), future::select(shutting_down, giving_way)).await {
            Either::Left(_) => return,
            Either::Right((Either::Right(_), _)) => return self.end(connection, state).await,
            Either::Right((Either::Left(_), _)) => {}
        }
        let remaining = FIRST_REQUEST_WAIT.saturating_sub(accepted_at.elapsed());
        let first_request = pin!(compio::time::timeout(remaining, first_request.changed(0)));
        if let Either::Left(_) = future::select(connection.as_mut(), first_request).await {
            return;
        }
        connection.as_mut().begin_shutdown();
        if let Either::Right(_) = future::select(connection.as_mut(), pin!(state.closing())).await {
            self.end(connection, state).await;
        }
    }

    /// Ends a connection that has to give way. A request that a handler has taken gets its response.
    async fn end<C: GracefulConnection>(&self, mut connection: Pin<&mut C>, state: &ConnectionState) {
        let is_answering = matches!(state.phase(), Phase::Body | Phase::Handling | Phase::Response);
        if !is_answering || state.is_write_blocked() {
            return;
        }
        connection.as_mut().begin_shutdown();
        // A client that does not read its response in time does not get the rest of it.
        let is_unread = async {
            loop {
                compio::time::sleep(LAST_RESPONSE_TIMEOUT).await;
                if state.is_write_blocked() {
                    return;
                }
            }
        };
        future::select(connection, pin!(is_unread)).await;
    }

    /// Passes a request to the handler, within the limits that are in force now.
    async fn respond(self: Rc<Self>, request: Request<Incoming>, state: Rc<ConnectionState>) -> Response<TrackedBody> {
        let limits = (self.limits.connection)();
        state.begin_request();
        let method = request.method().clone();
        if head_bytes(&request) > limits.max_head_bytes {
            self.manager.close(&state, CloseReason::HeadTooLarge);
            state.mark_unread_input();
            let reply = full_reply(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "text/plain", "head too large");
            return TrackedBody::track(closing(reply), state, None);
        }
        let request = request.map(|body| RequestBody::new(body, state.clone(), self.manager.clone(), limits));
        let reply = self.handle(request, &state).await;
        let (reply, reservation) = self.reserve_reply(&method, reply).await;
        let reply = if state.must_close() { closing(reply) } else { reply };
        let interruption = reply.body().is_streamed().then(|| self.clone().interruption());
        let mut response = TrackedBody::track(reply, state, reservation);
        response.body_mut().interruption = interruption;
        response
    }

    /// Passes a request to the handler, and answers in its place once the time for a shutdown is over. A handler whose
    /// request is still being received has not acted on it.
    async fn handle(&self, request: Request<RequestBody>, state: &ConnectionState) -> Reply {
        if self.shutdown.is_interrupted() {
            return closing(refusal::not_executed_before_shutdown());
        }
        let handling = pin!(self.handler.clone().handle(request));
        match future::select(handling, pin!(self.shutdown.interrupted())).await {
            Either::Left((reply, _)) => reply,
            Either::Right(_) if state.phase() == Phase::Body => closing(refusal::not_executed_before_shutdown()),
            Either::Right(_) => closing(refusal::interrupted_by_shutdown()),
        }
    }

    fn interruption(self: Rc<Self>) -> LocalBoxFuture<'static, ()> {
        async move { self.shutdown.interrupted().await }.boxed_local()
    }

    /// Reserves memory for a buffered response. A large response to a read is replaced by a rejection if there is no
    /// memory for it; any other one reports what was done, and is sent in any case.
    async fn reserve_reply(&self, method: &Method, reply: Reply) -> (Reply, Option<Reservation>) {
        let LocalBody::Buffered(_) = reply.body() else {
            return (reply, None);
        };
        let bytes = reply.body().buffered_bytes();
        if bytes <= SMALL_BYTES {
            return (reply, None);
        }
        let mut reservation = self.manager.memory().begin();
        if self.manager.reserve(&mut reservation, bytes).await {
            return (reply, Some(reservation));
        }
        if *method == Method::GET {
            self.manager.record_refusal();
            let mut refused = full_reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "too many large responses");
            refused.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
            return (refused, None);
        }
        reservation.set(bytes);
        (reply, Some(reservation))
    }
}

/// A connection that can be told to end after its current request.
trait GracefulConnection: Future<Output = hyper::Result<()>> {
    fn begin_shutdown(self: Pin<&mut Self>);
}

impl<S> GracefulConnection for http1::Connection<LimitedStream, S>
where
    S: hyper::service::HttpService<Incoming, ResBody = TrackedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn begin_shutdown(self: Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

/// Size of a request's head as sent, without white space that is not significant, in bytes.
fn head_bytes<B>(request: &Request<B>) -> usize {
    const LINE_END: usize = "\r\n".len();
    const SEPARATOR: usize = ": ".len();
    const VERSION: usize = "  HTTP/1.1".len();
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + target + VERSION + LINE_END;
    let header = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + SEPARATOR + value.len() + LINE_END
    };
    request_line + request.headers().iter().map(header).sum::<usize>() + LINE_END
}

fn closing(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// A response body that reports its end to the connection's state.
struct TrackedBody {
    body: LocalBody,
    state: Rc<ConnectionState>,
    /// Memory of a buffered body; tied to its bytes, which the connection keeps until they are written.
    reservation: Option<Reservation>,
    /// Completes when a streamed body has to end before its source does.
    interruption: Option<LocalBoxFuture<'static, ()>>,
}

impl TrackedBody {
    fn track(reply: Reply, state: Rc<ConnectionState>, reservation: Option<Reservation>) -> Response<Self> {
        state.enter(Phase::Response);
        state.set_held_bytes(reply.body().buffered_bytes());
        reply.map(|body| Self { body, state, reservation, interruption: None })
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        if let Some(interruption) = &mut this.interruption
            && interruption.as_mut().poll(context).is_ready()
        {
            this.interruption = None;
            return Poll::Ready(Some(Err(BodyInterrupted)));
        }
        let polled = Pin::new(&mut this.body).poll_frame(context);
        polled.map_ok(|frame| match this.reservation.take() {
            Some(reservation) => frame.map_data(|bytes| reservation.attach(bytes)),
            None => frame,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.end_response();
    }
}
