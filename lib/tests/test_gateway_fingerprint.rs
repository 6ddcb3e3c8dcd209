//! A fingerprint depends on all parts of a request that a retry repeats, and on nothing else.

use std::collections::BTreeSet;

use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::fingerprint::RequestParts;

const PARTS: RequestParts =
    RequestParts { method: "POST", host: "h.example", path: "/a/b", organisation: "org-a", body: b"xyz" };

#[test]
fn test_each_part_counts_and_parts_have_boundaries() {
    let requests = [
        PARTS,
        RequestParts { method: "PUT", ..PARTS },
        RequestParts { host: "i.example", ..PARTS },
        RequestParts { path: "/a/c", ..PARTS },
        RequestParts { organisation: "org-b", ..PARTS },
        RequestParts { organisation: "", ..PARTS },
        RequestParts { body: b"xyZ", ..PARTS },
        RequestParts { body: b"", ..PARTS },
        RequestParts { path: "/a/borg-a", organisation: "", ..PARTS },
        RequestParts { organisation: "org-ax", body: b"yz", ..PARTS },
    ];
    let fingerprints: BTreeSet<Fingerprint> = requests.iter().map(Fingerprint::of).collect();
    assert_eq!(fingerprints.len(), requests.len());
}

/// Nodes of different versions must compute the same fingerprint, and the store's objects are named by it.
#[test]
fn test_a_fingerprint_is_formatted_and_parsed() {
    let fingerprint = Fingerprint::of(&PARTS);
    insta::assert_snapshot!(fingerprint, @"224822027844eb9cc7b1eddd85db1324");
    assert_eq!(Fingerprint::parse(&fingerprint.to_string()), Some(fingerprint));
    for wrong in ["", "00", "zz", &"é".repeat(16), &"0".repeat(31), &"g".repeat(32)] {
        assert_eq!(Fingerprint::parse(wrong), None, "{wrong}");
    }
}
