//! The relay's entry points and shared state.

use crate::admission::Admission;
use crate::commands::samples;
use crate::config::RelayConfig;
use crate::registry::Registry;
use crate::retry::RetryBudget;
use crate::scorer_health::ScorerHealth;
use crate::view::View;
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::suspicions::SuspicionSync;
use saddlerelay_policies::{Policy, PolicyName};
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_types::identity::{Incarnation, Zone};
use saddlerelay_types::membership::RelayDescription;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a drain checks whether all work has ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Start-up options.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The relay's name, unique in the deployment.
    pub name: String,
    /// The relay's zone.
    pub zone: Zone,
    /// The address that it serves callers on.
    pub address: SocketAddr,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// The deployment's shared secret.
    pub secret: String,
    /// The policy that picks engines.
    pub policy: PolicyName,
    /// Limits and timeouts.
    pub config: RelayConfig,
}

/// Event counters since the relay started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Requests received.
    pub requests: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests rejected or failed.
    pub failed: u64,
    /// Retries of requests and samples.
    pub retries: u64,
    /// Samples completed.
    pub samples: u64,
    /// Tokens received from engines.
    pub tokens: u64,
    /// Engines that terminated during a request or sample.
    pub engines_terminated: u64,
    /// Requests and samples rejected because their work is suspected of crashing engines.
    pub suspected_work_rejected: u64,
    /// Times that the relay was fenced and continued under a new incarnation.
    pub fenced: u64,
}

pub(crate) struct Inner<P: Runtime, B: Backends> {
    pub runtime: P,
    pub backends: B,
    pub options: RelayOptions,
    pub control: ControlClient<P>,
    pub incarnation: Cell<Incarnation>,
    pub view: RefCell<View>,
    pub registry: Registry,
    pub admission: Admission,
    pub policy: Box<dyn Policy>,
    pub retries: RefCell<RetryBudget>,
    pub suspicions: Rc<SuspicionSync<P>>,
    pub draining: Cell<bool>,
    pub samples_running: Cell<u32>,
    pub scorer: ScorerHealth,
    /// An assignment request is in flight, which may return samples.
    pub assignment_in_flight: Cell<bool>,
    pub counters: RefCell<RelayCounters>,
}

/// A relay. Clones share state.
pub struct Relay<P: Runtime, B: Backends> {
    pub(crate) inner: Rc<Inner<P, B>>,
}

impl<P: Runtime, B: Backends> Clone for Relay<P, B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Loads the stored configuration and spawns the relay's tasks. Requests are rejected until the first lease.
    pub async fn start(runtime: P, backends: B, options: RelayOptions) -> io::Result<Self> {
        let control = ControlClient::new(runtime.clone(), &options.control, &options.secret);
        let pause = options.config.last_trial_pause;
        let suspicions = SuspicionSync::start(runtime.clone(), control.clone(), pause);
        let inner = Inner {
            control,
            suspicions,
            incarnation: Cell::new(Incarnation(runtime.random())),
            view: RefCell::default(),
            registry: Registry::default(),
            admission: Admission::default(),
            policy: options.policy.build(),
            retries: RefCell::new(RetryBudget::new(runtime.monotonic())),
            draining: Cell::new(false),
            samples_running: Cell::new(0),
            scorer: ScorerHealth::default(),
            assignment_in_flight: Cell::new(false),
            counters: RefCell::default(),
            backends,
            options,
            runtime: runtime.clone(),
        };
        let relay = Self { inner: Rc::new(inner) };
        relay.load_configuration().await?;
        runtime.spawn(relay.clone().run_lease_renewal());
        runtime.spawn(samples::run_samples(relay.clone()));
        Ok(relay)
    }

    /// The client for requests to the control group.
    pub fn control(&self) -> &ControlClient<P> {
        &self.inner.control
    }

    /// A snapshot of the counters.
    pub fn counters(&self) -> RelayCounters {
        self.inner.counters.borrow().clone()
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut RelayCounters)) {
        change(&mut self.inner.counters.borrow_mut());
    }

    pub(crate) fn description(&self) -> RelayDescription {
        RelayDescription {
            name: self.inner.options.name.clone(),
            incarnation: self.inner.incarnation.get(),
            zone: self.inner.options.zone.clone(),
            address: self.inner.options.address,
        }
    }

    /// Whether `incarnation` is current and its lease is valid.
    pub(crate) fn is_leased_as(&self, incarnation: Incarnation) -> bool {
        let now = self.inner.runtime.monotonic();
        self.inner.incarnation.get() == incarnation && self.inner.view.borrow().is_leased(now)
    }

    /// Whether the relay accepts new requests.
    pub fn is_ready(&self) -> bool {
        !self.inner.draining.get() && self.is_leased_as(self.inner.incarnation.get())
    }

    /// Starts a new incarnation after `fenced` was fenced. Work of the old incarnation is not sent to engines any more.
    pub(crate) fn start_new_incarnation(&self, fenced: Incarnation) {
        if self.inner.incarnation.get() != fenced {
            return;
        }
        self.inner.incarnation.set(Incarnation(self.inner.runtime.random()));
        self.inner.view.borrow_mut().end_lease();
        self.count(|counters| counters.fenced += 1);
    }

    /// Drains the relay: rejects new requests and waits, up to `drain_timeout`, for requests and samples in progress.
    /// Returns whether all of them ended in time.
    pub async fn drain(&self) -> bool {
        self.inner.draining.set(true);
        let deadline = self.inner.runtime.monotonic() + self.inner.options.config.drain_timeout;
        while self.inner.runtime.monotonic() < deadline {
            if self.in_progress() == 0 && !self.inner.assignment_in_flight.get() {
                return true;
            }
            self.inner.runtime.sleep(DRAIN_INTERVAL).await;
        }
        false
    }

    /// Number of requests and samples in progress, including queued requests.
    pub fn in_progress(&self) -> usize {
        let callers = self.inner.admission.in_flight() + self.inner.admission.waiting();
        callers + self.inner.samples_running.get() as usize
    }
}
