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
    open: Cell<usize>,
}

impl Shutdown {
    /// Stops accepting, lets every request in progress end, and waits until every connection is closed, for at most
    /// `limit`. Returns whether all were.
    pub async fn close(&self, limit: Duration) -> bool {
        self.inner.closing.notify();
        let until = Instant::now() + limit;
        // The accepting task still takes what is in the backlog.
        compio::time::sleep(2 * BACKLOG_LOOK).await;
        while self.inner.open.get() > 0 && Instant::now() < until {
            compio::time::sleep(CLOSE_POLL).await;
        }
        self.inner.open.get() == 0
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
    let start = |stream| {
        let connection = serve_connection(stream, handler.clone(), shutdown.clone(), shutdown.begin());
        compio::runtime::spawn(connection).detach();
    };
    loop {
        match future::select(pin!(listener.accept()), pin!(shutdown.closing())).await {
            Either::Left((Ok((stream, _)), _)) => start(stream),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => break,
        }
    }
    while let Ok(Ok((stream, _))) = compio::time::timeout(BACKLOG_LOOK, listener.accept()).await {
        start(stream);
    }
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
    let service = service_fn(move |request| {
        let answer = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    // A broken connection ends its own task and nothing else; a malformed request is answered by hyper with 400.
    if let Either::Right(_) = future::select(connection.as_mut(), pin!(shutdown.closing())).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
