//! Tests of clusters of control threads in one process, connected over loopback.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::cluster_control::ClusterControl;
use fulmarford_lib::code::ResultCode;
use fulmarford_lib::command::Change;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::CrashReport;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::UsageRow;
use fulmarford_lib::control::Control;
use fulmarford_lib::control::SubmitError;
use fulmarford_lib::control::Suspicion;
use fulmarford_lib::control_core::MAX_DIRECT_POLLERS;
use fulmarford_lib::control_core::PeerAddress;
use fulmarford_lib::control_thread::Config;
use fulmarford_lib::control_thread::ControlThread;
use fulmarford_lib::crash_note::CrashEvent;
use fulmarford_lib::crash_note::CrashNote;
use fulmarford_lib::dialect::RequestRate;
use fulmarford_lib::endpoint_limit::Admission;
use fulmarford_lib::endpoint_limit::LimitObservation;
use fulmarford_lib::fingerprint::Fingerprint;
use fulmarford_lib::peer::Secrets;
use fulmarford_lib::rules;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::Version;
use fulmarford_testutils::proxy::Proxy;
use googletest::prelude::*;

/// Timeout of conditions and calls that are expected to succeed.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Control threads of one cluster; the first ones are voters.
struct Cluster {
    peers: Vec<PeerAddress>,
    stores: Vec<SimpleStorage>,
    threads: Vec<Option<ControlThread>>,
    /// Maximum number of instances for which all poll the leader directly.
    max_direct_pollers: u32,
    /// For each instance, the proxies through which it connects to each voter.
    proxies: Vec<Vec<Proxy>>,
    /// A secret per cluster, because a port that one cluster frees may be bound by another.
    secret: String,
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

impl Cluster {
    /// Starts voters, and other instances without storage.
    fn start(voters: usize, others: usize) -> Self {
        Self::start_with(voters, others, MAX_DIRECT_POLLERS)
    }

    fn start_with(voters: usize, others: usize, max_direct_pollers: u32) -> Self {
        let listeners: Vec<_> = (0..voters + others).map(|_| listen()).collect();
        let peers = listeners[..voters]
            .iter()
            .enumerate()
            .map(|(index, (_, address))| PeerAddress {
                name: format!("i{index}").into(),
                address: *address,
            })
            .collect();
        let mut cluster = Self {
            peers,
            stores: (0..voters).map(|_| SimpleStorage::default()).collect(),
            threads: Vec::new(),
            max_direct_pollers,
            proxies: Vec::new(),
            secret: format!("secret-of-the-test-cluster-{:016x}", rand::random::<u64>()),
        };
        for _ in 0..voters + others {
            let proxies = cluster.peers.iter().map(|peer| Proxy::start(peer.address));
            let proxies: io::Result<Vec<_>> = proxies.collect();
            cluster.proxies.push(proxies.expect("proxies start"));
        }
        for (index, (listener, address)) in listeners.into_iter().enumerate() {
            let thread = cluster.launch(index, listener, address);
            cluster.threads.push(Some(thread));
        }
        cluster
    }

    fn launch(&self, index: usize, listener: TcpListener, address: SocketAddr) -> ControlThread {
        let store = self.stores.get(index);
        ControlThread::start(Config {
            instance: format!("i{index}").into(),
            listener,
            address,
            peers: self.peers_of(index),
            store: store.map(|store| -> Box<dyn LogStore + Send> { Box::new(store.clone()) }),
            bootstrap: true,
            rules: Vec::new(),
            secrets: Secrets::parse(&self.secret).expect("valid"),
            secret_file: None,
            discover: false,
            max_direct_pollers: self.max_direct_pollers,
            terms: fulmarford_lib::command::UsageTerms::default(),
            clock: Arc::new(SystemClock),
        })
        .expect("the control thread starts")
    }

    /// Returns the voters as seen by an instance: all others at the addresses of its proxies.
    fn peers_of(&self, index: usize) -> Vec<PeerAddress> {
        let mut peers = self.peers.clone();
        for (number, peer) in peers.iter_mut().enumerate() {
            if number != index {
                peer.address = self.proxies[index][number].address();
            }
        }
        peers
    }

