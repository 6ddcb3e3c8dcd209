//! Generations that wait for room: their order, how long they wait, and when they are refused.

use std::time::Duration;

use leadstage_lib::gateway::room_forecast::RoomForecast;
use leadstage_lib::gateway::waiting;
use leadstage_lib::gateway::waiting::WaitQueue;
use leadstage_lib::gateway::waiting::Waiting;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn queue(items: &[(&'static str, u8, u64, f64)]) -> WaitQueue<&'static str> {
    let mut queue = WaitQueue::default();
    for (item, priority, until, tokens) in items.iter().copied() {
        let until = Duration::from_secs(until);
        queue.push(Waiting { item, organisation: None, priority, due: until, until, tokens });
    }
    queue
}

fn drain(queue: &mut WaitQueue<&'static str>) -> Vec<&'static str> {
    drain_at(queue, 0)
}

fn drain_at(queue: &mut WaitQueue<&'static str>, now_s: u64) -> Vec<&'static str> {
    let now = Duration::from_secs(now_s);
    std::iter::from_fn(|| queue.pop(now).map(|waiting| waiting.item)).collect()
}

fn unknown(_: f64) -> Option<Duration> {
    None
}

#[test]
fn test_queue_is_ordered_and_entries_expire() {
    let mut queue =
        queue(&[("late", 1, 9, 0.0), ("first", 0, 9, 0.0), ("second", 0, 9, 0.0), ("over", 0, 5, 0.0)]);
    assert!(!queue.is_next(0, Duration::ZERO), "an equally urgent generation waits");
    assert_eq!(queue.take_unservable(Duration::from_secs(5), unknown), [("over", None)]);
    assert_eq!(drain(&mut queue), ["first", "second", "late"]);
    assert!(queue.is_next(0, Duration::ZERO));
}

/// Generations that can begin in time go before those that cannot, and the latter go before all once they
/// have been late for six tenths of the time that their callers stay.
#[test]
fn test_generations_that_can_begin_in_time_go_first() {
    let order_at = |now_s| {
        let mut queue = WaitQueue::default();
        let items = [("old", 1, 2, 10), ("late", 0, 4, 12), ("urgent", 0, 8, 16), ("new", 1, 9, 17)];
        for (item, priority, due, until) in items {
            let (due, until) = (Duration::from_secs(due), Duration::from_secs(until));
            queue.push(Waiting { item, organisation: None, priority, due, until, tokens: 1.0 });
        }
        let is_next = (0..2).map(|priority| queue.is_next(priority, Duration::from_secs(now_s)));
        let is_next: Vec<bool> = is_next.collect();
        (drain_at(&mut queue, now_s), is_next)
    };
    assert_eq!(order_at(1), (vec!["late", "urgent", "old", "new"], vec![false, false]));
    assert_eq!(order_at(5), (vec!["urgent", "new", "late", "old"], vec![false, false]));
    assert_eq!(order_at(7), (vec!["old", "urgent", "new", "late"], vec![false, false]), "old is overdue");
    assert_eq!(order_at(12).0, ["old", "late", "urgent", "new"]);
}

/// While others can begin in time, one of four placements goes to an overdue generation; where none can,
/// overdue ones follow each other.
#[test]
fn test_one_of_four_placements_is_overdue() {
    let at = Duration::from_secs;
    let mut queue = WaitQueue::default();
    for (item, due) in [("o1", 1), ("o2", 2), ("o3", 3), ("a", 50), ("b", 50), ("c", 50), ("d", 50)] {
        queue.push(Waiting {
            item,
            organisation: None,
            priority: 0,
            due: at(due),
            until: at(due + 10),
            tokens: 1.0,
        });
    }
    // An entry that is put back does not count as a placement.
    let first = queue.pop(at(20)).expect("seven entries wait");
    queue.put_back(first);
    assert!(!queue.is_next(0, at(20)));
    assert_eq!(drain_at(&mut queue, 20), ["o1", "a", "b", "c", "o2", "d", "o3"]);
    queue.push(Waiting {
        item: "o4",
        organisation: None,
        priority: 0,
        due: at(1),
        until: at(11),
        tokens: 1.0,
    });
    for _ in 0..3 {
        assert!(queue.is_next(0, at(20)), "it is not the turn of an overdue entry");
        queue.on_direct_placement();
    }
    assert!(!queue.is_next(0, at(20)), "three placements went before it");
}

/// An entry that was taken out and put back keeps its turn, and late entries do not delay new ones.
#[test]
fn test_late_generations_do_not_delay_others() {
    let at = Duration::from_secs;
    let mut queue = WaitQueue::default();
    for (item, due) in [("first", 2), ("second", 3)] {
        queue.push(Waiting {
            item,
            organisation: None,
            priority: 0,
            due: at(due),
            until: at(20),
            tokens: 1.0,
        });
    }
    let first = queue.pop(at(1)).expect("two entries wait");
    queue.put_back(first);
    assert!(!queue.is_next(1, at(1)));
    assert!(queue.is_next(0, at(5)), "both are late");
    assert_eq!(drain_at(&mut queue, 5), ["first", "second"]);
}

/// A generation that can no longer begin in time is refused at once, and does not count for those behind
/// it.
#[test]
fn test_generations_that_cannot_begin_in_time_are_refused_at_once() {
    let mut queue = queue(&[("a", 0, 14, 3.0), ("huge", 0, 14, 90.0), ("b", 0, 14, 1.0), ("c", 1, 13, 1.0)]);
    let mut before = |priority| queue.tokens_before(priority, Duration::from_secs(10));
    assert_eq!((before(0), before(1)), (94.0, 95.0));
    let one_a_second = |tokens: f64| Some(Duration::from_secs_f64(tokens));
    let unservable = queue.take_unservable(Duration::from_secs(10), one_a_second);
    let expected = Some(Duration::from_secs(93));
    assert_eq!(unservable, [("huge", expected), ("c", Some(Duration::from_secs(5)))]);
    assert_eq!(drain(&mut queue), ["a", "b"]);
}

#[test]
fn test_no_forecast_without_observations() {
    let mut forecast = RoomForecast::default();
    assert_eq!(forecast.time_until(1.0, Duration::from_secs(9)), None);
    forecast.on_freed(1_000.0, Duration::from_secs(9));
    assert_eq!(forecast.time_until(1.0, Duration::from_millis(9_500)), None);
    assert!(forecast.time_until(1.0, Duration::from_secs(11)).is_some());
}

proptest! {
    /// Memory that becomes free at a steady rate is forecast to within a quarter, after a few seconds as
    /// well as after many; once none becomes free, the forecast increases.
    #[test]
    fn test_room_is_forecast(per_second in 100.0_f64..1e6, seconds in 3_u64..60) {
        let mut forecast = RoomForecast::default();
        let mut now = Duration::from_secs(100);
        for _ in 0..seconds * 10 {
            now += Duration::from_millis(100);
            forecast.on_freed(per_second / 10.0, now);
        }
        let expected = forecast.time_until(10.0 * per_second, now).expect("enough samples").as_secs_f64();
        prop_assert!((7.5..=12.5).contains(&expected), "{} s instead of 10", expected);
        let later = forecast.time_until(10.0 * per_second, now + Duration::from_secs(10));
        prop_assert!(later.expect("enough samples").as_secs_f64() > 3.0 * expected);
    }

    /// Callers that are refused at the same time retry over a range of half the delay.
    #[test]
    fn test_retry_delays_are_spread(seed in 0_u64..1_000) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let after = waiting::retry_delay(Some(Duration::from_secs(1)), &mut rng);
        prop_assert!((0.75..=1.25).contains(&after.as_secs_f64()));
        let bounds = [None, Some(Duration::ZERO), Some(Duration::MAX)]
            .map(|expected| waiting::retry_delay(expected, &mut rng).as_secs_f64());
        prop_assert!((0.11..=0.19).contains(&bounds[0]) && (0.07..=0.13).contains(&bounds[1]));
        prop_assert!((3.7..=6.3).contains(&bounds[2]));
    }
}
