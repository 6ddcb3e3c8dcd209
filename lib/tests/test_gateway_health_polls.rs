//! When engines are asked for their health.

use std::time::Duration;

use leadstage_lib::gateway::lookout::ANSWER_LIMIT;
use leadstage_lib::gateway::lookout::Lookout;
use leadstage_lib::ids::UpstreamId;

#[test]
fn test_an_engine_is_asked_again_some_time_after_its_answer() {
    let engine = UpstreamId::from("engine-1");
    let ms = |ms| Duration::from_secs(5) + Duration::from_millis(ms);
    let mut lookout = Lookout::default();
    assert!(lookout.ask(&engine, ms(0)));
    assert!(!lookout.ask(&engine, ms(100)), "no second question while one is open");
    lookout.on_answer(&engine, ms(150));
    lookout.forget(ms(200));
    assert!(!lookout.ask(&engine, ms(300)));
    assert!(lookout.ask(&engine, ms(350)));
    assert!(lookout.ask(&UpstreamId::from("engine-2"), ms(350)), "others are not held up");
}

#[test]
fn test_an_engine_that_never_answers_is_asked_again() {
    let engine = UpstreamId::from("engine-1");
    let mut lookout = Lookout::default();
    assert!(lookout.ask(&engine, Duration::ZERO));
    assert!(!lookout.ask(&engine, ANSWER_LIMIT));
    assert!(lookout.ask(&engine, ANSWER_LIMIT * 2));
}
