//! Tests of orders and usage reports with three voters in one process and a fake platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fulmarford_lib::clock::Clock;
use fulmarford_lib::cluster_control::ClusterControl;
use fulmarford_lib::command::Change;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::UsageRow;
use fulmarford_lib::control::Control;
use fulmarford_lib::control_core::MAX_DIRECT_POLLERS;
use fulmarford_lib::control_core::PeerAddress;
use fulmarford_lib::control_shared::LeaseStatus;
use fulmarford_lib::control_thread;
use fulmarford_lib::control_thread::ControlThread;
use fulmarford_lib::decision_log::DecisionLog;
use fulmarford_lib::duties;
use fulmarford_lib::duties::Duties;
use fulmarford_lib::lease::IN_FLIGHT_TIMEOUT;
use fulmarford_lib::lease::LEASE_DURATION;
use fulmarford_lib::load_poller::LoadReports;
use fulmarford_lib::peer::Secrets;
use fulmarford_lib::platform::EngineAction;
use fulmarford_lib::platform::Offer;
use fulmarford_lib::policy::LoadReport;
use fulmarford_lib::rules;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::state::State;
use fulmarford_lib::usage::WindowReport;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::Version;
use fulmarford_testutils::fake_platform::FakePlatform;
use fulmarford_testutils::fake_platform::Fault;
use fulmarford_testutils::fake_platform::PlatformModel;
use fulmarford_testutils::proxy::Proxy;
use googletest::prelude::*;

/// Time limit for a condition; a successor waits 7 s for the lease after its election.
const LIMIT: Duration = Duration::from_secs(25);

/// Jump of the wall clock that makes every earlier window due.
const JUMP_SECONDS: u64 = 150;

/// System clock whose wall clock is ahead by a number of seconds.
#[derive(Debug, Default)]
struct ShiftedClock(AtomicU64);

impl Clock for ShiftedClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now() + Duration::from_secs(self.0.load(Ordering::SeqCst))
    }
}

struct Voter {
    control: ControlThread,
    duties: Duties,
    /// Proxy on the connection to each voter.
    proxies: Vec<Proxy>,
}

struct Cluster {
    voters: Vec<Option<Voter>>,
    clock: Arc<ShiftedClock>,
    reports: LoadReports,
    platform: FakePlatform,
}

impl Cluster {
    fn start(model: PlatformModel) -> Self {
        let clock = Arc::new(ShiftedClock::default());
        let mut cluster = Self {
            voters: Vec::new(),
            clock,
            reports: LoadReports::default(),
            platform: FakePlatform::spawn(model).expect("the platform starts"),
        };
        let secret = format!("secret-of-the-test-cluster-{:016x}", rand::random::<u64>());
        let listen = |_| TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let listeners: Vec<_> = (0..3).map(listen).collect();
        let address = |l: &TcpListener| l.local_addr().expect("bound");
        let addresses: Vec<_> = listeners.iter().map(address).collect();
        for (index, listener) in listeners.into_iter().enumerate() {
            let voter = cluster.launch(index, listener, &addresses, &secret);
            cluster.voters.push(Some(voter));
        }
        cluster
    }

