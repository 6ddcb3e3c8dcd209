//! A replica that falls over when it turns too many calls away.

use std::time::Duration;
use std::time::Instant;

/// How long a replica that fell over breaks all calls.
const FALL_TIME: Duration = Duration::from_secs(2);

/// A replica that works on few calls at once and falls over when it turns too many away in a second.
#[derive(Debug)]
pub(super) struct Brittleness {
    /// Value of the `server-brittle` response header.
    pub(super) limit: usize,
    /// Number of calls that it works on at once, from `since` on.
    room: usize,
    since: Instant,
    /// When it turned calls away, in the last second.
    turned_away: Vec<Instant>,
    /// How often it has fallen over.
    pub(super) falls: usize,
    fallen_until: Option<Instant>,
}

impl Brittleness {
    /// Creates a replica that has not fallen over; see the fields.
    pub(super) fn new(limit: usize, room: usize, since: Instant) -> Self {
        Brittleness { limit, room, since, turned_away: Vec::new(), falls: 0, fallen_until: None }
    }

    /// Whether it breaks all calls now.
    pub(super) fn is_fallen(&self) -> bool {
        self.fallen_until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether a call is turned away while `running` calls run.
    pub(super) fn turns_away(&mut self, running: usize) -> bool {
        let now = Instant::now();
        if now < self.since || running < self.room {
            return false;
        }
        self.turned_away.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        self.turned_away.push(now);
        if self.turned_away.len() > self.limit {
            self.falls += 1;
            self.fallen_until = Some(now + FALL_TIME);
            self.turned_away.clear();
        }
        true
    }
}
