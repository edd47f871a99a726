//! The coordinator and the state shared by its tasks.

use crate::batch_order::BatchOrder;
use crate::config::CoordinatorConfig;
use crate::fleet::Fleet;
use crate::format::EngineFormat;
use crate::job_run::JobRun;
use crate::lost_connections::LocalTrialLeaseService;
use crate::metrics::CoordinatorMetrics;
use crate::model_assignments::ModelAssignments;
use crate::placement_log::PlacementLog;
use crate::scorers::Scorers;
use crate::waiting_items::WaitingItems;
use crate::waits::WaitLog;
use crate::working_set::WorkingSet;
use crate::working_set_policy::{DemandWithHeadroom, WorkingSetPolicy};
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::trials::TrialLeases;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::listening::TerminationChecks;
use saddlerelay_types::job::{ItemOutcome, JobId};
use saddlerelay_upstream::{HeaderNames, Pool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The control node of this process.
pub type LeaderNode<B> = ControlNode<CompioRuntime, B>;

pub(crate) struct Inner<B: Backends> {
    pub runtime: CompioRuntime,
    pub node: LeaderNode<B>,
    pub name: String,
    pub config: CoordinatorConfig,
    pub engine_format: Box<dyn EngineFormat>,
    pub pool: Pool,
    pub fleet: Fleet,
    pub scorers: Scorers,
    pub model_assignments: RefCell<ModelAssignments>,
    /// The engines that receive items and weight orders.
    pub working_set: RefCell<WorkingSet>,
    pub working_set_policy: Box<dyn WorkingSetPolicy>,
    /// Revision of the instance table at which state of removed engines was last pruned.
    pub pruned_revision: Cell<u64>,
    /// Items waiting for an engine, by model.
    pub waiting_items: RefCell<BTreeMap<String, WaitingItems>>,
    /// State of the order of waiting items in the current term.
    pub batch_order: RefCell<BatchOrder>,
    /// Rate-limited log of items that wait for an engine.
    pub wait_log: WaitLog,
    /// Rate-limited log of placements and of the capacity of engines.
    pub placement_log: PlacementLog,
    /// Checks whether an engine process has terminated.
    pub termination_checks: TerminationChecks,
    /// Trial leases for suspected work that this process holds.
    pub trials: Rc<TrialLeases<CompioRuntime, LocalTrialLeaseService<B>>>,
    pub metrics: CoordinatorMetrics,
    /// Whether retrials of quarantined work are being committed.
    pub are_retrials_pending: Cell<bool>,
    /// State of the open jobs in the current term.
    pub jobs: RefCell<BTreeMap<JobId, JobRun>>,
    /// Outcomes not committed yet, by job.
    pub outcomes: RefCell<BTreeMap<JobId, Vec<ItemOutcome>>>,
    /// Notified when an outcome is added to `outcomes`.
    pub outcomes_queued: Signal,
    /// Notified when an item ends or another change requires a new plan.
    pub replan: Signal,
    /// Term to which `jobs` and `fleet` belong.
    pub term: Cell<u64>,
}

/// Identity of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorIdentity {
    /// Name that orders state as their sender ([`WeightOrder::holder`](crate::format::WeightOrder::holder)).
    pub name: String,
    /// Zone of this process; engines in it are preferred for scoring, other criteria being equal.
    pub zone: String,
}

/// Handle to the coordinator; clones share its state.
pub struct Coordinator<B: Backends> {
    pub(crate) inner: Rc<Inner<B>>,
}

impl<B: Backends> Clone for Coordinator<B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<B: Backends> Coordinator<B> {
    /// Starts the coordinator's tasks, which act only while `node` leads its group.
    pub fn start(
        runtime: CompioRuntime,
        node: LeaderNode<B>,
        identity: CoordinatorIdentity,
        names: HeaderNames,
        engine_format: Box<dyn EngineFormat>,
        config: CoordinatorConfig,
    ) -> Self {
        let pool = Pool::new(Rc::new(names), config.connect_timeout);
        let trials = TrialLeases::start(runtime.clone(), LocalTrialLeaseService(node.clone()));
        let inner = Inner {
            runtime: runtime.clone(),
            node,
            trials,
            name: identity.name,
            config,
            engine_format,
            pool,
            fleet: Fleet::default(),
            scorers: Scorers::new(identity.zone),
            model_assignments: RefCell::default(),
            working_set: RefCell::default(),
            working_set_policy: Box::new(DemandWithHeadroom),
            pruned_revision: Cell::new(0),
            waiting_items: RefCell::default(),
            batch_order: RefCell::default(),
            wait_log: WaitLog::default(),
            placement_log: PlacementLog::default(),
            termination_checks: TerminationChecks::default(),
            metrics: CoordinatorMetrics::default(),
            are_retrials_pending: Cell::new(false),
            jobs: RefCell::default(),
            outcomes: RefCell::default(),
            outcomes_queued: Signal::default(),
            replan: Signal::default(),
            term: Cell::new(0),
        };
        let coordinator = Self { inner: Rc::new(inner) };
        runtime.spawn(crate::runner::run(coordinator.clone()));
        runtime.spawn(crate::listing::commit_results(coordinator.clone()));
        runtime.spawn(crate::listing::save_partial_texts(coordinator.clone()));
        runtime.spawn(crate::orders::issue_orders(coordinator.clone()));
        coordinator
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &CoordinatorMetrics {
        &self.inner.metrics
    }

    pub(crate) fn now(&self) -> Duration {
        self.inner.runtime.monotonic()
    }

    pub(crate) fn header_names(&self) -> &HeaderNames {
        self.inner.pool.names()
    }

    /// Whether this process currently leads in `term`, according to its local clock.
    pub(crate) fn leads(&self, term: u64) -> bool {
        self.inner.node.replica().leading_term() == Some(term)
    }
}
