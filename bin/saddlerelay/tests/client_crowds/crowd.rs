//! Crowds of clients that hold connections open without completing what they began.

use saddlerelay_types::job::{ItemId, JobId, JobItem, JobSubmission};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Timeout of one write; a server that reads nothing more holds a client up no longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Size of the pieces in which large bodies are sent, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// Pause between writes of one byte of body each.
const ONE_BYTE_PAUSE: Duration = Duration::from_millis(2);

/// What each client of a crowd sends before it falls silent; its connection stays open.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// Nothing.
    Silence,
    /// A head without its last line.
    HalfHead,
    /// A head of this many bytes, in one header.
    LongHead(usize),
    /// A head of many short headers, of this many bytes.
    ManyHeaders(usize),
    /// This many bytes of empty lines before a request.
    EmptyLines(usize),
    /// A body with a length, one byte short of it, in one write.
    WholeBody(usize),
    /// As `WholeBody`, in pieces.
    BodyInPieces(usize),
    /// A chunked body in chunks of one piece, without its last chunk.
    LargeChunks(usize),
    /// A chunked body of this many chunks of one byte, each in a write of its own, without its last chunk.
    OneByteChunks(usize),
    /// A chunked body of chunks of one byte in large writes, without its last chunk.
    OneByteChunksAtOnce(usize),
    /// A chunk with an extension of this many bytes.
    ChunkExtension(usize),
    /// A chunked body with trailers of this many bytes.
    Trailers(usize),
    /// A complete request with the body of a large job, of about this many bytes; the response is not read.
    WholeJob(usize),
    /// A complete request without a body, whose response is not read.
    UnreadResponse,
    /// This many bytes of complete requests without a body, whose responses are not read.
    Pipelined(usize),
    /// Bytes that are no HTTP: the length of a frame of 60 MiB, and this many bytes of it.
    Frame(usize),
}

/// The request that a crowd sends.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The server.
    pub address: SocketAddr,
    /// Method and path.
    pub method_and_path: &'static str,
}

/// Polls without a change after which a server counts as done with what it was sent; it need not read all of it.
const SETTLED_POLLS: usize = 40;

/// Interval between two polls of the kernel's queues.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Connects `count` clients and waits until each has sent what it sends, or can send no more.
    pub fn connect(count: usize, target: Target, shape: Shape) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let (sent, all_sent) = std::sync::mpsc::channel();
        let clients = (0..count).map(|_| {
            let (ended, sent) = (ended.clone(), sent.clone());
            std::thread::spawn(move || {
                let stream = begin(target, shape);
                // The crowd may have been dropped.
                let _ = sent.send(());
                while !ended.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(50));
                }
                drop(stream);
            })
        });
        let clients = clients.collect();
        for _ in 0..count {
            all_sent.recv().expect("a client ended early");
        }
        wait_until_received(target.address);
        Self { ended, clients }
    }
}

/// Waits until the server at `address` has received what was sent to it, or reads no more.
fn wait_until_received(address: SocketAddr) {
    let (mut queues, mut unchanged) = (Vec::new(), 0);
    while unchanged < SETTLED_POLLS {
        std::thread::sleep(POLL_INTERVAL);
        let current = queued_bytes(address);
        if current.iter().all(|bytes| *bytes == 0) {
            return;
        }
        unchanged = if current == queues { unchanged + 1 } else { 0 };
        queues = current;
    }
}

/// Bytes in the kernel's queues of each connection to `address`, at either end.
fn queued_bytes(address: SocketAddr) -> Vec<u64> {
    let SocketAddr::V4(address) = address else {
        panic!("the tests use IPv4");
    };
    let address = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read the table of connections");
    let queue = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, remote, state, queues) = (fields.get(1)?, fields.get(2)?, fields.get(3)?, fields.get(4)?);
        const LISTENING: &str = "0A";
        let is_connection = *state != LISTENING && (*local == address || *remote == address);
        let (sent, received) = queues.split_once(':')?;
        let sum = u64::from_str_radix(sent, 16).ok()? + u64::from_str_radix(received, 16).ok()?;
        is_connection.then_some(sum)
    };
    table.lines().skip(1).filter_map(queue).collect()
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            // A panic of a client was printed.
            let _ = client.join();
        }
    }
}

/// Sends what `shape` says; failures end it, since a server may refuse a client at any time.
fn begin(target: Target, shape: Shape) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&target.address, Duration::from_secs(2)).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    // An interrupted write is what the crowd is allowed to see.
    let _ = send(&mut stream, target, shape);
    Some(stream)
}

