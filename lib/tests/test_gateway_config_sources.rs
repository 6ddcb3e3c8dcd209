//! Selection of the source of a newer configuration while other nodes are unreachable.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::config_sources::ConfigSources;
use leadstage_lib::gateway::config_sources::NextSource;
use leadstage_lib::gateway::config_sources::VersionNotice;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time until a connection attempt to an unreachable node is abandoned.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node], 7_200))
}

/// Returns after which time the only reachable node is queried, while `unreachable` nodes with wide links and
/// the store do not respond; `None` if that takes longer than a minute.
fn time_to_query_reachable(unreachable: u8) -> Option<Duration> {
    const REACHABLE: u8 = 200;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sources = ConfigSources::default();
    let mut now = Duration::from_secs(20);
    let began = now;
    for node in 0..unreachable {
        sources.on_version(address(node), 2, true, VersionNotice::Announced, now, &mut rng);
    }
    sources.on_version(address(REACHABLE), 2, false, VersionNotice::Announced, now, &mut rng);
    while now < began + Duration::from_secs(60) {
        match sources.next(1, |_| false, now, &mut rng) {
            NextSource::Node(node) if node == address(REACHABLE) => return Some(now - began),
            NextSource::Node(node) => {
                now += CONNECT_TIMEOUT;
                sources.on_failed(node, now);
            }
            NextSource::Store => {
                sources.on_store_queried();
                now += CONNECT_TIMEOUT;
            }
            NextSource::Later(pause) => now += pause,
            NextSource::Nothing => return None,
        }
    }
    None
}

/// Guards against starvation of a reachable source: nodes with wide links come first, but one that just
/// failed must not come before one that was not queried yet.
#[test]
fn test_unreachable_sources_do_not_starve_a_reachable_one() {
    for unreachable in 1..=8 {
        let queried_after = time_to_query_reachable(unreachable);
        assert!(
            queried_after.is_some_and(|at| at < Duration::from_secs(4)),
            "{unreachable} unreachable: {queried_after:?}"
        );
    }
}
