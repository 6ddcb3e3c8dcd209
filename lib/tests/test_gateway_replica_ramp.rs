//! The pace of replicas that start or recover, in fleets where each node has at most a call or two at a replica.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_ramp::CallEnd;
use leadstage_lib::gateway::replica_ramp::RampCause;
use leadstage_lib::gateway::replica_ramp::RampNews;
use leadstage_lib::gateway::replica_ramp::RampSign;
use leadstage_lib::gateway::replica_ramp::ReplicaRamps;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::ids::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::test_gateway_replicas::record;

const REPLICAS: usize = 20;
const SLOTS: usize = 6;
const CALL_TIME: Duration = Duration::from_millis(40);
/// Calls to one replica in a second while all are alike: 0.4 of what it can serve.
const EVEN_SHARE: f64 = 60.0;
/// Time in which a caller wants its answer.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// When the replica under test starts or fails.
const EVENT_AT: Duration = Duration::from_secs(6);
const END_AT: Duration = Duration::from_secs(16);
const TICK: Duration = Duration::from_millis(100);
/// One message in this many between nodes is lost.
const LOST_NEWS: u32 = 50;
/// How many times longer than usual a call takes at a replica that is slow at first.
const SLOW_FACTOR: f64 = 12.0;
/// Number of calls after which one that gets faster by use is at full speed.
const CALLS_TO_WARM: f64 = 60.0;

/// What happens to the replica under test at [`EVENT_AT`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    /// It starts at full speed.
    StartsFast,
    /// It starts slow and is at full speed after this time.
    StartsSlow(Duration),
    /// It starts slow and gets faster with each call that it serves.
    WarmsByUse,
    /// It starts slow and stays so.
    StaysSlow,
    /// It resets all connections for this time.
    Resets(Duration),
}

impl Case {
    fn starts(self) -> bool {
        !matches!(self, Case::Resets(_))
    }

    /// How many times longer than usual a call takes that begins now.
    fn factor(self, served: usize, now: Duration) -> f64 {
        let progress = match self {
            Case::StartsFast | Case::Resets(_) => 1.0,
            Case::StartsSlow(until_fast) => {
                now.saturating_sub(EVENT_AT).as_secs_f64() / until_fast.as_secs_f64()
            }
            Case::WarmsByUse => served as f64 / CALLS_TO_WARM,
            Case::StaysSlow => 0.0,
        };
        SLOW_FACTOR + (1.0 - SLOW_FACTOR) * progress.min(1.0)
    }

    fn resets(self, now: Duration) -> bool {
        matches!(self, Case::Resets(lasts) if now >= EVENT_AT && now < EVENT_AT + lasts)
    }
}

#[derive(Clone, Debug)]
struct Call {
    node: usize,
    began: Duration,
    replica: usize,
    /// The replica that failed it before.
    failed_at: Option<usize>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives,
    Answered(usize),
    Reset(usize),
    Tick,
    News(usize, RampNews),
    Starts,
}

#[derive(Default)]
struct Server {
    waiting: VecDeque<usize>,
    busy: usize,
    /// When the calls that it has served had begun to be served.
    served_at: Vec<Duration>,
}

struct Node {
    table: ReplicaTable,
    load: LoadTracker,
    ramps: ReplicaRamps,
}

/// A fleet whose nodes place plain calls, each by itself.
struct Model {
    case: Case,
    policy: Policy,
    rng: SmallRng,
    now: Duration,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Duration, usize)>>,
    payloads: Vec<Event>,
    late: usize,
    judged: usize,
    /// The nodes whose calls failed, and when.
    failed: Vec<(usize, Duration)>,
    news: usize,
}

/// Name of the replica with this number; the one under test is number 0.
fn id(replica: usize) -> UpstreamId {
    format!("r-{replica}").into()
}

fn entry(replica: usize) -> ReplicaRecord {
    ReplicaRecord { id: id(replica), ..record("", false) }
}

