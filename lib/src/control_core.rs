//! State of the control thread, and what it answers to peers.
//!
//! Everything here runs on one thread. No borrow of a cell is held over an `await`.

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
use crate::quota::Pools;
use crate::raft_member::Member;
use crate::raft_message::MemberId;
use crate::raft_message::Outgoing;
use crate::rule_state::CommittedChange;
use crate::shared_list::ListRevision;
use crate::usage::UsageSender;
use crate::view::Version;
use crate::voter::Opened;
use crate::voter::Voter;
use crate::work::WorkSum;

/// Instances up to which all poll the leader itself; a leader bears that many at a few percent of a small
/// processor (`docs/CAPACITY.md`).
pub const DIRECT_POLLERS: u32 = 32;

/// Time that a poll is held while there is no news.
pub const POLL_HOLD: Duration = Duration::from_millis(250);

/// Time after which a poll is given up.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a message of the replication core is given up.
pub const DELIVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a command that may be repeated is submitted again, perhaps elsewhere.
///
/// A leader that is cut off silently would otherwise hold the command until its deadline.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Least time for an attempt; a shorter one would end in doubt rather than in an answer.
pub const ATTEMPT_MIN: Duration = Duration::from_millis(50);

/// Most changes in one answer about history.
pub const MAX_HISTORY: u32 = 1_000;

/// Longest time that a peer may make this instance wait for a command.
pub const MAX_SUBMIT: Duration = Duration::from_secs(30);

/// Time for which an upstream that did not answer is not asked again if there is another one.
const AVOID: Duration = Duration::from_secs(2);

/// The same for an upstream that others name as the leader: a voter that has just restarted is
/// often not connected yet when it is elected, and nobody else answers polls then.
const AVOID_LEADER: Duration = Duration::from_millis(250);

const RETRY_MIN: Duration = Duration::from_millis(15);
const RETRY_MAX: Duration = Duration::from_millis(45);

/// A voter in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the instance.
    pub name: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// How an instance finds the others.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The voters, or with `discover` some instances through which the group is found.
    pub list: Vec<PeerAddress>,
    /// Whether the members are learned from the group.
    pub discover: bool,
    /// Instances up to which all poll the leader itself.
    pub direct: u32,
}

/// State of the control thread.
pub struct Core {
    pub(crate) me: Incarnation,
    pub(crate) identity: Identity,
    pub(crate) address: SocketAddr,
    pub(crate) peers: Vec<PeerAddress>,
    discover: bool,
    pub(crate) direct: u32,
    /// Addresses of the members, as a leader told them.
    learned: RefCell<Vec<SocketAddr>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) opened: RefCell<Option<Opened>>,
    pub(crate) voter: RefCell<Option<Voter>>,
    pub(crate) storage_error: RefCell<Option<String>>,
    pub(crate) subscriber: RefCell<Subscriber>,
    pub(crate) revision: Cell<u64>,
    pub(crate) usage: RefCell<UsageSender>,
    pub(crate) kick: Notify,
    pub(crate) repoll: Notify,
    pub(crate) watch: Cell<Option<Version>>,
    /// The view without rules is not served while initial rules are being submitted.
    pub(crate) awaits_rules: Cell<bool>,
    pub(crate) news: Notify,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    avoided: RefCell<HashMap<SocketAddr, Instant>>,
    /// Voters that had nothing to relay, and when.
    pub(crate) refused: RefCell<HashMap<SocketAddr, Instant>>,
    /// What this instance keeps for those that it answers, as a voter that follows.
    pub(crate) relay: RefCell<Option<Relay>>,
    /// Wakes the own poll when those below hold a newer version.
    pub(crate) advanced: Notify,
    /// How many instances each voter answers, at the leader.
    pub(crate) counts: RefCell<HashMap<InstanceId, u32>>,
    pub(crate) hint: RefCell<Option<MemberLocation>>,
    pub(crate) senders: RefCell<HashMap<MemberId, SocketAddr>>,
    pub(crate) pools: RefCell<Option<(u64, Pools)>>,
    /// Work of the instances that poll this one.
    pub(crate) works: RefCell<WorkSum>,
    /// Prompt parts that the instances which poll this one sent to engines.
    pub(crate) sightings: RefCell<PrefixHintLog>,
    /// What instances noted about requests at endpoints that ended, for the leader's verdicts.
    pub(crate) crash_book: RefCell<CrashRecords>,
    seen: Cell<(bool, Version, Version, u64, ListRevision)>,
}

