//! Signals to the process, each handled from one moment on to the process's end.

use futures::FutureExt;
use std::future::Future;
use std::io;
use std::pin::Pin;

/// Settings have changed.
pub(crate) const SIGHUP: i32 = 1;

/// The planned stop.
pub(crate) const SIGTERM: i32 = 15;

/// A listener of the operating system's signals; it handles one signal, once.
type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Handles one kind of signal while it exists: none of them ends the process, and none that comes while nobody waits is
/// lost. The runtime's own listener handles a signal only until it has come: the next one of the kind would end the process,
/// in the middle of a drain for instance.
pub(crate) struct SignalListener {
    signal: i32,
    next: Listener,
}

impl SignalListener {
    /// Handles `signal` from now on.
    pub(crate) fn listen(signal: i32) -> io::Result<Self> {
        Ok(Self { signal, next: registered(signal)? })
    }

    /// Waits for the next signal.
    pub(crate) async fn received(&mut self) -> io::Result<()> {
        self.next.as_mut().await?;
        // The next listener is there before this one goes: there is always one that handles the signal.
        self.next = registered(self.signal)?;
        Ok(())
    }
}

/// A listener that handles the signal already: the runtime registers one when it is polled first.
fn registered(signal: i32) -> io::Result<Listener> {
    let mut listener: Listener = Box::pin(compio::signal::unix::signal(signal));
    match listener.as_mut().now_or_never() {
        None => Ok(listener),
        // It has come since.
        Some(Ok(())) => Ok(Box::pin(std::future::ready(Ok(())))),
        Some(Err(error)) => Err(error),
    }
}
