//! Limits on what an engine may send in a response, so that one that sends bytes without end exhausts no memory.

pub use saddlerelay_http::server_stream::MAX_HEAD_BYTES;

/// Maximum size of an event of a stream, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Memory for response bodies of a pool that shares no budget with clients, in bytes.
pub(crate) const DEFAULT_BODY_BYTES: usize = 128 * 1024 * 1024;
