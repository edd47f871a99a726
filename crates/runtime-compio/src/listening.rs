//! Detects whether a process still listens at its address.

use compio::net::TcpStream;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connect timeout of a check; longer than a round trip between regions.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a result is cached, so that an overloaded engine that resets many connections is not checked for each of
/// them.
const RESULT_TTL: Duration = Duration::from_millis(500);

/// Poll interval while another caller's check of the same address is in progress.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of cached results; the cache is cleared when it is full.
const MAX_CACHED_RESULTS: usize = 4_096;

/// Whether the process that listened at `address` has terminated, as indicated by a refused connection; `false` if the
/// machine is unreachable.
pub async fn has_terminated(address: SocketAddr) -> bool {
    match compio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Cache of checks, shared by concurrent callers.
#[derive(Default)]
pub struct TerminationChecks {
    checks: RefCell<BTreeMap<SocketAddr, Check>>,
}

/// A check of one address; `terminated` is `None` while it is in progress.
#[derive(Clone, Copy)]
struct Check {
    started_at: Instant,
    terminated: Option<bool>,
}

impl TerminationChecks {
    /// Whether the process that listened at `address` has terminated, from a result that may be up to `RESULT_TTL`
    /// old.
    pub async fn has_terminated(&self, address: SocketAddr) -> bool {
        loop {
            let cached = self.checks.borrow().get(&address).copied();
            match cached.filter(|check| check.started_at.elapsed() < RESULT_TTL) {
                Some(Check { terminated: Some(terminated), .. }) => return terminated,
                // The caller that started the check may have been dropped, so the wait for its result
                // is limited.
                Some(check) if check.started_at.elapsed() < CHECK_TIMEOUT + RESULT_POLL_INTERVAL => {
                    compio::time::sleep(RESULT_POLL_INTERVAL).await;
                }
                Some(_) | None => break,
            }
        }
        let started_at = Instant::now();
        self.store(address, Check { started_at, terminated: None });
        let terminated = has_terminated(address).await;
        self.store(address, Check { started_at, terminated: Some(terminated) });
        terminated
    }

    fn store(&self, address: SocketAddr, check: Check) {
        let mut checks = self.checks.borrow_mut();
        if checks.len() >= MAX_CACHED_RESULTS {
            checks.clear();
        }
        checks.insert(address, check);
    }
}
