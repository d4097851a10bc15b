//! State of the control thread: replication, the published view, and access to the leader.
//!
//! All methods run on the control thread. No borrow of a cell is held across an `await`.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::affinity;
use crate::clock::Clock;
use crate::command::Command;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::control::SubmitError;
use crate::control::Suspicion;
use crate::control_relay::Relay;
use crate::control_shared::Published;
use crate::control_shared::Shared;
use crate::control_shared::remaining;
use crate::crash_note::NoteOutbox;
use crate::crash_records::CrashRecords;
use crate::dissemination::Subscriber;
use crate::ids::InstanceId;
use crate::part_records::PartRecords;
use crate::peer::Identity;
use crate::peer::Link;
use crate::peer_message::Delivery;
use crate::peer_message::LeaderRequest;
use crate::peer_message::LeaderResponse;
use crate::peer_message::MemberLocation;
use crate::peer_message::Suspects;
use crate::peer_message::decode;
use crate::peer_message::encode;
use crate::prefix_hint::PrefixHintLog;
use crate::quota::QuotaPools;
use crate::raft_member::Member;
use crate::raft_message::MemberId;
use crate::raft_message::Outgoing;
use crate::rule_state::CommittedChange;
use crate::service_load::LoadAggregator;
use crate::shared_list::ListRevision;
use crate::storage_retry;
use crate::storage_retry::Reopened;
use crate::usage::UsageSender;
use crate::view::Version;
use crate::voter::DataFolder;
use crate::voter::Voter;
use crate::voter::VoterError;

/// Maximum number of instances in a cluster for which all of them poll the leader directly; that many
/// polls take a few percent of a small processor (`docs/CAPACITY.md`).
pub const MAX_DIRECT_POLLERS: u32 = 32;

/// Maximum time for which an upstream holds a poll while there is nothing new to return.
pub const POLL_HOLD: Duration = Duration::from_millis(250);

/// Timeout of a poll.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the delivery of a Raft message.
pub const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the first attempt to submit a repeatable command; the next attempt may go to another
/// instance.
///
/// Otherwise a leader behind a network partition would hold the command until its deadline. The
/// timeout doubles with each attempt that ends unanswered: each attempt proposes the command again, so
/// with a constant timeout a commit that takes longer would never be answered.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum remaining time for an attempt; a shorter one would mostly end with an unknown outcome.
pub const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of changes in one history response.
pub const MAX_HISTORY_CHANGES: u32 = 1_000;

/// Maximum time for which this instance waits for the reply to a command of a peer.
pub const MAX_SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum delay of [`pause_before_retry`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Maximum delay of [`pause_before_retry`].
const MAX_RETRY_DELAY: Duration = Duration::from_millis(45);

/// Name and address of a configured peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the instance.
    pub name: InstanceId,
    /// Address at which the instance accepts connections of peers.
    pub address: SocketAddr,
}

/// Configuration of how an instance finds its peers.
#[derive(Clone, Debug)]
pub struct Peers {
    /// All voters, or, with `discover`, the seeds through which the group is found.
    pub addresses: Vec<PeerAddress>,
    /// Whether the members of the group are learned from the group itself.
    pub discover: bool,
    /// Maximum number of instances in the cluster for which all poll the leader directly.
    pub max_direct_pollers: u32,
}

