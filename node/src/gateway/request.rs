//! Admits a caller's request: finds its route and organisation, determines its deadline and reads its body.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::part_blame::MAX_PARTS;
use leadstage_lib::gateway::prefill;
use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::Organisation;
use leadstage_lib::gateway::routing::Route;
use leadstage_lib::gateway::routing::RouteError;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::engine::Resume;
use leadstage_platform::headers;
use leadstage_platform::headers::AddedHeaders;
use tokio::time::Instant;

use crate::clock;
use crate::gateway::held_bytes;
use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::held_bytes::HeldGuard;
use crate::gateway::observability::metrics::RequestOutcome;
use crate::gateway::reply::Refusal;
use crate::gateway::shared::Shared;

/// Priority levels within one rank of organisations.
const LEVELS_PER_RANK: u8 = 3;
/// The lowest priority; a higher number is less urgent.
const LOWEST_PRIORITY: u8 = 9;

/// Minimum time in which a replica responds: a short call and the network round trip.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(20);

/// How long a node that has just started delays a request. It reads the configuration and the list of
/// replicas in some tens of milliseconds. A caller that is refused at once would retry at another node,
/// which has just started too after a power loss of all nodes: 100 nodes that started at once refused 69
/// requests in the first second while they had the configuration and not yet the list.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay of callers that a starting node refuses. Nodes usually start one by one and within some tens
/// of milliseconds, but when all start at once, as after a power loss, they wait for the store, and a
/// caller that retries too early is refused by another starting node.
const START_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay of callers whose route or key is unknown to a node that lacks a newer configuration: it
/// usually arrives within some tenths of a second.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry delay of callers that a node refuses because it holds as many bytes as its memory allows.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted request of a caller, with its whole body.
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The organisation that it is made for; `None` where there are no organisations.
    pub organisation: Option<Arc<Organisation>>,
    /// The routing table that it was admitted with.
    pub table: Arc<RoutingTable>,
    /// The service that serves it.
    pub service: ServiceId,
    /// When it was received.
    pub received_at: Instant,
    /// Time from the VM's boot until it was received, including suspensions of the VM.
    received_since_boot: Timestamp,
    /// The caller's deadline or the route's timeout, whichever is shorter.
    timeout: Duration,
    /// Its fingerprint, computed on first use.
    fingerprint: OnceLock<Fingerprint>,
    part_names: OnceLock<Vec<SuspectName>>,
    /// Replicas at which runs of this attempt broke, perhaps because the replicas ended while they ran it.
    pub broken_at: Mutex<Vec<ReplicaRecord>>,
    /// Number of replicas that it was sent to and that did not report that they had not run it.
    possible_runs: AtomicU32,
    /// The node's memory that its body occupies.
    _held: HeldGuard,
}

impl CallerRequest {
    /// The caller's id of this attempt, for logs and requests to replicas.
    pub fn id(&self) -> &str {
        headers::text(&self.headers, &headers::REQUEST_ID).unwrap_or("")
    }