impl Model {
    fn new(case: Case, nodes: usize, policy: Policy, seed: u64) -> Self {
        let first = usize::from(case.starts());
        let node = |_| {
            let mut table = ReplicaTable::new(policy);
            table.on_list((first..REPLICAS).map(entry).collect(), None, Duration::ZERO);
            Node { table, load: LoadTracker::new(policy), ramps: ReplicaRamps::new(policy) }
        };
        let mut model = Model {
            case,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            nodes: (0..nodes).map(node).collect(),
            servers: (0..REPLICAS).map(|_| Server::default()).collect(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            late: 0,
            judged: 0,
            failed: Vec::new(),
            news: 0,
        };
        model.at(Duration::ZERO, Event::Arrives);
        model.at(TICK, Event::Tick);
        model.at(EVENT_AT, Event::Starts);
        model
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, self.payloads.len())));
        self.payloads.push(event);
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            if at > END_AT {
                break;
            }
            match self.payloads[event].clone() {
                Event::Arrives => self.on_arrival(),
                Event::Answered(call) => self.on_answered(call),
                Event::Reset(call) => self.on_reset(call),
                Event::Tick => self.on_tick(),
                Event::News(node, news) => self.on_news(node, &news),
                Event::Starts => self.on_start(),
            }
        }
        self
    }

    fn on_arrival(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / (EVEN_SHARE * REPLICAS as f64);
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrives);
        let node = self.rng.random_range(0..self.nodes.len());
        self.calls.push(Call { node, began: self.now, replica: 0, failed_at: None });
        self.judged += usize::from(self.now >= EVENT_AT);
        self.place(self.calls.len() - 1);
    }

    fn key(&self, call: usize) -> RunKey {
        RunKey { entry: "own".into(), run: call as u64 }
    }

    fn place(&mut self, call: usize) {
        let (key, now, failed_at) = (self.key(call), self.now, self.calls[call].failed_at);
        let node = &mut self.nodes[self.calls[call].node];
        let excluded = failed_at.map(id);
        let usable =
            |replica: &&Replica| replica.is_usable(now) && Some(&replica.record.id) != excluded.as_ref();
        let mut candidates: Vec<&Replica> = node.table.staying("m").filter(usable).collect();
        node.ramps.on_call(&"m".into(), true, now);
        node.ramps.filter(&mut candidates, true, now, &mut self.rng);
        let chosen = node.load.choose_plain(candidates.into_iter(), &"a".into(), true, now, &mut self.rng);
        let chosen = chosen.expect("others are usable");
        node.ramps.on_sent(key.clone(), chosen, now);
        node.load.add(key, Run { replica: chosen.record.id.clone(), ..Run::default() }, chosen, now);
        let replica: usize = chosen.record.id[2..].parse().expect("a number");
        self.calls[call].replica = replica;
        if replica == 0 && self.case.resets(now) {
            return self.at(now + Duration::from_millis(1), Event::Reset(call));
        }
        self.servers[replica].waiting.push_back(call);
        self.serve(replica);
    }

    fn serve(&mut self, replica: usize) {
        while self.servers[replica].busy < SLOTS
            && let Some(call) = self.servers[replica].waiting.pop_front()
        {
            let server = &mut self.servers[replica];
            server.busy += 1;
            let factor = if replica == 0 { self.case.factor(server.served_at.len(), self.now) } else { 1.0 };
            server.served_at.push(self.now);
            let spread = self.rng.random_range(0.8..1.2);
            self.at(self.now + CALL_TIME.mul_f64(factor * spread), Event::Answered(call));
        }
    }

    fn on_answered(&mut self, call: usize) {
        let Call { node, began, replica, .. } = self.calls[call];
        self.servers[replica].busy -= 1;
        self.serve(replica);
        self.late += usize::from(began >= EVENT_AT && self.now - began > OBJECTIVE);
        self.nodes[node].table.on_answer(&id(replica), false, self.now);
        self.end(call, CallEnd::Answered);
    }

    /// The call is repeated at another replica.
    fn on_reset(&mut self, call: usize) {
        let Call { node, replica, .. } = self.calls[call];
        self.failed.push((node, self.now));
        self.end(call, CallEnd::Failed);
        let now = self.now;
        let Node { table, ramps, .. } = &mut self.nodes[node];
        table.on_failure(&id(replica), now);
        if self.policy.ramp_up {
            table.forget_errors(&id(replica));
        }
        let failed = table.get(&id(replica)).expect("it is listed");
        ramps.begin(failed, RampCause::Failure, failed.backoff_until(), now);
        self.calls[call].failed_at = Some(replica);
        self.place(call);
    }

    fn end(&mut self, call: usize, end: CallEnd) {
        let (key, node) = (self.key(call), self.calls[call].node);
        self.nodes[node].load.remove(&key);
        let news = self.nodes[node].ramps.on_end(&key, end, self.now);
        self.tell(node, news);
    }

    fn on_tick(&mut self) {
        self.at(self.now + TICK, Event::Tick);
        for node in 0..self.nodes.len() {
            let news = self.nodes[node].ramps.check_calls(self.now);
            self.tell(node, news);
            self.nodes[node].ramps.take_ended(self.now);
        }
    }

    /// News reach most nodes within some hops.
    fn tell(&mut self, from: usize, news: impl IntoIterator<Item = RampNews>) {
        for news in news {
            self.news += 1;
            for node in (0..self.nodes.len()).filter(|node| *node != from) {
                if self.rng.random_ratio(1, LOST_NEWS) {
                    continue;
                }
                let delay = Duration::from_millis(self.rng.random_range(1..20));
                self.at(self.now + delay, Event::News(node, news.clone()));
            }
        }
    }

    fn on_news(&mut self, node: usize, news: &RampNews) {
        let Node { table, ramps, .. } = &mut self.nodes[node];
        if ramps.on_news(news, self.now) && news.sign == RampSign::Answers {
            table.on_recovered(&news.replica.id);
        }
    }

    fn on_start(&mut self) {
        if !self.case.starts() {
            return;
        }
        for Node { table, ramps, .. } in &mut self.nodes {
            table.on_entry(entry(0), self.now, &mut ListChange::default());
            let started = table.get("r-0").expect("it is listed");
            ramps.begin(started, RampCause::Start, self.now, self.now);
        }
    }

    /// The part of its even share that the replica under test served from `from` to `until` after the event.
    fn share(&self, from: f64, until: f64) -> f64 {
        let window = EVENT_AT.as_secs_f64() + from..EVENT_AT.as_secs_f64() + until;
        let served = self.servers[0].served_at.iter().filter(|at| window.contains(&at.as_secs_f64())).count();
        served as f64 / (EVEN_SHARE * (until - from))
    }

    /// The late calls, the share in each second after the event, and how much was told.
    fn summary(&self) -> String {
        let shares = (0..10).map(|second| self.share(f64::from(second), f64::from(second + 1)));
        let shares: Vec<String> = shares.map(|share| format!("{share:.2}")).collect();
        let (late, shares) = (self.late_share(), shares.join(" "));
        format!("{late:.4} late, shares {shares}, {} failed, {} news", self.failed.len(), self.news)
    }

    fn late_share(&self) -> f64 {
        self.late as f64 / self.judged as f64
    }
}

