//! An entry gets SIGTERM while clients send the heads of long requests.

use std::cell::Cell;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::http;
use crate::http::Connection;
use crate::process::Machine;
use crate::process::Site;
use crate::process::Start;
use crate::record::Record;
use crate::replace;
use crate::wait;
use crate::world::BY_SIZE;
use crate::world::Engine;
use crate::world::Platform;
use crate::world::Work;

/// Events of the streams before the stop: the 16 parts of a log-normal distribution with the mean of 64 and the spread of
/// 0.44 that the site file states for `cut-plan`.
const USUAL: [u32; 16] = [
    45, 90, 37, 75, 131, 56, 25, 81, 52, 103, 32, 69, 41, 64, 48, 60,
];
/// Events of a long stream; the site file states 187 at most.
const LONG: u32 = 187;
/// An event of 6 tokens every 25 ms, as with a good half of an engine's slots taken.
const WORK: Work = Work {
    events: BY_SIZE,
    gap: Duration::from_millis(25),
};
/// When clients connect after SIGTERM and send the first line; load balancers still send new connections then.
const CONNECT: Duration = Duration::from_millis(500);
/// When they send the rest: later than 3 s after SIGTERM, the limit of the rule's excuse, and within the
/// `header_timeout_ms` (3 s) that the configuration gives them.
const SEND: Duration = Duration::from_millis(3_200);
const LATE_CLIENTS: u32 = 5;
const GRACE: Duration = Duration::from_secs(8);

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r1","host":"app.example","path_prefix":"/gen/","route_kind":"streaming","timeout_ms":15000,"objective_ms":2500,"priority":2,"service":"llm","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,"gap_objective_ms":1200}],"services":[{"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

fn request(id: &str, events: u32) -> Vec<u8> {
    let size = format!("826,{}", events * 6);
    let headers = [
        ("Host", "app.example"),
        ("Fulmarford-Request-Id", id),
        ("Fulmarford-Model", "m"),
        ("Fulmarford-Token-Count", size.as_str()),
        ("Fulmarford-Deadline-Ms", "15000"),
        ("Fulmarford-Key", "n2ctnfzs989anu6wsjnb"),
    ];
    http::request("POST", "/gen/1", &headers, b"{}")
}

/// Sends a request, with a pause in its head, and returns the status and whether the answer was complete.
fn call(front: SocketAddr, bytes: &[u8], pause: impl FnOnce()) -> Result<(u16, bool), String> {
    let mut connection = Connection::open(front, Duration::from_secs(16))?;
    let (first, rest) = bytes.split_at(24);
    connection.send(first)?;
    pause();
    connection.send(rest)?;
    let answer = connection.answer()?;
    Ok((answer.status(), answer.whole))
}

/// Runs the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::create(15);
    let platform = Platform::start(site.address(8223));
    let engines: Vec<_> = (0..3)
        .map(|number| {
            let id = format!("i-{number}");
            let engine = Engine::start(id, "llm", site.address(8080), 64, WORK, record);
            platform.list(&engine, "ready");
            engine
        })
        .collect();
    let mut cores: Vec<_> = (0..3)
        .map(|n| Machine::new(&site, &format!("core-{n}"), true))
        .collect();
    let mut edge = Machine::new(&site, "edge-0", false);
    let controls: Vec<SocketAddr> = cores.iter().map(Machine::control).collect();
    let start = Start {
        seeds: &controls,
        bootstrap: true,
        platform: platform.address,
    };
    for machine in cores.iter_mut().chain([&mut edge]) {
        machine.start(&site, &start);
    }
    let outcome = play(&controls, &engines, &mut edge, record, trouble);
    drop(edge);
    drop(cores);
    site.remove();
    outcome
}

fn play(
    controls: &[SocketAddr],
    engines: &[Arc<Engine>],
    edge: &mut Machine,
    record: &Arc<Record>,
    trouble: bool,
) -> Outcome {
    if replace(controls, DOCUMENT, Duration::from_secs(15), record).is_none() {
        return Outcome::NotRun;
    }
    let front = edge.front();
    let usual = |id: &str, events: u32| {
        let answer = call(front, &request(id, events), || {});
        matches!(answer, Ok((200, true)))
    };
    let tries = Cell::new(0);
    let is_served = || {
        tries.set(tries.get() + 1);
        usual(&format!("first{}", tries.get()), 50)
    };
    if !wait(Duration::from_secs(8), is_served) {
        return Outcome::NotRun;
    }
    let served = (0..)
        .zip(USUAL)
        .filter(|(number, events)| usual(&format!("u{number}"), *events));
    let served = served.count();
    record.say(&format!(
        "{served} of {} usual streams were complete",
        USUAL.len()
    ));
    // Nothing unplanned has happened for contact_ms when the stop begins.
    let signalled = Instant::now();
    if trouble {
        let id = edge.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        record.say("the entry gets SIGTERM");
    }
    let clients: Vec<_> = (0..LATE_CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let after =
                    |time: Duration| (signalled + time).saturating_duration_since(Instant::now());
                let pause = Duration::from_millis(50) * number;
                let id = format!("late{number}");
                thread::sleep(after(CONNECT + pause));
                let mut sent = Duration::ZERO;
                let answer = call(front, &request(&id, LONG), || {
                    thread::sleep(after(SEND + pause));
                    sent = signalled.elapsed();
                    record.add(&format!("sent {id}, {} ms after SIGTERM", sent.as_millis()));
                });
                record.say(&format!(
                    "{id}: sent {:.1} s after SIGTERM; answer {answer:?} after {:.1} s",
                    sent.as_secs_f64(),
                    signalled.elapsed().as_secs_f64()
                ));
                (id, answer)
            })
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    if trouble {
        // SIGKILL follows at the end of the grace time if the process has not ended.
        thread::sleep((signalled + GRACE).saturating_duration_since(Instant::now()));
        edge.kill();
    }
    let was_run = |id: &str| engines.iter().any(|engine| engine.has_run(id));
    let is_whole = |answer: &Result<(u16, bool), String>| matches!(answer, Ok((_, true)));
    let lost = answers
        .iter()
        .filter(|(id, answer)| was_run(id) && !is_whole(answer));
    let lost = lost.count();
    record.say(&format!(
        "{lost} of {LATE_CLIENTS} late requests were run by an engine and got no whole answer"
    ));
    match (served, lost) {
        (0..16, _) => Outcome::NotRun,
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
