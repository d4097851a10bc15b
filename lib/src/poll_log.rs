//! Log of failed polls, which explains at its end why a view lease was not renewed.
//!
//! Unanswered polls of several upstreams point to the network or to busy voters, redirects without a
//! leader to a group without one, and attempts that took longer than their timeouts to a process that
//! was not scheduled (`docs/OPERATIONS.md`).

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::view_lease::ViewLease;

/// Maximum number of attempts that are kept; a lease of 2 s sees few more.
const MAX_ATTEMPTS: usize = 16;

/// The result of a poll.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PollOutcome {
    /// The upstream answered and the lease was renewed.
    #[display("answered")]
    Updated,
    /// The poll was given up because there is something to send at once.
    #[display("interrupted")]
    Interrupted,
    /// There was no session with the upstream in time.
    #[display("not connected")]
    NotConnected,
    /// There was no valid answer in time.
    #[display("unanswered")]
    Unanswered,
    /// The upstream cannot prove that its view is fresh; it may know the leader.
    #[display("redirected to {}", _0.map_or("no leader".to_owned(), |leader| leader.to_string()))]
    Redirected(Option<SocketAddr>),
    /// The answer does not fit the view that is held.
    #[display("not applicable")]
    Rejected,
}

/// A poll that did not renew the lease.
#[derive(Debug, Display)]
#[display("{upstream} {outcome} {} ms", took.as_millis())]
struct Attempt {
    upstream: SocketAddr,
    outcome: PollOutcome,
    took: Duration,
}

/// The failed polls since the last renewal of the view lease.
#[derive(Debug, Default)]
pub struct PollLog {
    attempts: VecDeque<Attempt>,
    failures: u64,
    /// Longest time by which a wait of the control thread exceeded its timeout.
    overslept: Duration,
    /// End of the lease, once its end has been logged.
    ended: Option<Instant>,
}

impl PollLog {
    /// Records a poll that took `took` and should have ended within `limit`.
    pub fn add(
        &mut self,
        upstream: SocketAddr,
        outcome: PollOutcome,
        took: Duration,
        limit: Duration,
    ) {
        self.add_wait(took, limit);
        if outcome == PollOutcome::Interrupted {
            return;
        }
        self.failures += u64::from(outcome != PollOutcome::Updated);
        self.attempts.push_back(Attempt {
            upstream,
            outcome,
            took,
        });
        if self.attempts.len() > MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
    }

    /// Records a wait that took `took` and should have ended within `limit`.
    pub fn add_wait(&mut self, took: Duration, limit: Duration) {
        self.overslept = self.overslept.max(took.saturating_sub(limit));
    }

    fn polls(&self) -> String {
        let attempts: Vec<_> = self.attempts.iter().map(Attempt::to_string).collect();
        attempts.join(", ")
    }

    /// Logs the end or the renewal of the lease; returns whether it has ended since the last call.
    pub fn observe(&mut self, now: Instant, lease: &ViewLease) -> bool {
        let Some(end) = lease.valid_until() else {
            return false;
        };
        let has_ended = now >= end;
        if has_ended && self.ended.is_none() {
            self.ended = Some(end);
            tracing::warn!(
                since_ms = now.saturating_duration_since(end).as_millis() as u64,
                failures = self.failures,
                overslept_ms = self.overslept.as_millis() as u64,
                polls = self.polls(),
                "view lease ended"
            );
            return true;
        }
        if !has_ended {
            if let Some(ended) = self.ended.take() {
                tracing::warn!(
                    lapsed_ms = now.saturating_duration_since(ended).as_millis() as u64,
                    failures = self.failures,
                    overslept_ms = self.overslept.as_millis() as u64,
                    polls = self.polls(),
                    "view lease renewed"
                );
            }
            if self
                .attempts
                .back()
                .is_none_or(|last| last.outcome == PollOutcome::Updated)
            {
                *self = Self::default();
            }
        }
        false
    }
}
