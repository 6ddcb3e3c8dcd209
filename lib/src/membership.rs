//! Failure detection after SWIM (Das, Gupta, Motivala, 2002): random probes, indirect probes before a VM is
//! suspected, and membership updates that are piggybacked on the probes. The cost for a VM does not grow with
//! the fleet: indices find the members that are up, suspect or ended, or that have an update to send, without
//! a scan of all members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Timestamp;
use crate::ids::VmId;
use crate::sample_set::SampleSet;

/// Time between two probes by one VM.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a suspect that has not refuted the suspicion is considered dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after its listing within which a VM that no VM has received a message from may still be starting, so
/// that failed probes don't make it a suspect. Processes that start together under load begin to listen up to
/// 3 s apart. When silent VMs were suspected at once, a live VM was considered dead 11 to 74 times in 200
/// modelled starts of three VMs, and some 150 times in each start of 40 VMs (`test_membership_start`).
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// Time for which a dead VM is remembered, so that outdated updates don't revive it.
const DEAD_RETENTION: Duration = Duration::from_secs(300);
/// Number of VMs that are requested to probe a target that did not answer a direct probe.
const INDIRECT_PROBES: usize = 2;
/// Maximum number of updates in one message.
pub const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// Ticks that are further apart than this indicate a pause of the process.
const MAX_TICK_GAP: Duration = PROBE_INTERVAL;
/// A process that was paused for longer than this no longer trusts its view of the fleet.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// A VM's state, as far as the fleet knows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// The VM answers probes.
    Alive,
    /// The VM answered neither direct nor indirect probes.
    Suspect,
    /// The VM did not refute the suspicion in time.
    Dead,
    /// The VM announced that it stops.
    Left,
}

/// An update on the state of a VM.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The VM.
    pub vm: VmId,
    /// Number that only the VM itself increments, to refute a suspicion.
    pub incarnation: u64,
    /// The VM's state.
    pub liveness: Liveness,
}

/// An action that the driver is to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Probe the target and report with [`Membership::on_probe`].
    Probe {
        /// The VM to probe.
        target: VmId,
    },
    /// Request `via` to probe the target and report with [`Membership::on_indirect`].
    ProbeVia {
        /// The VM that sends the indirect probe.
        via: VmId,
        /// The VM to probe.
        target: VmId,
    },
    /// A VM's liveness changed.
    Changed(MemberUpdate),
}

#[derive(Clone, Debug)]
struct Member {
    incarnation: u64,
    liveness: Liveness,
    since: Timestamp,
    /// When this VM learnt of the member.
    added_at: Timestamp,
    /// Whether this VM, or the node that reported the member, has received a message from it.
    confirmed: bool,
    /// When a message was last received from the member directly.
    last_contact: Option<Timestamp>,
    /// Whether this VM's own probes failed, so that it keeps probing the member.
    suspected_locally: bool,
    listed: bool,
    sent_count: u32,
}

/// One VM's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: VmId,
    incarnation: u64,
    leaving: bool,
    members: BTreeMap<VmId, Member>,
    /// Members that are alive or only suspected.
    up: SampleSet<VmId>,
    suspects: BTreeSet<VmId>,
    /// Members that are dead or left, ordered by the time of that change.
    ended: BTreeSet<(Timestamp, VmId)>,
    /// Members with an update that may be sent to others, the least often sent first.
    pending_updates: BTreeSet<(u32, VmId)>,
    /// Incremented when a member comes up or goes down.
    version: u64,
    probe_round: Vec<VmId>,
    last_probe: Option<Timestamp>,
    last_tick: Option<Timestamp>,
    last_contact: Option<Timestamp>,
    rng: SmallRng,
}

