//! Signing and verifying bundles.

use rosemarybank_bundle::{
    KeyError, KeyPair, PublicKey, SignError, TrustedKeys, VerifyError, canonical_text, sign, verify,
};
use rosemarybank_protocol::platform::SignedBundle;

const EXAMPLE: &str = include_str!("../../../config/bundle.yaml");

fn key(name: &str, byte: u8) -> KeyPair {
    use base64::{Engine, prelude::BASE64_STANDARD};
    let secret = BASE64_STANDARD.encode([byte; 32]);
    KeyPair::from_text(&format!("name: {name}\nsecret_key: {secret}\n")).unwrap()
}

fn trusted(keys: &[&KeyPair]) -> TrustedKeys {
    TrustedKeys::new(keys.iter().map(|it| it.public_key())).unwrap()
}

fn signed() -> SignedBundle {
    sign(&key("ops-1", 1), 7, EXAMPLE).unwrap()
}

/// Guards against accepting a text, version or signature other than the signed one.
#[test]
fn a_changed_bundle_is_refused() {
    let keys = trusted(&[&key("ops-1", 1), &key("ops-2", 2)]);
    assert_eq!(verify(&signed(), &keys), Ok(()));
    let changed = [
        SignedBundle { version: 8, ..signed() },
        SignedBundle { bundle: signed().bundle.replace("slots: 2", "slots: 3"), ..signed() },
        SignedBundle { bundle: format!("7\n{}", signed().bundle), ..signed() },
        SignedBundle { signer: "ops-2".into(), ..signed() },
        SignedBundle { signature: "AAAA".into(), ..signed() },
        SignedBundle { signature: "not base64".into(), ..signed() },
    ];
    for bundle in changed {
        let (version, signer) = (bundle.version, bundle.signer.clone());
        assert_eq!(verify(&bundle, &keys), Err(VerifyError::Mismatch { version, signer }));
    }
}

/// Guards against trusting whoever signs, and against bundles without a signature.
#[test]
fn an_unsigned_bundle_and_an_unknown_signer_are_refused() {
    let unsigned = SignedBundle { signature: "".into(), ..signed() };
    assert_eq!(verify(&unsigned, &trusted(&[&key("ops-1", 1)])), Err(VerifyError::Unsigned(7)));
    let untrusted = VerifyError::Untrusted { version: 7, signer: "ops-1".into() };
    assert_eq!(verify(&signed(), &trusted(&[&key("ops-2", 1)])), Err(untrusted.clone()));
    assert_eq!(verify(&signed(), &TrustedKeys::default()), Err(untrusted));
    let other_key = VerifyError::Mismatch { version: 7, signer: "ops-1".into() };
    assert_eq!(verify(&signed(), &trusted(&[&key("ops-1", 3)])), Err(other_key));
}

/// Guards against a change of the signed message, which would refuse every bundle in force.
#[test]
fn the_signature_of_a_known_key_and_text_stays_the_same() {
    let text = EXAMPLE.lines().filter(|it| !it.trim_start().starts_with('#'));
    let text = text.collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(sign(&key("ops-1", 1), 7, &text).unwrap().signature);
}

/// Guards against different signed bytes for texts that editors save differently.
#[test]
fn line_ends_do_not_change_the_signed_text() {
    let windows = EXAMPLE.replace('\n', "\r\n");
    assert_eq!(sign(&key("ops-1", 1), 7, &windows).unwrap(), signed());
    assert_eq!(canonical_text(&canonical_text(&windows)), canonical_text(EXAMPLE));
}

/// Guards against rolling out a text that every instance would refuse.
#[test]
fn a_faulty_text_is_not_signed() {
    assert_eq!(sign(&key("ops-1", 1), 7, "format: 1\n"), Err(SignError::Faulty(3)));
    assert_eq!(sign(&key("ops-1", 1), 0, EXAMPLE), Err(SignError::VersionZero));
}

/// Guards against key files that are mixed up, and against the secret in debug output.
#[test]
fn key_files_are_checked() {
    let pair = key("ops-1", 1);
    assert_eq!(PublicKey::from_text(&pair.public_key().to_text()), Ok(pair.public_key()));
    assert!(matches!(KeyPair::from_text(&pair.public_key().to_text()), Err(KeyError::File(_))));
    assert!(matches!(PublicKey::from_text(&pair.to_text()), Err(KeyError::File(_))));
    assert!(matches!(KeyPair::generate("Ops 1"), Err(KeyError::Name(_))));
    let twice = [pair.public_key(), pair.public_key()];
    assert_eq!(TrustedKeys::new(twice).unwrap_err(), KeyError::Duplicate("ops-1".into()));
    assert_eq!(format!("{pair:?}"), "KeyPair { name: \"ops-1\", .. }");
}
