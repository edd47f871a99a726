//! Runs a relay or a control process until SIGTERM or SIGINT.

use crate::clients::Clients;
use crate::signals::{SIGTERM, SignalListener};
use crate::{CommandError, Exit, read_settings};
use compio::net::TcpListener;
use saddlerelay_api::control::ControlApi;
use saddlerelay_api::relay::RelayApi;
use saddlerelay_control::config::ControlConfig;
use saddlerelay_control::node::ControlNode;
use saddlerelay_control_client::ControlClient;
use saddlerelay_engine_client::{BackendAddresses, HttpBackends};
use saddlerelay_http::limits::ConnectionLimits;
use saddlerelay_http::server::{Shutdown, serve_until};
use saddlerelay_relay::{Relay, RelayOptions};
use saddlerelay_replication::ReplicaOptions;
use saddlerelay_runtime::Runtime;
use saddlerelay_runtime_compio::CompioRuntime;
use saddlerelay_settings::{ControlSettings, RelaySettings, Role, Settings};
use saddlerelay_telemetry::ring::RingSink;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const SIGINT: i32 = 2;

/// Timeout for closing the remaining connections at a graceful shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

fn failed(error: impl std::fmt::Display) -> CommandError {
    CommandError::new(Exit::Failed, error.to_string())
}

/// Runs the process that the settings in `file` describe.
pub fn serve(file: &Path) -> Result<(), CommandError> {
    let settings = read_settings(file)?;
    let folder = &settings.data_folder;
    std::fs::create_dir_all(folder).map_err(|error| failed(format!("{}: {error}", folder.display())))?;
    let log = saddlerelay_telemetry::log::set_up(folder).map_err(failed)?;
    // Stays installed until shutdown has completed.
    let mut terminate = SignalListener::listen(SIGTERM).map_err(failed)?;
    let runtime = compio::runtime::Runtime::new().map_err(failed)?;
    let result = runtime.block_on(run(settings, log.clone(), &mut terminate));
    if let Err(error) = &result {
        spdlog::error!("process failed: {}", error);
    }
    result
}

async fn run(settings: Settings, log: Arc<RingSink>, terminate: &mut SignalListener) -> Result<(), CommandError> {
    let runtime = CompioRuntime::new(settings.data_folder.clone());
    let addresses = BackendAddresses { scorer: settings.scorer, platform: settings.platform };
    let backends = HttpBackends::new(addresses);
    spdlog::info!("start", kv: { name = settings.name.as_str(), zone = settings.zone.as_str() });
    match settings.role.clone() {
        Role::Relay(relay) => run_relay(settings, relay, runtime, backends, terminate).await,
        Role::Control(control) => run_control(settings, *control, runtime, backends, log, terminate).await,
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, CommandError> {
    TcpListener::bind(address).await.map_err(|error| failed(format!("cannot listen on {address}: {error}")))
}

async fn run_relay(
    settings: Settings,
    relay: RelaySettings,
    runtime: CompioRuntime,
    backends: HttpBackends,
    terminate: &mut SignalListener,
) -> Result<(), CommandError> {
    let clients = Clients::new(&settings.clients);
    let options = RelayOptions {
        name: settings.name,
        zone: settings.zone,
        address: settings.http_address,
        control: settings.control,
        secret: settings.shared_secret,
        policy: relay.policy,
        config: relay.config,
    };
    let listener = listen(settings.http_address).await?;
    let relay = Relay::start(runtime.clone(), backends, options).await.map_err(failed)?;
    let api = RelayApi { relay: relay.clone(), runtime: runtime.clone() };
    let shutdown = Shutdown::default();
    runtime.spawn(serve_until(
        listener,
        Rc::new(api),
        clients.fixed_listener(ConnectionLimits::DEFAULT),
        clients.manager,
        shutdown.clone(),
    ));
    wait_for_stop(terminate).await?;
    spdlog::info!("planned stop", kv: { in_progress = relay.in_progress() });
    // The server stays up during the drain and rejects new requests.
    let drained = relay.drain().await;
    let closed = shutdown.close(CLOSE_TIMEOUT).await;
    if drained && closed { Ok(()) } else { Err(failed("requests were still in progress at the drain limit")) }
}

async fn run_control(
    settings: Settings,
    control: ControlSettings,
    runtime: CompioRuntime,
    backends: HttpBackends,
    log: Arc<RingSink>,
    terminate: &mut SignalListener,
) -> Result<(), CommandError> {
    let options = ReplicaOptions {
        address: control.peer_address,
        peers: settings.control.clone(),
        founders: Vec::new(),
        secret: settings.shared_secret.clone(),
        config: control.replication,
    };
    let http_listener = listen(settings.http_address).await?;
    let peer_listener = runtime.listen(control.peer_address).await;
    let peer_listener =
        peer_listener.map_err(|error| failed(format!("cannot listen on {}: {error}", control.peer_address)))?;
    let config = ControlConfig { reply_memory: settings.clients.reply_memory_bytes(), ..control.config };
    let node = ControlNode::start(runtime.clone(), backends, config, options).await.map_err(failed)?;
    let handler = Rc::new(node.clone());
    let secret = settings.shared_secret.clone();
    let clients = Clients::new(&settings.clients);
    runtime.spawn(saddlerelay_rpc::server::serve_limited(
        runtime.clone(),
        peer_listener,
        secret,
        handler,
        clients.max_pending_peers,
    ));
    let api = ControlApi {
        node: node.clone(),
        client: ControlClient::new(runtime.clone(), &settings.control, &settings.shared_secret),
        peer_address: control.peer_address,
        operator_token: control.operator_token,
        runtime: runtime.clone(),
        log: Some(log),
    };
    let shutdown = Shutdown::default();
    runtime.spawn(serve_until(
        http_listener,
        Rc::new(api),
        clients.fixed_listener(ConnectionLimits::DEFAULT),
        clients.manager,
        shutdown.clone(),
    ));
    wait_for_stop(terminate).await?;
    let transferred = node.transfer_leadership().await;
    spdlog::info!("planned stop", kv: { handed_over = transferred });
    shutdown.close(CLOSE_TIMEOUT).await;
    Ok(())
}

async fn wait_for_stop(terminate: &mut SignalListener) -> Result<(), CommandError> {
    let terminate = std::pin::pin!(terminate.received());
    let interrupt = std::pin::pin!(compio::signal::unix::signal(SIGINT));
    let (signal_result, _) = futures::future::select(terminate, interrupt).await.factor_first();
    signal_result.map_err(failed)
}
