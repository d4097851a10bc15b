//! Relays: followers that answer polls for the leader.
//!
//! In a large cluster, the polls of all instances would exceed the CPU capacity of the leader.
//! Therefore each instance polls a follower, which it picks by rendezvous hashing, and the followers
//! poll the leader. The load of the leader then grows with the number of voters, and the load of a
//! relay with the number of instances per voter. The ages of the view along the path are added up, so
//! that its maximum age is known at every instance (`docs/control.md`).

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::command::Incarnation;
use crate::command::UsageReport;
use crate::control_answer::CannotAnswer;
use crate::control_core::Core;
use crate::dissemination::Delta;
use crate::dissemination::Publisher;
use crate::ids::InstanceId;
use crate::peer_message::PollRequest;
use crate::peer_message::PollResponse;
use crate::peer_message::PollUpdate;
use crate::peer_message::Suspects;
use crate::peer_message::UsageOutcome;
use crate::voter::Voter;

/// Age of its view from which a relay redirects its pollers: the time of several failed polls, and half of
/// the view lease, so that the pollers find another relay before their leases end.
const MAX_RELAY_AGE: Duration = Duration::from_secs(1);

/// Time for which a voter that refused to act as a relay is skipped.
const REFUSED_RELAY_BACKOFF: Duration = Duration::from_millis(500);

/// Time after which a poller that may still serve an older version is logged.
const LATE_POLL_TIME: Duration = Duration::from_millis(500);

/// State that a relay keeps for the instances that poll it.
#[derive(Debug)]
pub(crate) struct Relay {
    publisher: Publisher,
    /// Usage reports for the leader: the oldest one without an outcome for each instance.
    reports: BTreeMap<Incarnation, UsageReport>,
    /// The newest outcome of a usage report for each instance.
    outcomes: BTreeMap<Incarnation, UsageOutcome>,
}

impl Relay {
    /// Returns the outcome of a usage report if it is known, and queues the report otherwise.
    fn report(&mut self, report: &UsageReport) -> Option<UsageOutcome> {
        let known = self.outcomes.get(&report.entry);
        if let Some(known) = known.filter(|known| known.sequence == report.sequence) {
            return Some(known.clone());
        }
        self.reports.insert(report.entry.clone(), report.clone());
        None
    }

    /// Removes the state of instances that no longer hold a lease.
    fn purge(&mut self, now: Instant) {
        self.publisher.purge(now);
        let holders: HashSet<_> = self.publisher.lease_holders(now).collect();
        self.reports
            .retain(|incarnation, _| holders.contains(incarnation));
        self.outcomes
            .retain(|incarnation, _| holders.contains(incarnation));
    }
}

/// Data about the instances downstream of a relay, which it sends to the leader.
#[derive(Debug, Default)]
pub(crate) struct Downstream {
    /// Number of the instances.
    pub count: u32,
    /// Their usage reports without an outcome.
    pub reports: Vec<UsageReport>,
}

impl Core {
    /// Returns whether this instance may answer polls for the leader.
    ///
    /// A small cluster without seeds uses no relays, because a change waits until the leases granted by
    /// relays end.
    pub(crate) fn can_relay(&self) -> bool {
        let is_large =
            self.discovers_members() || self.shared.instance_count() > self.max_direct_pollers;
        is_large && self.voter.borrow().is_some() && !self.is_leader()
    }

    /// Applies a response of the leader to the relay state; returns whether it is news to the pollers.
    pub(crate) fn update_relay(&self, delta: Option<&Delta>, outcomes: &[UsageOutcome]) -> bool {
        if !self.can_relay() {
            *self.relay.borrow_mut() = None;
            return false;
        }
        let subscriber = self.subscriber.borrow();
        let Some(view) = subscriber.held() else {
            return false;
        };
        let mut held = self.relay.borrow_mut();
        let is_new = held.is_none();
        let relay = held.get_or_insert_with(|| Relay {
            publisher: Publisher::relay(subscriber.epoch(), view.clone()),
            reports: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        });
        match delta {
            Some(delta) if delta.from.is_some() => relay
                .publisher
                .publish(view.clone(), delta.edits.iter().cloned()),
            _ => relay.publisher.replace(view.clone()),
        }
        relay
            .publisher
            .set_upstream_state(subscriber.epoch(), subscriber.settled());
        for outcome in outcomes {
            let sent = relay.reports.get(&outcome.incarnation);
            if sent.is_some_and(|report| report.sequence <= outcome.sequence) {
                relay.reports.remove(&outcome.incarnation);
            }
            relay
                .outcomes
                .insert(outcome.incarnation.clone(), outcome.clone());
        }
        is_new || delta.is_some()
    }

