//! Runs a gateway or a coordinator of a deployment with seed-based discovery.

use crate::clients::Clients;
use crate::level_metrics::LevelMetrics;
use crate::memory_metrics::MemoryMetrics;
use crate::signals::{SIGHUP, SIGTERM, SignalListener};
use crate::{CommandError, Exit, read_member_settings};
use compio::net::TcpListener;
use futures::future::Either;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_coordinator::{Coordinator, CoordinatorConfig, CoordinatorIdentity, EngineFormat};
use saddlerelay_duties::PlatformFormat;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_gateway::{Gateway, GatewayConfig, GatewayOptions};
use saddlerelay_gateway_api::{
    ClientApi, ControlApi, Formats, NativeEngines, NativeFormats, NativePlatform, ReadinessApi,
};
use saddlerelay_http::body::{Reply, full_reply};
use saddlerelay_http::request_body::RequestBody;
use saddlerelay_http::server::{HttpHandler, Shutdown, serve_until};
use saddlerelay_platform::{PlatformDuties, PlatformEngines, PlatformFormats};
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_settings::{Interface, MemberRole, MemberSettings};
use saddlerelay_telemetry::metrics::CONTENT_TYPE;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::gateway::{GatewayReply, GatewayRequest, StoreRecord};
use saddlerelay_types::instance::InstanceReport;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

const SIGXFSZ: i32 = 25;

/// How long a gateway still accepts connections after SIGTERM, until load balancers have seen the readiness probe fail.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_600);

/// Part of the grace period left after the work on requests has ended, for the last responses and the exit of the
/// process.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Time for a gateway's responses to the requests that a stop ends, before the server answers in its place.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which the registration with the group is checked.
const REGISTER_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of one registration attempt.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Peer addresses of the seeds, updated when the settings change.
type Seeds = Rc<RefCell<Vec<SocketAddr>>>;

fn failed(error: impl std::fmt::Display) -> CommandError {
    CommandError::new(Exit::Failed, error.to_string())
}

/// Handles SIGXFSZ, so that a write beyond the file size limit returns an error instead of killing the process.
async fn ignore_file_size_signal() {
    while compio::signal::unix::signal(SIGXFSZ).await.is_ok() {}
}

/// Runs the process that the settings in `file` describe.
pub fn run(file: &Path) -> Result<(), CommandError> {
    let settings = read_member_settings(file)?;
    // Installed first, so that no later signal kills the process during startup or shutdown.
    let mut stop = SignalListener::listen(SIGTERM).map_err(failed)?;
    let reload = SignalListener::listen(SIGHUP).map_err(failed)?;
    let signals = ProcessSignals { stop: &mut stop, reload };
    let log = saddlerelay_telemetry::log::set_up_stdout(&settings.name).map_err(failed)?;
    let runtime = compio::runtime::Runtime::new().map_err(failed)?;
    spdlog::info!("start", kv: {
        zone = settings.zone.as_str(), role = role_name(&settings.role), seeds = settings.seeds.len(),
        version = env!("CARGO_PKG_VERSION"),
        newest_level = FeatureLevel::NEWEST.number(), protocol = FeatureLevel::NEWEST.protocol(),
        files = FeatureLevel::NEWEST.file_format()
    });
    let result = runtime.block_on(run_role(settings, file.to_path_buf(), signals));
    match &result {
        Ok(()) => spdlog::info!("stopped", kv: { dropped_log_lines = log.dropped() }),
        Err(error) => spdlog::error!("stopped", kv: { reason = error.to_string().as_str() }),
    }
    spdlog::default_logger().flush();
    result
}

fn role_name(role: &MemberRole) -> &'static str {
    match role {
        MemberRole::Gateway { .. } => "gateway",
        MemberRole::Coordinator { .. } => "coordinator",
    }
}

/// Listeners of the signals that the process handles.
struct ProcessSignals<'a> {
    stop: &'a mut SignalListener,
    reload: SignalListener,
}

