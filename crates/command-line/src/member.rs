//! Runs a process of a deployment that finds its own members: a gateway, or a coordinator.

use crate::level_metrics::LevelMetrics;
use crate::signals::{SIGHUP, SIGTERM, SignalListener};
use crate::{CommandError, Exit, read_member_settings};
use compio::net::TcpListener;
use futures::future::Either;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_coordinator::{Coordinator, CoordinatorConfig, CoordinatorIdentity, EngineDialect};
use saddlerelay_duties::PlatformDialect;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_gateway::{Gateway, GatewayConfig, GatewayOptions};
use saddlerelay_gateway_api::{ControlApi, Formats, FrontApi, OwnEngines, OwnFormats, OwnPlatform, ReadinessApi};
use saddlerelay_http::body::{Reply, whole};
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

/// How long a stopping gateway goes on taking connections: until the platform has noticed that it is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// What is left of the grace when the last connections are closed.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Pause between looks at whether the settings file has changed without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Pause between looks at whether the group knows this machine.
const REGISTER_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time of one introduction.
const REGISTER_LIMIT: Duration = Duration::from_millis(1_500);

/// The peer addresses behind the seeds, as the settings name them now.
type Seeds = Rc<RefCell<Vec<SocketAddr>>>;

fn failed(error: impl std::fmt::Display) -> CommandError {
    CommandError::new(Exit::Failed, error.to_string())
}

/// Has a write beyond the file size limit fail like one on a full disk, instead of ending the process.
async fn outlive_file_size_limit() {
    while compio::signal::unix::signal(SIGXFSZ).await.is_ok() {}
}

/// Runs the process that the settings in `file` describe.
pub fn run(file: &Path) -> Result<(), CommandError> {
    let settings = read_member_settings(file)?;
    // Handled before anything is set up, and until everything is done.
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
    let ended = runtime.block_on(run_role(settings, file.to_path_buf(), signals));
    match &ended {
        Ok(()) => spdlog::info!("stopped", kv: { dropped_log_lines = log.dropped() }),
        Err(error) => spdlog::error!("stopped", kv: { reason = error.to_string().as_str() }),
    }
    spdlog::default_logger().flush();
    ended
}

fn role_name(role: &MemberRole) -> &'static str {
    match role {
        MemberRole::Gateway { .. } => "gateway",
        MemberRole::Coordinator { .. } => "coordinator",
    }
}

/// The signals that a process follows.
struct ProcessSignals<'a> {
    stop: &'a mut SignalListener,
    reload: SignalListener,
}

async fn run_role(settings: MemberSettings, file: PathBuf, signals: ProcessSignals<'_>) -> Result<(), CommandError> {
    match settings.interface {
        Interface::Own => {
            let outward = Outward { engines: Box::new(OwnEngines), platform: Box::new(OwnPlatform) };
            run_speaking(settings, file, signals, OwnFormats, outward).await
        }
        Interface::Platform => {
            let outward = Outward { engines: Box::new(PlatformEngines), platform: Box::new(PlatformDuties) };
            run_speaking(settings, file, signals, PlatformFormats, outward).await
        }
    }
}

/// How a coordinator speaks to what it gives orders to.
struct Outward {
    engines: Box<dyn EngineDialect>,
    platform: Box<dyn PlatformDialect>,
}

