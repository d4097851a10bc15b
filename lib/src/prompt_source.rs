//! Selection of the engines that presumably hold the shared parts of a prompt, and of an engine to copy
//! them from.

use std::net::SocketAddr;
use std::time::Instant;

use crate::affinity;
use crate::dialect::PromptPart;
use crate::fleet_endpoint::Endpoint;

/// Share of a shared prompt that its home is assumed to hold.
const HOME_HELD_SHARE: f64 = 0.8;

/// Endpoints that presumably hold the shared parts of a prompt.
#[derive(Debug, Default)]
pub(crate) struct PromptHolders {
    /// Hash of the home endpoint, which all instances prefer for requests with these parts.
    pub home: Option<u64>,
    /// Tokens per millisecond that are copied between engines.
    pub copy_rate: f64,
    /// Endpoints to copy from: first those known to hold parts, then the presumed ones.
    sources: Vec<Source>,
}

/// An engine from which prompt parts can be copied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    hash: u64,
    pub address: SocketAddr,
    /// Tokens that it presumably holds.
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
    /// An instance sees too few requests of a session to know from them which endpoint has cached its
    /// prompt. Therefore all instances choose the home by rendezvous hashing among the endpoints for
    /// which `is_eligible` holds. The second-ranked endpoint was the home before the first one joined,
    /// and likely still holds the parts. If `rate` is `None`, engines cannot copy and there are no
    /// sources.
    pub(crate) fn find<'a>(
        now: Instant,
        parts: &[PromptPart],
        rate: Option<f64>,
        endpoints: impl Iterator<Item = &'a Endpoint> + Clone,
        is_eligible: impl Fn(&Endpoint) -> bool,
    ) -> Self {
        let mut holders = Self::default();
        let shared_parts = &parts[..parts.len().saturating_sub(1)];
        let Some(part) = shared_parts.last() else {
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
        // A leaving endpoint can still be copied from.
        let known_sources = endpoints
            .filter(|e| !e.is_replaced && !e.is_evacuated)
            .map(|endpoint| Source::new(endpoint, endpoint.cache.cached(shared_parts)))
            .filter(|source| source.tokens > 0);
        let guessed_sources = homes
            .iter()
            .map(|e| Source::new(e, expected_held_tokens(parts)));
        holders.sources = known_sources.chain(guessed_sources).collect();
        holders
    }

    /// Returns the source with the most tokens for an endpoint, if any has more than the
    /// `cached_tokens` that the endpoint itself is known to hold.
    pub(crate) fn source(&self, endpoint: &Endpoint, cached_tokens: u32) -> Option<&Source> {
        let others = self.sources.iter().filter(|s| s.hash != endpoint.hash);
        // Of sources with equal tokens, the first wins, so known ones take precedence.
        others
            .filter(|s| s.tokens > cached_tokens)
            .reduce(|best, s| if s.tokens > best.tokens { s } else { best })
    }
}

/// Returns the number of tokens that the home of a prompt's shared parts is assumed to hold.
pub(crate) fn expected_held_tokens(parts: &[PromptPart]) -> u32 {
    (f64::from(shared_tokens(parts)) * HOME_HELD_SHARE) as u32
}

/// Returns the number of tokens in the parts that other requests may share, which are all but the
/// last.
pub(crate) fn shared_tokens(parts: &[PromptPart]) -> u32 {
    let count = parts.len().saturating_sub(1);
    total_tokens(&parts[..count])
}

/// Returns the number of tokens in these parts; callers may state lengths whose sum is out of range.
pub(crate) fn total_tokens<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> u32 {
    let lengths = parts.into_iter().map(|part| part.tokens);
    lengths.fold(0, u32::saturating_add)
}
