//! Failure detection by probes, suspicion and membership updates.

use std::time::Duration;

use leadstage_lib::ids::VmId;
use leadstage_lib::membership::Liveness;
use leadstage_lib::membership::MAX_UPDATES_PER_MESSAGE;
use leadstage_lib::membership::Membership;
use leadstage_lib::membership::MembershipAction;
use leadstage_lib::membership::SUSPICION_TIMEOUT;
use proptest::prelude::*;

fn ids(count: usize) -> Vec<VmId> {
    (0..count).map(|n| format!("vm-{n}").into()).collect()
}

/// The views of all VMs of a fleet. Messages reach only the VMs that are up.
struct Fleet {
    ids: Vec<VmId>,
    views: Vec<Membership>,
    up: Vec<bool>,
    now: Duration,
    messages: usize,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let ids = ids(count);
        let mut views: Vec<Membership> =
            ids.iter().map(|id| Membership::new(id.clone(), 1, seed + id.len() as u64)).collect();
        views.iter_mut().for_each(|view| view.on_list(&ids, Duration::ZERO));
        Fleet { up: vec![true; count], ids, views, now: Duration::ZERO, messages: 0 }
    }

    fn index(&self, vm: &VmId) -> usize {
        self.ids.iter().position(|id| id == vm).expect("known")
    }

    fn exchange(&mut self, from: usize, to: usize) -> bool {
        self.messages += 1;
        if !self.up[to] {
            return false;
        }
        let updates = self.views[from].next_updates();
        assert!(updates.len() <= MAX_UPDATES_PER_MESSAGE);
        let (own, now) = (self.ids[from].clone(), self.now);
        self.views[to].on_direct_contact(&own, now);
        self.views[to].on_updates(&updates, now);
        let reply = self.views[to].next_updates();
        self.views[from].on_updates(&reply, now);
        true
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(200);
        for from in (0..self.views.len()).filter(|from| self.up[*from]).collect::<Vec<_>>() {
            let now = self.now;
            for action in self.views[from].tick(now) {
                let MembershipAction::Probe { target } = action else { continue };
                let to = self.index(&target);
                let answered = self.exchange(from, to);
                let vias = self.views[from].on_probe(&target, answered, now);
                let mut answered_indirectly = false;
                let mut requested = false;
                for via in vias {
                    let MembershipAction::ProbeVia { via, target } = via else { continue };
                    requested = true;
                    let (via, target) = (self.index(&via), self.index(&target));
                    answered_indirectly |= self.exchange(from, via) && self.exchange(via, target);
                }
                if requested {
                    self.views[from].on_indirect(&target, answered_indirectly, now);
                }
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        (0..time.as_millis() / 200).for_each(|_| self.tick());
    }

    fn all_consider(&self, vm: usize, liveness: Liveness) -> bool {
        let views = self.views.iter().enumerate().filter(|(other, _)| *other != vm && self.up[*other]);
        views.into_iter().all(|(_, view)| view.liveness(&self.ids[vm]) == Some(liveness))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// All other VMs detect that a VM died, consider no other VM dead, and detect that it came back.
    #[test]
    fn test_only_dead_vms_are_detected(count in 3..20_usize, dead in 0..20_usize, seed in 0..1000_u64) {
        let dead = dead % count;
        let mut fleet = Fleet::new(count, seed);
        fleet.advance(Duration::from_secs(5));
        fleet.up[dead] = false;
        fleet.advance(Duration::from_secs(30));
        prop_assert!(fleet.all_consider(dead, Liveness::Dead));
        for other in (0..count).filter(|vm| *vm != dead) {
            prop_assert!(fleet.all_consider(other, Liveness::Alive), "vm-{other} is not alive to all");
        }
        fleet.up[dead] = true;
        fleet.advance(Duration::from_secs(60));
        prop_assert!(fleet.all_consider(dead, Liveness::Alive), "the VM that came back is not alive to all");
    }
}

/// The number of messages per VM does not grow with the fleet.
#[test]
fn test_messages_per_vm_are_constant() {
    let per_vm = |count: usize| {
        let mut fleet = Fleet::new(count, 3);
        fleet.advance(Duration::from_secs(20));
        fleet.messages as f64 / count as f64 / 20.0
    };
    let (small, large) = (per_vm(5), per_vm(100));
    assert!((small - 1.0).abs() < 0.3 && (large - 1.0).abs() < 0.3, "{small} and {large} messages a second");
}

/// A VM that was frozen, and does not know of it, refutes its death when it resumes.
#[test]
fn test_resumed_vm_refutes_its_death() {
    let mut fleet = Fleet::new(5, 1);
    fleet.advance(Duration::from_secs(5));
    fleet.up[2] = false;
    fleet.advance(Duration::from_secs(20));
    assert!(fleet.all_consider(2, Liveness::Dead));
    assert!(fleet.views[2].last_contact().is_some());
    let now = fleet.now;
    fleet.views[2].tick(now);
    assert_eq!(fleet.views[2].last_contact(), None, "the VM still trusts its view from before the pause");
    fleet.up[2] = true;
    fleet.advance(Duration::from_secs(20));
    assert!(fleet.all_consider(2, Liveness::Alive));
}

/// A VM that announced its stop stays `Left` if it still answers a probe.
#[test]
fn test_left_is_not_revived() {
    let mut fleet = Fleet::new(4, 1);
    fleet.advance(Duration::from_secs(3));
    fleet.views[1].leave();
    fleet.advance(Duration::from_secs(8));
    assert!(fleet.all_consider(1, Liveness::Left));
}

#[test]
fn test_suspect_has_time_to_refute() {
    let ids = ids(2);
    let mut view = Membership::new(ids[0].clone(), 1, 1);
    view.on_list(&ids, Duration::ZERO);
    view.on_direct_contact(&ids[1], Duration::ZERO);
    view.on_probe(&ids[1], false, Duration::from_secs(1));
    assert_eq!(view.liveness(&ids[1]), Some(Liveness::Suspect));
    view.tick(Duration::from_secs(1) + SUSPICION_TIMEOUT - Duration::from_millis(1));
    assert_eq!(view.liveness(&ids[1]), Some(Liveness::Suspect));
    view.tick(Duration::from_secs(1) + SUSPICION_TIMEOUT);
    assert_eq!(view.liveness(&ids[1]), Some(Liveness::Dead));
}

/// A VM that no VM has received a message from may still be starting: it is not suspected after a failed
/// probe in its first five seconds, and is suspected like any other VM afterwards.
#[test]
fn test_starting_vm_is_not_suspected() {
    let ids = ids(2);
    let mut view = Membership::new(ids[0].clone(), 1, 1);
    view.on_list(&ids, Duration::ZERO);
    view.on_probe(&ids[1], false, Duration::from_millis(4_999));
    assert_eq!(view.liveness(&ids[1]), Some(Liveness::Alive));
    view.on_probe(&ids[1], false, Duration::from_secs(5));
    assert_eq!(view.liveness(&ids[1]), Some(Liveness::Suspect));
}

/// A VM is not suspected because of a probe that began before the latest message from the VM, and a suspect
/// is probed again each second.
#[test]
fn test_suspect_is_probed_again() {
    let ids = ids(9);
    let mut view = Membership::new(ids[0].clone(), 1, 1);
    view.on_list(&ids, Duration::ZERO);
    let contact = Duration::from_secs(10);
    view.on_direct_contact(&ids[1], contact);
    view.on_indirect(&ids[1], false, contact + Duration::from_millis(999));
    assert_eq!(view.liveness(&ids[1]), Some(Liveness::Alive));
    view.on_indirect(&ids[1], false, contact + Duration::from_secs(1));
    for second in [11, 12] {
        let actions = view.tick(Duration::from_secs(second) + Duration::from_millis(1));
        assert!(actions.contains(&MembershipAction::Probe { target: ids[1].clone() }), "{actions:?}");
    }
}

/// A suspected VM is notified of the suspicion and refutes it, and the VM that suspected it accepts that.
#[test]
fn test_suspected_vm_refutes() {
    let ids = ids(2);
    let now = Duration::from_secs(1);
    let mut suspecting = Membership::new(ids[0].clone(), 1, 1);
    let mut suspected = Membership::new(ids[1].clone(), 1, 1);
    suspecting.on_list(&ids, Duration::ZERO);
    suspected.on_list(&ids, Duration::ZERO);
    suspecting.on_updates(&suspected.next_updates(), now);
    suspecting.on_probe(&ids[1], false, now);
    suspected.on_updates(&suspecting.next_updates(), now);
    suspecting.on_updates(&suspected.next_updates(), now);
    assert_eq!(suspecting.liveness(&ids[1]), Some(Liveness::Alive));
}