async fn run_role(settings: MemberSettings, file: PathBuf, signals: ProcessSignals<'_>) -> Result<(), CommandError> {
    match settings.interface {
        Interface::Native => {
            let outbound = OutboundFormats { engines: Box::new(NativeEngines), platform: Box::new(NativePlatform) };
            run_with_formats(settings, file, signals, NativeFormats, outbound).await
        }
        Interface::Platform => {
            let outbound = OutboundFormats { engines: Box::new(PlatformEngines), platform: Box::new(PlatformDuties) };
            run_with_formats(settings, file, signals, PlatformFormats, outbound).await
        }
    }
}

/// Formats of the requests that a coordinator sends to engines and to the platform.
struct OutboundFormats {
    engines: Box<dyn EngineFormat>,
    platform: Box<dyn PlatformFormat>,
}

async fn run_with_formats<F: Formats>(
    settings: MemberSettings,
    file: PathBuf,
    signals: ProcessSignals<'_>,
    formats: F,
    outbound: OutboundFormats,
) -> Result<(), CommandError> {
    let seeds: Seeds = Rc::new(RefCell::new(settings.seed_peers()));
    match settings.role.clone() {
        MemberRole::Gateway { client_address, readiness_address } => {
            let addresses = GatewayAddresses { client_address, readiness_address };
            run_gateway(settings, file, signals, seeds, addresses, formats).await
        }
        MemberRole::Coordinator { control_address, peer_address, peer_listen_address, data_folder, first_start } => {
            let addresses = CoordinatorAddresses { control_address, peer_address, peer_listen_address };
            let start = CoordinatorStart { addresses, data_folder, first_start };
            run_coordinator(settings, file, signals, seeds, start, formats, outbound).await
        }
    }
}

struct GatewayAddresses {
    client_address: SocketAddr,
    readiness_address: SocketAddr,
}

struct CoordinatorAddresses {
    control_address: SocketAddr,
    peer_address: SocketAddr,
    peer_listen_address: SocketAddr,
}

