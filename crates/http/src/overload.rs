//! What all listeners of a process share: the memory held for clients, and the table of their connections.

use crate::connection_state::{CloseReason, ConnectionState, Phase};
use crate::eviction::{self, Candidate};
use crate::limits::{ConnectionLimits, CurrentLimits, ListenerLimits};
use crate::memory::{MemoryBudget, Reservation};
use crate::metrics::{ClientMetrics, Load};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Memory that clients may make a process hold where the settings name no other, in bytes.
pub const DEFAULT_CLIENT_MEMORY_BYTES: usize = 24 * 1024 * 1024;

/// Interval at which timeouts of connections are checked while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a reservation waits for a connection that gives way to release its memory.
const RELEASE_WAIT: Duration = Duration::from_millis(100);

/// Interval at which a waiting reservation tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Interval at which a patient reservation tries again.
const PATIENT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

struct Inner {
    memory: MemoryBudget,
    limits: RefCell<BTreeMap<u64, CurrentLimits>>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_id: Cell<u64>,
    is_checking: Cell<bool>,
    metrics: ClientMetrics,
}

/// Decides which connections and requests are admitted. Clones share their state.
#[derive(Clone)]
pub struct OverloadManager {
    inner: Rc<Inner>,
}

impl Default for OverloadManager {
    fn default() -> Self {
        Self::new(DEFAULT_CLIENT_MEMORY_BYTES)
    }
}

