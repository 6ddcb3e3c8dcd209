//! Connections to replicas: each carries one request at a time, and is used again only if
//! nothing about it is in doubt.

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
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::connect;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// An answered connection rests this long before it is used again: a surplus answer that
/// follows shows within some ms, and the connection is dropped.
const LEAST_REST: Duration = Duration::from_millis(20);
/// A connection is not used again when its peer may close it within this.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);
/// How long an unused connection is kept if the replica does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);
/// Unused connections kept for one replica: what a node needs at once at the busiest, as
/// replicas count the connections of all nodes together.
const MOST_UNUSED: usize = 4;

/// A connection to a replica; closed when dropped.
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    /// Whether it carried a request before.
    pub reused: bool,
}

/// No connection came up: nothing was sent.
#[derive(Debug, Display, Error, From)]
pub enum ConnectError {
    /// The socket.
    Socket(io::Error),
    /// The client.
    Client(hyper::Error),
}

struct Unused {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// The unused connections of the traffic thread.
#[derive(Default)]
pub struct Connections {
    unused: RefCell<HashMap<UpstreamId, VecDeque<Unused>>>,
}

impl Connections {
    /// A connection to a replica: the one that rested longest, or a new one.
    pub async fn take(&self, replica: &ReplicaRecord) -> Result<Connection, ConnectError> {
        match self.take_unused(&replica.id) {
            Some(connection) => Ok(connection),
            None => open(replica).await,
        }
    }

    fn take_unused(&self, id: &UpstreamId) -> Option<Connection> {
        let now = Instant::now();
        let mut unused = self.unused.borrow_mut();
        let queue = unused.get_mut(id)?;
        queue.retain(|u| u.until > now && u.connection.sender.is_ready());
        let rested = queue.front().is_some_and(|u| now - u.since >= LEAST_REST);
        let mut connection = if rested { queue.pop_front()?.connection } else { return None };
        connection.reused = true;
        Some(connection)
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, id: &UpstreamId, connection: Connection, keeps_for: Option<Duration>) {
        let now = Instant::now();
        let keep = keeps_for.unwrap_or(DEFAULT_KEEP).saturating_sub(CLOSE_MARGIN);
        let mut unused = self.unused.borrow_mut();
        let queue = unused.entry(id.clone()).or_default();
        if queue.len() < MOST_UNUSED {
            queue.push_back(Unused { connection, since: now, until: now + keep });
        }
    }

    /// Closes what is no longer of use.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut unused = self.unused.borrow_mut();
        for queue in unused.values_mut() {
            queue.retain(|u| u.until > now && !u.connection.sender.is_closed());
        }
        unused.retain(|_, queue| !queue.is_empty());
    }
}

/// Opens a connection to a replica.
pub async fn open(replica: &ReplicaRecord) -> Result<Connection, ConnectError> {
    let stream = connect::connect(replica.address, connect::CONNECT_LIMIT).await?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(async move {
        // What breaks the connection reaches the request on it.
        let _ = driver.await;
    });
    Ok(Connection { sender, _driver: AbortOnDropHandle::new(driver), reused: false })
}
