//! Serves HTTP: one task for each connection.

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

/// Pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a closing server looks for connections in the backlog.
const BACKLOG_LOOK: Duration = Duration::from_millis(20);

/// How long a closing server waits for the first request of a connection that has just been made: it is on its way.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Pause between looks at whether every connection is closed.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Answers requests.
pub trait HttpHandler: 'static {
    /// The answer to `request`.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + 'static;
}

/// Ends a server in an orderly way. Clones share it.
#[derive(Clone, Default)]
pub struct Shutdown {
    inner: Rc<ShutdownState>,
}

#[derive(Default)]
struct ShutdownState {
    closing: Signal,
    /// Listeners that still accept.
    listening: Cell<usize>,
    /// Connections that are not closed.
    open: Cell<usize>,
}

impl ShutdownState {
    fn is_closed(&self) -> bool {
        self.listening.get() == 0 && self.open.get() == 0
    }
}

impl Shutdown {
    /// Stops accepting, lets every request in progress end, and waits until every connection is closed, for at most
    /// `limit`. Returns whether all were.
    pub async fn close(&self, limit: Duration) -> bool {
        self.inner.closing.notify();
        let until = Instant::now() + limit;
        while !self.inner.is_closed() && Instant::now() < until {
            compio::time::sleep(CLOSE_POLL).await;
        }
        self.inner.is_closed()
    }

    async fn closing(&self) {
        self.inner.closing.changed(0).await;
    }

    fn begin(&self) -> OpenConnection {
        self.inner.open.set(self.inner.open.get() + 1);
        OpenConnection(self.inner.clone())
    }
}

/// Counts a connection as open until dropped.
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

/// Accepts connections until `shutdown` is closed. Those already in the backlog then are still served.
pub async fn serve_until<H: HttpHandler>(listener: TcpListener, handler: Rc<H>, shutdown: Shutdown) {
    shutdown.inner.listening.set(shutdown.inner.listening.get() + 1);
    let start = |stream| {
        let connection = serve_connection(stream, handler.clone(), shutdown.clone(), shutdown.begin());
        compio::runtime::spawn(connection).detach();
    };
    // One that is dropped may have taken a connection, which is reset then: the same one is asked again and again.
    let mut accepting = Box::pin(listener.accept());
    loop {
        match future::select(accepting.as_mut(), pin!(shutdown.closing())).await {
            Either::Left((Ok((stream, _)), _)) => start(stream),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => break,
        }
        accepting = Box::pin(listener.accept());
    }
    loop {
        let began_at = Instant::now();
        match future::select(accepting.as_mut(), pin!(compio::time::sleep(BACKLOG_LOOK))).await {
            Either::Left((Ok((stream, _)), _)) => {
                start(stream);
                accepting = Box::pin(listener.accept());
            }
            // The machine gave the process no time: connections may have come meanwhile.
            Either::Right(_) if began_at.elapsed() > 2 * BACKLOG_LOOK => {}
            Either::Left((Err(_), _)) | Either::Right(_) => break,
        }
    }
    drop(accepting);
    drop(listener);
    shutdown.inner.listening.set(shutdown.inner.listening.get() - 1);
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
    let asked = Rc::new(Signal::default());
    let told = asked.clone();
    let service = service_fn(move |request| {
        told.notify();
        let answer = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    // A broken connection ends its own task and nothing else; a malformed request is answered by hyper with 400.
    if let Either::Left(_) = future::select(connection.as_mut(), pin!(shutdown.closing())).await {
        return;
    }
    let left = FIRST_REQUEST_WAIT.saturating_sub(accepted_at.elapsed());
    let first_request = pin!(compio::time::timeout(left, asked.changed(0)));
    if let Either::Left(_) = future::select(connection.as_mut(), first_request).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    // As above: a broken connection ends its own task.
    let _ = connection.await;
}