const FLEETS: [usize; 3] = [10, 86, 985];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
/// Maximum part of all calls that may be answered later than their objective.
const MAX_LATE_SHARE: f64 = 0.01;
/// Minimum part of its even share that a replica at full speed carries in its second second.
const MIN_SHARE: f64 = 0.8;

/// Plays a case in fleets of all sizes. Shares are compared over all seeds, as a second has only some 60 calls.
fn play(case: Case) -> impl Iterator<Item = (String, Vec<Model>)> {
    FLEETS.into_iter().map(move |nodes| {
        let models = SEEDS.map(|seed| Model::new(case, nodes, Policy::default(), seed).run());
        let models: Vec<Model> = models.collect();
        let name = format!("{case:?}, {nodes} nodes");
        for model in &models {
            println!("{name}: {}", model.summary());
        }
        (name, models)
    })
}

/// The mean of the shares that [`Model::share`] returns.
fn mean_share(models: &[Model], from: f64, until: f64) -> f64 {
    models.iter().map(|model| model.share(from, until)).sum::<f64>() / models.len() as f64
}

fn assert_few_late(name: &str, models: &[Model]) {
    for model in models {
        assert!(model.late_share() < MAX_LATE_SHARE, "{name}: {} late", model.late_share());
    }
}

#[test]
fn test_a_replica_at_full_speed_carries_its_share_in_its_second_second() {
    for (name, models) in play(Case::StartsFast) {
        let share = mean_share(&models, 1.0, 2.0);
        assert!(share >= MIN_SHARE, "{name}: {share}");
    }
}

