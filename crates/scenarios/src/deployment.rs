//! Two full-size reference deployments, and smaller ones for demonstrations and tests.

use saddlerelay_types::configuration::{ParameterName, ParameterValue};
use saddlerelay_types::identity::{ModelName, TenantId};
use saddlerelay_types::request::Priority;
use std::collections::BTreeMap;
use std::time::Duration;

/// Engines that serve the same model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineGroup {
    /// The model.
    pub model: ModelName,
    /// Number of engines.
    pub count: u32,
    /// Concurrent sequences per engine.
    pub slots: u32,
    /// Base time per token.
    pub token_time: Duration,
}

/// The load of a tenant's trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct TrainerLoad {
    /// Prompts per step.
    pub prompts: u32,
    /// Samples per prompt.
    pub group_size: u32,
    /// Maximum number of tokens in a sample.
    pub max_tokens: u32,
    /// Time to train one step.
    pub train_time: Duration,
    /// Number of steps opened ahead of the one in training.
    pub steps_ahead: u64,
}

/// The load of one calling application.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLoad {
    /// The application's name.
    pub name: String,
    /// The priority class of its requests.
    pub class: Priority,
    /// Mean time between requests.
    pub interval: Duration,
    /// Maximum number of tokens in a response.
    pub max_tokens: u32,
    /// Deadline of a request, relative to its send.
    pub deadline: Duration,
    /// Percentage of the requests that must be executed at most once.
    pub not_repeatable_percent: u64,
    /// Number of distinct prompt prefixes.
    pub prefixes: u64,
}

/// A tenant with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantLoad {
    /// The tenant's id.
    pub id: TenantId,
    /// The model that serves it.
    pub model: ModelName,
    /// Maximum staleness of a sample, in weight versions.
    pub staleness_bound: u64,
    /// Weight of trainer idle time, 0 to 100.
    pub idle_weight: i64,
    /// Weight of staleness, 0 to 100.
    pub staleness_weight: i64,
    /// Its trainer, if it has one.
    pub trainer: Option<TrainerLoad>,
    /// Its callers.
    pub callers: Vec<CallerLoad>,
}

impl TenantLoad {
    /// The tenant's configuration parameters.
    pub fn values(&self) -> BTreeMap<ParameterName, ParameterValue> {
        BTreeMap::from([
            (ParameterName::Model, ParameterValue::Text(self.model.to_string())),
            (ParameterName::StalenessBound, ParameterValue::Integer(self.staleness_bound as i64)),
            (ParameterName::IdleWeight, ParameterValue::Integer(self.idle_weight)),
            (ParameterName::StalenessWeight, ParameterValue::Integer(self.staleness_weight)),
        ])
    }
}

/// The size, latencies and load of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// Names of its zones, over which the processes are spread.
    pub zones: Vec<String>,
    /// One-way latency between zones.
    pub zone_delay: Duration,
    /// One-way latency to callers and trainers.
    pub client_delay: Duration,
    /// Number of control replicas.
    pub control: u32,
    /// Number of relays.
    pub relays: u32,
    /// Groups of engines, each spread over the zones.
    pub engines: Vec<EngineGroup>,
    /// Its tenants, with their load.
    pub tenants: Vec<TenantLoad>,
    /// Time that the weight store takes for one fetch; fetches are serialized.
    pub fetch_time: Duration,
}

const ANDINO_MODEL: &str = "kinetia-llm";
const ANDINO_CLINIC_MODEL: &str = "planweb";
const FUND_MODEL: &str = "atelier-modele";
const FUND_PRICE_MODEL: &str = "guichet-prix";

fn engines(model: &str, count: u32, slots: u32) -> EngineGroup {
    EngineGroup { model: ModelName::new(model), count, slots, token_time: Duration::from_millis(4) }
}

/// The `andino` reference deployment.
pub fn andino() -> Deployment {
    let trainer = TrainerLoad {
        prompts: 8,
        group_size: 8,
        max_tokens: 320,
        train_time: Duration::from_millis(1200),
        steps_ahead: 1,
    };
    let therapists = CallerLoad {
        name: "therapists".to_string(),
        class: Priority::Interactive,
        interval: Duration::from_millis(60),
        max_tokens: 48,
        deadline: Duration::from_secs(10),
        not_repeatable_percent: 30,
        prefixes: 12,
    };
    let drafts = CallerLoad {
        name: "note-drafts".to_string(),
        interval: Duration::from_millis(200),
        max_tokens: 96,
        not_repeatable_percent: 0,
        ..therapists.clone()
    };
    Deployment {
        name: "andino".to_string(),
        zones: ["miraflores", "san-isidro", "surco"].map(String::from).to_vec(),
        zone_delay: Duration::from_micros(500),
        client_delay: Duration::from_millis(3),
        control: 5,
        relays: 3,
        engines: vec![engines(ANDINO_MODEL, 9, 8), engines(ANDINO_CLINIC_MODEL, 3, 8)],
        tenants: vec![
            TenantLoad {
                id: TenantId::new("plan-training"),
                model: ModelName::new(ANDINO_MODEL),
                staleness_bound: 2,
                idle_weight: 70,
                staleness_weight: 30,
                trainer: Some(trainer),
                callers: vec![drafts],
            },
            TenantLoad {
                id: TenantId::new("clinic"),
                model: ModelName::new(ANDINO_CLINIC_MODEL),
                staleness_bound: 0,
                idle_weight: 50,
                staleness_weight: 50,
                trainer: None,
                callers: vec![therapists],
            },
        ],
        fetch_time: Duration::from_millis(60),
    }
}

