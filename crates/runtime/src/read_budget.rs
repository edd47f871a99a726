//! Cooperative reads: a task that reads from a peer gives the other tasks of its thread their turn.

use std::future::poll_fn;
use std::task::{Context, Poll};

/// Bytes that a task reads in one turn, about. A read that is ready at once does not suspend its task, so that a peer
/// that sends as fast as it is read would otherwise keep the thread.
const BYTES_PER_TURN: usize = 64 * 1024;

/// Reads of a task in one turn: also a read of a few bytes costs a system call.
const READS_PER_TURN: usize = 16;

/// What a task may still read from a peer before the other tasks of its thread have their turn.
#[derive(Debug)]
pub struct ReadBudget {
    bytes: usize,
    reads: usize,
}

impl Default for ReadBudget {
    fn default() -> Self {
        Self { bytes: BYTES_PER_TURN, reads: READS_PER_TURN }
    }
}

impl ReadBudget {
    /// Ready while the budget lasts. Once it is spent, the task is woken and suspended once, and the budget renewed.
    pub fn poll_proceed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.bytes > 0 && self.reads > 0 {
            return Poll::Ready(());
        }
        *self = Self::default();
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Lets the other tasks have their turn if the budget is spent.
    pub async fn proceed(&mut self) {
        poll_fn(|context| self.poll_proceed(context)).await;
    }

    /// Counts a read.
    pub fn record(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
        self.reads = self.reads.saturating_sub(1);
    }
}
