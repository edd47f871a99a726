//! A coordinator and what its parts share.

use crate::config::CoordinatorConfig;
use crate::dialect::EngineDialect;
use crate::fleet::Fleet;
use crate::homes::Homes;
use crate::job_run::JobRun;
use crate::lost_connections::LeaderGroup;
use crate::metrics::CoordinatorMetrics;
use crate::scorers::Scorers;
use crate::waits::WaitLines;
use crate::working_set::WorkingSet;
use crate::working_set_policy::{DemandWithReserve, WorkingSetPolicy};
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::trials::TrialKeeper;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime::backend::Backends;
use saddlerelay_runtime::signal::Signal;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_runtime_compio::listening::EndedChecks;
use saddlerelay_types::job::{ItemOutcome, JobId};
use saddlerelay_upstream::{HeaderNames, Pool};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The process's control node.
pub type LeaderNode<B> = ControlNode<CompioRuntime, B>;

pub(crate) struct Inner<B: Backends> {
    pub runtime: CompioRuntime,
    pub node: LeaderNode<B>,
    pub name: String,
    pub config: CoordinatorConfig,
    pub dialect: Box<dyn EngineDialect>,
    pub pool: Pool,
    pub fleet: Fleet,
    pub scorers: Scorers,
    pub homes: RefCell<Homes>,
    /// The engines that items go to and that are kept up to date.
    pub working_set: RefCell<WorkingSet>,
    pub working_set_policy: Box<dyn WorkingSetPolicy>,
    /// The revision of the instance table for which engines that are gone were last forgotten.
    pub forgotten_at: Cell<u64>,
    /// Items that wait for an engine, by model.
    pub waiting: RefCell<BTreeMap<String, u32>>,
    /// The version of each model that items wait for and no engine holds; see [`crate::plan::Plan`].
    pub awaited: RefCell<BTreeMap<String, u64>>,
    /// Bounds what is told of items that wait.
    pub wait_lines: WaitLines,
    pub ended_checks: EndedChecks,
    /// The rights to run suspected items that this process holds.
    pub trials: Rc<TrialKeeper<CompioRuntime, LeaderGroup<B>>>,
    pub metrics: CoordinatorMetrics,
    /// The jobs of this term.
    pub jobs: RefCell<BTreeMap<JobId, JobRun>>,
    /// Outcomes that wait to be committed.
    pub outcomes: RefCell<BTreeMap<JobId, Vec<ItemOutcome>>>,
    pub outcomes_waiting: Signal,
    /// An item has ended, or something else calls for a new plan.
    pub replan: Signal,
    /// The term that jobs and fleet belong to.
    pub term: Cell<u64>,
}

/// Who a coordinator is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorIdentity {
    /// The name that its orders carry.
    pub name: String,
    /// Where it stands; engines there are preferred where nothing else decides.
    pub zone: String,
}

/// The coordinator. Clones are the same one.
pub struct Coordinator<B: Backends> {
    pub(crate) inner: Rc<Inner<B>>,
}

impl<B: Backends> Clone for Coordinator<B> {
    fn clone(&self) -> Self {
        Self { inner: self.inner.clone() }
    }
}

impl<B: Backends> Coordinator<B> {
    /// Starts the tasks; they act while `node` leads its group.
    pub fn start(
        runtime: CompioRuntime,
        node: LeaderNode<B>,
        identity: CoordinatorIdentity,
        names: HeaderNames,
        dialect: Box<dyn EngineDialect>,
        config: CoordinatorConfig,
    ) -> Self {
        let pool = Pool::new(Rc::new(names), config.connect_limit);
        let trials = TrialKeeper::start(runtime.clone(), LeaderGroup(node.clone()));
        let inner = Inner {
            runtime: runtime.clone(),
            node,
            trials,
            name: identity.name,
            config,
            dialect,
            pool,
            fleet: Fleet::default(),
            scorers: Scorers::new(identity.zone),
            homes: RefCell::default(),
            working_set: RefCell::default(),
            working_set_policy: Box::new(DemandWithReserve),
            forgotten_at: Cell::new(0),
            waiting: RefCell::default(),
            awaited: RefCell::default(),
            wait_lines: WaitLines::default(),
            ended_checks: EndedChecks::default(),
            metrics: CoordinatorMetrics::default(),
            jobs: RefCell::default(),
            outcomes: RefCell::default(),
            outcomes_waiting: Signal::default(),
            replan: Signal::default(),
            term: Cell::new(0),
        };
        let coordinator = Self { inner: Rc::new(inner) };
        runtime.spawn(crate::runner::run(coordinator.clone()));
        runtime.spawn(crate::listing::list_results(coordinator.clone()));
        runtime.spawn(crate::listing::keep_texts(coordinator.clone()));
        runtime.spawn(crate::orders::give_orders(coordinator.clone()));
        coordinator
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &CoordinatorMetrics {
        &self.inner.metrics
    }

    pub(crate) fn now(&self) -> Duration {
        self.inner.runtime.monotonic()
    }

    pub(crate) fn names(&self) -> &HeaderNames {
        self.inner.pool.names()
    }

    /// Whether this process still leads `term`, by its clock at this moment.
    pub(crate) fn leads(&self, term: u64) -> bool {
        self.inner.node.replica().leading_term() == Some(term)
    }
}