impl Core {
    /// Creates the state of an instance that holds nothing yet.
    pub(crate) fn new(
        me: Incarnation,
        identity: Identity,
        address: SocketAddr,
        peers: Peers,
        clock: Arc<dyn Clock>,
        shared: Arc<Shared>,
    ) -> Rc<Self> {
        Rc::new(Self {
            usage: RefCell::new(UsageSender::new(me.clone())),
            me,
            identity,
            address,
            peers: peers.list,
            discover: peers.discover,
            direct: peers.direct,
            learned: RefCell::default(),
            clock,
            shared,
            opened: RefCell::default(),
            voter: RefCell::default(),
            storage_error: RefCell::default(),
            subscriber: RefCell::default(),
            revision: Cell::new(0),
            kick: Notify::new(),
            repoll: Notify::new(),
            watch: Cell::new(None),
            awaits_rules: Cell::new(false),
            news: Notify::new(),
            links: RefCell::default(),
            avoided: RefCell::default(),
            refused: RefCell::default(),
            relay: RefCell::default(),
            advanced: Notify::new(),
            counts: RefCell::default(),
            hint: RefCell::default(),
            senders: RefCell::default(),
            pools: RefCell::default(),
            works: RefCell::default(),
            sightings: RefCell::default(),
            crash_book: RefCell::default(),
            seen: Cell::default(),
        })
    }

