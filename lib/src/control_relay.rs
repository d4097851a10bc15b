//! Voters that answer polls for the leader.
//!
//! With many instances the polls cost a leader more than its processor has, so in a large fleet each
//! instance polls one of the voters that follow, which all pick by rendezvous hashing and which polls the
//! leader itself. The work of the leader then grows with the number of voters, and that of a relay with
//! the instances for each voter. Ages add up on the way, so the freshness of a view stays provable
//! (`docs/control.md`).

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::affinity;
use crate::command::Incarnation;
use crate::command::UsageReport;
use crate::control_answer::NotLeading;
use crate::control_core::Core;
use crate::dissemination::Delta;
use crate::dissemination::Publisher;
use crate::ids::InstanceId;
use crate::peer_message::PollRequest;
use crate::peer_message::PollResponse;
use crate::peer_message::PollUpdate;
use crate::peer_message::Suspects;
use crate::peer_message::UsageOutcome;

/// Age of a view from which a relay sends its pollers elsewhere: several polls without an answer, and
/// half of the view lease, so that they still find another one in time.
const RELAY_AGE: Duration = Duration::from_secs(1);

/// Time for which a voter that had nothing to relay is not asked again.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// What a voter keeps for the instances that poll it.
#[derive(Debug)]
pub(crate) struct Relay {
    publisher: Publisher,
    /// Usage on its way to the leader: the oldest report of each instance that has no outcome.
    reports: BTreeMap<Incarnation, UsageReport>,
    /// The newest outcome for each instance.
    outcomes: BTreeMap<Incarnation, UsageOutcome>,
}

impl Relay {
    /// Takes in a usage report; returns its outcome if it is known.
    fn report(&mut self, report: &UsageReport) -> Option<UsageOutcome> {
        let known = self.outcomes.get(&report.entry);
        if let Some(known) = known.filter(|known| known.sequence == report.sequence) {
            return Some(known.clone());
        }
        self.reports.insert(report.entry.clone(), report.clone());
        None
    }

    fn purge(&mut self, now: Instant) {
        self.publisher.purge(now);
        let holders: HashSet<_> = self.publisher.holders(now).collect();
        self.reports.retain(|entry, _| holders.contains(entry));
        self.outcomes.retain(|entry, _| holders.contains(entry));
    }
}

/// What a relay tells the leader about the instances that poll it.
#[derive(Debug, Default)]
pub(crate) struct Below {
    /// How many they are.
    pub count: u32,
    /// Their usage that has no outcome.
    pub reports: Vec<UsageReport>,
}

impl Core {
    /// Tells whether this instance may answer polls for the leader. In a small group without seeds nobody
    /// does: what a relay grants delays a change until it ends.
    pub(crate) fn can_relay(&self) -> bool {
        let is_large = self.discovers() || self.shared.entries() > self.direct;
        is_large && self.voter.borrow().is_some() && !self.is_leader()
    }

