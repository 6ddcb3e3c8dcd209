//! Parsing and validation of bundles.

use leadstage_lib::bundle::Bundle;

fn problems(yaml: &str) -> String {
    let problems = Bundle::from_yaml(yaml).expect_err("the bundle has mistakes");
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

#[test]
fn test_every_mistake_is_listed_with_its_path() {
    let yaml = "
number: 0
objective: speed
colour: red
organisations:
  - {id: a, share: -1, token_hashes: [abc]}
  - {id: a, share: many}
models:
  - {id: 'no spaces', max_prompt_tokens: 0}
routes:
  - {prefix: booking, service: none, repeatable: [FETCH]}
  - {prefix: /v1/x, service: none}
bounds: {max_wait: soon, overflow_chance: 2, claim_shards: 64, claim_commit: 10ms}
service_levels: {first_token: {within: 1s, share: 2}}
";
    insta::assert_snapshot!(problems(yaml), @r#"
    bounds.max_wait: invalid value: string "soon", expected a duration (found "soon")
    colour: unknown field `colour`, expected one of `number`, `fleet`, `objective`, `organisations`, `models`, `services`, `routes`, `bounds`, `service_levels` (found "red")
    objective: unknown variant `speed`, expected `token_gap` or `stall` (found "speed")
    organisations[1].share: invalid type: string "many", expected f64 (found "many")
    number: must be 1 or more
    organisations[1].id: "a" stands twice
    models[0].id: "no spaces" must be 1 to 64 of letters, digits, '-', '_' and '.'
    organisations[0].share: -1 must be from 0.001 to 1000
    organisations[0].token_hashes[0]: must be a SHA-256 as 64 lower-case hex digits
    models[0].max_prompt_tokens: 0 must be from 1 to 10000000
    routes[0].prefix: "booking" must start with '/'
    routes[0].service: "none" is no service of the bundle
    routes[0].repeatable[0]: "FETCH" must be one of GET, HEAD, PUT, POST, DELETE, PATCH, OPTIONS
    routes[1].prefix: "/v1/x" is kept for models
    routes[1].service: "none" is no service of the bundle
    bounds.overflow_chance: 2 must be from 0.0001 to 0.5
    bounds.claim_shards: 6400 claim writes a second; claim_shards / claim_commit must be 60 or less
    service_levels.first_token.share: 2 must be from 0.5 to 0.99999
    "#);
}

#[test]
fn test_invalid_yaml_is_one_problem() {
    assert_eq!(Bundle::from_yaml("a: [").expect_err("invalid YAML").len(), 1);
}

#[test]
fn test_examples_are_valid() {
    for name in ["najem", "bahla"] {
        let path = format!("{}/../examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
        let bundle = Bundle::from_yaml(&std::fs::read_to_string(path).expect("the example is readable"));
        assert_eq!(bundle.map(|b| b.fleet), Ok(name.to_owned()));
    }
}

#[test]
fn test_longest_matching_prefix_wins() {
    let yaml = "
number: 1
services: [{id: a}, {id: b}]
routes:
  - {prefix: /x/, service: a, repeatable: [GET]}
  - {prefix: /x/y/, service: b}
";
    let bundle = Bundle::from_yaml(yaml).expect("a valid bundle");
    let service = |path| bundle.route(path).map(|r| r.service.to_string());
    assert_eq!(service("/x/y/z"), Some("b".to_owned()));
    assert_eq!(service("/x/z"), Some("a".to_owned()));
    assert_eq!(service("/y"), None);
    assert!(bundle.routes[0].is_repeatable("GET") && !bundle.routes[0].is_repeatable("POST"));
}
