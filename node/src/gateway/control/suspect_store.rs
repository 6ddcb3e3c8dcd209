//! Writes suspects, under which replicas ended, to the platform's store, so that they outlast all nodes.

use std::sync::Arc;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::stored_suspects::StoreWrite;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_platform::store::Revision;
use leadstage_platform::store::Store;
use leadstage_platform::store::StoreError;
use leadstage_platform::store::WriteOutcome;
use leadstage_platform::store_kinds::Suspects;
use log::info;

use crate::gateway::messages::StoredSuspect;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::StoreCall;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// Limit on the attempts of a write when other nodes change the object first.
const MAX_ATTEMPTS: usize = 4;

/// Executes a write and reports the result to the control loop.
pub async fn write(shared: Arc<Shared>, write: StoreWrite) {
    let fingerprint = write.fingerprint();
    let mut store = SuspectStore { store: Store::new(shared.settings.store), shared: &shared };
    let stored = match write {
        StoreWrite::Put(suspect) => store.add_ends(suspect).await,
        StoreWrite::Remove(fingerprint) => store.remove(fingerprint).await.map(Some),
    };
    let stored = stored.unwrap_or_else(|err| {
        info!(event = "suspect_not_stored", fingerprint:% = fingerprint, reason:% = err; "could not store a suspect");
        None
    });
    shared.notify(ToControl::SuspectStored(fingerprint, stored));
}

struct SuspectStore<'a> {
    store: Store,
    shared: &'a Shared,
}

impl SuspectStore<'_> {
    /// Adds ends to those that the store holds. Returns `None` if other nodes changed the object before
    /// each attempt.
    async fn add_ends(&mut self, mut suspect: Suspect) -> Result<Option<StoredSuspect>, StoreError> {
        let mut replaces: Option<Revision> = None;
        for _ in 0..MAX_ATTEMPTS {
            let written = match replaces {
                None => self.store.create::<Suspects>(&suspect).await,
                Some(revision) => self.store.replace::<Suspects>(&suspect, revision).await,
            };
            self.shared.metrics.on_store_call(StoreCall::Write, written.is_ok());
            match written? {
                WriteOutcome::Done(at) => return Ok(Some(StoredSuspect::Kept(suspect, at))),
                WriteOutcome::Missing => replaces = None,
                WriteOutcome::Conflict(held, at) => {
                    let (all, is_held) = union(suspect, held);
                    if is_held {
                        return Ok(Some(StoredSuspect::Kept(all, at)));
                    }
                    (suspect, replaces) = (all, Some(at));
                }
            }
        }
        Ok(None)
    }

    async fn remove(&mut self, fingerprint: Fingerprint) -> Result<StoredSuspect, StoreError> {
        let removed = self.store.remove::<Suspects>(&fingerprint.to_string()).await;
        self.shared.metrics.on_store_call(StoreCall::Write, removed.is_ok());
        removed.map(|_| StoredSuspect::Removed)
    }
}

/// Returns the union of the ends of both, and whether the store holds all of them already. As ends are only
/// added, no write is needed then.
fn union(ours: Suspect, held: Suspect) -> (Suspect, bool) {
    let now = unix_millis();
    let mut ledger = CrashLedger::default();
    let fingerprint = ours.name.fingerprint;
    ledger.merge(vec![held.clone()], now);
    let is_held = ledger.merge(vec![ours], now).is_empty();
    let all = ledger.get(&fingerprint).unwrap_or(held);
    (all, is_held)
}
