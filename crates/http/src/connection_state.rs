//! What the server knows of a connection: its phase, its progress and the memory held for it.

use saddlerelay_runtime::signal::Signal;
use std::cell::Cell;
use std::time::Instant;

/// Bytes of a body that count as progress. A client that sends fewer keeps its memory without using it.
const PROGRESS_STEP_BYTES: usize = 16 * 1024;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// A head has begun.
    Head,
    /// A handler reads the body.
    Body,
    /// A handler prepares the response.
    Handling,
    /// The response is sent.
    Response,
    /// What the client still sends after a refusal is discarded.
    Discarding,
}

/// Why the server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The head was not complete in time.
    HeadTimeout,
    /// No request arrived in time.
    IdleTimeout,
    /// The client read nothing of its response for too long.
    UnreadResponse,
    /// Other connections need the place.
    ConnectionLimit,
    /// Other requests need the memory.
    MemoryLimit,
}

impl CloseReason {
    /// The reason as logged and counted.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HeadTooLarge => "head_too_large",
            Self::HeadTimeout => "head_timeout",
            Self::IdleTimeout => "idle_timeout",
            Self::UnreadResponse => "unread_response",
            Self::ConnectionLimit => "connection_limit",
            Self::MemoryLimit => "memory_limit",
        }
    }
}

/// State of one connection, shared by its stream, its requests and the checks of all connections.
pub(crate) struct ConnectionState {
    /// The listener that accepted the connection.
    pub listener: u64,
    phase: Cell<Phase>,
    /// Start of the phase.
    since: Cell<Instant>,
    /// Last progress of a body or of a response.
    progress_at: Cell<Instant>,
    /// Bytes of a body received since the last progress.
    step_bytes: Cell<usize>,
    /// Bytes received of the head.
    head_bytes: Cell<usize>,
    /// Memory that gives way if this connection is closed, in bytes.
    held_bytes: Cell<usize>,
    /// Whether the client reads less than is sent.
    is_write_blocked: Cell<bool>,
    /// Whether a request was not read to its end.
    has_unread_input: Cell<bool>,
    must_close: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
    closing: Signal,
}

impl ConnectionState {
    pub fn new(listener: u64) -> Self {
        let now = Instant::now();
        Self {
            listener,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            progress_at: Cell::new(now),
            step_bytes: Cell::new(0),
            head_bytes: Cell::new(0),
            held_bytes: Cell::new(0),
            is_write_blocked: Cell::new(false),
            has_unread_input: Cell::new(false),
            must_close: Cell::new(false),
            close_reason: Cell::new(None),
            closing: Signal::default(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Start of the current phase.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Last progress of the body or response in transfer.
    pub fn progress_at(&self) -> Instant {
        self.progress_at.get()
    }

    pub fn enter(&self, phase: Phase) {
        let now = Instant::now();
        self.phase.set(phase);
        self.since.set(now);
        self.progress_at.set(now);
        self.step_bytes.set(0);
        self.head_bytes.set(0);
    }

    /// Counts received bytes; the first ones after a response begin a head.
    pub fn record_received(&self, bytes: usize) {
        if self.phase.get() == Phase::Idle && bytes > 0 {
            self.enter(Phase::Head);
        }
        if self.phase.get() == Phase::Head {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
    }

    /// Bytes received of an incomplete head.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes.get()
    }

    /// Counts received bytes of a body.
    pub fn record_body(&self, bytes: usize) {
        let step = self.step_bytes.get() + bytes;
        self.step_bytes.set(step % PROGRESS_STEP_BYTES);
        if step >= PROGRESS_STEP_BYTES {
            self.progress_at.set(Instant::now());
        }
    }

    /// Records whether the client accepted bytes of a response.
    pub fn record_write(&self, is_blocked: bool) {
        if !is_blocked || !self.is_write_blocked.get() {
            self.progress_at.set(Instant::now());
        }
        self.is_write_blocked.set(is_blocked);
    }

    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Memory that is given back if the connection ends, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    pub fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.set(bytes);
    }

    /// A request's head is complete.
    pub fn begin_request(&self) {
        self.has_unread_input.set(false);
        self.must_close.set(false);
        self.held_bytes.set(0);
        self.enter(Phase::Handling);
    }

    /// The last bytes of a response were handed to the connection.
    pub fn end_response(&self) {
        self.enter(Phase::Idle);
    }

    /// Marks that the rest of a body is not read, so that no further request can follow.
    pub fn abandon_body(&self) {
        self.mark_unread_input();
        self.must_close.set(true);
    }

    /// Whether the connection can carry no request after the current one.
    pub fn must_close(&self) -> bool {
        self.must_close.get()
    }

    /// Marks that a request is not read to its end, unless hyper still discards the rest.
    pub fn mark_unread_input(&self) {
        self.has_unread_input.set(true);
    }

    /// Whether the client may still be sending a request that the server does not read.
    pub fn has_unread_input(&self) -> bool {
        self.has_unread_input.get() || matches!(self.phase.get(), Phase::Head | Phase::Body)
    }

    /// Makes the connection end, and one that discards input end at once. Returns whether it was not ending yet.
    pub fn close(&self, reason: CloseReason) -> bool {
        let is_first = self.close_reason.get().is_none();
        if is_first {
            self.close_reason.set(Some(reason));
        }
        if is_first || self.phase.get() == Phase::Discarding {
            self.closing.notify();
        }
        is_first
    }

    /// Whether the connection can be made to end.
    pub fn can_close(&self) -> bool {
        self.close_reason.get().is_none() || self.phase.get() == Phase::Discarding
    }

    /// Waits until a connection that is ending has to end at once.
    pub async fn aborted(&self) {
        self.closing.changed(self.closing.count()).await;
    }

    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Waits until the connection is to end.
    pub async fn closing(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.close_reason.get() {
                return reason;
            }
            self.closing.changed(self.closing.count()).await;
        }
    }
}