/// State of the control thread.
pub struct Core {
    pub(crate) incarnation: Incarnation,
    pub(crate) identity: Identity,
    pub(crate) address: SocketAddr,
    pub(crate) peers: Vec<PeerAddress>,
    /// Whether the members of the group are learned from the group itself.
    discover: bool,
    pub(crate) max_direct_pollers: u32,
    /// Addresses of the members as last received in a poll response.
    learned_members: RefCell<Vec<SocketAddr>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shared: Arc<Shared>,
    /// A data folder that belongs to no group yet.
    pub(crate) unused_folder: RefCell<Option<DataFolder>>,
    /// The Raft member of this instance, if it has a usable data folder that belongs to a group.
    pub(crate) voter: RefCell<Option<Voter>>,
    /// Why this instance does not vote although it has a data folder.
    pub(crate) storage_error: RefCell<Option<String>>,
    /// Receives the storage when it can be used again after it failed.
    pub(crate) reopening: RefCell<Option<oneshot::Receiver<Reopened>>>,
    /// Notified when [`Self::reopening`] is set.
    pub(crate) storage_failed: Notify,
    pub(crate) subscriber: RefCell<Subscriber>,
    /// Revision of the suspects that are published to traffic threads.
    pub(crate) suspects_revision: Cell<u64>,
    pub(crate) usage: RefCell<UsageSender>,
    /// Wakes the task that drives the Raft member.
    pub(crate) drive_requested: Arc<Notify>,
    /// Wakes the pending poll when a caller starts to wait for a version.
    pub(crate) poll_requested: Notify,
    /// Highest version that a caller or a poller waits to see in force.
    pub(crate) awaited_version: Cell<Option<Version>>,
    /// Whether the view without rules is withheld because initial rules are being submitted.
    pub(crate) awaits_rules: Cell<bool>,
    /// Notifies held polls and callers that wait for a version of changes to the published state.
    pub(crate) state_changed: Notify,
    /// Links to peers by address.
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Upstreams that did not answer and have not answered a probe since, with the time of the failure.
    pub(crate) unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
    /// Wakes the task that probes unresponsive upstreams.
    pub(crate) probe_requested: Notify,
    /// Voters that refused to act as relays, with the time of the last refusal.
    pub(crate) refused_relays: RefCell<HashMap<SocketAddr, Instant>>,
    /// Relay state of a follower that answers polls for the leader.
    pub(crate) relay: RefCell<Option<Relay>>,
    /// Version that is published to pollers, and since when, until its laggards are logged.
    pub(crate) lagging_since: Cell<(Version, Option<Instant>)>,
    /// Wakes the pending poll when the downstream instances hold a newer version or wait for one.
    pub(crate) downstream_advanced: Notify,
    /// Number of instances that poll each relay, by name of the relay; kept by the leader.
    pub(crate) downstream_counts: RefCell<HashMap<InstanceId, u32>>,
    /// The leader as last named by a peer.
    pub(crate) leader_hint: RefCell<Option<MemberLocation>>,
    /// Address of the leader that a peer last named.
    last_hint: Cell<Option<SocketAddr>>,
    /// The leader that the Raft member of this instance last knew.
    last_leader: Cell<Option<MemberId>>,
    /// Ends the pending poll of a voter when its Raft member learns of another leader.
    pub(crate) leader_changed: Notify,
    /// Addresses of members that sent messages, for members that the Raft log does not list yet.
    pub(crate) sender_addresses: RefCell<HashMap<MemberId, SocketAddr>>,
    /// Quota pools of the leader, with the epoch in which they were created.
    pub(crate) quota_pools: RefCell<Option<(u64, QuotaPools)>>,
    /// Work of the instances that poll this one, and of this one while it polls another.
    pub(crate) work_sum: RefCell<LoadAggregator>,
    /// Prompt parts that the instances polling this one have sent to engines.
    pub(crate) sightings: RefCell<PrefixHintLog>,
    /// Revision of the limits of endpoints that the last upstream answered with.
    pub(crate) limits_revision: Cell<u64>,
    /// Crash notes of all instances, from which the leader derives verdicts.
    pub(crate) crash_records: RefCell<CrashRecords>,
    pub(crate) part_records: RefCell<PartRecords>,
    /// Whether this is a leader with a majority, view version, settled version, revision of the suspects and revision of the
    /// endpoint list when held polls were last checked.
    last_published: Cell<(bool, Version, Version, u64, ListRevision)>,
}

impl Core {
    /// Creates the state of an instance that has no view yet.
    pub(crate) fn new(
        incarnation: Incarnation,
        identity: Identity,
        address: SocketAddr,
        peers: Peers,
        clock: Arc<dyn Clock>,
        shared: Arc<Shared>,
    ) -> Rc<Self> {
        Rc::new(Self {
            usage: RefCell::new(UsageSender::new(incarnation.clone())),
            incarnation,
            identity,
            address,
            peers: peers.addresses,
            discover: peers.discover,
            max_direct_pollers: peers.max_direct_pollers,
            learned_members: RefCell::default(),
            clock,
            shared,
            unused_folder: RefCell::default(),
            voter: RefCell::default(),
            storage_error: RefCell::default(),
            reopening: RefCell::default(),
            storage_failed: Notify::new(),
            subscriber: RefCell::default(),
            suspects_revision: Cell::new(0),
            drive_requested: Arc::default(),
            poll_requested: Notify::new(),
            awaited_version: Cell::new(None),
            awaits_rules: Cell::new(false),
            state_changed: Notify::new(),
            links: RefCell::default(),
            unresponsive: RefCell::default(),
            probe_requested: Notify::new(),
            refused_relays: RefCell::default(),
            relay: RefCell::default(),
            lagging_since: Cell::default(),
            downstream_advanced: Notify::new(),
            downstream_counts: RefCell::default(),
            leader_hint: RefCell::default(),
            last_hint: Cell::default(),
            last_leader: Cell::default(),
            leader_changed: Notify::new(),
            sender_addresses: RefCell::default(),
            quota_pools: RefCell::default(),
            work_sum: RefCell::default(),
            sightings: RefCell::default(),
            limits_revision: Cell::new(0),
            crash_records: RefCell::default(),
            part_records: RefCell::default(),
            last_published: Cell::default(),
        })
    }

