//! The client of the platform's object API and VM list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use leadstage_lib::claim_writer::WriteResult;
use leadstage_lib::upstreams::VmRecord;
use leadstage_platform::connect::read_body;

/// A call whose answer has not begun for this long counts as failed. No limit holds for the whole
/// of an answer: a list of 3,000 VMs (0.3 MB) on a link that has 150 kB/s left takes two seconds,
/// and was never read whole while it had to be there within one.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// A watch waits this long for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// A call to the platform failed.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No answer in time, or no connection.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// What the client said.
        reason: String,
    },
    /// An answer that is no success.
    #[display("HTTP status {status}")]
    Status {
        /// The status.
        status: u16,
    },
}

/// What a read found.
#[derive(Debug)]
pub enum Read {
    /// The object with its version.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: Bytes,
    },
    /// There is no such object.
    Absent,
    /// The watch ended without a change.
    Unchanged,
}

/// How a conditional update ended.
#[derive(Debug)]
enum Written {
    /// It took effect.
    Done {
        /// The new version.
        version: u64,
    },
    /// The object had another version.
    Conflict,
}

/// What a read of the VM list found.
#[derive(Debug)]
pub enum VmList {
    /// It is another one.
    Changed {
        /// Its version, where the platform tells one.
        version: Option<u64>,
        /// All VMs.
        records: Vec<VmRecord>,
    },
    /// It is the known one.
    Unchanged,
}

/// The client; clones share their connections.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Platform {
    /// A client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_LIMIT));
        Platform { address, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request whose answer must begin within `limit`, and then may take as long as it
    /// comes on.
    async fn call(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(u16, Option<u64>, Bytes), PlatformError> {
        let (head, mut body) = self.send(req, limit).await?.into_parts();
        let etag = head.headers.get("etag").and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
        let mut buf = BytesMut::new();
        read_body(&mut body, &mut buf).await.map_err(no_answer)?;
        Ok((head.status.as_u16(), etag, buf.freeze()))
    }

    async fn send(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, PlatformError> {
        let sending = tokio::time::timeout(limit, self.client.request(req)).await;
        sending.map_err(|_| no_answer(format!("nothing within {limit:?}")))?.map_err(no_answer)
    }

    fn get_request(&self, path: &str) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{path}", self.address);
        Request::get(uri).body(Full::default()).expect("a valid request")
    }

    /// Reads an object.
    async fn read(&self, key: &str) -> Result<Read, PlatformError> {
        let req = self.get_request(&format!("/v1/objects/{key}"));
        Self::as_read(self.call(req, CALL_LIMIT).await?)
    }

    /// Waits until an object has a higher version than `after`.
    pub async fn watch(&self, key: &str, after: u64) -> Result<Read, PlatformError> {
        let wait = WATCH_WAIT.as_millis();
        let req = self.get_request(&format!("/v1/objects/{key}?after={after}&wait_ms={wait}"));
        Self::as_read(self.call(req, WATCH_WAIT + CALL_LIMIT).await?)
    }

    fn as_read((status, etag, value): (u16, Option<u64>, Bytes)) -> Result<Read, PlatformError> {
        match (status, etag) {
            (200, Some(version)) => Ok(Read::Found { version, value }),
            (404, _) => Ok(Read::Absent),
            (304, _) => Ok(Read::Unchanged),
            _ => Err(PlatformError::Status { status }),
        }
    }

    /// Writes an object if it still has version `expected`, 0 for absent. An error
    /// may mean that it took effect.
    async fn write(&self, key: &str, expected: u64, value: Vec<u8>) -> Result<Written, PlatformError> {
        let uri = format!("http://{}/v1/objects/{key}", self.address);
        let req = Request::put(uri).header("if-match", expected.to_string());
        let req = req.body(Full::from(value)).expect("a valid request");
        match self.call(req, CALL_LIMIT).await? {
            (200, Some(version), _) => Ok(Written::Done { version }),
            (412, _, _) => Ok(Written::Conflict),
            (status, _, _) => Err(PlatformError::Status { status }),
        }
    }

    /// Reads an object for a decision: version and value, (0, empty) when it is absent,
    /// `None` when the read failed.
    pub async fn read_value(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        match self.read(key).await {
            Ok(Read::Found { version, value }) => Some((version, value.to_vec())),
            Ok(Read::Absent) => Some((0, Vec::new())),
            Ok(Read::Unchanged) | Err(_) => None,
        }
    }

    /// Writes an object for a decision, which tells a conflict from a lost answer.
    pub async fn write_value(&self, key: &str, expected: u64, value: Vec<u8>) -> WriteResult {
        match self.write(key, expected, value).await {
            Ok(Written::Done { version }) => WriteResult::Done { version },
            Ok(Written::Conflict) => WriteResult::Conflict,
            Err(_) => WriteResult::Unknown,
        }
    }

    /// Reads the VM list if it differs from the one with version `known`. Whole, it is
    /// by far the largest thing that a node reads; so it is read only when it changed.
    pub async fn vms(&self, known: Option<u64>) -> Result<VmList, PlatformError> {
        let mut req = self.get_request("/v1/vms");
        if let Some(known) = known {
            req.headers_mut().insert("if-none-match", known.into());
        }
        let (status, version, body) = self.call(req, CALL_LIMIT).await?;
        match status {
            200 => {
                let read = serde_json::from_slice(&body);
                let records = read.map_err(no_answer)?;
                Ok(VmList::Changed { version, records })
            }
            304 => Ok(VmList::Unchanged),
            _ => Err(PlatformError::Status { status }),
        }
    }
}

fn no_answer(reason: impl ToString) -> PlatformError {
    PlatformError::NoAnswer { reason: reason.to_string() }
}
