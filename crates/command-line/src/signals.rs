//! Signal listeners that keep a signal that arrives while nobody waits for it.

use futures::FutureExt;
use std::future::Future;
use std::io;
use std::pin::Pin;

/// Reloads the settings.
pub(crate) const SIGHUP: i32 = 1;

/// Starts a graceful shutdown.
pub(crate) const SIGTERM: i32 = 15;

/// A one-shot listener of the runtime for a single signal.
type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Handles a signal while it exists: the signal does not kill the process, and one that arrives while nobody waits is kept.
/// The runtime's listener is one-shot; without a successor a second signal would kill the process, for example during a
/// drain.
pub(crate) struct SignalListener {
    signal: i32,
    next: Listener,
}

impl SignalListener {
    /// Starts to handle `signal`.
    pub(crate) fn listen(signal: i32) -> io::Result<Self> {
        Ok(Self { signal, next: registered(signal)? })
    }

    /// Waits for the next signal.
    pub(crate) async fn received(&mut self) -> io::Result<()> {
        self.next.as_mut().await?;
        // Registered before the old listener is dropped, so that the signal is handled without a gap.
        self.next = registered(self.signal)?;
        Ok(())
    }
}

/// Creates a listener and polls it once, because the runtime registers it on the first poll.
fn registered(signal: i32) -> io::Result<Listener> {
    let mut listener: Listener = Box::pin(compio::signal::unix::signal(signal));
    match listener.as_mut().now_or_never() {
        None => Ok(listener),
        // The signal arrived after the registration.
        Some(Ok(())) => Ok(Box::pin(std::future::ready(Ok(())))),
        Some(Err(error)) => Err(error),
    }
}
