//! The metrics of a gateway node. docs/OPERATIONS.md lists them in a table, which a test checks. The
//! set of label values is bounded: routes of the configuration up to a limit, codes, and fixed words.

use std::collections::HashSet;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::code::Code;
use leadstage_lib::gateway::limit_grants::Grant;
use leadstage_lib::gateway::organisation_labels::OrganisationLabels;
use leadstage_lib::gateway::routing::Organisation;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;

use crate::gateway::observability::peer_traffic::MessageKind;
use crate::gateway::observability::peer_traffic::PeerTraffic;
use crate::locks;
use crate::metrics::Instruments;

/// Maximum number of routes with a label value of their own; later ones share `other`.
const MAX_ROUTE_LABELS: usize = 64;
/// The label value of routes over that limit.
const OTHER_ROUTES_LABEL: &str = "other";

/// The metric instruments of a gateway node.
pub struct GatewayMetrics {
    instruments: Instruments,
    routes: Mutex<HashSet<String>>,
    organisations: Mutex<OrganisationLabels>,
    requests: Counter<u64>,
    organisation_requests: Counter<u64>,
    refusals: Counter<u64>,
    first_event: Histogram<f64>,
    event_gap: Histogram<f64>,
    call: Histogram<f64>,
    moves: Counter<u64>,
    repeats: Counter<u64>,
    connections: Counter<u64>,
    dials: Counter<u64>,
    tunnels: Counter<u64>,
    store_calls: Counter<u64>,
    store_calls_sums: [AtomicU64; StoreCall::COUNT],
    store_failures_sum: AtomicU64,
    outdated_replica_news: Counter<u64>,
    lead_silences: Counter<u64>,
    peer_bytes: Counter<u64>,
    peer_bytes_sum: AtomicU64,
    peer_sent: Counter<u64>,
    /// Messages and bytes sent to other nodes so far.
    pub peer_traffic: PeerTraffic,
    waiting: Gauge<u64>,
    open: Gauge<u64>,
    held: Gauge<u64>,
    start_time: Gauge<f64>,
    config_age: Gauge<f64>,
    replicas_age: Gauge<f64>,
    store_answer_age: Gauge<f64>,
    staleness: Gauge<f64>,
    nodes: Gauge<u64>,
    broken_runs: Counter<u64>,
    endless_heads: Counter<u64>,
    cut_responses: Counter<u64>,
    suspects: Gauge<u64>,
    quarantined: Gauge<u64>,
    limited: Gauge<u64>,
    ramping: Gauge<u64>,
    grants: Counter<u64>,
    sent_to_limited: Counter<u64>,
    over_share: Counter<u64>,
}

