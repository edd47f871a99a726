//! The I/O of a connection, driven by a task of its own and, when a request is sent, by the sender.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// How the I/O of a connection ended.
type IoResult = Result<(), Rc<hyper::Error>>;

/// State of a driver.
struct Inner {
    /// The I/O of the connection; `None` once it has ended.
    io: Option<Pin<Box<dyn Future<Output = hyper::Result<()>>>>>,
    /// Set once the I/O has ended by itself.
    result: Option<IoResult>,
    /// Wakes the task that drives the I/O.
    task: Option<Waker>,
    /// Wakes the caller that waits for the end of the I/O.
    waiting: Option<Waker>,
}

/// Drives a connection's I/O. Clones share the connection.
#[derive(Clone)]
pub(crate) struct Driver {
    inner: Rc<RefCell<Inner>>,
}

impl Driver {
    pub fn new(io: impl Future<Output = hyper::Result<()>> + 'static) -> Self {
        let inner = Inner { io: Some(Box::pin(io)), result: None, task: None, waiting: None };
        Self { inner: Rc::new(RefCell::new(inner)) }
    }

    /// Drives the I/O until it ends.
    pub async fn run(self) {
        poll_fn(|context| {
            self.inner.borrow_mut().task = Some(context.waker().clone());
            self.poll(context)
        })
        .await;
    }

    /// Drives the I/O once, so that a request that was handed to the connection is written now rather than when the
    /// task has its turn.
    pub fn write_now(&self, context: &mut Context<'_>) {
        let _ = self.poll(context);
        // The I/O now wakes the sender; the task registers itself again.
        if let Some(task) = &self.inner.borrow().task {
            task.wake_by_ref();
        }
    }

    /// Waits until the task has driven the I/O to its end. Pending for ever after `close`.
    pub async fn ended(&self) -> IoResult {
        poll_fn(|context| {
            let mut inner = self.inner.borrow_mut();
            if let Some(result) = &inner.result {
                return Poll::Ready(result.clone());
            }
            inner.waiting = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Drops the I/O. The socket is closed once the event loop has cancelled its pending read.
    pub fn close(&self) {
        let io = self.inner.borrow_mut().io.take();
        drop(io);
    }

    fn poll(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.inner.borrow_mut();
        let Some(io) = inner.io.as_mut() else {
            return Poll::Ready(());
        };
        let Poll::Ready(result) = io.as_mut().poll(context) else {
            return Poll::Pending;
        };
        inner.io = None;
        inner.result = Some(result.map_err(Rc::new));
        if let Some(waiting) = inner.waiting.take() {
            waiting.wake();
        }
        Poll::Ready(())
    }
}