struct CoordinatorStart {
    addresses: CoordinatorAddresses,
    data_folder: PathBuf,
    first_start: bool,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, CommandError> {
    TcpListener::bind(address).await.map_err(|error| failed(format!("cannot listen on {address}: {error}")))
}

async fn run_gateway<F: Formats>(
    settings: MemberSettings,
    file: PathBuf,
    signals: ProcessSignals<'_>,
    seeds: Seeds,
    addresses: GatewayAddresses,
    formats: F,
) -> Result<(), CommandError> {
    let runtime = CompioRuntime::without_files();
    let control = ControlClient::new(runtime.clone(), &seeds.borrow(), &settings.shared_secret);
    let clients = Clients::new(&settings.clients);
    let options = GatewayOptions {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        seeds: seeds.clone(),
        names: formats.header_names(),
        config: GatewayConfig { admission: settings.scheduling.admission, ..GatewayConfig::default() },
        clients: clients.manager.clone(),
        usage_window: settings.usage.map(|usage| usage.window),
    };
    let client_listener = listen(addresses.client_address).await?;
    let readiness_listener = listen(addresses.readiness_address).await?;
    let gateway = Gateway::start(runtime.clone(), control, options);
    let shutdown = Shutdown::default();
    let limits_source = gateway.clone();
    runtime.spawn(serve_until(
        client_listener,
        Rc::new(ClientApi::new(gateway.clone(), formats)),
        clients.listener(Rc::new(move || limits_source.connection_limits())),
        clients.manager.clone(),
        shutdown.clone(),
    ));
    let readiness = Rc::new(ReadinessApi { gateway: gateway.clone() });
    runtime.spawn(serve_until(
        readiness_listener,
        readiness,
        clients.monitoring_listener(),
        clients.manager.clone(),
        Shutdown::default(),
    ));
    let metrics_source = gateway.clone();
    serve_metrics(&runtime, &clients, settings.metrics_address, move || metrics_source.metrics().encode()).await?;
    // Changed seeds are the only way to reach the group for a gateway that has not found it yet.
    let control = gateway.control().clone();
    let apply_seeds = move |seeds: &[SocketAddr]| control.add_known_addresses(seeds);
    runtime.spawn(reload_settings(runtime.clone(), file, signals.reload, seeds, apply_seeds));
    signals.stop.received().await.map_err(failed)?;
    spdlog::info!("planned stop", kv: { grace_ms = settings.bounds.grace.as_millis() as u64 });
    let propagation_time = READINESS_PROPAGATION_TIME.min(settings.bounds.grace / 2);
    let closing_time = settings.bounds.grace.saturating_sub(propagation_time + GRACE_MARGIN);
    gateway.drain(propagation_time + closing_time);
    runtime.sleep(propagation_time).await;
    let closed = shutdown.close(closing_time + LAST_RESPONSE_TIME).await;
    spdlog::info!("connections closed", kv: { all = closed });
    Ok(())
}

async fn run_coordinator<F: Formats>(
    settings: MemberSettings,
    file: PathBuf,
    signals: ProcessSignals<'_>,
    seeds: Seeds,
    start: CoordinatorStart,
    formats: F,
    outbound: OutboundFormats,
) -> Result<(), CommandError> {
    let CoordinatorStart { addresses, data_folder, first_start } = start;
    std::fs::create_dir_all(&data_folder).map_err(|error| failed(format!("{}: {error}", data_folder.display())))?;
    let runtime = CompioRuntime::new(data_folder);
    runtime.spawn(ignore_file_size_signal());
    let peers = seeds.borrow().clone();
    let options = ReplicaOptions {
        address: addresses.peer_address,
        peers: peers.clone(),
        founders: if first_start { peers.clone() } else { Vec::new() },
        secret: settings.shared_secret.clone(),
        config: settings.bounds.replication(),
    };
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None });
    let peer_listener = runtime.listen(addresses.peer_listen_address).await;
    let peer_listener = peer_listener
        .map_err(|error| failed(format!("cannot listen on {}: {error}", addresses.peer_listen_address)))?;
    let control_listener = listen(addresses.control_address).await?;
    let config = ControlConfig { reply_memory: settings.clients.reply_memory_bytes(), ..settings.bounds.control() };
    let node = ControlNode::start(runtime.clone(), backends, config, options).await.map_err(failed)?;
    let secret = settings.shared_secret.clone();
    let clients = Clients::new(&settings.clients);
    runtime.spawn(saddlerelay_rpc::server::serve_limited(
        runtime.clone(),
        peer_listener,
        secret,
        Rc::new(node.clone()),
        clients.max_pending_peers,
    ));
    let control =
        ControlClient::new(runtime.clone(), &with_own_address(&peers, addresses.peer_address), &settings.shared_secret);
    let coordinator = Coordinator::start(
        runtime.clone(),
        node.clone(),
        CoordinatorIdentity { name: settings.name.clone(), zone: settings.zone.clone() },
        formats.header_names(),
        outbound.engines,
        CoordinatorConfig {
            batch_order: settings.scheduling.batch_order,
            placement: settings.scheduling.placement,
            text_memory: settings.clients.text_memory_bytes(),
            ..CoordinatorConfig::default()
        },
    );
    let duties = crate::duties::start(&runtime, &node, &settings, outbound.platform);
    let shutdown = Shutdown::default();
    let control_port = addresses.control_address.port();
    let report_node = node.clone();
    // All coordinators serve control calls at the same port.
    let report_target = move |report: &InstanceReport| {
        report_node.report_target(report).map(|peer| SocketAddr::new(peer.ip(), control_port))
    };
    let interval = settings.bounds.report_interval;
    let api = ControlApi::start(runtime.clone(), control.clone(), interval, Box::new(report_target), formats);
    runtime.spawn(serve_until(
        control_listener,
        api.clone(),
        clients.fixed_listener(saddlerelay_gateway_api::CONTROL_LIMITS),
        clients.manager.clone(),
        shutdown.clone(),
    ));
    let levels = LevelMetrics::new(node.clone());
    let memory = MemoryMetrics::new(node.clone());
    let metrics = move || {
        [coordinator.metrics().encode(), duties.encode(), api.metrics(), levels.encode(), memory.encode()].concat()
    };
    serve_metrics(&runtime, &clients, settings.metrics_address, metrics).await?;
    let record = StoreRecord {
        name: settings.name.clone(),
        replica: node.replica().id(),
        address: addresses.peer_address,
        zone: settings.zone.clone(),
    };
    runtime.spawn(register(runtime.clone(), node.clone(), control, record, seeds.clone()));
    let replica = node.replica().clone();
    runtime.spawn(reload_settings(runtime.clone(), file, signals.reload, seeds, move |seeds| {
        replica.add_known_addresses(seeds.iter().copied())
    }));
    signals.stop.received().await.map_err(failed)?;
    let transferred = node.transfer_leadership().await;
    spdlog::info!("planned stop", kv: { handed_over = transferred });
    shutdown.close(settings.bounds.grace / 4).await;
    Ok(())
}

