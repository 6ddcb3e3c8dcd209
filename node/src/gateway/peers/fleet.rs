//! This node's view of the other nodes; runs [`leadstage_lib::membership`] over datagrams.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::fleet_size::FleetSize;
use leadstage_lib::gateway::peers_by_hall::PeersByHall;
use leadstage_lib::gateway::transfer_slots;
use leadstage_lib::gateway::trial_evidence::FleetView;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;
use leadstage_lib::membership::Liveness;
use leadstage_lib::membership::Membership;
use leadstage_lib::membership::MembershipAction;
use leadstage_lib::sample_set::SampleSet;
use log::info;
use rand::RngExt;

use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::Gossip;
use crate::gateway::peers::peer_message::KnownNode;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::ProbeId;
use crate::gateway::settings::GatewaySettings;
use crate::shared::unix_millis;

/// A probe that is not answered within this time has failed: it is enough for some round trips between halls
/// and the time that a busy node with a small share of a core needs to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of known nodes listed in one message.
const MAX_KNOWN_PER_MESSAGE: usize = 8;
/// Time since the start at which a node that has contact with other nodes probes a seed once more, to learn
/// the size of the fleet.
const SECOND_SEED_PROBE_AT: Timestamp = Duration::from_millis(400);
/// Number of nodes to which the origin of an update sends it: all of a small fleet, so that most updates
/// take a single hop.
const ORIGIN_FAN_OUT: usize = 8;
/// Number of nodes to which each receiver of an update forwards it. Some 2 in 100 nodes are reached by none
/// of them, and notice from the next message that they lack an update.
const FAN_OUT: usize = 4;

/// Number of nodes in each of the two samples of nodes that may carry connections of this one.
const TUNNEL_NODES: usize = 8;

/// The purpose of a probe whose answer is awaited.
#[derive(Clone, Debug)]
enum ProbePurpose {
    /// Checks a node for this node's own view.
    Direct(VmId),
    /// Another node probes this target for this node.
    Indirect(VmId),
    /// This node probes on behalf of the node at this address, which uses this id for the probe.
    ForOther(SocketAddr, ProbeId),
    /// A node that has just started probes a seed; if it does not answer, seeds are probed again.
    Seed,
}

/// This node's view of the other nodes.
pub struct Fleet {
    own: VmId,
    own_address: SocketAddr,
    own_hall: HallId,
    own_link_is_wide: bool,
    own_link_bits_per_second: f64,
    /// Nodes that are known to have wide links.
    wide_nodes: SampleSet<VmId>,
    peers: PeersByHall,
    seeds: BTreeSet<SocketAddr>,
    known: BTreeSet<SocketAddr>,
    membership: Membership,
    probes: HashMap<ProbeId, (ProbePurpose, Timestamp)>,
    last_probe: ProbeId,
    /// Number of nodes whose first message was received since the last tick.
    new_nodes: usize,
    size: FleetSize,
    seed_contact: SeedContact,
    /// Whether this node is notified of other nodes that follow the store; its probes report this.
    pub hears_watchers: bool,
    outbox: Outbox,
}

/// How far a node that has just started is in contacting the fleet through its seeds.
#[derive(Debug, Default)]
struct SeedContact {
    /// A message from another node was received.
    has_contact: bool,
    /// A seed was probed once more after that.
    probed_again: bool,
    /// Number of probes sent to seeds so far.
    probes_sent: usize,
}

impl Fleet {
    /// Creates a view that knows only the seeds.
    pub fn new(settings: &GatewaySettings, outbox: Outbox) -> Self {
        let own_address = settings.peer;
        let own = node_id(own_address);
        let seeds = peer_addresses(&settings.seeds, own_address);
        let mut fleet = Fleet {
            membership: Membership::new(own.clone(), unix_millis(), rand::rng().random()),
            peers: PeersByHall::new(settings.hall.clone()),
            own,
            own_address,
            own_hall: settings.hall.clone(),
            own_link_is_wide: settings.has_wide_link(),
            own_link_bits_per_second: settings.link_bits_per_second(),
            wide_nodes: SampleSet::default(),
            known: BTreeSet::new(),
            seeds: seeds.clone(),
            probes: HashMap::new(),
            last_probe: 0,
            new_nodes: 0,
            size: FleetSize::default(),
            seed_contact: SeedContact::default(),
            hears_watchers: false,
            outbox,
        };
        for seed in seeds {
            fleet.add_known(seed, Timestamp::ZERO);
        }
        fleet
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Timestamp) {
        self.seeds = peer_addresses(seeds, self.own_address);
        for seed in self.seeds.clone() {
            self.add_known(seed, now);
        }
    }

