//! The control thread: replication, storage, leases and polls of one process.
//!
//! It runs on a thread of its own with a current-thread runtime. Traffic threads reach it through
//! [`crate::cluster_control`].

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::cluster_control::ClusterControl;
use crate::code::ResultCode;
use crate::command::Change;
use crate::command::Command;
use crate::command::Incarnation;
use crate::command::Reply;
use crate::command::UsageTerms;
use crate::control_core::Core;
use crate::control_core::PeerAddress;
use crate::control_core::Peers;
use crate::control_poll::keep_polling;
use crate::control_poll::poll_once;
use crate::control_poll::report_own_usage;
use crate::control_shared::LeaseStatus;
use crate::control_shared::MemberStatus;
use crate::control_shared::Request;
use crate::control_shared::Shared;
use crate::control_shared::Status;
use crate::control_shared::remaining;
use crate::ids::InstanceId;
use crate::peer;
use crate::peer::Identity;
use crate::peer::Secrets;
use crate::peer_message::JoinRequest;
use crate::peer_message::JoinResponse;
use crate::peer_message::decode;
use crate::peer_message::encode;
use crate::raft::Config as RaftConfig;
use crate::raft_member::Membership;
use crate::raft_message::MemberId;
use crate::storage::LogStore;
use crate::view::Edit;
use crate::view::Version;
use crate::voter::Opened;

/// Interval at which a secret file is read again.
pub const SECRET_PERIOD: Duration = Duration::from_secs(2);

const DRIVE_MIN: Duration = Duration::from_millis(1);
const DRIVE_MAX: Duration = Duration::from_millis(50);
const MEMBER_PERIOD: Duration = Duration::from_millis(250);
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
const INITIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a control thread needs to start.
pub struct Config {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Where peers connect to.
    pub listener: std::net::TcpListener,
    /// The address under which peers reach this instance.
    pub address: SocketAddr,
    /// The voters, or with `discover` some instances through which the group is found.
    pub peers: Vec<PeerAddress>,
    /// Whether `peers` are only a start: the members are learned from the group.
    pub discover: bool,
    /// Instances up to which all poll the leader itself, and beyond which voters relay.
    pub direct: u32,
    /// Length of usage windows.
    pub terms: UsageTerms,
    /// Storage of a voter.
    pub store: Option<Box<dyn LogStore + Send>>,
    /// Whether the voters form a new group if none of them has one.
    pub bootstrap: bool,
    /// Rules of a new group.
    pub rules: Vec<Edit>,
    /// Secrets of the cluster.
    pub secrets: Secrets,
    /// File that the secrets are read from again when it changes.
    pub secret_file: Option<PathBuf>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// A running control thread.
pub struct ControlThread {
    control: ClusterControl,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread; a data folder that cannot be used is an error.
    pub fn start(config: Config) -> eyre::Result<Self> {
        let me = Incarnation {
            instance: config.instance.clone(),
            number: rand::rng().random(),
        };
        let (shared, requests) = Shared::new(config.terms);
        let control = ClusterControl::new(me.clone(), shared.clone(), config.clock.clone());
        config.listener.set_nonblocking(true)?;
        let handle = shared.clone();
        let (ready, started) = crossbeam::channel::bounded(1);
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build();
                match runtime {
                    Ok(runtime) => {
                        let _ = ready.send(Ok(()));
                        LocalSet::new().block_on(&runtime, run(config, me, handle, requests));
                    }
                    Err(error) => drop(ready.send(Err(error))),
                }
            })?;
        started.recv()??;
        Ok(Self {
            control,
            shared,
            thread,
        })
    }

    /// Returns the access for traffic threads and operators.
    pub fn control(&self) -> ClusterControl {
        self.control.clone()
    }

    /// Hands leadership over, sends the last usage report and stops the thread.
    pub fn stop(self, limit: Duration) {
        let deadline = Instant::now() + limit;
        self.shared.send(Request::Stop { deadline });
        let _ = self.thread.join();
    }

    /// Stops the thread at once, as a crash does, for tests and measurements.
    pub fn halt(self) {
        self.shared.send(Request::Halt);
        let _ = self.thread.join();
    }
}

