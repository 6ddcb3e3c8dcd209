//! Calls to other entry VMs over capnp-rpc. A connection is opened on demand and dropped after a failed call,
//! so that a connection that stalls without breaking is replaced.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures::AsyncRead;
use futures::AsyncReadExt;
use futures::AsyncWrite;
use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::claims::Nonce;
use leadstage_lib::code::Code;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::ids::VmId;
use leadstage_lib::membership::Liveness;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_proto::peer_capnp::ClaimState;
use leadstage_proto::peer_capnp::peer;
use leadstage_proto::peer_capnp::place_outcome;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::control::Control;
use crate::control::ControlRef;
use crate::control_message::ClaimDecision;
use crate::entry_generations::GenerationReport;
use crate::leads::Placement;
use crate::leads::PoolKey;
use crate::wire;
use crate::wire::Gossip;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a call that the peer answers without waiting.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a claim, which takes a commit interval, a read and a write.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks of the lead's liveness while a call waits in its queue.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The error of a call to a peer. The call may have taken effect nevertheless.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The VM list does not name the peer.
    #[display("the peer is not in the VM list")]
    Unknown,
    /// The connection failed.
    #[display("no connection: {_0}")]
    Connect(std::io::Error),
    /// The call failed.
    #[display("the call failed: {_0}")]
    Call(capnp::Error),
    /// The peer did not answer in time, or is suspected.
    #[display("no answer")]
    NoAnswer,
    /// The answer has a value that this version does not know.
    #[display("malformed answer")]
    Malformed,
}

/// Open connections by VM.
#[derive(Default)]
pub struct Peers {
    clients: HashMap<VmId, peer::Client>,
}

impl Peers {
    /// Drops the connection to a VM; the next call opens a new one.
    pub fn forget(&mut self, vm: &VmId) {
        self.clients.remove(vm);
    }
}

async fn client(control: &ControlRef, vm: &VmId) -> Result<peer::Client, PeerError> {
    let address = {
        let control = control.borrow();
        if let Some(client) = control.peers.clients.get(vm) {
            return Ok(client.clone());
        }
        address_of(&control, vm)?
    };
    let (reader, writer) = open(address).await?.compat().split();
    let (client, system) = bootstrap(reader, writer);
    tokio::task::spawn_local(system);
    control.borrow_mut().peers.clients.insert(vm.clone(), client.clone());
    Ok(client)
}

/// The address on which a peer listens, according to the VM list.
pub fn address_of(control: &Control, vm: &VmId) -> Result<SocketAddr, PeerError> {
    control.directory.get(vm).map(|r| r.address).ok_or(PeerError::Unknown)
}

/// Opens a connection to a peer.
pub async fn open(address: SocketAddr) -> Result<TcpStream, PeerError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| PeerError::NoAnswer)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns a client for the peer at the other end of a connection, and the RPC system that must be polled to
/// drive the connection.
pub fn bootstrap(
    reader: impl AsyncRead + Unpin + 'static,
    writer: impl AsyncWrite + Unpin + 'static,
) -> (peer::Client, RpcSystem<Side>) {
    let network = Box::new(VatNetwork::new(reader, writer, Side::Client, Default::default()));
    let mut system = RpcSystem::new(network, None);
    (system.bootstrap(Side::Server), system)
}