    /// Returns the data about downstream instances for the leader, or `None` if this is no relay.
    pub(crate) fn downstream(&self, now: Instant) -> Option<Downstream> {
        if !self.can_relay() {
            return None;
        }
        let mut relay = self.relay.borrow_mut();
        let Some(relay) = relay.as_mut() else {
            return Some(Downstream::default());
        };
        relay.purge(now);
        Some(Downstream {
            count: u32::try_from(relay.publisher.lease_holders(now).count()).unwrap_or(u32::MAX),
            reports: relay.reports.values().cloned().collect(),
        })
    }

    /// Logs once for each version which pollers may still serve an older one, if they are late.
    pub(crate) fn log_lagging(&self, now: Instant) {
        let mut voter = self.voter.borrow_mut();
        let mut relay = self.relay.borrow_mut();
        let publisher = voter.as_mut().and_then(Voter::publisher);
        let Some(publisher) = publisher.or(relay.as_mut().map(|relay| &mut relay.publisher)) else {
            return;
        };
        let version = publisher.view().version();
        let (known, since) = self.lagging_since.get();
        if known != version {
            self.lagging_since.set((version, Some(now)));
            return;
        }
        let Some(since) = since.filter(|since| now >= *since + LATE_POLL_TIME) else {
            return;
        };
        self.lagging_since.set((version, None));
        let lagging = publisher.lagging_pollers(now, version);
        let lagging: Vec<_> = lagging.map(|poller| poller.instance.as_str()).collect();
        if !lagging.is_empty() {
            tracing::warn!(
                view = version.0,
                late_ms = now.saturating_duration_since(since).as_millis() as u64,
                instances = lagging.join(" "),
                "instances may still serve an older version"
            );
        }
    }

    /// Returns the version that all downstream instances have reached, or `None` if this is no relay.
    pub(crate) fn settled_downstream(&self, now: Instant) -> Option<crate::view::Version> {
        let mut relay = self.relay.borrow_mut();
        relay.as_mut().map(|relay| relay.publisher.settled(now))
    }

    /// Answers a poll as a relay, or returns `None` if there is nothing new and the poll is not due.
    pub(crate) fn try_answer_as_relay(
        &self,
        request: &PollRequest,
        is_due: bool,
    ) -> Result<Option<PollResponse>, CannotAnswer> {
        // Relays may poll only the leader; two relays must not prove freshness to each other.
        if request.downstream_count.is_some() || !self.can_relay() {
            return Err(CannotAnswer);
        }
        let now = self.clock.now();
        let age = self.subscriber.borrow().lease().age(now);
        let age = age.filter(|age| *age < MAX_RELAY_AGE).ok_or(CannotAnswer)?;
        let mut relay = self.relay.borrow_mut();
        let relay = relay.as_mut().ok_or(CannotAnswer)?;
        let poll = &request.poll;
        let settled_before = relay.publisher.settled(now);
        relay.publisher.observe(poll);
        if relay.publisher.settled(now) > settled_before {
            // The leader waits for this version before it reports the change as in force.
            self.downstream_advanced.notify_one();
        }
        let settled = self.subscriber.borrow().settled();
        let is_awaited = request
            .awaited_version
            .is_some_and(|version| settled >= version);
        if request.awaited_version > self.awaited_version.get().max(Some(settled)) {
            self.awaited_version.set(request.awaited_version);
            self.downstream_advanced.notify_one();
        }
        let suspects_changed = self.suspects_revision.get() != request.suspects_revision;
        let list_changed = self
            .shared
            .endpoint_list
            .has_delta(now, request.list_revision);
        let limits_changed = self.endpoint_limits().revision() != request.limits_revision;
        let mut outcomes = request.usage.iter().map(|report| relay.report(report));
        let usage = outcomes.next().flatten();
        if !is_due
            && !is_awaited
            && !suspects_changed
            && !list_changed
            && !limits_changed
            && !relay.publisher.has_news(poll)
        {
            return Ok(None);
        }
        let update = relay.publisher.answer(now, poll, age);
        let update = update.map_err(|_| CannotAnswer)?;
        let poller = &poll.poller.instance;
        let voter = self.voter.borrow();
        let members = voter.iter().flat_map(|voter| voter.raft().members().iter());
        let members = members.map(|(_, member)| member.address.clone()).collect();
        let (permits, limits_revision) = self.answer_limits(now, None, request);
        let suspects = self.shared.suspects.read().expect("suspects lock poisoned");
        let work = self.shared.total_work.read().expect("work lock poisoned");
        Ok(Some(PollResponse::Update(Box::new(PollUpdate {
            update,
            suspects: suspects_changed
                .then(|| Suspects::new(self.suspects_revision.get(), &suspects)),
            usage: usage.into_iter().collect(),
            chunks: Vec::new(),
            instance_count: self.shared.instance_count(),
            members,
            leader: self.leader(),
            work: work.as_ref().clone(),
            list_delta: self.shared.endpoint_list.delta(now, request.list_revision),
            sightings: self.sightings.borrow_mut().unseen(poller),
            permits,
            limits_revision,
        }))))
    }