    /// Returns the id of this node in the fleet.
    pub fn own(&self) -> &VmId {
        &self.own
    }

    /// Returns the other nodes that are considered alive.
    pub fn alive(&self) -> impl Iterator<Item = &VmId> {
        self.membership.alive()
    }

    /// Returns the other nodes that are considered healthy, and the recent size of the fleet.
    pub fn fleet_view(&self) -> FleetView {
        FleetView { healthy: self.membership.healthy().cloned().collect(), size: self.size() }
    }

    fn size(&self) -> Option<usize> {
        let is_known = self.seed_contact.has_contact || self.seeds.is_empty();
        is_known.then(|| self.size.recent_max())
    }

    /// Whether this node is known to have been the only one recently.
    pub fn is_alone(&self) -> bool {
        self.size() == Some(1)
    }

    /// Whether another node of this node's hall is considered alive.
    pub fn has_neighbour(&self) -> bool {
        self.peers.has_near()
    }

    /// Returns a number that increases whenever the set of nodes considered alive changes.
    pub fn version(&self) -> u64 {
        self.membership.version()
    }

    /// Whether the node at a peer address is known to be in this node's hall.
    pub fn is_near(&self, address: SocketAddr) -> bool {
        self.peers.is_near(&node_id(address))
    }

    /// Whether this node knows enough other nodes of its hall to fetch missing data from them.
    pub fn has_enough_in_hall(&self) -> bool {
        self.peers.has_enough_in_hall()
    }

    /// Handles the announcement of a node that it has a wide link.
    pub fn on_wide_link(&mut self, node: &VmId) {
        self.wide_nodes.insert(node.clone());
    }

    /// Whether a node, which may be this one, is known to have a wide link.
    pub fn node_has_wide_link(&self, node: &VmId) -> bool {
        if *node == self.own { self.own_link_is_wide } else { self.wide_nodes.contains(node) }
    }

    /// Whether the node at a peer address is known to have a wide link.
    pub fn has_wide_link(&self, address: SocketAddr) -> bool {
        self.node_has_wide_link(&node_id(address))
    }

    /// Announces to other nodes that this one has a newer configuration: to as many as it can soon serve it
    /// to, half of them with wide links, as these can serve it to many more.
    pub fn announce_config(&self) {
        self.announce(&PeerMessage::NewConfig);
    }

    /// Announces to as many nodes, chosen in the same way, that this one now knows the replicas.
    pub fn announce_replicas(&self) {
        self.announce(&PeerMessage::NewReplicas);
    }

    fn announce(&self, message: &PeerMessage) {
        let count = transfer_slots::max_concurrent(self.own_link_bits_per_second).max(FAN_OUT);
        let wide_nodes =
            self.wide_nodes.sample(count / 2, &mut rand::rng()).into_iter().filter_map(address_of);
        let wide_nodes: Vec<SocketAddr> = wide_nodes.collect();
        let others = self.sample(count).into_iter().filter(|node| !wide_nodes.contains(node));
        let targets: Vec<SocketAddr> = wide_nodes.iter().copied().chain(others).take(count).collect();
        for node in targets {
            self.outbox.send(node, message);
        }
    }

    /// Returns some other nodes, chosen at random.
    fn sample(&self, count: usize) -> Vec<SocketAddr> {
        self.peers.sample(count, &mut rand::rng()).into_iter().filter_map(address_of).collect()
    }

    /// Returns some other nodes to send an update to, most of them in this node's hall.
    fn gossip_targets(&self, count: usize) -> Vec<SocketAddr> {
        self.peers.gossip_targets(count, &mut rand::rng()).into_iter().filter_map(address_of).collect()
    }

    /// Returns some other nodes that may carry connections of this one, some of them in other halls: all
    /// nodes of a hall may lose the same path.
    pub fn sample_for_tunnels(&self) -> Vec<SocketAddr> {
        let mut nodes = self.gossip_targets(TUNNEL_NODES);
        nodes.extend(self.sample(TUNNEL_NODES));
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Sends a message to one node.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        self.outbox.send(to, message);
    }

    /// Sends an update that originates at this node to some other nodes.
    pub fn notify(&self, message: &PeerMessage) {
        for node in self.gossip_targets(ORIGIN_FAN_OUT) {
            self.outbox.send(node, message);
        }
    }

    /// Forwards an update from another node to some other nodes.
    pub fn forward(&self, message: &PeerMessage) {
        for node in self.gossip_targets(FAN_OUT) {
            self.outbox.send(node, message);
        }
    }

