//! The routing table of the gateway interface.

use std::time::Duration;

use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::routing::CallerLimits;
use leadstage_lib::gateway::routing::GatewayConfig;
use leadstage_lib::gateway::routing::Organisation;
use leadstage_lib::gateway::routing::Repeat;
use leadstage_lib::gateway::routing::Route;
use leadstage_lib::gateway::routing::RouteError;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::gateway::routing::Target;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn route(name: &str, host: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: Duration::ZERO,
        priority: 0,
        max_attempts: 1,
        public,
        resumable: false,
        regions: AllowedRegions::ANY,
        targets: vec![Target { service: "s".into(), weight: 1.0 }],
    }
}

fn table(organisations: Option<Vec<Organisation>>) -> RoutingTable {
    RoutingTable::new(GatewayConfig {
        version: 1,
        routes: vec![
            route("short", "h", "/a/", false),
            route("long", "h", "/a/b/", false),
            route("open", "h", "/open/", true),
        ],
        services: vec![],
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_within: Duration::from_secs(1),
            idle: Duration::from_secs(1),
        },
        organisations,
    })
}

fn name(table: &RoutingTable, host: &str, path: &str) -> Option<String> {
    table.route(host, path).ok().map(|route| route.name.to_string())
}

#[test]
fn test_longest_prefix_of_the_host_is_matched() {
    let table = table(None);
    let rows: Vec<String> =
        [("h", "/a/x"), ("H:8080", "/a/b/x"), ("h", "/a/bx"), ("h", "/a"), ("other", "/a/x")]
            .iter()
            .map(|(host, path)| format!("{host}{path} -> {:?}", name(&table, host, path)))
            .collect();
    insta::assert_snapshot!(rows.join("\n"), @r#"
    h/a/x -> Some("short")
    H:8080/a/b/x -> Some("long")
    h/a/bx -> Some("short")
    h/a -> None
    other/a/x -> None
    "#);
}

#[test]
fn test_keys_identify_organisations() {
    let organisation = Organisation {
        name: "o".into(),
        keys: vec!["k".to_owned()],
        priority: 1,
        regions: AllowedRegions::ANY,
    };
    let table = table(Some(vec![organisation]));
    let closed = table.route("h", "/a/x").expect("a route");
    let open = table.route("h", "/open/x").expect("a route");
    let organisation_of =
        |route: &Route, key| table.organisation(route, key).map(|o| o.map(|o| o.name.to_string()));
    assert_eq!(organisation_of(&closed, Some("k")), Ok(Some("o".to_owned())));
    assert_eq!(organisation_of(&closed, Some("x")), Err(RouteError::UnknownKey));
    assert_eq!(organisation_of(&closed, None), Err(RouteError::UnknownKey));
    assert_eq!(organisation_of(&open, None), Ok(None));
}

#[test]
fn test_targets_are_picked_by_weight() {
    let mut split = route("split", "h", "/", false);
    split.targets =
        vec![Target { service: "x".into(), weight: 90.0 }, Target { service: "y".into(), weight: 10.0 }];
    let rng = &mut SmallRng::seed_from_u64(3);
    let to_y = (0..1_000).filter(|_| split.pick_target(rng).is_some_and(|s| &**s == "y")).count();
    assert!((70..130).contains(&to_y), "{to_y}");
}
