//! A model of a fleet whose calls go to a replica that names a limit: what the replica gets and how
//! many messages that takes, by grants and by a share of the limit for each node.
//!
//! A replica may get one and a half times its limit and 5 requests in any 4 s, and should get three quarters
//! of what it names while there are calls for it. Each call asks for nothing but this replica; where it does not go
//! there, another one takes it.

use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::cold_start::Giver;
use leadstage_lib::gateway::limit_grants::GranterRole;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_rate_limiter::ReplicaRateLimiter;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::limit_windows;

const LASTS_S: f64 = 60.0;
/// Calls begin to come.
const BEGINS_S: f64 = 5.0;
/// From here on the limit binds, and its use is counted.
const BINDS_S: f64 = 8.0;
/// Requests that may be saved up while no calls come.
const SAVED_UP_IN_PAUSE: f64 = 2.0;
const SEEDS: u64 = 5;
/// Time on the way to the replica, a new connection at the worst.
const WAY_S: f64 = 0.25;
/// Time between two looks of a node at its fleet.
const LOOKS_AT_FLEET_S: f64 = 0.5;
/// When something happens to whoever grants, and for how long nodes don't know.
const TROUBLE_S: f64 = 20.0;
const UNNOTICED_S: f64 = 4.0;
/// When the trouble ends.
const TROUBLE_ENDS_S: f64 = 35.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// Each node gets as many calls as any other.
    Even,
    /// One node gets seven of ten calls.
    Uneven,
    /// No call comes for some time.
    Pause,
    /// Three of ten messages are lost.
    Lossy,
    /// Whoever grants answers half of the questions too late; another one is asked for them.
    Slow,
    /// Whoever grants is gone, and noticed after some seconds.
    Lost,
    /// A third of the nodes is cut off from the others, but not from the replica.
    Cut,
}

const CASES: [Case; 7] =
    [Case::Even, Case::Uneven, Case::Pause, Case::Lossy, Case::Slow, Case::Lost, Case::Cut];

/// Who is asked for a grant.
#[derive(Clone, Copy, Debug)]
struct Asked {
    granter: usize,
    role: GranterRole,
}

/// How a fleet decides which calls go to the replica.
trait Way {
    /// A fleet of so many nodes.
    fn new(nodes: usize, limit: f64) -> Self;
    /// Nodes see another fleet; `seen` is how many each of them sees.
    fn on_fleet(&mut self, seen: impl Fn(usize) -> usize, now: Timestamp);
    /// Whether a call at a node goes to the replica; whoever grants is none if it does not answer.
    fn takes(&mut self, node: usize, granter: Option<Asked>, now: Timestamp, rng: &mut StdRng) -> bool;
    /// Whoever grants answers a question of a node too late, if that may ask.
    fn is_asked_in_vain(&mut self, node: usize, granter: usize, now: Timestamp, rng: &mut StdRng);
    /// Messages so far.
    fn messages(&self) -> u64;
}

/// One node grants each call.
struct Grants {
    books: Vec<ReplicaRateLimiter>,
    replica: UpstreamId,
    messages: u64,
}

impl Way for Grants {
    fn new(nodes: usize, limit: f64) -> Self {
        let of = Incarnation { id: "r".into(), born: 1 };
        let book = |_| {
            let mut book = ReplicaRateLimiter::default();
            let times = ResponseTimes { sent: Duration::ZERO, received: Duration::ZERO };
            book.limits.on_answer(&of, LimitReport::Named(limit), times);
            book.set_nodes(nodes, Duration::ZERO);
            book
        };
        Grants { books: (0..nodes).map(book).collect(), replica: of.id.clone(), messages: 0 }
    }

    fn on_fleet(&mut self, seen: impl Fn(usize) -> usize, now: Timestamp) {
        for (node, book) in self.books.iter_mut().enumerate() {
            book.set_nodes(seen(node), now);
        }
    }

