//! Tests of the label values for organisations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use leadstage_lib::gateway::organisation_labels::OrganisationLabels;
use leadstage_lib::ids::OrganisationId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Two large organisations among 300 small ones, in random order, get values of their own; the small ones share
/// one.
#[test]
fn test_only_large_organisations_have_labels() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut labels = OrganisationLabels::default();
    let mut requests: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..9_000 {
        let name: OrganisationId = match rng.random_range(0..3) {
            0 => "amina".into(),
            1 => "luka".into(),
            _ => format!("small-{}", rng.random_range(0..300)).into(),
        };
        *requests.entry(labels.on_request(&name).to_owned()).or_default() += 1;
    }
    let values: Vec<&String> = requests.keys().collect();
    assert_eq!(values, ["amina", "luka", "other"]);
}

/// An organisation that floods after many requests of 300 small ones gets a value of its own.
#[test]
fn test_an_organisation_that_floods_later_has_a_label() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut labels = OrganisationLabels::default();
    for _ in 0..3_000 {
        labels.on_request(&format!("small-{}", rng.random_range(0..300)).into());
    }
    let flooding: OrganisationId = "amina".into();
    let values: BTreeSet<&str> = (0..200).map(|_| labels.on_request(&flooding)).collect();
    assert!(values.contains("amina"), "{values:?}");
}

/// However many organisations become large in turn, the number of values is bounded.
#[test]
fn test_number_of_labels_is_bounded() {
    let mut labels = OrganisationLabels::default();
    let mut values = BTreeSet::new();
    for n in 0..40 {
        let name: OrganisationId = format!("org-{n}").into();
        for _ in 0..2_000 {
            values.insert(labels.on_request(&name).to_owned());
        }
    }
    assert_eq!(values.len(), 17, "{values:?}");
}
