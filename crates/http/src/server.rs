//! Serves HTTP: one task for each connection.

use crate::body::Reply;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, server::conn::http1};
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait HttpHandler: 'static {
    /// The answer to `request`.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + 'static;
}

/// Accepts connections until the process ends.
pub async fn serve<H: HttpHandler>(listener: TcpListener, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => compio::runtime::spawn(serve_connection(stream, handler.clone())).detach(),
            Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H: HttpHandler>(stream: TcpStream, handler: Rc<H>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // A broken connection ends its own task and nothing else; a malformed request is answered by hyper with 400.
    let _ = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service).await;
}
