//! Writes one shard of claims for this VM: many requests in one conditional update.
//! Sans-I/O; one [`ClaimWriter`] for a shard.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claims::ClaimRequest;
use crate::claims::ClaimShard;
use crate::claims::ClaimVerdict;
use crate::claims::Ticket;
use crate::ids::Timestamp;
use crate::ids::UnixMillis;

/// What the driver is to do. It bounds the time of each read and write itself and
/// reports each exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Read the shard's object and report with [`ClaimWriter::on_read`].
    Read,
    /// Write it if it still has this version, and report with [`ClaimWriter::on_write`].
    Write {
        /// The version that it must have; 0 for absent.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Answer a question.
    Answer {
        /// Which.
        ticket: Ticket,
        /// The answer.
        verdict: ClaimVerdict,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and the object has this version.
    Done {
        /// The new version.
        version: u64,
    },
    /// The object had another version.
    Conflict,
    /// No answer, or a failure: it may have taken effect.
    Unknown,
}

#[derive(Clone, Debug)]
struct Asked {
    ticket: Ticket,
    key: String,
    request: ClaimRequest,
    since: Timestamp,
}

#[derive(Debug, PartialEq)]
enum State {
    Idle,
    Reading,
    Writing,
}

/// A shard, and whether it was read just now.
struct Known {
    version: u64,
    shard: ClaimShard,
    fresh: bool,
}

/// Writes one shard for this VM: many requests in one conditional update.
#[derive(Debug)]
pub struct ClaimWriter {
    state: State,
    shard: Option<(u64, ClaimShard)>,
    proposed: ClaimShard,
    asked: VecDeque<Asked>,
    answers: Vec<(Ticket, ClaimVerdict)>,
    in_read: usize,
    in_write: usize,
    last_write: Option<Timestamp>,
    commit_interval: Duration,
    kept: Duration,
    patience: Duration,
}

impl ClaimWriter {
    /// A writer that commits at most once in `commit_interval`, keeps claims for
    /// `kept`, and gives up on a request after `patience`.
    pub fn new(commit_interval: Duration, kept: Duration, patience: Duration) -> Self {
        ClaimWriter {
            state: State::Idle,
            shard: None,
            proposed: ClaimShard::default(),
            asked: VecDeque::new(),
            answers: Vec::new(),
            in_read: 0,
            in_write: 0,
            last_write: None,
            commit_interval,
            kept,
            patience,
        }
    }

    /// Something is wanted of `key`.
    pub fn ask(&mut self, ticket: Ticket, key: String, request: ClaimRequest, now: Timestamp) {
        self.asked.push_back(Asked { ticket, key, request, since: now });
    }

    /// Time has passed, or something was asked; `unix_now` stamps new claims.
    pub fn advance(&mut self, now: Timestamp, unix_now: UnixMillis) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if self.state == State::Idle {
            self.give_up_requests(now, &mut actions);
        }
        let due = self.last_write.is_none_or(|at| now.saturating_sub(at) >= self.commit_interval);
        if self.state != State::Idle || self.asked.is_empty() || !due {
            return actions;
        }
        match self.shard.take() {
            None => {
                self.read(&mut actions);
            }
            Some((version, shard)) => {
                self.commit(Known { version, shard, fresh: false }, now, unix_now, &mut actions)
            }
        }
        actions
    }

    /// What is not answered in time is answered "unreachable": the arrival must not
    /// dispatch, so "not run" stays true even if a lost write took effect.
    fn give_up_requests(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let patience = self.patience;
        while let Some(asked) = self.asked.front() {
            if now.saturating_sub(asked.since) < patience {
                return;
            }
            actions.push(ClaimAction::Answer { ticket: asked.ticket, verdict: ClaimVerdict::Unreachable });
            self.asked.pop_front();
        }
    }

    /// The read is over: the object's version and value, (0, empty) when it is absent,
    /// or `None` when it failed.
    pub fn on_read(
        &mut self,
        read: Option<(u64, Vec<u8>)>,
        now: Timestamp,
        unix_now: UnixMillis,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if self.state != State::Reading {
            return actions;
        }
        self.state = State::Idle;
        let parsed = read.and_then(|(version, value)| Some((version, ClaimShard::from_bytes(&value)?)));
        match parsed {
            Some((version, shard)) => {
                self.commit(Known { version, shard, fresh: true }, now, unix_now, &mut actions)
            }
            None => self.answer_unreachable(&mut actions),
        }
        actions
    }

    fn read(&mut self, actions: &mut Vec<ClaimAction>) {
        self.state = State::Reading;
        self.in_read = self.asked.len();
        actions.push(ClaimAction::Read);
    }

    /// The object API cannot be read: answer at once instead of waiting on. What was asked
    /// since the read began is not answered by it: the object API may be back by then.
    fn answer_unreachable(&mut self, actions: &mut Vec<ClaimAction>) {
        for asked in self.asked.drain(..self.in_read) {
            actions.push(ClaimAction::Answer { ticket: asked.ticket, verdict: ClaimVerdict::Unreachable });
        }
    }

    /// Applies what was asked and writes the result if it differs. What another writer
    /// may have settled since the shard was read is never answered from memory: the
    /// shard is read again first.
    fn commit(&mut self, known: Known, now: Timestamp, unix_now: UnixMillis, actions: &mut Vec<ClaimAction>) {
        let Known { version, shard, fresh } = known;
        let mut proposed = shard.clone();
        proposed.drop_old(unix_now, self.kept);
        let mut bytes = proposed.to_bytes().len();
        self.answers.clear();
        for asked in &self.asked {
            let verdict = proposed.apply(&asked.key, &asked.request, unix_now, &mut bytes);
            self.answers.push((asked.ticket, verdict));
        }
        if !fresh && self.answers.iter().any(|(_, verdict)| verdict.may_be_outdated()) {
            return self.read(actions);
        }
        self.in_write = self.asked.len();
        if proposed == shard {
            self.shard = Some((version, shard));
            return self.answer(actions);
        }
        let value = proposed.to_bytes();
        self.proposed = proposed;
        self.state = State::Writing;
        self.last_write = Some(now);
        actions.push(ClaimAction::Write { expected: version, value });
    }

    fn answer(&mut self, actions: &mut Vec<ClaimAction>) {
        self.asked.drain(..self.in_write.min(self.asked.len()));
        self.in_write = 0;
        let answers = std::mem::take(&mut self.answers);
        actions.extend(answers.into_iter().map(|(ticket, verdict)| ClaimAction::Answer { ticket, verdict }));
    }

    /// The write is over. After a conflict or a lost answer the shard is read again:
    /// what took effect is found by its nonce, the rest is tried again.
    pub fn on_write(&mut self, result: WriteResult) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if self.state != State::Writing {
            return actions;
        }
        self.state = State::Idle;
        match result {
            WriteResult::Done { version } => {
                self.shard = Some((version, std::mem::take(&mut self.proposed)));
                self.answer(&mut actions);
            }
            WriteResult::Conflict | WriteResult::Unknown => {
                self.read(&mut actions);
            }
        }
        actions
    }

    /// Requests that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.asked.len()
    }
}