    /// Sends the probes that are due; returns the nodes that are gone.
    pub fn tick(&mut self, now: Timestamp) -> Vec<VmId> {
        self.log_new_nodes();
        self.probe_seeds(now);
        self.size.observe(self.nodes(), now);
        let mut actions = self.membership.tick(now);
        let late: Vec<ProbeId> =
            self.probes.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        for id in late {
            match self.probes.remove(&id) {
                Some((ProbePurpose::Direct(target), _)) => {
                    actions.extend(self.membership.on_probe(&target, false, now))
                }
                Some((ProbePurpose::Indirect(target), _)) if !self.awaits_indirect(&target) => {
                    actions.extend(self.membership.on_indirect(&target, false, now))
                }
                _ => {}
            }
        }
        self.run_actions(actions, now)
    }

    /// Logs one line for all nodes that became known since the last tick: otherwise each of a thousand nodes
    /// that start at once would write a thousand lines.
    fn log_new_nodes(&mut self) {
        let met = std::mem::take(&mut self.new_nodes);
        if met > 0 {
            info!(event = "nodes_met", met, known = self.known.len(); "other nodes are known");
        }
    }

    /// Probes one seed after the other until a message from another node is received, and one seed once more
    /// a little later: in a fleet whose nodes all start at once, the seeds know most nodes by then.
    fn probe_seeds(&mut self, now: Timestamp) {
        let probes_again =
            self.seed_contact.has_contact && !self.seed_contact.probed_again && now >= SECOND_SEED_PROBE_AT;
        if self.seeds.is_empty() || (self.seed_contact.has_contact && !probes_again) {
            return;
        }
        self.seed_contact.probed_again = probes_again;
        let seed = self.seeds.iter().nth(self.seed_contact.probes_sent % self.seeds.len()).copied();
        self.seed_contact.probes_sent += 1;
        if let Some(seed) = seed {
            self.probe(seed, ProbePurpose::Seed, now);
        }
    }

    /// Returns the number of nodes considered alive, this one included.
    pub fn nodes(&self) -> usize {
        self.membership.count_alive() + 1
    }

    /// Handles the receipt of any message from a node; returns the nodes that are gone.
    pub fn on_message_from(&mut self, from: SocketAddr, now: Timestamp) -> Vec<VmId> {
        self.seed_contact.has_contact |= from != self.own_address;
        if from != self.own_address && self.add_known(from, now) {
            self.new_nodes += 1;
        }
        let actions = self.membership.on_direct_contact(&node_id(from), now);
        self.run_actions(actions, now)
    }

    /// Handles a probe and answers it; returns the nodes that are gone.
    pub fn on_probe(&mut self, from: SocketAddr, id: ProbeId, gossip: Gossip, now: Timestamp) -> Vec<VmId> {
        let answer = PeerMessage::ProbeAnswer(id, self.gossip());
        self.outbox.send(from, &answer);
        self.on_gossip(&node_id(from), gossip, now)
    }

    /// Handles the answer to a probe; returns the nodes that are gone.
    pub fn on_answer(&mut self, from: SocketAddr, id: ProbeId, gossip: Gossip, now: Timestamp) -> Vec<VmId> {
        let actions = match self.probes.remove(&id) {
            Some((ProbePurpose::Direct(target), _)) => self.membership.on_probe(&target, true, now),
            Some((ProbePurpose::Indirect(target), _)) => self.membership.on_indirect(&target, true, now),
            Some((ProbePurpose::ForOther(requester, requester_probe_id), _)) => {
                self.outbox.send(requester, &PeerMessage::ProbeAnswer(requester_probe_id, Gossip::default()));
                Vec::new()
            }
            Some((ProbePurpose::Seed, _)) | None => Vec::new(),
        };
        let mut gone = self.run_actions(actions, now);
        gone.extend(self.on_gossip(&node_id(from), gossip, now));
        gone
    }

    /// Handles the request of a node to probe another one on its behalf.
    pub fn on_probe_for(&mut self, requester: SocketAddr, id: ProbeId, target: SocketAddr, now: Timestamp) {
        self.probe(target, ProbePurpose::ForOther(requester, id), now);
    }

    /// Announces to some nodes that this one is leaving the fleet.
    pub fn leave(&mut self) {
        self.membership.leave();
        for node in self.sample(FAN_OUT) {
            let gossip = self.gossip();
            self.outbox.send(node, &PeerMessage::Probe(0, gossip));
        }
    }

    /// Whether another node announced that it left the fleet.
    pub fn has_left(&self, node: &VmId) -> bool {
        self.membership.liveness(node) == Some(Liveness::Left)
    }

