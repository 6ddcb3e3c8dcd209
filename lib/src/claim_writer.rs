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
struct PendingRequest {
    ticket: Ticket,
    key: String,
    request: ClaimRequest,
    submitted_at: Timestamp,
}

#[derive(Debug, PartialEq)]
enum State {
    Idle,
    Reading,
    Writing,
}

/// A shard, and whether it was read just now.
struct ShardSnapshot {
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
    queue: VecDeque<PendingRequest>,
    answers: Vec<(Ticket, ClaimVerdict)>,
    queued_at_read: usize,
    queued_at_write: usize,
    last_write: Option<Timestamp>,
    commit_interval: Duration,
    retention: Duration,
    timeout: Duration,
}

impl ClaimWriter {
    /// A writer that commits at most once in `commit_interval`, keeps claims for
    /// `retention`, and gives up on a request after `timeout`.
    pub fn new(commit_interval: Duration, retention: Duration, timeout: Duration) -> Self {
        ClaimWriter {
            state: State::Idle,
            shard: None,
            proposed: ClaimShard::default(),
            queue: VecDeque::new(),
            answers: Vec::new(),
            queued_at_read: 0,
            queued_at_write: 0,
            last_write: None,
            commit_interval,
            retention,
            timeout,
        }
    }

    /// Something is wanted of `key`.
    pub fn ask(&mut self, ticket: Ticket, key: String, request: ClaimRequest, now: Timestamp) {
        self.queue.push_back(PendingRequest { ticket, key, request, submitted_at: now });
    }

    /// Time has passed, or something was asked; `unix_now` stamps new claims.
    pub fn advance(&mut self, now: Timestamp, unix_now: UnixMillis) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if self.state == State::Idle {
            self.expire_requests(now, &mut actions);
        }
        let due = self.last_write.is_none_or(|at| now.saturating_sub(at) >= self.commit_interval);
        if self.state != State::Idle || self.queue.is_empty() || !due {
            return actions;
        }
        match self.shard.take() {
            None => {
                self.read(&mut actions);
            }
            Some((version, shard)) => {
                self.commit(ShardSnapshot { version, shard, fresh: false }, now, unix_now, &mut actions)
            }
        }
        actions
    }

    /// What is not answered in time is answered "unreachable": the arrival must not
    /// dispatch, so "not run" stays true even if a lost write took effect.
    fn expire_requests(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let timeout = self.timeout;
        while let Some(pending) = self.queue.front() {
            if now.saturating_sub(pending.submitted_at) < timeout {
                return;
            }
            actions.push(ClaimAction::Answer { ticket: pending.ticket, verdict: ClaimVerdict::Unreachable });
            self.queue.pop_front();
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
                self.commit(ShardSnapshot { version, shard, fresh: true }, now, unix_now, &mut actions)
            }
            None => self.answer_unreachable(&mut actions),
        }
        actions
    }

    fn read(&mut self, actions: &mut Vec<ClaimAction>) {
        self.state = State::Reading;
        self.queued_at_read = self.queue.len();
        actions.push(ClaimAction::Read);
    }

    /// The object API cannot be read: answer at once instead of waiting on. What was asked
    /// since the read began is not answered by it: the object API may be back by then.
    fn answer_unreachable(&mut self, actions: &mut Vec<ClaimAction>) {
        for pending in self.queue.drain(..self.queued_at_read) {
            actions.push(ClaimAction::Answer { ticket: pending.ticket, verdict: ClaimVerdict::Unreachable });
        }
    }

    /// Applies what was asked and writes the result if it differs. What another writer
    /// may have settled since the shard was read is never answered from memory: the
    /// shard is read again first.
    fn commit(
        &mut self,
        snapshot: ShardSnapshot,
        now: Timestamp,
        unix_now: UnixMillis,
        actions: &mut Vec<ClaimAction>,
    ) {
        let ShardSnapshot { version, shard, fresh } = snapshot;
        let mut proposed = shard.clone();
        proposed.remove_expired(unix_now, self.retention);
        let mut bytes = proposed.to_bytes().len();
        self.answers.clear();
        for pending in &self.queue {
            let verdict = proposed.apply(&pending.key, &pending.request, unix_now, &mut bytes);
            self.answers.push((pending.ticket, verdict));
        }
        if !fresh && self.answers.iter().any(|(_, verdict)| verdict.may_be_outdated()) {
            return self.read(actions);
        }
        self.queued_at_write = self.queue.len();
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
        self.queue.drain(..self.queued_at_write.min(self.queue.len()));
        self.queued_at_write = 0;
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
        self.queue.len()
    }
}
