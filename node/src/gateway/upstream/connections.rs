//! Connections to replicas. A connection carries one request at a time and is reused only if its
//! state is known.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http_body_util::Full;
use hyper::client::conn::http1;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::connect::Dial;
use leadstage_platform::head_bound;
use leadstage_platform::head_bound::RequestSender;
use log::info;
use tokio_util::task::AbortOnDropHandle;

use crate::clock;
use crate::gateway::replica_dialer::ReplicaDialer;

/// Minimum idle time before a connection is reused. A surplus response to the previous request arrives
/// within a few milliseconds, and the connection is then dropped.
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// A connection is not reused if its peer may close it within this time.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);
/// How long an idle connection is kept if the replica does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Maximum size of a connection's read buffer. The default of hyper is 25 times as large, and a hundred
/// large responses at once would use all of it.
const MAX_READ_BUFFER_BYTES: usize = 16 << 10;
/// Maximum number of idle connections per replica: as many as one node needs at peak load, because a
/// replica's connection count covers all nodes.
const MAX_IDLE_PER_REPLICA: usize = 4;

/// A reused connection that breaks shows that replicas drop idle connections without notice. Connections
/// are then reused only up to this fraction of the idle time of the broken one.
const IDLE_LIMIT_FACTOR_AFTER_BREAK: f64 = 0.6;
/// The idle limit doubles each time this passes without such a break.
const IDLE_LIMIT_DOUBLES_IN: Duration = Duration::from_secs(10);

/// Which connection to a replica a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The connection that has been idle longest, or a new one.
    Any,
    /// A new connection, so that a fault of the idle ones can't affect the request twice.
    New,
}

/// A connection to a replica; closed when dropped.
pub struct Connection {
    /// Sends requests.
    pub sender: RequestSender<Full<Bytes>>,
    /// Whether it leads to the replica directly, not through another node.
    pub is_direct: bool,
    _driver: AbortOnDropHandle<()>,
    /// How long the connection was idle before this request, if it carried a request before.
    pub idle_time: Option<Duration>,
}

/// Opening a connection failed: nothing was sent.
#[derive(Debug, Display, Error, From)]
pub enum ConnectError {
    /// The TCP connection could not be opened.
    Socket(io::Error),
    /// The HTTP handshake failed.
    Client(hyper::Error),
}

impl ConnectError {
    /// Whether the failure shows nothing about the replica, as no node that was asked has a path.
    pub fn is_path_lost(&self) -> bool {
        matches!(self, ConnectError::Socket(err) if err.kind() == io::ErrorKind::NetworkUnreachable)
    }
}

struct IdleConnection {
    connection: Connection,
    since: Timestamp,
    until: Timestamp,
}

/// How long a connection may be idle and still be reused.
#[derive(Clone, Copy, Debug)]
struct IdleLimit {
    limit: Duration,
    since: Timestamp,
}

impl IdleLimit {
    fn limit(&self) -> Duration {
        let doublings =
            (clock::since_boot() - self.since).as_secs_f64() / IDLE_LIMIT_DOUBLES_IN.as_secs_f64();
        self.limit.mul_f64(2_f64.powf(doublings.min(16.0)))
    }
}

/// The idle connections of the traffic thread.
#[derive(Default)]
pub struct IdleConnections {
    idle: RefCell<HashMap<Incarnation, VecDeque<IdleConnection>>>,
    idle_limit: Cell<Option<IdleLimit>>,
}

impl IdleConnections {
    /// Returns a connection to a replica.
    pub async fn take(
        &self,
        dialer: &ReplicaDialer,
        replica: &ReplicaRecord,
        choice: ConnectionChoice,
    ) -> Result<Connection, ConnectError> {
        self.keep_only(replica, !dialer.lacks_path(replica.address));
        let idle =
            (choice == ConnectionChoice::Any).then(|| self.take_idle(&replica.incarnation())).flatten();
        match idle {
            Some(connection) => Ok(connection),
            None => open(dialer, replica).await,
        }
    }

    fn take_idle(&self, incarnation: &Incarnation) -> Option<Connection> {
        let now = clock::since_boot();
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(incarnation)?;
        let limit = self.idle_limit.get().map_or(Duration::MAX, |idle_limit| idle_limit.limit());
        queue.retain(|c| c.until > now && c.connection.sender.is_ready() && now - c.since < limit);
        let idle_time = now - queue.front()?.since;
        if idle_time < MIN_IDLE_TIME {
            return None;
        }
        let mut connection = queue.pop_front()?.connection;
        connection.idle_time = Some(idle_time);
        Some(connection)
    }

    /// Drops the idle connections to a replica that are not direct, or those that are: while the path is lost
    /// they may be as silent as new ones would be, and once it is back other nodes need not carry any.
    fn keep_only(&self, replica: &ReplicaRecord, direct: bool) {
        if let Some(queue) = self.idle.borrow_mut().get_mut(&replica.incarnation()) {
            queue.retain(|c| c.connection.is_direct == direct);
        }
    }

    /// Drops the idle connections to a replica that have been idle since before `moment`.
    pub fn drop_idle_since_before(&self, replica: &ReplicaRecord, moment: Timestamp) {
        if let Some(queue) = self.idle.borrow_mut().get_mut(&replica.incarnation()) {
            queue.retain(|c| c.since >= moment);
        }
    }

    /// Lowers the idle limit after a connection broke that was reused after it had been idle for
    /// `idle_time`.
    pub fn on_break(&self, idle_time: Duration) {
        let known = self.idle_limit.get().map_or(Duration::MAX, |idle_limit| idle_limit.limit());
        let limit = idle_time.mul_f64(IDLE_LIMIT_FACTOR_AFTER_BREAK).min(known);
        info!(event = "rest_not_trusted", rested_ms = idle_time.as_millis() as u64, trusted_ms = limit.as_millis() as u64; "a reused connection broke; lowering the idle limit");
        self.idle_limit.set(Some(IdleLimit { limit, since: clock::since_boot() }));
    }

    /// Keeps a connection whose response was read to its end.
    pub fn put(&self, replica: &ReplicaRecord, connection: Connection, keep_alive: Option<Duration>) {
        let now = clock::since_boot();
        let kept_for = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(CLOSE_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(replica.incarnation()).or_default();
        if queue.len() < MAX_IDLE_PER_REPLICA {
            queue.push_back(IdleConnection { connection, since: now, until: now + kept_for });
        }
    }

    /// Closes idle connections that can't be reused any more.
    pub fn sweep(&self) {
        let now = clock::since_boot();
        let mut idle = self.idle.borrow_mut();
        for queue in idle.values_mut() {
            queue.retain(|c| c.until > now && !c.connection.sender.is_closed());
        }
        idle.retain(|_, queue| !queue.is_empty());
    }
}

/// Opens a connection to a replica.
async fn open(dialer: &ReplicaDialer, replica: &ReplicaRecord) -> Result<Connection, ConnectError> {
    let stream = dialer.dial(replica.address).await?;
    let is_direct = stream.peer_addr()? == replica.address;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_READ_BUFFER_BYTES);
    let (sender, driver) = head_bound::handshake(&builder, stream).await?;
    let driver = tokio::task::spawn_local(async move {
        // The request on the connection gets the error that ends the connection.
        let _ = driver.await;
    });
    Ok(Connection { sender, is_direct, _driver: AbortOnDropHandle::new(driver), idle_time: None })
}
