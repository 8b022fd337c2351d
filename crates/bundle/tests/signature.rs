//! Tests of signing, verification and key files.

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

/// Guards against accepting a bundle whose text, version, signer or signature was changed.
#[test]
fn modified_bundles_are_rejected() {
    let keys = trusted(&[&key("ops-1", 1), &key("ops-2", 2)]);
    assert_eq!(verify(&signed(), &keys), Ok(()));
    let modified = [
        SignedBundle { version: 8, ..signed() },
        SignedBundle { bundle: signed().bundle.replace("slots: 2", "slots: 3"), ..signed() },
        SignedBundle { bundle: format!("7\n{}", signed().bundle), ..signed() },
        SignedBundle { signer: "ops-2".into(), ..signed() },
        SignedBundle { signature: "AAAA".into(), ..signed() },
        SignedBundle { signature: "not base64".into(), ..signed() },
    ];
    for bundle in modified {
        let (version, signer) = (bundle.version, bundle.signer.clone());
        assert_eq!(verify(&bundle, &keys), Err(VerifyError::Mismatch { version, signer }));
    }
}

/// Guards against accepting unsigned bundles and signatures by untrusted keys.
#[test]
fn unsigned_bundles_and_untrusted_signers_are_rejected() {
    let unsigned = SignedBundle { signature: "".into(), ..signed() };
    assert_eq!(verify(&unsigned, &trusted(&[&key("ops-1", 1)])), Err(VerifyError::Unsigned(7)));
    let untrusted = VerifyError::Untrusted { version: 7, signer: "ops-1".into() };
    assert_eq!(verify(&signed(), &trusted(&[&key("ops-2", 1)])), Err(untrusted.clone()));
    assert_eq!(verify(&signed(), &TrustedKeys::default()), Err(untrusted));
    let mismatch = VerifyError::Mismatch { version: 7, signer: "ops-1".into() };
    assert_eq!(verify(&signed(), &trusted(&[&key("ops-1", 3)])), Err(mismatch));
}

/// Guards against a change of the signed message, which would invalidate all existing signatures.
#[test]
fn the_signature_of_a_given_key_and_text_is_stable() {
    let text = EXAMPLE.lines().filter(|it| !it.trim_start().starts_with('#'));
    let text = text.collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(sign(&key("ops-1", 1), 7, &text).unwrap().signature);
}

/// Guards against signatures that depend on the line endings that an editor uses.
#[test]
fn line_endings_do_not_affect_the_signature() {
    let crlf = EXAMPLE.replace('\n', "\r\n");
    assert_eq!(sign(&key("ops-1", 1), 7, &crlf).unwrap(), signed());
    assert_eq!(canonical_text(&canonical_text(&crlf)), canonical_text(EXAMPLE));
}

/// Guards against signing a bundle that every instance would refuse.
#[test]
fn invalid_bundles_and_version_zero_are_not_signed() {
    assert_eq!(sign(&key("ops-1", 1), 7, "format: 1\n"), Err(SignError::InvalidBundle(3)));
    assert_eq!(sign(&key("ops-1", 1), 0, EXAMPLE), Err(SignError::VersionZero));
}

/// Guards against confusing private and public key files, against invalid and duplicate key names,
/// and against the secret key in debug output.
#[test]
fn key_files_and_names_are_validated() {
    let pair = key("ops-1", 1);
    assert_eq!(PublicKey::from_text(&pair.public_key().to_text()), Ok(pair.public_key()));
    assert!(matches!(
        KeyPair::from_text(&pair.public_key().to_text()),
        Err(KeyError::InvalidFile(_))
    ));
    assert!(matches!(PublicKey::from_text(&pair.to_text()), Err(KeyError::InvalidFile(_))));
    assert!(matches!(KeyPair::generate("Ops 1"), Err(KeyError::InvalidName(_))));
    let duplicates = [pair.public_key(), pair.public_key()];
    assert_eq!(TrustedKeys::new(duplicates).unwrap_err(), KeyError::DuplicateName("ops-1".into()));
    assert_eq!(format!("{pair:?}"), "KeyPair { name: \"ops-1\", .. }");
}