    /// The fingerprint, which all requests with equal [`Self::parts`] share. The first call hashes the body.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| Fingerprint::of(&self.parts()))
    }

    /// Names of the parts of its prompt that other requests may share, for its organisation and, if there are
    /// organisations, for all of them. The first call hashes the parts.
    pub fn part_names(&self) -> &[SuspectName] {
        self.part_names.get_or_init(|| {
            let parts = headers::shared_parts(&self.headers).take(MAX_PARTS);
            let names_of = |part| {
                let (organisation, name) = (self.organisation.as_ref(), self.organisation_label());
                let own = SuspectName::of_part(&self.service, name, part);
                [own]
                    .into_iter()
                    .chain(organisation.map(|_| SuspectName::of_shared_part(&self.service, part)))
            };
            parts.flat_map(names_of).collect()
        })
    }

    /// All names under which it may be a suspect.
    pub fn suspect_names(&self) -> Vec<SuspectName> {
        let request = SuspectName::of_request(self.fingerprint());
        self.part_names().iter().copied().chain([request]).collect()
    }

    /// The parts that its caller sends again when it retries.
    pub fn parts(&self) -> RequestParts<'_> {
        RequestParts {
            method: self.method.as_str(),
            host: host(&self.uri, &self.headers),
            path: self.uri.path_and_query().map_or("/", |path| path.as_str()),
            organisation: self.organisation_label(),
            body: &self.body,
        }
    }

    /// Waits until a configuration is in force in which its caller's key is no longer valid.
    pub async fn until_key_invalid(&self, shared: &Shared) {
        let mut versions = shared.config_versions();
        loop {
            let is_invalid = |table: Arc<RoutingTable>| {
                table.organisation(&self.route, headers::api_key(&self.headers)).is_err()
            };
            if shared.table().is_some_and(is_invalid) {
                return;
            }
            if versions.changed().await.is_err() {
                // No further configuration follows: the node stops.
                return std::future::pending().await;
            }
        }
    }

    /// Records that it is sent to a replica.
    pub fn on_sending(&self) {
        self.possible_runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a replica reported that it did not run it.
    pub fn on_not_run(&self) {
        self.possible_runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a replica may have run it.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs.load(Ordering::Relaxed) > 0
    }

    /// Time since it was received, including suspensions of the VM, during which the caller keeps waiting.
    fn age(&self) -> Duration {
        clock::since_boot().saturating_sub(self.received_since_boot)
    }

    /// Time until it is abandoned.
    pub fn time_left(&self) -> Duration {
        self.timeout.saturating_sub(self.age())
    }

    /// When it is abandoned, for a timer that is armed now; in the past if it should have been abandoned
    /// already.
    pub fn deadline(&self) -> Instant {
        let (now, age) = (Instant::now(), self.age());
        match self.timeout.checked_sub(age) {
            Some(left) => now + left,
            None => now.checked_sub(age - self.timeout).unwrap_or(now),
        }
    }

    /// Time until its first event is due.
    pub fn first_event_due(&self) -> Duration {
        self.route.objective.saturating_sub(self.age())
    }

    /// Time until its caller disconnects or its deadline passes if no event arrives; at least the time
    /// until the first event is due.
    pub fn time_until_caller_leaves(&self) -> Duration {
        let silent = self.route.caller_patience().saturating_sub(self.age());
        silent.min(self.time_left()).max(self.first_event_due())
    }

    /// The size of the generation that it requests, limited to an engine's KV cache memory: a larger size
    /// that a caller states must not count as hours of prefill.
    pub fn generation_size(&self) -> GenerationSize {
        let stated = headers::size(&self.headers);
        let expected = stated.length_hint.unwrap_or(stated.max_tokens).min(stated.max_tokens);
        let engine = self.table.service(&self.service).and_then(|service| service.engine.as_ref());
        let memory_tokens = engine.map_or(u32::MAX, |engine| engine.memory_tokens);
        GenerationSize {
            prompt: stated.prompt_tokens.min(memory_tokens),
            expected: expected.min(memory_tokens),
        }
    }

    /// Maximum number of tokens that it may generate.
    pub fn max_tokens(&self) -> u32 {
        headers::size(&self.headers).max_tokens
    }

    /// The name of the organisation that it is made for.
    pub fn organisation_name(&self) -> Option<OrganisationId> {
        self.organisation.as_ref().map(|organisation| organisation.name.clone())
    }

    /// The name of the organisation for logs; empty if there is none.
    pub fn organisation_label(&self) -> &str {
        self.organisation.as_ref().map_or("", |organisation| &organisation.name)
    }

    /// The outcome for its organisation if it is answered now, in full, with a status of its replica.
    pub fn outcome_of_answer(&self, status: StatusCode) -> RequestOutcome {
        if status.is_server_error() {
            RequestOutcome::Failed
        } else if self.route.is_late(self.received_at.elapsed()) {
            RequestOutcome::Late
        } else {
            RequestOutcome::InTime
        }
    }

    /// The regions in which it may be served: those that both its route and its organisation allow.
    pub fn regions(&self) -> AllowedRegions {
        let of_organisation = self.organisation.as_ref().map(|organisation| &organisation.regions);
        self.route.regions.intersection(of_organisation.unwrap_or(&AllowedRegions::ANY))
    }

    /// The last event that its caller received in an earlier attempt, if streams of its route can be
    /// resumed.
    pub fn last_event(&self) -> Option<&str> {
        headers::text(&self.headers, &headers::LAST_EVENT_ID).filter(|_| self.route.resumable)
    }

    /// Whether it may be sent to one more replica after `sent`, regardless of the retry budget: with less
    /// time left than a replica needs to respond, the work would be wasted.
    pub fn allows_retry(&self, sent: u32) -> bool {
        let min_time = MIN_RESPONSE_TIME + prefill::default_prefill_time(self.generation_size().prompt);
        self.route.is_repeatable() && sent < self.route.max_attempts && self.time_left() > min_time
    }

    /// What leadstage adds to its headers for a replica.
    pub fn added<'a>(&'a self, target: &'a str, resume: Option<&'a Resume>) -> AddedHeaders<'a> {
        AddedHeaders {
            deadline: self.time_left(),
            target,
            organisation: self.organisation.as_ref().map(|o| &*o.name),
            priority: Some(self.engine_priority()),
            resume,
        }
    }

    /// Priority at an engine: the organisation's rank alone. The routes of one organisation are ordered by
    /// priority at the lead. At an engine a more urgent generation would preempt running ones, whose
    /// prompts then need another prefill: 580,000 tokens of 15.4 million in 34 s on full engines, 207,000
    /// without.
    pub fn engine_priority(&self) -> u8 {
        let organisation = self.organisation.as_ref().map_or(0, |o| o.priority);
        organisation.saturating_mul(LEVELS_PER_RANK).min(LOWEST_PRIORITY)
    }

    /// Priority at the lead: the organisation's rank, then the route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref().map_or(0, |o| o.priority);
        let route = self.route.priority.min(LEVELS_PER_RANK - 1);
        organisation.saturating_mul(LEVELS_PER_RANK).saturating_add(route).min(LOWEST_PRIORITY)
    }
}