#[test]
fn test_a_replica_that_gets_faster_with_time_is_not_flooded() {
    for (name, models) in play(Case::StartsSlow(Duration::from_secs(5))) {
        assert_few_late(&name, &models);
        let share = mean_share(&models, 7.0, 8.0);
        assert!(share >= MIN_SHARE, "{name}: {share}");
    }
}

#[test]
fn test_a_replica_that_gets_faster_by_use_is_not_flooded() {
    for (name, models) in play(Case::WarmsByUse) {
        assert_few_late(&name, &models);
        let shares = models.iter().map(|model| {
            let fast_at = model.servers[0].served_at[CALLS_TO_WARM as usize] - EVENT_AT;
            model.share(fast_at.as_secs_f64() + 2.0, fast_at.as_secs_f64() + 3.0)
        });
        let share = shares.sum::<f64>() / models.len() as f64;
        assert!(share >= MIN_SHARE, "{name}: {share}");
    }
}

#[test]
fn test_a_replica_that_stays_slow_gets_what_it_can_bear() {
    let can_bear = SLOTS as f64 / (CALL_TIME.as_secs_f64() * SLOW_FACTOR) / EVEN_SHARE;
    for (name, models) in play(Case::StaysSlow) {
        assert_few_late(&name, &models);
        for model in &models {
            let share = model.share(1.0, 10.0);
            assert!(share > 0.0 && share <= can_bear, "{name}: {share} of {can_bear}");
        }
    }
}

#[test]
fn test_a_replica_that_recovers_carries_its_share_in_the_second_second() {
    for (name, models) in play(Case::Resets(Duration::from_secs(2))) {
        assert_few_late(&name, &models);
        let share = mean_share(&models, 3.0, 4.0);
        assert!(share >= MIN_SHARE, "{name}: {share}");
    }
}

/// Maximum part of all calls that probe a dead replica, from nodes that have seen it fail.
const MAX_PROBE_SHARE: f64 = 0.005;
/// A replica that failed is probed again within this time by some node: the longest back-off, and the time in
/// which its pace rises.
const MAX_TIME_WITHOUT_PROBE: Duration = Duration::from_secs(6);