    /// Starts or ends a network partition between an instance and all others.
    fn set_isolated(&self, instance: usize, isolated: bool) {
        for (index, proxies) in self.proxies.iter().enumerate() {
            for (number, proxy) in proxies.iter().enumerate() {
                if index == instance || number == instance {
                    proxy.set_blocked(isolated);
                }
            }
        }
    }

    fn control(&self, index: usize) -> ClusterControl {
        self.threads[index].as_ref().expect("runs").control()
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.threads.len()).filter(|index| self.threads[*index].is_some())
    }

    fn stop(&mut self, index: usize) {
        let thread = self.threads[index].take().expect("runs");
        thread.stop(Duration::from_secs(2));
    }

    fn restart(&mut self, index: usize) {
        let address = self.peers[index].address;
        let listener = wait_for(|| TcpListener::bind(address).ok());
        self.threads[index] = Some(self.launch(index, listener, address));
    }

    fn leader(&self) -> usize {
        wait_for(|| {
            self.running().find(|index| {
                let status = self.control(*index).status(Duration::from_secs(1));
                status.role == "leader" && status.lease_ms > 0
            })
        })
    }

    fn await_views(&self) {
        for index in self.running() {
            wait_for(|| self.control(index).view(Instant::now()).ok());
        }
    }
}

/// Waits until a condition holds and returns its value.
fn wait_for<T>(mut test: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = test() {
            return value;
        }
        assert!(Instant::now() < end, "timed out waiting for a condition");
        thread::sleep(Duration::from_millis(10));
    }
}

fn change(id: &str, expected: u64, line: &str) -> Command {
    Command::Apply(Change {
        id: id.into(),
        expected: Version(expected),
        author: "test".to_owned(),
        edits: vec![Edit::Set(rules::parse_line(line).expect("valid"))],
    })
}

fn applied(version: u64) -> std::result::Result<Reply, SubmitError> {
    let version = Version(version);
    Ok(Reply::Applied { version })
}

