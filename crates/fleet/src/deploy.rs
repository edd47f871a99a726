//! The processes of a deployment: addresses, settings files and command lines.

use crate::ports::PortBlock;
use crate::process::{ChildSpec, Program};
use anyhow::Result;
use saddlerelay_scenarios::deployment::{CallerLoad, Deployment, TenantLoad, TrainerLoad};
use saddlerelay_types::engine::EngineDescription;
use saddlerelay_types::identity::{EngineId, Zone};
use saddlerelay_types::request::Priority;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long the platform's list lags.
pub const PLATFORM_LAG: Duration = Duration::from_millis(800);
/// How long a score takes.
const SCORE_TIME: Duration = Duration::from_millis(15);
/// Secret of the fleet's own processes.
pub const SHARED_SECRET: &str = "fleet-shared-secret-0123456789";
/// Token of the fleet's operators.
pub const OPERATOR_TOKEN: &str = "fleet-operator-token-0123456789";

/// Everything that is started.
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// The fleet's executable.
    pub executable: PathBuf,
    /// The folder of the run.
    pub folder: PathBuf,
    /// The weight store's address.
    pub store: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The scorer's address.
    pub scorer: SocketAddr,
    /// Engines as the platform lists them.
    pub engines: Vec<EngineDescription>,
    /// Control replicas towards saddlerelay's own processes.
    pub control_peers: Vec<SocketAddr>,
    /// Control replicas towards operators.
    pub control_http: Vec<SocketAddr>,
    /// Relays towards callers.
    pub relays: Vec<SocketAddr>,
    /// More settings for relays, as lines of their `[relay]` section.
    pub relay_settings: String,
    /// Whether all engines are hollow and share one process.
    pub hollow_engines: bool,
    _ports: PortBlock,
}

impl Plan {
    /// Finds addresses for `deployment` and writes settings files into `folder`.
    pub fn new(deployment: Deployment, executable: &Path, folder: &Path, relay_settings: &str) -> Result<Self> {
        let engine_count: u32 = deployment.engines.iter().map(|group| group.count).sum();
        let (control, relays) = (deployment.control as usize, deployment.relays as usize);
        let ports = PortBlock::take(3 + engine_count as usize + 2 * control + relays)?;
        let mut addresses = ports.addresses.clone().into_iter();
        let mut take = |count: usize| addresses.by_ref().take(count).collect::<Vec<_>>();
        let services = take(3);
        let engine_addresses = take(engine_count as usize);
        let plan = Self {
            store: services[0],
            platform: services[1],
            scorer: services[2],
            engines: describe_engines(&deployment, &engine_addresses),
            control_peers: take(control),
            control_http: take(control),
            relays: take(relays),
            executable: executable.to_path_buf(),
            folder: folder.to_path_buf(),
            relay_settings: relay_settings.to_string(),
            hollow_engines: false,
            _ports: ports,
            deployment,
        };
        std::fs::create_dir_all(folder)?;
        for place in 0..control {
            std::fs::write(plan.settings_file("control", place), plan.control_settings(place))?;
        }
        for place in 0..relays {
            std::fs::write(plan.settings_file("relay", place), plan.relay_settings(place))?;
        }
        Ok(plan)
    }

    fn settings_file(&self, role: &str, place: usize) -> PathBuf {
        self.folder.join(format!("{role}-{place}.toml"))
    }