#[test]
fn test_a_dead_replica_draws_few_calls_and_is_probed() {
    for (name, models) in play(Case::Resets(END_AT)) {
        for model in &models {
            let mut noticed = HashSet::new();
            let probes = model.failed.iter().filter(|(node, _)| !noticed.insert(*node));
            let probes: Vec<Duration> = probes.map(|(_, at)| *at).collect();
            let share = probes.len() as f64 / model.judged as f64;
            println!(
                "{name}: {} failed, {} probes of {} calls",
                model.failed.len(),
                probes.len(),
                model.judged
            );
            assert!(share <= MAX_PROBE_SHARE, "{name}: {share} of all calls");
            let begins = std::iter::once(&EVENT_AT).chain(&probes);
            let gaps = begins.zip(probes.iter().chain([&END_AT])).map(|(from, until)| *until - *from);
            let longest = gaps.max().expect("one at least");
            assert!(longest <= MAX_TIME_WITHOUT_PROBE, "{name}: not probed for {longest:?}");
        }
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// A table with replicas `r-0` and `r-1`.
fn two_replicas() -> ReplicaTable {
    let mut table = ReplicaTable::default();
    table.on_list(vec![entry(0), entry(1)], None, Duration::ZERO);
    table
}

/// The replicas that are offered to some of many calls at this time.
fn offered(ramps: &ReplicaRamps, table: &ReplicaTable, is_repeatable: bool, now: Duration) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut offered: Vec<String> = Vec::new();
    for _ in 0..200 {
        let mut candidates: Vec<&Replica> = table.staying("m").collect();
        ramps.filter(&mut candidates, is_repeatable, now, &mut rng);
        offered.extend(candidates.iter().map(|replica| replica.record.id.to_string()));
    }
    offered.sort();
    offered.dedup();
    offered
}

/// Has a call of a node answered by replica `r-0`.
fn answer(
    ramps: &mut ReplicaRamps,
    table: &ReplicaTable,
    sent: Duration,
    answered: Duration,
) -> Option<RampNews> {
    let key = RunKey { entry: "own".into(), run: 1 };
    ramps.on_sent(key.clone(), table.get("r-0").expect("it is listed"), sent);
    ramps.on_end(&key, CallEnd::Answered, answered)
}

/// A call that may not be repeated is lost if the replica still fails.
#[test]
fn test_repeatable_calls_go_first_after_a_failure() {
    let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
    let failed = table.get("r-0").expect("it is listed");
    ramps.begin(failed, RampCause::Failure, SECOND, Duration::ZERO);
    assert_eq!(offered(&ramps, &table, true, SECOND / 2), ["r-1"], "it backs off");
    assert_eq!(
        offered(&ramps, &table, false, 2 * SECOND),
        ["r-0", "r-1"],
        "the service has no repeatable calls"
    );
    ramps.on_call(&"m".into(), true, 2 * SECOND);
    assert_eq!(offered(&ramps, &table, false, 2 * SECOND), ["r-1"]);
    assert_eq!(offered(&ramps, &table, true, 2 * SECOND), ["r-0", "r-1"]);
    let news = answer(&mut ramps, &table, 2 * SECOND, 2 * SECOND);
    assert_eq!(news.map(|news| news.sign), Some(RampSign::Answers));
    assert_eq!(offered(&ramps, &table, false, 2 * SECOND), ["r-0", "r-1"]);
}

#[test]
fn test_all_replicas_are_offered_if_the_pace_of_all_is_limited() {
    let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
    for replica in table.staying("m") {
        ramps.begin(replica, RampCause::Start, SECOND, Duration::ZERO);
    }
    assert_eq!(offered(&ramps, &table, true, Duration::ZERO), ["r-0", "r-1"]);
}

/// News of replica `r-0` from another node's call with this number.
fn news(sign: RampSign, run: u64) -> RampNews {
    RampNews { replica: entry(0).incarnation(), sign, call: RunKey { entry: "other".into(), run } }
}

/// A node that has lost its path to a replica must not keep other nodes from it.
#[test]
fn test_news_of_a_replica_whose_pace_is_not_limited_are_ignored() {
    let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
    assert!(!ramps.on_news(&news(RampSign::Fails, 1), SECOND));
    assert_eq!(ramps.pace("r-0", SECOND), 1.0);
    ramps.begin(table.get("r-0").expect("it is listed"), RampCause::Start, SECOND, SECOND);
    assert!(ramps.on_news(&news(RampSign::Slow(0.25), 2), 2 * SECOND));
    assert_eq!(ramps.pace("r-0", 2 * SECOND), 0.25);
    assert!(ramps.on_news(&news(RampSign::Fails, 3), 3 * SECOND));
    assert_eq!(ramps.pace("r-0", 3 * SECOND), 0.0);
}

/// Without a limit of its pace, a replica that failed must cost more than one that didn't.
#[test]
fn test_failures_cost_where_no_pace_is_limited() {
    let mut table = two_replicas();
    table.on_failure("r-0", Duration::ZERO);
    let load = LoadTracker::new(Policy::default());
    for (is_paced, is_chosen) in [(true, true), (false, false)] {
        let mut rng = SmallRng::seed_from_u64(1);
        let chosen: HashSet<UpstreamId> = (0..200)
            .filter_map(|_| {
                load.choose_plain(table.staying("m"), &"a".into(), is_paced, 9 * SECOND, &mut rng)
            })
            .map(|replica| replica.record.id.clone())
            .collect();
        assert_eq!(chosen.contains("r-0"), is_chosen);
    }
}

/// News come from the network: a pace that is no number must not reach the arithmetic of times.
#[test]
fn test_news_of_a_pace_that_is_no_number_are_dropped() {
    let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
    ramps.begin(table.get("r-0").expect("it is listed"), RampCause::Start, SECOND, SECOND);
    let before = ramps.pace("r-0", 2 * SECOND);
    for (pace, run) in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY].into_iter().zip(1..) {
        assert!(!ramps.on_news(&news(RampSign::Slow(pace), run), 2 * SECOND));
        assert_eq!(ramps.pace("r-0", 2 * SECOND), before);
    }
    assert_eq!(ramps.take_ended(3 * SECOND).len(), 1);
}

