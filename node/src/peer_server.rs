//! Serves the calls of other entry VMs.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use leadstage_lib::claims::ClaimOutcome;
use leadstage_lib::claims::ClaimRequest;
use leadstage_lib::ids::VmId;
use leadstage_proto::peer_capnp::ClaimState;
use leadstage_proto::peer_capnp::peer;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::claim_driver;
use crate::control::ControlRef;
use crate::control_message::ClaimDecision;
use crate::entry_generations;
use crate::late_port::Port;
use crate::leads;
use crate::leads::Placement;
use crate::leads::PoolKey;
use crate::membership_driver;
use crate::peers;
use crate::wire;

struct PeerServer {
    control: ControlRef,
}

/// Listens for connections from peers. Returns once the port is bound.
pub async fn listen(control: ControlRef) -> std::io::Result<()> {
    let address = control.borrow().settings.peer;
    let listener = Port { name: "peer", address }.listen().await?;
    tokio::task::spawn_local(accept(listener, control));
    Ok(())
}

async fn accept(listener: TcpListener, control: ControlRef) {
    let client: peer::Client = capnp_rpc::new_client(PeerServer { control });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream, &client),
            Err(err) => {
                warn!(event = "peer_accept", reason:% = err; "failed to accept a connection from a peer");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

fn serve(stream: TcpStream, client: &peer::Client) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let network = Box::new(VatNetwork::new(reader, writer, Side::Server, Default::default()));
    let system = RpcSystem::new(network, Some(client.client.clone()));
    tokio::task::spawn_local(system);
}

impl peer::Server for PeerServer {
    async fn place(
        self: Rc<Self>,
        params: peer::PlaceParams,
        mut results: peer::PlaceResults,
    ) -> Result<(), Error> {
        let (key, request) = wire::read_place_request(params.get()?.get_req()?)?;
        let placement = leads::place_here(&self.control, &key, request).await;
        let outcome = results.get().init_outcome();
        match placement {
            Placement::Granted { upstream, priority } => {
                let mut granted = outcome.init_granted();
                granted.set_upstream(&*upstream);
                granted.set_priority(priority);
            }
            Placement::Refused { code, retry_after } => {
                let mut refused = outcome.init_refused();
                refused.set_code(code.number());
                refused.set_retry_after_ms(retry_after.as_millis() as u32);
            }
        }
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let entry: VmId = wire::text(params.get_entry()?)?.into();
        let key = PoolKey {
            model: wire::text(params.get_model()?)?.into(),
            hall: wire::text(params.get_hall()?)?.into(),
        };
        let mut reports = Vec::new();
        for line in params.get_batch()? {
            reports.push(wire::read_progress(line, &entry, &key)?);
        }
        let unknown = entry_generations::apply_report(&mut self.control.borrow_mut(), &entry, &key, &reports);
        let mut to = results.get().init_unknown(unknown.len() as u32);
        for (at, generation) in unknown.iter().enumerate() {
            to.set(at as u32, *generation);
        }
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        let gossip = wire::read_gossip(params.get()?.get_gossip()?)?;
        membership_driver::on_gossip(&self.control, &gossip);
        let own = membership_driver::gossip(&mut self.control.borrow_mut());
        wire::write_gossip(results.get().init_gossip(), &own);
        Ok(())
    }

    async fn probe_for(
        self: Rc<Self>,
        params: peer::ProbeForParams,
        mut results: peer::ProbeForResults,
    ) -> Result<(), Error> {
        let target: VmId = wire::text(params.get()?.get_target()?)?.into();
        let gossip = membership_driver::gossip(&mut self.control.borrow_mut());
        let answer = peers::probe(&self.control, &target, &gossip).await;
        results.get().set_alive(answer.is_ok());
        Ok(())
    }

    async fn fetch_bundle(
        self: Rc<Self>,
        params: peer::FetchBundleParams,
        mut results: peer::FetchBundleResults,
    ) -> Result<(), Error> {
        let above = params.get()?.get_above();
        let in_force = self.control.borrow().shared.in_force();
        if let Some(in_force) = in_force.filter(|f| f.bundle.number > above) {
            results.get().set_envelope(&in_force.envelope);
        }
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let key = wire::text(params.get_key()?)?.to_owned();
        let digest = wire::text(params.get_digest()?)?.to_owned();
        let shard = params.get_shard();
        let request = ClaimRequest::Claim {
            nonce: params.get_nonce(),
            by: wire::text(params.get_by()?)?.into(),
            digest,
        };
        let claimed = claim_driver::claim_here(&self.control, shard, key, request).await;
        let mut reply = results.get().init_reply();
        match claimed {
            ClaimDecision::Owned => reply.set_state(ClaimState::Claimed),
            ClaimDecision::Outcome(outcome) => {
                reply.set_state(ClaimState::Known);
                reply.set_outcome(&serde_json::to_vec(&outcome).expect("plain data serialises"));
            }
            ClaimDecision::Refused { code, retry_after } => {
                reply.set_state(ClaimState::Refused);
                reply.set_code(code.number());
                reply.set_retry_after_ms(retry_after.as_millis() as u32);
            }
        }
        Ok(())
    }

    async fn record(self: Rc<Self>, params: peer::RecordParams, _: peer::RecordResults) -> Result<(), Error> {
        let params = params.get()?;
        let key = wire::text(params.get_key()?)?.to_owned();
        let outcome: ClaimOutcome =
            serde_json::from_slice(params.get_outcome()?).map_err(|err| Error::failed(err.to_string()))?;
        let shard = params.get_shard();
        let recorded =
            claim_driver::record_here(&self.control, shard, key, params.get_nonce(), outcome).await;
        if recorded { Ok(()) } else { Err(Error::failed("not recorded".to_owned())) }
    }
}
