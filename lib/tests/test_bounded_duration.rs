//! Durations of messages from other nodes.

use std::time::Duration;

use leadstage_lib::bounded_duration::MAX_DURATION;
use leadstage_lib::gateway::limit_grants::Grant;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::waiting::NoRoom;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns a value as a node decodes it that receives it.
fn received<T: Serialize + DeserializeOwned>(value: &T) -> T {
    postcard::from_bytes(&postcard::to_stdvec(value).expect("it can be encoded")).expect("it can be decoded")
}

/// Guards against a sum with the current time that overflows, which ends the process.
#[test]
fn test_received_durations_are_bounded() {
    for (sent, decoded) in
        [(Duration::MAX, MAX_DURATION), (Duration::from_millis(1_500), Duration::from_millis(1_500))]
    {
        let grant = received(&Grant { granted: true, ask_again_after: sent });
        assert_eq!(grant.ask_again_after, decoded);
        let no_room = received(&NoRoom { expected: Some(sent), over_share: false });
        assert_eq!(no_room.expected, Some(decoded));
        let run = received(&Run { gap_objective: Some(sent), longest_gap: sent, ..Run::default() });
        assert_eq!((run.gap_objective, run.longest_gap), (Some(decoded), decoded));
        let order = received(&UpgradeOrder { target: "v2".into(), within: sent, made: 1 });
        assert_eq!(order.within, decoded);
    }
    assert_eq!(received(&NoRoom::default()).expected, None);
}
