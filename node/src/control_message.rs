//! What the traffic threads ask of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::claims::Nonce;
use leadstage_lib::code::Code;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::ModelId;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::PlaceRequest;
use tokio::sync::oneshot;

/// An engine that was granted.
#[derive(Clone, Debug)]
pub struct Granted {
    /// The engine.
    pub upstream: UpstreamId,
    /// The hall that it is in.
    pub hall: HallId,
    /// Its address.
    pub address: SocketAddr,
    /// The priority to give to it.
    pub priority: i32,
    /// The lead that placed it and so knows of it; none if the entry placed it alone.
    pub lead: Option<VmId>,
}

/// A request that does not run.
#[derive(Clone, Debug)]
pub struct NotPlaced {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry_after: Duration,
}

/// The answer to a claim.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The arrival owns its key and may dispatch once.
    Owned,
    /// Another arrival of the key has this outcome.
    Outcome(ClaimOutcome),
    /// It may not dispatch.
    Refused {
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Duration,
    },
}

/// A running generation, as the entry reports it to the lead.
#[derive(Clone, Debug)]
pub struct RunningGeneration {
    /// What was asked for.
    pub request: PlaceRequest,
    /// The model.
    pub model: ModelId,
    /// The hall of its pool.
    pub hall: HallId,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// Tokens delivered so far, counted by the relay.
    pub tokens: Arc<AtomicU32>,
    /// The lead that knows all about it already.
    pub known_to: Option<VmId>,
}

/// What the traffic threads ask.
#[derive(Debug)]
pub enum ControlMessage {
    /// Find an engine.
    Place {
        /// What for.
        request: PlaceRequest,
        /// Which model.
        model: ModelId,
        /// The answer; dropped when the caller is gone.
        reply: oneshot::Sender<Result<Granted, NotPlaced>>,
    },
    /// A generation was dispatched.
    Started(RunningGeneration),
    /// A generation is over for this entry.
    Ended {
        /// Which one.
        generation: GenerationId,
        /// How.
        how: EndKind,
    },
    /// An upstream refused a connection or was lost.
    UpstreamFailed(UpstreamId),
    /// Own a key before its request is dispatched.
    Claim {
        /// The key, hashed with its organisation.
        key: String,
        /// The arrival.
        nonce: Nonce,
        /// Hash of the request.
        digest: String,
        /// The answer.
        reply: oneshot::Sender<ClaimDecision>,
    },
    /// Record the outcome of an owned key.
    Record {
        /// The key.
        key: String,
        /// The arrival.
        nonce: Nonce,
        /// The outcome.
        outcome: ClaimOutcome,
    },
}