/// Waits for the result of a call for at most `limit`. Drops the connection if the call fails.
async fn await_call<T>(
    control: &ControlRef,
    vm: &VmId,
    limit: Duration,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, PeerError> {
    let result = match tokio::time::timeout(limit, call).await {
        Ok(result) => result.map_err(PeerError::from),
        Err(_) => Err(PeerError::NoAnswer),
    };
    if result.is_err() {
        control.borrow_mut().peers.forget(vm);
    }
    result
}

/// Requests an engine from a lead. The request waits in the lead's queue for as long as the lead is alive.
pub async fn place(
    control: &ControlRef,
    lead: &VmId,
    key: &PoolKey,
    request: &PlaceRequest,
) -> Result<Placement, PeerError> {
    let client = client(control, lead).await?;
    let mut call = client.place_request();
    wire::write_place_request(call.get().init_req(), key, request);
    let limit =
        control.borrow().shared.bundle().map_or(CALL_TIMEOUT, |b| b.bounds.max_wait) + 2 * CALL_TIMEOUT;
    let promise = await_call(control, lead, limit, call.send().promise);
    let answer = tokio::select! {
        answer = promise => answer?,
        () = until_suspected(control, lead) => return Err(PeerError::NoAnswer),
    };
    read_placement(answer.get()?.get_outcome()?)
}

async fn until_suspected(control: &ControlRef, vm: &VmId) {
    loop {
        tokio::time::sleep(LIVENESS_CHECK_INTERVAL).await;
        if control.borrow().membership.liveness(vm) != Some(Liveness::Alive) {
            return;
        }
    }
}

fn read_placement(outcome: place_outcome::Reader<'_>) -> Result<Placement, PeerError> {
    match outcome.which().map_err(|_| PeerError::Malformed)? {
        place_outcome::Granted(granted) => {
            let upstream = wire::text(granted.get_upstream()?)?;
            Ok(Placement::Granted { upstream: upstream.into(), priority: granted.get_priority() })
        }
        place_outcome::Refused(refused) => {
            let code = Code::from_number(refused.get_code()).ok_or(PeerError::Malformed)?;
            let retry_after = Duration::from_millis(u64::from(refused.get_retry_after_ms()));
            Ok(Placement::Refused { code, retry_after })
        }
    }
}

/// Reports generations of one pool to its lead. Returns the generations whose complete records the lead
/// needs.
pub async fn report(
    control: &ControlRef,
    lead: &VmId,
    key: &PoolKey,
    reports: &[GenerationReport],
) -> Result<Vec<GenerationId>, PeerError> {
    let client = client(control, lead).await?;
    let mut call = client.report_request();
    {
        let mut params = call.get();
        params.set_entry(&*control.borrow().settings.vm);
        params.set_model(&*key.model);
        params.set_hall(&*key.hall);
        let mut batch = params.init_batch(reports.len() as u32);
        for (at, report) in reports.iter().enumerate() {
            wire::write_progress(batch.reborrow().get(at as u32), report);
        }
    }
    let answer = await_call(control, lead, CALL_TIMEOUT, call.send().promise).await?;
    Ok(answer.get()?.get_unknown()?.iter().collect())
}

/// Probes a peer with this VM's gossip, and returns the peer's gossip.
pub async fn probe(control: &ControlRef, vm: &VmId, gossip: &Gossip) -> Result<Gossip, PeerError> {
    let client = client(control, vm).await?;
    let mut call = client.probe_request();
    wire::write_gossip(call.get().init_gossip(), gossip);
    let answer = await_call(control, vm, CALL_TIMEOUT, call.send().promise).await?;
    Ok(wire::read_gossip(answer.get()?.get_gossip()?)?)
}

/// Requests that a peer probe another one. Returns whether the target answered it.
pub async fn probe_for(control: &ControlRef, via: &VmId, target: &VmId) -> Result<bool, PeerError> {
    let client = client(control, via).await?;
    let mut call = client.probe_for_request();
    call.get().set_target(&**target);
    let answer = await_call(control, via, 2 * CALL_TIMEOUT, call.send().promise).await?;
    Ok(answer.get()?.get_alive())
}

/// A claim for a shard whose preferred writer is another VM.
#[derive(Clone, Debug)]
pub struct RemoteClaim<'a> {
    /// The shard.
    pub shard: u32,
    /// The key.
    pub key: &'a str,
    /// Identifies the request that claims the key.
    pub nonce: Nonce,
    /// Hash of the request.
    pub digest: &'a str,
}

/// Claims a key through the shard's preferred writer. After an error the claim may have taken effect
/// nevertheless; a retry with the same nonce finds it.
pub async fn claim(
    control: &ControlRef,
    writer: &VmId,
    claim: &RemoteClaim<'_>,
) -> Result<ClaimDecision, PeerError> {
    let client = client(control, writer).await?;
    let mut call = client.claim_request();
    {
        let mut params = call.get();
        params.set_shard(claim.shard);
        params.set_key(claim.key);
        params.set_nonce(claim.nonce);
        params.set_digest(claim.digest);
        params.set_by(&*control.borrow().settings.vm);
    }
    let answer = await_call(control, writer, CLAIM_TIMEOUT, call.send().promise).await?;
    let reply = answer.get()?.get_reply()?;
    let state = reply.get_state().map_err(|_| PeerError::Malformed)?;
    match state {
        ClaimState::Claimed => Ok(ClaimDecision::Owned),
        ClaimState::Known => {
            let outcome: ClaimOutcome =
                serde_json::from_slice(reply.get_outcome()?).map_err(|_| PeerError::Malformed)?;
            Ok(ClaimDecision::Outcome(outcome))
        }
        ClaimState::Refused => {
            let code = Code::from_number(reply.get_code()).ok_or(PeerError::Malformed)?;
            let retry_after = Duration::from_millis(u64::from(reply.get_retry_after_ms()));
            Ok(ClaimDecision::Refused { code, retry_after })
        }
    }
}

/// Records an outcome through the shard's preferred writer.
pub async fn record(
    control: &ControlRef,
    writer: &VmId,
    shard: u32,
    key: &str,
    nonce: Nonce,
    outcome: &ClaimOutcome,
) -> Result<(), PeerError> {
    let client = client(control, writer).await?;
    let mut call = client.record_request();
    {
        let mut params = call.get();
        params.set_shard(shard);
        params.set_key(key);
        params.set_nonce(nonce);
        params.set_outcome(&serde_json::to_vec(outcome).expect("plain data serialises"));
    }
    await_call(control, writer, CLAIM_TIMEOUT, call.send().promise).await?;
    Ok(())
}