async fn run_speaking<F: Formats>(
    settings: MemberSettings,
    file: PathBuf,
    signals: ProcessSignals<'_>,
    formats: F,
    outward: Outward,
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
            run_coordinator(settings, file, signals, seeds, start, formats, outward).await
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
    let options = GatewayOptions {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        seeds: seeds.clone(),
        names: formats.header_names(),
        config: GatewayConfig::default(),
        usage_window: settings.usage.map(|usage| usage.window),
    };
    let client_listener = listen(addresses.client_address).await?;
    let readiness_listener = listen(addresses.readiness_address).await?;
    let gateway = Gateway::start(runtime.clone(), control, options);
    let shutdown = Shutdown::default();
    runtime.spawn(serve_until(
        client_listener,
        Rc::new(FrontApi { gateway: gateway.clone(), formats }),
        shutdown.clone(),
    ));
    let readiness = Rc::new(ReadinessApi { gateway: gateway.clone() });
    runtime.spawn(serve_until(readiness_listener, readiness, Shutdown::default()));
    let of_metrics = gateway.clone();
    serve_metrics(&runtime, settings.metrics_address, move || of_metrics.metrics().encode()).await?;
    // A relay that has not found the group yet learns of it by new settings alone.
    let control = gateway.control().clone();
    let changed = move |seeds: &[SocketAddr]| control.hear_of(seeds);
    runtime.spawn(follow_settings(runtime.clone(), file, signals.reload, seeds, changed));
    signals.stop.received().await.map_err(failed)?;
    spdlog::info!("planned stop", kv: { grace_ms = settings.bounds.grace.as_millis() as u64 });
    gateway.drain();
    let notice = NOTICE_TIME.min(settings.bounds.grace / 2);
    runtime.sleep(notice).await;
    let closed = shutdown.close(settings.bounds.grace.saturating_sub(notice + GRACE_MARGIN)).await;
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
    outward: Outward,
) -> Result<(), CommandError> {
    let CoordinatorStart { addresses, data_folder, first_start } = start;
    std::fs::create_dir_all(&data_folder).map_err(|error| failed(format!("{}: {error}", data_folder.display())))?;
    let runtime = CompioRuntime::new(data_folder);
    runtime.spawn(outlive_file_size_limit());
    let peers = seeds.borrow().clone();
    let options = ReplicaOptions {
        address: addresses.peer_address,
        peers: peers.clone(),
        founders: if first_start { peers.clone() } else { Vec::new() },
        secret: settings.shared_secret.clone(),
        config: settings.bounds.replication(),
    };
    let backends = HttpBackends::new(BackendAddresses { scorer: None, platform: None }).map_err(failed)?;
    let peer_listener = runtime.listen(addresses.peer_listen_address).await;
    let peer_listener = peer_listener
        .map_err(|error| failed(format!("cannot listen on {}: {error}", addresses.peer_listen_address)))?;
    let control_listener = listen(addresses.control_address).await?;
    let node =
        ControlNode::start(runtime.clone(), backends, settings.bounds.control(), options).await.map_err(failed)?;
    let secret = settings.shared_secret.clone();
    runtime.spawn(saddlerelay_rpc::server::serve(runtime.clone(), peer_listener, secret, Rc::new(node.clone())));
    let control =
        ControlClient::new(runtime.clone(), &with_own(&peers, addresses.peer_address), &settings.shared_secret);
    let coordinator = Coordinator::start(
        runtime.clone(),
        node.clone(),
        CoordinatorIdentity { name: settings.name.clone(), zone: settings.zone.clone() },
        formats.header_names(),
        outward.engines,
        CoordinatorConfig::default(),
    );
    let duties = crate::duties::start(&runtime, &node, &settings, outward.platform);
    let shutdown = Shutdown::default();
    let control_port = addresses.control_address.port();
    let reporting = node.clone();
    // All machines serve control at the same port.
    let report_target = move |report: &InstanceReport| {
        reporting.reports_go_to(report).map(|peer| SocketAddr::new(peer.ip(), control_port))
    };
    let interval = settings.bounds.report_interval;
    let api = ControlApi::start(runtime.clone(), control.clone(), interval, Box::new(report_target), formats);
    runtime.spawn(serve_until(control_listener, api.clone(), shutdown.clone()));
    let levels = LevelMetrics::new(node.clone());
    let metrics = move || coordinator.metrics().encode() + &duties.encode() + &api.metrics() + &levels.encode();
    serve_metrics(&runtime, settings.metrics_address, metrics).await?;
    let record = StoreRecord {
        name: settings.name.clone(),
        replica: node.replica().id(),
        address: addresses.peer_address,
        zone: settings.zone.clone(),
    };
    runtime.spawn(introduce(runtime.clone(), node.clone(), control, record, seeds.clone()));
    let replica = node.replica().clone();
    runtime.spawn(follow_settings(runtime.clone(), file, signals.reload, seeds, move |seeds| {
        replica.hear_of(seeds.iter().copied())
    }));
    signals.stop.received().await.map_err(failed)?;
    let handed_over = node.hand_over().await;
    spdlog::info!("planned stop", kv: { handed_over = handed_over });
    shutdown.close(settings.bounds.grace / 4).await;
    Ok(())
}

