//! Bodies: whole, JSON, or a stream of parts.

use bytes::Bytes;
use futures::Stream;
use futures::channel::mpsc;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest request body accepted, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A response body.
pub type ReplyBody = LocalBody;

/// A response.
pub type Reply = Response<ReplyBody>;

/// A body that need not be sent between threads.
pub enum LocalBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// Parts as they come.
    Parts(mpsc::UnboundedReceiver<Bytes>),
}

impl Body for LocalBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(whole) => Pin::new(whole).poll_frame(context),
            Self::Parts(parts) => {
                let next = Pin::new(parts).poll_next(context);
                next.map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Parts(_) => false,
        }
    }
}

/// A response with a whole body.
pub fn whole(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(LocalBody::Whole(Full::new(body.into())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// A response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_else(|error| error.to_string().into_bytes());
    whole(status, "application/json", body)
}

/// A response whose body is sent part by part; it ends when the sender is dropped.
pub fn parts(content_type: &'static str, parts: mpsc::UnboundedReceiver<Bytes>) -> Reply {
    let mut reply = Response::new(LocalBody::Parts(parts));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Larger than [`MAX_BODY_BYTES`].
    TooLarge,
    /// The connection was lost.
    Lost,
    /// Not the JSON that was expected; the text says where.
    Malformed(String),
}

/// Reads a whole body, up to [`MAX_BODY_BYTES`].
pub async fn read_whole<B>(body: B) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, MAX_BODY_BYTES);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Lost),
    }
}

/// Parses a JSON body.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    serde_json::from_slice(bytes).map_err(|error| BodyError::Malformed(error.to_string()))
}
