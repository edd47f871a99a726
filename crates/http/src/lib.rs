//! HTTP/1.1 with hyper on compio: server, client, JSON bodies and server-sent events.

pub mod body;
pub mod client;
pub mod server;
pub mod sse;
