//! Waiting time is split by what the first generation in the queue lacked.

use std::time::Duration;

use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::gateway::shortage::ShortageClock;
use leadstage_lib::gateway::shortage::ShortageTimes;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A generation that arrives later has waited for less, and time before the first shortage is not
/// counted.
#[test]
fn test_wait_times_are_split_by_shortage() {
    let mut clock = ShortageClock::default();
    assert_eq!(clock.times(ms(500)), ShortageTimes::default());
    clock.set(Shortage::Prefill, ms(1_000));
    let first = ShortageTimes::default();
    let second = clock.times(ms(1_100));
    clock.set(Shortage::Memory, ms(1_200));
    clock.set(Shortage::Engines, ms(1_500));
    let end = clock.times(ms(1_900));
    assert_eq!(end.since(&first), ShortageTimes { prefill: ms(200), memory: ms(300), engines: ms(400) });
    assert_eq!(end.since(&second), ShortageTimes { prefill: ms(100), memory: ms(300), engines: ms(400) });
    assert_eq!(end.since(&first).sum(), ms(900));
}
