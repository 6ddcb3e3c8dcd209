//! Encoding of a configuration's text for the transfer to another node.

use std::fmt::Write;
use std::sync::Arc;

use bytes::Bytes;
use leadstage_lib::gateway::config_text::ConfigText;
use leadstage_lib::gateway::config_text::Edition;
use proptest::prelude::*;

/// Generates a text of realistic routes: about 200 bytes each, of which a tenth does not compress.
fn text(version: u64, routes: u64) -> Bytes {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for n in 0..routes {
        let hash = n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        write!(
            text,
            "{{\"name\":\"r-{hash:016x}\",\"host\":\"h{}.example\",\"pathPrefix\":\"/{:x}/\",\"kind\":\"idempotent\",\
             \"service\":\"booking\",\"timeoutMs\":800,\"targetLatencyMs\":300,\"priority\":2,\"maxAttempts\":2,\"public\":false}},",
            n % 7,
            hash >> 24,
        )
        .expect("String accepts all writes");
    }
    Bytes::from(text + "{}]}")
}

fn configuration(version: u64, routes: u64, before: Option<&ConfigText>) -> Arc<ConfigText> {
    ConfigText::new(version, text(version, routes), before)
}

/// Encodes `from` for a node that has `known`; returns the edition and the text that the node decodes.
fn transfer(from: &ConfigText, known: Option<&ConfigText>) -> (Edition, std::io::Result<Bytes>) {
    let (edition, bytes) =
        from.encoded_for(known.map_or(0, |known| known.version)).expect("text can be compressed");
    assert_eq!(edition.bytes, bytes.len());
    (edition, ConfigText::decode(edition, &bytes, known))
}

#[test]
fn test_encoded_sizes() {
    let mut before = configuration(1, 40, None);
    let mut sizes = String::new();
    for (version, routes) in [(2, 1_440), (3, 2_840), (4, 5_000), (5, 5_000)] {
        let next = configuration(version, routes, Some(&before));
        let whole = transfer(&next, None);
        let difference = transfer(&next, Some(&before));
        assert_eq!(whole.1.expect("edition can be decoded"), text(version, routes));
        assert_eq!(difference.1.expect("edition can be decoded"), text(version, routes));
        let bytes = text(version, routes).len();
        writeln!(sizes, "{routes} routes: {bytes} whole {} difference {}", whole.0.bytes, difference.0.bytes)
            .expect("String accepts all writes");
        before = next;
    }
    insta::assert_snapshot!(sizes, @r"
    1440 routes: 287933 whole 18238 difference 17570
    2840 routes: 567839 whole 36366 difference 18233
    5000 routes: 999695 whole 64133 difference 27961
    5000 routes: 999695 whole 64133 difference 113
    ");
}

/// Nodes with the same configurations serve identical bytes, so that a transfer can continue from another
/// node.
#[test]
fn test_editions_are_identical_on_all_nodes() {
    let bytes = || {
        let before = configuration(1, 100, None);
        let next = configuration(2, 300, Some(&before));
        [next.encoded_for(0), next.encoded_for(1)].map(|encoded| encoded.expect("text can be compressed"))
    };
    assert_eq!(bytes(), bytes());
    let [(whole, _), (difference, _)] = bytes();
    assert_eq!((whole.base, difference.base), (0, 1));
    assert_eq!(whole.to_string().parse::<Edition>().expect("edition can be parsed"), whole);
    assert!("2-1".parse::<Edition>().is_err());
}

/// A delta is rejected if the receiver's base text has the right version but other content, if the base is
/// missing, or if the delta is truncated.
#[test]
fn test_wrong_base_or_truncated_delta_is_rejected() {
    let before = configuration(1, 100, None);
    let next = configuration(2, 300, Some(&before));
    let (edition, bytes) = next.encoded_for(1).expect("text can be compressed");
    let other = ConfigText::new(1, Bytes::from(vec![b'x'; text(1, 100).len()]), None);
    assert!(ConfigText::decode(edition, &bytes, Some(&other)).is_err());
    assert!(ConfigText::decode(edition, &bytes, None).is_err());
    assert!(ConfigText::decode(edition, &bytes[..bytes.len() - 9], Some(&before)).is_err());
}

proptest! {
    #[test]
    fn test_decode_of_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), base in 0_u64..2) {
        let known = configuration(1, 3, None);
        let edition = Edition { version: 2, base, bytes: bytes.len() };
        let _ = ConfigText::decode(edition, &bytes, Some(&known));
    }
}

/// Guards against a few bytes of another node that fill the memory of a small VM when they are decoded.
#[test]
fn test_a_text_that_expands_without_end_is_rejected() {
    const TEXT_BYTES: usize = 32 << 20;
    let encoded = zstd::bulk::compress(&vec![b' '; TEXT_BYTES], 3).expect("it is compressed");
    let edition = Edition { version: 2, base: 0, bytes: encoded.len() };
    let err = ConfigText::decode(edition, &encoded, None).expect_err("it is too long");
    insta::assert_snapshot!(err, @"the text is too long");
}
