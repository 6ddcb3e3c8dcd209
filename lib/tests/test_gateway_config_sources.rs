//! Whom a node asks for a newer configuration while others are out of reach.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::config_sources::ConfigSources;
use leadstage_lib::gateway::config_sources::HeardHow;
use leadstage_lib::gateway::config_sources::NextSource;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Until a connection to a node behind a cut is given up.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node], 7_200))
}

/// When the one node that is in reach is asked: `cut_off` ones with wide links are not, nor is the
/// store. `None` if it has not been after a minute.
fn asks_the_one_in_reach(cut_off: u8) -> Option<Duration> {
    const IN_REACH: u8 = 200;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sources = ConfigSources::default();
    let mut now = Duration::from_secs(20);
    let began = now;
    for node in 0..cut_off {
        sources.on_version(address(node), 2, true, HeardHow::Told, now, &mut rng);
    }
    sources.on_version(address(IN_REACH), 2, false, HeardHow::Told, now, &mut rng);
    while now < began + Duration::from_secs(60) {
        match sources.next(1, |_| false, now, &mut rng) {
            NextSource::Node(node) if node == address(IN_REACH) => return Some(now - began),
            NextSource::Node(node) => {
                now += CONNECT_LIMIT;
                sources.on_failed(node, now);
            }
            NextSource::Store => {
                sources.on_store_asked();
                now += CONNECT_LIMIT;
            }
            NextSource::Later(pause) => now += pause,
            NextSource::Nothing => return None,
        }
    }
    None
}

/// Nodes with wide links go first, but one that just failed must not go before one that was not
/// asked at all.
#[test]
fn test_nodes_out_of_reach_do_not_keep_one_in_reach_from_being_asked() {
    for cut_off in 1..=8 {
        let asked = asks_the_one_in_reach(cut_off);
        assert!(asked.is_some_and(|at| at < Duration::from_secs(4)), "{cut_off} cut off: {asked:?}");
    }
}