    fn takes(&mut self, node: usize, granter: Option<Asked>, now: Timestamp, rng: &mut StdRng) -> bool {
        if self.books[node].may_request(&self.replica, now, rng) {
            self.books[node].on_requested(&self.replica, now);
            self.messages += 1;
            if let Some(Asked { granter, role }) = granter {
                let grant = self.books[granter].grant(&self.replica, role, 0, now);
                self.books[node].on_answer(&self.replica, grant.ask_again_after, now);
                self.messages += 1;
                if grant.granted {
                    return true;
                }
            }
        }
        let book = &mut self.books[node];
        let may = book.allows(&self.replica, Giver::Node, now, rng);
        if may {
            book.on_assigned(&self.replica, Giver::Node, now, rng);
        }
        may
    }

    fn is_asked_in_vain(&mut self, node: usize, granter: usize, now: Timestamp, rng: &mut StdRng) {
        if !self.books[node].may_request(&self.replica, now, rng) {
            return;
        }
        self.books[granter].grant(&self.replica, GranterRole::Primary, 0, now);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Each node has the same share of the limit, and saves up one request at most.
struct Shares {
    limit: f64,
    seen: Vec<usize>,
    saved: Vec<(f64, Timestamp)>,
}

impl Way for Shares {
    fn new(nodes: usize, limit: f64) -> Self {
        Shares { limit, seen: vec![nodes; nodes], saved: vec![(0.0, Duration::ZERO); nodes] }
    }

    fn on_fleet(&mut self, seen: impl Fn(usize) -> usize, _now: Timestamp) {
        self.seen.iter_mut().enumerate().for_each(|(node, count)| *count = seen(node));
    }

    fn takes(&mut self, node: usize, _granter: Option<Asked>, now: Timestamp, _rng: &mut StdRng) -> bool {
        let rate = self.limit / self.seen[node] as f64;
        let (saved, at) = &mut self.saved[node];
        *saved = (*saved + (now - *at).as_secs_f64() * rate).min(1.0);
        *at = now;
        let may = *saved >= 1.0;
        *saved -= f64::from(u8::from(may));
        may
    }

    fn is_asked_in_vain(&mut self, _node: usize, _granter: usize, _now: Timestamp, _rng: &mut StdRng) {}

    fn messages(&self) -> u64 {
        0
    }
}

#[derive(Debug, Default)]
struct Played {
    /// The most requests in a window, against what is allowed.
    most: f64,
    /// Part of what was named that was used.
    used: f64,
    /// The same, where what a pause leaves saved up counts as named too.
    used_of_saved: f64,
    /// Messages a second.
    messages: f64,
}

fn play<W: Way>(case: Case, nodes: usize, limit: f64, seed: u64) -> Played {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut way = W::new(nodes, limit);
    let (mut arrivals, mut now, mut looks_at) = (Vec::new(), BEGINS_S, BEGINS_S);
    let calls_per_second = (10.0 * limit).max(2.0);
    while now < LASTS_S {
        now += exponential(1.0 / calls_per_second, &mut rng);
        let is_troubled = (TROUBLE_S..TROUBLE_ENDS_S).contains(&now);
        let is_noticed = is_troubled && now >= TROUBLE_S + UNNOTICED_S;
        if now >= looks_at {
            looks_at = now + LOOKS_AT_FLEET_S;
            way.on_fleet(|node| seen(case, nodes, node, is_noticed), Duration::from_secs_f64(now));
        }
        if case == Case::Pause && is_troubled {
            continue;
        }
        let is_busy_one = case == Case::Uneven && rng.random_bool(0.7);
        let mut node = if is_busy_one { nodes - 1 } else { rng.random_range(0..nodes) };
        if case == Case::Lost && is_troubled && node == 0 {
            node = 1;
        }
        let granter = granter(case, nodes, node, is_troubled, is_noticed);
        let granter = granter.filter(|_| case != Case::Lossy || rng.random_bool(0.49));
        let mut granter = granter.map(|granter| Asked { granter, role: GranterRole::Primary });
        if case == Case::Slow && rng.random_bool(0.5) {
            way.is_asked_in_vain(node, 0, Duration::from_secs_f64(now), &mut rng);
            granter = Some(Asked { granter: 1, role: GranterRole::Substitute });
        }
        if way.takes(node, granter, Duration::from_secs_f64(now), &mut rng) {
            arrivals.push(now + rng.random::<f64>() * WAY_S);
        }
    }
    arrivals.retain(|at| *at >= BINDS_S);
    arrivals.sort_by(f64::total_cmp);
    let most = limit_windows::most_within(&arrivals, limit_windows::WINDOW_S);
    let saved_up = if case == Case::Pause { SAVED_UP_IN_PAUSE } else { 0.0 };
    let idle = if case == Case::Pause { TROUBLE_ENDS_S - TROUBLE_S } else { 0.0 };
    let named = limit * (LASTS_S - BINDS_S - idle);
    Played {
        most: most as f64 / limit_windows::allowed(limit) as f64,
        used: arrivals.len() as f64 / named,
        used_of_saved: arrivals.len() as f64 / (named + saved_up),
        messages: way.messages() as f64 / (LASTS_S - BEGINS_S),
    }
}

/// How many nodes a node sees.
fn seen(case: Case, nodes: usize, node: usize, is_noticed: bool) -> usize {
    let side = nodes / 3;
    match case {
        Case::Lost if is_noticed => nodes - 1,
        Case::Cut if is_noticed && node < side => side,
        Case::Cut if is_noticed => nodes - side,
        _ => nodes,
    }
}

/// Who grants to a node: the first one, unless it is gone or behind the cut.
fn granter(case: Case, nodes: usize, node: usize, is_troubled: bool, is_noticed: bool) -> Option<usize> {
    let is_away = match case {
        Case::Lost => is_troubled,
        Case::Cut => is_troubled && node >= nodes / 3,
        _ => false,
    };
    match (is_away, is_noticed) {
        (false, _) => Some(0),
        (true, false) => None,
        (true, true) => Some(nodes - 1),
    }
}

fn exponential<R: Rng>(mean: f64, rng: &mut R) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// The worst of the seeds for windows, the mean for the rest.
fn play_seeds<W: Way>(case: Case, nodes: usize, limit: f64) -> Played {
    let plays: Vec<Played> = (0..SEEDS).map(|seed| play::<W>(case, nodes, limit, seed)).collect();
    let mean = |of: fn(&Played) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
    Played {
        most: plays.iter().map(|played| played.most).fold(0.0, f64::max),
        used: mean(|played| played.used),
        used_of_saved: mean(|played| played.used_of_saved),
        messages: mean(|played| played.messages),
    }
}

/// Grants keep each limit at each size and use it wherever the calls come; shares do neither.
#[test]
fn test_grants_keep_and_use_limits_at_each_size() {
    let mut table = String::from("nodes limit case    shares: most used  grants: most used messages/s\n");
    for nodes in [6, 66, 410] {
        for limit in [0.4, 3.1, 30.0] {
            for case in CASES {
                let shares = play_seeds::<Shares>(case, nodes, limit);
                let grants = play_seeds::<Grants>(case, nodes, limit);
                writeln!(
                    table,
                    "{nodes:5} {limit:5} {:7} {:12.2} {:4.2} {:13.2} {:4.2} {:10.1}",
                    format!("{case:?}"),
                    shares.most,
                    shares.used,
                    grants.most,
                    grants.used,
                    grants.messages
                )
                .expect("a string takes it");
                assert!(grants.most <= 1.0, "{nodes} nodes, limit {limit}, {case:?}: {grants:?}");
                let is_steady = matches!(case, Case::Even | Case::Uneven | Case::Pause);
                assert!(
                    !is_steady || grants.used >= 0.75,
                    "{nodes} nodes, limit {limit}, {case:?}: {grants:?}"
                );
                assert!(grants.used_of_saved <= 1.0, "{nodes} nodes, limit {limit}, {case:?}: {grants:?}");
            }
        }
    }
    insta::assert_snapshot!(table);
}
