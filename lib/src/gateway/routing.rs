//! The routing configuration of the gateway interface: the service that handles a request, the organisation
//! that it is accounted to, and its limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::regions::AllowedRegions;
use crate::ids::OrganisationId;

/// The name of a service in the configuration.
pub type ServiceId = Arc<str>;
/// The name of a route in the configuration.
pub type RouteId = Arc<str>;
/// The version number of a configuration; a higher one replaces a lower one.
pub type ConfigVersion = u64;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once; its answer is a stream of events.
    Stream,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the route's other targets.
    pub weight: f64,
}

/// A route: the requests for one host under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: RouteId,
    /// The host that callers request, without a port, in lower case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run.
    pub repeat: Repeat,
    /// The longest time that a request is held.
    pub timeout: Duration,
    /// Latency within which an answer has its full worth; for streams, that of the first event.
    pub objective: Duration,
    /// The longest gap between two events that still counts as in time.
    pub gap_objective: Duration,
    /// Priority among the routes; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another replica, in a new run, after the last event that its
    /// caller received.
    pub resumable: bool,
    /// The services among which its requests are split.
    pub targets: Vec<Target>,
    /// The regions in which its requests may be served.
    pub regions: AllowedRegions,
}

/// Lower bound of a caller's patience, its timeout for the next event of a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// A caller's patience as a multiple of the objective for the first event.
const PATIENCE_OBJECTIVES: u32 = 4;
/// A caller's patience as a multiple of the objective for gaps between events.
const PATIENCE_GAPS: u32 = 8;

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Idempotent || self.resumable
    }

    /// The longest gap between two events of a stream that still counts as in time; `None` if the route
    /// states none.
    pub fn stated_gap_objective(&self) -> Option<Duration> {
        Some(self.gap_objective).filter(|objective| !objective.is_zero())
    }

    /// Whether an answer, or the first event of a stream, is late. A route without an objective has no late ones.
    pub fn is_late(&self, latency: Duration) -> bool {
        exceeds(latency, self.objective)
    }

    /// Whether a gap between two events is too long. A route without an objective for gaps has no such gaps.
    pub fn is_gap_late(&self, gap: Duration) -> bool {
        exceeds(gap, self.gap_objective)
    }

    /// How long a caller waits for the next event of a stream before it disconnects, as defined by the
    /// platform's protocol.
    pub fn caller_patience(&self) -> Duration {
        let by_objective = self.objective * PATIENCE_OBJECTIVES;
        let by_gap = self.gap_objective * PATIENCE_GAPS;
        MIN_PATIENCE.max(by_objective).max(by_gap)
    }

    /// Picks a random target by weight; `None` if the route has no targets.
    pub fn pick_target<R: Rng>(&self, rng: &mut R) -> Option<&ServiceId> {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = rng.random::<f64>() * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}

fn exceeds(value: Duration, objective: Duration) -> bool {
    !objective.is_zero() && value > objective
}

/// Properties of the engines of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// The largest number of requests in one batch.
    pub batch: u32,
    /// Capacity of an engine's memory in tokens.
    pub memory_tokens: u32,
    /// Memory per token in bytes.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link in bits per second.
    pub link_bits_per_second: f64,
    /// Whether running generations can be moved to another engine.
    pub moves: bool,
    /// Whether running generations can be backed up to another engine.
    pub backups: bool,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
}

impl EngineTraits {
    /// Time to copy the memory of `tokens` tokens within a hall over otherwise idle links.
    pub fn copy_time(&self, tokens: u32) -> Duration {
        let bits = f64::from(tokens) * self.bytes_per_token as f64 * 8.0;
        Duration::try_from_secs_f64(bits / self.link_bits_per_second).unwrap_or(Duration::MAX)
    }
}

/// A service and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceId,
    /// The path of its replicas' health checks.
    pub health_path: String,
    /// The largest number of connections that each replica accepts from all callers together.
    pub max_connections: u32,
    /// How long a replica is cold after its start.
    pub cold_for: Duration,
    /// Requests per second that a cold replica can handle; `None` if there is no such limit.
    pub cold_rate: Option<f64>,
    /// Engine properties; set for model services only.
    pub engine: Option<EngineTraits>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest size of a request's head in bytes.
    pub head_bytes: usize,
    /// The largest size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time limit for a request's head to arrive.
    pub head_within: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

/// An organisation and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrganisationId,
    /// The API keys that identify its callers.
    pub keys: Vec<String>,
    /// Priority among the organisations; 0 is the most urgent.
    pub priority: u8,
    /// The regions in which its requests may be served.
    pub regions: AllowedRegions,
}

/// A complete configuration as written by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// The configuration's version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations; `None` if requests need no API key at all.
    pub organisations: Option<Vec<Organisation>>,
}

/// The reason why a request cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    longest_prefix: usize,
}

impl HostRoutes {
    /// Adds a route; of two routes with the same prefix, the first is kept.
    fn add(&mut self, route: Route) {
        self.longest_prefix = self.longest_prefix.max(route.prefix.len());
        self.by_prefix.entry(route.prefix.clone()).or_insert_with(|| Arc::new(route));
    }

    /// Finds the route with the longest prefix of `path`. Prefixes end with a slash, so only leading parts of
    /// the path that end with one are looked up: the cost depends on the number of path segments, not of
    /// routes.
    fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let ends = path.bytes().take(self.longest_prefix).enumerate().filter(|(_, byte)| *byte == b'/');
        let ends: Vec<usize> = ends.map(|(at, _)| at).collect();
        ends.into_iter().rev().find_map(|end| self.by_prefix.get(&path[..=end]))
    }
}

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct RoutingTable {
    /// The configuration's version.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    by_host: HashMap<String, HostRoutes>,
    services: HashMap<ServiceId, Arc<Service>>,
    keys: Option<HashMap<String, Arc<Organisation>>>,
}

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(config: GatewayConfig) -> Self {
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for route in config.routes {
            by_host.entry(route.host.clone()).or_default().add(route);
        }
        let services = config.services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        RoutingTable {
            version: config.version,
            limits: config.limits,
            by_host,
            services,
            keys: config.organisations.map(index_keys),
        }
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, RouteError> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name).ok_or(RouteError::NoRoute)?;
        routes.find(path).cloned().ok_or(RouteError::NoRoute)
    }

    /// Authenticates a request of `route` by its API key and returns its organisation; `None` if the route or
    /// configuration needs none.
    pub fn organisation(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Organisation>>, RouteError> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        let found = key.and_then(|key| keys.get(key)).cloned();
        if found.is_none() && !route.public {
            return Err(RouteError::UnknownKey);
        }
        Ok(found)
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

fn index_keys(organisations: Vec<Organisation>) -> HashMap<String, Arc<Organisation>> {
    let mut index = HashMap::new();
    for organisation in organisations {
        let organisation = Arc::new(organisation);
        for key in &organisation.keys {
            index.insert(key.clone(), organisation.clone());
        }
    }
    index
}
