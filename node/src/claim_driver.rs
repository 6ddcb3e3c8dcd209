//! Drives [`leadstage_lib::claims`]: sends each claim to the shard's preferred writer, which commits many
//! claims in one conditional update. An entry that cannot reach that writer writes the shard itself.

use std::collections::HashMap;
use std::time::Duration;

use leadstage_lib::bundle::Bounds;
use leadstage_lib::claim_writer::ClaimAction;
use leadstage_lib::claim_writer::ClaimWriter;
use leadstage_lib::claim_writer::WriteResult;
use leadstage_lib::claims;
use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::claims::ClaimRequest;
use leadstage_lib::claims::ClaimVerdict;
use leadstage_lib::claims::Nonce;
use leadstage_lib::claims::Ticket;
use leadstage_lib::code::Code;
use leadstage_lib::ids::VmId;
use leadstage_lib::membership::Liveness;
use leadstage_lib::rendezvous;
use log::warn;
use tokio::sync::oneshot;

use crate::control::Control;
use crate::control::ControlRef;
use crate::control_message::ClaimDecision;
use crate::peers;
use crate::peers::RemoteClaim;
use crate::shared::unix_millis;

/// A claim or record that is not settled within this time is answered "unreachable".
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// `Retry-After` when the object API cannot be reached.
const PLATFORM_RETRY: Duration = Duration::from_secs(5);
/// `Retry-After` when a shard is full or a claim is in progress.
const BUSY_RETRY: Duration = Duration::from_secs(2);
/// Attempts to record an outcome before it is abandoned.
const MAX_RECORD_ATTEMPTS: u32 = 5;
/// Pause between two attempts to record an outcome.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

struct Shard {
    writer: ClaimWriter,
    replies: HashMap<Ticket, oneshot::Sender<ClaimVerdict>>,
}

/// The claim shards that this VM writes.
#[derive(Default)]
pub struct ClaimShards {
    shards: HashMap<u32, Shard>,
    bounds: Bounds,
    last_ticket: Ticket,
}

impl ClaimShards {
    /// Applies the bounds of a new bundle. If the bounds of claims changed, all writers are dropped and
    /// created again on demand; requests that wait are answered "unreachable" as their reply channels close.
    pub fn set_bounds(&mut self, bounds: &Bounds) {
        let claims_unchanged =
            bounds.claim_commit == self.bounds.claim_commit && bounds.claims_kept == self.bounds.claims_kept;
        self.bounds = bounds.clone();
        if !claims_unchanged {
            self.shards.clear();
        }
    }

    /// The number of claims and outcomes that wait for a write.
    pub fn waiting(&self) -> usize {
        self.shards.values().map(|s| s.writer.waiting()).sum()
    }

    fn shard(&mut self, shard: u32) -> &mut Shard {
        let (commit, kept) = (self.bounds.claim_commit, self.bounds.claims_kept);
        self.shards.entry(shard).or_insert_with(|| Shard {
            writer: ClaimWriter::new(commit, kept, SETTLE_TIMEOUT),
            replies: HashMap::new(),
        })
    }
}

/// Claims a key for a request that arrived at this VM.
pub async fn claim(control: &ControlRef, key: String, nonce: Nonce, digest: String) -> ClaimDecision {
    let shard = claims::shard_of(&key, control.borrow().claims.bounds.claim_shards);
    let writer = preferred_writer(&control.borrow(), shard);
    if let Some(writer) = writer {
        let remote = RemoteClaim { shard, key: &key, nonce, digest: &digest };
        if let Ok(claimed) = peers::claim(control, &writer, &remote).await {
            return claimed;
        }
    }
    let by = control.borrow().settings.vm.clone();
    claim_here(control, shard, key, ClaimRequest::Claim { nonce, by, digest }).await
}

/// Claims a key in a shard that this VM writes, for a request that arrived here or at a peer.
pub async fn claim_here(
    control: &ControlRef,
    shard: u32,
    key: String,
    request: ClaimRequest,
) -> ClaimDecision {
    match submit_and_wait(control, shard, key, request).await {
        ClaimVerdict::Claimed | ClaimVerdict::Recorded => ClaimDecision::Owned,
        ClaimVerdict::Known { outcome: Some(outcome), .. } => ClaimDecision::Outcome(outcome),
        ClaimVerdict::Known { by, outcome: None } => {
            let code =
                if is_alive(&control.borrow(), &by) { Code::KeyInProgress } else { Code::ClaimantLost };
            ClaimDecision::Refused { code, retry_after: BUSY_RETRY }
        }
        ClaimVerdict::KeyReused => {
            ClaimDecision::Refused { code: Code::KeyReused, retry_after: Duration::ZERO }
        }
        ClaimVerdict::Full => ClaimDecision::Refused { code: Code::ClaimShardFull, retry_after: BUSY_RETRY },
        ClaimVerdict::Unreachable | ClaimVerdict::NotOwned => {
            ClaimDecision::Refused { code: Code::PlatformDown, retry_after: PLATFORM_RETRY }
        }
    }
}