impl GatewayMetrics {
    /// Creates the instruments with a registry of their own.
    pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
        let instruments = Instruments::new()?;
        let counter = |name, description| instruments.counter(name, description);
        let seconds = |name, description| instruments.seconds(name, description);
        let over_share = counter(
            "leadstage.gateway.over_share",
            "Requests refused as their organisation is over its share of a full service",
        );
        let outdated_replica_news = counter(
            "leadstage.gateway.outdated_replica_news",
            "Entries of replicas and signs that they leave that were older than what was known of them",
        );
        // Shown from the start, so that the first counts are an increase.
        over_share.add(0, &[]);
        outdated_replica_news.add(0, &[]);
        Ok(GatewayMetrics {
            requests: counter("leadstage.gateway.requests", "Requests answered, by route and status"),
            organisation_requests: counter(
                "leadstage.gateway.organisation_requests",
                "Requests of the largest organisations, by outcome",
            ),
            refusals: counter("leadstage.gateway.refusals", "Requests refused here, by result code"),
            first_event: seconds(
                "leadstage.gateway.first_event",
                "From a request to its stream's first event",
            ),
            event_gap: seconds(
                "leadstage.gateway.longest_gap",
                "The longest gap between two events of a stream",
            ),
            call: seconds("leadstage.gateway.call", "Plain calls, from the request to the answer"),
            moves: counter("leadstage.gateway.moves", "Generations moved, by step and outcome"),
            repeats: counter(
                "leadstage.gateway.repeats",
                "Requests sent again, by whether the budget let them",
            ),
            connections: counter("leadstage.gateway.connections", "Connections to replicas, new and reused"),
            dials: counter(
                "leadstage.gateway.dials",
                "Attempts to open a connection to a replica, by outcome",
            ),
            tunnels: counter(
                "leadstage.gateway.tunnels",
                "Tunnels to replicas that other nodes requested, by answer",
            ),
            store_calls: counter(
                "leadstage.gateway.store_calls",
                "Calls to the store, by purpose and answer",
            ),
            store_calls_sums: Default::default(),
            store_failures_sum: AtomicU64::new(0),
            outdated_replica_news,
            lead_silences: counter("leadstage.gateway.lead_silences", "Questions that a lead did not answer"),
            peer_bytes: counter("leadstage.gateway.peer_bytes", "Bytes from and to other nodes, by what"),
            peer_bytes_sum: AtomicU64::new(0),
            peer_sent: counter("leadstage.gateway.peer_sent", "Bytes sent to other nodes, by kind"),
            peer_traffic: PeerTraffic::default(),
            waiting: instruments
                .gauge("leadstage.gateway.waiting", "Generations that wait here for an engine"),
            open: instruments.gauge("leadstage.gateway.open", "Requests open"),
            held: instruments.gauge(
                "leadstage.gateway.held_bytes",
                "Bytes of requests and answers that callers and replicas have not taken yet",
            ),
            start_time: instruments
                .age("leadstage.gateway.start", "Time from the start until the node served, or so far"),
            config_age: instruments.age("leadstage.gateway.config_age", "Time since the configuration came"),
            replicas_age: instruments
                .age("leadstage.gateway.replicas_age", "Time since news of the replicas"),
            store_answer_age: instruments.age(
                "leadstage.gateway.store_answer_age",
                "Time since the store is known to have answered a node",
            ),
            staleness: instruments
                .age("leadstage.gateway.staleness", "Time for which changes of the store may not be known"),
            nodes: instruments.gauge("leadstage.gateway.nodes", "Nodes taken to be alive, this one included"),
            broken_runs: counter(
                "leadstage.gateway.broken_runs",
                "Runs that broke at their replicas, by whether that is held against their requests",
            ),
            endless_heads: counter(
                "leadstage.gateway.endless_heads",
                "Attempts at replicas whose answer's head did not end",
            ),
            cut_responses: counter(
                "leadstage.gateway.cut_responses",
                "Responses whose connection ended before the caller had all of them",
            ),
            suspects: instruments
                .gauge("leadstage.gateway.suspects", "Requests under which replicas ended lately"),
            quarantined: instruments
                .gauge("leadstage.gateway.quarantined", "Those of them that are sent to no replica"),
            limited: instruments.gauge("leadstage.gateway.limited", "Replicas that name a limit"),
            ramping: instruments.gauge("leadstage.gateway.ramping", "Plain replicas whose pace is limited"),
            grants: counter(
                "leadstage.gateway.grants",
                "Grants that calls to replicas with a limit asked for, by outcome",
            ),
            sent_to_limited: counter(
                "leadstage.gateway.sent_to_limited",
                "Requests sent to replicas that name a limit",
            ),
            over_share,
            routes: Mutex::default(),
            organisations: Mutex::default(),
            instruments,
        })
    }

    fn route_label(&self, route: &str) -> String {
        let mut routes = locks::lock(&self.routes);
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= MAX_ROUTE_LABELS {
            return OTHER_ROUTES_LABEL.to_owned();
        }
        routes.insert(route.to_owned());
        route.to_owned()
    }

    /// Counts a request that was answered with a status.
    pub fn on_answer(&self, route: &str, status: u16) {
        let route = KeyValue::new("route", self.route_label(route));
        self.requests.add(1, &[route, KeyValue::new("status", i64::from(status))]);
    }

    /// Counts a request of an organisation by its outcome; none if there are no organisations.
    pub fn on_organisation_request(&self, organisation: Option<&Organisation>, outcome: RequestOutcome) {
        let Some(organisation) = organisation else {
            return;
        };
        let mut labels = locks::lock(&self.organisations);
        let label = labels.on_request(&organisation.name).to_owned();
        drop(labels);
        let outcome = KeyValue::new("outcome", outcome.label());
        self.organisation_requests.add(1, &[KeyValue::new("organisation", label), outcome]);
    }

    /// Counts a request that was refused.
    pub fn on_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Records the duration of a plain call that was answered.
    pub fn on_call(&self, took: Duration) {
        self.call.record(took.as_secs_f64(), &[]);
    }

    /// Records the times of a stream that ended; one without any event is left out.
    pub fn on_stream(&self, first_event: Option<Duration>, longest_gap: Duration) {
        if let Some(first_event) = first_event {
            self.first_event.record(first_event.as_secs_f64(), &[]);
            self.event_gap.record(longest_gap.as_secs_f64(), &[]);
        }
    }

    /// Counts a step of moving a generation, by its outcome.
    pub fn on_move(&self, step: &'static str, outcome: &'static str) {
        self.moves.add(1, &[KeyValue::new("step", step), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry that was due, by whether the retry budget allowed it.
    pub fn on_retry(&self, allowed: bool) {
        self.repeats.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Counts a grant that a call requested for a replica with a limit.
    pub fn on_grant(&self, outcome: GrantOutcome) {
        self.grants.add(1, &[KeyValue::new("outcome", outcome.label())]);
    }

    /// Counts a request that is sent to a replica with a limit.
    pub fn on_sent_to_limited(&self) {
        self.sent_to_limited.add(1, &[]);
    }

    /// Counts a call that is refused because its organisation is over its share.
    pub fn on_over_share(&self) {
        self.over_share.add(1, &[]);
    }

    /// Counts a connection to a replica, new or reused, that a request takes.
    pub fn on_connection(&self, reused: bool) {
        self.connections.add(1, &[KeyValue::new("reused", reused)]);
    }

    /// Counts an attempt to open a connection to a replica.
    pub fn on_dial(&self, outcome: DialOutcome) {
        self.dials.add(1, &[KeyValue::new("outcome", outcome.label())]);
    }

    /// Counts a tunnel that another node requested.
    pub fn on_tunnel_requested(&self, answer: TunnelAnswer) {
        self.tunnels.add(1, &[KeyValue::new("answer", answer.label())]);
    }

    /// Counts a call to the store that was answered or failed.
    pub fn on_store_call(&self, purpose: StoreCall, answered: bool) {
        self.store_calls_sums[purpose as usize].fetch_add(1, Ordering::Relaxed);
        if !answered {
            self.store_failures_sum.fetch_add(1, Ordering::Relaxed);
        }
        let answer = if answered { "answered" } else { "failed" };
        self.store_calls.add(1, &[KeyValue::new("kind", purpose.label()), KeyValue::new("answer", answer)]);
    }

    /// Returns the number of calls to the store so far, for each purpose.
    pub fn store_calls_so_far(&self) -> StoreCalls {
        StoreCalls(self.store_calls_sums.each_ref().map(|sum| sum.load(Ordering::Relaxed)))
    }

    /// Returns the number of calls to the store that have ended, and how many of them failed.
    pub fn store_answers_so_far(&self) -> (u64, u64) {
        let ended = self.store_calls_sums.iter().map(|sum| sum.load(Ordering::Relaxed)).sum();
        (ended, self.store_failures_sum.load(Ordering::Relaxed))
    }

    /// Counts entries and signs that were ignored, as newer ones of their replicas were known.
    pub fn on_outdated_replica_news(&self, count: usize) {
        self.outdated_replica_news.add(count as u64, &[]);
    }

    /// Counts a request to a lead that was not answered in time.
    pub fn on_lead_timeout(&self) {
        self.lead_silences.add(1, &[]);
    }

    /// Counts bytes sent to or received from another node, without packet headers.
    pub fn on_peer_bytes(&self, kind: PeerBytes, bytes: usize) {
        self.peer_bytes_sum.fetch_add(bytes as u64, Ordering::Relaxed);
        self.peer_bytes.add(bytes as u64, &[KeyValue::new("what", kind.label())]);
    }

    /// Counts a message of this size that was sent to another node.
    pub fn on_peer_sent(&self, kind: MessageKind, bytes: usize) {
        self.peer_traffic.on_sent(kind, bytes);
        self.peer_sent.add(bytes as u64, &[KeyValue::new("kind", kind.label())]);
    }

    /// Returns the bytes received from and sent to other nodes so far.
    pub fn peer_bytes_so_far(&self) -> u64 {
        self.peer_bytes_sum.load(Ordering::Relaxed)
    }

    /// Counts a run that broke at its replica, by whether it counts against its request.
    pub fn on_broken_run(&self, held_against_request: bool) {
        self.broken_runs.add(1, &[KeyValue::new("held", held_against_request)]);
    }

    /// Counts an attempt at a replica whose answer's head did not end.
    pub fn on_endless_head(&self) {
        self.endless_heads.add(1, &[]);
    }

    /// Counts a response whose connection ended before its caller had acknowledged all of it.
    pub fn on_response_cut(&self) {
        self.cut_responses.add(1, &[]);
    }

    /// Records the current values of the gauges.
    pub fn record_gauges(&self, levels: &GaugeValues) {
        self.waiting.record(levels.waiting as u64, &[]);
        self.open.record(levels.open as u64, &[]);
        self.held.record(levels.held as u64, &[]);
        self.nodes.record(levels.nodes as u64, &[]);
        self.suspects.record(levels.suspects as u64, &[]);
        self.quarantined.record(levels.quarantined as u64, &[]);
        self.limited.record(levels.limited as u64, &[]);
        self.ramping.record(levels.ramping as u64, &[]);
        self.start_time.record(levels.start_time.as_secs_f64(), &[]);
        self.config_age.record(levels.config_age.as_secs_f64(), &[]);
        self.replicas_age.record(levels.replicas_age.as_secs_f64(), &[]);
        self.store_answer_age.record(levels.store_answer_age.as_secs_f64(), &[]);
        self.staleness.record(levels.staleness.as_secs_f64(), &[]);
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.instruments.text()
    }
}

/// The outcome of an organisation's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered within its route's objectives.
    InTime,
    /// Answered in full, but later.
    Late,
    /// Refused here.
    Refused,
    /// Not answered in full, or with an error of its replica.
    Failed,
    /// Its caller left.
    CallerLeft,
}

impl RequestOutcome {
    fn label(self) -> &'static str {
        match self {
            RequestOutcome::InTime => "in time",
            RequestOutcome::Late => "late",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::CallerLeft => "caller left",
        }
    }
}

/// The outcome of an attempt to open a connection to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    /// It was opened directly.
    Opened,
    /// It was opened through another node.
    Tunnelled,
    /// The replica refused it.
    Refused,
    /// The replica did not answer in time.
    TimedOut,
    /// The direct attempt failed in another way.
    Failed,
    /// No node that was asked has a path.
    NoPath,
}

