//! The lead of a modelled fleet: the book, the choice of engines, the queue and the forecasts of
//! `leadstage-lib`, put together as a node does.

use std::time::Duration;

use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadBook;
use leadstage_lib::gateway::load::READS_AHEAD;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::rebalance::Rebalancer;
use leadstage_lib::gateway::rebalance::Relief;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::Replica;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::room_forecast::RoomForecast;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::waiting::Waiting;
use leadstage_lib::gateway::waiting::WaitingRoom;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::rngs::SmallRng;

use crate::fleet_model::experiment::Engines;

const SERVICE: &str = "model";

/// A generation that wants an engine.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub run: RunId,
    pub size: GenerationSize,
    pub priority: u8,
    /// Time until its first event is due.
    pub patience: Duration,
    /// Time until its caller leaves.
    pub leaves_after: Duration,
}

/// The lead's word.
#[derive(Clone, Debug)]
pub enum Answer {
    Placed(RunId, UpstreamId),
    /// Refused, with the time after which there should be room, if it is known.
    Refused(RunId, Option<Duration>),
    Waits,
}

pub struct Lead {
    pub table: ReplicaTable,
    pub book: LoadBook,
    traits: EngineTraits,
    room: WaitingRoom<Ask>,
    forecast: RoomForecast,
    rebalancer: Rebalancer,
    hall: HallId,
}

pub fn key(run: RunId) -> RunKey {
    RunKey { entry: "node".into(), run }
}

impl Lead {
    pub fn new(engines: &Engines, policy: Policy) -> Self {
        Lead {
            table: ReplicaTable::new(policy),
            book: LoadBook::new(policy),
            traits: EngineTraits {
                batch: engines.batch as u32,
                memory_tokens: engines.memory_tokens,
                bytes_per_token: engines.bytes_per_token,
                link_bits_per_second: engines.link_mbps * 1e6,
                moves: true,
                backups: false,
                tokens_per_event: engines.tokens_per_event,
            },
            room: WaitingRoom::default(),
            forecast: RoomForecast::default(),
            rebalancer: Rebalancer::default(),
            hall: "hall".into(),
        }
    }

    /// An engine is listed, or listed as leaving.
    pub fn on_entry(&mut self, id: &UpstreamId, leaving: bool, now: Timestamp) {
        let record = ReplicaRecord {
            id: id.clone(),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            hall: self.hall.clone(),
            slots: self.traits.batch,
            leaving,
            cold: Duration::ZERO,
            born: 0,
        };
        self.table.on_entry(record, now, &mut ListChange::default());
    }

    /// Takes a question in.
    pub fn ask(&mut self, ask: Ask, now: Timestamp, rng: &mut SmallRng) -> Answer {
        if self.room.lets_pass(ask.priority, now)
            && let Some(engine) = self.choose(&ask, now, rng)
        {
            self.room.on_passed();
            return Answer::Placed(ask.run, engine);
        }
        let tokens = self.book.memory_of(SERVICE, ask.size, 0);
        let reading = self.book.reading.usual_time(SERVICE, ask.size.prompt);
        let in_time = ask.patience.saturating_sub(reading + READS_AHEAD);
        let may_wait = ask.leaves_after.saturating_sub(reading);
        let before = self.room.tokens_before(ask.priority, now);
        let expected = self.forecast.time_until(before + tokens, now);
        if may_wait.is_zero() || expected.is_some_and(|expected| expected > may_wait) {
            return Answer::Refused(ask.run, expected);
        }
        let (due, until) = (now + in_time, now + may_wait);
        self.room.push(Waiting { item: ask, priority: ask.priority, due, until, tokens });
        Answer::Waits
    }

    /// Answers those that can go on now, and those that can't be expected to begin in time.
    pub fn settle(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(first) = self.room.pop(now) {
            let Some(engine) = self.choose(&first.item, now, rng) else {
                self.room.put_back(first);
                break;
            };
            answers.push(Answer::Placed(first.item.run, engine));
        }
        let forecast = self.forecast;
        let lost = self.room.lost(now, |tokens| forecast.time_until(tokens, now));
        answers.extend(lost.into_iter().map(|(ask, expected)| Answer::Refused(ask.run, expected)));
        answers
    }

    fn choose(&mut self, ask: &Ask, now: Timestamp, rng: &mut SmallRng) -> Option<UpstreamId> {
        let request = EngineRequest {
            size: ask.size,
            engine: &self.traits,
            hall: &self.hall,
            produced: 0,
            moves: false,
        };
        let usable = self.table.of_service(SERVICE).filter(|engine| engine.is_usable(now));
        let soon = usable.filter(|engine| self.book.reads_soon(&engine.record.id, now));
        let engine = self.book.choose_engine(soon, &request, now, rng)?.replica.clone();
        self.add(ask.run, ask.size, 0, None, &engine, now);
        Some(engine.record.id.clone())
    }

    /// Finds an engine for a generation that leaves another one.
    pub fn choose_target(
        &mut self,
        run: RunId,
        from: &UpstreamId,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        if self.book.copies_from(from) >= evacuation::COPIES_AT_ONCE {
            return None;
        }
        let known = self.book.get(&key(run))?.clone();
        let (size, produced) = (known.size?, known.produced);
        let request = EngineRequest { size, engine: &self.traits, hall: &self.hall, produced, moves: true };
        let others = self.table.of_service(SERVICE).filter(|engine| engine.record.id != *from);
        let usable = others.filter(|engine| engine.is_usable(now));
        let engine = self.book.choose_engine(usable, &request, now, rng)?.replica.clone();
        self.add(run, size, produced, Some(from.clone()), &engine, now);
        Some(engine.record.id.clone())
    }

    fn add(
        &mut self,
        run: RunId,
        size: GenerationSize,
        produced: u32,
        copied_from: Option<UpstreamId>,
        engine: &Replica,
        now: Timestamp,
    ) {
        let replica = engine.record.id.clone();
        self.book.add(key(run), Run { replica, size: Some(size), produced, copied_from }, engine, now);
    }

    /// A generation is no longer at its engine, which stays or not.
    pub fn on_ended(&mut self, run: RunId, now: Timestamp) {
        let Some(run) = self.book.remove(&key(run)) else { return };
        let stays = self.table.get(&run.replica).is_some_and(|replica| replica.leaving.is_none());
        if let Some(size) = run.size.filter(|_| stays) {
            self.forecast.on_freed(f64::from(size.prompt + run.produced), now);
        }
    }

    /// Generations that should move for balance.
    pub fn reliefs(&mut self, now: Timestamp) -> Vec<Relief> {
        let usable = self.table.of_service(SERVICE).filter(|engine| engine.is_usable(now));
        self.rebalancer.reliefs(&self.book, usable, &self.traits, now)
    }

    /// Time to copy so many tokens of memory.
    pub fn copy_time(&self, tokens: u32) -> Duration {
        self.traits.copy_time(tokens)
    }
}
