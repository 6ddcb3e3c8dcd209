//! Benchmarks the cost of a placement decision and how it scales with engines and running generations.
//!
//! `cargo bench -p leadstage-lib --bench decision`; the results are in docs/BENCHMARKS.md.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use leadstage_lib::bundle::Bounds;
use leadstage_lib::bundle::Objective;
use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::organisation_shares::Need;
use leadstage_lib::gateway::organisation_shares::OrganisationShares;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::recent_successes::RecentSuccesses;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::gateway::waiting::WaitQueue;
use leadstage_lib::gateway::waiting::Waiting;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::pool::Pool;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::EngineLimits;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_lib::pool_event::PoolAction;
use leadstage_lib::pool_event::PoolEvent;
use leadstage_lib::pool_event::PoolPolicy;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Decisions measured for each configuration.
const ROUNDS: u64 = 20_000;
/// Maximum number of engines that a lead considers for one generation.
const MAX_CONSIDERED: usize = 64;
/// Longest gap between two events of a generation that counts as in time.
const GAP_OBJECTIVE: Duration = Duration::from_millis(180);
/// Number of organisations that the requests are distributed over.
const ORGANISATIONS: u64 = 260;

fn main() {
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    println!("engines,running,waiting,place_us,end_us,progress_us,tick_us");
    for (engines, running) in [(6, 375), (16, 1_000), (32, 2_000), (64, 4_000), (64, 1_000), (128, 8_000)] {
        measure_pool(engines, running, 0);
    }
    measure_pool(64, 4_000, 200);
    println!("engines,generations,choice_by_growth_us,choice_by_peak_us");
    for (engines, generations) in [(60, 300), (128, 1_000)] {
        let [by_growth, by_peak] = [false, true].map(|by_peak| measure_choice(engines, generations, by_peak));
        println!("{engines},{generations},{by_growth:.1},{by_peak:.1}");
    }
    println!("waiting,organisations,queue_choice_us,measurement_us");
    for (waiting, organisations) in [(100, 24), (1_000, 24), (10_000, 24), (10_000, 333)] {
        let [choice, measurement] = measure_queue(waiting, organisations);
        println!("{waiting},{organisations},{choice:.1},{measurement:.1}");
    }
    println!("body_bytes,quick_name_us,fingerprint_us");
    [0, 8 << 10, 1 << 20, 4 << 20].into_iter().for_each(measure_request_hashes);
}

/// Mean time in microseconds of the gateway's choice of an engine, with as many candidates as a lead
/// considers.
fn measure_choice(engines: u32, generations: u64, admit_by_peak: bool) -> f64 {
    let engine_id = |at: u32| -> UpstreamId { format!("engine-{at}").into() };
    let record = |at: u32| ReplicaRecord {
        id: engine_id(at),
        service: "model".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        slots: 24,
        leaving: false,
        cold: Duration::ZERO,
        born: 0,
        version: "v1".into(),
    };
    let policy = Policy { admit_by_peak, ..Policy::default() };
    let mut table = ReplicaTable::new(policy);
    table.on_list((0..engines).map(record).collect(), None, Duration::ZERO);
    let mut tracker = LoadTracker::new(policy);
    let size = GenerationSize { prompt: 2_000, expected: 700 };
    for run in 0..generations {
        let replica = engine_id((run % u64::from(engines)) as u32);
        let listed = table.get(&replica).expect("replica is in the list").clone();
        let produced = (run * 37 % 700) as u32;
        let gap_objective = Some(GAP_OBJECTIVE);
        let tracked_run = Run { replica, size: Some(size), produced, gap_objective, ..Run::default() };
        tracker.add(RunKey { entry: "node".into(), run }, tracked_run, &listed, Duration::ZERO);
    }
    report_progress(&mut tracker);
    let engine = EngineTraits {
        batch: 24,
        memory_tokens: 34_000,
        bytes_per_token: 300_000,
        link_bits_per_second: 47e9,
        moves: true,
        backups: false,
        tokens_per_event: 4,
    };
    let hall = "hall".into();
    let request = EngineRequest {
        size,
        engine: &engine,
        hall: &hall,
        produced: 0,
        moves: false,
        gap_objective: Some(GAP_OBJECTIVE),
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let considered = table.sample("model", &hall, MAX_CONSIDERED, &mut rng, |_| true);
        black_box(tracker.choose_engine(considered.into_iter(), &request, Duration::ZERO, &mut rng));
    }
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

/// Reports some seconds of progress of all generations, from which the paces of the engines are learned.
fn report_progress(tracker: &mut LoadTracker) {
    let node = "node".into();
    for second in 1..5 {
        let runs = tracker.runs_of_entry(&node).map(|(id, run)| {
            let produced = run.produced + 100;
            (id, Run { produced, longest_gap: Duration::from_millis(80 * second), ..run.clone() })
        });
        let runs = runs.collect();
        tracker.on_inventory(&node, 0..=u64::MAX, runs, Duration::from_secs(second));
    }
}

/// Mean times in microseconds of the choice of the next of `waiting` generations, which finds no room and is put
/// back, and of computing the levels of the organisations. Each tenth organisation uses its share.
fn measure_queue(waiting: u64, organisations: u64) -> [f64; 2] {
    let organisation = |at: u64| -> OrganisationId { format!("org-{at}").into() };
    let mut queue = WaitQueue::default();
    let mut shares = OrganisationShares::default();
    shares.on_short(Shortage::Memory, Duration::ZERO);
    for n in 0..waiting {
        let id = organisation(n % organisations);
        shares.on_waits(&id, Need { memory: 3_000.0, prompt: 2_500.0 });
        let due = Duration::from_millis(n * 7 % 4_000);
        let until = due + Duration::from_secs(60);
        let priority = (n % 3) as u8;
        queue.push(Waiting { item: n, organisation: Some(id), priority, due, until, tokens: 3_000.0 });
    }
    let now = Duration::from_secs(2);
    for at in (0..organisations).step_by(10) {
        queue.set_paused(&organisation(at), true);
    }
    let started = Instant::now();
    for _ in 0..ROUNDS {
        if let Some(first) = queue.pop(now) {
            queue.put_back(black_box(first));
        }
    }
    let choice = started.elapsed();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let held = (0..organisations).map(|at| (organisation(at), 20_000.0));
        shares.on_measured(held, now);
        black_box(shares.is_over(&organisation(0), now));
    }
    [choice, started.elapsed()].map(|time| time.as_secs_f64() * 1e6 / ROUNDS as f64)
}