    /// A process's data folder.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    /// Where a stand-in's records go.
    pub fn records_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.records"))
    }

    fn zone(&self, place: usize) -> &str {
        &self.deployment.zones[place % self.deployment.zones.len()]
    }

    fn common_settings(&self, role: &str, place: usize, http_address: SocketAddr) -> String {
        let name = format!("{role}-{place}");
        let control: Vec<String> = self.control_peers.iter().map(|address| format!("\"{address}\"")).collect();
        format!(
            "role = \"{role}\"\nname = \"{name}\"\nzone = \"{}\"\ndata_folder = \"{}\"\nhttp_address = \"{http_address}\"\n\
             control = [{}]\nshared_secret = \"{SHARED_SECRET}\"\nscorer = \"{}\"\nplatform = \"{}\"\n",
            self.zone(place),
            self.data_folder(&name).display(),
            control.join(", "),
            self.scorer,
            self.platform,
        )
    }

    fn control_settings(&self, place: usize) -> String {
        let common = self.common_settings("control", place, self.control_http[place]);
        let peer = self.control_peers[place];
        format!("{common}\n[control_process]\npeer_address = \"{peer}\"\noperator_token = \"{OPERATOR_TOKEN}\"\n")
    }

    fn relay_settings(&self, place: usize) -> String {
        let common = self.common_settings("relay", place, self.relays[place]);
        format!("{common}\n[relay]\n{}\n", self.relay_settings)
    }

    fn spec(&self, name: &str, program: Program, arguments: Vec<String>) -> ChildSpec {
        let output = self.folder.join(format!("{name}.output"));
        ChildSpec { name: name.to_string(), executable: self.executable.clone(), program, arguments, output }
    }

    fn product(&self, role: &str, place: usize) -> ChildSpec {
        let file = self.settings_file(role, place).display().to_string();
        let arguments = vec!["serve".to_string(), "--config".to_string(), file];
        self.spec(&format!("{role}-{place}"), Program::Product, arguments)
    }

    /// A control process.
    pub fn control(&self, place: usize) -> ChildSpec {
        self.product("control", place)
    }

    /// A relay.
    pub fn relay(&self, place: usize) -> ChildSpec {
        self.product("relay", place)
    }

    fn stand_in(&self, name: &str, command: &str, flags: &[(&str, String)]) -> ChildSpec {
        let flags = flags.iter().flat_map(|(flag, value)| [format!("--{flag}"), value.clone()]);
        let arguments = std::iter::once(command.to_string()).chain(flags).collect();
        self.spec(name, Program::StandIn, arguments)
    }

    /// The weight store, the platform and the scorer.
    pub fn services(&self) -> Vec<ChildSpec> {
        let milliseconds = |duration: Duration| duration.as_millis().to_string();
        vec![
            self.stand_in(
                "weight-store",
                "weight-store",
                &[("listen", self.store.to_string()), ("fetch-time-ms", milliseconds(self.deployment.fetch_time))],
            ),
            self.stand_in(
                "platform",
                "platform",
                &[("listen", self.platform.to_string()), ("lag-ms", milliseconds(PLATFORM_LAG))],
            ),
            self.stand_in(
                "scorer",
                "scorer",
                &[("listen", self.scorer.to_string()), ("time-ms", milliseconds(SCORE_TIME))],
            ),
        ]
    }

    /// An engine.
    pub fn engine(&self, place: usize) -> ChildSpec {
        let engine = &self.engines[place];
        let group = self.deployment.engines.iter().find(|group| group.model == engine.model);
        let token_time = group.map_or(Duration::ZERO, |group| group.token_time);
        let name = engine.id.to_string();
        let records = self.records_file(&name).display().to_string();
        self.stand_in(
            &name,
            "engine",
            &[
                ("id", name.clone()),
                ("listen", engine.address.to_string()),
                ("zone", engine.zone.to_string()),
                ("model", engine.model.to_string()),
                ("slots", engine.slots.to_string()),
                ("token-time-us", token_time.as_micros().to_string()),
                ("store", self.store.to_string()),
                ("records", records),
            ],
        )
    }

    fn relay_list(&self) -> String {
        let addresses: Vec<String> = self.relays.iter().map(SocketAddr::to_string).collect();
        addresses.join(",")
    }

    /// A tenant's trainer.
    pub fn trainer(&self, tenant: &TenantLoad, load: &TrainerLoad) -> Result<ChildSpec> {
        let name = format!("trainer-{}", tenant.id);
        let data = self.data_folder(&name);
        std::fs::create_dir_all(&data)?;
        Ok(self.stand_in(
            &name,
            "trainer",
            &[
                ("tenant", tenant.id.to_string()),
                ("model", tenant.model.to_string()),
                ("relays", self.relay_list()),
                ("store", self.store.to_string()),
                ("data", data.display().to_string()),
                ("records", self.records_file(&name).display().to_string()),
                ("prompts", load.prompts.to_string()),
                ("group-size", load.group_size.to_string()),
                ("max-tokens", load.max_tokens.to_string()),
                ("train-time-ms", load.train_time.as_millis().to_string()),
                ("steps-ahead", load.steps_ahead.to_string()),
            ],
        ))
    }

    /// A tenant's callers.
    pub fn callers(&self, tenant: &TenantLoad, load: &CallerLoad) -> ChildSpec {
        let name = format!("callers-{}", load.name);
        let class = if load.class == Priority::Batch { "batch" } else { "interactive" };
        self.stand_in(
            &name,
            "callers",
            &[
                ("tenant", tenant.id.to_string()),
                ("name", load.name.clone()),
                ("model", tenant.model.to_string()),
                ("class", class.to_string()),
                ("relays", self.relay_list()),
                ("records", self.records_file(&name).display().to_string()),
                ("interval-ms", load.interval.as_millis().to_string()),
                ("max-tokens", load.max_tokens.to_string()),
                ("deadline-ms", load.deadline.as_millis().to_string()),
                ("once-percent", load.not_repeatable_percent.to_string()),
                ("prefixes", load.prefixes.to_string()),
            ],
        )
    }
}

fn describe_engines(deployment: &Deployment, addresses: &[SocketAddr]) -> Vec<EngineDescription> {
    let mut engines = Vec::new();
    for group in &deployment.engines {
        for place in 0..group.count as usize {
            engines.push(EngineDescription {
                id: EngineId(format!("engine-{}-{place}", group.model)),
                address: addresses[engines.len()],
                zone: Zone::new(&deployment.zones[place % deployment.zones.len()]),
                model: group.model.clone(),
                slots: group.slots,
            });
        }
    }
    engines
}
