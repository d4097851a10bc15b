//! The control thread: replication, storage, leases and polls of one process.
//!
//! It runs a current-thread runtime on a dedicated thread. Traffic threads access it through
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
use crossbeam::channel::bounded;
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
use crate::control_poll::poll_continuously;
use crate::control_poll::poll_once;
use crate::control_poll::report_own_usage;
use crate::control_probe::probe_unresponsive;
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
use crate::raft_member::ReplacementPolicy;
use crate::raft_message::MemberId;
use crate::storage::LogStore;
use crate::storage_retry;
use crate::supervision;
use crate::supervision::run_vital_task;
use crate::view::Edit;
use crate::view::Version;
use crate::voter::DataFolder;
use crate::warning_limit::WarningLimit;

/// Interval at which the file of peer secrets is read again.
pub const SECRET_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time to sleep until the next deadline of the Raft member.
const MIN_DRIVE_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum time between two calls of [`Core::drive`] on a voter.
const MAX_DRIVE_INTERVAL: Duration = Duration::from_millis(50);

/// Delay from which a wake of the control thread counts as late: one heartbeat is missed.
const LATE_WAKE: Duration = Duration::from_millis(100);

/// Interval of membership checks, and of attempts to find a group.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a join request.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of one attempt to submit the initial rules.
const INITIAL_RULES_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration of a control thread.
pub struct Config {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Listener for connections of peers.
    pub listener: std::net::TcpListener,
    /// Address at which peers reach this instance.
    pub address: SocketAddr,
    /// All voters, or, with `discover`, the seeds through which the group is found.
    pub peers: Vec<PeerAddress>,
    /// Whether `peers` are only seeds and the members are learned from the group.
    pub discover: bool,
    /// Maximum number of instances in the cluster for which all poll the leader directly; in a larger
    /// cluster, voters relay.
    pub max_direct_pollers: u32,
    /// Terms of usage windows.
    pub terms: UsageTerms,
    /// Storage of the Raft log; makes the instance a voter.
    pub store: Option<Box<dyn LogStore + Send>>,
    /// Whether the voters form a new group if none of them has one.
    pub bootstrap: bool,
    /// Initial rules of a new group.
    pub rules: Vec<Edit>,
    /// Secrets that authenticate peers.
    pub secrets: Secrets,
    /// File from which the secrets are read again when it changes.
    pub secret_file: Option<PathBuf>,
    /// Clock of the process.
    pub clock: Arc<dyn Clock>,
}

