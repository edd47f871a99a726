//! Admission control: a concurrency limit and a bounded priority queue for each tenant.

use futures::channel::oneshot;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::timeout::timeout;
use saddlerelay_types::identity::TenantId;
use saddlerelay_types::request::Priority;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Service time assumed until the first request has ended.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(500);

/// Weight of the newest request in the moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Why a request was not admitted. It was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// The queue is full, or the expected wait exceeds the deadline. Carries the expected wait as retry delay.
    Overloaded(Duration),
    /// The deadline passed while the request was queued.
    DeadlineExceeded,
}

/// Admission limits of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of concurrent requests.
    pub max_in_flight: usize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
}

#[derive(Default)]
struct TenantQueue {
    in_flight: usize,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<()>>,
    last_sequence: u64,
    mean_service_time: Option<Duration>,
}

impl TenantQueue {
    fn expected_wait(&self, limits: AdmissionLimits) -> Duration {
        let service_time = self.mean_service_time.unwrap_or(FIRST_SERVICE_TIME);
        let queue_position = self.waiting.len() as u32 + 1;
        service_time * queue_position / limits.max_in_flight.max(1) as u32
    }

    fn record_service_time(&mut self, service_time: Duration) {
        let mean = self.mean_service_time.unwrap_or(service_time);
        self.mean_service_time =
            Some(mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + service_time.mul_f64(SERVICE_TIME_WEIGHT));
    }

    /// Admits waiters in order of priority while there is capacity; skips cancelled ones.
    fn admit_waiters(&mut self, limits: AdmissionLimits) {
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

/// The admission queues of all tenants. Clones share state.
#[derive(Clone, Default)]
pub struct Admission {
    queues: Rc<RefCell<BTreeMap<TenantId, TenantQueue>>>,
}

/// An admitted request; releases its capacity on drop.
pub struct Permit<P: Runtime> {
    admission: Admission,
    runtime: P,
    tenant: TenantId,
    limits: AdmissionLimits,
    admitted_at: Duration,
}

impl Admission {
    /// Waits up to `deadline` for admission. Fails immediately if the queue is full or the expected wait exceeds
    /// `deadline`.
    pub async fn admit<P: Runtime>(
        &self,
        runtime: &P,
        tenant: &TenantId,
        limits: AdmissionLimits,
        priority: Priority,
        deadline: Duration,
    ) -> Result<Permit<P>, AdmissionError> {
        if let Some(waiter) = self.admit_or_enqueue(tenant, limits, priority, deadline)? {
            match timeout(runtime, deadline, waiter).await {
                Some(Ok(())) => {}
                _ => return Err(AdmissionError::DeadlineExceeded),
            }
        }
        let admitted_at = runtime.monotonic();
        Ok(Permit { admission: self.clone(), runtime: runtime.clone(), tenant: tenant.clone(), limits, admitted_at })
    }

    /// Admits a request immediately (`None`), or queues it and returns a receiver for its admission.
    fn admit_or_enqueue(
        &self,
        tenant: &TenantId,
        limits: AdmissionLimits,
        priority: Priority,
        deadline: Duration,
    ) -> Result<Option<oneshot::Receiver<()>>, AdmissionError> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(tenant.clone()).or_default();
        if queue.in_flight < limits.max_in_flight && queue.waiting.is_empty() {
            queue.in_flight += 1;
            return Ok(None);
        }
        queue.waiting.retain(|_, waiter| !waiter.is_canceled());
        let wait = queue.expected_wait(limits);
        if queue.waiting.len() >= limits.max_queued || wait > deadline {
            return Err(AdmissionError::Overloaded(wait));
        }
        let (waiter, admitted) = oneshot::channel();
        queue.last_sequence += 1;
        queue.waiting.insert((priority, queue.last_sequence), waiter);
        Ok(Some(admitted))
    }

    /// Number of admitted requests of all tenants.
    pub fn in_flight(&self) -> usize {
        self.queues.borrow().values().map(|queue| queue.in_flight).sum()
    }

    /// Number of queued requests of all tenants.
    pub fn waiting(&self) -> usize {
        self.queues.borrow().values().map(|queue| queue.waiting.len()).sum()
    }
}

impl<P: Runtime> Drop for Permit<P> {
    fn drop(&mut self) {
        let mut queues = self.admission.queues.borrow_mut();
        let Some(queue) = queues.get_mut(&self.tenant) else {
            return;
        };
        queue.in_flight -= 1;
        queue.record_service_time(self.runtime.monotonic().saturating_sub(self.admitted_at));
        queue.admit_waiters(self.limits);
    }
}