/// Guards against a group of one voter that cannot start, and against acknowledged changes that have
/// no effect.
#[gtest]
fn start_one_voter() {
    let cluster = Cluster::start(1, 1);
    cluster.await_views();
    let control = cluster.control(1);
    let answer = control.submit(change("a", 0, "workspace w # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(1)));
    expect_true!(control.await_version(Version(1), TIMEOUT));
    for index in 0..2 {
        let view = cluster.control(index).view(Instant::now()).expect("fresh");
        expect_that!(view.version(), eq(Version(1)));
    }
}

/// Guards against two changes under one version, and against a resubmitted change that is refused
/// or applied twice.
#[gtest]
fn submit_race_and_resend() {
    let cluster = Cluster::start(3, 2);
    cluster.await_views();
    let submitters: Vec<_> = (0..5)
        .map(|index| {
            let control = cluster.control(index);
            thread::spawn(move || {
                let line = format!("workspace w{index} # t");
                control.submit(change(&format!("c{index}"), 0, &line), TIMEOUT)
            })
        })
        .collect();
    let answers: Vec<_> = submitters
        .into_iter()
        .map(|submitter| submitter.join().expect("joins"))
        .collect();
    let winners: Vec<_> = (0..5).filter(|i| answers[*i] == applied(1)).collect();
    expect_that!(winners.len(), eq(1));
    for (index, answer) in answers.iter().enumerate() {
        if index != winners[0] {
            let conflict = matches!(
                answer,
                Ok(Reply::Refused {
                    code: ResultCode::VersionConflict,
                    ..
                })
            );
            expect_true!(conflict);
        }
    }
    let winner = winners[0];
    let line = format!("workspace w{winner} # t");
    let resend = cluster
        .control((winner + 1) % 5)
        .submit(change(&format!("c{winner}"), 0, &line), TIMEOUT);
    expect_that!(resend, eq(&applied(1)));
    let control = cluster.control(4);
    expect_true!(control.await_version(Version(1), TIMEOUT));
    expect_that!(control.history(10, TIMEOUT).map(|h| h.len()), some(eq(1)));
    for index in 0..5 {
        let view = cluster.control(index).view(Instant::now()).expect("fresh");
        expect_that!(view.version(), eq(Version(1)));
    }
}

/// Guards against views that expire, and against changes that are lost, during a planned stop of the
/// leader.
#[gtest]
fn stop_leader() {
    let mut cluster = Cluster::start(3, 2);
    cluster.await_views();
    let answer = cluster
        .control(4)
        .submit(change("a", 0, "workspace w # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(1)));
    let leader = cluster.leader();
    let other = cluster.control(4);
    let (done, finished) = crossbeam::channel::bounded::<()>(1);
    let watcher = thread::spawn(move || {
        let mut expired = 0;
        while finished.try_recv().is_err() {
            expired += usize::from(other.view(Instant::now()).is_err());
            thread::sleep(Duration::from_millis(5));
        }
        expired
    });
    cluster.stop(leader);
    let started = Instant::now();
    let answer = cluster
        .control(4)
        .submit(change("b", 1, "workspace v # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(2)));
    expect_that!(started.elapsed(), lt(Duration::from_secs(3)));
    thread::sleep(Duration::from_secs(2));
    done.send(()).expect("watcher runs");
    expect_that!(watcher.join().expect("joins"), eq(0));
    cluster.restart(leader);
    wait_for(|| {
        let view = cluster.control(leader).view(Instant::now()).ok()?;
        (view.version() == Version(2)).then_some(())
    });
}

/// Guards against versions that are lost when all voters restart.
#[gtest]
fn restart_all() {
    let mut cluster = Cluster::start(3, 0);
    cluster.await_views();
    for version in 0..20 {
        let line = format!("workspace w{version} # t");
        let answer = cluster
            .control(0)
            .submit(change(&format!("c{version}"), version, &line), TIMEOUT);
        expect_that!(answer, eq(&applied(version + 1)));
    }
    for index in 0..3 {
        cluster.stop(index);
    }
    for index in 0..3 {
        cluster.restart(index);
    }
    for index in 0..3 {
        let view = wait_for(|| cluster.control(index).view(Instant::now()).ok());
        expect_that!(view.version(), eq(Version(20)));
    }
    let answer = cluster
        .control(1)
        .submit(change("d", 20, "workspace v # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(21)));
}

/// Guards against a voter that keeps its identity after the loss of its data, and against a group
/// that cannot replace such a voter.
#[gtest]
fn replace_lost_voter() {
    let mut cluster = Cluster::start(3, 0);
    cluster.await_views();
    let answer = cluster
        .control(0)
        .submit(change("a", 0, "workspace w # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(1)));
    let lost = (cluster.leader() + 1) % 3;
    let members = |cluster: &Cluster| cluster.control(cluster.leader()).status(TIMEOUT).members;
    let before = members(&cluster);
    cluster.stop(lost);
    cluster.stores[lost] = SimpleStorage::default();
    cluster.restart(lost);
    let name = format!("i{lost}");
    let after = wait_for(|| {
        let members = members(&cluster);
        let same = members.iter().find(|m| m.instance == name)?;
        let voting = members.iter().filter(|m| m.voting).count() == 3;
        let old = before.iter().any(|m| m.id == same.id);
        (voting && !old && members.len() == 3).then_some(members)
    });
    expect_that!(after.len(), eq(3));
    let other = (lost + 1) % 3;
    cluster.stop(other);
    // Without the other voter, the replacement is needed for a majority.
    let answer = cluster
        .control(lost)
        .submit(change("b", 1, "workspace v # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(2)));
}

/// Guards against a full disk that stops traffic, and against a voter that still votes after a
/// storage error.
#[gtest]
fn submit_storage_failure() {
    let cluster = Cluster::start(3, 1);
    cluster.await_views();
    let leader = cluster.leader();
    cluster.stores[leader].fail_after(0);
    let started = Instant::now();
    let answer = cluster
        .control(3)
        .submit(change("a", 0, "workspace w # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(1)));
    expect_that!(started.elapsed(), lt(Duration::from_secs(3)));
    let status = wait_for(|| {
        let status = cluster.control(leader).status(TIMEOUT);
        (status.version == Some(Version(1))).then_some(status)
    });
    expect_that!(status.role.as_str(), eq("none"));
    expect_that!(status.storage_error, some(anything()));
    expect_true!(cluster.control(leader).view(Instant::now()).is_ok());
}

/// Time after which changes must go on when a majority of the disks has room.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Submits a change again under the same ID until it is applied, and returns the version.
fn apply_repeatedly(cluster: &Cluster, id: &str, expected: u64, text: &str) -> Option<u64> {
    let end = Instant::now() + RECOVERY_TIME;
    while Instant::now() < end {
        let answer = cluster
            .control(3)
            .submit(change(id, expected, text), Duration::from_secs(1));
        if answer == applied(expected + 1) {
            return Some(expected + 1);
        }
    }
    None
}

/// Guards against a group that accepts nothing any more after the disks of its voters were full, one after the other
/// and never two at a time, because each voter stopped voting for good.
#[gtest]
fn submit_after_full_disks() {
    let cluster = Cluster::start(3, 1);
    cluster.await_views();
    for (index, store) in cluster.stores.iter().enumerate() {
        store.fail_after(0);
        let version = index as u64;
        let text = format!("workspace w{index} # t");
        let applied = apply_repeatedly(&cluster, &format!("a{index}"), version, &text);
        expect_that!(applied, some(eq(version + 1)), "disk {index} is full");
        let status = wait_for(|| {
            let status = cluster.control(index).status(TIMEOUT);
            status.storage_error.is_some().then_some(status)
        });
        expect_that!(status.role.as_str(), eq("none"));
        store.free();
        wait_for(|| {
            let status = cluster.control(index).status(TIMEOUT);
            (status.role != "none" && status.storage_error.is_none()).then_some(())
        });
    }
    let applied = apply_repeatedly(&cluster, "b", 3, "workspace x # t");
    expect_that!(applied, some(eq(4)));
    for index in 0..4 {
        wait_for(|| {
            (cluster.control(index).status(TIMEOUT).version == Some(Version(4))).then_some(())
        });
    }
}

/// Guards against a change that is acknowledged while most disks are full, and against one that was acknowledged
/// before and is lost when they have room again.
#[gtest]
fn submit_with_most_disks_full() {
    let cluster = Cluster::start(3, 1);
    cluster.await_views();
    expect_that!(
        apply_repeatedly(&cluster, "a", 0, "workspace v # t"),
        some(eq(1))
    );
    for store in &cluster.stores[..2] {
        store.fail_after(0);
    }
    let answer = cluster
        .control(3)
        .submit(change("b", 1, "workspace w # t"), Duration::from_secs(3));
    expect_that!(answer, err(anything()));
    for store in &cluster.stores[..2] {
        store.free();
    }
    // The change may have been applied meanwhile; under its ID it has the same answer.
    expect_that!(
        apply_repeatedly(&cluster, "b", 1, "workspace w # t"),
        some(eq(2))
    );
    expect_that!(
        apply_repeatedly(&cluster, "c", 2, "workspace x # t"),
        some(eq(3))
    );
}

/// Guards against a voter that never votes because its disk was full when it started.
#[gtest]
fn start_with_full_disk() {
    let mut cluster = Cluster::start(3, 1);
    cluster.await_views();
    expect_that!(
        apply_repeatedly(&cluster, "a", 0, "workspace v # t"),
        some(eq(1))
    );
    let index = (cluster.leader() + 1) % 3;
    cluster.stop(index);
    // The replacement of the folder is unused, so that the voter has to write before anything else.
    cluster.stores[index] = SimpleStorage::default();
    cluster.stores[index].fail_after(0);
    cluster.restart(index);
    thread::sleep(Duration::from_secs(1));
    let status = cluster.control(index).status(TIMEOUT);
    expect_that!(status.storage_error, some(anything()));
    cluster.stores[index].free();
    wait_for(|| {
        let status = cluster.control(index).status(TIMEOUT);
        (status.storage_error.is_none() && status.role != "none").then_some(())
    });
}

/// Guards against the result "not proposed" for a command that may be applied, and against instances
/// that keep serving without a majority.
#[gtest]
fn submit_without_majority() {
    let mut cluster = Cluster::start(3, 1);
    cluster.await_views();
    let leader = cluster.leader();
    cluster.stop((leader + 1) % 3);
    cluster.stop((leader + 2) % 3);
    let stopped = Instant::now();
    let limit = Duration::from_millis(400);
    let report = Command::ReportCrash(CrashReport {
        endpoint: "e".into(),
        fingerprints: vec![1],
        reporter: cluster.control(leader).incarnation().clone(),
    });
    let answer = cluster.control(leader).submit(report, limit);
    expect_that!(answer, eq(&Err(SubmitError::Unknown)));
    let answer = cluster
        .control(3)
        .submit(change("a", 0, "workspace w # t"), limit);
    expect_that!(answer, err(anything()));
    let end = stopped + Duration::from_secs(3);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    for index in [leader, 3] {
        expect_true!(cluster.control(index).view(Instant::now()).is_err());
    }
    let answer = cluster
        .control(3)
        .submit(change("b", 0, "workspace w # t"), limit);
    expect_that!(answer, eq(&Err(SubmitError::NotProposed)));
}

/// Guards against a partitioned instance that serves without an acknowledged change, and against one
/// that delays a change for longer than its lease.
#[gtest]
fn await_version_past_partition() {
    check_await_version_past_partition(&Cluster::start(3, 2));
}

/// The same test with instances that poll relays.
#[gtest]
fn await_version_past_partition_relayed() {
    check_await_version_past_partition(&Cluster::start_with(3, 2, 0));
}

fn check_await_version_past_partition(cluster: &Cluster) {
    cluster.await_views();
    // A new leader acknowledges nothing until all leases of its predecessor have ended.
    let line = "workspace w # t";
    let answer = cluster.control(4).submit(change("a", 0, line), TIMEOUT);
    expect_that!(answer, eq(&applied(1)));
    expect_true!(cluster.control(4).await_version(Version(1), TIMEOUT));
    let isolated = cluster.control(3);
    let (acknowledge, acknowledged) = crossbeam::channel::bounded::<()>(1);
    let watcher = thread::spawn(move || {
        let mut stale = 0;
        let mut done = false;
        let end = Instant::now() + Duration::from_secs(4);
        while Instant::now() < end {
            done = done || acknowledged.try_recv().is_ok();
            let view = isolated.view(Instant::now());
            let old = view.is_ok_and(|view| view.version() < Version(2));
            stale += usize::from(done && old);
            thread::sleep(Duration::from_millis(1));
        }
        stale
    });
    cluster.set_isolated(3, true);
    let started = Instant::now();
    let answer = cluster.control(4).submit(change("b", 1, line), TIMEOUT);
    expect_that!(answer, eq(&applied(2)));
    expect_true!(cluster.control(4).await_version(Version(2), TIMEOUT));
    let took = started.elapsed();
    acknowledge.send(()).expect("watcher runs");
    expect_that!(took, lt(Duration::from_secs(3)));
    expect_that!(watcher.join().expect("joins"), eq(0));
    expect_true!(cluster.control(3).view(Instant::now()).is_err());
    cluster.set_isolated(3, false);
    wait_for(|| cluster.control(3).view(Instant::now()).ok());
}

/// Guards against a partitioned leader that serves, acknowledges or accepts changes on its own, and
/// against a group that waits for that leader.
#[gtest]
fn submit_past_isolated_leader() {
    let cluster = Cluster::start(3, 2);
    cluster.await_views();
    let line = "workspace w # t";
    let answer = cluster.control(4).submit(change("a", 0, line), TIMEOUT);
    expect_that!(answer, eq(&applied(1)));
    let leader = cluster.leader();
    cluster.set_isolated(leader, true);
    let isolated_at = Instant::now();
    let limit = Duration::from_millis(300);
    let alone = cluster
        .control(leader)
        .submit(change("x", 1, "workspace x # t"), limit);
    expect_that!(alone, err(anything()));
    let answer = cluster
        .control(4)
        .submit(change("b", 1, "workspace y # t"), TIMEOUT);
    expect_that!(answer, eq(&applied(2)));
    expect_that!(isolated_at.elapsed(), lt(Duration::from_secs(3)));
    expect_true!(cluster.control(4).view(Instant::now()).is_ok());
    let end = isolated_at + Duration::from_secs(3);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    expect_true!(cluster.control(leader).view(Instant::now()).is_err());
    expect_false!(cluster.control(leader).await_version(Version(2), limit));
    cluster.set_isolated(leader, false);
    let view = wait_for(|| cluster.control(leader).view(Instant::now()).ok());
    expect_that!(view.version(), eq(Version(2)));
    expect_true!(view.workspace("x").is_none());
}

/// Guards against crash reports and clearances that are lost when the leader is partitioned while it
/// processes them.
#[gtest]
fn report_crash_past_isolated_leader() {
    let cluster = Cluster::start(3, 2);
    cluster.await_views();
    let report = |control: &ClusterControl, fingerprint: u64| {
        Command::ReportCrash(CrashReport {
            endpoint: "e".into(),
            fingerprints: vec![fingerprint],
            reporter: control.incarnation().clone(),
        })
    };
    let control = cluster.control(4);
    expect_that!(
        control.submit(report(&control, 7), TIMEOUT),
        eq(&Ok(Reply::Done))
    );
    let leader = cluster.leader();
    cluster.set_isolated(leader, true);
    let others = [control, cluster.control(3)];
    let commands = [
        Command::ClearSuspect { fingerprint: 7 },
        report(&others[1], 8),
    ];
    let answers: Vec<_> = thread::scope(|scope| {
        let pairs = others.iter().zip(commands);
        let calls =
            pairs.map(|(control, command)| scope.spawn(|| control.submit(command, TIMEOUT)));
        let calls: Vec<_> = calls.collect();
        let answers = calls
            .into_iter()
            .map(|call| call.join().expect("an answer"));
        answers.collect()
    });
    expect_that!(answers, each(eq(&Ok(Reply::Done))));
    // Either command may be applied first, and each causes an update of the suspects.
    wait_for(|| (others[0].suspicion(8) == Suspicion::Suspect).then_some(()));
    wait_for(|| (others[0].suspicion(7) == Suspicion::None).then_some(()));
}

/// Guards against crash reports that do not reach every instance, and against usage that is lost or
/// counted twice in transit.
#[gtest]
fn polls_carry_suspicion_and_usage() {
    check_polls_carry_suspicion_and_usage(&Cluster::start(3, 2));
}

/// The same test with instances that poll relays.
#[gtest]
fn polls_carry_suspicion_and_usage_relayed() {
    check_polls_carry_suspicion_and_usage(&Cluster::start_with(3, 2, 0));
}

fn check_polls_carry_suspicion_and_usage(cluster: &Cluster) {
    cluster.await_views();
    for (index, endpoint) in ["e1", "e2"].into_iter().enumerate() {
        let control = cluster.control(3 + index);
        let report = Command::ReportCrash(CrashReport {
            endpoint: endpoint.into(),
            fingerprints: vec![7],
            reporter: control.incarnation().clone(),
        });
        expect_that!(control.submit(report, TIMEOUT), eq(&Ok(Reply::Done)));
        let expected = [Suspicion::Suspect, Suspicion::Quarantined][index];
        for instance in 0..5 {
            wait_for(|| {
                let held = cluster.control(instance).suspicion(7);
                (held == expected).then_some(())
            });
        }
    }
    for instance in 0..5 {
        cluster.control(instance).record(UsageRow {
            workspace: "w".into(),
            class: "c".into(),
            requests: 1,
            prompt: 10,
            output: 5,
        });
    }
    // The sums are tested with the state machine; here the report of each instance must be accepted
    // exactly once.
    let rows = || cluster.stores[cluster.leader()].clone().usage_requests();
    wait_for(|| (rows() == 5).then_some(()));
    thread::sleep(Duration::from_millis(1_500));
    expect_that!(rows(), eq(5));
}

/// Guards against a request that is not quarantined because the first of its two crashes was reported to
/// a leader that has crashed since.
#[gtest]
fn crash_notes_survive_leader_crash() {
    let mut cluster = Cluster::start(3, 2);
    cluster.await_views();
    let note = |cluster: &Cluster, entry: usize, print: u64| {
        let note = CrashNote {
            fingerprint: Fingerprint(print),
            event: CrashEvent::Crash {
                endpoint: entry as u64,
            },
            age: Duration::ZERO,
        };
        cluster
            .control(entry)
            .report_crash_notes(Instant::now(), &[note]);
    };
    let quarantined = |cluster: &Cluster, print: u64| {
        for instance in cluster.running() {
            wait_for(|| {
                let held = cluster.control(instance).suspicion(print);
                (held == Suspicion::Quarantined).then_some(())
            });
        }
    };
    note(&cluster, 3, 7);
    thread::sleep(Duration::from_millis(600));
    expect_that!(cluster.control(4).suspicion(7), eq(Suspicion::None));
    note(&cluster, 4, 7);
    quarantined(&cluster, 7);
    note(&cluster, 3, 8);
    thread::sleep(Duration::from_millis(600));
    let leader = cluster.leader();
    cluster.threads[leader].take().expect("runs").halt();
    note(&cluster, 4, 8);
    quarantined(&cluster, 8);
}

/// Guards against an endpoint's limit that instances learn late or apply each for itself, and against permits
/// that do not pass relays or a move of the leader.
#[gtest]
fn endpoint_limit_shared() {
    check_endpoint_limit_shared(MAX_DIRECT_POLLERS);
}

#[gtest]
fn endpoint_limit_shared_relayed() {
    check_endpoint_limit_shared(0);
}

fn check_endpoint_limit_shared(max_direct_pollers: u32) {
    const ENTRIES: std::ops::Range<usize> = 3..6;
    const ENDPOINT: u64 = 7;
    const RATE: f64 = 10.0;
    const SECONDS: f64 = 4.0;
    let mut cluster = Cluster::start_with(ENTRIES.start, ENTRIES.len(), max_direct_pollers);
    cluster.await_views();
    let observe = |cluster: &Cluster, entry: usize, rate| {
        let now = Instant::now();
        let observation = LimitObservation {
            rate,
            sent: now,
            received: now,
            id: rand::random(),
        };
        cluster.control(entry).observe_limit(ENDPOINT, observation)
    };
    let await_limit = |cluster: &Cluster, is_limited: bool| {
        for entry in ENTRIES {
            wait_for(|| {
                let admission = cluster
                    .control(entry)
                    .endpoint_limits()
                    .admission(Instant::now(), ENDPOINT);
                ((admission != Admission::Unlimited) == is_limited).then_some(())
            });
        }
    };
    // Requests far more than the limit allows at each entry, and returns how many were permitted.
    let request = |cluster: &Cluster| {
        let end = Instant::now() + Duration::from_secs_f64(SECONDS);
        let mut permitted = 0.0;
        while Instant::now() < end {
            for entry in ENTRIES {
                let control = cluster.control(entry);
                let mut limits = control.endpoint_limits();
                let now = Instant::now();
                match limits.admission(now, ENDPOINT) {
                    Admission::Unlimited => panic!("the limit was forgotten"),
                    Admission::Blocked(_) => limits.want(now, ENDPOINT),
                    Admission::Permitted(_) => {
                        limits.take(now, ENDPOINT);
                        permitted += 1.0;
                    }
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        permitted
    };
    let started = Instant::now();
    expect_true!(observe(&cluster, 3, RequestRate::from_per_second(RATE)));
    await_limit(&cluster, true);
    expect_that!(started.elapsed(), lt(Duration::from_secs(1)));
    let most = 1.5 * RATE * SECONDS + 5.0;
    expect_that!(request(&cluster), all![ge(RATE * SECONDS / 2.0), le(most)]);
    let leader = cluster.leader();
    cluster.threads[leader].take().expect("runs").halt();
    expect_that!(request(&cluster), le(most));
    expect_that!(request(&cluster), all![ge(RATE * SECONDS / 2.0), le(most)]);
    expect_true!(observe(&cluster, 4, None));
    await_limit(&cluster, false);
}

/// Guards against limits that every instance applies in full, and against limits that admit nothing.
#[gtest]
fn admit_shares_limits() {
    const RATE: usize = 40;
    const CONCURRENCY: usize = 6;
    const SECONDS: usize = 4;
    let cluster = Cluster::start(3, 2);
    cluster.await_views();
    let lines = [
        "workspace w # t".to_owned(),
        format!("limit w requests={RATE}/s concurrency={CONCURRENCY} # t"),
    ];
    let edits = lines
        .iter()
        .map(|line| Edit::Set(rules::parse_line(line).expect("valid")));
    let command = Command::Apply(Change {
        id: "limits".into(),
        expected: Version(0),
        author: "test".to_owned(),
        edits: edits.collect(),
    });
    expect_that!(cluster.control(4).submit(command, TIMEOUT), eq(&applied(1)));
    expect_true!(cluster.control(4).await_version(Version(1), TIMEOUT));
    let end = Instant::now() + Duration::from_secs(SECONDS as u64);
    let running = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..5)
        .map(|index| {
            let (control, running) = (cluster.control(index), running.clone());
            thread::spawn(move || {
                let (mut admitted, mut most) = (0, 0);
                while Instant::now() < end {
                    if control.admit(Instant::now(), &"w".into(), 1).is_ok() {
                        admitted += 1;
                        most = most.max(running.fetch_add(1, Ordering::SeqCst) + 1);
                        thread::sleep(Duration::from_millis(30));
                        running.fetch_sub(1, Ordering::SeqCst);
                        control.settle(Instant::now(), &"w".into(), 1, 1);
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                (admitted, most)
            })
        })
        .collect();
    let results: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("joins"))
        .collect();
    let admitted: usize = results.iter().map(|(admitted, _)| admitted).sum();
    let most = results.iter().map(|(_, most)| *most).max();
    println!("admitted {results:?}");
    // The upper bound is documented in the module `limit`.
    expect_that!(admitted, le(RATE * (SECONDS + 2)));
    expect_that!(admitted, ge(RATE * (SECONDS - 1) / 2));
    expect_that!(most, some(le(CONCURRENCY)));
}

/// Reads usage from the Raft log.
trait UsageRequests {
    fn usage_requests(self) -> u64;
}

impl UsageRequests for SimpleStorage {
    /// Sums the requests of all usage reports in the log, each report only once.
    fn usage_requests(mut self) -> u64 {
        use fulmarford_lib::command::StampedCommand;
        use fulmarford_lib::raft_message::Payload;
        let mut seen = std::collections::BTreeSet::new();
        let mut total = 0;
        for entry in self.load().expect("loads").entries {
            let Payload::Data(data) = &entry.payload else {
                continue;
            };
            let stamped: StampedCommand = postcard::from_bytes(data).expect("decodes");
            if let Command::AddUsage(report) = stamped.command
                && seen.insert((report.entry.clone(), report.sequence))
            {
                total += report.rows.iter().map(|row| row.requests).sum::<u64>();
            }
        }
        total
    }
}

/// Guards against relays in a small cluster: an instance that polls a follower must be redirected to the
/// leader and hold no lease that delays a change, even right after the start.
#[gtest]
fn poll_leader_only() {
    let cluster = Cluster::start(3, 5);
    cluster.await_views();
    let leader = cluster.leader();
    for version in 1..=5 {
        let line = "workspace w # t";
        let change = change(&format!("c{version}"), version - 1, line);
        expect_that!(
            cluster.control(7).submit(change, TIMEOUT),
            eq(&applied(version))
        );
        expect_true!(cluster.control(7).await_version(Version(version), TIMEOUT));
        expect_that!(cluster.control(leader).status(TIMEOUT).relayed, eq(0));
    }
}

/// Guards against non-voters that poll the leader of a large cluster, and against views that expire when
/// a relay is lost.
#[gtest]
fn poll_relays() {
    let mut cluster = Cluster::start_with(5, 12, 0);
    cluster.await_views();
    let leader = cluster.leader();
    let status = |cluster: &Cluster| cluster.control(leader).status(TIMEOUT);
    wait_for(|| (status(&cluster).relayed == 12).then_some(()));
    let voters: Vec<_> = (0..5).map(|index| format!("i{index}")).collect();
    wait_for(|| {
        let held = status(&cluster).instances;
        held.iter().all(|name| voters.contains(name)).then_some(())
    });
    for index in 0..17 {
        wait_for(|| (cluster.control(index).instance_count() == 17).then_some(()));
    }
    let lost = (0..5).find(|index| *index != leader).expect("a follower");
    cluster.stop(lost);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        for index in 5..17 {
            expect_true!(cluster.control(index).view(Instant::now()).is_ok());
        }
        thread::sleep(Duration::from_millis(10));
    }
    wait_for(|| (status(&cluster).relayed == 12).then_some(()));
}