impl Membership {
    /// Creates a view that contains only the VM itself. The incarnation should rise with each start of the
    /// process, such as the time in milliseconds.
    pub fn new(own: VmId, incarnation: u64, seed: u64) -> Self {
        Membership {
            own,
            incarnation,
            leaving: false,
            members: BTreeMap::new(),
            up: SampleSet::default(),
            suspects: BTreeSet::new(),
            ended: BTreeSet::new(),
            pending_updates: BTreeSet::new(),
            version: 0,
            probe_round: Vec::new(),
            last_probe: None,
            last_tick: None,
            last_contact: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies a VM list. New VMs become members that are considered alive until a probe fails. VMs that are
    /// no longer listed are removed some time after their death.
    pub fn on_list(&mut self, listed: &[VmId], now: Timestamp) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        listed.iter().for_each(|vm| self.list(vm, now));
    }

    /// Adds a listed VM, which is considered alive until a probe fails.
    pub fn list(&mut self, vm: &VmId, now: Timestamp) {
        if *vm == self.own {
            return;
        }
        if !self.members.contains_key(vm) {
            let member = Member::new(now);
            self.index(vm, None, Some(&IndexKeys::of(&member)));
            self.members.insert(vm.clone(), member);
        }
        self.update(vm, |member| member.listed = true);
    }

    /// Marks a VM as no longer listed, so that it is removed some time after its death.
    pub fn unlist(&mut self, vm: &VmId) {
        self.update(vm, |member| member.listed = false);
    }

    /// Changes a member, if it exists, and updates the indices.
    fn update<T>(&mut self, vm: &VmId, change: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let member = self.members.get_mut(vm)?;
        let before = IndexKeys::of(member);
        let result = change(member);
        let after = IndexKeys::of(member);
        if before != after {
            self.index(vm, Some(&before), Some(&after));
        }
        Some(result)
    }

    /// Updates the indices from a member's previous keys to its current ones.
    fn index(&mut self, vm: &VmId, before: Option<&IndexKeys>, after: Option<&IndexKeys>) {
        let is_up = after.is_some_and(|after| after.is_up);
        if before.is_some_and(|before| before.is_up) != is_up {
            self.version += 1;
            if is_up {
                self.up.insert(vm.clone());
            } else {
                self.up.remove(vm);
            }
        }
        if after.is_some_and(|after| after.is_suspect) {
            self.suspects.insert(vm.clone());
        } else {
            self.suspects.remove(vm);
        }
        let (old_ended, ended) = (before.and_then(|b| b.ended), after.and_then(|a| a.ended));
        if old_ended != ended {
            old_ended.map(|since| self.ended.remove(&(since, vm.clone())));
            ended.map(|since| self.ended.insert((since, vm.clone())));
        }
        let (old_sent_count, sent_count) =
            (before.and_then(|b| b.sent_count), after.and_then(|a| a.sent_count));
        if old_sent_count != sent_count {
            old_sent_count.map(|count| self.pending_updates.remove(&(count, vm.clone())));
            sent_count.map(|count| self.pending_updates.insert((count, vm.clone())));
        }
    }

    /// Advances the time. The driver calls this a few times a second.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        self.expire_suspects(now, &mut actions);
        let due = self.last_probe.is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL);
        if due {
            self.last_probe = Some(now);
            let targets = self.next_target().into_iter().chain(self.next_suspect());
            actions.extend(targets.map(|target| MembershipAction::Probe { target }));
        }
        actions
    }

    /// Handles a pause of the process, in which it received no refutations: the pause does not count towards
    /// its suspicions. After a long one, other VMs may also consider this one dead.
    fn detect_pause(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap <= MAX_TICK_GAP {
            return;
        }
        let is_long = gap > PAUSE_THRESHOLD;
        for vm in self.suspects.clone() {
            self.update(&vm, |member| {
                member.since = if is_long { now } else { (member.since + gap).min(now) }
            });
        }
        if is_long {
            self.incarnation += 1;
            self.last_contact = None;
        }
    }

    fn expire_suspects(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let is_overdue = |vm: &&VmId| {
            self.members.get(*vm).is_some_and(|member| now.saturating_sub(member.since) >= SUSPICION_TIMEOUT)
        };
        let overdue: Vec<VmId> = self.suspects.iter().filter(is_overdue).cloned().collect();
        for vm in overdue {
            let update = self.update(&vm, |member| {
                member.liveness = Liveness::Dead;
                member.since = now;
                member.sent_count = 0;
                member.to_update(&vm)
            });
            actions.extend(update.map(MembershipAction::Changed));
        }
        self.remove_ended(now);
    }

    /// Removes members that ended long ago. Listed ones are kept, as they continue to be probed.
    fn remove_ended(&mut self, now: Timestamp) {
        let is_long_ago = |(since, _): &&(Timestamp, VmId)| now.saturating_sub(*since) >= DEAD_RETENTION;
        let long_ago: Vec<VmId> =
            self.ended.iter().take_while(is_long_ago).map(|(_, vm)| vm.clone()).collect();
        for vm in long_ago {
            if let Some(member) = self.members.get(&vm).filter(|member| !member.listed) {
                self.index(&vm, Some(&IndexKeys::of(member)), None);
                self.members.remove(&vm);
            }
        }
    }

    /// The next VM of a shuffled round over all members that may be reachable. These include dead members
    /// that are still listed, as they may only have been disconnected.
    fn next_target(&mut self) -> Option<VmId> {
        loop {
            if let Some(vm) = self.probe_round.pop() {
                if self.members.get(&vm).is_some_and(|m| m.liveness != Liveness::Left) {
                    return Some(vm);
                }
                continue;
            }
            let mut round: Vec<VmId> =
                self.members.iter().filter(|(_, m)| m.is_probe_target()).map(|(vm, _)| vm.clone()).collect();
            if round.is_empty() {
                return None;
            }
            for at in (1..round.len()).rev() {
                round.swap(at, self.rng.random_range(0..=at));
            }
            self.probe_round = round;
        }
    }

    /// The VM that this one has suspected for the longest time. It is probed each second, as its turn in the
    /// round may come only after it is considered dead.
    fn next_suspect(&self) -> Option<VmId> {
        let suspects = self.suspects.iter().filter_map(|vm| Some((vm, self.members.get(vm)?)));
        let own = suspects.filter(|(_, member)| member.suspected_locally);
        own.min_by_key(|(_, member)| member.since).map(|(vm, _)| vm.clone())
    }

    /// Handles the result of a direct probe.
    pub fn on_probe(&mut self, target: &VmId, answered: bool, now: Timestamp) -> Vec<MembershipAction> {
        if answered {
            return self.on_direct_contact(target, now);
        }
        let others = self.up.sample(INDIRECT_PROBES + 1, &mut self.rng);
        let others = others.into_iter().filter(|vm| *vm != target).take(INDIRECT_PROBES);
        let via = |vm: &VmId| MembershipAction::ProbeVia { via: vm.clone(), target: target.clone() };
        let actions: Vec<MembershipAction> = others.map(via).collect();
        if actions.is_empty() { self.suspect(target, now) } else { actions }
    }

    /// Handles the end of all indirect probes of a target. `answered` is true if any of them was answered.
    pub fn on_indirect(&mut self, target: &VmId, answered: bool, now: Timestamp) -> Vec<MembershipAction> {
        if answered { self.on_direct_contact(target, now) } else { self.suspect(target, now) }
    }

    /// Handles a message that was received directly from a VM.
    pub fn on_direct_contact(&mut self, vm: &VmId, now: Timestamp) -> Vec<MembershipAction> {
        self.last_contact = Some(now);
        let Some(member) = self.members.get_mut(vm) else {
            return Vec::new();
        };
        member.confirmed = true;
        member.last_contact = Some(now);
        if matches!(member.liveness, Liveness::Alive | Liveness::Left) {
            return Vec::new();
        }
        let update = self.update(vm, |member| {
            member.set(Liveness::Alive, now);
            member.to_update(vm)
        });
        update.map(MembershipAction::Changed).into_iter().collect()
    }

    fn suspect(&mut self, vm: &VmId, now: Timestamp) -> Vec<MembershipAction> {
        let update = self.update(vm, |member| {
            let suspects = member.liveness == Liveness::Alive && member.may_be_suspected(now);
            suspects.then(|| {
                member.set(Liveness::Suspect, now);
                member.suspected_locally = true;
                member.to_update(vm)
            })
        });
        update.flatten().map(MembershipAction::Changed).into_iter().collect()
    }

    /// Applies the updates that came with a message.
    pub fn on_updates(&mut self, updates: &[MemberUpdate], now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        for item in updates {
            if item.vm == self.own {
                self.refute(item);
                continue;
            }
            let changed = self.update(&item.vm, |member| {
                let newer = item.incarnation > member.incarnation;
                let worse = item.incarnation == member.incarnation && item.liveness > member.liveness;
                if !(newer || worse) {
                    return false;
                }
                member.incarnation = item.incarnation;
                // Only the VM itself sets an incarnation above 0, so some node received a message from it.
                member.confirmed |= item.incarnation > 0;
                let changes = member.liveness != item.liveness;
                if changes {
                    member.set(item.liveness, now);
                }
                changes
            });
            if changed == Some(true) {
                actions.push(MembershipAction::Changed(item.clone()));
            }
        }
        actions
    }

    /// Refutes an update by which this VM is not alive: raises the incarnation above the reported one.
    fn refute(&mut self, item: &MemberUpdate) {
        if item.liveness != Liveness::Alive && !self.leaving {
            self.incarnation = self.incarnation.max(item.incarnation + 1);
        }
    }

    /// The updates for the next message: this VM's own state and the least often sent ones of other VMs.
    pub fn next_updates(&mut self) -> Vec<MemberUpdate> {
        let own = if self.leaving { Liveness::Left } else { Liveness::Alive };
        let mut updates =
            vec![MemberUpdate { vm: self.own.clone(), incarnation: self.incarnation, liveness: own }];
        let max_sends = 3 * (self.members.len() + 2).ilog2() + 3;
        let pending = self
            .pending_updates
            .iter()
            .take_while(|(sent_count, _)| *sent_count < max_sends)
            .take(MAX_UPDATES_PER_MESSAGE - 1);
        let pending: Vec<VmId> = pending.map(|(_, vm)| vm.clone()).collect();
        for vm in pending {
            updates.extend(self.update(&vm, |member| {
                member.sent_count += 1;
                member.to_update(&vm)
            }));
        }
        updates
    }

    /// Announces that this VM is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
    }

    /// The other VMs that are alive or only suspected.
    pub fn alive(&self) -> impl Iterator<Item = &VmId> {
        self.members.iter().filter(|(_, m)| m.is_up()).map(|(vm, _)| vm)
    }

    /// The number of other VMs that are alive or only suspected.
    pub fn count_alive(&self) -> usize {
        self.up.len()
    }

    /// The other VMs that are alive and not suspected.
    pub fn healthy(&self) -> impl Iterator<Item = &VmId> {
        self.up.iter().filter(|vm| !self.suspects.contains(*vm))
    }

    /// A version of the set of VMs that are alive or only suspected, which rises with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The state of a VM, if it is a member.
    pub fn liveness(&self, vm: &str) -> Option<Liveness> {
        self.members.get(vm).map(|m| m.liveness)
    }

    /// When a message was last received directly from any peer since the start or the latest pause.
    pub fn last_contact(&self) -> Option<Timestamp> {
        self.last_contact
    }

    /// Whether any listed peer has not left.
    pub fn has_peers(&self) -> bool {
        self.members.values().any(|m| m.listed && m.liveness != Liveness::Left)
    }
}

