//! A relay process and what its parts share.

use crate::admission::Admission;
use crate::commands::samples;
use crate::config::RelayConfig;
use crate::registry::Registry;
use crate::retry::RetryBudget;
use crate::view::View;
use saddlerelay_control_client::ControlClient;
use saddlerelay_control_client::suspicions::SuspicionKeeper;
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

/// Pause between looks at whether a stopping relay is done.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// How a relay is started.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// Its name, unique in the deployment.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// The control replicas.
    pub control: Vec<SocketAddr>,
    /// The deployment's shared secret.
    pub secret: String,
    /// Which engine gets a request.
    pub policy: PolicyName,
    /// Limits.
    pub config: RelayConfig,
}

/// What a relay has done, for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Requests taken.
    pub requests: u64,
    /// Whole answers given.
    pub answered: u64,
    /// Requests refused or failed.
    pub failed: u64,
    /// Attempts beyond a request's first.
    pub retries: u64,
    /// Samples finished.
    pub samples: u64,
    /// Tokens received from engines.
    pub tokens: u64,
    /// Engines found to have ended under a request or sample.
    pub engines_ended: u64,
    /// Requests and samples not sent on because engines have ended under their work.
    pub kept_from_engines: u64,
    /// Times the relay had to start anew under another incarnation.
    pub fenced: u64,
}

pub(crate) struct Inner<P: Runtime, B: Backends> {
    pub platform: P,
    pub backends: B,
    pub options: RelayOptions,
    pub control: ControlClient<P>,
    pub incarnation: Cell<Incarnation>,
    pub view: RefCell<View>,
    pub registry: Registry,
    pub admission: Admission,
    pub policy: Box<dyn Policy>,
    pub retries: RefCell<RetryBudget>,
    pub suspicions: Rc<SuspicionKeeper<P>>,
    pub stopping: Cell<bool>,
    pub samples_running: Cell<u32>,
    /// A question for samples is under way; its answer may bring some.
    pub asking_for_samples: Cell<bool>,
    pub counters: RefCell<RelayCounters>,
}

/// A relay. Clones are the same relay.
pub struct Relay<P: Runtime, B: Backends> {
    pub(crate) inner: Rc<Inner<P, B>>,
}

impl<P: Runtime, B: Backends> Clone for Relay<P, B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<P: Runtime, B: Backends> Relay<P, B> {
    /// Loads the stored configuration and starts the relay's tasks. It admits nothing before its first lease.
    pub async fn start(platform: P, backends: B, options: RelayOptions) -> io::Result<Self> {
        let control = ControlClient::new(platform.clone(), &options.control, &options.secret);
        let pause = options.config.last_trial_pause;
        let suspicions = SuspicionKeeper::start(platform.clone(), control.clone(), pause);
        let inner = Inner {
            control,
            suspicions,
            incarnation: Cell::new(Incarnation(platform.random())),
            view: RefCell::default(),
            registry: Registry::default(),
            admission: Admission::default(),
            policy: options.policy.build(),
            retries: RefCell::new(RetryBudget::new(platform.monotonic())),
            stopping: Cell::new(false),
            samples_running: Cell::new(0),
            asking_for_samples: Cell::new(false),
            counters: RefCell::default(),
            backends,
            options,
            platform: platform.clone(),
        };
        let relay = Self { inner: Rc::new(inner) };
        relay.load_configuration().await?;
        platform.spawn(relay.clone().keep_lease());
        platform.spawn(samples::run_samples(relay.clone()));
        Ok(relay)
    }

    /// A client of the control group.
    pub fn control(&self) -> &ControlClient<P> {
        &self.inner.control
    }

    /// What the relay has done.
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

    /// Whether the relay may act as `incarnation` now: it holds the lease and was not declared lost.
    pub(crate) fn may_act_as(&self, incarnation: Incarnation) -> bool {
        let now = self.inner.platform.monotonic();
        self.inner.incarnation.get() == incarnation && self.inner.view.borrow().is_leased(now)
    }

    /// Whether the relay takes new requests.
    pub fn is_ready(&self) -> bool {
        !self.inner.stopping.get() && self.may_act_as(self.inner.incarnation.get())
    }

    /// Continues under a new incarnation after `lost` was declared lost. Work begun under it goes nowhere.
    pub(crate) fn start_anew(&self, lost: Incarnation) {
        if self.inner.incarnation.get() != lost {
            return;
        }
        self.inner.incarnation.set(Incarnation(self.inner.platform.random()));
        self.inner.view.borrow_mut().end_lease();
        self.count(|counters| counters.fenced += 1);
    }

    /// A planned stop: takes nothing new and waits until everything in progress has ended, or the limit passes.
    /// Returns whether everything ended.
    pub async fn drain(&self) -> bool {
        self.inner.stopping.set(true);
        let deadline = self.inner.platform.monotonic() + self.inner.options.config.drain_limit;
        while self.inner.platform.monotonic() < deadline {
            if self.in_progress() == 0 && !self.inner.asking_for_samples.get() {
                return true;
            }
            self.inner.platform.sleep(DRAIN_INTERVAL).await;
        }
        false
    }

    /// Requests and samples in progress.
    pub fn in_progress(&self) -> usize {
        let callers = self.inner.admission.in_flight() + self.inner.admission.waiting();
        callers + self.inner.samples_running.get() as usize
    }
}
