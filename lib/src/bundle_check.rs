//! Parses and validates bundles: value ranges, references and uniqueness.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::bundle::Bounds;
use crate::bundle::Bundle;
use crate::bundle::Organisation;
use crate::bundle::Route;
use crate::bundle::ServiceLevel;
use crate::checked_yaml;
use crate::checked_yaml::Problem;

/// Length of a SHA-256 hash in hex digits.
const TOKEN_HASH_CHARS: usize = 64;
const MAX_ID_CHARS: usize = 64;
/// Maximum of `claim_shards`; together with `claim_commit` it limits the write rate.
const MAX_CLAIM_SHARDS: u32 = 64;
/// Write rate that claims may use; the object API supports 100 writes per second in total.
const MAX_CLAIM_WRITES_PER_SECOND: f64 = 60.0;

impl Bundle {
    /// Parses and validates a bundle; the error lists every mistake.
    pub fn from_yaml(yaml: &str) -> Result<Bundle, Vec<Problem>> {
        let (bundle, mut problems) = checked_yaml::read::<Bundle>(yaml);
        if let Some(bundle) = &bundle {
            problems.extend(check(bundle));
        }
        match bundle {
            Some(bundle) if problems.is_empty() => Ok(bundle),
            _ => Err(problems),
        }
    }
}

/// Returns every mistake in the values of `bundle`.
fn check(bundle: &Bundle) -> Vec<Problem> {
    let mut problems = Vec::new();
    if bundle.number == 0 {
        problems.push(Problem::new("number", "must be 1 or more"));
    }
    check_ids(&mut problems, "organisations", bundle.organisations.iter().map(|o| &*o.id));
    check_ids(&mut problems, "models", bundle.models.iter().map(|m| &*m.id));
    check_ids(&mut problems, "services", bundle.services.iter().map(|s| &*s.id));
    check_organisations(&mut problems, &bundle.organisations);
    check_models(&mut problems, bundle);
    check_routes(&mut problems, bundle);
    check_bounds(&mut problems, &bundle.bounds);
    let levels = &bundle.service_levels;
    check_level(&mut problems, "first_token", &levels.first_token);
    check_level(&mut problems, "token_gap", &levels.token_gap);
    check_level(&mut problems, "stall", &levels.stall);
    check_level(&mut problems, "calls", &levels.calls);
    problems
}

fn check_ids<'a>(problems: &mut Vec<Problem>, list: &str, ids: impl Iterator<Item = &'a str>) {
    let mut seen = BTreeSet::new();
    for (at, id) in ids.enumerate() {
        let path = format!("{list}[{at}].id");
        let is_plain = id.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if id.is_empty() || id.len() > MAX_ID_CHARS || !is_plain {
            let allowed = "must be 1 to 64 of letters, digits, '-', '_' and '.'";
            problems.push(Problem::new(&*path, format!("{id:?} {allowed}")));
        } else if !seen.insert(id) {
            problems.push(Problem::new(path, format!("{id:?} stands twice")));
        }
    }
}

fn check_organisations(problems: &mut Vec<Problem>, organisations: &[Organisation]) {
    let mut hashes = BTreeSet::new();
    for (at, organisation) in organisations.iter().enumerate() {
        let path = format!("organisations[{at}]");
        check_range(problems, &format!("{path}.share"), organisation.share, 0.001, 1_000.0);
        check_range(problems, &format!("{path}.priority"), f64::from(organisation.priority), -100.0, 100.0);
        check_range(problems, &format!("{path}.max_open"), f64::from(organisation.max_open), 1.0, 1e6);
        for (nth, hash) in organisation.token_hashes.iter().enumerate() {
            let path = format!("{path}.token_hashes[{nth}]");
            let is_hex = hash.chars().all(|c| c.is_ascii_digit() || ('a'..='f').contains(&c));
            if hash.len() != TOKEN_HASH_CHARS || !is_hex {
                problems.push(Problem::new(path, "must be a SHA-256 as 64 lower-case hex digits"));
            } else if !hashes.insert(hash) {
                problems.push(Problem::new(path, "stands twice in the bundle"));
            }
        }
    }
}

fn check_models(problems: &mut Vec<Problem>, bundle: &Bundle) {
    for (at, model) in bundle.models.iter().enumerate() {
        let path = format!("models[{at}]");
        let prompt = f64::from(model.max_prompt_tokens);
        let output = f64::from(model.max_output_tokens);
        check_range(problems, &format!("{path}.max_prompt_tokens"), prompt, 1.0, 1e7);
        check_range(problems, &format!("{path}.max_output_tokens"), output, 1.0, 1e7);
        check_ids(problems, &format!("{path}.adapters"), model.adapters.iter().map(String::as_str));
        if bundle.services.iter().any(|s| s.id == model.id) {
            problems.push(Problem::new(format!("{path}.id"), "is also the id of a service"));
        }
    }
}