    fn launch(
        &self,
        index: usize,
        listener: TcpListener,
        addresses: &[SocketAddr],
        secret: &str,
    ) -> Voter {
        let proxy = |address: &SocketAddr| Proxy::start(*address).expect("the proxy starts");
        let proxies: Vec<_> = addresses.iter().map(proxy).collect();
        let peer = |number: usize| PeerAddress {
            name: format!("i{number}").into(),
            address: match number == index {
                true => addresses[index],
                false => proxies[number].address(),
            },
        };
        let control = ControlThread::start(control_thread::Config {
            instance: format!("i{index}").into(),
            listener,
            address: addresses[index],
            peers: (0..addresses.len()).map(peer).collect(),
            store: Some(Box::new(SimpleStorage::default())),
            bootstrap: true,
            rules: Vec::new(),
            secrets: Secrets::parse(secret).expect("valid"),
            secret_file: None,
            discover: false,
            max_direct_pollers: MAX_DIRECT_POLLERS,
            terms: fulmarford_lib::command::UsageTerms::default(),
            clock: self.clock.clone(),
        })
        .expect("the control thread starts");
        let duties = Duties::start(duties::Config {
            platform: self.platform.address(),
            control: control.control(),
            clock: self.clock.clone(),
            log: DecisionLog::default(),
            reports: self.reports.clone(),
        });
        Voter {
            control,
            duties: duties.expect("the drivers start"),
            proxies,
        }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Voter)> {
        let voters = self.voters.iter().enumerate();
        voters.filter_map(|(index, voter)| Some((index, voter.as_ref()?)))
    }

    fn control(&self, index: usize) -> ClusterControl {
        let voter = self.voters[index].as_ref().expect("the voter runs");
        voter.control.control()
    }

    /// Waits until the leader holds both leases and returns its index.
    fn holder(&self) -> usize {
        wait_for("a leader holds both leases", || {
            let leads = |(index, voter): (usize, &Voter)| {
                let status = voter.control.control().status(Duration::from_secs(1));
                let own = |l: &LeaseStatus| l.holder.as_ref() == Some(&status.instance);
                let leads = status.role == "leader" && status.lease_ms > 0;
                let holds = status.leases.len() == 2 && status.leases.iter().all(own);
                (leads && holds).then_some(index)
            };
            self.running().find_map(leads)
        })
    }

    fn kill(&mut self, index: usize) {
        let voter = self.voters[index].take().expect("the voter runs");
        voter.control.halt();
        voter.duties.halt();
    }

    /// Records completed requests at every voter and waits until the replicated state counts them.
    fn complete_requests(&self) {
        for (index, voter) in self.running() {
            voter.control.control().record(UsageRow {
                workspace: format!("w{index}").as_str().into(),
                class: "c".into(),
                requests: 2,
                prompt: 20,
                output: 200,
            });
        }
        let expected = 200 * self.running().count() as u64;
        wait_for("the state counts the usage", || {
            let known = self.running().find_map(|(_, voter)| {
                let control = voter.control.control();
                inspect(&control, |state| {
                    state.usage().output_tokens().values().sum::<u64>()
                })
            });
            (known? == expected).then_some(())
        });
    }

    fn advance_wall_clock(&self) {
        self.clock.0.fetch_add(JUMP_SECONDS, Ordering::SeqCst);
    }

    /// Waits until the platform has accepted every window and the replicated state shows it.
    fn await_reported(&self) {
        wait_for("every window is reported", || {
            let (index, _) = self.running().find(|(_, voter)| {
                let control = voter.control.control();
                inspect(&control, |_| ()).is_some()
            })?;
            let open = inspect(&self.control(index), |state| {
                let usage = state.usage();
                usage.open_rows() + usage.frozen().count()
            });
            (open? == 0).then_some(())
        });
    }

    /// Checks that all reports of a window are identical, and the total number of requests.
    fn check_usage(&self, requests: u64) {
        let mut sent: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for (path, body) in self.platform.bodies() {
            if path.starts_with("/v1/usage/") {
                let first = sent.entry(path).or_insert_with(|| body.clone());
                expect_that!(*first, eq(&body));
            }
        }
        let accepted = self.platform.with_model(|model| model.usage().clone());
        let rows = |bytes: &Vec<u8>| {
            let report: WindowReport = serde_json::from_slice(bytes).expect("a report");
            report.rows
        };
        let rows: Vec<_> = accepted.values().flat_map(rows).collect();
        let total: u64 = rows.iter().map(|row| row.counts.requests).sum();
        expect_that!(total, eq(requests));
    }