/// A running control thread.
pub struct ControlThread {
    control: ClusterControl,
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Starts the thread; fails if the listener or the runtime cannot be set up.
    ///
    /// With unusable storage the thread starts, but the instance does not vote.
    pub fn start(config: Config) -> eyre::Result<Self> {
        let incarnation = Incarnation {
            instance: config.instance.clone(),
            number: rand::rng().random(),
        };
        let (shared, requests) = Shared::new(config.terms);
        let control =
            ClusterControl::new(incarnation.clone(), shared.clone(), config.clock.clone());
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
                        supervision::run_vital("control thread", || {
                            LocalSet::new()
                                .block_on(&runtime, run(config, incarnation, handle, requests));
                        });
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

    /// Returns a handle for traffic threads and operators.
    pub fn control(&self) -> ClusterControl {
        self.control.clone()
    }

    /// Transfers leadership, sends the last usage report and stops the thread.
    pub fn stop(self, limit: Duration) {
        let deadline = Instant::now() + limit;
        self.shared.send(Request::Stop { deadline });
        let _ = self.thread.join();
    }

    /// Stops the thread immediately, like a crash, for tests and measurements.
    pub fn halt(self) {
        self.shared.send(Request::Halt);
        let _ = self.thread.join();
    }
}

/// Starts the tasks of the control thread and processes requests until a stop.
async fn run(
    config: Config,
    incarnation: Incarnation,
    shared: Arc<Shared>,
    requests: Receiver<Request>,
) {
    let identity = Identity {
        name: config.instance.clone(),
        secrets: config.secrets.clone(),
        counters: Rc::default(),
    };
    let core = Core::new(
        incarnation,
        identity.clone(),
        config.address,
        Peers {
            addresses: config.peers,
            discover: config.discover,
            max_direct_pollers: config.max_direct_pollers,
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
    spawn_local(run_vital_task(
        "group membership",
        join_group(core.clone(), config.bootstrap),
    ));
    spawn_local(run_vital_task(
        "storage",
        restore_voting(core.clone(), config.bootstrap),
    ));
    spawn_local(run_vital_task(
        "replication",
        drive_replication(core.clone()),
    ));
    spawn_local(run_vital_task("polls", poll_continuously(core.clone())));
    spawn_local(run_vital_task("probes", probe_unresponsive(core.clone())));
    spawn_local(run_vital_task("members", maintain_members(core.clone())));
    if !config.rules.is_empty() {
        core.awaits_rules.set(true);
        spawn_local(submit_initial_rules(core.clone(), config.rules));
    }
    if let Some(file) = config.secret_file {
        spawn_local(reload_secrets(file, config.secrets));
    }
    loop {
        shared.wait_for_requests().await;
        while let Ok(request) = requests.try_recv() {
            match request {
                Request::Stop { deadline } => return stop(&core, deadline).await,
                Request::Halt => return,
                request => drop(spawn_local(answer(core.clone(), request))),
            }
        }
    }
}

/// Opens the storage, and starts the voter if the data folder belongs to a group.
fn open_store(core: &Rc<Core>, store: Box<dyn LogStore + Send>) {
    let fresh = MemberId(rand::rng().random());
    match DataFolder::open(store, fresh) {
        Ok(folder) => use_folder(core, folder),
        Err((store, error)) if error.is_temporary() => {
            disable_voting(core, &error);
            let (sender, receiver) = bounded(1);
            if sender.send(store).is_ok() {
                *core.reopening.borrow_mut() = Some(storage_retry::reopen(receiver, fresh));
                core.storage_failed.notify_one();
            }
        }
        Err((_, error)) => disable_voting(core, &error),
    }
}

/// Starts the voter if the folder belongs to a group, and keeps the folder otherwise.
fn use_folder(core: &Rc<Core>, folder: DataFolder) {
    match folder.grouped {
        true => start_voter(core, folder),
        false => *core.unused_folder.borrow_mut() = Some(folder),
    }
}

/// Resumes voting each time the storage can be used again after it failed.
async fn restore_voting(core: Rc<Core>, bootstrap: bool) {
    loop {
        core.storage_failed.notified().await;
        let Some(reopening) = core.reopening.borrow_mut().take() else {
            continue;
        };
        let failed_at = Instant::now();
        match reopening.await {
            Ok(Ok(folder)) => {
                let failed_ms = failed_at.elapsed().as_millis() as u64;
                tracing::info!(failed_ms, "the storage can be used again");
                *core.storage_error.borrow_mut() = None;
                let is_unused = !folder.grouped;
                use_folder(&core, folder);
                if is_unused {
                    spawn_local(run_vital_task(
                        "group membership",
                        join_group(core.clone(), bootstrap),
                    ));
                }
            }
            Ok(Err(error)) => disable_voting(&core, &error),
            Err(_) => tracing::error!("the storage is not opened again"),
        }
    }
}

/// Records a storage error, with which the instance runs on without a vote.
fn disable_voting(core: &Rc<Core>, error: &dyn std::fmt::Display) {
    tracing::error!(%error, "cannot use the storage; this instance does not vote");
    *core.storage_error.borrow_mut() = Some(error.to_string());
}

fn start_voter(core: &Rc<Core>, folder: DataFolder) {
    let seed = rand::rng().random();
    let drive_requested = Arc::clone(&core.drive_requested);
    let wake = move || drive_requested.notify_one();
    match folder.start(RaftConfig::default(), seed, core.clock.now(), wake) {
        Ok(voter) => {
            *core.voter.borrow_mut() = Some(voter);
            core.drive_requested.notify_one();
        }
        Err(error) => disable_voting(core, &error),
    }
}

/// Answers a request of a traffic thread.
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

/// Drives the Raft member whenever it has something to do.
async fn drive_replication(core: Rc<Core>) {
    let mut late_wakes = WarningLimit::default();
    loop {
        core.drive();
        let wake = core.voter.borrow().as_ref().map(|voter| voter.wake_at());
        let pause = wake.map_or(MAX_DRIVE_INTERVAL, |wake| {
            let now = core.clock.now();
            wake.saturating_duration_since(now)
                .clamp(MIN_DRIVE_INTERVAL, MAX_DRIVE_INTERVAL)
        });
        if wake.is_some() {
            let due = Instant::now() + pause;
            let _ = timeout(pause, core.drive_requested.notified()).await;
            warn_if_late(due, &mut late_wakes);
        } else {
            core.drive_requested.notified().await;
        }
    }
}

/// Logs that the control thread got no processor in time, or was kept busy by another of its tasks.
fn warn_if_late(due: Instant, warnings: &mut WarningLimit) {
    let now = Instant::now();
    let late = now.saturating_duration_since(due);
    if late >= LATE_WAKE
        && let Some(suppressed) = warnings.pass(now)
    {
        let late_ms = late.as_millis() as u64;
        tracing::warn!(late_ms, suppressed, "the control thread woke late");
    }
}

/// Replaces failed members on the leader; on a voter that is no member, requests to join.
async fn maintain_members(core: Rc<Core>) {
    let policy = ReplacementPolicy {
        removes_silent: core.discovers_members(),
        ..ReplacementPolicy::default()
    };
    loop {
        sleep(MEMBERSHIP_INTERVAL).await;
        let now = core.clock.now();
        core.log_lagging(now);
        let outside = {
            let mut voter = core.voter.borrow_mut();
            let Some(voter) = voter.as_mut() else {
                continue;
            };
            voter.replace_members(now, &policy);
            let id = voter.id();
            // A voter that was removed during a partition hears from no leader and is not aware of it.
            let lost = core.discovers_members() && voter.raft().leader().is_none();
            (lost || voter.raft().members().get(id).is_none()).then_some(id)
        };
        if let Some(id) = outside {
            ask_to_join(&core, id).await;
        }
        core.drive_requested.notify_one();
    }
}

/// Requests the leader to add this instance as a learner.
async fn ask_to_join(core: &Rc<Core>, id: MemberId) {
    let mut addresses = core.upstream_candidates();
    // Only the leader adds members, and its address may not be among the candidates.
    let leader = core.leader().and_then(|leader| core.resolve(&leader));
    addresses.extend(leader.filter(|address| !addresses.contains(address)));
    let mut asked = BTreeSet::new();
    while let Some(address) = addresses.pop() {
        if address == core.address || !asked.insert(address) {
            continue;
        }
        if let Some(JoinResponse::Grouped { leader, .. }) =
            send_join_request(core, id, address).await
        {
            addresses.extend(leader.and_then(|leader| core.resolve(&leader)));
        }
    }
}

/// Sends a join request to one instance.
async fn send_join_request(
    core: &Rc<Core>,
    id: MemberId,
    address: SocketAddr,
) -> Option<JoinResponse> {
    let request = encode(&JoinRequest {
        id,
        instance: core.incarnation.instance.clone(),
        address: core.address.to_string(),
    });
    let link = core.link(address);
    if !link.connected(JOIN_TIMEOUT).await {
        return None;
    }
    let answer = link.join(&request, JOIN_TIMEOUT).await.ok()?;
    decode(&answer)
}

/// Finds a group for an instance with an unused data folder, or forms one with the other voters.
async fn join_group(core: Rc<Core>, bootstrap: bool) {
    loop {
        let Some(id) = core.unused_folder.borrow().as_ref().map(|folder| folder.id) else {
            return;
        };
        let mut fresh = vec![(
            id,
            core.incarnation.instance.clone(),
            core.address.to_string(),
        )];
        let mut grouped = false;
        let mut founded = None;
        for peer in core.peers.clone() {
            if peer.address == core.address {
                continue;
            }
            match send_join_request(&core, id, peer.address).await {
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
        let is_self = |peer: &PeerAddress| peer.address == core.address;
        let alone = !core.discovers_members() && core.peers.iter().all(is_self);
        // Instances that are not among the seeds wait for the group and join it.
        let founder = !core.discovers_members() || core.peers.iter().any(is_self);
        let complete = alone || (founder && fresh.len() == core.peers.len());
        if grouped || (complete && (bootstrap || alone)) {
            let Some(mut folder) = core.unused_folder.borrow_mut().take() else {
                return;
            };
            // A founder that joined as a learner could not vote, so the others might lack a majority
            // for the first election.
            let members = match founded.filter(|_| bootstrap) {
                Some(members) if members.voters().count() == core.peers.len() => Some(members),
                _ => (!grouped).then(|| Membership::from_voters(fresh)),
            };
            if let Some(members) = members
                && let Err(error) = folder.bootstrap(members)
            {
                return disable_voting(&core, &error);
            }
            return start_voter(&core, folder);
        }
        sleep(MEMBERSHIP_INTERVAL).await;
    }
}

/// Submits the initial rules unless the group has rules; the view may be served afterwards.
async fn submit_initial_rules(core: Rc<Core>, rules: Vec<Edit>) {
    loop {
        let held = core.subscriber.borrow().version();
        if held > Some(Version(0)) {
            return;
        }
        // All voters submit the initial rules under the same id, so only the first change applies.
        let change = Change {
            id: "initial".into(),
            expected: Version(0),
            author: core.incarnation.instance.to_string(),
            edits: rules.clone(),
        };
        let deadline = Instant::now() + INITIAL_RULES_TIMEOUT;
        match core.submit(Command::Apply(change), deadline).await {
            Ok(reply) => {
                tracing::info!(?reply, "submitted the initial rules");
                if !has_rules_after(&reply) {
                    core.awaits_rules.set(false);
                    core.publish();
                }
                return;
            }
            Err(error) => tracing::warn!(%error, "cannot submit the initial rules yet"),
        }
    }
}

/// Returns whether the reply shows that the group has rules, from this or from another voter.
fn has_rules_after(reply: &Reply) -> bool {
    match reply {
        Reply::Applied { .. } => true,
        Reply::Refused { code, .. } => matches!(
            code,
            ResultCode::VersionConflict | ResultCode::ChangeIdReused
        ),
        _ => false,
    }
}

/// Reloads the peer secrets when their file changes.
async fn reload_secrets(file: PathBuf, secrets: Secrets) {
    let mut last = String::new();
    loop {
        match std::fs::read_to_string(&file) {
            Ok(text) if text != last => {
                match secrets.replace(&text) {
                    Ok(()) => tracing::info!("loaded the peer secrets"),
                    Err(error) => {
                        tracing::error!(%error, "invalid peer secrets; kept the old ones")
                    }
                }
                last = text;
            }
            Ok(_) => {}
            Err(error) => tracing::error!(%error, "cannot read the peer secrets"),
        }
        sleep(SECRET_RELOAD_INTERVAL).await;
    }
}

/// Sends the last usage report and, on the leader, transfers leadership.
async fn stop(core: &Rc<Core>, deadline: Instant) {
    if core.is_leader() {
        let mut last_report = None;
        let _ = timeout(
            remaining(deadline),
            report_own_usage(core, &mut last_report),
        )
        .await;
        transfer_leadership(core, deadline).await;
    } else if let Some(address) = core.select_upstream(None, None) {
        let mut last_report = None;
        let last = poll_once(core, address, &mut last_report);
        let _ = timeout(remaining(deadline), last).await;
    }
}

/// Transfers leadership to another voter, with retries until the deadline.
async fn transfer_leadership(core: &Rc<Core>, deadline: Instant) {
    while core.is_leader() && Instant::now() < deadline {
        let transferred = {
            let mut voter = core.voter.borrow_mut();
            voter
                .as_mut()
                .map(|voter| voter.transfer_leadership(core.clock.now()))
        };
        match transferred {
            Some(Ok(id)) => tracing::info!(%id, "transferring leadership"),
            Some(Err(error)) => tracing::debug!(%error, "cannot transfer leadership yet"),
            None => return,
        }
        core.drive_requested.notify_one();
        sleep(MAX_DRIVE_INTERVAL).await;
    }
    // Lets the last messages go out before the thread ends.
    sleep(MAX_DRIVE_INTERVAL).await;
}

/// Returns the status of the process.
fn status(core: &Rc<Core>) -> Status {
    let now = core.clock.now();
    let in_force = core.settled();
    let subscriber = core.subscriber.borrow();
    let end = subscriber.lease().valid_until();
    let counters = &core.identity.counters;
    let mut status = Status {
        instance: core.incarnation.instance.to_string(),
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
        let name = |incarnation: &Incarnation| incarnation.instance.to_string();
        status.instances = publisher.lease_holders(now).map(name).collect();
        status.instances.sort();
        let counts = core.downstream_counts.borrow();
        let counts = status
            .instances
            .iter()
            .map(|name| counts.get(name.as_str()));
        status.relayed = counts.flatten().sum();
        status.lagging = publisher.lagging_pollers(now, version).map(name).collect();
    }
    status
}

/// Binds a listener for connections of peers.
pub fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    std::net::TcpListener::bind(address)
}
