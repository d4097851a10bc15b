//! Engines are replaced one after the other while streams run; afterwards, new clients connect.

use std::collections::VecDeque;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::http::Connection;
use crate::process::Machine;
use crate::process::Site;
use crate::process::Start;
use crate::record::Record;
use crate::replace;
use crate::wait;
use crate::world::Engine;
use crate::world::Platform;
use crate::world::Work;

/// Engines of the service, with 64 slots each, as on the sheet of pmm-corte.
const ENGINES: usize = 9;
const SLOTS: usize = 64;
/// Clients that keep a connection and have one stream open each.
const CLIENTS: usize = 500;
/// A stream of 13 events, half a second apart.
const WORK: Work = Work {
    events: 13,
    gap: Duration::from_millis(500),
};
/// Pause between two replacements, and engines that one release replaces (share 0.45 of 9).
const GAP: Duration = Duration::from_millis(800);
const SHARE: usize = 4;
/// Releases in a row.
const RELEASES: usize = 21;
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(3_000);
/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Clients that try to connect at the end; the rule asks for seven or more.
const NEWCOMERS: usize = 8;
/// `timeout_ms` of their route (`cut-commit`), the time after it at which the rule asks for an answer, and their deadline.
const TIMEOUT: Duration = Duration::from_millis(800);
const LATE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_500);
/// The engines of their service, which are not replaced.
const APP_ENGINES: usize = 4;
const APP_SLOTS: usize = 6;
const APP_WORK: Work = Work {
    events: 0,
    gap: Duration::from_millis(30),
};
/// Time for which they try; any span of `contact_ms` counts.
const TRIAL: Duration = Duration::from_secs(10);

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r1","host":"app.example","path_prefix":"/gen/","route_kind":"streaming","timeout_ms":15000,"objective_ms":2500,"priority":2,"service":"llm","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,"gap_objective_ms":1200},{"name":"r2","host":"app.example","path_prefix":"/app/","route_kind":"non_idempotent","timeout_ms":800,"objective_ms":150,"priority":2,"service":"app","max_attempts":1,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Sends one request on an open connection; returns the status and whether the body was whole.
fn request(connection: &mut Connection, id: &str) -> Result<(u16, bool), String> {
    let headers = [
        ("Host", "app.example"),
        ("Fulmarford-Request-Id", id),
        ("Fulmarford-Model", "m"),
        ("Fulmarford-Token-Count", "826,49"),
        ("Fulmarford-Deadline-Ms", "15000"),
        ("Fulmarford-Key", "n2ctnfzs989anu6wsjnb"),
    ];
    let answer = connection.call("POST", "/gen/1", &headers, b"{}")?;
    Ok((answer.status(), answer.whole))
}

fn descriptor_count(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// A client that keeps its connection for many streams.
fn client(
    front: SocketAddr,
    number: usize,
    stop: &AtomicBool,
    counts: &[AtomicU64; 3],
    record: &Record,
) {
    let mut connection = None;
    let mut turn = 0;
    // Streams begin at different times.
    thread::sleep(Duration::from_millis(number as u64 * 12));
    while !stop.load(Ordering::Relaxed) {
        turn += 1;
        let id = format!("c{number}-{turn}");
        let opened = match connection.take() {
            Some(open) => Ok(open),
            None => Connection::open(front, Duration::from_secs(15)),
        };
        let answer = opened.and_then(|mut open| {
            record.add(&format!("sent {id}"));
            let answer = request(&mut open, &id)?;
            connection = Some(open);
            Ok(answer)
        });
        record.add(&format!("answer {id}: {answer:?}"));
        let kind = match answer {
            Ok((200, true)) => 0,
            Ok(_) => 1,
            Err(_) => 2,
        };
        counts[kind].fetch_add(1, Ordering::Relaxed);
        if kind > 0 {
            thread::sleep(Duration::from_millis(500));
        }
    }
}

/// Replaces the oldest engine: the new one starts first, the old one drains and ends when its streams have ended.
fn replace_engine(
    site: &Site,
    platform: &Platform,
    live: &mut VecDeque<Arc<Engine>>,
    number: usize,
    record: &Arc<Record>,
) {
    let new = Engine::start(
        format!("i-{number}"),
        "llm",
        site.address(8080),
        SLOTS,
        WORK,
        record,
    );
    platform.list(&new, "ready");
    live.push_back(new);
    let Some(old) = live.pop_front() else { return };
    old.leave();
    platform.list(&old, "draining");
    record.add(&format!("engine {} drains", old.id));
    let (platform, record) = (platform.clone(), record.clone());
    thread::spawn(move || {
        thread::sleep(DRAIN);
        wait(Duration::from_secs(12), || old.active() == 0);
        platform.remove(&old);
        old.end();
        record.add(&format!("engine {} has ended", old.id));
    });
}

/// Runs the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::create(1);
    let platform = Platform::start(site.address(8223));
    let mut live = VecDeque::new();
    for number in 0..ENGINES {
        let engine = Engine::start(
            format!("i-{number}"),
            "llm",
            site.address(8080),
            SLOTS,
            WORK,
            record,
        );
        platform.list(&engine, "ready");
        live.push_back(engine);
    }
    let _app: Vec<_> = (0..APP_ENGINES)
        .map(|number| {
            let (id, address) = (format!("a-{number}"), site.address(8080));
            let engine = Engine::start(id, "app", address, APP_SLOTS, APP_WORK, record);
            platform.list(&engine, "ready");
            engine
        })
        .collect();
    let mut cores: Vec<_> = (0..3)
        .map(|n| Machine::new(&site, &format!("core-{n}"), true))
        .collect();
    let mut edge = Machine::new(&site, "edge-0", false);
    let seeds: Vec<SocketAddr> = cores.iter().map(Machine::control).collect();
    let start = Start {
        seeds: &seeds,
        bootstrap: true,
        platform: platform.address,
    };
    for machine in cores.iter_mut().chain([&mut edge]) {
        machine.start(&site, &start);
    }
    let outcome = play(&site, &platform, &mut live, &seeds, &edge, record, trouble);
    drop(edge);
    drop(cores);
    site.remove();
    outcome
}

fn play(
    site: &Site,
    platform: &Platform,
    live: &mut VecDeque<Arc<Engine>>,
    controls: &[SocketAddr],
    edge: &Machine,
    record: &Arc<Record>,
    trouble: bool,
) -> Outcome {
    if replace(controls, DOCUMENT, Duration::from_secs(15), record).is_none() {
        return Outcome::NotRun;
    }
    let front = edge.front();
    let readiness = watch_readiness(edge.ready(), record);
    let is_ready = || readiness.load(Ordering::Relaxed);
    let first = wait(Duration::from_secs(8), || {
        let connection = Connection::open(front, Duration::from_secs(9));
        let answer = connection.and_then(|mut open| request(&mut open, "first"));
        matches!(answer, Ok((200, true)))
    });
    if !first {
        return Outcome::NotRun;
    }
    let stop: Arc<AtomicBool> = Arc::default();
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    for number in 0..CLIENTS {
        let (stop, counts, record) = (stop.clone(), counts.clone(), record.clone());
        thread::spawn(move || client(front, number, &stop, &counts, &record));
    }
    thread::sleep(Duration::from_secs(8));
    let show = |text: &str| {
        let [whole, failed, lost] = &*counts;
        record.say(&format!(
            "{text}: streams whole {}, answered otherwise {}, without answer {}; the entry has {} descriptors open",
            whole.load(Ordering::Relaxed),
            failed.load(Ordering::Relaxed),
            lost.load(Ordering::Relaxed),
            descriptor_count(edge.id())
        ));
    };
    show("before the releases");
    let mut number = ENGINES;
    for release in 0..RELEASES {
        for _ in 0..SHARE {
            if trouble {
                replace_engine(site, platform, live, number, record);
                number += 1;
            }
            thread::sleep(GAP);
        }
        show(&format!("release {}", release + 1));
    }
    // The last engines have ended, and nothing has been changed for contact_ms.
    thread::sleep(DRAIN + Duration::from_secs(5) + CONTACT);
    show("calm");
    let before = is_ready();
    let tries = newcomers(front, record);
    let after = is_ready();
    show("at the end");
    stop.store(true, Ordering::Relaxed);
    let mut answered: Vec<Duration> = tries
        .iter()
        .filter_map(|(begun, took)| Some(*begun + (*took)?))
        .collect();
    answered.sort_unstable();
    let (mut longest, mut last) = (Duration::ZERO, Duration::ZERO);
    for at in answered
        .iter()
        .copied()
        .filter(|at| *at < TRIAL)
        .chain([TRIAL])
    {
        longest = longest.max(at.saturating_sub(last));
        last = at;
    }
    let open_after = |time: Duration| {
        tries
            .iter()
            .filter(|(_, took)| took.is_none_or(|took| took > time))
            .count()
    };
    let (at_timeout, late) = (open_after(TIMEOUT), open_after(TIMEOUT + LATE));
    record.say(&format!(
        "the entry says that it is ready: {before}, {after}; {NEWCOMERS} clients tried {} new connections in {} s, {} got an answer; longest time without one: {:.1} s; {at_timeout} had none at timeout_ms, {late} none half a second later",
        tries.len(),
        TRIAL.as_secs(),
        answered.len(),
        longest.as_secs_f64()
    ));
    // RECOVER, and CONFIG for requests that are still unanswered at `timeout_ms`.
    let is_broken = longest >= CONTACT && late >= 8 && 2 * late > at_timeout;
    match (before, after) {
        (200, 200) if is_broken => Outcome::Broken,
        (200, 200) => Outcome::Held,
        _ => Outcome::NotRun,
    }
}

/// Asks once a second, on a connection that is kept, whether the entry is ready; returns the latest status, or 0 if
/// there was no answer.
fn watch_readiness(address: SocketAddr, record: &Arc<Record>) -> Arc<AtomicU64> {
    let status = Arc::new(AtomicU64::new(0));
    let (shown, record) = (status.clone(), record.clone());
    thread::spawn(move || {
        let mut connection = None;
        loop {
            let opened = match connection.take() {
                Some(open) => Ok(open),
                None => Connection::open(address, Duration::from_secs(1)),
            };
            let answer = opened.and_then(|mut open| {
                let answer = open.call("GET", "/v1/readyz", &[("Host", "ready")], b"")?;
                connection = Some(open);
                Ok(answer.status())
            });
            record.add(&format!("ready: {answer:?}"));
            shown.store(answer.map_or(0, u64::from), Ordering::Relaxed);
            thread::sleep(Duration::from_secs(1));
        }
    });
    status
}

/// Lets clients try new connections; returns when each attempt began, and how long its answer took if there was any.
fn newcomers(front: SocketAddr, record: &Arc<Record>) -> Vec<(Duration, Option<Duration>)> {
    let start = Instant::now();
    let clients: Vec<_> = (0..NEWCOMERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let mut tries = Vec::new();
                while start.elapsed() < TRIAL {
                    let id = format!("new{number}-{}", tries.len());
                    let begun = start.elapsed();
                    let connection = Connection::open(front, Duration::from_secs(1));
                    let answer = connection.and_then(|mut open| {
                        open.set_limit(DEADLINE)?;
                        record.add(&format!("sent {id} on a new connection"));
                        let headers = [
                            ("Host", "app.example"),
                            ("Fulmarford-Request-Id", id.as_str()),
                            ("Fulmarford-Deadline-Ms", "1500"),
                            ("Fulmarford-Key", "n2ctnfzs989anu6wsjnb"),
                        ];
                        open.call("POST", "/app/1", &headers, b"{}")
                    });
                    let status = answer.as_ref().map(|answer| answer.status());
                    record.add(&format!("answer {id}: {status:?}"));
                    tries.push((begun, answer.ok().map(|_| start.elapsed() - begun)));
                    thread::sleep(Duration::from_millis(250));
                }
                tries
            })
        })
        .collect();
    clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect()
}
