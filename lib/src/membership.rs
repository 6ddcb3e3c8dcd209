//! Which VMs are alive: random probes, indirect probes before suspicion, and news
//! carried on the probes, after SWIM (Das, Gupta, Motivala, 2002). The cost on a VM
//! does not grow with the fleet: members that are up, suspect, ended or news are found without a look at all.

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
/// A suspect that does not refute within this is dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// A VM that nobody has heard of may take this long to listen after it is listed; until then its silence
/// is no sign of trouble. Processes that start together beside other load listen up to 3 s apart: when
/// silent ones were suspected at once, 200 modelled starts of three VMs each took a living one for dead
/// 11 to 74 times, and of 40 VMs some 150 times each (`test_membership_start`).
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// A dead VM is remembered this long, so that old news does not revive it.
const DEAD_RETENTION: Duration = Duration::from_secs(300);
/// VMs that are asked to probe a target that did not answer.
const INDIRECT_PROBES: usize = 2;
/// News items on one message.
pub const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// A pause of the process longer than this makes it doubt what it knows.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// What is thought of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer, directly or through others.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it stops.
    Left,
}

/// A piece of news about a VM.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct MemberUpdate {
    /// About whom.
    pub vm: VmId,
    /// Raised by the VM itself to refute a suspicion.
    pub incarnation: u64,
    /// What is thought of it.
    pub liveness: Liveness,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Probe the target and report with [`Membership::on_probe`].
    Probe {
        /// Whom.
        target: VmId,
    },
    /// Ask `via` to probe the target and report with [`Membership::on_indirect`].
    ProbeVia {
        /// Whom to ask.
        via: VmId,
        /// Whom it is to probe.
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
    /// When this VM learnt that there is one.
    added_at: Timestamp,
    /// It was heard from, here or by the node that told of it.
    confirmed: bool,
    /// When it was last heard from directly.
    last_contact: Option<Timestamp>,
    /// This VM's own probes failed, so it asks again.
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
    /// Those that are thought to be alive or only suspected.
    up: SampleSet<VmId>,
    suspects: BTreeSet<VmId>,
    /// Those that are dead or left, by when they became so.
    ended: BTreeSet<(Timestamp, VmId)>,
    /// Those that others may be told of, the least told first.
    pending_updates: BTreeSet<(u32, VmId)>,
    /// Rises when a member comes up or is up no more.
    version: u64,
    probe_round: Vec<VmId>,
    last_probe: Option<Timestamp>,
    last_tick: Option<Timestamp>,
    last_contact: Option<Timestamp>,
    rng: SmallRng,
}

impl Membership {
    /// A view with nobody but the VM itself. The incarnation should be higher after
    /// each start of the process, such as the time in milliseconds.
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

    /// Takes the VM list in: new VMs are candidates, taken to be alive until a probe
    /// fails; VMs that it no longer names are forgotten once they are dead.
    pub fn on_list(&mut self, listed: &[VmId], now: Timestamp) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        listed.iter().for_each(|vm| self.list(vm, now));
    }

    /// A VM is listed: it is a candidate, taken to be alive until a probe fails.
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

    /// A VM is not listed any more; it is forgotten once it is dead for some time.
    pub fn unlist(&mut self, vm: &VmId) {
        self.update(vm, |member| member.listed = false);
    }

    /// Changes a member, if there is one, and the indices with it.
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

    /// Brings the indices from what a member was to what it is.
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

    /// Time has passed; wanted a few times a second.
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

    /// After a pause others may think this VM dead; and its own suspicions are stale.
    fn detect_pause(&mut self, now: Timestamp) {
        let paused = self.last_tick.is_some_and(|at| now.saturating_sub(at) > PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        if !paused {
            return;
        }
        self.incarnation += 1;
        self.last_contact = None;
        for vm in self.suspects.clone() {
            self.update(&vm, |member| member.since = now);
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

    /// Forgets who ended long ago; who is listed is asked again and again.
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

    /// The next VM of a shuffled round over all that may be reached; dead ones that the
    /// VM list still names are tried too, as they may have been cut off only.
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

    /// The VM that this one suspects longest. It is asked each second, as the round over all may come
    /// back to it only after it is taken for dead.
    fn next_suspect(&self) -> Option<VmId> {
        let suspects = self.suspects.iter().filter_map(|vm| Some((vm, self.members.get(vm)?)));
        let own = suspects.filter(|(_, member)| member.suspected_locally);
        own.min_by_key(|(_, member)| member.since).map(|(vm, _)| vm.clone())
    }

    /// A direct probe answered, or not.
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

    /// All indirect probes of a target are over; `answered` if any did.
    pub fn on_indirect(&mut self, target: &VmId, answered: bool, now: Timestamp) -> Vec<MembershipAction> {
        if answered { self.on_direct_contact(target, now) } else { self.suspect(target, now) }
    }

    /// A VM was heard from directly.
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

    /// Takes news in that came with a message.
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
                // Only the VM itself gives out an incarnation.
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

    /// Others doubt this VM: a higher incarnation tells them that it is there.
    fn refute(&mut self, item: &MemberUpdate) {
        if item.liveness != Liveness::Alive && !self.leaving {
            self.incarnation = self.incarnation.max(item.incarnation + 1);
        }
    }

    /// News to put on the next message: this VM's own and the least told.
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

    /// This VM is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.incarnation += 1;
    }

    /// VMs thought to be alive or only suspected, without this one.
    pub fn alive(&self) -> impl Iterator<Item = &VmId> {
        self.members.iter().filter(|(_, m)| m.is_up()).map(|(vm, _)| vm)
    }

    /// How many these are.
    pub fn count_alive(&self) -> usize {
        self.up.len()
    }

    /// Those of them that are not suspected.
    pub fn healthy(&self) -> impl Iterator<Item = &VmId> {
        self.up.iter().filter(|vm| !self.suspects.contains(*vm))
    }

    /// Rises when one comes to them or goes from them.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What is thought of a VM.
    pub fn liveness(&self, vm: &str) -> Option<Liveness> {
        self.members.get(vm).map(|m| m.liveness)
    }

    /// When any peer was last heard from since the start or the latest pause.
    pub fn last_contact(&self) -> Option<Timestamp> {
        self.last_contact
    }

    /// Whether there is any peer that should be alive.
    pub fn has_peers(&self) -> bool {
        self.members.values().any(|m| m.listed && m.liveness != Liveness::Left)
    }
}

/// What of a member the indices go by.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexKeys {
    is_up: bool,
    is_suspect: bool,
    /// Since when it is dead or left.
    ended: Option<Timestamp>,
    /// How often others were told of it, if there is something to tell.
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

    /// Whether a failed probe can mean that it is gone: not if it may not listen yet, nor if it was heard
    /// from while the probe was under way.
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
