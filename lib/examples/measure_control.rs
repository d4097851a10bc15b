//! Measures control threads over loopback: traffic, CPU time and delay of changes by number of
//! instances, commits with synced storage, failover, and installation of views. The results are in
//! `docs/measurements.md`.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::cluster_control::ClusterControl;
use fulmarford_lib::command::Change;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Reply;
use fulmarford_lib::control::Control;
use fulmarford_lib::control_core::MAX_DIRECT_POLLERS;
use fulmarford_lib::control_core::PeerAddress;
use fulmarford_lib::control_thread::Config;
use fulmarford_lib::control_thread::ControlThread;
use fulmarford_lib::dissemination::Delta;
use fulmarford_lib::dissemination::Subscriber;
use fulmarford_lib::dissemination::Update;
use fulmarford_lib::file_storage::FileStorage;
use fulmarford_lib::peer::Secrets;
use fulmarford_lib::rules;
use fulmarford_lib::simple_storage::SimpleStorage;
use fulmarford_lib::storage::LogStore;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::Version;
use gumdrop::Options;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Timeout of every operation and awaited condition.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Arguments of the measurement.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// What to measure: scale, commit, failover or view.
    #[options(free, required)]
    what: String,
    /// Number of control threads.
    #[options(no_short, default = "8")]
    cores: usize,
    /// Seconds of the idle part.
    #[options(no_short, default = "10")]
    seconds: u64,
    /// Changes, commits or leader losses.
    #[options(no_short, default = "20")]
    rounds: u64,
    /// Seed of the pauses between rounds.
    #[options(no_short, default = "1")]
    seed: u64,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.what.as_str() {
        "scale" => measure_scale(&arguments),
        "commit" => measure_commit(&arguments),
        "failover" => measure_failover(&arguments),
        "view" => measure_view(&arguments),
        other => eprintln!("unknown measurement {other:?}"),
    }
}

enum Store {
    Memory(SimpleStorage),
    Folder(tempfile::TempDir),
}

struct Cluster {
    peers: Vec<PeerAddress>,
    stores: Vec<Store>,
    threads: Vec<Option<ControlThread>>,
}

impl Cluster {
    /// Starts a cluster and waits until every instance has a view.
    fn start(voters: usize, non_voters: usize, synced: bool) -> Self {
        let listeners: Vec<_> = (0..voters + non_voters)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
            .collect();
        let peers = (0..voters)
            .map(|index| PeerAddress {
                name: format!("i{index}").into(),
                address: listeners[index].local_addr().expect("bound"),
            })
            .collect();
        let store = || match synced {
            true => Store::Folder(tempfile::tempdir().expect("temporary folder")),
            false => Store::Memory(SimpleStorage::default()),
        };
        let mut cluster = Self {
            peers,
            stores: (0..voters).map(|_| store()).collect(),
            threads: Vec::new(),
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let address = listener.local_addr().expect("bound");
            let thread = cluster.start_thread(index, listener, address);
            cluster.threads.push(Some(thread));
        }
        for index in 0..voters + non_voters {
            wait_for(|| cluster.control(index).view(Instant::now()).ok());
        }
        cluster
    }

    fn start_thread(
        &self,
        index: usize,
        listener: TcpListener,
        address: SocketAddr,
    ) -> ControlThread {
        let store = self
            .stores
            .get(index)
            .map(|store| -> Box<dyn LogStore + Send> {
                match store {
                    Store::Memory(store) => Box::new(store.clone()),
                    Store::Folder(folder) => {
                        Box::new(FileStorage::open(folder.path()).expect("the folder opens"))
                    }
                }
            });
        ControlThread::start(Config {
            instance: format!("i{index}").into(),
            listener,
            address,
            peers: self.peers.clone(),
            store,
            bootstrap: true,
            rules: Vec::new(),
            secrets: Secrets::parse("secret-of-the-measurement").expect("valid"),
            secret_file: None,
            discover: false,
            max_direct_pollers: MAX_DIRECT_POLLERS,
            terms: fulmarford_lib::command::UsageTerms::default(),
            clock: Arc::new(SystemClock),
        })
        .expect("the control thread starts")
    }

    fn control(&self, index: usize) -> ClusterControl {
        self.threads[index].as_ref().expect("runs").control()
    }

    /// Returns the control of the last instance, which has no vote if there are non-voters.
    fn last_control(&self) -> ClusterControl {
        self.control(self.threads.len() - 1)
    }

    /// Returns the index of the instance that leads with a valid lease, once there is one.
    fn leader(&self) -> usize {
        wait_for(|| {
            (0..self.peers.len()).find(|index| {
                let thread = self.threads[*index].as_ref();
                thread.is_some_and(|thread| {
                    let status = thread.control().status(TIMEOUT);
                    status.role == "leader" && status.lease_ms > 0
                })
            })
        })
    }