fn with_own(peers: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    let mut addresses = vec![own];
    addresses.extend(peers.iter().filter(|peer| **peer != own));
    addresses
}

/// Tells the group this machine's name and replica, and keeps the client's list of replicas new.
async fn introduce(
    runtime: CompioRuntime,
    node: ControlNode<CompioRuntime, HttpBackends>,
    control: ControlClient<CompioRuntime>,
    record: StoreRecord,
    seeds: Seeds,
) {
    // The group never forgets a machine. One that is no member cannot see that in a state of its own.
    let mut is_known = false;
    loop {
        is_known = is_known || node.replica().peek(|machine| machine.state().stores.holds(&record));
        if !is_known {
            let request = GatewayRequest::RegisterStore(record.clone());
            let answer = control.gateway(request, REGISTER_LIMIT, REGISTER_LIMIT).await;
            is_known = answer == Ok(GatewayReply::Done);
            if !is_known {
                spdlog::warn!("not introduced", kv: { answer = format!("{answer:?}").as_str() });
            }
        }
        let peers = node.replica().known_peers();
        let all = peers.into_iter().chain(seeds.borrow().iter().copied()).collect::<Vec<_>>();
        control.set_replicas(with_own(&all, record.address));
        runtime.sleep(REGISTER_INTERVAL).await;
    }
}

/// Takes changes of the settings file, with a signal and without.
async fn follow_settings(
    runtime: CompioRuntime,
    file: PathBuf,
    mut reload: SignalListener,
    seeds: Seeds,
    changed: impl Fn(&[SocketAddr]) + 'static,
) {
    let mut held = std::fs::read(&file).unwrap_or_default();
    loop {
        let signal = std::pin::pin!(reload.received());
        let pause = std::pin::pin!(runtime.sleep(SETTINGS_INTERVAL));
        if let Either::Left((Err(error), pause)) = futures::future::select(signal, pause).await {
            spdlog::error!("no signal is heard", kv: { reason = error.to_string().as_str() });
            pause.await;
        }
        let Ok(bytes) = std::fs::read(&file) else {
            continue;
        };
        if bytes == held {
            continue;
        }
        held = bytes;
        match read_member_settings(&file) {
            Ok(settings) => {
                *seeds.borrow_mut() = settings.seed_peers();
                changed(&seeds.borrow());
                spdlog::info!("settings reloaded", kv: { seeds = settings.seeds.len() });
            }
            Err(error) => spdlog::error!("settings refused", kv: { reason = error.to_string().as_str() }),
        }
    }
}

struct MetricsApi<F> {
    encode: F,
}

impl<F: Fn() -> String + 'static> HttpHandler for MetricsApi<F> {
    async fn handle(self: Rc<Self>, _request: hyper::Request<hyper::body::Incoming>) -> Reply {
        whole(hyper::StatusCode::OK, CONTENT_TYPE, (self.encode)())
    }
}

async fn serve_metrics(
    runtime: &CompioRuntime,
    address: Option<SocketAddr>,
    encode: impl Fn() -> String + 'static,
) -> Result<(), CommandError> {
    if let Some(address) = address {
        let listener = listen(address).await?;
        runtime.spawn(serve_until(listener, Rc::new(MetricsApi { encode }), Shutdown::default()));
    }
    Ok(())
}
