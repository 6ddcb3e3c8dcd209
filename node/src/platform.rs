//! HTTP client for the platform's object API and VM list.

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
use leadstage_platform::json_repair;
use leadstage_platform::uri_part;
use log::warn;
use serde_json::value::RawValue;

/// Timeout for the start of a response. There is no timeout for a complete response: a list of 3,000 VMs
/// (0.3 MB) takes two seconds on a link with 150 kB/s to spare, and a limit of one second for the whole
/// response prevented it from ever being read.
const RESPONSE_START_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Levels of nesting down to the entries of the VM list.
const VM_LIST_LEVELS: u32 = 1;
/// How long the platform holds a watch request open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// An error of a request to the platform.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No response in time, no connection, or an unreadable response.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// The error of the HTTP client or of the parser.
        reason: String,
    },
    /// An unexpected HTTP status.
    #[display("HTTP status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
}

/// The result of reading an object.
#[derive(Debug)]
pub enum ReadResult {
    /// The object exists.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: Bytes,
    },
    /// The object does not exist.
    Absent,
    /// The watch ended without a change.
    Unchanged,
}

/// The result of a conditional write.
#[derive(Debug)]
enum WriteOutcome {
    /// The write took effect.
    Done {
        /// The new version.
        version: u64,
    },
    /// The object has a version other than the expected one.
    Conflict,
}

/// The result of reading the VM list.
#[derive(Debug)]
pub enum VmList {
    /// The list differs from the known version.
    Changed {
        /// Its version, if the platform reports one.
        version: Option<u64>,
        /// All VMs.
        records: Vec<VmRecord>,
    },
    /// The list still has the known version.
    Unchanged,
}

/// HTTP client for the platform; clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Platform {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(RESPONSE_START_TIMEOUT));
        Platform { address, client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request. The response must start within `limit`; then it may take any time as long as data
    /// keeps arriving.
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
        let sent = tokio::time::timeout(limit, self.client.request(req)).await;
        sent.map_err(|_| no_answer(format!("no response within {limit:?}")))?.map_err(no_answer)
    }

    /// The path of an object. The names in its key are encoded, as they may come from the VM list.
    fn path_of(key: &str) -> String {
        let segments: Vec<String> = key.split('/').map(uri_part::encode).collect();
        format!("/v1/objects/{}", segments.join("/"))
    }

    fn get_request(&self, path: &str) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{path}", self.address);
        Request::get(uri).body(Full::default()).expect("a valid request")
    }

    /// Reads an object.
    async fn read(&self, key: &str) -> Result<ReadResult, PlatformError> {
        let req = self.get_request(&Self::path_of(key));
        Self::to_read_result(self.call(req, RESPONSE_START_TIMEOUT).await?)
    }

    /// Waits until an object has a version higher than `after`, for a limited time.
    pub async fn watch(&self, key: &str, after: u64) -> Result<ReadResult, PlatformError> {
        let wait = WATCH_WAIT.as_millis();
        let req = self.get_request(&format!("{}?after={after}&wait_ms={wait}", Self::path_of(key)));
        Self::to_read_result(self.call(req, WATCH_WAIT + RESPONSE_START_TIMEOUT).await?)
    }

    fn to_read_result((status, etag, value): (u16, Option<u64>, Bytes)) -> Result<ReadResult, PlatformError> {
        match (status, etag) {
            (200, Some(version)) => Ok(ReadResult::Found { version, value }),
            (404, _) => Ok(ReadResult::Absent),
            (304, _) => Ok(ReadResult::Unchanged),
            _ => Err(PlatformError::Status { status }),
        }
    }

    /// Writes an object if it has version `expected`, where 0 means that it does not exist. The write may
    /// have taken effect even if an error is returned.
    async fn write(&self, key: &str, expected: u64, value: Vec<u8>) -> Result<WriteOutcome, PlatformError> {
        let uri = format!("http://{}{}", self.address, Self::path_of(key));
        let req = Request::put(uri).header("if-match", expected.to_string());
        let req = req.body(Full::from(value)).expect("a valid request");
        match self.call(req, RESPONSE_START_TIMEOUT).await? {
            (200, Some(version), _) => Ok(WriteOutcome::Done { version }),
            (412, _, _) => Ok(WriteOutcome::Conflict),
            (status, _, _) => Err(PlatformError::Status { status }),
        }
    }

    /// Reads an object's version and value; they are 0 and empty if it does not exist. Returns `None` when
    /// the read failed.
    pub async fn read_value(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        match self.read(key).await {
            Ok(ReadResult::Found { version, value }) => Some((version, value.to_vec())),
            Ok(ReadResult::Absent) => Some((0, Vec::new())),
            Ok(ReadResult::Unchanged) | Err(_) => None,
        }
    }

    /// Writes an object if it has version `expected`. The result distinguishes a conflict from a failure
    /// after which the write may have taken effect.
    pub async fn write_value(&self, key: &str, expected: u64, value: Vec<u8>) -> WriteResult {
        match self.write(key, expected, value).await {
            Ok(WriteOutcome::Done { version }) => WriteResult::Done { version },
            Ok(WriteOutcome::Conflict) => WriteResult::Conflict,
            Err(_) => WriteResult::Unknown,
        }
    }

    /// Reads the VM list if its version differs from `known`. Unreadable entries are logged and left out. The list
    /// is by far the largest object that a node reads, so it is transferred only when it has changed.
    pub async fn read_vms(&self, known: Option<u64>) -> Result<VmList, PlatformError> {
        let mut req = self.get_request("/v1/vms");
        if let Some(known) = known {
            req.headers_mut().insert("if-none-match", known.into());
        }
        let (status, version, body) = self.call(req, RESPONSE_START_TIMEOUT).await?;
        match status {
            200 => Ok(VmList::Changed { version, records: parse_vms(&body)? }),
            304 => Ok(VmList::Unchanged),
            _ => Err(PlatformError::Status { status }),
        }
    }
}

/// Parses the entries of the VM list one by one, so that an unreadable one affects no other. A list without any
/// readable entry is an error, as it does not show that all VMs are gone.
fn parse_vms(body: &[u8]) -> Result<Vec<VmRecord>, PlatformError> {
    let entries: Vec<Box<RawValue>> = json_repair::parse(body, VM_LIST_LEVELS).map_err(no_answer)?;
    let mut records = Vec::with_capacity(entries.len());
    let mut first_error = None;
    for entry in &entries {
        match serde_json::from_str(entry.get()) {
            Ok(record) => records.push(record),
            Err(err) => drop(first_error.get_or_insert(err)),
        }
    }
    let unreadable = entries.len() - records.len();
    match first_error {
        Some(err) if records.is_empty() => Err(no_answer(err)),
        Some(err) => {
            warn!(event = "vms_unreadable", vms = unreadable, reason:% = err; "cannot read some entries of the VM list");
            Ok(records)
        }
        None => Ok(records),
    }
}

fn no_answer(reason: impl ToString) -> PlatformError {
    PlatformError::NoAnswer { reason: reason.to_string() }
}