fn with_own_address(peers: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    let mut addresses = vec![own];
    addresses.extend(peers.iter().filter(|peer| **peer != own));
    addresses
}

/// Registers this machine's name and replica with the group, and keeps the client's list of replicas up to date.
async fn register(
    runtime: CompioRuntime,
    node: ControlNode<CompioRuntime, HttpBackends>,
    control: ControlClient<CompioRuntime>,
    record: StoreRecord,
    seeds: Seeds,
) {
    // Registrations are permanent. A replica that is not a member yet cannot see its registration in its own state.
    let mut is_registered = false;
    loop {
        is_registered =
            is_registered || node.replica().read_local(|machine| machine.state().stores.is_registered(&record));
        if !is_registered {
            let request = GatewayRequest::RegisterStore(record.clone());
            let answer = control.gateway(request, REGISTER_TIMEOUT, REGISTER_TIMEOUT).await;
            is_registered = answer == Ok(GatewayReply::Done);
            if !is_registered {
                spdlog::warn!("registration with the control group failed, retrying", kv: { answer = format!("{answer:?}").as_str() });
            }
        }
        let peers = node.replica().known_peers();
        let all = peers.into_iter().chain(seeds.borrow().iter().copied()).collect::<Vec<_>>();
        control.set_replicas(with_own_address(&all, record.address));
        runtime.sleep(REGISTER_CHECK_INTERVAL).await;
    }
}

/// Reloads the settings file when it has changed; checks it at an interval and on SIGHUP.
async fn reload_settings(
    runtime: CompioRuntime,
    file: PathBuf,
    mut reload: SignalListener,
    seeds: Seeds,
    apply_seeds: impl Fn(&[SocketAddr]) + 'static,
) {
    let mut last_contents = std::fs::read(&file).unwrap_or_default();
    loop {
        let signal = std::pin::pin!(reload.received());
        let pause = std::pin::pin!(runtime.sleep(SETTINGS_CHECK_INTERVAL));
        if let Either::Left((Err(error), pause)) = futures::future::select(signal, pause).await {
            spdlog::error!("SIGHUP listener failed, settings still polled", kv: { reason = error.to_string().as_str() });
            pause.await;
        }
        let Ok(bytes) = std::fs::read(&file) else {
            continue;
        };
        if bytes == last_contents {
            continue;
        }
        last_contents = bytes;
        match read_member_settings(&file) {
            Ok(settings) => {
                *seeds.borrow_mut() = settings.seed_peers();
                apply_seeds(&seeds.borrow());
                spdlog::info!("settings reloaded", kv: { seeds = settings.seeds.len() });
            }
            Err(error) => spdlog::error!("settings reload rejected", kv: { reason = error.to_string().as_str() }),
        }
    }
}

struct MetricsApi<F> {
    encode: F,
}

impl<F: Fn() -> String + 'static> HttpHandler for MetricsApi<F> {
    async fn handle(self: Rc<Self>, _request: hyper::Request<RequestBody>) -> Reply {
        full_reply(hyper::StatusCode::OK, CONTENT_TYPE, (self.encode)())
    }
}

async fn serve_metrics(
    runtime: &CompioRuntime,
    clients: &Clients,
    address: Option<SocketAddr>,
    encode: impl Fn() -> String + 'static,
) -> Result<(), CommandError> {
    if let Some(address) = address {
        let listener = listen(address).await?;
        let manager = clients.manager.clone();
        let encode = move || encode() + &manager.encode_metrics();
        runtime.spawn(serve_until(
            listener,
            Rc::new(MetricsApi { encode }),
            clients.monitoring_listener(),
            clients.manager.clone(),
            Shutdown::default(),
        ));
    }
    Ok(())
}
