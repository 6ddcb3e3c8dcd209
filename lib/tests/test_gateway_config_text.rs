//! What a configuration's text becomes on its way to another node.

use std::fmt::Write;
use std::sync::Arc;

use bytes::Bytes;
use leadstage_lib::gateway::config_text::ConfigText;
use leadstage_lib::gateway::config_text::Edition;
use proptest::prelude::*;

/// A text with so many routes as operators write them: some 200 bytes each, of which a tenth is like
/// nothing else.
fn text(version: u64, routes: u64) -> Bytes {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for n in 0..routes {
        let word = n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        write!(
            text,
            "{{\"name\":\"r-{word:016x}\",\"host\":\"h{}.example\",\"pathPrefix\":\"/{:x}/\",\"kind\":\"idempotent\",\
             \"service\":\"booking\",\"timeoutMs\":800,\"targetLatencyMs\":300,\"priority\":2,\"maxAttempts\":2,\"public\":false}},",
            n % 7,
            word >> 24,
        )
        .expect("it is written");
    }
    Bytes::from(text + "{}]}")
}

fn configuration(version: u64, routes: u64, before: Option<&ConfigText>) -> Arc<ConfigText> {
    ConfigText::new(version, text(version, routes), before)
}

/// Hands `from` to a node that has `known`, and returns what is read there and how large it was.
fn hand_over(from: &ConfigText, known: Option<&ConfigText>) -> (Edition, std::io::Result<Bytes>) {
    let (edition, bytes) =
        from.encoded_for(known.map_or(0, |known| known.version)).expect("it can be compressed");
    assert_eq!(edition.bytes, bytes.len());
    (edition, ConfigText::decode(edition, &bytes, known))
}

#[test]
fn test_sizes_on_the_way() {
    let mut before = configuration(1, 40, None);
    let mut sizes = String::new();
    for (version, routes) in [(2, 1_440), (3, 2_840), (4, 5_000), (5, 5_000)] {
        let next = configuration(version, routes, Some(&before));
        let whole = hand_over(&next, None);
        let difference = hand_over(&next, Some(&before));
        assert_eq!(whole.1.expect("it can be read"), text(version, routes));
        assert_eq!(difference.1.expect("it can be read"), text(version, routes));
        let bytes = text(version, routes).len();
        writeln!(sizes, "{routes} routes: {bytes} whole {} difference {}", whole.0.bytes, difference.0.bytes)
            .expect("it is written");
        before = next;
    }
    insta::assert_snapshot!(sizes, @r"
    1440 routes: 287933 whole 18238 difference 17570
    2840 routes: 567839 whole 36366 difference 18233
    5000 routes: 999695 whole 64133 difference 27961
    5000 routes: 999695 whole 64133 difference 113
    ");
}

/// Nodes that took the same configurations hand out the same bytes, so the rest of what one began
/// can come from another.
#[test]
fn test_an_edition_is_the_same_everywhere() {
    let bytes = || {
        let before = configuration(1, 100, None);
        let next = configuration(2, 300, Some(&before));
        [next.encoded_for(0), next.encoded_for(1)].map(|encoded| encoded.expect("it can be compressed"))
    };
    assert_eq!(bytes(), bytes());
    let [(whole, _), (difference, _)] = bytes();
    assert_eq!((whole.base, difference.base), (0, 1));
    assert_eq!(whole.to_string().parse::<Edition>().expect("an edition"), whole);
    assert!("2-1".parse::<Edition>().is_err());
}

/// A text of the same number that differs after all is noticed, and nothing wrong is taken.
#[test]
fn test_what_does_not_fit_is_not_taken() {
    let before = configuration(1, 100, None);
    let next = configuration(2, 300, Some(&before));
    let (edition, bytes) = next.encoded_for(1).expect("it can be compressed");
    let other = ConfigText::new(1, Bytes::from(vec![b'x'; text(1, 100).len()]), None);
    assert!(ConfigText::decode(edition, &bytes, Some(&other)).is_err());
    assert!(ConfigText::decode(edition, &bytes, None).is_err());
    assert!(ConfigText::decode(edition, &bytes[..bytes.len() - 9], Some(&before)).is_err());
}

proptest! {
    #[test]
    fn test_any_bytes_are_an_error_or_a_text(bytes in proptest::collection::vec(any::<u8>(), 0..400), base in 0_u64..2) {
        let known = configuration(1, 3, None);
        let edition = Edition { version: 2, base, bytes: bytes.len() };
        let _ = ConfigText::decode(edition, &bytes, Some(&known));
    }
}
