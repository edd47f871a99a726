//! A stand-in engine that writes bytes without end.

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Size of one write, so that the kernel's buffers are always full.
const WRITE_BYTES: usize = 64 * 1024;

/// What the server sends: a prefix, in which `{id}` is replaced by the request's identifier, and then the same bytes again
/// and again until the peer closes the connection.
#[derive(Clone, Copy, Debug)]
pub struct EndlessResponse {
    pub prefix: &'static str,
    pub repeated: &'static str,
    /// Pause between writes of the repeated bytes, which are then written one repetition at a time.
    pub pause: Option<Duration>,
}

/// A server that answers each request with an [`EndlessResponse`].
#[derive(Clone)]
pub struct EndlessServer {
    pub address: SocketAddr,
    requests: Rc<Cell<u32>>,
    /// Connections on which it still writes.
    writing: Rc<Cell<u32>>,
    /// Total bytes that the kernel accepted.
    written: Rc<Cell<u64>>,
}

impl EndlessServer {
    pub async fn start(response: EndlessResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("listener has no local address");
        let server = Self { address, requests: Rc::default(), writing: Rc::default(), written: Rc::default() };
        let accepting = server.clone();
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                compio::runtime::spawn(accepting.clone().serve(stream, response)).detach();
            }
        })
        .detach();
        server
    }

    /// Number of requests received.
    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Number of connections that the peer has not closed although the server writes on them.
    pub fn writing(&self) -> u32 {
        self.writing.get()
    }

    /// Total bytes written.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    async fn serve(self, mut stream: TcpStream, response: EndlessResponse) {
        let Some(id) = read_request_id(&mut stream).await else {
            return;
        };
        self.requests.set(self.requests.get() + 1);
        self.writing.set(self.writing.get() + 1);
        let prefix = response.prefix.replace("{id}", &id).into_bytes();
        if stream.write_all(prefix).await.0.is_ok() {
            self.write_without_end(&mut stream, response).await;
        }
        self.writing.set(self.writing.get() - 1);
    }

    async fn write_without_end(&self, stream: &mut TcpStream, response: EndlessResponse) {
        let repetitions = match response.pause {
            Some(_) => 1,
            None => WRITE_BYTES / response.repeated.len(),
        };
        let mut bytes = response.repeated.repeat(repetitions).into_bytes();
        loop {
            let BufResult(result, returned) = stream.write_all(bytes).await;
            if result.is_err() {
                return;
            }
            bytes = returned;
            self.written.set(self.written.get() + bytes.len() as u64);
            if let Some(pause) = response.pause {
                compio::time::sleep(pause).await;
            }
        }
    }
}

/// Reads a request's head; returns its identifier.
async fn read_request_id(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream).await?;
    let id = head.lines().find_map(|line| line.strip_prefix("saddlerelay-request: "));
    Some(id.unwrap_or_default().trim().to_string())
}

/// Reads the head of a request, and what has arrived with it; `None` if the connection ends before.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut received: Vec<u8> = Vec::new();
    loop {
        let BufResult(count, buffer) = stream.read(Vec::with_capacity(4_096)).await;
        if !matches!(count, Ok(count) if count > 0) {
            return None;
        }
        received.extend_from_slice(&buffer);
        let text = String::from_utf8_lossy(&received);
        if text.contains("\r\n\r\n") {
            return Some(text.into_owned());
        }
    }
}