    fn fences(&self) -> Vec<u64> {
        let fences = |model: &mut PlatformModel| model.writes.iter().map(|w| w.fence).collect();
        self.platform.with_model(fences)
    }
}

fn inspect<T: Send + 'static>(
    control: &ClusterControl,
    function: impl FnOnce(&State) -> T + Send + 'static,
) -> Option<T> {
    let result = control.inspect(function);
    result.recv_timeout(Duration::from_secs(1)).ok()
}

fn wait_for<T>(what: &str, mut test: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LIMIT;
    loop {
        if let Some(value) = test() {
            return value;
        }
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a platform that ignores fencing numbers and offers no endpoints, so only usage is written.
fn usage_only() -> PlatformModel {
    let mut model = PlatformModel::new(Vec::new());
    model.fencing = false;
    model
}

fn offers() -> PlatformModel {
    let offer = |zone: &str| Offer {
        zone: zone.into(),
        reclaimable: false,
        price: 1.0,
        limit: 4,
    };
    let mut model = PlatformModel::new(vec![offer("a"), offer("b")]);
    model.fencing = false;
    model.boot_time = Duration::ZERO;
    model.list_age = Duration::ZERO;
    model
}

/// Guards against windows that are never reported, reported twice or reported with wrong counts.
#[gtest]
fn report_each_window_once() {
    let cluster = Cluster::start(usage_only());
    cluster.holder();
    cluster.complete_requests();
    cluster.advance_wall_clock();
    cluster.await_reported();
    cluster.check_usage(6);
    let accepted = cluster.platform.with_model(|model| model.usage().len());
    expect_that!(cluster.platform.bodies().len(), eq(accepted));
}

/// Guards against usage that is lost or changed when the leader crashes before the freeze.
#[gtest]
fn report_after_crash_before_freeze() {
    let mut cluster = Cluster::start(usage_only());
    let holder = cluster.holder();
    cluster.complete_requests();
    cluster.kill(holder);
    cluster.advance_wall_clock();
    cluster.await_reported();
    cluster.check_usage(6);
}

/// Guards against a frozen window that is lost or changed when the leader crashes before its report
/// arrives.
#[gtest]
fn report_after_crash_before_report() {
    let mut cluster = Cluster::start(usage_only());
    let holder = cluster.holder();
    cluster.complete_requests();
    for _ in 0..2 {
        cluster.platform.inject(Fault::LoseRequest);
    }
    cluster.advance_wall_clock();
    wait_for("a window is frozen", || {
        let status = cluster.control(holder).status(Duration::from_secs(1));
        (!status.unreported.is_empty()).then_some(())
    });
    cluster.kill(holder);
    cluster.await_reported();
    cluster.check_usage(6);
}

/// Guards against a resend with other counts when the leader crashes and the response is lost.
#[gtest]
fn report_after_crash_with_response_lost() {
    let mut cluster = Cluster::start(usage_only());
    let holder = cluster.holder();
    cluster.complete_requests();
    cluster.platform.inject(Fault::LoseResponse);
    cluster.advance_wall_clock();
    wait_for("a report arrives", || {
        (!cluster.platform.bodies().is_empty()).then_some(())
    });
    cluster.kill(holder);
    cluster.await_reported();
    cluster.check_usage(6);
    expect_that!(cluster.fences(), contains(eq(&2)));
    expect_that!(cluster.fences().is_sorted(), eq(true));
}

/// Guards against a leader that is partitioned from the other voters, but not from the platform, and
/// writes after its successor has, and against a successor that does not wait for the old lease.
#[gtest]
fn write_from_partitioned_leader() {
    let cluster = Cluster::start(usage_only());
    let holder = cluster.holder();
    cluster.complete_requests();
    // Lost responses make both leaders keep sending.
    for _ in 0..100 {
        cluster.platform.inject(Fault::LoseResponse);
    }
    cluster.advance_wall_clock();
    wait_for("a report arrives", || {
        (!cluster.fences().is_empty()).then_some(())
    });
    let set_partition = |cut| {
        for (index, voter) in cluster.running() {
            for (number, proxy) in voter.proxies.iter().enumerate() {
                if index == holder || number == holder {
                    proxy.set_blocked(cut);
                }
            }
        }
    };
    let start = Instant::now();
    set_partition(true);
    wait_for("the successor writes", || {
        cluster.fences().contains(&2).then_some(())
    });
    expect_that!(start.elapsed(), ge(LEASE_DURATION + IN_FLIGHT_TIMEOUT));
    set_partition(false);
    let before = cluster.fences().len();
    wait_for("a write after the partition", || {
        (cluster.fences().len() > before).then_some(())
    });
    expect_that!(cluster.fences().is_sorted(), eq(true));
    cluster.check_usage(6);
}

/// Guards against a graceful stop that keeps the leases, which makes the successor wait 7 s.
#[gtest]
fn stop_releases_leases() {
    let mut cluster = Cluster::start(usage_only());
    let holder = cluster.holder();
    let voter = cluster.voters[holder].take().expect("the voter runs");
    let start = Instant::now();
    voter.duties.stop(Duration::from_secs(5));
    voter.control.stop(Duration::from_secs(2));
    cluster.holder();
    expect_that!(start.elapsed(), lt(Duration::from_secs(5)));
}

/// Guards against resending an executed order whose response was lost, by the same leader or the
/// next one.
#[gtest]
fn order_with_response_lost() {
    let mut cluster = Cluster::start(offers());
    cluster.platform.inject(Fault::LoseResponse);
    let await_accepted = |cluster: &Cluster| {
        wait_for("all orders are accepted", || {
            cluster.running().find_map(|(_, voter)| {
                let closed = inspect(&voter.control.control(), |state| {
                    let orders = state.orders();
                    orders.open().count() == 0 && orders.accepted().count() == 2
                });
                closed.filter(|closed| *closed)
            })
        })
    };
    await_accepted(&cluster);
    let holder = cluster.holder();
    cluster.kill(holder);
    cluster.holder();
    await_accepted(&cluster);
    let mut sent: Vec<_> = cluster.platform.bodies();
    expect_that!(sent.len(), eq(2));
    sent.dedup();
    expect_that!(sent.len(), eq(2));
    expect_that!(cluster.fences().is_sorted(), eq(true));
}

/// Guards against engine orders that are missing or lack the fencing number of the lease.
#[gtest]
fn order_engine_to_load() {
    let cluster = Cluster::start(usage_only());
    let holder = cluster.holder();
    let address = cluster.platform.address();
    let lines = [
        "workspace w # t".to_owned(),
        "class c tier=1 first=10s idempotent=yes # t".to_owned(),
        format!("endpoint e address={address} zone=z models=m # t"),
        "route r workspace=w class=c model=m endpoints=e # t".to_owned(),
    ];
    let edit = |line: &String| Edit::Set(rules::parse_line(line).expect("valid"));
    let change = Command::Apply(Change {
        id: "a".into(),
        expected: Version(0),
        author: "test".to_owned(),
        edits: lines.iter().map(edit).collect(),
    });
    let reply = cluster.control(holder).submit(change, LIMIT);
    let version = Version(1);
    expect_that!(reply, eq(&Ok(Reply::Applied { version })));
    wait_for("the engine is ordered to load", || {
        cluster.reports.insert(
            Instant::now(),
            LoadReport {
                endpoint: "e".into(),
                running: 0,
                waiting: 0,
                slots: 8,
                kv: 0.0,
                leaving: false,
                models: Vec::new(),
                sequence: 1,
            },
        );
        (!cluster.platform.engine_orders().is_empty()).then_some(())
    });
    let order = &cluster.platform.engine_orders()[0];
    expect_that!(order.fence, eq(1));
    let model = "m".into();
    expect_that!(order.action, eq(&EngineAction::Load { model }));
}
