//! Memory for large replies: pages of results, routing documents and segments. Each is reserved before it is built, and
//! released once it is written to the connection. Each kind has a share of its own, so that none keeps another out.

use crate::node::ControlNode;
use saddlerelay_rpc::reply_memory::{ReplyMemory, Reservation};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::repeated_event::RepeatedEvent;
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Size up to which a reply is not counted, in bytes.
const SMALL_REPLY_BYTES: usize = 64 * 1024;

/// Copies of a reply that exist at the same time while it is built and encoded.
const COPIES_WHILE_ENCODED: usize = 3;

/// Copies of an encoded reply that exist while it is written.
const COPIES_WHILE_WRITTEN: usize = 2;

/// Longest wait of a request for memory. Leaves callers that time out after 350 ms or more the time to get the rejection.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Time in which a reply must be written, unless another replica requested it. Longer than the timeouts of those that
/// call.
pub(crate) const WRITE_LIMIT: Duration = Duration::from_secs(2);

/// What a large reply contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Content {
    /// A page of results of a batch job.
    Results,
    /// A routing document, or the changes to one.
    Routing,
    /// A segment, for another replica.
    Segment,
}

impl Content {
    /// The part of the memory of large replies that is for this content, in percent.
    fn share_percent(self) -> usize {
        match self {
            Self::Results | Self::Routing => 40,
            Self::Segment => 20,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Results => "results",
            Self::Routing => "routing",
            Self::Segment => "segment",
        }
    }
}

/// The memory of one kind of large replies, and the state of the log lines about it.
struct Share {
    memory: ReplyMemory,
    rejected: RefCell<RepeatedEvent>,
    /// Peak use at which the next log line is due, in bytes.
    next_logged_peak: Cell<usize>,
}

impl Share {
    fn new(content: Content, capacity: usize) -> Self {
        let memory = ReplyMemory::new(capacity / 100 * content.share_percent());
        Self { memory, rejected: RefCell::default(), next_logged_peak: Cell::new(SMALL_REPLY_BYTES) }
    }
}

/// The memory of a node's large replies.
pub(crate) struct LargeReplies {
    results: Share,
    routing: Share,
    segments: Share,
}

impl LargeReplies {
    /// Limits all large replies of the node to `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            results: Share::new(Content::Results, capacity),
            routing: Share::new(Content::Routing, capacity),
            segments: Share::new(Content::Segment, capacity),
        }
    }

    fn share(&self, content: Content) -> &Share {
        match content {
            Content::Results => &self.results,
            Content::Routing => &self.routing,
            Content::Segment => &self.segments,
        }
    }

    /// The memory for replies with `content`.
    pub fn memory(&self, content: Content) -> &ReplyMemory {
        &self.share(content).memory
    }
}

/// Whether a reply of `bytes` bytes may be built: it is small, or its memory is reserved.
pub(crate) fn covers_reply(reservation: &Option<Reservation>, bytes: usize) -> bool {
    bytes <= SMALL_REPLY_BYTES || reservation.as_ref().is_some_and(|held| held.bytes() >= bytes * COPIES_WHILE_ENCODED)
}

/// Lowers a reservation to what is held while a reply of `bytes` bytes is written.
pub(crate) fn shrink_to_encoded(reservation: &mut Option<Reservation>, bytes: usize) {
    if let Some(reservation) = reservation {
        reservation.shrink_to(bytes * COPIES_WHILE_WRITTEN);
    }
}

impl<P: Runtime, B: Backends> ControlNode<P, B> {
    /// The memory of large replies, by what they contain.
    pub fn reply_memory(&self) -> [(&'static str, &ReplyMemory); 3] {
        let contents = [Content::Results, Content::Routing, Content::Segment];
        contents.map(|content| (content.name(), self.inner.large_replies.memory(content)))
    }

    /// Reserves memory for a reply of `bytes` bytes, and for `scratch` bytes while it is built. Waits a short time if
    /// there is none; returns `false` if there still is none, and the request must be rejected. Replaces a reservation that
    /// is held already.
    pub(crate) async fn reserve_reply(
        &self,
        reservation: &mut Option<Reservation>,
        content: Content,
        bytes: usize,
        scratch: usize,
    ) -> bool {
        if bytes <= SMALL_REPLY_BYTES {
            return true;
        }
        let needed = bytes * COPIES_WHILE_ENCODED + scratch;
        // Released first, so that waiting requests never hold what others wait for.
        *reservation = None;
        let memory = self.inner.large_replies.memory(content);
        *reservation = memory.reserve(&self.inner.platform, needed, MAX_WAIT).await;
        if reservation.is_some() {
            self.log_peak(content);
        } else {
            self.log_rejection(content, needed);
        }
        reservation.is_some()
    }

    /// Logs that the memory of replies has reached a new peak, each time that it has doubled.
    fn log_peak(&self, content: Content) {
        let replies = self.inner.large_replies.share(content);
        let peak = replies.memory.peak();
        if peak < replies.next_logged_peak.get() {
            return;
        }
        replies.next_logged_peak.set(peak.saturating_mul(2));
        spdlog::info!("memory of large replies at a new peak", kv: {
            content = content.name(), peak_bytes = peak, capacity_bytes = replies.memory.capacity(),
            waiting = replies.memory.waiting()
        });
    }

    fn log_rejection(&self, content: Content, needed: usize) {
        let replies = self.inner.large_replies.share(content);
        let requests = replies.rejected.borrow_mut().count(self.inner.platform.monotonic());
        if let Some(requests) = requests {
            spdlog::warn!("large reply rejected, no memory", kv: {
                content = content.name(), needed_bytes = needed, used_bytes = replies.memory.used(),
                capacity_bytes = replies.memory.capacity(), waiting = replies.memory.waiting(), requests = requests
            });
        }
    }
}