impl DialOutcome {
    /// The outcome of a direct attempt.
    pub fn of<T>(dialed: &io::Result<T>) -> Self {
        match dialed.as_ref().map_err(io::Error::kind) {
            Ok(_) => DialOutcome::Opened,
            Err(io::ErrorKind::ConnectionRefused) => DialOutcome::Refused,
            Err(io::ErrorKind::TimedOut) => DialOutcome::TimedOut,
            Err(_) => DialOutcome::Failed,
        }
    }

    fn label(self) -> &'static str {
        match self {
            DialOutcome::Opened => "opened",
            DialOutcome::Tunnelled => "tunnelled",
            DialOutcome::Refused => "refused",
            DialOutcome::TimedOut => "timed out",
            DialOutcome::Failed => "failed",
            DialOutcome::NoPath => "no path",
        }
    }
}

/// The answer to another node that requested a tunnel to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelAnswer {
    /// The tunnel is open.
    Opened,
    /// The replica refused the connection.
    ReplicaRefused,
    /// The replica did not answer in time.
    ReplicaSilent,
    /// This node has no path to the replica either.
    NoPath,
    /// This node is stopping, or carries as many tunnels as it may.
    Busy,
    /// No replica that this node knows is at the address.
    UnknownReplica,
}

impl TunnelAnswer {
    fn label(self) -> &'static str {
        match self {
            TunnelAnswer::Opened => "opened",
            TunnelAnswer::ReplicaRefused => "replica refused",
            TunnelAnswer::ReplicaSilent => "replica silent",
            TunnelAnswer::NoPath => "no path",
            TunnelAnswer::Busy => "busy",
            TunnelAnswer::UnknownReplica => "unknown replica",
        }
    }
}

