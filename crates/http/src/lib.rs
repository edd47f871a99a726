//! HTTP/1.1 with hyper on compio: server, client, JSON bodies and server-sent events.
//!
//! - `server` accepts connections and passes requests to a handler, within the `limits` of its listener.
//! - `overload` holds what the connections of all listeners share: the memory budget (`memory`), the table of
//!   connections (`connection_state`), and which of them give way when either runs short (`eviction`).
//! - `cooperative_stream` is the stream of every connection: its reads give other tasks their turn. `server_stream` bounds
//!   what a server sends before its response.
//! - `limited_stream` counts what a connection receives and sends; `refusal` answers a client whose request is not
//!   read to its end.
//! - `request_body` reads request bodies, `body` builds responses.

pub mod body;
pub mod client;
mod connection_state;
mod cooperative_stream;
mod eviction;
mod limited_stream;
pub mod limits;
pub mod memory;
mod metrics;
pub mod overload;
mod refusal;
pub mod request_body;
pub mod server;
pub mod server_stream;
pub mod sse;