    fn awaits_indirect(&self, target: &VmId) -> bool {
        self.probes.values().any(|(purpose, _)| matches!(purpose, ProbePurpose::Indirect(t) if t == target))
    }

    /// Adds a node to the known nodes; returns whether it is new.
    fn add_known(&mut self, address: SocketAddr, now: Timestamp) -> bool {
        let is_new = self.known.insert(address);
        if is_new {
            let node = node_id(address);
            self.membership.list(&node, now);
            if matches!(self.membership.liveness(&node), Some(Liveness::Alive | Liveness::Suspect)) {
                self.peers.on_up(&node);
            }
        }
        is_new
    }

    fn on_gossip(&mut self, from: &VmId, gossip: Gossip, now: Timestamp) -> Vec<VmId> {
        self.size.observe(gossip.nodes as usize, now);
        if let Some(hall) = gossip.hall {
            self.peers.on_hall(from, hall);
            if gossip.has_wide_link {
                self.wide_nodes.insert(from.clone());
            }
        }
        for node in gossip.known {
            self.on_known(node, now);
        }
        let actions = self.membership.on_updates(&gossip.news, now);
        self.run_actions(actions, now)
    }

    fn on_known(&mut self, node: KnownNode, now: Timestamp) {
        let id = node_id(node.address);
        let is_gone = matches!(self.membership.liveness(&id), Some(Liveness::Dead | Liveness::Left));
        if node.address == self.own_address || is_gone {
            return;
        }
        self.add_known(node.address, now);
        if let Some(hall) = node.hall {
            self.peers.on_hall(&id, hall);
        }
        if node.has_wide_link {
            self.wide_nodes.insert(id);
        }
    }

    fn gossip(&mut self) -> Gossip {
        let known = self.sample(MAX_KNOWN_PER_MESSAGE).into_iter();
        let known = known.map(|address| {
            let hall = self.peers.hall(&node_id(address)).cloned();
            KnownNode { address, hall, has_wide_link: self.has_wide_link(address) }
        });
        Gossip {
            known: known.collect(),
            hall: Some(self.own_hall.clone()),
            has_wide_link: self.own_link_is_wide,
            news: self.membership.next_updates(),
            nodes: self.nodes() as u32,
            hears_watchers: self.hears_watchers,
        }
    }

    fn run_actions(&mut self, actions: Vec<MembershipAction>, now: Timestamp) -> Vec<VmId> {
        let mut gone = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Probe { target } => {
                    if let Some(address) = address_of(&target) {
                        self.probe(address, ProbePurpose::Direct(target), now);
                    }
                }
                MembershipAction::ProbeVia { via, target } => self.probe_via(&via, target, now),
                MembershipAction::Changed(update) => {
                    info!(event = "node_changed", node = &*update.vm, liveness:? = update.liveness, incarnation = update.incarnation; "another node's state changed");
                    if matches!(update.liveness, Liveness::Dead | Liveness::Left) {
                        self.forget(&update.vm);
                        gone.push(update.vm);
                    } else {
                        self.peers.on_up(&update.vm);
                    }
                }
            }
        }
        gone
    }

    /// Forgets a node that is gone, so that it is no longer listed in messages. Seeds are kept, as they are
    /// retried forever.
    fn forget(&mut self, node: &VmId) {
        self.peers.on_gone(node);
        self.wide_nodes.remove(node);
        if let Some(address) = address_of(node)
            && !self.seeds.contains(&address)
        {
            self.known.remove(&address);
            self.membership.unlist(node);
        }
    }

    fn probe(&mut self, target: SocketAddr, purpose: ProbePurpose, now: Timestamp) {
        self.last_probe += 1;
        self.probes.insert(self.last_probe, (purpose, now + PROBE_TIMEOUT));
        let gossip = self.gossip();
        self.outbox.send(target, &PeerMessage::Probe(self.last_probe, gossip));
    }

    fn probe_via(&mut self, via: &VmId, target: VmId, now: Timestamp) {
        let (Some(via), Some(address)) = (address_of(via), address_of(&target)) else {
            return;
        };
        self.last_probe += 1;
        self.probes.insert(self.last_probe, (ProbePurpose::Indirect(target), now + 2 * PROBE_TIMEOUT));
        self.outbox.send(via, &PeerMessage::ProbeFor(self.last_probe, address));
    }
}

/// Returns the peer addresses of the seeds other than this node. Seed addresses hold another port of their
/// nodes; all nodes use the same peer port.
fn peer_addresses(seeds: &[SocketAddr], own: SocketAddr) -> BTreeSet<SocketAddr> {
    let addresses = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), own.port()));
    addresses.filter(|address| *address != own).collect()
}
