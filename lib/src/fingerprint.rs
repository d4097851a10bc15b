//! Recognition of a request that a caller sends again under another id.
//!
//! A request is recognised by who sent it and what it asks for, not by its id, which each attempt of a
//! caller has anew, nor by headers such as the time left. The hash is keyed by the secret of the
//! instances, so that nobody can find a guessed prompt in the logs, and all instances agree on it as long
//! as they hold the same first secret.

use derive_more::Display;
use hmac::Hmac;
use hmac::Mac as _;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::ids::WorkspaceId;

/// Keeps the hash apart from other uses of the same secret.
const PURPOSE: &[u8] = b"fulmarford request fingerprint";

/// What a request is recognised by, in 64 bits: two of a million requests are alike by chance once in ten
/// million cases.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Computes fingerprints under one key.
#[derive(Clone, derive_more::Debug)]
pub struct Fingerprinter {
    #[debug(skip)]
    keyed: Hmac<Sha256>,
}

impl Fingerprinter {
    /// Creates it from a secret that all instances hold.
    pub fn new(secret: &[u8]) -> Self {
        let mut keyed = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        keyed.update(PURPOSE);
        Self { keyed }
    }

    /// Returns the fingerprint of a request; callers without a workspace are not told apart.
    ///
    /// `target` is path and query.
    pub fn of(
        &self,
        workspace: Option<&WorkspaceId>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Fingerprint {
        let mut keyed = self.keyed.clone();
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        for part in [workspace, method, target] {
            keyed.update(part.as_bytes());
            // None of the parts holds this byte, so it separates them.
            keyed.update(&[0]);
        }
        keyed.update(body);
        let hash = keyed.finalize().into_bytes();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        Fingerprint(u64::from_le_bytes(first))
    }
}
