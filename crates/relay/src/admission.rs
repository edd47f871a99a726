//! Admission: a limit on requests at once and a bounded queue for each tenant, most urgent first.

use futures::channel::oneshot;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::request::Priority;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Assumed time of a request before any has ended.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(500);

/// Weight of the newest request in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Why a request was not admitted. Nothing of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The queue is full, or the wait would outlast the deadline; come back after this time.
    Overloaded(Duration),
    /// The deadline passed in the queue.
    DeadlineExceeded,
}

/// A tenant's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Most requests at once.
    pub max_in_flight: usize,
    /// Most requests waiting.
    pub max_queued: usize,
}

#[derive(Default)]
struct Gate {
    in_flight: usize,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<()>>,
    next_ticket: u64,
    mean_service: Option<Duration>,
}

impl Gate {
    fn expected_wait(&self, limits: AdmissionLimits) -> Duration {
        let service = self.mean_service.unwrap_or(FIRST_SERVICE_TIME);
        let ahead = self.waiting.len() as u32 + 1;
        service * ahead / limits.max_in_flight.max(1) as u32
    }

    fn record_service(&mut self, service: Duration) {
        let mean = self.mean_service.unwrap_or(service);
        self.mean_service = Some(mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + service.mul_f64(SERVICE_TIME_WEIGHT));
    }

    /// Passes a free place to the most urgent waiter that is still there.
    fn wake_next(&mut self, limits: AdmissionLimits) {
        while self.in_flight < limits.max_in_flight {
            let Some((_, waiter)) = self.waiting.pop_first() else {
                return;
            };
            if waiter.send(()).is_ok() {
                self.in_flight += 1;
            }
        }
    }
}

/// Every tenant's gate. Clones share the table.
#[derive(Clone, Default)]
pub struct Admission {
    gates: Rc<RefCell<BTreeMap<TenantId, Gate>>>,
}

/// A place among the running requests, given back when dropped.
pub struct Permit<P: Runtime> {
    admission: Admission,
    platform: P,
    tenant: TenantId,
    limits: AdmissionLimits,
    since: Duration,
}

impl Admission {
    /// Waits for a place, for at most `deadline`. Refuses at once what cannot be served in time.
    pub async fn admit<P: Runtime>(
        &self,
        platform: &P,
        tenant: &TenantId,
        limits: AdmissionLimits,
        priority: Priority,
        deadline: Duration,
    ) -> Result<Permit<P>, AdmissionRefusal> {
        if let Some(waiter) = self.enter(tenant, limits, priority, deadline)? {
            match timeout(platform, deadline, waiter).await {
                Some(Ok(())) => {}
                _ => return Err(AdmissionRefusal::DeadlineExceeded),
            }
        }
        let since = platform.monotonic();
        Ok(Permit { admission: self.clone(), platform: platform.clone(), tenant: tenant.clone(), limits, since })
    }

    /// Takes a place at once, or a ticket in the queue.
    fn enter(
        &self,
        tenant: &TenantId,
        limits: AdmissionLimits,
        priority: Priority,
        deadline: Duration,
    ) -> Result<Option<oneshot::Receiver<()>>, AdmissionRefusal> {
        let mut gates = self.gates.borrow_mut();
        let gate = gates.entry(tenant.clone()).or_default();
        if gate.in_flight < limits.max_in_flight && gate.waiting.is_empty() {
            gate.in_flight += 1;
            return Ok(None);
        }
        gate.waiting.retain(|_, waiter| !waiter.is_canceled());
        let wait = gate.expected_wait(limits);
        if gate.waiting.len() >= limits.max_queued || wait > deadline {
            return Err(AdmissionRefusal::Overloaded(wait));
        }
        let (waiter, ticket) = oneshot::channel();
        gate.next_ticket += 1;
        gate.waiting.insert((priority, gate.next_ticket), waiter);
        Ok(Some(ticket))
    }

    /// Requests running for all tenants.
    pub fn in_flight(&self) -> usize {
        self.gates.borrow().values().map(|gate| gate.in_flight).sum()
    }

    /// Requests waiting for all tenants.
    pub fn waiting(&self) -> usize {
        self.gates.borrow().values().map(|gate| gate.waiting.len()).sum()
    }
}

impl<P: Runtime> Drop for Permit<P> {
    fn drop(&mut self) {
        let mut gates = self.admission.gates.borrow_mut();
        let Some(gate) = gates.get_mut(&self.tenant) else {
            return;
        };
        gate.in_flight -= 1;
        gate.record_service(self.platform.monotonic().saturating_sub(self.since));
        gate.wake_next(self.limits);
    }
}