/// A call that waits for ever would lower the pace of its replica again and again.
#[test]
fn test_calls_that_have_left_their_replica_do_not_wait_there() {
    type Leave = fn(&mut ReplicaRamps, &RunKey);
    let leave: [(Leave, usize); 3] = [
        (|_, _| {}, 1),
        (|ramps, key| ramps.forget_call(key), 0),
        (|ramps, _| ramps.retain(|replica| replica != "r-0"), 0),
    ];
    for (leave, told) in leave {
        let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
        let replica = table.get("r-0").expect("it is listed");
        for n in 0..200 {
            let sent = n * Duration::from_millis(10);
            answer(&mut ramps, &table, sent, sent + Duration::from_millis(10));
        }
        let key = RunKey { entry: "own".into(), run: 2 };
        ramps.on_sent(key.clone(), replica, 2 * SECOND);
        leave(&mut ramps, &key);
        ramps.begin(replica, RampCause::Start, 3 * SECOND, 3 * SECOND);
        assert_eq!(ramps.check_calls(4 * SECOND).len(), told);
    }
}

/// Nodes forward what is new to them. If contradicting news could replace each other again and again, they would
/// be forwarded without end.
#[test]
fn test_each_news_is_new_once() {
    let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
    let failed = table.get("r-0").expect("it is listed");
    ramps.begin(failed, RampCause::Failure, Duration::ZERO, Duration::ZERO);
    let signs = [RampSign::Slow(0.2), RampSign::Slow(0.6), RampSign::Fails, RampSign::Answers];
    let all: Vec<RampNews> = signs.into_iter().zip(1..).map(|(sign, run)| news(sign, run)).collect();
    let mut new_ones = 0;
    for n in 0..200_u32 {
        let now = SECOND + n * Duration::from_millis(10);
        new_ones += all.iter().filter(|news| ramps.on_news(news, now)).count();
    }
    assert!(new_ones <= all.len(), "{new_ones} were new");
}

#[test]
fn test_the_pace_is_not_limited_if_the_policy_is_off() {
    let table = two_replicas();
    let mut ramps = ReplicaRamps::new(Policy { ramp_up: false, ..Policy::default() });
    let started = table.get("r-0").expect("it is listed");
    assert!(!ramps.begin(started, RampCause::Start, SECOND, SECOND));
    assert_eq!(offered(&ramps, &table, false, SECOND), ["r-0", "r-1"]);
}

/// The pace begins low, and doubles until the replica has its whole share.
#[test]
fn test_the_pace_rises_with_time() {
    let (table, mut ramps) = (two_replicas(), ReplicaRamps::new(Policy::default()));
    ramps.begin(table.get("r-0").expect("it is listed"), RampCause::Start, SECOND, SECOND);
    let paces: Vec<String> = (0..6)
        .map(|n| format!("{:.3}", ramps.pace("r-0", SECOND + n * Duration::from_millis(150))))
        .collect();
    insta::assert_snapshot!(paces.join(" "), @"0.062 0.125 0.250 0.500 1.000 1.000");
    assert!(ramps.take_ended(2 * SECOND).is_empty(), "it is watched for a while");
    let ended = ramps.take_ended(3 * SECOND);
    insta::assert_debug_snapshot!(ended, @r#"
    [
        EndedRamp {
            replica: "r-0",
            cause: Start,
            lasted: 2s,
        },
    ]
    "#);
}

/// Guards against the flood of the few replicas that remain where all others start at once, as in a release.
#[test]
fn test_a_replica_beside_many_that_start_is_not_flooded() {
    let (now, mut rng) = (EVENT_AT, SmallRng::seed_from_u64(1));
    let mut table = ReplicaTable::new(Policy::default());
    (0..REPLICAS).for_each(|n| table.on_entry(entry(n), now, &mut ListChange::default()));
    let mut ramps = ReplicaRamps::new(Policy::default());
    for n in 1..REPLICAS {
        ramps.begin(table.get(&id(n)).expect("it is listed"), RampCause::Start, now, now);
    }
    let calls = 20_000;
    let mut at_warm = 0;
    for _ in 0..calls {
        let mut candidates: Vec<&Replica> = table.staying("m").collect();
        ramps.filter(&mut candidates, true, now, &mut rng);
        let chosen = candidates[rng.random_range(0..candidates.len())];
        at_warm += usize::from(chosen.record.id == id(0));
    }
    let even_shares = at_warm as f64 / calls as f64 * REPLICAS as f64;
    assert!(even_shares < 2.5, "{even_shares} even shares");
}
