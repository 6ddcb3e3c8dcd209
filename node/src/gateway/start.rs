//! Starts a gateway node: the control thread's tasks here, traffic on a thread of its own.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use log::error;
use log::info;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::gateway::balancer_port;
use crate::gateway::control::config_intake;
use crate::gateway::control::control_loop::Control;
use crate::gateway::control::first_read;
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
use crate::gateway::small_port;
use crate::gateway::stop;

/// Why a node did not start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// No runtime or thread.
    #[display("no runtime: {_0}")]
    Runtime(io::Error),
    /// No metrics.
    #[display("no metrics: {_0}")]
    Metrics(#[error(not(source))] String),
    /// A port is not free.
    #[display("port {address}: {source}")]
    Port {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// No signal handler.
    #[display("no signal handler: {_0}")]
    Signal(io::Error),
}

/// The file that the settings were read from.
pub struct SettingsFile {
    /// Where it is.
    pub path: PathBuf,
    /// What was in it.
    pub text: String,
}

/// Runs a gateway node until a planned stop has ended.
pub fn run(settings: GatewaySettings, file: SettingsFile) -> Result<(), RunError> {
    let (tx, rx) = mpsc::unbounded_channel();
    let metrics = GatewayMetrics::new().map_err(|err| RunError::Metrics(err.to_string()))?;
    let shared = Arc::new(Shared::new(settings, tx, metrics));
    let settings = &shared.settings;
    info!(event = "start", vm = &*settings.vm, hall = &*settings.hall, first = settings.first_start, listen:% = settings.listen, version = env!("CARGO_PKG_VERSION"); "leadstaged starts");
    let runtime = Builder::new_current_thread().enable_all().build().map_err(RunError::Runtime)?;
    // Open before the node can call itself ready: opened by the traffic thread, it came after that
    // at 2 to 4 of 20 nodes that started beside other load.
    let callers = runtime.block_on(listen(settings.listen))?;
    let callers = callers.into_std().map_err(|source| RunError::Port { address: settings.listen, source })?;
    let traffic = shared.clone();
    let thread = std::thread::Builder::new().name("traffic".to_owned());
    thread.spawn(move || traffic_thread(traffic, callers)).map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, control_thread(shared, rx, file))
}

async fn control_thread(
    shared: Arc<Shared>,
    rx: mpsc::UnboundedReceiver<ToControl>,
    file: SettingsFile,
) -> Result<(), RunError> {
    let ready = listen(shared.settings.ready).await?;
    tokio::task::spawn_local(small_port::serve(shared.clone(), ready, "ready", balancer_port::answer));
    let metrics = listen(shared.settings.metrics).await?;
    tokio::task::spawn_local(small_port::serve(shared.clone(), metrics, "metrics", metrics_port::answer));
    if !shared.settings.first_start {
        tokio::task::spawn_local(config_intake::read_at_start(shared.clone()));
        tokio::task::spawn_local(first_read::read_until_replicas_known(shared.clone()));
    }
    let peer = listen(shared.settings.peer).await?;
    tokio::task::spawn_local(peer_port::serve(shared.clone(), peer));
    let socket = Arc::new(datagrams(shared.settings.peer).await?);
    tokio::task::spawn_local(outbox::receive(socket.clone(), shared.clone()));
    let outbox = Outbox::new(socket, shared.clone());
    tokio::task::spawn_local(Control::new(shared.clone(), outbox).run(rx));
    let reloads = reload::follow(shared.clone(), file.path, file.text);
    tokio::select! {
        stopped = stop::wait(&shared) => stopped.map_err(RunError::Signal),
        failed = reloads => failed.map_err(RunError::Signal),
    }
}

/// Serves callers; without this thread the node is of no use, so its failure ends the process.
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
    // Streams whose callers left are ended at their engines meanwhile.
    std::future::pending().await
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|source| RunError::Port { address, source })
}

async fn datagrams(address: SocketAddr) -> Result<UdpSocket, RunError> {
    UdpSocket::bind(address).await.map_err(|source| RunError::Port { address, source })
}
