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

/// Delay until the platform's machine list shows a change.
pub const PLATFORM_LAG: Duration = Duration::from_millis(800);
/// Time that the scorer takes for one score.
const SCORE_TIME: Duration = Duration::from_millis(15);
/// Shared secret of the service processes.
pub const SHARED_SECRET: &str = "fleet-shared-secret-0123456789";
/// Token for the administration API.
pub const OPERATOR_TOKEN: &str = "fleet-operator-token-0123456789";

/// Addresses, settings and command lines of all processes of a deployment.
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// The executable that the processes run.
    pub executable: PathBuf,
    /// Folder for the settings, data, records and output of the run.
    pub folder: PathBuf,
    /// The weight store's address.
    pub store: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The scorer's address.
    pub scorer: SocketAddr,
    /// Engine descriptions, in the order of the machine list.
    pub engines: Vec<EngineDescription>,
    /// Control replicas' addresses for peers and relays.
    pub control_peers: Vec<SocketAddr>,
    /// Control replicas' HTTP addresses.
    pub control_http: Vec<SocketAddr>,
    /// Relays' HTTP addresses.
    pub relays: Vec<SocketAddr>,
    /// Additional lines for the `[relay]` section of the settings.
    pub relay_settings: String,
    /// Whether one process runs all engines as hollow engines.
    pub hollow_engines: bool,
    _ports: PortBlock,
}

impl Plan {
    /// Allocates addresses for `deployment` and writes the settings files to `folder`.
    pub fn new(deployment: Deployment, executable: &Path, folder: &Path, relay_settings: &str) -> Result<Self> {
        let engine_count: u32 = deployment.engines.iter().map(|group| group.count).sum();
        let (control, relays) = (deployment.control as usize, deployment.relays as usize);
        let ports = PortBlock::allocate(3 + engine_count as usize + 2 * control + relays)?;
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
        for index in 0..control {
            std::fs::write(plan.settings_file("control", index), plan.control_settings(index))?;
        }
        for index in 0..relays {
            std::fs::write(plan.settings_file("relay", index), plan.relay_settings(index))?;
        }
        Ok(plan)
    }

    fn settings_file(&self, role: &str, index: usize) -> PathBuf {
        self.folder.join(format!("{role}-{index}.toml"))
    }

    /// A process's data folder.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    /// A stand-in's records file.
    pub fn records_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.records"))
    }

    fn zone(&self, index: usize) -> &str {
        &self.deployment.zones[index % self.deployment.zones.len()]
    }

    fn common_settings(&self, role: &str, index: usize, http_address: SocketAddr) -> String {
        let name = format!("{role}-{index}");
        let control: Vec<String> = self.control_peers.iter().map(|address| format!("\"{address}\"")).collect();
        format!(
            "role = \"{role}\"\nname = \"{name}\"\nzone = \"{}\"\ndata_folder = \"{}\"\nhttp_address = \"{http_address}\"\n\
             control = [{}]\nshared_secret = \"{SHARED_SECRET}\"\nscorer = \"{}\"\nplatform = \"{}\"\n",
            self.zone(index),
            self.data_folder(&name).display(),
            control.join(", "),
            self.scorer,
            self.platform,
        )
    }

    fn control_settings(&self, index: usize) -> String {
        let common = self.common_settings("control", index, self.control_http[index]);
        let peer = self.control_peers[index];
        format!("{common}\n[control_process]\npeer_address = \"{peer}\"\noperator_token = \"{OPERATOR_TOKEN}\"\n")
    }

    fn relay_settings(&self, index: usize) -> String {
        let common = self.common_settings("relay", index, self.relays[index]);
        format!("{common}\n[relay]\n{}\n", self.relay_settings)
    }

    fn spec(&self, name: &str, program: Program, arguments: Vec<String>) -> ChildSpec {
        let output = self.folder.join(format!("{name}.output"));
        ChildSpec { name: name.to_string(), executable: self.executable.clone(), program, arguments, output }
    }

    fn product(&self, role: &str, index: usize) -> ChildSpec {
        let file = self.settings_file(role, index).display().to_string();
        let arguments = vec!["serve".to_string(), "--config".to_string(), file];
        self.spec(&format!("{role}-{index}"), Program::Product, arguments)
    }

    /// The command line of a control replica.
    pub fn control(&self, index: usize) -> ChildSpec {
        self.product("control", index)
    }

    /// The command line of a relay.
    pub fn relay(&self, index: usize) -> ChildSpec {
        self.product("relay", index)
    }

    fn stand_in(&self, name: &str, command: &str, flags: &[(&str, String)]) -> ChildSpec {
        let flags = flags.iter().flat_map(|(flag, value)| [format!("--{flag}"), value.clone()]);
        let arguments = std::iter::once(command.to_string()).chain(flags).collect();
        self.spec(name, Program::StandIn, arguments)
    }

    /// The command lines of the weight store, the platform and the scorer.
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

    /// The command line of an engine.
    pub fn engine(&self, index: usize) -> ChildSpec {
        let engine = &self.engines[index];
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

    /// The command line of a tenant's trainer.
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

    /// The command line of one group of a tenant's callers.
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
        for index in 0..group.count as usize {
            engines.push(EngineDescription {
                id: EngineId(format!("engine-{}-{index}", group.model)),
                address: addresses[engines.len()],
                zone: Zone::new(&deployment.zones[index % deployment.zones.len()]),
                model: group.model.clone(),
                slots: group.slots,
            });
        }
    }
    engines
}
