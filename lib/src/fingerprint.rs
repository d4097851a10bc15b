//! Request fingerprints, by which a request is recognized when its caller sends it again under another ID.
//!
//! The fingerprint covers the caller's workspace and the content of the request. It does not cover the ID, which
//! differs for each attempt of a caller, or headers such as the remaining time. The hash is keyed with the
//! secret of the instances, so that a guessed prompt cannot be found in the logs. All instances compute the
//! same fingerprint as long as their first secret is the same.

use std::sync::Arc;

use derive_more::Display;
use hmac::Hmac;
use hmac::Mac as _;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::dialect::PromptPart;
use crate::ids::WorkspaceId;

/// Domain separator between this hash and other uses of the same secret.
const DOMAIN_SEPARATOR: &[u8] = b"fulmarford request fingerprint";

/// Domain separator between parts of prompts and requests.
const PART_SEPARATOR: &[u8] = b"prompt part";

/// Fingerprint of a request. With 64 bits, the probability that any two of a million requests collide is below
/// one in ten million.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Fingerprints of a request and of the parts of its prompt that other requests may share.
#[derive(Clone, Debug)]
pub struct RequestPrints {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Fingerprints of the parts, without the last one, which belongs to the request itself.
    pub parts: Arc<[Fingerprint]>,
}

impl From<Fingerprint> for RequestPrints {
    /// Returns the fingerprints of a request whose prompt has no parts.
    fn from(request: Fingerprint) -> Self {
        Self {
            request,
            parts: Arc::default(),
        }
    }
}

/// Computes fingerprints with one key.
#[derive(Clone, derive_more::Debug)]
pub struct Fingerprinter {
    #[debug(skip)]
    mac: Hmac<Sha256>,
}

impl Fingerprinter {
    /// Creates a fingerprinter from a secret that all instances share.
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        mac.update(DOMAIN_SEPARATOR);
        Self { mac }
    }

    /// Returns the fingerprint of a request; `target` is its path and query.
    ///
    /// Callers without a workspace are not distinguished.
    pub fn fingerprint(
        &self,
        workspace: Option<&WorkspaceId>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Fingerprint {
        let mut mac = self.mac.clone();
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        for part in [workspace, method, target] {
            mac.update(part.as_bytes());
            // No part contains this byte, so it is an unambiguous separator.
            mac.update(&[0]);
        }
        mac.update(body);
        truncate(mac)
    }

    /// Returns the fingerprints of the parts of a prompt that other requests may share, each once.
    pub fn shared_parts(&self, parts: &[PromptPart]) -> Arc<[Fingerprint]> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let mut prints: Vec<_> = shared.iter().map(|part| self.part(part.id)).collect();
        prints.sort_unstable();
        prints.dedup();
        prints.into()
    }

    fn part(&self, id: u64) -> Fingerprint {
        let mut mac = self.mac.clone();
        // No request has a workspace of this name.
        mac.update(&[0]);
        mac.update(PART_SEPARATOR);
        mac.update(&id.to_le_bytes());
        truncate(mac)
    }
}

fn truncate(mac: Hmac<Sha256>) -> Fingerprint {
    let hash = mac.finalize().into_bytes();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    Fingerprint(u64::from_le_bytes(first))
}