/// The `fund` reference deployment.
pub fn fund() -> Deployment {
    let trainer = TrainerLoad {
        prompts: 12,
        group_size: 6,
        max_tokens: 256,
        train_time: Duration::from_millis(1000),
        steps_ahead: 1,
    };
    let tellers = CallerLoad {
        name: "tellers".to_string(),
        class: Priority::Interactive,
        interval: Duration::from_millis(50),
        max_tokens: 24,
        deadline: Duration::from_secs(8),
        not_repeatable_percent: 60,
        prefixes: 6,
    };
    let members = CallerLoad {
        name: "members".to_string(),
        interval: Duration::from_millis(80),
        not_repeatable_percent: 0,
        ..tellers.clone()
    };
    let drafts = CallerLoad {
        name: "notice-drafts".to_string(),
        class: Priority::Batch,
        interval: Duration::from_millis(300),
        max_tokens: 96,
        not_repeatable_percent: 0,
        ..tellers.clone()
    };
    Deployment {
        name: "fund".to_string(),
        zones: ["plateau", "almadies", "rufisque"].map(String::from).to_vec(),
        zone_delay: Duration::from_millis(1),
        client_delay: Duration::from_millis(3),
        control: 5,
        relays: 3,
        engines: vec![engines(FUND_MODEL, 11, 8), engines(FUND_PRICE_MODEL, 3, 8)],
        tenants: vec![
            TenantLoad {
                id: TenantId::new("notice-training"),
                model: ModelName::new(FUND_MODEL),
                staleness_bound: 1,
                idle_weight: 30,
                staleness_weight: 70,
                trainer: Some(trainer),
                callers: vec![drafts],
            },
            TenantLoad {
                id: TenantId::new("prices"),
                model: ModelName::new(FUND_PRICE_MODEL),
                staleness_bound: 0,
                idle_weight: 50,
                staleness_weight: 50,
                trainer: None,
                callers: vec![tellers, members],
            },
        ],
        fetch_time: Duration::from_millis(60),
    }
}

/// `andino` with fewer engines and smaller steps, for demonstrations.
pub fn demo() -> Deployment {
    let mut deployment = andino();
    deployment.name = "demo".to_string();
    deployment.engines[0].count = 5;
    deployment.engines[1].count = 2;
    if let Some(trainer) = &mut deployment.tenants[0].trainer {
        trainer.prompts = 4;
        trainer.group_size = 4;
        trainer.max_tokens = 160;
        trainer.train_time = Duration::from_millis(800);
    }
    deployment
}

/// A minimal deployment for interface tests: one control replica, two relays, two engines of one model.
pub fn smallest() -> Deployment {
    let mut deployment = fund();
    deployment.name = "smallest".to_string();
    deployment.control = 1;
    deployment.relays = 2;
    deployment.engines = vec![engines(FUND_PRICE_MODEL, 2, 8)];
    deployment.tenants.retain(|tenant| tenant.trainer.is_none());
    deployment
}

/// Returns the deployment with this name.
pub fn by_name(name: &str) -> Option<Deployment> {
    match name {
        "andino" => Some(andino()),
        "fund" => Some(fund()),
        "demo" => Some(demo()),
        _ => None,
    }
}

/// Reduces engines, step sizes and request rates, for runs over many seeds.
pub fn compact(mut deployment: Deployment) -> Deployment {
    for (index, group) in deployment.engines.iter_mut().enumerate() {
        group.count = if index == 0 { 4 } else { 2 };
    }
    for tenant in &mut deployment.tenants {
        if let Some(trainer) = &mut tenant.trainer {
            trainer.prompts = 4;
            trainer.group_size = 4;
            trainer.max_tokens = 120;
        }
        for callers in &mut tenant.callers {
            callers.interval *= 4;
        }
    }
    deployment
}
