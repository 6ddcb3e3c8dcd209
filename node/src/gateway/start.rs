//! Starts a gateway node: the control tasks on this thread, traffic on a separate thread.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use log::error;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::gateway::balancer_port;
use crate::gateway::control::config_intake;
use crate::gateway::control::control_loop::Control;
use crate::gateway::control::first_read;
use crate::gateway::http_port;
use crate::gateway::ingress::caller_port;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::logging;
use crate::gateway::observability::metrics::GatewayMetrics;
use crate::gateway::observability::metrics_port;
use crate::gateway::peers::outbox;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::peer_port;
use crate::gateway::reload;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;
use crate::gateway::stop;
use crate::late_port::Port;
use crate::listener;
use crate::signals::Signals;

/// Reason why a node did not start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// The runtime or a thread could not be created.
    #[display("no runtime: {_0}")]
    Runtime(io::Error),
    /// The metrics could not be set up.
    #[display("no metrics: {_0}")]
    Metrics(#[error(not(source))] String),
    /// A port can't be bound.
    #[display("port {address}: {source}")]
    Port {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs a gateway node until a planned stop has ended. The settings were read from the file at `path`, which
/// contained `text`.
pub fn run(
    runtime: &Runtime,
    signals: &Signals,
    settings: GatewaySettings,
    path: PathBuf,
    text: String,
) -> Result<(), RunError> {
    info!(event = "start", vm = &*settings.vm, hall = &*settings.hall, first = settings.first_start, listen:% = settings.listen, version = env!("CARGO_PKG_VERSION"); "leadstaged starts");
    LocalSet::new().block_on(runtime, control_thread(signals, settings, path, text))
}

async fn control_thread(
    signals: &Signals,
    settings: GatewaySettings,
    path: PathBuf,
    text: String,
) -> Result<(), RunError> {
    // Bound before anything else: a node that does not hear the others would follow the store and lead all
    // services, and the times that it allows others for a first contact count from here.
    let peer_ports = signals.unless_stopped(PeerPorts::bind(settings.peer)).await;
    let Some(peer_ports) = peer_ports.transpose()? else {
        info!(event = "stopped"; "planned stop ends a start that waited for the peer port");
        return Ok(());
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let metrics = GatewayMetrics::new().map_err(|err| RunError::Metrics(err.to_string()))?;
    let shared = Arc::new(Shared::new(settings, tx, metrics));
    tokio::task::spawn_local(serve_operators(shared.clone()));
    if !shared.settings.first_start {
        tokio::task::spawn_local(config_intake::read_at_start(shared.clone()));
        tokio::task::spawn_local(first_read::read_until_replicas_known(shared.clone()));
    }
    tokio::task::spawn_local(peer_port::serve(shared.clone(), peer_ports.listener));
    let socket = Arc::new(peer_ports.socket);
    tokio::task::spawn_local(outbox::receive(socket.clone(), shared.clone()));
    let outbox = Outbox::new(socket, shared.clone());
    tokio::task::spawn_local(Control::new(shared.clone(), outbox).run(rx));
    tokio::task::spawn_local(reload::watch_file(shared.clone(), signals.clone(), path, text));
    run_until_stopped(&shared, signals).await
}

/// Opens the remaining ports and waits until a planned stop, which may be requested before they are open, has
/// ended.
async fn run_until_stopped(shared: &Arc<Shared>, signals: &Signals) -> Result<(), RunError> {
    let mut stop = pin!(stop::wait(shared, signals));
    let err = tokio::select! {
        () = &mut stop => return Ok(()),
        Err(failed) = open_ports(shared) => failed,
    };
    if !signals.is_stop_requested() {
        return Err(err);
    }
    warn!(event = "start_failed", reason:% = err; "the start failed during a planned stop");
    stop.await;
    Ok(())
}

/// The ports for other nodes.
struct PeerPorts {
    listener: TcpListener,
    socket: UdpSocket,
}

impl PeerPorts {
    /// Binds both as soon as they are available. Neither is held while the other one is missing: it would collect
    /// connections and messages that are outdated when they are read.
    async fn bind(address: SocketAddr) -> Result<Self, RunError> {
        let bind = || {
            Ok(PeerPorts { listener: listener::bind(address)?, socket: listener::bind_datagrams(address)? })
        };
        let bound = Port { name: "peer", address }.bind(bind).await;
        bound.map_err(|source| RunError::Port { address, source })
    }
}

/// Opens the balancer's and the callers' port as soon as each is available.
async fn open_ports(shared: &Arc<Shared>) -> Result<(), RunError> {
    tokio::try_join!(serve_balancer(shared), serve_callers(shared))?;
    std::future::pending().await
}

/// Answers the balancer. Until the port is available, the balancer takes the node for not ready.
async fn serve_balancer(shared: &Arc<Shared>) -> Result<(), RunError> {
    let address = shared.settings.ready;
    let listener = Port { name: "ready", address }.listen().await;
    let listener = listener.map_err(|source| RunError::Port { address, source })?;
    tokio::task::spawn_local(http_port::serve(shared.clone(), listener, "ready", balancer_port::answer));
    Ok(())
}

/// Serves operators. The node works without this port.
async fn serve_operators(shared: Arc<Shared>) {
    let address = shared.settings.metrics;
    match (Port { name: "metrics", address }).listen().await {
        Ok(listener) => http_port::serve(shared, listener, "metrics", metrics_port::answer).await,
        Err(err) => {
            warn!(event = "port_failed", port = "metrics", address:% = address, reason:% = err; "port can't be bound; no metrics are served")
        }
    }
}

/// Starts to serve callers, unless a planned stop begins before the port is available.
async fn serve_callers(shared: &Arc<Shared>) -> Result<(), RunError> {
    let address = shared.settings.listen;
    let failed = |source| RunError::Port { address, source };
    let listener = tokio::select! {
        bound = Port { name: "callers", address }.listen() => bound.map_err(failed)?,
        () = shared.wait_for_phase(Phase::Stopping) => {
            shared.advance(Phase::Closed);
            return Ok(());
        }
    };
    let listener = listener.into_std().map_err(failed)?;
    let traffic = shared.clone();
    let thread = std::thread::Builder::new().name("traffic".to_owned());
    thread.spawn(move || traffic_thread(traffic, listener)).map_err(RunError::Runtime)?;
    // The node is not ready before its callers can connect.
    shared.notify(ToControl::CallersPortListens);
    Ok(())
}

/// Serves callers. The node is useless without this thread, so its failure ends the process.
fn traffic_thread(shared: Arc<Shared>, callers: std::net::TcpListener) {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(RunError::Runtime);
    let result =
        runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, accept_callers(shared, callers)));
    let Err(err) = result;
    error!(event = "failed", thread = "traffic", reason:% = err; "the callers' port failed");
    logging::flush();
    std::process::exit(1);
}

async fn accept_callers(shared: Arc<Shared>, callers: std::net::TcpListener) -> Result<Infallible, RunError> {
    let address = shared.settings.listen;
    let listener = TcpListener::from_std(callers).map_err(|source| RunError::Port { address, source })?;
    caller_port::serve(shared.clone(), listener).await;
    shared.advance(Phase::Closed);
    // Keeps the thread running: streams whose callers have disconnected are still being stopped at their
    // engines.
    std::future::pending().await
}
