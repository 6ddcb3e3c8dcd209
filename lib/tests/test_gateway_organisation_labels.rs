//! Tests of the label values for organisations.

use std::collections::BTreeMap;

use leadstage_lib::gateway::organisation_labels::OrganisationLabels;
use leadstage_lib::ids::OrganisationId;

/// Two large organisations among 300 small ones get values of their own; the small ones share one.
#[test]
fn test_only_large_organisations_have_labels() {
    let mut labels = OrganisationLabels::default();
    let mut requests: BTreeMap<String, u64> = BTreeMap::new();
    for n in 0..9_000_u64 {
        let name: OrganisationId = match n % 3 {
            0 => "amina".into(),
            1 => "luka".into(),
            _ => format!("small-{}", n % 900).into(),
        };
        *requests.entry(labels.on_request(&name).to_owned()).or_default() += 1;
    }
    insta::assert_debug_snapshot!(requests, @r#"
    {
        "amina": 2967,
        "luka": 2967,
        "other": 3066,
    }
    "#);
}

/// However many organisations become large in turn, the number of values is bounded.
#[test]
fn test_number_of_labels_is_bounded() {
    let mut labels = OrganisationLabels::default();
    let mut values = std::collections::BTreeSet::new();
    for n in 0..40 {
        let name: OrganisationId = format!("org-{n}").into();
        for _ in 0..2_000 {
            values.insert(labels.on_request(&name).to_owned());
        }
    }
    assert_eq!(values.len(), 17, "{values:?}");
}
