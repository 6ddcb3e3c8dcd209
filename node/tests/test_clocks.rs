//! Ages are told by the clock that goes on while the VM is suspended.
//!
//! A suspension cannot be brought about here. What is tested is that nothing else tells an age: each file
//! that reads the steady clock stands here with what it reads it for, and what it means there that a
//! suspension of ten seconds is not counted.

use std::collections::BTreeMap;
use std::path::Path;

/// Files of the node and of the adapter that read the steady clock, how often, and why that is right.
const MONOTONIC_CLOCK_USES: [(&str, usize, &str); 16] = [
    ("node/src/filters/account.rs", 2, "how long a request took, for metrics and logs"),
    ("node/src/filters/relay.rs", 1, "a break within one slice of a stream: a suspension breaks it anyway"),
    ("node/src/gateway/ingress/io_watch.rs", 5, "limits of callers' connections: they may idle longer"),
    ("node/src/gateway/observability/logging.rs", 5, "lines of the log in a second, and its last flush"),
    ("node/src/gateway/peers/peer_port.rs", 1, "how long a transfer took: its rate is of the time that ran"),
    ("node/src/gateway/request.rs", 2, "when a request came, for logs; a timer that is armed now"),
    ("node/src/gateway/shared.rs", 1, "how long a request was at its replica, for logs"),
    ("node/src/gateway/upstream/copying.rs", 5, "insisting on a copy for some seconds of running time"),
    ("node/src/gateway/upstream/exchange.rs", 1, "how long a run lasted, for logs"),
    ("node/src/gateway/upstream/pace.rs", 1, "gaps between events, for metrics"),
    ("node/src/gateway/upstream/relay/after_stop.rs", 1, "asking two engines for seconds of running time"),
    ("node/src/gateway/upstream/relay/moving.rs", 1, "80 ms for the rest of a stopped stream's events"),
    ("node/src/gateway/upstream/silence.rs", 1, "a timer that is armed now"),
    (
        "node/src/gateway/upstream/stall.rs",
        3,
        "timers that are armed now: a silence while nothing ran is none",
    ),
    (
        "node/src/stop.rs",
        1,
        "the bound of a planned stop; the platform's kill comes first after a suspension",
    ),
    ("platform/src/connect.rs", 5, "how slowly an answer comes while this node runs"),
];

fn count_clock_reads(root: &Path, folder: &str, counts: &mut BTreeMap<String, usize>) {
    for entry in std::fs::read_dir(root.join(folder)).expect("a folder of sources") {
        let path = entry.expect("readable").path();
        let name = format!("{folder}/{}", path.file_name().expect("a name").to_string_lossy());
        if path.is_dir() {
            count_clock_reads(root, &name, counts);
            continue;
        }
        let reads = std::fs::read_to_string(&path).expect("readable").matches("Instant::now()").count();
        if reads > 0 {
            counts.insert(name, reads);
        }
    }
}

#[test]
fn test_each_use_of_the_monotonic_clock_is_listed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("a workspace");
    let mut counts = BTreeMap::new();
    ["node/src", "platform/src", "lib/src"]
        .iter()
        .for_each(|folder| count_clock_reads(root, folder, &mut counts));
    let listed: BTreeMap<String, usize> = MONOTONIC_CLOCK_USES
        .iter()
        .filter(|(_, reads, _)| *reads > 0)
        .map(|(file, n, _)| ((*file).to_owned(), *n))
        .collect();
    assert_eq!(counts, listed);
}
