//! Claims of `Idempotency-Key`s in shards of the object API: a key is claimed by
//! conditional update before the request may be dispatched, so it runs at most once
//! whoever else writes the shard. Sans-I/O: one [`ClaimWriter`] for a shard.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Ran;
use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::rendezvous;

/// Bytes of a shard at which no more keys are taken; the object API holds 1 MB.
pub const FULL_BYTES: usize = 900_000;
/// Bytes of a recorded answer's body at most; a longer one is not kept.
pub const MAX_KEPT_BODY: usize = 2_048;

/// Names an arrival: the same for its retries, different for any other.
pub type Nonce = u64;
/// Names a question to the writer, to match the answer.
pub type Ticket = u64;
/// Milliseconds since the Unix epoch, by the writer's clock.
pub type UnixMillis = u64;

/// The shard of a key.
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (rendezvous::weight("claim", key) % u64::from(shards.max(1))) as u32
}

/// The object that holds a shard.
pub fn object_key(shard: u32) -> String {
    format!("claims/{shard}")
}

/// A recorded answer.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ClaimOutcome {
    /// Number of the result code.
    pub code: u16,
    /// HTTP status that the caller got.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// The body, if it was short enough to keep and is text.
    pub body: Option<String>,
}

impl ClaimOutcome {
    /// The outcome of a request that did not run.
    pub fn not_run(code: Code) -> Self {
        ClaimOutcome {
            code: code.number(),
            status: code.http_status(),
            content_type: String::new(),
            body: None,
        }
    }

    /// Whether it says that the request did not run, so that the key may be claimed again.
    pub fn says_not_run(&self) -> bool {
        Code::from_number(self.code).is_some_and(|code| code.ran() == Ran::No)
    }
}

/// A claimed key.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Claim {
    /// The arrival that owns it.
    pub nonce: Nonce,
    /// The VM where it arrived.
    pub by: VmId,
    /// Hash of the request, to tell a reused key.
    pub digest: String,
    /// When it was claimed.
    pub at: UnixMillis,
    /// The answer, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<ClaimOutcome>,
}

/// A shard as it is stored.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct ClaimShard {
    /// Claims by hashed key.
    pub claims: BTreeMap<String, Claim>,
}

/// What is wanted of the shard.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimRequest {
    /// Own this key.
    Claim {
        /// The arrival.
        nonce: Nonce,
        /// Where it arrived.
        by: VmId,
        /// Hash of the request.
        digest: String,
    },
    /// Record the outcome of an owned key.
    Record {
        /// The arrival that owns it.
        nonce: Nonce,
        /// The answer.
        outcome: ClaimOutcome,
    },
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    /// The arrival owns the key: it may dispatch, once.
    Claimed,
    /// The outcome is recorded.
    Recorded,
    /// Another arrival owns the key.
    Known {
        /// Where that one arrived.
        by: VmId,
        /// Its answer, once there is one.
        outcome: Option<ClaimOutcome>,
    },
    /// The outcome is not recorded: the arrival does not own the key (any more).
    NotOwned,
    /// The key was used with another request.
    KeyReused,
    /// The shard holds as many keys as fit.
    Full,
    /// The object API did not take the write; the arrival does not own the key.
    Unreachable,
}

impl ClaimVerdict {
    /// Another writer may have changed what this says.
    fn may_be_outdated(&self) -> bool {
        match self {
            ClaimVerdict::Known { outcome, .. } => outcome.is_none(),
            ClaimVerdict::KeyReused | ClaimVerdict::NotOwned => true,
            _ => false,
        }
    }
}

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
                self.state = State::Reading;
                actions.push(ClaimAction::Read);
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
        let parsed = read.and_then(|(version, value)| Some((version, parse(&value)?)));
        match parsed {
            Some((version, shard)) => {
                self.commit(Known { version, shard, fresh: true }, now, unix_now, &mut actions)
            }
            None => self.answer_all_unreachable(&mut actions),
        }
        actions
    }

    /// The object API cannot be read: answer at once instead of waiting on.
    fn answer_all_unreachable(&mut self, actions: &mut Vec<ClaimAction>) {
        for asked in self.asked.drain(..) {
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
            let verdict = proposed.apply(asked, unix_now, &mut bytes);
            self.answers.push((asked.ticket, verdict));
        }
        if !fresh && self.answers.iter().any(|(_, verdict)| verdict.may_be_outdated()) {
            self.state = State::Reading;
            return actions.push(ClaimAction::Read);
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
                self.state = State::Reading;
                actions.push(ClaimAction::Read);
            }
        }
        actions
    }

    /// Requests that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.asked.len()
    }
}

fn parse(value: &[u8]) -> Option<ClaimShard> {
    if value.is_empty() {
        return Some(ClaimShard::default());
    }
    serde_json::from_slice(value).ok()
}

impl ClaimShard {
    /// The bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain data serialises")
    }

    fn drop_old(&mut self, unix_now: UnixMillis, kept: Duration) {
        let kept = kept.as_millis() as u64;
        self.claims.retain(|_, claim| unix_now.saturating_sub(claim.at) < kept);
    }

    fn apply(&mut self, asked: &Asked, unix_now: UnixMillis, bytes: &mut usize) -> ClaimVerdict {
        match &asked.request {
            ClaimRequest::Claim { nonce, by, digest } => {
                let claim = Claim {
                    nonce: *nonce,
                    by: by.clone(),
                    digest: digest.clone(),
                    at: unix_now,
                    outcome: None,
                };
                self.claim(&asked.key, claim, bytes)
            }
            ClaimRequest::Record { nonce, outcome } => self.record(&asked.key, *nonce, outcome, bytes),
        }
    }

    fn claim(&mut self, key: &str, claim: Claim, bytes: &mut usize) -> ClaimVerdict {
        if let Some(known) = self.claims.get(key) {
            if known.nonce == claim.nonce {
                return ClaimVerdict::Claimed;
            }
            if known.digest != claim.digest {
                return ClaimVerdict::KeyReused;
            }
            let released = known.outcome.as_ref().is_some_and(ClaimOutcome::says_not_run);
            if !released {
                return ClaimVerdict::Known { by: known.by.clone(), outcome: known.outcome.clone() };
            }
        }
        let added = key.len() + claim.digest.len() + claim.by.len() + 96;
        if *bytes + added > FULL_BYTES {
            return ClaimVerdict::Full;
        }
        *bytes += added;
        self.claims.insert(key.to_owned(), claim);
        ClaimVerdict::Claimed
    }

    /// Records an outcome; one that is there already stands. A body that does not fit
    /// is left out, so that the outcome itself can always be kept.
    fn record(&mut self, key: &str, nonce: Nonce, outcome: &ClaimOutcome, bytes: &mut usize) -> ClaimVerdict {
        let Some(claim) = self.claims.get_mut(key).filter(|c| c.nonce == nonce) else {
            return ClaimVerdict::NotOwned;
        };
        if claim.outcome.is_some() {
            return ClaimVerdict::Recorded;
        }
        let mut outcome = outcome.clone();
        let added = outcome.body.as_ref().map_or(0, |body| body.len() * 2) + 96;
        let fits = *bytes + added <= FULL_BYTES;
        outcome.body = outcome.body.filter(|body| fits && body.len() <= MAX_KEPT_BODY);
        *bytes += added;
        claim.outcome = Some(outcome);
        ClaimVerdict::Recorded
    }
}