fn check_routes(problems: &mut Vec<Problem>, bundle: &Bundle) {
    let mut seen = BTreeSet::new();
    for (at, route) in bundle.routes.iter().enumerate() {
        let path = format!("routes[{at}]");
        check_prefix(problems, &path, route);
        if !seen.insert(&route.prefix) {
            problems.push(Problem::new(format!("{path}.prefix"), "stands twice"));
        }
        if !bundle.services.iter().any(|s| s.id == route.service) {
            let message = format!("{:?} is no service of the bundle", &*route.service);
            problems.push(Problem::new(format!("{path}.service"), message));
        }
        for (nth, method) in route.repeatable.iter().enumerate() {
            let known = ["GET", "HEAD", "PUT", "POST", "DELETE", "PATCH", "OPTIONS"];
            if !known.contains(&method.as_str()) {
                let message = format!("{method:?} must be one of {}", known.join(", "));
                problems.push(Problem::new(format!("{path}.repeatable[{nth}]"), message));
            }
        }
    }
}

fn check_prefix(problems: &mut Vec<Problem>, path: &str, route: &Route) {
    let path = format!("{path}.prefix");
    if !route.prefix.starts_with('/') {
        problems.push(Problem::new(path, format!("{:?} must start with '/'", route.prefix)));
    } else if route.prefix == "/" || route.prefix.starts_with("/v1/") {
        problems.push(Problem::new(path, format!("{:?} is kept for models", route.prefix)));
    }
}

fn check_bounds(problems: &mut Vec<Problem>, bounds: &Bounds) {
    let mut range = |name: &str, value: f64, min: f64, max: f64| {
        check_range(problems, &format!("bounds.{name}"), value, min, max);
    };
    range("max_body_bytes", bounds.max_body_bytes as f64, 1_024.0, 64e6);
    range("max_open_per_node", f64::from(bounds.max_open_per_node), 1.0, 1e6);
    range("max_queue", f64::from(bounds.max_queue), 0.0, 1e5);
    range("overflow_chance", bounds.overflow_chance, 0.0001, 0.5);
    range("retry_ratio", bounds.retry_ratio, 0.0, 1.0);
    range("claim_shards", f64::from(bounds.claim_shards), 1.0, f64::from(MAX_CLAIM_SHARDS));
    let mut time = |name: &str, value: Duration, min_ms: u64, max_s: u64| {
        let (min, max) = (Duration::from_millis(min_ms), Duration::from_secs(max_s));
        if value < min || value > max {
            let message = format!("{value:?} must be from {min:?} to {max:?}");
            problems.push(Problem::new(format!("bounds.{name}"), message));
        }
    };
    time("body_within", bounds.body_within, 100, 300);
    time("max_wait", bounds.max_wait, 0, 600);
    time("leaving_within", bounds.leaving_within, 500, 60);
    time("stall_within", bounds.stall_within, 100, 60);
    time("call_within", bounds.call_within, 10, 600);
    time("stop_within", bounds.stop_within, 1_000, 86_400);
    time("alone_within", bounds.alone_within, 2_000, 600);
    time("claim_commit", bounds.claim_commit, 10, 10);
    time("claims_kept", bounds.claims_kept, 1_000, 86_400);
    check_claim_write_rate(problems, bounds);
}

fn check_claim_write_rate(problems: &mut Vec<Problem>, bounds: &Bounds) {
    let writes = f64::from(bounds.claim_shards) / bounds.claim_commit.as_secs_f64().max(0.001);
    if writes > MAX_CLAIM_WRITES_PER_SECOND {
        let message =
            format!("{writes:.0} claim writes a second; claim_shards / claim_commit must be 60 or less");
        problems.push(Problem::new("bounds.claim_shards", message));
    }
}

fn check_level(problems: &mut Vec<Problem>, name: &str, level: &ServiceLevel) {
    check_range(problems, &format!("service_levels.{name}.share"), level.share, 0.5, 0.99999);
}

fn check_range(problems: &mut Vec<Problem>, path: &str, value: f64, min: f64, max: f64) {
    if !(min..=max).contains(&value) {
        problems.push(Problem::new(path, format!("{value} must be from {min} to {max}")));
    }
}