    /// Takes in what the leader told, for the instances that poll this one; returns whether it is news
    /// to them.
    pub(crate) fn relay_news(&self, delta: Option<&Delta>, outcomes: &[UsageOutcome]) -> bool {
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
            .set_upstream(subscriber.epoch(), subscriber.settled());
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

    /// Returns what to tell the leader about the instances that poll this one, if it may relay.
    pub(crate) fn below(&self, now: Instant) -> Option<Below> {
        if !self.can_relay() {
            return None;
        }
        let mut relay = self.relay.borrow_mut();
        let Some(relay) = relay.as_mut() else {
            return Some(Below::default());
        };
        relay.purge(now);
        Some(Below {
            count: u32::try_from(relay.publisher.holders(now).count()).unwrap_or(u32::MAX),
            reports: relay.reports.values().cloned().collect(),
        })
    }

    /// Returns the version that everybody below this instance holds, if it relays.
    pub(crate) fn settled_below(&self, now: Instant) -> Option<crate::view::Version> {
        let mut relay = self.relay.borrow_mut();
        relay.as_mut().map(|relay| relay.publisher.settled(now))
    }

    /// Answers a poll for the leader, unless there is nothing to tell before it is due.
    pub(crate) fn try_relay(
        &self,
        request: &PollRequest,
        due: bool,
    ) -> Result<Option<PollResponse>, NotLeading> {
        // Relays poll the leader only, so that no two of them prove freshness to each other.
        if request.downstream_count.is_some() || !self.can_relay() {
            return Err(NotLeading);
        }
        let now = self.clock.now();
        let age = self.subscriber.borrow().lease().age(now);
        let age = age.filter(|age| *age < RELAY_AGE).ok_or(NotLeading)?;
        let mut relay = self.relay.borrow_mut();
        let relay = relay.as_mut().ok_or(NotLeading)?;
        let poll = &request.poll;
        let before = relay.publisher.settled(now);
        relay.publisher.observe(poll);
        if relay.publisher.settled(now) > before {
            // The leader waits for it before a change counts as in force.
            self.advanced.notify_one();
        }
        let settled = self.subscriber.borrow().settled();
        let watched = request
            .awaited_version
            .is_some_and(|version| settled >= version);
        if request.awaited_version > self.watch.get().max(Some(settled)) {
            self.watch.set(request.awaited_version);
            self.advanced.notify_one();
        }
        let changed = self.revision.get() != request.suspects_revision;
        let relisted = self.shared.list.has_delta(now, request.list_revision);
        let mut outcomes = request.usage.iter().map(|report| relay.report(report));
        let usage = outcomes.next().flatten();
        if !due && !watched && !changed && !relisted && !relay.publisher.has_news(poll) {
            return Ok(None);
        }
        let update = relay.publisher.answer(now, poll, age);
        let update = update.map_err(|_| NotLeading)?;
        let poller = &poll.poller.instance;
        let voter = self.voter.borrow();
        let members = voter.iter().flat_map(|voter| voter.raft().members().iter());
        let members = members.map(|(_, member)| member.address.clone()).collect();
        let suspects = self.shared.suspects.read().expect("suspects lock poisoned");
        let work = self.shared.total.read().expect("work lock poisoned");
        Ok(Some(PollResponse::Update(Box::new(PollUpdate {
            update,
            suspects: changed.then(|| Suspects::new(self.revision.get(), &suspects)),
            usage: usage.into_iter().collect(),
            chunks: Vec::new(),
            instance_count: self.shared.entries(),
            members,
            leader: self.leader(),
            work: work.as_ref().clone(),
            list_delta: self.shared.list.delta(now, request.list_revision),
            sightings: self.sightings.borrow_mut().unseen(poller),
        }))))
    }

    /// Takes in the work and the sightings of a poller, which the next poll of the leader passes on.
    pub(crate) fn relay_told(&self, request: &PollRequest) {
        let now = self.clock.now();
        let poller = &request.poll.poller.instance;
        let mut works = self.works.borrow_mut();
        works.set(now, poller, request.work.clone());
        self.shared.told.append(request.sightings.clone());
        self.shared.note(now, &request.crash_notes);
    }

    /// Returns the voter to poll: the leader in a small fleet and for quota, which only it grants, and
    /// for relays; otherwise one that follows.
    ///
    /// `last` answered the last poll, `failed` did not. A small group without seeds stays with the voter
    /// that answers, since only the leader does.
    pub(crate) fn poll_upstream(
        &self,
        last: Option<SocketAddr>,
        failed: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let is_direct = self.shared.entries() <= self.direct
            || self.voter.borrow().is_some()
            || self.shared.shares.is_in_use();
        let leader = self.leader().and_then(|leader| self.resolve(&leader));
        let mut relays = self.upstreams();
        relays.retain(|address| Some(*address) != leader);
        if is_direct || relays.is_empty() {
            let last = last.filter(|_| !self.discovers());
            return last.or_else(|| self.next_upstream(failed));
        }
        let now = Instant::now();
        let name = affinity::hash_name(self.me.instance.as_str());
        affinity::rank(name, &mut relays, |address| {
            affinity::hash_name(&address.to_string())
        });
        let refused = self.refused.borrow();
        let rests = |address: &SocketAddr| {
            let last = refused.get(address);
            last.is_some_and(|at| now < *at + REFUSED_PAUSE) || self.is_avoided(*address, now)
        };
        let usable = |address: &&SocketAddr| Some(**address) != failed && !rests(address);
        // The leader is not asked instead: after its election all would come at once.
        relays
            .iter()
            .find(usable)
            .or_else(|| relays.iter().find(|address| Some(**address) != failed))
            .or(relays.first())
            .copied()
    }

    /// Notes that a voter had nothing to relay.
    pub(crate) fn note_refused(&self, address: SocketAddr) {
        self.refused.borrow_mut().insert(address, Instant::now());
    }

    /// Counts the instances that may serve: those that hold a lease, here or below, and the leader.
    pub(crate) fn count_entries(&self, publisher: &Publisher, now: Instant) -> u32 {
        let mut names: HashSet<&InstanceId> =
            publisher.holders(now).map(|life| &life.instance).collect();
        names.insert(&self.me.instance);
        let below = self.counts.borrow();
        let below: u32 = names.iter().filter_map(|name| below.get(*name)).sum();
        u32::try_from(names.len())
            .unwrap_or(u32::MAX)
            .saturating_add(below)
    }
}
