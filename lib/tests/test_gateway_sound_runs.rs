//! Requests that ended well lately are remembered, for their time and as many as fit.

use std::time::Duration;

use leadstage_lib::gateway::fingerprint::RequestParts;
use leadstage_lib::gateway::sound_runs::QuickName;
use leadstage_lib::gateway::sound_runs::SoundRuns;
use leadstage_lib::ids::Timestamp;

fn name(sound: &SoundRuns, n: u64) -> QuickName {
    let body = n.to_le_bytes();
    sound.name(&RequestParts { method: "GET", host: "h", path: "/", organisation: "o", body: &body })
}

fn at(seconds: f64) -> Timestamp {
    Duration::from_secs_f64(seconds)
}

#[test]
fn test_a_sound_run_speaks_for_its_request_for_ten_seconds() {
    let mut sound = SoundRuns::default();
    let (one, other) = (name(&sound, 1), name(&sound, 2));
    sound.on_sound(one, at(1.0));
    assert!(sound.was_sound(one, at(10.9)) && !sound.was_sound(other, at(1.0)));
    assert!(!sound.was_sound(one, at(11.0)));
    sound.on_sound(one, at(12.0));
    assert!(sound.was_sound(one, at(21.9)));
}

/// A popular request comes among many that come once.
#[test]
fn test_a_popular_request_is_remembered_among_many() {
    let mut sound = SoundRuns::default();
    let popular = name(&sound, 0);
    let mut missed = 0;
    for n in 1..=100_000_u64 {
        let now = at(n as f64 / 1_000.0);
        if n % 20 == 0 {
            missed += usize::from(n > 20 && !sound.was_sound(popular, now));
            sound.on_sound(popular, now);
        }
        let once = name(&sound, n);
        sound.on_sound(once, now);
    }
    assert!(missed <= 50, "of 5,000 times that it came: {missed}");
}