    /// Stores the work, sightings and crash notes of a poller for the next poll of the leader.
    pub(crate) fn collect_from_poller(&self, request: &PollRequest) {
        let now = self.clock.now();
        let poller = &request.poll.poller.instance;
        let mut work_sum = self.work_sum.borrow_mut();
        work_sum.set(now, poller, request.work.clone());
        self.shared
            .outgoing_sightings
            .append(request.sightings.clone());
        self.shared.add_crash_notes(now, &request.crash_notes);
    }

    /// Returns the upstream to poll: the leader in a small cluster, for a voter, and for an instance that
    /// uses quota, which only the leader grants; otherwise a follower.
    ///
    /// `last_upstream` answered the last poll; `failed_upstream` did not. Without seeds, a
    /// small cluster keeps to the upstream that answers, because only the leader does.
    pub(crate) fn select_upstream(
        &self,
        last_upstream: Option<SocketAddr>,
        failed_upstream: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let is_direct = self.shared.instance_count() <= self.max_direct_pollers
            || self.voter.borrow().is_some()
            || self.shared.shares.has_limits();
        let leader = self.leader().and_then(|leader| self.resolve(&leader));
        let mut relays = self.upstream_candidates();
        relays.retain(|address| Some(*address) != leader);
        if is_direct || relays.is_empty() {
            let last_upstream = last_upstream.filter(|_| !self.discovers_members());
            return last_upstream.or_else(|| self.next_upstream(failed_upstream));
        }
        let now = Instant::now();
        let name = affinity::hash_name(self.incarnation.instance.as_str());
        affinity::rank(name, &mut relays, |address| {
            affinity::hash_name(&address.to_string())
        });
        let refused_relays = self.refused_relays.borrow();
        let backing_off = |address: &SocketAddr| {
            let refused_at = refused_relays.get(address);
            refused_at.is_some_and(|at| now < *at + REFUSED_RELAY_BACKOFF)
                || self.is_unresponsive(*address, now)
        };
        let usable =
            |address: &&SocketAddr| Some(**address) != failed_upstream && !backing_off(address);
        // The leader is no fallback: after an election all instances would poll it at once.
        relays
            .iter()
            .find(usable)
            .or_else(|| {
                relays
                    .iter()
                    .find(|address| Some(**address) != failed_upstream)
            })
            .or(relays.first())
            .copied()
    }

    /// Records that a voter refused to act as a relay.
    pub(crate) fn note_refused_relay(&self, address: SocketAddr) {
        self.refused_relays
            .borrow_mut()
            .insert(address, Instant::now());
    }

    /// Returns the number of instances that may serve callers: the leader and all lease holders, including
    /// those that relays report.
    pub(crate) fn count_instances(&self, publisher: &Publisher, now: Instant) -> u32 {
        let mut names: HashSet<&InstanceId> = publisher
            .lease_holders(now)
            .map(|incarnation| &incarnation.instance)
            .collect();
        names.insert(&self.incarnation.instance);
        let downstream = self.downstream_counts.borrow();
        let downstream: u32 = names.iter().filter_map(|name| downstream.get(*name)).sum();
        u32::try_from(names.len())
            .unwrap_or(u32::MAX)
            .saturating_add(downstream)
    }
}
