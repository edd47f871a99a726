//! Request bodies, read whole into memory that is reserved before it is used.

use crate::body::BodyError;
use crate::connection_state::{ConnectionState, Phase};
use crate::limits::ConnectionLimits;
use crate::memory::Reservation;
use crate::overload::OverloadManager;
use bytes::Bytes;
use futures::future::{self, Either};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Memory reserved for a body without a length before its first byte, in bytes.
const INITIAL_BYTES: usize = 4 * 1024;

/// A request's body that is not read yet. The client gets `100 Continue` when it is.
pub struct RequestBody {
    body: Incoming,
    state: Rc<ConnectionState>,
    manager: OverloadManager,
    limits: ConnectionLimits,
}

/// Marks a body that is dropped before its end.
struct UnreadGuard<'a> {
    state: &'a ConnectionState,
    is_complete: bool,
}

impl Drop for UnreadGuard<'_> {
    fn drop(&mut self) {
        self.state.set_held_bytes(0);
        if !self.is_complete {
            self.state.abandon_body();
        }
    }
}

impl RequestBody {
    pub(crate) fn new(
        body: Incoming,
        state: Rc<ConnectionState>,
        manager: OverloadManager,
        limits: ConnectionLimits,
    ) -> Self {
        Self { body, state, manager, limits }
    }

    /// Reads the body within the limits of the listener.
    pub async fn read(self) -> Result<Bytes, BodyError> {
        let limits = self.limits;
        self.read_within(limits.max_body_bytes, limits.body_timeout).await
    }

    /// Reads the body, up to `max_bytes`, within `timeout`. Its memory counts as held for clients until the last clone
    /// of the result is dropped.
    pub async fn read_within(mut self, max_bytes: usize, timeout: Duration) -> Result<Bytes, BodyError> {
        let (state, manager) = (self.state.clone(), self.manager.clone());
        let mut guard = UnreadGuard { state: &state, is_complete: self.body.is_end_stream() };
        state.enter(Phase::Body);
        let receiving = pin!(compio::time::timeout(timeout, self.receive(max_bytes)));
        let result = match future::select(receiving, pin!(state.closing())).await {
            Either::Left((result, _)) => result.unwrap_or(Err(BodyError::Timeout)),
            Either::Right(_) => Err(BodyError::NoMemory),
        };
        if result == Err(BodyError::NoMemory) {
            manager.record_refusal();
        }
        guard.is_complete = result.is_ok();
        drop(guard);
        state.enter(Phase::Handling);
        result
    }

    async fn receive(&mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let length = self.body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > max_bytes) {
            return Err(BodyError::TooLarge);
        }
        if self.body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let mut received = Vec::new();
        let mut reservation = self.manager.memory().begin();
        self.grow(&mut received, &mut reservation, length.unwrap_or(INITIAL_BYTES)).await?;
        while let Some(frame) = self.body.frame().await {
            let Ok(bytes) = frame.map_err(|_| BodyError::Lost)?.into_data() else {
                continue;
            };
            let needed = received.len() + bytes.len();
            if needed > max_bytes {
                return Err(BodyError::TooLarge);
            }
            if needed > received.capacity() {
                let capacity = (2 * received.capacity()).clamp(needed, max_bytes.max(needed));
                self.grow(&mut received, &mut reservation, capacity).await?;
            }
            // Copied, since hyper's chunks keep the whole buffers that they were cut from.
            received.extend_from_slice(&bytes);
            self.state.record_body(bytes.len());
        }
        Ok(reservation.attach(received))
    }

    /// Grows the buffer to `capacity` bytes, within the memory for clients.
    async fn grow(
        &self,
        received: &mut Vec<u8>,
        reservation: &mut Reservation,
        capacity: usize,
    ) -> Result<(), BodyError> {
        if !self.manager.reserve(reservation, capacity).await {
            return Err(BodyError::NoMemory);
        }
        self.state.set_held_bytes(capacity);
        received.reserve_exact(capacity - received.len());
        Ok(())
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.body.is_end_stream() && self.state.phase() != Phase::Idle {
            self.state.mark_unread_input();
        }
    }
}