async fn run(config: Config, me: Incarnation, shared: Arc<Shared>, requests: Receiver<Request>) {
    let identity = Identity {
        name: config.instance.clone(),
        secrets: config.secrets.clone(),
        counters: Rc::default(),
    };
    let core = Core::new(
        me,
        identity.clone(),
        config.address,
        Peers {
            list: config.peers,
            discover: config.discover,
            direct: config.direct,
        },
        config.clock,
        shared.clone(),
    );
    if let Some(store) = config.store {
        open_store(&core, store);
    }
    match TcpListener::from_std(config.listener) {
        Ok(listener) => drop(spawn_local(peer::serve(listener, identity, core.clone()))),
        Err(error) => tracing::error!(%error, "cannot serve peers"),
    }
    spawn_local(keep_joined(core.clone(), config.bootstrap));
    spawn_local(keep_driving(core.clone()));
    spawn_local(keep_polling(core.clone()));
    spawn_local(keep_members(core.clone()));
    if !config.rules.is_empty() {
        core.awaits_rules.set(true);
        spawn_local(submit_initial(core.clone(), config.rules));
    }
    if let Some(file) = config.secret_file {
        spawn_local(keep_secrets(file, config.secrets));
    }
    loop {
        shared.woken().await;
        while let Ok(request) = requests.try_recv() {
            match request {
                Request::Stop { deadline } => return stop(&core, deadline).await,
                Request::Halt => return,
                request => drop(spawn_local(answer(core.clone(), request))),
            }
        }
    }
}

fn open_store(core: &Rc<Core>, store: Box<dyn LogStore>) {
    let fresh = MemberId(rand::rng().random());
    match Opened::new(store, fresh) {
        Ok(opened) if opened.grouped => start_voter(core, opened),
        Ok(opened) => *core.opened.borrow_mut() = Some(opened),
        Err(error) => refuse_to_vote(core, &error),
    }
}

fn refuse_to_vote(core: &Rc<Core>, error: &dyn std::fmt::Display) {
    tracing::error!(%error, "does not vote because of its storage");
    *core.storage_error.borrow_mut() = Some(error.to_string());
}

fn start_voter(core: &Rc<Core>, opened: Opened) {
    let seed = rand::rng().random();
    match opened.start(RaftConfig::default(), seed, core.clock.now()) {
        Ok(voter) => {
            *core.voter.borrow_mut() = Some(voter);
            core.kick.notify_one();
        }
        Err(error) => refuse_to_vote(core, &error),
    }
}

async fn answer(core: Rc<Core>, request: Request) {
    match request {
        Request::Submit {
            command,
            deadline,
            claim,
            reply,
        } => {
            if claim.take() {
                let _ = reply.try_send(core.submit(command, deadline).await);
            }
        }
        Request::AwaitVersion {
            version,
            deadline,
            reply,
        } => {
            let _ = reply.try_send(core.await_version(version, deadline).await);
        }
        Request::History {
            count,
            deadline,
            reply,
        } => {
            let _ = reply.try_send(core.history(count, deadline).await);
        }
        Request::Status { reply } => {
            *core.shared.status.lock().expect("status lock poisoned") = status(&core);
            let _ = reply.try_send(());
        }
        Request::Inspect(inspect) => {
            let voter = core.voter.borrow();
            if let Some(voter) = voter.as_ref().filter(|voter| voter.is_leader()) {
                inspect.0(voter.state());
            }
        }
        Request::Stop { .. } | Request::Halt => {}
    }
}

/// Calls the replication core whenever it has something to do.
async fn keep_driving(core: Rc<Core>) {
    loop {
        core.drive();
        let wake = core.voter.borrow().as_ref().map(|voter| voter.wake_at());
        let pause = wake.map_or(DRIVE_MAX, |wake| {
            let now = core.clock.now();
            wake.saturating_duration_since(now)
                .clamp(DRIVE_MIN, DRIVE_MAX)
        });
        if wake.is_some() {
            let _ = timeout(pause, core.kick.notified()).await;
        } else {
            core.kick.notified().await;
        }
    }
}

/// Promotes learners on the leader, and asks to become a member on a voter that is none.
async fn keep_members(core: Rc<Core>) {
    loop {
        sleep(MEMBER_PERIOD).await;
        let now = core.clock.now();
        let outside = {
            let mut voter = core.voter.borrow_mut();
            let Some(voter) = voter.as_mut() else {
                continue;
            };
            voter.promote_learners(now);
            if core.discovers() {
                voter.remove_failed(now);
            }
            let id = voter.id();
            // A voter that was removed while it was cut off hears from no leader and does not know.
            let lost = core.discovers() && voter.raft().leader().is_none();
            (lost || voter.raft().members().get(id).is_none()).then_some(id)
        };
        if let Some(id) = outside {
            ask_to_join(&core, id).await;
        }
        core.kick.notify_one();
    }
}

