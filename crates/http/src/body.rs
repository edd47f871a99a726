//! Request and response bodies: buffered, JSON or streamed.

use bytes::{Bytes, BytesMut};
use futures::Stream;
use futures::channel::mpsc;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

/// Default maximum size of a body read by [`read_body`].
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A response body.
pub type ReplyBody = LocalBody;

/// A response.
pub type Reply = Response<ReplyBody>;

/// A response body that is not `Send`.
pub enum LocalBody {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// A buffered body whose memory is reserved already, see [`crate::memory::Reservation::attach`].
    Reserved(Full<Bytes>),
    /// A streamed body that ends when the sender is dropped.
    Streamed(mpsc::UnboundedReceiver<Bytes>),
    /// A streamed body that may fail; the connection is then closed before the end of the body.
    Fallible(Pin<Box<dyn Stream<Item = Result<Bytes, BodyInterrupted>>>>),
}

impl LocalBody {
    /// Whether the body is sent as its source produces it.
    pub fn is_streamed(&self) -> bool {
        matches!(self, Self::Streamed(_) | Self::Fallible(_))
    }

    /// Size of a buffered body, in bytes; zero for a streamed one.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Self::Buffered(buffered) | Self::Reserved(buffered) => buffered.size_hint().lower() as usize,
            Self::Streamed(_) | Self::Fallible(_) => 0,
        }
    }
}

/// The source of a streamed body failed before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyInterrupted;

impl fmt::Display for BodyInterrupted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the body broke off")
    }
}

impl std::error::Error for BodyInterrupted {}

impl Body for LocalBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match self.get_mut() {
            Self::Buffered(buffered) | Self::Reserved(buffered) => {
                Pin::new(buffered).poll_frame(context).map_err(|never| match never {})
            }
            Self::Fallible(parts) => {
                parts.as_mut().poll_next(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
            Self::Streamed(parts) => {
                let next = Pin::new(parts).poll_next(context);
                next.map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(buffered) | Self::Reserved(buffered) => buffered.is_end_stream(),
            Self::Streamed(_) | Self::Fallible(_) => false,
        }
    }
}

/// A response with a buffered body.
pub fn full_reply(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(LocalBody::Buffered(Full::new(body.into())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// A response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_else(|error| error.to_string().into_bytes());
    full_reply(status, "application/json", body)
}

/// A response with a streamed body, which ends when the sender is dropped.
pub fn streamed_reply(content_type: &'static str, parts: mpsc::UnboundedReceiver<Bytes>) -> Reply {
    let mut reply = Response::new(LocalBody::Streamed(parts));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Lost,
    /// The body did not arrive in time.
    Timeout,
    /// Clients make the process hold too much memory; the same request may succeed later.
    NoMemory,
    /// The body is not the expected JSON; contains the parser's message.
    Malformed(String),
}

/// Reads a whole body, up to [`MAX_BODY_BYTES`].
pub async fn read_body<B>(body: B) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    read_limited(body, MAX_BODY_BYTES).await
}

/// Reads a whole body, up to `limit` bytes.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut received = BytesMut::new();
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_| BodyError::Lost)?.into_data() else {
            continue;
        };
        if received.len() + bytes.len() > limit {
            return Err(BodyError::TooLarge);
        }
        // Copied, since hyper's chunks keep the whole buffers that they were cut from.
        received.extend_from_slice(&bytes);
    }
    Ok(received.freeze())
}

/// Parses a JSON body.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    serde_json::from_slice(bytes).map_err(|error| BodyError::Malformed(error.to_string()))
}
