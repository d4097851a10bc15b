//! Where the shared parts of a prompt are taken to be, and from which engine they can be copied.

use std::net::SocketAddr;
use std::time::Instant;

use crate::affinity;
use crate::dialect::PromptPart;
use crate::fleet_endpoint::Endpoint;

/// Part of a shared prompt that its home is taken to hold.
const HOME_HELD_SHARE: f64 = 0.8;

/// Where shared parts of a prompt are taken to be.
#[derive(Debug, Default)]
pub(crate) struct PromptHolders {
    /// The endpoint, by its hash, where they belong.
    pub home: Option<u64>,
    /// Tokens that are copied between engines in a millisecond.
    pub copy_rate: f64,
    /// Endpoints to copy from: known ones first, then guessed ones.
    sources: Vec<Source>,
}

/// An engine from which parts can be copied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    hash: u64,
    pub address: SocketAddr,
    /// Tokens that it is taken to hold.
    pub tokens: u32,
}

impl Source {
    fn new(endpoint: &Endpoint, tokens: u32) -> Self {
        Self {
            hash: endpoint.hash,
            address: endpoint.listed.address,
            tokens,
        }
    }
}

impl PromptHolders {
    /// Finds the holders of a prompt's shared parts among the endpoints of its service.
    ///
    /// Each instance sees a session too rarely to know from its own requests where it is held, so the
    /// endpoint that wins the hash is its home on all of them; `is_eligible` tells which may be one. The
    /// runner-up was the home before the winner came, and likely still holds the parts. Without a rate of
    /// copies there are no sources.
    pub(crate) fn find<'a>(
        now: Instant,
        parts: &[PromptPart],
        rate: Option<f64>,
        endpoints: impl Iterator<Item = &'a Endpoint> + Clone,
        is_eligible: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let mut holders = Self::default();
        let common = &parts[..parts.len().saturating_sub(1)];
        let Some(part) = common.last() else {
            return holders;
        };
        let usable = endpoints.clone().filter(|e| e.is_usable(now));
        let mut homes: Vec<&Endpoint> = usable.filter(|e| is_eligible(e)).collect();
        affinity::rank(part.id, &mut homes, |endpoint| endpoint.hash);
        homes.truncate(2);
        holders.home = homes.first().map(|endpoint| endpoint.hash);
        let Some(rate) = rate else {
            return holders;
        };
        holders.copy_rate = rate;
        // An endpoint that leaves can still be copied from.
        let known = endpoints
            .filter(|e| !e.gone)
            .map(|endpoint| Source::new(endpoint, endpoint.cache.cached(common)))
            .filter(|source| source.tokens > 0);
        let guessed = homes
            .iter()
            .map(|e| Source::new(e, expected_held_tokens(parts)));
        holders.sources = known.chain(guessed).collect();
        holders
    }

    /// Returns the best source for an endpoint that is known to hold some tokens itself.
    pub(crate) fn source(&self, endpoint: &Endpoint, held: u32) -> Option<&Source> {
        let others = self.sources.iter().filter(|s| s.hash != endpoint.hash);
        // The first of equal ones is a known one.
        others
            .filter(|s| s.tokens > held)
            .reduce(|best, s| if s.tokens > best.tokens { s } else { best })
    }
}

/// Returns the tokens that the home of a prompt's shared parts is taken to hold.
pub(crate) fn expected_held_tokens(parts: &[PromptPart]) -> u32 {
    (f64::from(shared_tokens(parts)) * HOME_HELD_SHARE) as u32
}

/// Returns the tokens of the parts that other requests may share.
pub(crate) fn shared_tokens(parts: &[PromptPart]) -> u32 {
    let count = parts.len().saturating_sub(1);
    parts[..count].iter().map(|part| part.tokens).sum()
}
