//! Callers' keys, of which only a keyed hash is stored.

use derive_more::Display;
use derive_more::Error;
use hmac::Hmac;
use hmac::Mac;
use rand::RngCore;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::rules::Key;
use crate::rules::KeyHash;
use crate::view::View;

/// Minimum length of a secret.
pub const MIN_SECRET_BYTES: usize = 16;

/// Error in the secret for the keyed hash.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SecretError {
    /// The secret is too short to be safe against guessing.
    #[display("the secret has fewer than {MIN_SECRET_BYTES} bytes")]
    TooShort,
}

/// Secret of the cluster for the keyed hash of callers' keys.
#[derive(Clone)]
pub struct KeySecret(Vec<u8>);

impl std::fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeySecret(..)")
    }
}

impl KeySecret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Parses a secret from the text of a file, without leading and trailing white space.
    pub fn parse(text: &str) -> Result<Self, SecretError> {
        let trimmed = text.trim();
        if trimmed.len() < MIN_SECRET_BYTES {
            return Err(SecretError::TooShort);
        }
        Ok(Self::new(trimmed))
    }

    /// Returns the keyed hash of a caller's key.
    pub fn hash(&self, key: &str) -> KeyHash {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any size");
        mac.update(key.as_bytes());
        KeyHash(mac.finalize().into_bytes().into())
    }
}

/// Returns the rule of the presented key, or `None` if the key is unknown or revoked.
///
/// Keys are looked up by their keyed hash, so that the timing of the lookup reveals nothing about
/// the key. The hash itself is compared in constant time.
pub fn authenticate<'a>(view: &'a View, secret: &KeySecret, presented: &str) -> Option<&'a Key> {
    let hash = secret.hash(presented);
    let key = view.key(&hash)?;
    bool::from(key.hash.0.ct_eq(&hash.0)).then_some(key)
}

/// Generates a key with 192 random bits.
pub fn generate(rng: &mut dyn RngCore) -> String {
    let mut bytes = [0; 24];
    rng.fill_bytes(&mut bytes);
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("fk-{digits}")
}
