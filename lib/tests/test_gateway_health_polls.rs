//! Schedule of the health checks of engines.

use std::time::Duration;

use leadstage_lib::gateway::health_polls::HEALTH_TIMEOUT;
use leadstage_lib::gateway::health_polls::HealthPolls;
use leadstage_lib::ids::UpstreamId;

#[test]
fn test_engine_is_polled_again_after_the_interval() {
    let engine = UpstreamId::from("engine-1");
    let ms = |ms| Duration::from_secs(5) + Duration::from_millis(ms);
    let mut polls = HealthPolls::default();
    assert!(polls.start_if_due(&engine, ms(0)));
    assert!(!polls.start_if_due(&engine, ms(100)), "no second poll while one is pending");
    polls.on_answer(&engine, ms(150));
    polls.forget(ms(200));
    assert!(!polls.start_if_due(&engine, ms(300)));
    assert!(polls.start_if_due(&engine, ms(350)));
    assert!(polls.start_if_due(&UpstreamId::from("engine-2"), ms(350)), "other engines are not delayed");
}

#[test]
fn test_unresponsive_engine_is_polled_again() {
    let engine = UpstreamId::from("engine-1");
    let mut polls = HealthPolls::default();
    assert!(polls.start_if_due(&engine, Duration::ZERO));
    assert!(!polls.start_if_due(&engine, HEALTH_TIMEOUT));
    assert!(polls.start_if_due(&engine, HEALTH_TIMEOUT * 2));
}
