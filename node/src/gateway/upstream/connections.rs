//! Connections to replicas: each carries one request at a time, and is used again only if
//! nothing about it is in doubt.

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
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::connect;
use log::info;
use tokio_util::task::AbortOnDropHandle;

use crate::clock;

/// An answered connection rests this long before it is used again: a surplus answer that
/// follows shows within some ms, and the connection is dropped.
const LEAST_REST: Duration = Duration::from_millis(20);
/// A connection is not used again when its peer may close it within this.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);
/// How long an unused connection is kept if the replica does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);
/// Bytes that are read ahead on a connection at most; the library's own bound is 25 times as much, which a hundred
/// large answers at once would all use.
const MOST_READ_AHEAD: usize = 16 << 10;
/// Unused connections kept for one replica: what a node needs at once at the busiest, as
/// replicas count the connections of all nodes together.
const MOST_UNUSED: usize = 4;

/// A connection that broke when it was used again shows that replicas forget unused ones
/// without a word: then only this part of its rest is trusted.
const TRUST_AFTER_BREAK: f64 = 0.6;
/// The trusted rest doubles after this time without such a break.
const TRUST_DOUBLES_IN: Duration = Duration::from_secs(10);

/// Which connection to a replica a request gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The unused one that rested longest, or a new one.
    Any,
    /// A new one: what is in doubt about the unused ones must not strike twice.
    New,
}

/// A connection to a replica; closed when dropped.
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
    /// How long it had rested, if it carried a request before.
    pub rested: Option<Duration>,
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
    since: Timestamp,
    until: Timestamp,
}

/// How long a rest of connections is trusted.
#[derive(Clone, Copy, Debug)]
struct Trust {
    rest: Duration,
    since: Timestamp,
}

impl Trust {
    fn rest(&self) -> Duration {
        let doublings = (clock::since_boot() - self.since).as_secs_f64() / TRUST_DOUBLES_IN.as_secs_f64();
        self.rest.mul_f64(2_f64.powf(doublings.min(16.0)))
    }
}

/// The unused connections of the traffic thread.
#[derive(Default)]
pub struct Connections {
    unused: RefCell<HashMap<Incarnation, VecDeque<Unused>>>,
    trust: Cell<Option<Trust>>,
}

impl Connections {
    /// A connection to a replica.
    pub async fn take(&self, replica: &ReplicaRecord, choice: Choice) -> Result<Connection, ConnectError> {
        let unused = (choice == Choice::Any).then(|| self.take_unused(&replica.incarnation())).flatten();
        match unused {
            Some(connection) => Ok(connection),
            None => open(replica).await,
        }
    }

    fn take_unused(&self, of: &Incarnation) -> Option<Connection> {
        let now = clock::since_boot();
        let mut unused = self.unused.borrow_mut();
        let queue = unused.get_mut(of)?;
        let trusted = self.trust.get().map_or(Duration::MAX, |trust| trust.rest());
        queue.retain(|u| u.until > now && u.connection.sender.is_ready() && now - u.since < trusted);
        let rested = now - queue.front()?.since;
        if rested < LEAST_REST {
            return None;
        }
        let mut connection = queue.pop_front()?.connection;
        connection.rested = Some(rested);
        Some(connection)
    }

    /// Drops the unused connections to a replica that have rested since before `moment`.
    pub fn drop_unused_since_before(&self, replica: &ReplicaRecord, moment: Timestamp) {
        if let Some(queue) = self.unused.borrow_mut().get_mut(&replica.incarnation()) {
            queue.retain(|u| u.since >= moment);
        }
    }

    /// A connection that had rested so long broke when it was used again.
    pub fn on_break(&self, rested: Duration) {
        let known = self.trust.get().map_or(Duration::MAX, |trust| trust.rest());
        let rest = rested.mul_f64(TRUST_AFTER_BREAK).min(known);
        info!(event = "rest_not_trusted", rested_ms = rested.as_millis() as u64, trusted_ms = rest.as_millis() as u64; "a connection broke when it was used again");
        self.trust.set(Some(Trust { rest, since: clock::since_boot() }));
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, replica: &ReplicaRecord, connection: Connection, keeps_for: Option<Duration>) {
        let now = clock::since_boot();
        let keep = keeps_for.unwrap_or(DEFAULT_KEEP).saturating_sub(CLOSE_MARGIN);
        let mut unused = self.unused.borrow_mut();
        let queue = unused.entry(replica.incarnation()).or_default();
        if queue.len() < MOST_UNUSED {
            queue.push_back(Unused { connection, since: now, until: now + keep });
        }
    }

    /// Closes what is no longer of use.
    pub fn sweep(&self) {
        let now = clock::since_boot();
        let mut unused = self.unused.borrow_mut();
        for queue in unused.values_mut() {
            queue.retain(|u| u.until > now && !u.connection.sender.is_closed());
        }
        unused.retain(|_, queue| !queue.is_empty());
    }
}

/// Opens a connection to a replica.
pub async fn open(replica: &ReplicaRecord) -> Result<Connection, ConnectError> {
    let stream = connect::connect(replica.address, connect::CONNECT_TIMEOUT).await?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MOST_READ_AHEAD);
    let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(async move {
        // What breaks the connection reaches the request on it.
        let _ = driver.await;
    });
    Ok(Connection { sender, _driver: AbortOnDropHandle::new(driver), rested: None })
}
