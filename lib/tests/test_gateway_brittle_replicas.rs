//! Replicas that fall over when they turn many requests away.

use std::time::Duration;

use leadstage_lib::gateway::brittle_replicas;
use leadstage_lib::gateway::brittle_replicas::BrittleReplicas;
use leadstage_lib::gateway::cold_start::PlacedBy;

use crate::test_gateway_replicas::record;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn test_a_service_is_brittle_while_one_of_its_replicas_is() {
    let mut brittle = BrittleReplicas::default();
    let service = record("a", false).service;
    assert!(!brittle.is_brittle(&service, SECOND));
    brittle.on_report(&record("a", false), true);
    brittle.on_report(&record("b", false), true);
    brittle.on_report(&record("a", false), false);
    assert!(brittle.is_brittle(&service, SECOND) && !brittle.is_brittle("other", SECOND));
    brittle.retain(|id| &**id != "b", SECOND);
    assert!(!brittle.is_brittle(&service, SECOND));
}

#[test]
fn test_a_lead_that_is_told_forgets_after_a_while() {
    let mut brittle = BrittleReplicas::default();
    let service = record("a", false).service;
    brittle.on_told(&service, SECOND);
    let known: Vec<bool> = (1..=5).map(|at| brittle.is_brittle(&service, at * SECOND)).collect();
    assert_eq!(known, [true, true, true, false, false]);
}

#[test]
fn test_the_lead_uses_all_slots_and_other_nodes_a_share_each() {
    let room = |slots, placed_by, nodes| brittle_replicas::room(slots, placed_by, nodes);
    let rows = [(6, 1), (6, 4), (6, 62)]
        .map(|(slots, nodes)| (room(slots, PlacedBy::Lead, nodes), room(slots, PlacedBy::Node, nodes)));
    assert_eq!(rows, [(6, 6), (6, 2), (6, 1)]);
}
