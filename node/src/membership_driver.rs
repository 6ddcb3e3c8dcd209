//! Drives [`leadstage_lib::membership`]: probes peers, and exchanges gossip with them.

use leadstage_lib::ids::VmId;
use leadstage_lib::membership::MembershipAction;

use crate::bundle_fetch;
use crate::control::Control;
use crate::control::ControlRef;
use crate::peers;
use crate::vm_watch;
use crate::wire::Gossip;

/// Maximum number of leaving upstreams in one message.
const MAX_LEAVING: usize = 32;

/// Probes the peers that are due.
pub fn tick(control: &ControlRef) {
    let actions = {
        let mut control = control.borrow_mut();
        let now = control.now();
        let actions = control.membership.tick(now);
        control.on_membership(&actions);
        actions
    };
    for action in actions {
        if let MembershipAction::Probe { target } = action {
            tokio::task::spawn_local(probe(control.clone(), target));
        }
    }
}

async fn probe(control: ControlRef, target: VmId) {
    let gossip = gossip(&mut control.borrow_mut());
    let answer = peers::probe(&control, &target, &gossip).await;
    let intermediaries = {
        let mut control = control.borrow_mut();
        let now = control.now();
        let actions = control.membership.on_probe(&target, answer.is_ok(), now);
        control.on_membership(&actions);
        intermediaries_of(actions)
    };
    if let Ok(gossip) = answer {
        on_gossip(&control, &gossip);
    }
    if !intermediaries.is_empty() {
        probe_indirectly(&control, intermediaries, &target).await;
    }
}

fn intermediaries_of(actions: Vec<MembershipAction>) -> Vec<VmId> {
    let via = |action| match action {
        MembershipAction::ProbeVia { via, .. } => Some(via),
        _ => None,
    };
    actions.into_iter().filter_map(via).collect()
}

async fn probe_indirectly(control: &ControlRef, intermediaries: Vec<VmId>, target: &VmId) {
    let calls = intermediaries.iter().map(|via| peers::probe_for(control, via, target));
    let answers = futures::future::join_all(calls).await;
    let alive = answers.iter().any(|answer| matches!(answer, Ok(true)));
    let mut control = control.borrow_mut();
    let now = control.now();
    let actions = control.membership.on_indirect(target, alive, now);
    control.on_membership(&actions);
}

/// The gossip that this VM sends with its next message.
pub fn gossip(control: &mut Control) -> Gossip {
    Gossip {
        from: control.settings.vm.clone(),
        news: control.membership.next_updates(),
        bundle: control.shared.bundle().map_or(0, |b| b.number),
        leaving: control.directory.leaving().take(MAX_LEAVING).cloned().collect(),
    }
}

/// Applies the gossip of a peer, and fetches its bundle if that is newer.
pub fn on_gossip(control: &ControlRef, gossip: &Gossip) {
    let newer = {
        let mut control = control.borrow_mut();
        let now = control.now();
        let mut actions = control.membership.on_direct_contact(&gossip.from, now);
        actions.extend(control.membership.on_updates(&gossip.news, now));
        control.on_membership(&actions);
        let mut changed = false;
        for upstream in &gossip.leaving {
            changed |= control.directory.on_leaving(upstream, now);
        }
        if changed {
            vm_watch::publish(&control);
        }
        gossip.bundle > control.shared.bundle().map_or(0, |b| b.number)
    };
    if newer {
        bundle_fetch::start(control, &gossip.from);
    }
}