    /// Returns the numbers of bytes received, bytes sent and calls of an instance.
    fn traffic(&self, index: usize) -> [u64; 3] {
        let status = self.control(index).status(TIMEOUT);
        [status.received_bytes, status.sent_bytes, status.calls]
    }
}

/// Polls until a value is available and returns it.
fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            Instant::now() < end,
            "the condition does not hold within {TIMEOUT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

fn change(version: u64) -> Command {
    let line = format!(
        "workspace w{} weight={} # measurement",
        version % 100,
        version + 1
    );
    Command::Apply(Change {
        id: format!("change-{version}").into(),
        expected: Version(version),
        author: "measurement".to_owned(),
        edits: vec![Edit::Set(rules::parse_line(&line).expect("valid"))],
    })
}

/// Returns the CPU time of each thread named `control`, by thread id and in ticks of 10 ms.
fn control_cpu_ticks() -> BTreeMap<String, u64> {
    let mut ticks = BTreeMap::new();
    for task in fs::read_dir("/proc/self/task").expect("tasks").flatten() {
        let Ok(text) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let Some((head, rest)) = text.split_once(") ") else {
            continue;
        };
        if head.ends_with("(control") {
            let fields: Vec<_> = rest.split(' ').collect();
            let number = |index: usize| fields[index].parse::<u64>().unwrap_or(0);
            let name = task.file_name().to_string_lossy().into_owned();
            ticks.insert(name, number(11) + number(12));
        }
    }
    ticks
}

/// Prints the count and quantiles of values.
fn print_quantiles(name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| values[((values.len() - 1) as f64 * share).round() as usize];
    println!(
        "{name}: n {} median {:.1} p90 {:.1} p99 {:.1} max {:.1}",
        values.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0)
    );
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn measure_scale(arguments: &Arguments) {
    let voters = if arguments.cores < 3 { 1 } else { 3 };
    let cluster = Cluster::start(voters, arguments.cores - voters, false);
    let mut rng = StdRng::seed_from_u64(arguments.seed);
    assert_eq!(
        cluster.last_control().submit(change(0), TIMEOUT),
        applied(1)
    );
    assert!(cluster.last_control().await_version(Version(1), TIMEOUT));
    let leader = cluster.leader();
    let before: Vec<_> = (0..arguments.cores).map(|i| cluster.traffic(i)).collect();
    let (started, cpu) = (Instant::now(), control_cpu_ticks());
    thread::sleep(Duration::from_secs(arguments.seconds));
    let (seconds, after_cpu) = (started.elapsed().as_secs_f64(), control_cpu_ticks());
    let mut rows: BTreeMap<&str, Vec<[f64; 3]>> = BTreeMap::new();
    for (index, before) in before.iter().enumerate() {
        let after = cluster.traffic(index);
        let row = [0, 1, 2].map(|i| (after[i] - before[i]) as f64 / seconds);
        let role = match index {
            _ if index == leader => "leader",
            _ if index < voters => "follower",
            _ => "other",
        };
        rows.entry(role).or_default().push(row);
    }
    for (role, rows) in rows {
        let mean = |i: usize| rows.iter().map(|row| row[i]).sum::<f64>() / rows.len() as f64;
        println!(
            "idle {role} ({}): received {:.0} B/s, sent {:.0} B/s, calls {:.1}/s",
            rows.len(),
            mean(0),
            mean(1),
            mean(2)
        );
    }
    let mut percentages: Vec<_> = after_cpu
        .iter()
        .map(|(name, ticks)| (ticks - cpu.get(name).unwrap_or(&0)) as f64 / seconds)
        .collect();
    percentages.sort_by(f64::total_cmp);
    let total: f64 = percentages.iter().sum();
    println!(
        "idle CPU per thread: mean {:.2} %, highest {:.2} %, all {:.2} %",
        total / percentages.len() as f64,
        percentages[percentages.len() - 1],
        total
    );
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for version in 1..=arguments.rounds {
        thread::sleep(Duration::from_millis(rng.random_range(50..350)));
        let started = Instant::now();
        assert_eq!(
            cluster.last_control().submit(change(version), TIMEOUT),
            applied(version + 1)
        );
        accepted.push(milliseconds(started.elapsed()));
        assert!(
            cluster
                .last_control()
                .await_version(Version(version + 1), TIMEOUT)
        );
        in_force.push(milliseconds(started.elapsed()));
    }
    print_quantiles("change accepted, ms", accepted);
    print_quantiles("change in force, ms", in_force);
    let memory = fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in memory.lines().filter(|line| line.starts_with("VmRSS")) {
        println!("memory of the process: {line}");
    }
}

fn applied(version: u64) -> Result<Reply, fulmarford_lib::control::SubmitError> {
    let version = Version(version);
    Ok(Reply::Applied { version })
}