/// Measures the two hashes of a request: the fast hash, computed for every request that succeeds, and the
/// fingerprint, computed once there is evidence against a request.
fn measure_request_hashes(body_bytes: usize) {
    let body = vec![7; body_bytes];
    let parts = RequestParts {
        method: "POST",
        host: "h.example",
        path: "/v1/summaries/",
        organisation: "org-1",
        body: &body,
    };
    let recent_successes = RecentSuccesses::default();
    let rounds = (1 << 26) / (body_bytes as u32 + 4_096);
    let micros = |started: Instant| started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    let started = Instant::now();
    for _ in 0..rounds {
        black_box(recent_successes.hash(black_box(&parts)));
    }
    let fast_hash_us = micros(started);
    let started = Instant::now();
    for _ in 0..rounds {
        black_box(Fingerprint::of(black_box(&parts)));
    }
    println!("{body_bytes},{fast_hash_us:.2},{:.2}", micros(started));
}

fn request(generation: u64) -> PlaceRequest {
    PlaceRequest {
        generation,
        organisation: format!("org-{}", generation % ORGANISATIONS).into(),
        entry: "entry".into(),
        prompt_tokens: 400,
        max_tokens: 30_000,
        priority: 0,
        prefix: 0,
    }
}

/// Measures the events of a pool with `running` generations, on engines large enough that none of them
/// waits. A further `waiting` requests are too large for any engine and stay in the queue.
fn measure_pool(engines: usize, running: u64, waiting: u64) {
    let mut policy = PoolPolicy::new(Objective::TokenGap, &Bounds::default());
    policy.max_wait = Duration::from_secs(600);
    let mut pool = Pool::new(policy, 1);
    let limits = EngineLimits { blocks: 1_000_000, block_tokens: 16, max_batch: 256 };
    let mut actions = Vec::new();
    let mut now = Duration::from_secs(1);
    for engine in 0..engines {
        let engine = format!("{engine:04}").into();
        pool.handle(now, PoolEvent::EngineUp { engine, limits }, &mut actions);
    }
    for generation in 0..running {
        now += Duration::from_millis(50);
        pool.handle(now, PoolEvent::Place(request(generation)), &mut actions);
        let report = PoolEvent::Progress { generation, tokens: 50 };
        pool.handle(now, report, &mut actions);
    }
    for extra in 0..waiting {
        let large = PlaceRequest { prompt_tokens: u32::MAX, ..request(1 << 40 | extra) };
        pool.handle(now, PoolEvent::Place(large), &mut actions);
    }
    let mut elapsed_by_event = [Duration::ZERO; 5];
    for round in 0..ROUNDS {
        now += Duration::from_millis(2);
        let mut timed = |slot: usize, event: PoolEvent, actions: &mut Vec<PoolAction>| {
            let start = Instant::now();
            pool.handle(now, event, actions);
            elapsed_by_event[slot] += start.elapsed();
        };
        actions.clear();
        timed(0, PoolEvent::Place(request(running + round)), &mut actions);
        timed(1, PoolEvent::Ended { generation: round, tokens: 200, how: EndKind::Finished }, &mut actions);
        timed(4, PoolEvent::Progress { generation: running + round, tokens: 1 }, &mut actions);
        let generation = round + running / 2;
        timed(2, PoolEvent::Progress { generation, tokens: 60 + (round % 40) as u32 }, &mut actions);
        if round % 50 == 0 {
            timed(3, PoolEvent::Tick, &mut actions);
        }
    }
    let micros = |slot: usize, count: u64| elapsed_by_event[slot].as_secs_f64() * 1e6 / count as f64;
    println!(
        "{engines},{running},{waiting},{:.2},{:.2},{:.2},{:.2}",
        micros(0, ROUNDS),
        micros(1, ROUNDS),
        micros(2, ROUNDS),
        micros(3, ROUNDS / 50),
    );
}
