//! Which plain calls a stopping node accepts, and what it remembers of their durations.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::answer_times::AnswerTimes;
use leadstage_lib::gateway::answer_times::CallTimes;
use leadstage_lib::gateway::routing::RouteId;
use leadstage_lib::gateway::stop_admission::CallEstimate;
use leadstage_lib::gateway::stop_admission::StopState;
use leadstage_lib::ids::Timestamp;

fn at(seconds: f64) -> Timestamp {
    Duration::from_secs_f64(seconds)
}

fn route(name: &str) -> RouteId {
    Arc::from(name)
}

/// The durations of calls of one route that took these times, in seconds.
fn times_of(calls: &[f64]) -> CallTimes {
    let mut times = AnswerTimes::default();
    calls.iter().for_each(|took| times.observe(&route("r"), at(*took), at(1.0)));
    times.of(&route("r"), at(1.0)).expect("it was called")
}

/// Least time in seconds, in steps of 0.1 s, that must be left for a call to be accepted. The deadline of the
/// call is 8 s away, and its objective is 0.5 s.
fn min_left(times: Option<CallTimes>, is_detected: bool, has_neighbour: bool) -> f64 {
    let call = CallEstimate { time_left: at(8.0), objective: at(0.5), times };
    let is_accepted = |tenths: &u32| {
        let left = Duration::from_millis(100) * *tenths;
        call.is_accepted(&StopState { left, is_detected, has_neighbour })
    };
    f64::from((0..=100).find(is_accepted).expect("the deadline ends it")) / 10.0
}

/// Guards against a fixed time for all calls: slow ones are cut by the end of the stop.
#[test]
fn test_slow_calls_are_accepted_only_while_they_can_end_in_a_stop() {
    let quick = times_of(&[0.02; 50]);
    let slow = times_of(&[3.0; 50]);
    let mut rarely_slow = [0.02; 50];
    rarely_slow[20] = 4.0;
    let rarely_slow = times_of(&rarely_slow);
    let states = [(false, true), (true, true), (false, false), (true, false)];
    let lines =
        [("quick", Some(quick)), ("slow", Some(slow)), ("rarely slow", Some(rarely_slow)), ("unknown", None)]
            .map(|(name, times)| {
                let least =
                    states.map(|(is_detected, has_neighbour)| min_left(times, is_detected, has_neighbour));
                format!("{name:11} {least:?}")
            });
    insta::assert_snapshot!(lines.join("\n"), @r"
    quick       [2.0, 2.0, 2.0, 2.0]
    slow        [3.8, 3.8, 3.8, 3.8]
    rarely slow [2.0, 5.0, 2.0, 2.0]
    unknown     [2.0, 8.0, 2.0, 2.0]
    ");
}

#[test]
fn test_calls_that_their_deadline_ends_before_the_stop_are_accepted() {
    let stop = StopState { left: at(0.8), is_detected: true, has_neighbour: true };
    for times in [None, Some(times_of(&[0.01])), Some(times_of(&[6.0]))] {
        let call = |left: f64| CallEstimate { time_left: at(left), objective: at(0.5), times };
        assert!(call(0.8).is_accepted(&stop) && !call(0.9).is_accepted(&stop), "{times:?}");
    }
}

/// Guards against a wait for room after which the call can no longer end in time.
#[test]
fn test_a_call_that_waits_for_room_is_accepted_after_its_longest_wait() {
    for times in [None, Some(times_of(&[0.01])), Some(times_of(&[3.0]))] {
        let call = |waited: Duration| CallEstimate { time_left: at(8.0) - waited, objective: at(0.5), times };
        let stop =
            |waited: Duration| StopState { left: at(7.5) - waited, is_detected: true, has_neighbour: false };
        let wait = call(Duration::ZERO).max_wait(&stop(Duration::ZERO));
        assert!(call(wait).is_accepted(&stop(wait)), "{times:?}");
        let longer = wait + at(0.01);
        assert!(!call(longer).is_accepted(&stop(longer)), "{times:?}");
    }
}

#[test]
fn test_the_longest_call_is_remembered_for_a_limited_time() {
    let mut times = AnswerTimes::default();
    let longest_at = |times: &mut AnswerTimes, now| times.of(&route("r"), at(now)).map(|t| t.longest());
    assert_eq!(longest_at(&mut times, 0.0), None);
    times.observe(&route("r"), at(4.0), at(10.0));
    times.observe(&route("other"), at(7.0), at(10.0));
    for now in 11..300 {
        times.observe(&route("r"), at(0.1), at(f64::from(now)));
    }
    assert_eq!(longest_at(&mut times, 309.0), Some(at(4.0)));
    for now in 310..610 {
        times.observe(&route("r"), at(0.1), at(f64::from(now)));
    }
    assert_eq!(longest_at(&mut times, 610.0), Some(at(0.1)));
    assert_eq!(longest_at(&mut times, 2_000.0), None);
}

/// Guards against durations that stay high after a slow moment, so that callers are turned away.
#[test]
fn test_the_usual_duration_recovers_after_a_slow_moment() {
    let mut calls = vec![0.02; 50];
    calls.extend([4.0; 3]);
    calls.extend([0.02; 50]);
    let times = times_of(&calls);
    assert!(times.usual() < at(0.1), "{times:?}");
    assert_eq!(times.longest(), at(4.0));
}

#[test]
fn test_durations_of_routes_that_are_no_longer_called_take_no_memory() {
    let mut times = AnswerTimes::default();
    for n in 0..10_000 {
        times.observe(&route(&format!("r-{n}")), at(0.1), at(f64::from(n)));
    }
    let kept = (0..10_000).filter(|n| times.of(&route(&format!("r-{n}")), at(10_000.0)).is_some());
    assert!(kept.count() <= 600);
}
