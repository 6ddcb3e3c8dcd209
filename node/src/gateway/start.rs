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
    /// A port could not be bound.
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
    signals: Signals,
    settings: GatewaySettings,
    path: PathBuf,
    text: String,
) -> Result<(), RunError> {
    let (tx, rx) = mpsc::unbounded_channel();
    let metrics = GatewayMetrics::new().map_err(|err| RunError::Metrics(err.to_string()))?;
    let shared = Arc::new(Shared::new(settings, tx, metrics));
    let settings = &shared.settings;
    info!(event = "start", vm = &*settings.vm, hall = &*settings.hall, first = settings.first_start, listen:% = settings.listen, version = env!("CARGO_PKG_VERSION"); "leadstaged starts");
    // Bound here, before the node can report itself ready. The traffic thread would bind the port too
    // late: after that report at 2 to 4 of 20 nodes that started on loaded machines.
    let callers = runtime.block_on(signals.unless_stopped(async { bind_tcp(settings.listen) }));
    let Some(callers) = callers.transpose()? else {
        info!(event = "stopped"; "stopped before the callers' port was open");
        return Ok(());
    };
    let callers = callers.into_std().map_err(|source| RunError::Port { address: settings.listen, source })?;
    let traffic = shared.clone();
    let thread = std::thread::Builder::new().name("traffic".to_owned());
    thread.spawn(move || traffic_thread(traffic, callers)).map_err(RunError::Runtime)?;
    let control =
        control_thread(shared.clone(), rx, reload::watch_file(shared.clone(), signals.clone(), path, text));
    LocalSet::new().block_on(runtime, run_until_stopped(&shared, &signals, control))
}

/// Runs the control thread until a planned stop, which may be requested before all ports are open, has ended.
async fn run_until_stopped(
    shared: &Arc<Shared>,
    signals: &Signals,
    control: impl Future<Output = Result<Infallible, RunError>>,
) -> Result<(), RunError> {
    let mut stop = pin!(stop::wait(shared, signals));
    let Err(err) = tokio::select! {
        () = &mut stop => return Ok(()),
        failed = control => failed,
    };
    if !signals.is_stop_requested() {
        return Err(err);
    }
    warn!(event = "start_failed", reason:% = err; "the start failed during a planned stop");
    stop.await;
    Ok(())
}

async fn control_thread(
    shared: Arc<Shared>,
    rx: mpsc::UnboundedReceiver<ToControl>,
    reloads: impl Future<Output = Infallible>,
) -> Result<Infallible, RunError> {
    let ready = bind_tcp(shared.settings.ready)?;
    tokio::task::spawn_local(http_port::serve(shared.clone(), ready, "ready", balancer_port::answer));
    let metrics = bind_tcp(shared.settings.metrics)?;
    tokio::task::spawn_local(http_port::serve(shared.clone(), metrics, "metrics", metrics_port::answer));
    if !shared.settings.first_start {
        tokio::task::spawn_local(config_intake::read_at_start(shared.clone()));
        tokio::task::spawn_local(first_read::read_until_replicas_known(shared.clone()));
    }
    let peer = bind_tcp(shared.settings.peer)?;
    tokio::task::spawn_local(peer_port::serve(shared.clone(), peer));
    let socket = Arc::new(bind_udp(shared.settings.peer).await?);
    tokio::task::spawn_local(outbox::receive(socket.clone(), shared.clone()));
    let outbox = Outbox::new(socket, shared.clone());
    tokio::task::spawn_local(Control::new(shared.clone(), outbox).run(rx));
    Ok(reloads.await)
}

/// Serves callers. The node is useless without this thread, so its failure ends the process.
fn traffic_thread(shared: Arc<Shared>, callers: std::net::TcpListener) {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(RunError::Runtime);
    let result =
        runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, serve_callers(shared, callers)));
    let Err(err) = result;
    error!(event = "failed", thread = "traffic", reason:% = err; "the callers' port failed");
    logging::flush();
    std::process::exit(1);
}

async fn serve_callers(shared: Arc<Shared>, callers: std::net::TcpListener) -> Result<Infallible, RunError> {
    let address = shared.settings.listen;
    let listener = TcpListener::from_std(callers).map_err(|source| RunError::Port { address, source })?;
    caller_port::serve(shared.clone(), listener).await;
    shared.advance(Phase::Closed);
    // Keeps the thread running: streams whose callers have disconnected are still being stopped at their
    // engines.
    std::future::pending().await
}

fn bind_tcp(address: SocketAddr) -> Result<TcpListener, RunError> {
    listener::bind(address).map_err(|source| RunError::Port { address, source })
}

async fn bind_udp(address: SocketAddr) -> Result<UdpSocket, RunError> {
    UdpSocket::bind(address).await.map_err(|source| RunError::Port { address, source })
}
