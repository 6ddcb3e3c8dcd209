//! Forged bundles and bundles with too few sign-offs are rejected.

use ed25519_dalek::SigningKey;
use leadstage_lib::rollout::Trust;
use leadstage_lib::rollout::open_if_newer;
use leadstage_lib::signing::Envelope;
use leadstage_lib::signing::decode_key;
use leadstage_lib::signing::encode_key;
use leadstage_lib::signing::sign;

const YAML: &str = "number: 3\n";

fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

fn trust() -> Trust {
    Trust { keys: vec![key(1).verifying_key(), key(2).verifying_key()], sign_offs: 2 }
}

fn envelope(signers: &[u8]) -> Envelope {
    let signatures = signers.iter().map(|seed| sign(YAML, &key(*seed))).collect();
    Envelope { number: 3, operator: "amina".to_owned(), yaml: YAML.to_owned(), signatures }
}

fn verdict(envelope: &Envelope) -> String {
    match open_if_newer(&envelope.to_bytes(), None, &trust()) {
        Ok(Some(new)) => format!("bundle {} in force", new.bundle.number),
        Ok(None) => "not newer".to_owned(),
        Err(err) => err.to_string(),
    }
}

#[test]
fn test_sign_offs() {
    let mut forged = envelope(&[1, 2]);
    forged.yaml.push_str("fleet: mine\n");
    let mut renumbered = envelope(&[1, 2]);
    renumbered.number = 9;
    let mut misattributed = envelope(&[1, 3]);
    misattributed.signatures[1].key = encode_key(&key(2).verifying_key());
    let cases = [
        ("both", envelope(&[1, 2])),
        ("unsigned", envelope(&[])),
        ("half-signed", envelope(&[1])),
        ("same key twice", envelope(&[1, 1])),
        ("untrusted second", envelope(&[1, 3])),
        ("misattributed", misattributed),
        ("forged text", forged),
        ("renumbered", renumbered),
    ];
    let text: Vec<String> =
        cases.iter().map(|(name, envelope)| format!("{name}: {}", verdict(envelope))).collect();
    insta::assert_snapshot!(text.join("\n"), @"
    both: bundle 3 in force
    unsigned: 0 valid sign-offs of trusted operators, 2 needed
    half-signed: 1 valid sign-offs of trusted operators, 2 needed
    same key twice: 1 valid sign-offs of trusted operators, 2 needed
    untrusted second: 1 valid sign-offs of trusted operators, 2 needed
    misattributed: 1 valid sign-offs of trusted operators, 2 needed
    forged text: 0 valid sign-offs of trusted operators, 2 needed
    renumbered: the envelope says number 9, the bundle 3
    ");
}

#[test]
fn test_malformed_and_oversized_envelopes_are_refused() {
    assert!(open_if_newer(b"{}", None, &trust()).is_err());
    assert!(open_if_newer(&vec![b'x'; 2_000_000], None, &trust()).is_err());
    assert_eq!(decode_key("AAAA"), None);
}