/// The outcome of a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The request to the replica may be sent.
    Granted,
    /// The request to the replica may not be sent now.
    Denied,
    /// The request for the grant was not answered in time.
    Unanswered,
}

impl GrantOutcome {
    /// The outcome that corresponds to an answer.
    pub fn of(grant: &Grant) -> Self {
        if grant.granted { GrantOutcome::Granted } else { GrantOutcome::Denied }
    }

    fn label(self) -> &'static str {
        match self {
            GrantOutcome::Granted => "granted",
            GrantOutcome::Denied => "denied",
            GrantOutcome::Unanswered => "silent",
        }
    }
}

/// The purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A node that has just started reads data that may be some seconds old.
    Start,
    /// A node reads data that it could not fetch from other nodes.
    Read,
    /// A follower starts over with a full list.
    List,
    /// A follower waits for changes.
    Watch,
    /// A follower checks whether the store answers.
    Pulse,
    /// A request under which replicas ended is stored or deleted.
    Write,
}

impl StoreCall {
    /// Number of purposes.
    const COUNT: usize = 6;

    fn label(self) -> &'static str {
        match self {
            StoreCall::Start => "start",
            StoreCall::Read => "read",
            StoreCall::List => "list",
            StoreCall::Watch => "watch",
            StoreCall::Pulse => "pulse",
            StoreCall::Write => "write",
        }
    }
}