    /// Returns the link to an address and creates it if there is none.
    pub(crate) fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        links
            .entry(address)
            .or_insert_with(|| Link::start(address, self.identity.clone()))
            .clone()
    }

    /// Locks the queue of crash notes for the leader.
    pub(crate) fn crash_notes(&self) -> MutexGuard<'_, NoteOutbox> {
        self.shared.crash_notes.lock().expect("notes lock poisoned")
    }

    /// Returns whether this instance is an established leader.
    pub(crate) fn is_leader(&self) -> bool {
        self.voter.borrow().as_ref().is_some_and(Voter::is_leader)
    }

    /// Returns the location of the leader, if it is known.
    pub(crate) fn leader(&self) -> Option<MemberLocation> {
        let known = self.voter.borrow().as_ref().and_then(known_leader);
        known.or_else(|| self.leader_hint.borrow().clone())
    }

    /// Returns whether the members are learned from the group.
    pub(crate) fn discovers_members(&self) -> bool {
        self.discover
    }

    /// Stores the addresses of the members, for use when the configured addresses are no longer valid.
    pub(crate) fn learn_members(&self, members: &[String]) {
        if self.discover {
            let addresses = members.iter().filter_map(|address| address.parse().ok());
            *self.learned_members.borrow_mut() = addresses.collect();
        }
    }

    /// Returns the addresses of possible voters: learned ones first, then configured ones.
    pub(crate) fn upstream_candidates(&self) -> Vec<SocketAddr> {
        let mut addresses = self.learned_members.borrow().clone();
        if self.discover
            && let Some(voter) = self.voter.borrow().as_ref()
        {
            let members = voter.raft().members().iter();
            addresses.extend(
                members.filter_map(|(_, member)| member.address.parse::<SocketAddr>().ok()),
            );
        }
        // All instances start with the same addresses; the rotation spreads their first polls.
        let mut configured: Vec<_> = self.peers.iter().map(|peer| peer.address).collect();
        if self.discover && !configured.is_empty() {
            let offset = affinity::hash_name(self.incarnation.instance.as_str());
            let offset = offset % configured.len() as u64;
            configured.rotate_left(offset as usize);
        }
        addresses.extend(configured);
        let mut seen = BTreeSet::new();
        addresses.retain(|address| *address != self.address && seen.insert(*address));
        addresses
    }

    /// Returns the address of a member: the configured one for its name, or else the advertised one.
    pub(crate) fn resolve(&self, member: &MemberLocation) -> Option<SocketAddr> {
        let configured = self.peers.iter().find(|peer| peer.name == member.instance);
        match configured {
            Some(peer) => Some(peer.address),
            None => member.address.parse().ok(),
        }
    }

    /// Returns the next upstream to contact after `failed_upstream`, with preference for the leader.
    pub(crate) fn next_upstream(&self, failed_upstream: Option<SocketAddr>) -> Option<SocketAddr> {
        let usable =
            |address: &SocketAddr| *address != self.address && !self.is_unresponsive(*address);
        let leader = self.leader().and_then(|leader| self.resolve(&leader));
        let leader = leader.filter(usable);
        if leader.is_some() && leader != failed_upstream {
            return leader;
        }
        let addresses = self.upstream_candidates();
        let start = failed_upstream
            .and_then(|failed_upstream| {
                addresses
                    .iter()
                    .position(|address| *address == failed_upstream)
            })
            .map_or(0, |position| position + 1);
        let in_order = || addresses.iter().cycle().skip(start).take(addresses.len());
        in_order()
            .find(|address| usable(address))
            .or(in_order().next())
            .copied()
    }

    /// Records the leader that a peer named.
    ///
    /// The leader before may have been replaced because it is silent, so it is probed before it is polled. A voter
    /// polls only the leader, which its own Raft member names.
    pub(crate) fn set_leader_hint(&self, leader: Option<MemberLocation>) {
        let leader = leader.filter(|leader| leader.instance != self.incarnation.instance);
        if let Some(address) = leader.as_ref().and_then(|leader| self.resolve(leader)) {
            let former = self.last_hint.replace(Some(address));
            let former = former.filter(|former| *former != address);
            if let Some(former) = former.filter(|_| self.voter.borrow().is_none()) {
                self.note_unresponsive(former);
            }
        }
        *self.leader_hint.borrow_mut() = leader;
    }

    /// Advances the Raft member, sends its messages and publishes the changes.
    pub(crate) fn drive(&self) {
        let now = self.clock.now();
        let advanced = {
            let mut voter = self.voter.borrow_mut();
            voter.as_mut().map(|voter| {
                voter.tick(now);
                voter.advance(now)
            })
        };
        match advanced {
            Some(Ok(messages)) => self.send(&messages),
            Some(Err(error)) => self.stop_voting(&error),
            None => {}
        }
        self.publish_leader_view(now);
    }

    /// Drops the member after its storage failed, and has the storage opened again if that may help.
    fn stop_voting(&self, error: &VoterError) {
        let will_retry = matches!(error, VoterError::Storage(error) if error.is_temporary());
        tracing::error!(%error, will_retry, "storage failed; this instance no longer votes");
        *self.storage_error.borrow_mut() = Some(error.to_string());
        let voter = self.voter.borrow_mut().take();
        if let Some(voter) = voter.filter(|_| will_retry) {
            let retry = storage_retry::reopen(voter.failed_store(), voter.id());
            *self.reopening.borrow_mut() = Some(retry);
            self.storage_failed.notify_one();
        }
    }

    /// Sends Raft messages to members whose address is known.
    fn send(&self, messages: &[Outgoing]) {
        for outgoing in messages {
            let (from, address) = {
                let voter = self.voter.borrow();
                let Some(voter) = voter.as_ref() else { return };
                let member = voter.raft().members().get(outgoing.to);
                let known = member.and_then(|member| self.resolve(&location(member)));
                let learned = self.sender_addresses.borrow().get(&outgoing.to).copied();
                (voter.id(), known.or(learned))
            };
            let Some(address) = address else { continue };
            let delivery = encode(&Delivery {
                from,
                to: outgoing.to,
                address: self.address.to_string(),
                message: outgoing.message.clone(),
            });
            self.link(address).deliver(&delivery, DELIVER_TIMEOUT);
        }
    }

    /// On the leader, publishes the replicated state as the view of this instance; wakes held polls if
    /// anything changed.
    fn publish_leader_view(&self, now: Instant) {
        let mut voter = self.voter.borrow_mut();
        let Some(voter) = voter.as_mut() else { return };
        let age = voter.view_age(now);
        let revision = voter.state().suspects().revision();
        let is_leader = voter.is_leader() && age.is_some();
        let leader = voter.raft().leader();
        if self.last_leader.replace(leader) != leader && leader.is_some() {
            self.leader_changed.notify_one();
        }
        let list = self.shared.endpoint_list.revision();
        let mut published = (is_leader, Version(0), Version(0), revision, list);
        if let Some(publisher) = voter.publisher() {
            let settled = publisher.settled(now);
            let view = publisher.view().clone();
            published = (is_leader, view.version(), settled, revision, list);
            *self.relay.borrow_mut() = None;
            if let Some(confirmed_at) = age.and_then(|age| now.checked_sub(age)) {
                let epoch = publisher.epoch();
                self.subscriber
                    .borrow_mut()
                    .install_local(&view, confirmed_at, epoch, settled);
                self.publish();
            }
            if revision != self.suspects_revision.get() {
                self.install_suspects(&Suspects::from_state(voter.state().suspects()));
            }
        }
        if self.last_published.replace(published) != published {
            self.state_changed.notify_waiters();
        }
    }

    /// Publishes the view and its lease to traffic threads.
    pub(crate) fn publish(&self) {
        let subscriber = self.subscriber.borrow();
        if self.awaits_rules.get() && subscriber.version() <= Some(Version(0)) {
            return;
        }
        if let Some(view) = subscriber.held() {
            self.shared.shares.install(view);
        }
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let end = subscriber.lease().valid_until();
        let published = Published {
            view: subscriber.held().cloned(),
            lease_end: end,
            wall_lease_end: end.map(|end| wall + end.saturating_duration_since(now)),
        };
        *self.shared.published.write().expect("view lock poisoned") = published;
    }

    /// Publishes the suspects to traffic threads.
    pub(crate) fn install_suspects(&self, suspects: &Suspects) {
        let map = suspects.list.iter().map(|(fingerprint, quarantined)| {
            let suspicion = if *quarantined {
                Suspicion::Quarantined
            } else {
                Suspicion::Suspect
            };
            (*fingerprint, suspicion)
        });
        let map = Arc::new(map.collect());
        *self
            .shared
            .suspects
            .write()
            .expect("suspects lock poisoned") = map;
        self.suspects_revision.set(suspects.revision);
    }

    /// Returns the newest version that this instance knows to be in force at all instances.
    pub(crate) fn settled(&self) -> Version {
        let now = self.clock.now();
        let own = {
            let mut voter = self.voter.borrow_mut();
            let publisher = voter.as_mut().and_then(Voter::publisher);
            publisher.map(|publisher| publisher.settled(now))
        };
        let known = self.subscriber.borrow().settled();
        own.map_or(known, |own| own.max(known))
    }

    /// Waits until a version is in force at all instances; returns whether it is by the deadline.
    pub(crate) async fn await_version(&self, version: Version, deadline: Instant) -> bool {
        while self.settled() < version {
            if Instant::now() >= deadline {
                return false;
            }
            self.awaited_version
                .set(self.awaited_version.get().max(Some(version)));
            self.poll_requested.notify_one();
            let changed = self.state_changed.notified();
            let _ = tokio::time::timeout(remaining(deadline).min(POLL_HOLD), changed).await;
        }
        true
    }

    /// Wakes held polls and callers that wait for a version.
    pub(crate) fn notify_state_changed(&self) {
        self.state_changed.notify_waiters();
    }

    /// Submits a command to the local or remote leader, with retries until the deadline.
    ///
    /// A command is retried only if it was certainly not proposed, or if the state machine detects
    /// duplicates of it.
    pub(crate) async fn submit(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<Reply, SubmitError> {
        let repeatable = is_repeatable(&command);
        let mut maybe_proposed = false;
        let mut failed_upstream = None;
        let mut attempt_timeout = ATTEMPT_TIMEOUT;
        loop {
            let answer = if self.is_leader() {
                self.submit_local(command.clone(), deadline).await
            } else {
                let limit = repeatable.then_some(attempt_timeout);
                self.submit_remote(&command, deadline, limit, &mut failed_upstream)
                    .await
            };
            match answer {
                Ok(reply) => return Ok(reply),
                Err(SubmitError::Unknown) if !repeatable => return Err(SubmitError::Unknown),
                Err(SubmitError::Unknown) => {
                    maybe_proposed = true;
                    attempt_timeout *= 2;
                }
                Err(SubmitError::NotProposed) => {}
            }
            if remaining(deadline) < MIN_ATTEMPT_TIMEOUT {
                return Err(match maybe_proposed {
                    true => SubmitError::Unknown,
                    false => SubmitError::NotProposed,
                });
            }
            pause_before_retry().await;
        }
    }

    /// Proposes a command to the local Raft member and waits for the reply.
    pub(crate) async fn submit_local(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<Reply, SubmitError> {
        let receiver = self.propose(command).ok_or(SubmitError::NotProposed)?;
        match tokio::time::timeout(remaining(deadline), receiver).await {
            Ok(Ok(answer)) => answer,
            // The reply timed out, or the Raft member was dropped after the proposal.
            Ok(Err(_)) | Err(_) => Err(SubmitError::Unknown),
        }
    }

    /// Proposes a command to the local Raft member; the reply arrives through the channel.
    pub(crate) fn propose(
        &self,
        command: Command,
    ) -> Option<oneshot::Receiver<Result<Reply, SubmitError>>> {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let mut voter = self.voter.borrow_mut();
        let receiver = voter.as_mut()?.propose(now, wall, command).ok()?;
        self.drive_requested.notify_one();
        Some(receiver)
    }

    /// Submits a command to an upstream once, and waits for the answer until the deadline or for the
    /// time `limit`; `failed_upstream` is that of the previous failed attempt.
    async fn submit_remote(
        &self,
        command: &Command,
        deadline: Instant,
        limit: Option<Duration>,
        failed_upstream: &mut Option<SocketAddr>,
    ) -> Result<Reply, SubmitError> {
        let address = self
            .next_upstream(*failed_upstream)
            .ok_or(SubmitError::NotProposed)?;
        *failed_upstream = Some(address);
        let link = self.link(address);
        let connect_timeout = remaining(deadline).min(POLL_HOLD);
        if !link.connected(connect_timeout).await || remaining(deadline) < MIN_ATTEMPT_TIMEOUT {
            return Err(SubmitError::NotProposed);
        }
        let attempt_timeout = remaining(deadline).min(limit.unwrap_or(Duration::MAX));
        let request = encode(&LeaderRequest::Submit {
            command: command.clone(),
            timeout: attempt_timeout,
        });
        let answer = match link.submit(&request, attempt_timeout).await {
            Ok(answer) => answer,
            Err(crate::peer::CallError::NotConnected) => return Err(SubmitError::NotProposed),
            Err(crate::peer::CallError::Lost) => {
                self.note_unresponsive(address);
                return Err(SubmitError::Unknown);
            }
        };
        match decode(&answer) {
            Some(LeaderResponse::Applied(reply)) => {
                *failed_upstream = None;
                Ok(reply)
            }
            Some(LeaderResponse::NotProposed) => Err(SubmitError::NotProposed),
            _ => Err(SubmitError::Unknown),
        }
    }

    /// Returns the newest changes from the local or remote leader.
    pub(crate) async fn history(
        &self,
        count: u32,
        deadline: Instant,
    ) -> Option<Vec<CommittedChange>> {
        let request = encode(&LeaderRequest::History { count });
        let mut failed_upstream = None;
        while Instant::now() < deadline {
            if let Some(changes) = self.local_history(count) {
                return Some(changes);
            }
            let address = self.next_upstream(failed_upstream)?;
            failed_upstream = Some(address);
            let link = self.link(address);
            let attempt_timeout = remaining(deadline).min(POLL_TIMEOUT);
            if link.connected(attempt_timeout).await
                && let Ok(answer) = link.submit(&request, attempt_timeout).await
                && let Some(LeaderResponse::History(changes)) = decode(&answer)
            {
                return Some(changes);
            }
            pause_before_retry().await;
        }
        None
    }

    /// Returns the newest changes if this instance is an established leader.
    pub(crate) fn local_history(&self, count: u32) -> Option<Vec<CommittedChange>> {
        let voter = self.voter.borrow();
        let voter = voter.as_ref().filter(|voter| voter.is_leader())?;
        voter.view_age(self.clock.now())?;
        let count = count.min(MAX_HISTORY_CHANGES) as usize;
        let changes = voter.state().changes().rev().take(count);
        Some(changes.cloned().collect())
    }
}

/// Returns the location of the leader that a voter knows.
pub(crate) fn known_leader(voter: &Voter) -> Option<MemberLocation> {
    let member = voter.raft().members().get(voter.raft().leader()?)?;
    Some(location(member))
}

/// Returns the location of a member.
pub(crate) fn location(member: &Member) -> MemberLocation {
    MemberLocation {
        instance: member.instance.clone(),
        address: member.address.clone(),
    }
}

/// Returns whether the state machine applies a duplicate of the command only once and replies the
/// same to each.
fn is_repeatable(command: &Command) -> bool {
    matches!(
        command,
        Command::Apply(_)
            | Command::BeginIntent(_)
            | Command::FinishIntent(_)
            | Command::ReleaseIntent(_)
            | Command::AddUsage(_)
            | Command::ReplaceDocument(_)
            | Command::ReadDocument
            | Command::SetUsageTerms(_)
            | Command::ReportCrash(_)
            | Command::ClearSuspect { .. }
            | Command::Quarantine { .. }
            | Command::LiftQuarantine { .. }
            | Command::SuspectParts { .. }
            | Command::ClearParts { .. }
            | Command::SetEvacuation(_)
    )
}

/// Waits for a short random time, so that instances that lost their leader do not retry in step.
pub(crate) async fn pause_before_retry() {
    let delay = rand::rng().random_range(MIN_RETRY_DELAY..MAX_RETRY_DELAY);
    tokio::time::sleep(delay).await;
}