    /// Returns the link to an address.
    pub(crate) fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        links
            .entry(address)
            .or_insert_with(|| Link::start(address, self.identity.clone()))
            .clone()
    }

    /// Returns the notes about requests that are on their way to the leader.
    pub(crate) fn notes(&self) -> MutexGuard<'_, NoteOutbox> {
        self.shared.crashes.lock().expect("notes lock poisoned")
    }

    /// Tells whether this instance is an established leader.
    pub(crate) fn is_leader(&self) -> bool {
        self.voter.borrow().as_ref().is_some_and(Voter::is_leader)
    }

    /// Returns where the leader is, as far as this instance knows.
    pub(crate) fn leader(&self) -> Option<MemberLocation> {
        let known = self.voter.borrow().as_ref().and_then(leader_known);
        known.or_else(|| self.hint.borrow().clone())
    }

    /// Tells whether the members are learned from the group.
    pub(crate) fn discovers(&self) -> bool {
        self.discover
    }

    /// Notes where the members are, for the time when the configured addresses are gone.
    pub(crate) fn learn_members(&self, members: &[String]) {
        if self.discover {
            let addresses = members.iter().filter_map(|address| address.parse().ok());
            *self.learned.borrow_mut() = addresses.collect();
        }
    }

    /// Returns the addresses at which voters may be: learned ones first, then configured ones.
    pub(crate) fn upstreams(&self) -> Vec<SocketAddr> {
        let mut addresses = self.learned.borrow().clone();
        if self.discover
            && let Some(voter) = self.voter.borrow().as_ref()
        {
            let members = voter.raft().members().iter();
            addresses.extend(members.filter_map(|(_, m)| m.address.parse::<SocketAddr>().ok()));
        }
        // All instances know the same addresses at the start, and not all begin with the first one.
        let mut configured: Vec<_> = self.peers.iter().map(|peer| peer.address).collect();
        if self.discover && !configured.is_empty() {
            let turn = affinity::hash_name(self.me.instance.as_str());
            let turn = turn % configured.len() as u64;
            configured.rotate_left(turn as usize);
        }
        addresses.extend(configured);
        let mut seen = BTreeSet::new();
        addresses.retain(|address| *address != self.address && seen.insert(*address));
        addresses
    }

    /// Returns the address for a member: the configured one of its name, or the stated one.
    pub(crate) fn resolve(&self, place: &MemberLocation) -> Option<SocketAddr> {
        let configured = self.peers.iter().find(|peer| peer.name == place.instance);
        match configured {
            Some(peer) => Some(peer.address),
            None => place.address.parse().ok(),
        }
    }

    /// Returns the address to ask after `failed` did not help.
    pub(crate) fn next_upstream(&self, failed: Option<SocketAddr>) -> Option<SocketAddr> {
        let now = Instant::now();
        let avoided = self.avoided.borrow();
        let usable_after = |address: &SocketAddr, pause: Duration| {
            let last = avoided.get(address);
            *address != self.address && last.is_none_or(|at| now >= *at + pause)
        };
        let usable = |address: &SocketAddr| usable_after(address, AVOID);
        let leader = self.leader().and_then(|leader| self.resolve(&leader));
        let leader = leader.filter(|address| usable_after(address, AVOID_LEADER));
        if leader.is_some() && leader != failed {
            return leader;
        }
        let addresses = self.upstreams();
        let start = failed
            .and_then(|failed| addresses.iter().position(|address| *address == failed))
            .map_or(0, |position| position + 1);
        let turn = || addresses.iter().cycle().skip(start).take(addresses.len());
        turn()
            .find(|address| usable(address))
            .or(turn().next())
            .copied()
    }

    /// Tells whether an upstream did not answer lately.
    pub(crate) fn is_avoided(&self, address: SocketAddr, now: Instant) -> bool {
        let avoided = self.avoided.borrow();
        avoided.get(&address).is_some_and(|at| now < *at + AVOID)
    }

    /// Notes that an upstream did not answer.
    pub(crate) fn avoid(&self, address: SocketAddr) {
        self.avoided.borrow_mut().insert(address, Instant::now());
        let hint = self.hint.borrow().clone();
        if hint.and_then(|hint| self.resolve(&hint)) == Some(address) {
            self.set_hint(None);
        }
    }

    /// Notes what a peer said about the leader.
    pub(crate) fn set_hint(&self, leader: Option<MemberLocation>) {
        *self.hint.borrow_mut() = leader.filter(|leader| leader.instance != self.me.instance);
    }

    /// Carries out what the replication core asks for, and publishes what changed.
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
            Some(Err(error)) => {
                tracing::error!(%error, "stopped voting because of its storage");
                *self.storage_error.borrow_mut() = Some(error.to_string());
                self.voter.borrow_mut().take();
            }
            None => {}
        }
        self.publish_own(now);
    }

    fn send(&self, messages: &[Outgoing]) {
        for outgoing in messages {
            let (from, address) = {
                let voter = self.voter.borrow();
                let Some(voter) = voter.as_ref() else { return };
                let member = voter.raft().members().get(outgoing.to);
                let known = member.and_then(|m| self.resolve(&whereabouts(m)));
                let learned = self.senders.borrow().get(&outgoing.to).copied();
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

    /// Takes the leader's own state as the view of this instance, and wakes polls that wait.
    fn publish_own(&self, now: Instant) {
        let mut voter = self.voter.borrow_mut();
        let Some(voter) = voter.as_mut() else { return };
        let age = voter.age(now);
        let revision = voter.state().suspects().revision();
        let leads = voter.is_leader();
        let list = self.shared.list.revision();
        let mut seen = (leads, Version(0), Version(0), revision, list);
        if let Some(publisher) = voter.publisher() {
            let settled = publisher.settled(now);
            let view = publisher.view().clone();
            seen = (leads, view.version(), settled, revision, list);
            *self.relay.borrow_mut() = None;
            if let Some(fresh) = age.and_then(|age| now.checked_sub(age)) {
                let epoch = publisher.epoch();
                self.subscriber
                    .borrow_mut()
                    .install_own(&view, fresh, epoch, settled);
                self.publish();
            }
            if revision != self.revision.get() {
                self.install_suspects(&Suspects::from_state(voter.state().suspects()));
            }
        }
        if self.seen.replace(seen) != seen {
            self.news.notify_waiters();
        }
    }

    /// Makes the view and its lease visible to traffic threads.
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
            end,
            wall_end: end.map(|end| wall + end.saturating_duration_since(now)),
        };
        *self.shared.published.write().expect("view lock poisoned") = published;
    }

    /// Makes the suspects visible to traffic threads.
    pub(crate) fn install_suspects(&self, suspects: &Suspects) {
        let map = suspects.list.iter().map(|(fingerprint, quarantined)| {
            let held = if *quarantined {
                Suspicion::Quarantined
            } else {
                Suspicion::Suspect
            };
            (*fingerprint, held)
        });
        let map = Arc::new(map.collect());
        *self
            .shared
            .suspects
            .write()
            .expect("suspects lock poisoned") = map;
        self.revision.set(suspects.revision);
    }

    /// Returns the version that is in force everywhere, as far as this instance knows.
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

    /// Waits until a version is in force everywhere; returns whether it is.
    pub(crate) async fn await_version(&self, version: Version, deadline: Instant) -> bool {
        while self.settled() < version {
            if Instant::now() >= deadline {
                return false;
            }
            self.watch.set(self.watch.get().max(Some(version)));
            self.repoll.notify_one();
            let news = self.news.notified();
            let _ = tokio::time::timeout(remaining(deadline).min(POLL_HOLD), news).await;
        }
        true
    }

    /// Wakes those who wait for news of the view.
    pub(crate) fn notify_news(&self) {
        self.news.notify_waiters();
    }

    /// Submits a command to the leader, wherever it is, until the deadline.
    ///
    /// A command is submitted again only when it was certainly not proposed, or when the state
    /// machine recognises a repetition.
    pub(crate) async fn submit(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<Reply, SubmitError> {
        let repeatable = is_repeatable(&command);
        let mut doubt = false;
        let mut failed = None;
        loop {
            let answer = if self.is_leader() {
                self.submit_here(command.clone(), deadline).await
            } else {
                self.submit_there(&command, deadline, &mut failed).await
            };
            match answer {
                Ok(reply) => return Ok(reply),
                Err(SubmitError::Unknown) if !repeatable => return Err(SubmitError::Unknown),
                Err(SubmitError::Unknown) => doubt = true,
                Err(SubmitError::NotProposed) => {}
            }
            if remaining(deadline) < ATTEMPT_MIN {
                return Err(match doubt {
                    true => SubmitError::Unknown,
                    false => SubmitError::NotProposed,
                });
            }
            pause_before_retry().await;
        }
    }

    /// Proposes a command to the own replication core.
    pub(crate) async fn submit_here(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<Reply, SubmitError> {
        let receiver = self.propose(command).ok_or(SubmitError::NotProposed)?;
        match tokio::time::timeout(remaining(deadline), receiver).await {
            Ok(Ok(answer)) => answer,
            // The reply is late, or the member was dropped after the proposal.
            Ok(Err(_)) | Err(_) => Err(SubmitError::Unknown),
        }
    }

    pub(crate) fn propose(
        &self,
        command: Command,
    ) -> Option<oneshot::Receiver<Result<Reply, SubmitError>>> {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let mut voter = self.voter.borrow_mut();
        let receiver = voter.as_mut()?.propose(now, wall, command).ok()?;
        self.kick.notify_one();
        Some(receiver)
    }

    async fn submit_there(
        &self,
        command: &Command,
        deadline: Instant,
        failed: &mut Option<SocketAddr>,
    ) -> Result<Reply, SubmitError> {
        let address = self
            .next_upstream(*failed)
            .ok_or(SubmitError::NotProposed)?;
        *failed = Some(address);
        let link = self.link(address);
        let patience = remaining(deadline).min(POLL_HOLD);
        if !link.connected(patience).await || remaining(deadline) < ATTEMPT_MIN {
            return Err(SubmitError::NotProposed);
        }
        let limit = match is_repeatable(command) {
            true => remaining(deadline).min(ATTEMPT_TIMEOUT),
            false => remaining(deadline),
        };
        let request = encode(&LeaderRequest::Submit {
            command: command.clone(),
            timeout: limit,
        });
        let answer = match link.submit(&request, limit).await {
            Ok(answer) => answer,
            Err(crate::peer::CallError::NotConnected) => return Err(SubmitError::NotProposed),
            Err(crate::peer::CallError::Lost) => {
                self.avoid(address);
                return Err(SubmitError::Unknown);
            }
        };
        match decode(&answer) {
            Some(LeaderResponse::Applied(reply)) => {
                *failed = None;
                Ok(reply)
            }
            Some(LeaderResponse::NotProposed) => Err(SubmitError::NotProposed),
            _ => Err(SubmitError::Unknown),
        }
    }

    /// Returns the newest changes from the leader, wherever it is.
    pub(crate) async fn history(
        &self,
        count: u32,
        deadline: Instant,
    ) -> Option<Vec<CommittedChange>> {
        let request = encode(&LeaderRequest::History { count });
        let mut failed = None;
        while Instant::now() < deadline {
            if let Some(changes) = self.own_history(count) {
                return Some(changes);
            }
            let address = self.next_upstream(failed)?;
            failed = Some(address);
            let link = self.link(address);
            let limit = remaining(deadline).min(POLL_TIMEOUT);
            if link.connected(limit).await
                && let Ok(answer) = link.submit(&request, limit).await
                && let Some(LeaderResponse::History(changes)) = decode(&answer)
            {
                return Some(changes);
            }
            pause_before_retry().await;
        }
        None
    }

    pub(crate) fn own_history(&self, count: u32) -> Option<Vec<CommittedChange>> {
        let voter = self.voter.borrow();
        let voter = voter.as_ref().filter(|voter| voter.is_leader())?;
        voter.age(self.clock.now())?;
        let count = count.min(MAX_HISTORY) as usize;
        let changes = voter.state().changes().rev().take(count);
        Some(changes.cloned().collect())
    }
}

/// Returns the leader as a voter knows it.
pub(crate) fn leader_known(voter: &Voter) -> Option<MemberLocation> {
    let member = voter.raft().members().get(voter.raft().leader()?)?;
    Some(whereabouts(member))
}

pub(crate) fn whereabouts(member: &Member) -> MemberLocation {
    MemberLocation {
        instance: member.instance.clone(),
        address: member.address.clone(),
    }
}

/// Tells whether the state machine gives a repeated command the same reply and no second effect.
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
            | Command::Acquit { .. }
    )
}

/// Waits a short random time, so that instances that lost their leader do not ask in step.
pub(crate) async fn pause_before_retry() {
    let pause = rand::rng().random_range(RETRY_MIN..RETRY_MAX);
    tokio::time::sleep(pause).await;
}