/// Numbers of calls to the store, for each purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCalls([u64; StoreCall::COUNT]);

impl StoreCalls {
    /// Returns the number of calls for one purpose.
    pub fn of(&self, purpose: StoreCall) -> u64 {
        self.0[purpose as usize]
    }
}

/// The direction and kind of bytes between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerBytes {
    /// Received datagrams.
    DatagramsIn,
    /// Sent datagrams.
    DatagramsOut,
    /// Configurations and replica lists fetched from other nodes.
    FetchedIn,
    /// Configurations and replica lists served to other nodes.
    ServedOut,
}

impl PeerBytes {
    fn label(self) -> &'static str {
        match self {
            PeerBytes::DatagramsIn => "datagrams in",
            PeerBytes::DatagramsOut => "datagrams out",
            PeerBytes::FetchedIn => "fetched",
            PeerBytes::ServedOut => "handed out",
        }
    }
}

/// Values of the gauges at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GaugeValues {
    /// Generations that wait on this node for an engine.
    pub waiting: usize,
    /// Open requests.
    pub open: usize,
    /// Bytes of requests and responses that are buffered for callers and replicas.
    pub held: usize,
    /// Nodes considered alive, this one included.
    pub nodes: usize,
    /// Requests under which replicas ended recently.
    pub suspects: usize,
    /// Suspects in quarantine, which are sent to no replica.
    pub quarantined: usize,
    /// Replicas that announce a limit.
    pub limited: usize,
    /// Plain replicas that start or recover, so that their pace is limited.
    pub ramping: usize,
    /// Time from the start until the node served, or so far.
    pub start_time: Duration,
    /// Time since the configuration was received.
    pub config_age: Duration,
    /// Time since the last update about the replicas.
    pub replicas_age: Duration,
    /// Time since the store last answered any node that this one hears of.
    pub store_answer_age: Duration,
    /// Time for which this node may not know changes of the store.
    pub staleness: Duration,
}