/// The properties of a member that determine its place in the indices.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexKeys {
    is_up: bool,
    is_suspect: bool,
    /// When the member died or left.
    ended: Option<Timestamp>,
    /// How often the member's update was sent to others; `None` if there is nothing to send.
    sent_count: Option<u32>,
}

impl IndexKeys {
    fn of(member: &Member) -> Self {
        let is_up = member.is_up();
        let has_update = member.incarnation > 0 || member.liveness != Liveness::Alive;
        IndexKeys {
            is_up,
            is_suspect: member.liveness == Liveness::Suspect,
            ended: (!is_up).then_some(member.since),
            sent_count: has_update.then_some(member.sent_count),
        }
    }
}

impl Member {
    fn new(now: Timestamp) -> Self {
        Member {
            incarnation: 0,
            liveness: Liveness::Alive,
            since: now,
            added_at: now,
            confirmed: false,
            last_contact: None,
            suspected_locally: false,
            listed: true,
            sent_count: 0,
        }
    }

    fn set(&mut self, liveness: Liveness, now: Timestamp) {
        self.liveness = liveness;
        self.since = now;
        self.suspected_locally = false;
        self.sent_count = 0;
    }

    /// Whether a failed probe is a reason to suspect the member: not if it may still be starting, nor if a
    /// message arrived from it while the probe was under way.
    fn may_be_suspected(&self, now: Timestamp) -> bool {
        let is_starting = !self.confirmed && now.saturating_sub(self.added_at) < STARTUP_GRACE;
        let has_recent_contact = self.last_contact.is_some_and(|at| now.saturating_sub(at) < PROBE_INTERVAL);
        !is_starting && !has_recent_contact
    }

    fn is_up(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }

    fn is_probe_target(&self) -> bool {
        self.is_up() || (self.listed && self.liveness == Liveness::Dead)
    }

    fn to_update(&self, vm: &VmId) -> MemberUpdate {
        MemberUpdate { vm: vm.clone(), incarnation: self.incarnation, liveness: self.liveness }
    }
}
