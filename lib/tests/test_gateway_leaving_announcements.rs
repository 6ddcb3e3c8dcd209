//! Announcements of replicas that they are leaving.

use std::time::Duration;

use leadstage_lib::gateway::leaving_announcements::LeavingAnnouncements;
use leadstage_lib::gateway::leaving_announcements::MAX_LEAVING_TIME;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::StartTime;

fn incarnation(id: &str, born: StartTime) -> Incarnation {
    Incarnation { id: id.into(), born }
}

#[test]
fn test_announcement_applies_until_a_later_incarnation() {
    let second = Duration::from_secs(1);
    let mut announcements = LeavingAnnouncements::default();
    assert!(announcements.on_announced(&incarnation("a", 7), second));
    assert!(
        !announcements.on_announced(&incarnation("a", 7), 2 * second),
        "only the first announcement counts"
    );
    assert_eq!(announcements.since(&incarnation("a", 7)), Some(second));
    assert_eq!(
        announcements.since(&incarnation("a", 0)),
        Some(second),
        "an unknown start time stands for the same incarnation"
    );
    assert_eq!(announcements.since(&incarnation("a", 8)), None);
    assert_eq!(announcements.since(&incarnation("b", 7)), None);
    assert!(announcements.on_announced(&incarnation("a", 8), 3 * second));
    assert_eq!(announcements.since(&incarnation("a", 8)), Some(3 * second));
}

#[test]
fn test_announcements_of_ended_replicas_are_forgotten() {
    let mut announcements = LeavingAnnouncements::default();
    announcements.on_announced(&incarnation("a", 0), Duration::ZERO);
    announcements.on_announced(&incarnation("b", 0), MAX_LEAVING_TIME - Duration::from_millis(1));
    assert!(announcements.since(&incarnation("a", 0)).is_some());
    announcements.on_announced(&incarnation("c", 0), MAX_LEAVING_TIME);
    assert_eq!(announcements.since(&incarnation("a", 0)), None);
    assert!(announcements.since(&incarnation("b", 0)).is_some());
}