fn send(stream: &mut TcpStream, target: Target, shape: Shape) -> std::io::Result<()> {
    let head =
        format!("{} HTTP/1.1\r\nhost: clients.example\r\nsaddlerelay-request: crowd\r\n", target.method_and_path);
    let with_length = |length: usize| format!("{head}content-length: {length}\r\n\r\n");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    match shape {
        Shape::Silence => Ok(()),
        Shape::HalfHead => stream.write_all(head.as_bytes()),
        Shape::LongHead(length) => {
            stream.write_all(format!("{head}filler: ").as_bytes())?;
            repeat(stream, b"x", length)
        }
        Shape::ManyHeaders(length) => {
            stream.write_all(head.as_bytes())?;
            repeat(stream, b"a: b\r\n", length)
        }
        Shape::EmptyLines(length) => repeat(stream, b"\r\n", length),
        Shape::WholeBody(length) => {
            let mut request = with_length(length).into_bytes();
            request.resize(request.len() + length - 1, b'x');
            stream.write_all(&request)
        }
        Shape::BodyInPieces(length) => {
            stream.write_all(with_length(length).as_bytes())?;
            repeat(stream, b"x", length - 1)
        }
        Shape::LargeChunks(length) => {
            stream.write_all(chunked.as_bytes())?;
            let mut chunk = format!("{PIECE_BYTES:x}\r\n").into_bytes();
            chunk.resize(chunk.len() + PIECE_BYTES, b'x');
            chunk.extend_from_slice(b"\r\n");
            (0..length / PIECE_BYTES).try_for_each(|_| stream.write_all(&chunk))
        }
        Shape::OneByteChunks(count) => {
            stream.set_nodelay(true)?;
            stream.write_all(chunked.as_bytes())?;
            (0..count).try_for_each(|_| {
                std::thread::sleep(ONE_BYTE_PAUSE);
                stream.write_all(b"1\r\nx\r\n")
            })
        }
        Shape::OneByteChunksAtOnce(count) => {
            stream.write_all(chunked.as_bytes())?;
            repeat(stream, b"1\r\nx\r\n", count * 6)
        }
        Shape::ChunkExtension(length) => {
            stream.write_all(chunked.as_bytes())?;
            stream.write_all(b"1;name=")?;
            repeat(stream, b"x", length)
        }
        Shape::Trailers(length) => {
            stream.write_all(chunked.as_bytes())?;
            stream.write_all(b"1\r\nx\r\n0\r\n")?;
            repeat(stream, b"a: b\r\n", length)
        }
        Shape::WholeJob(length) => {
            let job = large_job(length);
            stream.write_all(with_length(job.len()).as_bytes())?;
            stream.write_all(&job)
        }
        Shape::UnreadResponse => stream.write_all(format!("{head}\r\n").as_bytes()),
        Shape::Pipelined(length) => repeat(stream, format!("{head}\r\n").as_bytes(), length),
        Shape::Frame(length) => {
            stream.write_all(&(60_u32 * 1024 * 1024).to_le_bytes())?;
            repeat(stream, b"x", length)
        }
    }
}

/// A job of one item whose encoding has about `length` bytes.
fn large_job(length: usize) -> Vec<u8> {
    let item = JobItem {
        id: ItemId("item-1".to_string()),
        path: "/rollouts/item".to_string(),
        headers: Vec::new(),
        // Base64 in JSON.
        body: vec![b'x'; length / 4 * 3],
        tokens: 1,
        group: "group".to_string(),
        scorer: None,
    };
    let job = JobSubmission {
        id: JobId("crowd".to_string()),
        host: String::new(),
        path: String::new(),
        owner: None,
        model: None,
        step: 0,
        minimum_version: 0,
        wanted_groups: 1,
        items: vec![item],
    };
    serde_json::to_vec(&job).expect("failed to serialize JSON")
}

/// Sends about `length` bytes that consist of repetitions of `unit`.
fn repeat(stream: &mut TcpStream, unit: &[u8], length: usize) -> std::io::Result<()> {
    let piece = unit.repeat(PIECE_BYTES.min(length).div_ceil(unit.len()));
    let mut left = length;
    while left > 0 {
        let part = &piece[..piece.len().min(left)];
        stream.write_all(part)?;
        left -= part.len();
    }
    Ok(())
}

/// Sends a request without a body, or with `body`, and returns the status and the body of the response.
pub fn call(address: SocketAddr, method_and_path: &str, body: &[u8]) -> std::io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.set_write_timeout(Some(Duration::from_secs(20)))?;
    let head = format!(
        "{method_and_path} HTTP/1.1\r\nhost: clients.example\r\nsaddlerelay-request: ordinary\r\n\
         authorization: Bearer prices:tellers:\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    // A refusal may arrive before the whole body is sent.
    let _ = stream.write_all(body);
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let status = response.get(9..12).and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
    let status = status.ok_or_else(|| read.err().unwrap_or_else(|| ErrorKind::UnexpectedEof.into()))?;
    let end = response.windows(4).position(|window| window == b"\r\n\r\n").map_or(response.len(), |at| at + 4);
    let is_chunked =
        String::from_utf8_lossy(&response[..end]).to_ascii_lowercase().contains("transfer-encoding: chunked");
    let body = response.split_off(end);
    Ok((status, if is_chunked { join_chunks(&body) } else { body }))
}

/// The contents of a chunked body, up to the first chunk that is incomplete.
fn join_chunks(mut body: &[u8]) -> Vec<u8> {
    let mut contents = Vec::new();
    while let Some(line_end) = body.windows(2).position(|window| window == b"\r\n") {
        let length = std::str::from_utf8(&body[..line_end]).ok().and_then(|text| usize::from_str_radix(text, 16).ok());
        let Some(chunk) = length.and_then(|length| body.get(line_end + 2..line_end + 2 + length)) else {
            break;
        };
        contents.extend_from_slice(chunk);
        body = body.get(line_end + 2 + chunk.len() + 2..).unwrap_or_default();
    }
    contents
}
