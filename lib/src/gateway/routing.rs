//! The routing configuration of the gateway interface: which service takes a request,
//! on whose behalf, and within which bounds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::regions::AllowedRegions;
use crate::ids::OrganisationId;

/// A service of the configuration.
pub type ServiceId = Arc<str>;
/// A route of the configuration.
pub type RouteId = Arc<str>;
/// The number of a configuration; a higher one replaces a lower one.
pub type ConfigVersion = u64;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// As often as needed.
    Idempotent,
    /// Once at most.
    Once,
    /// Once at most, and its answer is a series of events.
    Stream,
}

/// A part of a route's requests goes to this service.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share against the route's other targets.
    pub weight: f64,
}

/// A route: the requests of one host below one path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteId,
    /// The host that callers name, without a port, in lower case.
    pub host: String,
    /// The path's prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run.
    pub repeat: Repeat,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// An answer within this earns its full worth; for streams, the first event.
    pub objective: Duration,
    /// The longest pause between events that still counts as in time.
    pub gap_objective: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u8,
    /// Replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream that broke may go on at another replica after the last event that its
    /// caller has, in a run of its own there.
    pub resumable: bool,
    /// The services that take its requests.
    pub targets: Vec<Target>,
    /// Where its requests may be served.
    pub regions: AllowedRegions,
}

/// Callers wait for the next event of a stream at least this long.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// They wait so many times the objective for the first event.
const PATIENT_OBJECTIVES: u32 = 4;
/// They wait so many times the longest pause that counts as in time.
const PATIENT_GAPS: u32 = 8;

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Idempotent || self.resumable
    }

    /// How long a caller waits for the next event of a stream before it leaves, by the platform's
    /// protocol.
    pub fn callers_patience(&self) -> Duration {
        let by_objective = self.objective * PATIENT_OBJECTIVES;
        let by_gap = self.gap_objective * PATIENT_GAPS;
        LEAST_PATIENCE.max(by_objective).max(by_gap)
    }

    /// Picks a target at random, by weight; `None` when there is none.
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

/// What the engines of a model service offer beyond plain calls.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Requests in one batch.
    pub batch: u32,
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u32,
    /// Bytes of memory for one token.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link, bits a second.
    pub link_bits_per_second: f64,
    /// Whether running generations can be moved.
    pub moves: bool,
    /// Whether running generations can be backed up as they run.
    pub backups: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

impl EngineTraits {
    /// Time to copy so many tokens of memory within a hall, if the links do nothing else.
    pub fn copy_time(&self, tokens: u32) -> Duration {
        let bits = f64::from(tokens) * self.bytes_per_token as f64 * 8.0;
        Duration::try_from_secs_f64(bits / self.link_bits_per_second).unwrap_or(Duration::MAX)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Where its replicas tell whether they are well.
    pub health_path: String,
    /// Connections that each replica takes from all callers together.
    pub max_connections: u32,
    /// How long a replica is cold after its start.
    pub cold_for: Duration,
    /// Requests in a second that a cold replica bears; `None` where it bears all.
    pub cold_rate: Option<f64>,
    /// Set for model services.
    pub engine: Option<EngineTraits>,
}

/// Bounds for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_within: Duration,
    /// An unused connection is closed after this.
    pub idle: Duration,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank among the organisations; 0 is the most urgent.
    pub priority: u8,
    /// Where its requests may be served.
    pub regions: AllowedRegions,
}

/// A whole configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Its number.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Organisations; `None` when requests need no key at all.
    pub organisations: Option<Vec<Organisation>>,
}

/// Why a request is not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unrouted {
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    longest_prefix: usize,
}

impl HostRoutes {
    /// Of two routes with one prefix the first counts.
    fn add(&mut self, route: Route) {
        self.longest_prefix = self.longest_prefix.max(route.prefix.len());
        self.by_prefix.entry(route.prefix.clone()).or_insert_with(|| Arc::new(route));
    }

    /// The route with the longest prefix of `path`. Prefixes end with a slash, so only what ends
    /// with one is looked up: once for each part of the path, however many routes the host has.
    fn of(&self, path: &str) -> Option<&Arc<Route>> {
        let ends = path.bytes().take(self.longest_prefix).enumerate().filter(|(_, byte)| *byte == b'/');
        let ends: Vec<usize> = ends.map(|(at, _)| at).collect();
        ends.into_iter().rev().find_map(|end| self.by_prefix.get(&path[..=end]))
    }
}

/// A configuration indexed for look-ups.
#[derive(Debug)]
pub struct RoutingTable {
    /// Its number.
    pub version: ConfigVersion,
    /// Bounds for callers.
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

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, Unrouted> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name).ok_or(Unrouted::NoRoute)?;
        routes.of(path).cloned().ok_or(Unrouted::NoRoute)
    }

    /// The organisation that a request of `route` is for; `None` when it needs none.
    pub fn organisation(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Organisation>>, Unrouted> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        let found = key.and_then(|key| keys.get(key)).cloned();
        if found.is_none() && !route.public {
            return Err(Unrouted::UnknownKey);
        }
        Ok(found)
    }

    /// A service.
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
