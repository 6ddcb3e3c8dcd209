//! Survival curves of output lengths and the overflow bound.

use leadstage_lib::length_model::LengthModel;
use leadstage_lib::overflow::Footprint;
use leadstage_lib::overflow::Margins;
use leadstage_lib::overflow::Projection;
use leadstage_lib::overflow::deviations_for;
use leadstage_lib::survival::LengthCounts;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A curve falls from 1 and stays within 0 and 1, and the mean is at most the cap.
    #[test]
    fn test_curve_is_a_survival_curve(
        ended in prop::collection::vec(0..60_000_u32, 0..200),
        censored in prop::collection::vec(0..60_000_u32, 0..50)
    ) {
        let mut counts = LengthCounts::default();
        ended.iter().for_each(|t| counts.add_ended(*t));
        censored.iter().for_each(|t| counts.add_censored(*t));
        let curve = counts.blended(&LengthCounts::prior(), 8.0).curve();
        let mut previous = 1.0;
        for tokens in [0.0, 1.0, 3.0, 10.0, 100.0, 1e3, 1e4, 1e5, 1e6] {
            let current = curve.at_least(tokens);
            prop_assert!((0.0..=1.0).contains(&current) && current <= previous + 1e-6);
            previous = current;
            prop_assert!(curve.mean(tokens) <= tokens);
        }
    }

    /// The bound is at least the held memory, and at most the memory if all generations run on.
    #[test]
    fn test_bound_is_between_held_and_maximum(
        sizes in prop::collection::vec((1..4_000_u32, 0..4_000_u32), 1..20),
        chance in 0.0001..0.5_f64
    ) {
        let curve = LengthCounts::prior().curve();
        let mut sum = Projection::default();
        for (prompt, produced) in &sizes {
            let footprint =
                Footprint { prompt: f64::from(*prompt), produced: f64::from(*produced), cap: 30_000.0 };
            sum.add(&Projection::of(&footprint, &curve));
        }
        let bound = sum.bound(&Margins::new(chance));
        prop_assert!(bound >= sum.held);
        prop_assert!(bound <= sum.held + 4_000.0 * sizes.len() as f64);
    }
}

/// A censored generation counts as a longer output, not as an output that ended at its length.
#[test]
fn test_censored_lengths_do_not_shorten_the_curve() {
    let mut ended = LengthCounts::default();
    (0..100).for_each(|_| ended.add_ended(100));
    let mut censored = ended.clone();
    (0..100).for_each(|_| censored.add_censored(50));
    assert!(censored.curve().at_least(90.0) >= ended.curve().at_least(90.0) - 1e-6);
}

#[test]
fn test_organisations_have_own_curves_and_old_lengths_fade() {
    let mut model = LengthModel::default();
    let (short, long) = ("short".into(), "long".into());
    for _ in 0..500 {
        model.observe(&short, 20, true);
        model.observe(&long, 2_000, true);
    }
    assert!(model.curve(&short).at_least(500.0) < 0.2);
    assert!(model.curve(&long).at_least(500.0) > 0.8);
    for _ in 0..30_000 {
        model.observe(&short, 3_000, true);
    }
    assert!(model.curve(&short).at_least(500.0) > 0.95, "old lengths do not fade");
}

#[test]
fn test_organisations_are_bounded() {
    let mut model = LengthModel::default();
    (0..3_000).for_each(|n| model.observe(&format!("org-{n}").into(), 10, true));
    assert_eq!(model.organisations(), 1_024);
}

#[test]
fn test_deviations() {
    for (chance, expected) in [(0.5, 0.0), (0.1587, 1.0), (0.02275, 2.0), (0.00135, 3.0)] {
        assert!((deviations_for(chance) - expected).abs() < 0.01, "{chance}");
    }
}
