//! Takes a caller's request in: its route, its organisation, its body and its deadline.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use leadstage_lib::code::Code;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::prefill;
use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::Organisation;
use leadstage_lib::gateway::routing::Route;
use leadstage_lib::gateway::routing::RouteError;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::engine::Resume;
use leadstage_platform::headers;
use leadstage_platform::headers::AddedHeaders;
use tokio::time::Instant;

use crate::clock;
use crate::gateway::held_bytes;
use crate::gateway::held_bytes::Held;
use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::reply::Refusal;
use crate::gateway::shared::Shared;

/// Urgency levels at an engine for one rank of organisations.
const ROUTE_RANKS: u8 = 3;
/// The least urgent level at an engine.
const LEAST_URGENT: u8 = 9;

/// Time that a replica needs at least for an answer: a short call and the way there and back.
const LEAST_TO_ANSWER: Duration = Duration::from_millis(20);

/// How long a request is held by a node that has just started. It reads the configuration and the
/// list of replicas in some tens of milliseconds; refused at once, a caller would come back to
/// another node, which has just started too after all lost power: 100 nodes that started at once
/// refused 69 requests in the first second while they had the configuration and not yet the list.
const START_PATIENCE: Duration = Duration::from_millis(500);

/// When callers come back that a starting node refused. Nodes usually start one by one and
/// within some tens of milliseconds, but all at once, as after a loss of power, they wait for
/// the store; who comes back too early is refused by another starting node.
const STARTS_WITHIN: Duration = Duration::from_secs(1);

/// When callers come back whose route or key is not known to a node that lacks a newer
/// configuration: it usually comes within some tenths of a second.
const CONFIG_COMES_WITHIN: Duration = Duration::from_millis(200);

/// When callers come back that a node refused which holds as much as its memory bears.
const MEMORY_FREED_WITHIN: Duration = Duration::from_secs(1);

/// A caller's request, read whole and admitted.
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
    /// On whose behalf; `None` where there are no organisations.
    pub organisation: Option<Arc<Organisation>>,
    /// The configuration that admitted it.
    pub table: Arc<RoutingTable>,
    /// The service that takes it.
    pub service: ServiceId,
    /// When it came.
    pub came: Instant,
    /// The same, by the time since the VM's start.
    came_at: Timestamp,
    /// How long its caller waits, or its route holds it.
    patience: Duration,
    /// Its fingerprint, once somebody has asked for it.
    fingerprint: OnceLock<Fingerprint>,
    /// Where runs of this attempt broke, perhaps because their replicas ended under it.
    pub broken_at: Mutex<Vec<ReplicaRecord>>,
    /// What its body takes of the node's memory.
    _held: Held,
}

impl CallerRequest {
    /// The caller's id of this attempt, for logs and calls.
    pub fn id(&self) -> &str {
        headers::text(&self.headers, &headers::REQUEST_ID).unwrap_or("")
    }