impl OverloadManager {
    /// A manager that lets clients hold `memory_bytes`.
    pub fn new(memory_bytes: usize) -> Self {
        let inner = Inner {
            memory: MemoryBudget::new(memory_bytes),
            limits: RefCell::default(),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            is_checking: Cell::new(false),
            metrics: ClientMetrics::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// The memory budget.
    pub fn memory(&self) -> &MemoryBudget {
        &self.inner.memory
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode_metrics(&self) -> String {
        self.inner.metrics.encode(&self.load())
    }

    fn load(&self) -> Load {
        let mut connections = BTreeMap::new();
        for state in self.inner.connections.borrow().values() {
            *connections.entry(state.phase()).or_default() += 1;
        }
        Load { connections, memory: self.inner.memory.used() }
    }

    fn next_id(&self) -> u64 {
        self.inner.next_id.replace(self.inner.next_id.get() + 1)
    }

    /// Adds a listener and returns its identifier.
    pub(crate) fn add_listener(&self, limits: &ListenerLimits) -> u64 {
        let listener = self.next_id();
        self.inner.limits.borrow_mut().insert(listener, limits.connection.clone());
        listener
    }

    /// Adds a connection to the table.
    pub(crate) fn open(&self, listener: u64) -> OpenConnection {
        let id = self.next_id();
        let state = Rc::new(ConnectionState::new(listener));
        self.inner.connections.borrow_mut().insert(id, state.clone());
        if !self.inner.is_checking.replace(true) {
            compio::runtime::spawn(self.clone().check_timeouts()).detach();
        }
        OpenConnection { manager: self.clone(), id, state }
    }

    /// Ends a connection of `listener` if it has `max_connections`. Returns whether there is room for one more.
    pub(crate) fn make_room(&self, listener: u64, max_connections: usize) -> bool {
        let is_counted = |state: &ConnectionState| state.listener == listener && state.can_close();
        if self.inner.connections.borrow().values().filter(|state| is_counted(state)).count() < max_connections {
            return true;
        }
        let states = self.states(is_counted);
        let victim = eviction::for_connection(&candidates(&states));
        if let Some(index) = victim {
            self.close(&states[index], CloseReason::ConnectionLimit);
        }
        victim.is_some()
    }

    /// Ends the connection that others need least, because no descriptor is left.
    pub(crate) fn release_descriptor(&self) {
        self.inner.metrics.record_accept_failure(&self.load());
        let states = self.states(|state| state.can_close());
        if let Some(index) = eviction::for_connection(&candidates(&states)) {
            self.close(&states[index], CloseReason::ConnectionLimit);
        }
    }

    /// Counts a request or a response for which there is no memory.
    pub(crate) fn record_refusal(&self) {
        self.inner.metrics.record_refusal(&self.load());
    }

    pub(crate) fn close(&self, state: &ConnectionState, reason: CloseReason) -> bool {
        let is_first = state.close(reason);
        if is_first {
            self.inner.metrics.record_close(reason, &self.load());
        }
        is_first
    }

    /// Changes a reservation to `bytes`. If the budget is used up, connections without progress give way; returns
    /// `false` at once if none can.
    pub async fn reserve(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let give_up_at = Instant::now() + RELEASE_WAIT;
        while !reservation.try_resize(bytes) {
            if Instant::now() >= give_up_at || !self.release_memory() {
                return reservation.try_resize(bytes);
            }
            compio::time::sleep(RETRY_INTERVAL).await;
        }
        true
    }

    /// As [`Self::reserve`], but waits for memory that others release or until some can give way. The caller bounds the
    /// wait.
    pub async fn reserve_patiently(&self, reservation: &mut Reservation, bytes: usize) {
        while !self.reserve(reservation, bytes).await {
            compio::time::sleep(PATIENT_RETRY_INTERVAL).await;
        }
    }

    /// Ends a connection without progress that holds memory; returns whether memory is being released.
    fn release_memory(&self) -> bool {
        let is_releasing = |state: &ConnectionState| state.close_reason().is_some() && state.held_bytes() > 0;
        if !self.states(is_releasing).is_empty() {
            return true;
        }
        let states = self.states(|state| state.close_reason().is_none());
        let victim = eviction::for_memory(&candidates(&states)).map(|index| states[index].clone());
        victim.is_some_and(|victim| self.close(&victim, CloseReason::MemoryLimit))
    }

    fn states(&self, matches: impl Fn(&ConnectionState) -> bool) -> Vec<Rc<ConnectionState>> {
        self.inner.connections.borrow().values().filter(|state| matches(state)).cloned().collect()
    }

    /// Ends connections whose time is over, until there are none.
    async fn check_timeouts(self) {
        let mut was_skipped = false;
        loop {
            let slept_at = Instant::now();
            compio::time::sleep(CHECK_INTERVAL).await;
            if self.inner.connections.borrow().is_empty() {
                self.inner.is_checking.set(false);
                return;
            }
            // A process that was paused has not read yet what has arrived meanwhile; one that is always late has.
            was_skipped = !was_skipped && slept_at.elapsed() >= 2 * CHECK_INTERVAL;
            if !was_skipped {
                self.close_expired();
            }
        }
    }

    fn close_expired(&self) {
        let limits = self.inner.limits.borrow();
        let limits: BTreeMap<u64, ConnectionLimits> = limits.iter().map(|(id, current)| (*id, current())).collect();
        for state in self.states(|state| state.close_reason().is_none()) {
            let expired = limits.get(&state.listener).and_then(|limits| expired(&state, limits));
            if let Some(reason) = expired {
                self.close(&state, reason);
            }
        }
    }
}

/// Why the time of a connection is over, if it is.
fn expired(state: &ConnectionState, limits: &ConnectionLimits) -> Option<CloseReason> {
    let age = state.since().elapsed();
    match state.phase() {
        _ if state.is_write_blocked() => {
            (state.progress_at().elapsed() >= limits.idle_timeout).then_some(CloseReason::UnreadResponse)
        }
        Phase::Idle => (age >= limits.idle_timeout).then_some(CloseReason::IdleTimeout),
        Phase::Head => (age >= limits.head_timeout).then_some(CloseReason::HeadTimeout),
        Phase::Body | Phase::Handling | Phase::Response | Phase::Discarding => None,
    }
}

fn candidates(states: &[Rc<ConnectionState>]) -> Vec<Candidate> {
    let candidate = |state: &Rc<ConnectionState>| {
        let is_write_blocked = state.is_write_blocked();
        Candidate {
            // The end of a response may still be on its way after its last byte was handed to the connection.
            phase: if is_write_blocked { Phase::Response } else { state.phase() },
            age: state.since().elapsed(),
            stalled: state.progress_at().elapsed(),
            is_write_blocked,
            held_bytes: state.held_bytes(),
        }
    };
    states.iter().map(candidate).collect()
}

/// A connection in the table; removed when dropped.
pub(crate) struct OpenConnection {
    manager: OverloadManager,
    id: u64,
    pub state: Rc<ConnectionState>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.manager.inner.connections.borrow_mut().remove(&self.id);
    }
}
