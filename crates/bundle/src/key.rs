use std::fmt;

use base64::{Engine, prelude::BASE64_STANDARD};
use compact_str::CompactString;
use ed25519_dalek::{SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::{error::KeyError, yaml::from_yaml};

/// A named Ed25519 key pair that signs bundles.
///
/// Its key file is YAML with the keys `name` and `secret_key`, and must be kept private.
#[derive(Clone)]
pub struct KeyPair {
    name: CompactString,
    key: SigningKey,
}

/// A named Ed25519 public key that verifies bundles.
///
/// The settings of a daemon list public keys under `trusted_keys`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicKey {
    /// Name of the signer.
    pub name: CompactString,
    /// Base64 encoding of the 32 bytes of the key.
    pub public_key: CompactString,
}

/// Public keys whose signatures are accepted.
#[derive(Clone, Debug, Default)]
pub struct TrustedKeys {
    keys: Vec<(CompactString, VerifyingKey)>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    name: CompactString,
    secret_key: String,
}

impl KeyPair {
    /// Generates a key pair from random bytes of the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is not 1 to 64 characters from `a-z`, `0-9` and `-`, or if the
    /// operating system provides no random bytes.
    pub fn generate(name: impl Into<CompactString>) -> Result<KeyPair, KeyError> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| KeyError::RandomSource(e.to_string()))?;
        KeyPair::new(name.into(), secret)
    }

    /// Parses the text of a private key file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid private key file.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_bundle::KeyPair;
    ///
    /// let key = KeyPair::generate("ops-1")?;
    /// let restored = KeyPair::from_text(&key.to_text())?;
    /// assert_eq!(key.public_key(), restored.public_key());
    /// # Ok::<(), rosemarybank_bundle::KeyError>(())
    /// ```
    pub fn from_text(text: &str) -> Result<KeyPair, KeyError> {
        let file: KeyFile = from_yaml(text).map_err(|e| KeyError::InvalidFile(e.to_string()))?;
        let secret = decode_key(&file.secret_key);
        let secret = secret.ok_or_else(|| KeyError::InvalidKey(file.name.clone()))?;
        KeyPair::new(file.name, secret)
    }

    /// Returns the text of the private key file, which contains the secret key.
    #[must_use]
    pub fn to_text(&self) -> String {
        let secret = BASE64_STANDARD.encode(self.key.to_bytes());
        format!("name: {}\nsecret_key: {secret}\n", self.name)
    }

    /// Name of the signer.
    #[must_use]
    pub fn name(&self) -> &CompactString {
        &self.name
    }

    /// Returns the public key that verifies signatures of this key pair.
    #[must_use]
    pub fn public_key(&self) -> PublicKey {
        let public_key = BASE64_STANDARD.encode(self.key.verifying_key().as_bytes()).into();
        PublicKey { name: self.name.clone(), public_key }
    }

    pub(crate) fn signing_key(&self) -> &SigningKey {
        &self.key
    }

    fn new(name: CompactString, secret: [u8; 32]) -> Result<KeyPair, KeyError> {
        check_name(&name)?;
        Ok(KeyPair { name, key: SigningKey::from_bytes(&secret) })
    }
}

impl fmt::Debug for KeyPair {
    /// Omits the secret key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyPair").field("name", &self.name).finish_non_exhaustive()
    }
}

impl PublicKey {
    /// Parses the text of a public key file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not YAML with `name` and `public_key`.
    pub fn from_text(text: &str) -> Result<PublicKey, KeyError> {
        from_yaml(text).map_err(|e| KeyError::InvalidFile(e.to_string()))
    }

    /// Returns the text of the public key file.
    #[must_use]
    pub fn to_text(&self) -> String {
        format!("name: {}\npublic_key: {}\n", self.name, self.public_key)
    }
}

impl TrustedKeys {
    /// Creates a set of trusted keys.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is not a valid Ed25519 public key, if a name is invalid or if two
    /// keys have the same name.
    pub fn new(keys: impl IntoIterator<Item = PublicKey>) -> Result<TrustedKeys, KeyError> {
        let mut trusted = TrustedKeys::default();
        for PublicKey { name, public_key } in keys {
            check_name(&name)?;
            let bytes = decode_key(&public_key);
            let key = bytes.and_then(|bytes| VerifyingKey::from_bytes(&bytes).ok());
            let key = key.ok_or_else(|| KeyError::InvalidKey(name.clone()))?;
            if trusted.get(&name).is_some() {
                return Err(KeyError::DuplicateName(name));
            }
            trusted.keys.push((name, key));
        }
        Ok(trusted)
    }

    /// Whether the set contains no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    pub(crate) fn get(&self, name: &str) -> Option<&VerifyingKey> {
        self.keys.iter().find(|(it, _)| it == name).map(|(_, key)| key)
    }
}

fn check_name(name: &CompactString) -> Result<(), KeyError> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if (1..=64).contains(&name.len()) && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(KeyError::InvalidName(name.clone()))
}

fn decode_key(text: &str) -> Option<[u8; 32]> {
    BASE64_STANDARD.decode(text).ok()?.try_into().ok()
}
