//! HTTP server with one task per connection and graceful shutdown.

use crate::body::Reply;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures::future::{self, Either};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, server::conn::http1};
use saddlerelay_runtime::signal::Signal;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a server that is shutting down waits for further connections from the backlog.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// How long a server that is shutting down waits for the first request of a connection, counted from its accept.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Interval at which [`Shutdown::close`] checks whether all connections are closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handles requests.
pub trait HttpHandler: 'static {
    /// Returns the response to `request`.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + 'static;
}

/// Graceful shutdown of the servers it was passed to. Clones share their state.
#[derive(Clone, Default)]
pub struct Shutdown {
    inner: Rc<ShutdownState>,
}

#[derive(Default)]
struct ShutdownState {
    closing: Signal,
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
    pub async fn close(&self, timeout: Duration) -> bool {
        self.inner.closing.notify();
        let deadline = Instant::now() + timeout;
        while !self.inner.is_closed() && Instant::now() < deadline {
            compio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        self.inner.is_closed()
    }

    async fn closing(&self) {
        self.inner.closing.changed(0).await;
    }

    fn track_connection(&self) -> OpenConnection {
        self.inner.open.set(self.inner.open.get() + 1);
        OpenConnection(self.inner.clone())
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<ShutdownState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts connections until the process ends.
pub async fn serve<H: HttpHandler>(listener: TcpListener, handler: Rc<H>) {
    serve_until(listener, handler, Shutdown::default()).await;
}

/// Accepts connections until `shutdown` is closed, and still serves those that are in the backlog at that time.
pub async fn serve_until<H: HttpHandler>(listener: TcpListener, handler: Rc<H>, shutdown: Shutdown) {
    shutdown.inner.active_listeners.set(shutdown.inner.active_listeners.get() + 1);
    let spawn_connection = |stream| {
        let connection = serve_connection(stream, handler.clone(), shutdown.clone(), shutdown.track_connection());
        compio::runtime::spawn(connection).detach();
    };
    // The accept future is reused across polls: dropping one that has already accepted a connection would reset it.
    let mut accepting = Box::pin(listener.accept());
    loop {
        match future::select(accepting.as_mut(), pin!(shutdown.closing())).await {
            Either::Left((Ok((stream, _)), _)) => spawn_connection(stream),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => break,
        }
        accepting = Box::pin(listener.accept());
    }
    loop {
        let wait_started_at = Instant::now();
        match future::select(accepting.as_mut(), pin!(compio::time::sleep(BACKLOG_WAIT))).await {
            Either::Left((Ok((stream, _)), _)) => {
                spawn_connection(stream);
                accepting = Box::pin(listener.accept());
            }
            // The process was not scheduled in time: connections may have arrived meanwhile.
            Either::Right(_) if wait_started_at.elapsed() > 2 * BACKLOG_WAIT => {}
            Either::Left((Err(_), _)) | Either::Right(_) => break,
        }
    }
    drop(accepting);
    drop(listener);
    shutdown.inner.active_listeners.set(shutdown.inner.active_listeners.get() - 1);
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    handler: Rc<H>,
    shutdown: Shutdown,
    _open: OpenConnection,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let accepted_at = Instant::now();
    let first_request_received = Rc::new(Signal::default());
    let received_signal = first_request_received.clone();
    let service = service_fn(move |request| {
        received_signal.notify();
        let response = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    // Connection errors affect only this task; hyper answers malformed requests with 400.
    if let Either::Left(_) = future::select(connection.as_mut(), pin!(shutdown.closing())).await {
        return;
    }
    let remaining = FIRST_REQUEST_WAIT.saturating_sub(accepted_at.elapsed());
    let first_request = pin!(compio::time::timeout(remaining, first_request_received.changed(0)));
    if let Either::Left(_) = future::select(connection.as_mut(), first_request).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    // Connection errors affect only this task.
    let _ = connection.await;
}