/// Admits a request, or returns the refusal.
pub async fn admit(shared: &Shared, req: Request<Incoming>) -> Result<CallerRequest, Refusal> {
    let (received_at, received_since_boot) = (Instant::now(), clock::since_boot());
    let not_ready = Refusal { code: Code::NotReady, retry_after: Some(START_RETRY_AFTER) };
    if !shared.wait_until_serving(START_TIMEOUT).await {
        return Err(not_ready);
    }
    let table = shared.table().ok_or(not_ready)?;
    let (head, body) = req.into_parts();
    let refuse = |err| refuse(err, shared.lacks_newer_config());
    let route = table.route(host(&head.uri, &head.headers), head.uri.path()).map_err(refuse)?;
    let organisation = table.organisation(&route, headers::api_key(&head.headers)).map_err(refuse)?;
    let timeout = headers::deadline(&head.headers).unwrap_or(route.timeout).min(route.timeout);
    if !shared.held.accepts_requests() {
        return Err(memory_full());
    }
    let (body, held) = read_body(&shared.held, body, table.limits.body_bytes, received_at + timeout).await?;
    let service = route.pick_target(&mut rand::rng()).cloned().ok_or(Refusal::new(Code::NoUpstream))?;
    let uri = path_and_query(&head.uri);
    Ok(CallerRequest {
        method: head.method,
        uri,
        headers: head.headers,
        body,
        route,
        organisation,
        table,
        service,
        received_at,
        received_since_boot,
        timeout,
        fingerprint: OnceLock::new(),
        part_names: OnceLock::new(),
        broken_at: Mutex::default(),
        possible_runs: AtomicU32::new(0),
        _held: held,
    })
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    headers::text(headers, &header::HOST).or_else(|| uri.host()).unwrap_or("")
}

fn path_and_query(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Refuses a request that has no route or an unknown key. While a newer configuration is on its way, which
/// may allow the request, the refusal asks for a retry.
fn refuse(err: RouteError, lacks_newer_config: bool) -> Refusal {
    if lacks_newer_config {
        return Refusal { code: Code::NotReady, retry_after: Some(CONFIG_RETRY_AFTER) };
    }
    Refusal::new(match err {
        RouteError::NoRoute => Code::NoRoute,
        RouteError::UnknownKey => Code::Unauthorised,
    })
}

/// Refuses a request for lack of memory. Held bytes are released as callers and replicas read them, some of
/// them within a second.
fn memory_full() -> Refusal {
    Refusal { code: Code::MemoryFull, retry_after: Some(MEMORY_RETRY_AFTER) }
}

async fn read_body(
    memory: &Arc<HeldBytes>,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<(Bytes, HeldGuard), Refusal> {
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok((Bytes::new(), memory.empty_guard()));
    }
    let body_read = held_bytes::collect(Limited::new(body, limit), async |bytes| memory.try_acquire(bytes));
    match tokio::time::timeout_at(deadline, body_read).await {
        Ok(Ok(Some((body, held)))) => Ok((body, held.unwrap_or_else(|| memory.empty_guard()))),
        Ok(Ok(None)) => Err(memory_full()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Refusal::new(Code::BodyTooLarge)),
        // The caller's connection broke: no one receives this response.
        Ok(Err(_)) => Err(Refusal::new(Code::BadRequest)),
        Err(_) => Err(Refusal::new(Code::SlowBody)),
    }
}