/// Returns a command that always commits and hardly changes the state.
fn small_command(number: u64) -> Command {
    Command::ClearSuspect {
        fingerprint: number,
    }
}

fn measure_commit(arguments: &Arguments) {
    let cluster = Cluster::start(3, 1, true);
    let leader = cluster.leader();
    for (name, control) in [
        ("leader", cluster.control(leader)),
        ("other", cluster.last_control()),
    ] {
        let mut times = Vec::new();
        for number in 0..arguments.rounds {
            let started = Instant::now();
            assert_eq!(
                control.submit(small_command(number), TIMEOUT),
                Ok(Reply::Done)
            );
            times.push(milliseconds(started.elapsed()));
        }
        print_quantiles(&format!("commit at {name}, one at a time, ms"), times);
    }
    for callers in [8, 64] {
        let done = Arc::<AtomicU64>::default();
        let end = Instant::now() + Duration::from_secs(arguments.seconds);
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let (control, done) = (cluster.last_control(), done.clone());
                thread::spawn(move || {
                    while Instant::now() < end {
                        if control.submit(small_command(caller), TIMEOUT).is_ok() {
                            done.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                })
            })
            .collect();
        for thread in threads {
            thread.join().expect("joins");
        }
        let rate = done.load(Ordering::Relaxed) as f64 / arguments.seconds as f64;
        println!("commits at other by {callers} callers: {rate:.0}/s");
    }
}

fn measure_failover(arguments: &Arguments) {
    let mut cluster = Cluster::start(3, 2, false);
    let mut rng = StdRng::seed_from_u64(arguments.seed);
    let (mut times, mut expired) = (Vec::new(), 0);
    for version in 0..arguments.rounds {
        let leader = cluster.leader();
        thread::sleep(Duration::from_millis(rng.random_range(300..700)));
        let stop = Arc::<AtomicBool>::default();
        let watchers: Vec<_> = (0..5)
            .filter(|index| *index != leader)
            .map(|index| {
                let (control, stop) = (cluster.control(index), stop.clone());
                thread::spawn(move || {
                    let mut expired = 0_u64;
                    while !stop.load(Ordering::Relaxed) {
                        expired += u64::from(control.view(Instant::now()).is_err());
                        thread::sleep(POLL_INTERVAL);
                    }
                    expired
                })
            })
            .collect();
        cluster.threads[leader].take().expect("runs").halt();
        let started = Instant::now();
        assert_eq!(
            cluster.last_control().submit(change(version), TIMEOUT),
            applied(version + 1)
        );
        times.push(milliseconds(started.elapsed()));
        thread::sleep(Duration::from_millis(300));
        stop.store(true, Ordering::Relaxed);
        for watcher in watchers {
            expired += watcher.join().expect("joins");
        }
        let address = cluster.peers[leader].address;
        let listener = wait_for(|| TcpListener::bind(address).ok());
        cluster.threads[leader] = Some(cluster.start_thread(leader, listener, address));
        wait_for(|| cluster.control(leader).view(Instant::now()).ok());
    }
    print_quantiles("leader lost to next accepted change, ms", times);
    println!("views found expired at the four other instances: {expired}");
}

/// Measures a view of the target size: its encoded size, and the time to install it and single
/// edits.
fn measure_view(arguments: &Arguments) {
    const WORKSPACES: u64 = 20_000;
    let mut edits = Vec::new();
    for number in 0..WORKSPACES {
        let hash = format!("{number:064x}");
        for line in [
            format!("workspace w{number} # measurement"),
            format!("key k{number} workspace=w{number} hash={hash} # measurement"),
            format!("limit w{number} requests=50/s tokens=20000/s concurrency=200 # measurement"),
        ] {
            edits.push(Edit::Set(rules::parse_line(&line).expect("valid")));
        }
    }
    let delta = |from, to, edits| Update {
        epoch: 1,
        age: Duration::ZERO,
        settled: Version(0),
        delta: Delta { from, to, edits },
    };
    let full_update = delta(None, Version(1), edits);
    let bytes = postcard::to_stdvec(&full_update).expect("encodes").len();
    println!("whole view of {} rules: {bytes} bytes", 3 * WORKSPACES);
    let mut subscriber = Subscriber::default();
    let started = Instant::now();
    subscriber.install(started, full_update).expect("installs");
    println!(
        "install of the whole view: {:.1} ms",
        milliseconds(started.elapsed())
    );
    let mut times = Vec::new();
    for round in 1..=arguments.rounds {
        let line = format!("workspace w{round} weight=7 # measurement");
        let edit = Edit::Set(rules::parse_line(&line).expect("valid"));
        let update = delta(Some(Version(round)), Version(round + 1), vec![edit]);
        let started = Instant::now();
        subscriber.install(started, update).expect("installs");
        times.push(milliseconds(started.elapsed()));
    }
    print_quantiles("install of one edit, ms", times);
}
