//! Conversions between Cap'n Proto messages and the node's own types.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use leadstage_lib::ids::BundleNumber;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::membership::Liveness;
use leadstage_lib::membership::MemberUpdate;
use leadstage_lib::pool_event::EndKind;
use leadstage_lib::pool_event::PlaceRequest;
use leadstage_proto::peer_capnp;
use leadstage_proto::peer_capnp::RunState;

use crate::control_message::RunningGeneration;
use crate::entry_generations::GenerationReport;
use crate::leads::PoolKey;

/// The gossip that probes and their responses carry.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The sending VM.
    pub from: VmId,
    /// Membership updates.
    pub news: Vec<MemberUpdate>,
    /// The number of the sender's bundle, 0 if it has none.
    pub bundle: BundleNumber,
    /// Upstreams that are leaving, as far as the sender knows.
    pub leaving: Vec<UpstreamId>,
}

/// Reads a text field as UTF-8.
pub fn text(reader: capnp::text::Reader<'_>) -> Result<&str, capnp::Error> {
    reader.to_str().map_err(|err| capnp::Error::failed(err.to_string()))
}

/// Writes a placement request.
pub fn write_place_request(
    mut to: peer_capnp::place_request::Builder<'_>,
    key: &PoolKey,
    request: &PlaceRequest,
) {
    to.set_generation(request.generation);
    to.set_organisation(&*request.organisation);
    to.set_model(&*key.model);
    to.set_hall(&*key.hall);
    to.set_prompt_tokens(request.prompt_tokens);
    to.set_max_tokens(request.max_tokens);
    to.set_priority(request.priority);
    to.set_prefix(request.prefix);
    to.set_entry(&*request.entry);
}

/// Reads a placement request.
pub fn read_place_request(
    from: peer_capnp::place_request::Reader<'_>,
) -> Result<(PoolKey, PlaceRequest), capnp::Error> {
    let key = PoolKey { model: text(from.get_model()?)?.into(), hall: text(from.get_hall()?)?.into() };
    let request = PlaceRequest {
        generation: from.get_generation(),
        organisation: text(from.get_organisation()?)?.into(),
        entry: text(from.get_entry()?)?.into(),
        prompt_tokens: from.get_prompt_tokens(),
        max_tokens: from.get_max_tokens(),
        priority: from.get_priority(),
        prefix: from.get_prefix(),
    };
    Ok((key, request))
}

/// Writes the entry of one generation in a progress report.
pub fn write_progress(mut to: peer_capnp::progress::Builder<'_>, line: &GenerationReport) {
    let request = &line.running.request;
    to.set_generation(request.generation);
    to.set_tokens(line.tokens);
    to.set_state(match line.ended {
        None => RunState::Running,
        Some(EndKind::Finished) => RunState::Finished,
        Some(EndKind::Cancelled) => RunState::Cancelled,
        Some(EndKind::Lost) => RunState::Lost,
    });
    to.set_brief(line.brief);
    if line.ended == Some(EndKind::Lost) || !line.brief {
        to.set_upstream(&*line.running.upstream);
    }
    if line.brief {
        return;
    }
    to.set_organisation(&*request.organisation);
    to.set_prompt_tokens(request.prompt_tokens);
    to.set_max_tokens(request.max_tokens);
    to.set_priority(request.priority);
    to.set_prefix(request.prefix);
}

/// Reads the entry of one generation in a progress report by the entry node `entry` on a pool.
pub fn read_progress(
    from: peer_capnp::progress::Reader<'_>,
    entry: &VmId,
    key: &PoolKey,
) -> Result<GenerationReport, capnp::Error> {
    let request = PlaceRequest {
        generation: from.get_generation(),
        organisation: text(from.get_organisation()?)?.into(),
        entry: entry.clone(),
        prompt_tokens: from.get_prompt_tokens(),
        max_tokens: from.get_max_tokens(),
        priority: from.get_priority(),
        prefix: from.get_prefix(),
    };
    let running = RunningGeneration {
        request,
        model: key.model.clone(),
        hall: key.hall.clone(),
        upstream: text(from.get_upstream()?)?.into(),
        tokens: Arc::new(AtomicU32::new(from.get_tokens())),
        known_to: None,
    };
    let ended = match from.get_state()? {
        RunState::Running => None,
        RunState::Finished => Some(EndKind::Finished),
        RunState::Cancelled => Some(EndKind::Cancelled),
        RunState::Lost => Some(EndKind::Lost),
    };
    Ok(GenerationReport { running, tokens: from.get_tokens(), ended, brief: from.get_brief() })
}

/// Writes a gossip message.
pub fn write_gossip(mut to: peer_capnp::gossip::Builder<'_>, gossip: &Gossip) {
    to.set_from(&*gossip.from);
    to.set_bundle_number(gossip.bundle);
    let mut news = to.reborrow().init_news(gossip.news.len() as u32);
    for (at, item) in gossip.news.iter().enumerate() {
        let mut to = news.reborrow().get(at as u32);
        to.set_vm(&*item.vm);
        to.set_incarnation(item.incarnation);
        to.set_liveness(match item.liveness {
            Liveness::Alive => peer_capnp::Liveness::Alive,
            Liveness::Suspect => peer_capnp::Liveness::Suspect,
            Liveness::Dead => peer_capnp::Liveness::Dead,
            Liveness::Left => peer_capnp::Liveness::Left,
        });
    }
    let mut leaving = to.init_leaving(gossip.leaving.len() as u32);
    for (at, upstream) in gossip.leaving.iter().enumerate() {
        leaving.set(at as u32, &**upstream);
    }
}

/// Reads a gossip message.
pub fn read_gossip(from: peer_capnp::gossip::Reader<'_>) -> Result<Gossip, capnp::Error> {
    let mut news = Vec::new();
    for item in from.get_news()? {
        let liveness = match item.get_liveness()? {
            peer_capnp::Liveness::Alive => Liveness::Alive,
            peer_capnp::Liveness::Suspect => Liveness::Suspect,
            peer_capnp::Liveness::Dead => Liveness::Dead,
            peer_capnp::Liveness::Left => Liveness::Left,
        };
        news.push(MemberUpdate {
            vm: text(item.get_vm()?)?.into(),
            incarnation: item.get_incarnation(),
            liveness,
        });
    }
    let mut leaving = Vec::new();
    for upstream in from.get_leaving()? {
        leaving.push(text(upstream?)?.into());
    }
    Ok(Gossip { from: text(from.get_from()?)?.into(), news, bundle: from.get_bundle_number(), leaving })
}
