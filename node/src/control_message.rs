//! Messages from the traffic threads to the control thread.

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

/// An engine that was granted to a request.
#[derive(Clone, Debug)]
pub struct Granted {
    /// The engine.
    pub upstream: UpstreamId,
    /// The engine's hall.
    pub hall: HallId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The priority to send to the engine with the request.
    pub priority: i32,
    /// The lead that placed the request and so has its record; `None` if the entry placed it without a lead.
    pub lead: Option<VmId>,
}

/// The reason why a request was not placed.
#[derive(Clone, Debug)]
pub struct NotPlaced {
    /// The reason.
    pub code: Code,
    /// When the caller may retry.
    pub retry_after: Duration,
}

/// The result of a claim.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The request owns its key and may be dispatched once.
    Owned,
    /// An earlier request with the key has this outcome.
    Outcome(ClaimOutcome),
    /// The request may not be dispatched.
    Refused {
        /// The reason.
        code: Code,
        /// When the caller may retry.
        retry_after: Duration,
    },
}

/// A running generation, as the entry reports it to the lead.
#[derive(Clone, Debug)]
pub struct RunningGeneration {
    /// The request as it was placed.
    pub request: PlaceRequest,
    /// The model.
    pub model: ModelId,
    /// The hall of its pool.
    pub hall: HallId,
    /// The engine that runs it.
    pub upstream: UpstreamId,
    /// The number of tokens delivered so far, counted by the relay.
    pub tokens: Arc<AtomicU32>,
    /// The lead that already has the complete record of it.
    pub known_to: Option<VmId>,
}

/// A message from a traffic thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Finds an engine for a request.
    Place {
        /// The request.
        request: PlaceRequest,
        /// The requested model.
        model: ModelId,
        /// Receives the result; the traffic thread drops the other end when the caller disconnects.
        reply: oneshot::Sender<Result<Granted, NotPlaced>>,
    },
    /// A generation was dispatched.
    Started(RunningGeneration),
    /// A generation ended, as seen by this entry.
    Ended {
        /// The generation.
        generation: GenerationId,
        /// How it ended.
        how: EndKind,
    },
    /// An upstream refused a connection, or its connection was lost.
    UpstreamFailed(UpstreamId),
    /// Claims a key before its request is dispatched.
    Claim {
        /// The key, hashed together with its organisation.
        key: String,
        /// Identifies the request that claims the key.
        nonce: Nonce,
        /// Hash of the request.
        digest: String,
        /// Receives the result.
        reply: oneshot::Sender<ClaimDecision>,
    },
    /// Records the outcome of a request that owns its key.
    Record {
        /// The key.
        key: String,
        /// Identifies the request that claims the key.
        nonce: Nonce,
        /// The outcome.
        outcome: ClaimOutcome,
    },
}
