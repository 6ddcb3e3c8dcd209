//! Burn report over its time windows.

use leadstage_lib::bundle::ServiceLevels;
use leadstage_lib::burn::BurnCounts;
use leadstage_lib::burn::Indicator;

#[test]
fn test_burn_over_windows() {
    let mut one = BurnCounts::default();
    let mut other = BurnCounts::default();
    for minute in 0..400 {
        (0..95).for_each(|_| one.observe(Indicator::FirstToken, true, minute));
        (0..5).for_each(|_| other.observe(Indicator::FirstToken, minute < 390, minute));
    }
    assert!(one.minutes.len() <= 360, "minutes are retained without limit");
    one.add(&other);
    let lines = one.report(&ServiceLevels::default(), 399);
    let text: Vec<String> = lines
        .iter()
        .filter(|l| l.total > 0)
        .map(|l| {
            format!(
                "{} {} s: {} of {} over, burn {:.3}",
                l.indicator.name(),
                l.window_s,
                l.bad,
                l.total,
                l.burn
            )
        })
        .collect();
    insta::assert_snapshot!(text.join("\n"), @"
    first_token 300 s: 25 of 500 over, burn 1.000
    first_token 3600 s: 50 of 6000 over, burn 0.167
    first_token 21600 s: 50 of 36000 over, burn 0.028
    ");
}
