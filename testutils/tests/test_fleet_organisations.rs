//! Organisations that share the engines of a modelled fleet, one of which sends far more than usual.

use leadstage_testutils::fleet_model;
use leadstage_testutils::fleet_model::experiment::Experiment;
use leadstage_testutils::fleet_model::experiment::Flood;
use leadstage_testutils::fleet_model::experiment::Organisations;
use leadstage_testutils::fleet_model::report::DayReport;
use leadstage_testutils::fleet_model::report::KindReport;

const SEEDS: std::ops::Range<u64> = 1..4;
/// Parts of the usual load: a few organisations are large, and most are small.
const PARTS: [f64; 12] = [0.25, 0.2, 0.15, 0.1, 0.06, 0.06, 0.04, 0.04, 0.03, 0.03, 0.02, 0.02];
/// Share of the requests in time by which a day may be worse than the same day without the flood.
const TOLERANCE: f64 = 0.03;

/// Half of the memory-bound fleet, at a multiple of its usual load from the organisations in [`PARTS`].
fn experiment(load: f64) -> Experiment {
    let yaml = include_str!("../../experiments/fleet/memory-bound.yaml");
    let mut experiment = Experiment::parse(yaml).expect("the experiment file is valid");
    experiment.reclaims = None;
    experiment.engines.count /= 2;
    experiment.kinds.iter_mut().for_each(|kind| kind.per_second *= load / 2.0);
    experiment.organisations = Some(Organisations { parts: PARTS.to_vec(), flood: None });
    experiment
}

fn with_flood(mut experiment: Experiment, organisation: usize, factor: f64) -> Experiment {
    if let Some(organisations) = &mut experiment.organisations {
        organisations.flood = Some(Flood { organisation, factor, from_s: 5.0, until_s: 17.0 });
    }
    experiment
}

fn simulate(experiment: &Experiment) -> Vec<DayReport> {
    SEEDS.map(|seed| fleet_model::simulate(experiment, seed)).collect()
}

/// Share of the requests in time, of all organisations for which `counts` holds.
fn share_in_time(days: &[DayReport], counts: impl Fn(usize) -> bool) -> f64 {
    let organisations = || days.iter().flat_map(|day| day.organisations.iter().enumerate());
    let sum = |value: fn(&KindReport) -> usize| -> f64 {
        organisations().filter(|(at, _)| counts(*at)).map(|(_, report)| value(report) as f64).sum()
    };
    sum(|report| report.in_time) / sum(KindReport::all)
}

/// One organisation sends 40 times its usual load: of the requests of the others, as many are in time as on
/// the same day without the flood.
#[test]
fn test_a_flood_of_one_organisation_does_not_delay_the_others() {
    for flooding in [0, 3, 10] {
        let usual = simulate(&experiment(0.9));
        let flooded = simulate(&with_flood(experiment(0.9), flooding, 40.0));
        let [usual, flooded] = [usual, flooded].map(|days| share_in_time(&days, |at| at != flooding));
        assert!(flooded >= usual - TOLERANCE, "organisation {flooding}: {flooded:.3} instead of {usual:.3}");
    }
}

/// What makes the difference is the sharing: without it, the same flood delays the others.
#[test]
fn test_without_shares_a_flood_delays_the_others() {
    let mut experiment = experiment(0.9);
    experiment.policy.share_room = false;
    let usual = simulate(&experiment);
    let flooded = simulate(&with_flood(experiment, 3, 40.0));
    let [usual, flooded] = [usual, flooded].map(|days| share_in_time(&days, |at| at != 3));
    assert!(flooded < usual - 5.0 * TOLERANCE, "{flooded:.3} instead of {usual:.3}");
}

/// An organisation with a fiftieth of the load sends four times as much, still less than its share: its
/// requests are served as usual.
#[test]
fn test_a_flood_within_the_share_loses_nothing() {
    let usual = simulate(&experiment(0.9));
    let flooded = simulate(&with_flood(experiment(0.9), 10, 4.0));
    let usual = share_in_time(&usual, |at| at == 10);
    let extra = |value: fn(&KindReport) -> usize| -> f64 {
        flooded.iter().map(|day| (value(&day.flood) + value(&day.organisations[10])) as f64).sum()
    };
    let flooded = extra(|report| report.in_time) / extra(KindReport::all);
    assert!(flooded >= usual - TOLERANCE, "{flooded:.3} instead of {usual:.3}");
}

/// A new lead that takes over in the flood knows from the nodes' inventories what each organisation holds.
#[test]
fn test_a_new_lead_keeps_the_shares() {
    let taken_over = |mut experiment: Experiment| {
        experiment.lead_lost_at_s = Some(9.0);
        simulate(&experiment)
    };
    let usual = taken_over(experiment(0.9));
    let flooded = taken_over(with_flood(experiment(0.9), 3, 40.0));
    let [usual, flooded] = [usual, flooded].map(|days| share_in_time(&days, |at| at != 3));
    assert!(flooded >= usual - TOLERANCE, "{flooded:.3} instead of {usual:.3}");
}

/// Where the fleet serves all and nothing is short, who sends what makes no difference.
#[test]
fn test_shares_change_nothing_while_nothing_is_short() {
    let with = experiment(0.4);
    let mut without = experiment(0.4);
    without.policy.share_room = false;
    assert_eq!(simulate(&with), simulate(&without));
}

/// A single organisation is served as if there were none.
#[test]
fn test_shares_change_nothing_for_a_single_organisation() {
    let mut with = experiment(1.3);
    with.organisations = Some(Organisations { parts: vec![1.0], flood: None });
    let mut without = with.clone();
    without.policy.share_room = false;
    assert_eq!(simulate(&with), simulate(&without));
}
