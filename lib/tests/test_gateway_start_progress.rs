//! The reports of a starting node on what it waits for.

use std::time::Duration;

use leadstage_lib::gateway::start_progress::Part;
use leadstage_lib::gateway::start_progress::Source;
use leadstage_lib::gateway::start_progress::StartProgress;

#[test]
fn test_a_wait_at_a_start_is_reported_ever_less_often_and_not_after_its_end() {
    let mut progress = StartProgress::default();
    let mut rows = Vec::new();
    for tenths in 0..400 {
        let now = Duration::from_millis(tenths * 100);
        if tenths == 35 {
            progress.on_part(Part::Config, Some(Source::Store), now);
        }
        if tenths == 36 {
            progress.on_part(Part::Config, Some(Source::Node("10.0.0.1:7003".parse().expect("valid"))), now);
        }
        rows.extend(progress.due_reports(now).into_iter().map(|part| format!("{now:?} {part}")));
    }
    let config = progress.arrival(Part::Config).expect("it arrived");
    rows.push(format!("config after {:?} from {}", config.after, config.from.expect("known")));
    rows.push(format!("replicas {:?}", progress.arrival(Part::Replicas)));
    insta::assert_snapshot!(rows.join("\n"), @r"
    1s config
    1s replicas
    2s config
    2s replicas
    4s replicas
    8s replicas
    16s replicas
    32s replicas
    config after 3.5s from store
    replicas None
    ");
}
