//! Writes the claim shards of this VM: many requests are committed in one conditional update.
//!
//! Sans-I/O; there is one [`ClaimWriter`] per shard.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claims::ClaimRequest;
use crate::claims::ClaimShard;
use crate::claims::ClaimVerdict;
use crate::claims::Ticket;
use crate::ids::Timestamp;
use crate::ids::UnixMillis;

/// An action for the driver, which applies a timeout to each read and write and reports the result of each
/// exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Read the object of the shard and report the result to [`ClaimWriter::on_read`].
    Read,
    /// Write the object if its version is `expected`, and report the result to [`ClaimWriter::on_write`].
    Write {
        /// The version that the object must have; 0 if it must not exist.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Answer a request.
    Answer {
        /// The ticket of the request.
        ticket: Ticket,
        /// The result of the request.
        verdict: ClaimVerdict,
    },
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Done {
        /// The new version of the object.
        version: u64,
    },
    /// The object had another version; the write did not take effect.
    Conflict,
    /// The write failed or timed out; it may have taken effect.
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

/// A version of the shard, and whether it was read for the current commit.
struct ShardSnapshot {
    version: u64,
    shard: ClaimShard,
    fresh: bool,
}

/// Commits the requests of this VM to one shard, many of them in one conditional update.
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
    /// Creates a writer that starts a commit no earlier than `commit_interval` after its last write, retains
    /// claims for `retention`, and abandons a request after `timeout`.
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

    /// Queues a request for `key`; the result is a [`ClaimAction::Answer`] with the same ticket.
    pub fn submit(&mut self, ticket: Ticket, key: String, request: ClaimRequest, now: Timestamp) {
        self.queue.push_back(PendingRequest { ticket, key, request, submitted_at: now });
    }

    /// Starts a commit if one is due, and expires old requests; `unix_now` is the time of new claims.
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

    /// Answers requests that have timed out with [`ClaimVerdict::Unreachable`]. The arrival must then not be
    /// dispatched, so that "not run" is true even if a write whose result was lost took effect.
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

    /// Handles the result of a read: the version and value of the object, (0, empty) if the object does not
    /// exist, or `None` if the read failed.
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

    /// Answers requests at once after a failed read, instead of letting them time out. Requests that were
    /// submitted after the read began stay queued: the object API may be reachable again by then.
    fn answer_unreachable(&mut self, actions: &mut Vec<ClaimAction>) {
        for pending in self.queue.drain(..self.queued_at_read) {
            actions.push(ClaimAction::Answer { ticket: pending.ticket, verdict: ClaimVerdict::Unreachable });
        }
    }

    /// Applies the queued requests and writes the shard if they change it. A result that another writer may
    /// have changed since the shard was read is not answered from the cached shard: the shard is read again
    /// first.
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

    /// Handles the result of a write. After a conflict or an unknown result the shard is read again: requests
    /// that took effect are recognised by their nonce, the others are applied again.
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

    /// Returns the number of requests that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}