    /// What names it and all that are like it. The first question costs a hash of the body.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| Fingerprint::of(&self.parts()))
    }

    /// What its caller sends again when it comes back.
    pub fn parts(&self) -> RequestParts<'_> {
        RequestParts {
            method: self.method.as_str(),
            host: host(&self.uri, &self.headers),
            path: self.uri.path_and_query().map_or("/", |path| path.as_str()),
            organisation: self.organisation.as_ref().map_or("", |organisation| &organisation.name),
            body: &self.body,
        }
    }

    /// Time since it came. While the VM is suspended its caller's time goes on.
    fn age(&self) -> Duration {
        clock::since_boot().saturating_sub(self.came_at)
    }

    /// Time until it is given up.
    pub fn left(&self) -> Duration {
        self.patience.saturating_sub(self.age())
    }

    /// When it is given up, for a timer that is armed now.
    pub fn until(&self) -> Instant {
        Instant::now() + self.left()
    }

    /// Time until its first event is due.
    pub fn first_event_due(&self) -> Duration {
        self.route.objective.saturating_sub(self.age())
    }

    /// Time until its caller leaves or its deadline passes, if no event comes; no less than until the first is due.
    pub fn caller_leaves(&self) -> Duration {
        let silent = self.route.caller_patience().saturating_sub(self.age());
        silent.min(self.left()).max(self.first_event_due())
    }

    /// The size of the generation that it asks for, no larger than an engine's memory: what a
    /// caller says beyond that must not count for hours of reading.
    pub fn generation_size(&self) -> GenerationSize {
        let said = headers::size(&self.headers);
        let expected = said.length_hint.unwrap_or(said.max_tokens).min(said.max_tokens);
        let engine = self.table.service(&self.service).and_then(|service| service.engine.as_ref());
        let most = engine.map_or(u32::MAX, |engine| engine.memory_tokens);
        GenerationSize { prompt: said.prompt_tokens.min(most), expected: expected.min(most) }
    }

    /// The most tokens that it may make.
    pub fn most_tokens(&self) -> u32 {
        headers::size(&self.headers).max_tokens
    }

    /// Where it may be served: both its route and its organisation bind.
    pub fn regions(&self) -> AllowedRegions {
        let of_organisation = self.organisation.as_ref().map(|organisation| &organisation.regions);
        self.route.regions.intersection(of_organisation.unwrap_or(&AllowedRegions::ANY))
    }

    /// The last event that its caller has from an earlier attempt, where that counts.
    pub fn last_event(&self) -> Option<&str> {
        headers::text(&self.headers, &headers::LAST_EVENT_ID).filter(|_| self.route.resumable)
    }

    /// Whether it may be sent to one more replica after `sent`, the retry budget aside: with less
    /// time than a replica needs to answer, that would work in vain.
    pub fn may_repeat(&self, sent: u32) -> bool {
        let needs = LEAST_TO_ANSWER + prefill::default_prefill_time(self.generation_size().prompt);
        self.route.is_repeatable() && sent < self.route.max_attempts && self.left() > needs
    }

    /// What leadstage adds to it for an engine.
    pub fn added<'a>(&'a self, target: &'a str, resume: Option<&'a Resume>) -> AddedHeaders<'a> {
        AddedHeaders {
            deadline: self.left(),
            target,
            organisation: self.organisation.as_ref().map(|o| &*o.name),
            priority: Some(self.engine_priority()),
            resume,
        }
    }

    /// Urgency at an engine: the organisation's rank alone. Kinds of one organisation wait in turn at the
    /// lead; at an engine a more urgent one would preempt others that run, whose prompts are then read
    /// again: 580,000 tokens of 15.4 million in 34 s on full engines, 207,000 without.
    pub fn engine_priority(&self) -> u8 {
        let organisation = self.organisation.as_ref().map_or(0, |o| o.priority);
        organisation.saturating_mul(ROUTE_RANKS).min(LEAST_URGENT)
    }

    /// Urgency at the lead: the organisation's rank, then the route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref().map_or(0, |o| o.priority);
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        organisation.saturating_mul(ROUTE_RANKS).saturating_add(route).min(LEAST_URGENT)
    }
}

/// Admits a request, or says why not.
pub async fn admit(shared: &Shared, req: Request<Incoming>) -> Result<CallerRequest, Refusal> {
    let (came, came_at) = (Instant::now(), clock::since_boot());
    let not_ready = Refusal { code: Code::NotReady, retry_after: Some(STARTS_WITHIN) };
    if !shared.started(START_PATIENCE).await {
        return Err(not_ready);
    }
    let table = shared.table().ok_or(not_ready)?;
    let (head, body) = req.into_parts();
    let refuse = |unrouted| refuse(unrouted, shared.lacks_newer_config());
    let route = table.route(host(&head.uri, &head.headers), head.uri.path()).map_err(refuse)?;
    let organisation = table.organisation(&route, headers::api_key(&head.headers)).map_err(refuse)?;
    let patience = headers::deadline(&head.headers).unwrap_or(route.timeout).min(route.timeout);
    if !shared.held.takes_requests() {
        return Err(memory_full());
    }
    let (body, held) = read_body(&shared.held, body, table.limits.body_bytes, came + patience).await?;
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
        came,
        came_at,
        patience,
        fingerprint: OnceLock::new(),
        broken_at: Mutex::default(),
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

/// What a newer configuration may allow is not denied while that is on its way.
fn refuse(unrouted: RouteError, lacks_newer_config: bool) -> Refusal {
    if lacks_newer_config {
        return Refusal { code: Code::NotReady, retry_after: Some(CONFIG_COMES_WITHIN) };
    }
    Refusal::new(match unrouted {
        RouteError::NoRoute => Code::NoRoute,
        RouteError::UnknownKey => Code::Unauthorised,
    })
}

/// What the node holds goes as callers and replicas take it, some of it within a second.
fn memory_full() -> Refusal {
    Refusal { code: Code::MemoryFull, retry_after: Some(MEMORY_FREED_WITHIN) }
}

async fn read_body(
    node: &Arc<HeldBytes>,
    body: Incoming,
    limit: usize,
    until: Instant,
) -> Result<(Bytes, Held), Refusal> {
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok((Bytes::new(), node.nothing()));
    }
    let prefill = held_bytes::collect(Limited::new(body, limit), async |bytes| node.take(bytes));
    match tokio::time::timeout_at(until, prefill).await {
        Ok(Ok(Some((body, held)))) => Ok((body, held.unwrap_or_else(|| node.nothing()))),
        Ok(Ok(None)) => Err(memory_full()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Refusal::new(Code::BodyTooLarge)),
        // The caller's connection broke: nobody reads this answer.
        Ok(Err(_)) => Err(Refusal::new(Code::BadRequest)),
        Err(_) => Err(Refusal::new(Code::SlowBody)),
    }
}