/// Asks the leader to add the own identity as a learner.
async fn ask_to_join(core: &Rc<Core>, id: MemberId) {
    let mut addresses = core.upstreams();
    // Only the leader adds members, and it need not be among the known addresses.
    let leader = core.leader().and_then(|leader| core.resolve(&leader));
    addresses.extend(leader.filter(|address| !addresses.contains(address)));
    let mut asked = BTreeSet::new();
    while let Some(address) = addresses.pop() {
        if address == core.address || !asked.insert(address) {
            continue;
        }
        if let Some(JoinResponse::Grouped { leader, .. }) = introduce(core, id, address).await {
            addresses.extend(leader.and_then(|leader| core.resolve(&leader)));
        }
    }
}

async fn introduce(core: &Rc<Core>, id: MemberId, address: SocketAddr) -> Option<JoinResponse> {
    let request = encode(&JoinRequest {
        id,
        instance: core.me.instance.clone(),
        address: core.address.to_string(),
    });
    let link = core.link(address);
    if !link.connected(JOIN_TIMEOUT).await {
        return None;
    }
    let answer = link.join(&request, JOIN_TIMEOUT).await.ok()?;
    decode(&answer)
}

/// Finds the group of an instance with an unused data folder, or forms it with the other voters.
async fn keep_joined(core: Rc<Core>, bootstrap: bool) {
    loop {
        let Some(id) = core.opened.borrow().as_ref().map(|opened| opened.id) else {
            return;
        };
        let mut fresh = vec![(id, core.me.instance.clone(), core.address.to_string())];
        let mut grouped = false;
        let mut founded = None;
        for peer in core.peers.clone() {
            if peer.address == core.address {
                continue;
            }
            match introduce(&core, id, peer.address).await {
                Some(JoinResponse::Unused { id, instance }) => {
                    fresh.push((id, instance, peer.address.to_string()));
                }
                Some(JoinResponse::Grouped {
                    member,
                    initial_voters,
                    ..
                }) => {
                    grouped = true;
                    founded = founded.or(initial_voters.filter(|_| member));
                }
                Some(JoinResponse::NotVoter) | None => {}
            }
        }
        tracing::debug!(fresh = fresh.len(), grouped, "looked for the group");
        let is_me = |peer: &PeerAddress| peer.address == core.address;
        let alone = !core.discovers() && core.peers.iter().all(is_me);
        // Those that the seeds do not name wait for the group and join it.
        let founder = !core.discovers() || core.peers.iter().any(is_me);
        let complete = alone || (founder && fresh.len() == core.peers.len());
        if grouped || (complete && (bootstrap || alone)) {
            let Some(mut opened) = core.opened.borrow_mut().take() else {
                return;
            };
            // One that only joined would not vote, and the founder could not win an election.
            let members = match founded.filter(|_| bootstrap) {
                Some(members) if members.voters().count() == core.peers.len() => Some(members),
                _ => (!grouped).then(|| Membership::of_voters(fresh)),
            };
            if let Some(members) = members
                && let Err(error) = opened.bootstrap(members)
            {
                return refuse_to_vote(&core, &error);
            }
            return start_voter(&core, opened);
        }
        sleep(MEMBER_PERIOD).await;
    }
}

/// Submits the initial rules to a group that has none, and then lets the view be served.
async fn submit_initial(core: Rc<Core>, rules: Vec<Edit>) {
    loop {
        let held = core.subscriber.borrow().version();
        if held > Some(Version(0)) {
            return;
        }
        // Voters with the same rules submit them under one id, so the first one counts.
        let change = Change {
            id: "initial".into(),
            expected: Version(0),
            author: core.me.instance.to_string(),
            edits: rules.clone(),
        };
        let deadline = Instant::now() + INITIAL_TIMEOUT;
        match core.submit(Command::Apply(change), deadline).await {
            Ok(reply) => {
                tracing::info!(?reply, "submitted the initial rules");
                if !leads_to_rules(&reply) {
                    core.awaits_rules.set(false);
                    core.publish();
                }
                return;
            }
            Err(error) => tracing::warn!(%error, "cannot submit the initial rules yet"),
        }
    }
}

