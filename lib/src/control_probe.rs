//! Probes, by which an instance finds out which upstreams answer before it polls them.
//!
//! A poll of a suspended upstream costs its whole timeout, and several in a row would outlast the view
//! lease. Therefore an upstream that did not answer a poll is not polled again until it has answered a
//! probe, and all upstreams are probed at once after a poll without an answer (`docs/control.md`).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use rand::Rng as _;
use tokio::time::sleep;

use crate::control_core::Core;
use crate::control_core::POLL_TIMEOUT;
use crate::peer_message::LeaderRequest;
use crate::peer_message::encode;

/// Interval at which unresponsive upstreams are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which an upstream must answer a probe to be polled next; an idle one answers in one round trip.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(150);

impl Core {
    /// Returns whether an upstream failed to answer and has not answered a probe since.
    pub(crate) fn is_unresponsive(&self, address: SocketAddr) -> bool {
        self.unresponsive.borrow().contains_key(&address)
    }

    /// Records that an upstream did not answer; it is probed from now on.
    pub(crate) fn note_unresponsive(&self, address: SocketAddr) {
        let now = Instant::now();
        self.unresponsive.borrow_mut().insert(address, now);
        self.probe_requested.notify_one();
        let hint = self.leader_hint.borrow().clone();
        if hint.and_then(|hint| self.resolve(&hint)) == Some(address) {
            self.set_leader_hint(None);
        }
    }

    /// Records that an upstream answered.
    pub(crate) fn note_responsive(&self, address: SocketAddr) {
        self.unresponsive.borrow_mut().remove(&address);
    }

    /// Probes all upstreams at once, so that the next poll goes to one that answers.
    ///
    /// A voter needs no choice: as a relay, it can poll only the leader.
    pub(crate) async fn survey_upstreams(&self) {
        if self.voter.borrow().is_some() {
            return;
        }
        let probes = self.upstream_candidates().into_iter();
        join_all(probes.map(|address| self.probe(address, SURVEY_TIMEOUT))).await;
    }

    /// Probes an upstream, and records whether it answers.
    async fn probe(&self, address: SocketAddr, limit: Duration) {
        let link = self.link(address);
        // The leader answers this at once with an empty list, all others with a refusal.
        let request = encode(&LeaderRequest::History { count: 0 });
        match link.connected(limit).await && link.submit(&request, limit).await.is_ok() {
            true => self.note_responsive(address),
            false => self.note_unresponsive(address),
        }
    }
}

/// Probes unresponsive upstreams until they answer.
pub(crate) async fn probe_unresponsive(core: Rc<Core>) {
    loop {
        let candidates = core.upstream_candidates();
        let addresses: Vec<_> = {
            let mut unresponsive = core.unresponsive.borrow_mut();
            unresponsive.retain(|address, _| candidates.contains(address));
            unresponsive.keys().copied().collect()
        };
        if addresses.is_empty() {
            core.probe_requested.notified().await;
        } else {
            let probes = addresses.into_iter();
            join_all(probes.map(|address| core.probe(address, POLL_TIMEOUT))).await;
        }
        sleep(PROBE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    }
}
