//! Ages are measured with the clock that keeps running while the VM is suspended.
//!
//! A suspension cannot be caused in a test. Instead, each file that reads the monotonic clock, which stops
//! during a suspension, is listed here with what it measures and why it may ignore a suspension of ten
//! seconds.

use std::collections::BTreeMap;
use std::path::Path;

/// Files that read the monotonic clock, the number of reads in each, and why that is correct there.
const MONOTONIC_CLOCK_USES: [(&str, usize, &str); 23] = [
    ("node/src/filters/account.rs", 2, "duration of a request, for metrics and logs"),
    (
        "node/src/filters/relay.rs",
        1,
        "an interruption within one stream segment: a suspension interrupts it anyway",
    ),
    (
        "node/src/gateway/ingress/io_watch.rs",
        9,
        "idle limits of callers' connections, also while a response is sent: these may idle longer",
    ),
    ("node/src/gateway/observability/logging.rs", 5, "log lines per second, and the time of the last flush"),
    ("node/src/gateway/peers/peer_port.rs", 1, "duration of a transfer: its rate refers to running time"),
    ("node/src/gateway/peers/tunnel_port.rs", 3, "0.5 s without bytes, in a planned stop"),
    ("node/src/gateway/request.rs", 2, "arrival time of a request, for logs; a timer that starts now"),
    ("node/src/gateway/shared.rs", 1, "time of a request at its replica, for logs"),
    ("node/src/gateway/upstream/copying.rs", 3, "retries of a copy for some seconds of running time"),
    ("node/src/gateway/upstream/exchange.rs", 1, "duration of a run, for logs"),
    ("node/src/gateway/upstream/pace.rs", 1, "gaps between events, for metrics"),
    (
        "node/src/gateway/upstream/relay/after_stop.rs",
        3,
        "queries to two engines for some seconds of running time",
    ),
    ("node/src/gateway/upstream/relay/moving.rs", 1, "0.6 s for a copy whose stream broke"),
    (
        "node/src/gateway/upstream/relay/restart.rs",
        1,
        "a timer that starts now: silence during a suspension does not count",
    ),
    ("node/src/gateway/upstream/relay/stopping.rs", 2, "80 ms for the remaining events of a stopped stream"),
    ("node/src/gateway/upstream/silence.rs", 1, "a timer that starts now"),
    (
        "node/src/gateway/upstream/stall.rs",
        3,
        "timers that start now: silence during a suspension does not count",
    ),
    ("node/src/gateway/upstream/stopping.rs", 2, "retries to connect for some seconds of running time"),
    (
        "node/src/stop.rs",
        1,
        "time limit of a planned stop; after a suspension the platform kills the process first",
    ),
    ("platform/src/arrival.rs", 1, "a timer that starts now"),
    ("platform/src/connect.rs", 5, "how slowly a response arrives while this node runs"),
    (
        "platform/src/head_bound.rs",
        3,
        "how slowly a head arrives; what came during a suspension is read first",
    ),
    (
        "platform/src/patient_stream.rs",
        3,
        "timers that start now, and how long nothing was acknowledged while this node runs",
    ),
];

fn count_clock_reads(root: &Path, folder: &str, counts: &mut BTreeMap<String, usize>) {
    for entry in std::fs::read_dir(root.join(folder)).expect("a source directory") {
        let path = entry.expect("readable").path();
        let name = format!("{folder}/{}", path.file_name().expect("a file name").to_string_lossy());
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
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace root");
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