/// Tells whether the group has rules after this reply, its own or those of another voter.
fn leads_to_rules(reply: &Reply) -> bool {
    match reply {
        Reply::Applied { .. } => true,
        Reply::Refused { code, .. } => matches!(
            code,
            ResultCode::VersionConflict | ResultCode::ChangeIdReused
        ),
        _ => false,
    }
}

/// Reads a secret file again when it changes.
async fn keep_secrets(file: PathBuf, secrets: Secrets) {
    let mut last = String::new();
    loop {
        match std::fs::read_to_string(&file) {
            Ok(text) if text != last => {
                match secrets.replace(&text) {
                    Ok(()) => tracing::info!("read the peer secrets"),
                    Err(error) => tracing::error!(%error, "kept the earlier peer secrets"),
                }
                last = text;
            }
            Ok(_) => {}
            Err(error) => tracing::error!(%error, "cannot read the peer secrets"),
        }
        sleep(SECRET_PERIOD).await;
    }
}

async fn stop(core: &Rc<Core>, deadline: Instant) {
    if core.is_leader() {
        let mut reported = None;
        let _ = timeout(remaining(deadline), report_own_usage(core, &mut reported)).await;
        hand_over(core, deadline).await;
    } else if let Some(address) = core.poll_upstream(None, None) {
        let mut reported = None;
        let last = poll_once(core, address, &mut reported);
        let _ = timeout(remaining(deadline), last).await;
    }
}

async fn hand_over(core: &Rc<Core>, deadline: Instant) {
    while core.is_leader() && Instant::now() < deadline {
        let transferred = {
            let mut voter = core.voter.borrow_mut();
            voter.as_mut().map(|voter| voter.transfer(core.clock.now()))
        };
        match transferred {
            Some(Ok(id)) => tracing::info!(%id, "hands leadership over"),
            Some(Err(error)) => tracing::debug!(%error, "cannot hand leadership over"),
            None => return,
        }
        core.kick.notify_one();
        sleep(DRIVE_MAX).await;
    }
    // The messages of the last step go out before the thread ends.
    sleep(DRIVE_MAX).await;
}

fn status(core: &Rc<Core>) -> Status {
    let now = core.clock.now();
    let in_force = core.settled();
    let subscriber = core.subscriber.borrow();
    let end = subscriber.lease().valid_until();
    let counters = &core.identity.counters;
    let mut status = Status {
        instance: core.me.instance.to_string(),
        role: "none".to_owned(),
        term: subscriber.epoch(),
        leader: core.leader().map(|leader| leader.instance.to_string()),
        version: subscriber.version(),
        in_force,
        lease_ms: end.map_or(0, |end| {
            end.saturating_duration_since(now).as_millis() as u64
        }),
        storage_error: core.storage_error.borrow().clone(),
        received_bytes: counters.received.get(),
        sent_bytes: counters.sent.get(),
        calls: counters.calls.get(),
        ..Status::default()
    };
    let mut voter = core.voter.borrow_mut();
    let Some(voter) = voter.as_mut() else {
        return status;
    };
    status.role = voter.raft().role().to_string();
    status.term = voter.raft().term().0;
    status.leases = LeaseStatus::of(voter.state().leases());
    let frozen = voter.state().usage().frozen();
    status.unreported = frozen.map(|(window, _)| window).collect();
    let health = voter.raft().health(now);
    status.members = voter
        .raft()
        .members()
        .iter()
        .map(|(id, member)| MemberStatus {
            id: format!("{:016x}", id.0),
            instance: member.instance.to_string(),
            address: member.address.clone(),
            voting: member.voting,
            silent_ms: health
                .iter()
                .find(|health| health.id == id)
                .map(|health| health.silent.as_millis() as u64),
        })
        .collect();
    if let Some(publisher) = voter.publisher() {
        let version = publisher.view().version();
        let name = |life: &Incarnation| life.instance.to_string();
        status.instances = publisher.holders(now).map(name).collect();
        status.instances.sort();
        let counts = core.counts.borrow();
        let counts = status
            .instances
            .iter()
            .map(|name| counts.get(name.as_str()));
        status.relayed = counts.flatten().sum();
        status.lagging = publisher.laggards(now, version).map(name).collect();
    }
    status
}

/// Binds a listener for peers.
pub fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    std::net::TcpListener::bind(address)
}