fn is_alive(control: &Control, vm: &VmId) -> bool {
    *vm == control.settings.vm || control.membership.liveness(vm) == Some(Liveness::Alive)
}

/// The live VM that should write a shard, or `None` if it is this VM. As all VMs prefer the same writer,
/// conditional updates rarely conflict.
fn preferred_writer(control: &Control, shard: u32) -> Option<VmId> {
    let name = claims::object_key(shard);
    let own = &control.settings.vm;
    let alive = control.membership.alive().filter(|vm| is_alive(control, vm));
    let writer = rendezvous::pick(&name, alive.chain([own]))?;
    (writer != own).then(|| writer.clone())
}

/// Records the outcome of a request that arrived at this VM. Makes up to `MAX_RECORD_ATTEMPTS` attempts.
pub async fn record(control: ControlRef, key: String, nonce: Nonce, outcome: ClaimOutcome) {
    let shard = claims::shard_of(&key, control.borrow().claims.bounds.claim_shards);
    for _ in 0..MAX_RECORD_ATTEMPTS {
        let writer = preferred_writer(&control.borrow(), shard);
        if let Some(writer) = writer
            && peers::record(&control, &writer, shard, &key, nonce, &outcome).await.is_ok()
        {
            return;
        }
        if record_here(&control, shard, key.clone(), nonce, outcome.clone()).await {
            return;
        }
        tokio::time::sleep(RECORD_RETRY_PAUSE).await;
    }
    warn!(event = "outcome_not_recorded", code = outcome.code; "outcome not recorded; a later request with the key learns only that it was claimed");
}

/// Records an outcome in a shard that this VM writes. Returns false if the caller should retry.
pub async fn record_here(
    control: &ControlRef,
    shard: u32,
    key: String,
    nonce: Nonce,
    outcome: ClaimOutcome,
) -> bool {
    let verdict = submit_and_wait(control, shard, key, ClaimRequest::Record { nonce, outcome }).await;
    matches!(verdict, ClaimVerdict::Recorded | ClaimVerdict::NotOwned)
}

async fn submit_and_wait(
    control: &ControlRef,
    shard: u32,
    key: String,
    request: ClaimRequest,
) -> ClaimVerdict {
    let (reply, rx) = oneshot::channel();
    {
        let mut control = control.borrow_mut();
        let now = control.now();
        control.claims.last_ticket += 1;
        let ticket = control.claims.last_ticket;
        let shard = control.claims.shard(shard);
        shard.replies.insert(ticket, reply);
        shard.writer.submit(ticket, key, request, now);
    }
    advance_shard(control, shard);
    rx.await.unwrap_or(ClaimVerdict::Unreachable)
}

/// Advances the shards that have requests waiting for the commit interval.
pub fn tick(control: &ControlRef) {
    let waiting: Vec<u32> = {
        let control = control.borrow();
        let shards = control.claims.shards.iter();
        shards.filter(|(_, s)| s.writer.waiting() > 0).map(|(id, _)| *id).collect()
    };
    for shard in waiting {
        advance_shard(control, shard);
    }
}

fn advance_shard(control: &ControlRef, shard: u32) {
    let actions = {
        let mut control = control.borrow_mut();
        let now = control.now();
        control.claims.shard(shard).writer.advance(now, unix_millis())
    };
    execute_actions(control, shard, actions);
}

fn execute_actions(control: &ControlRef, shard: u32, actions: Vec<ClaimAction>) {
    for action in actions {
        match action {
            ClaimAction::Read => _ = tokio::task::spawn_local(read(control.clone(), shard)),
            ClaimAction::Write { expected, value } => {
                tokio::task::spawn_local(write(control.clone(), shard, expected, value));
            }
            ClaimAction::Answer { ticket, verdict } => {
                let reply = control.borrow_mut().claims.shard(shard).replies.remove(&ticket);
                if let Some(reply) = reply {
                    let _ = reply.send(verdict);
                }
            }
        }
    }
}

async fn read(control: ControlRef, shard: u32) {
    let platform = control.borrow().platform.clone();
    let found = platform.read_value(&claims::object_key(shard)).await;
    let actions = {
        let mut control = control.borrow_mut();
        control.on_platform_call(found.is_some());
        let now = control.now();
        control.claims.shard(shard).writer.on_read(found, now, unix_millis())
    };
    execute_actions(&control, shard, actions);
    advance_shard(&control, shard);
}

async fn write(control: ControlRef, shard: u32, expected: u64, value: Vec<u8>) {
    let platform = control.borrow().platform.clone();
    let result = platform.write_value(&claims::object_key(shard), expected, value).await;
    let actions = {
        let mut control = control.borrow_mut();
        control.on_platform_call(result != WriteResult::Unknown);
        control.claims.shard(shard).writer.on_write(result)
    };
    execute_actions(&control, shard, actions);
    advance_shard(&control, shard);
}
