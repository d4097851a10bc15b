//! The cases.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::world::{Client, KEY, Listed, World, ZONES, document};

/// Events of a cut plan and of a fitter's query, as the sheet states their means.
const PLAN_EVENTS: u64 = 64;
const QUERY_EVENTS: u64 = 49;

/// Pause between events, so that streams last some seconds.
const PAUSE_MS: u64 = 120;

fn fail(reason: &str) -> io::Error {
    io::Error::other(reason.to_owned())
}

/// Plays a case and returns whether the rule held.
pub fn play(case: &str, record: &str, folder: &str, trouble: bool) -> io::Result<bool> {
    let entries = if case == "silent" { 8 } else { 2 };
    let mut world = World::start(Path::new(folder).to_owned(), record, 5, entries)?;
    world.note(&format!("case {case}, trouble {trouble}"));
    let held = match case {
        "reclaimed" => reclaimed(&mut world, trouble),
        "reborn" => reborn(&mut world, trouble),
        "silent" => silent(&mut world, trouble),
        _ => Err(fail("unknown case")),
    }?;
    world.note(if held { "verdict: the rule held" } else { "verdict: the rule was broken" });
    Ok(held)
}

fn tenants() -> String {
    format!("{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}")
}

/// Starts and lists engines: eight for streams, two in each zone, and two for plain requests.
fn start_engines(world: &mut World, reclaimable: &str) -> io::Result<()> {
    let mut listed = Vec::new();
    for n in 0..8u8 {
        let zone = ZONES[usize::from(n) / 2];
        let id = format!("i-llm{n}");
        let address = world.start_engine(&id, 150 + n)?;
        listed.push(Listed { id, service: "huvo11a", address, zone, spot: zone == reclaimable, leaves: None });
    }
    for n in 0..2u8 {
        let id = format!("i-app{n}");
        let address = world.start_engine(&id, 180 + n)?;
        let zone = ZONES[usize::from(n)];
        listed.push(Listed { id, service: "wuno96b", address, zone, spot: false, leaves: None });
    }
    world.list.change(|list| *list = listed);
    Ok(())
}

fn prepare(world: &mut World, reclaimable: &str) -> io::Result<()> {
    start_engines(world, reclaimable)?;
    if !world.configure(&document(1, &tenants())) {
        return Err(fail("the configuration was not acknowledged"));
    }
    for entry in 1..=2 {
        for path in ["/plan/1-10", "/query/1-10", "/stock/a"] {
            if !world.await_service(entry, path) {
                return Err(fail("an entry serves nothing"));
            }
        }
    }
    Ok(())
}

/// A stream and what its client saw of it.
struct Seen {
    id: String,
    events: u64,
    last: u64,
    is_ordered: bool,
    status: u16,
    is_complete: bool,
}

impl Seen {
    /// Returns whether the stream ended as complete before its last event, or lacks an event.
    fn breaks_order(&self) -> bool {
        self.status == 200 && (!self.is_ordered || (self.is_complete && self.last < self.events))
    }
}

fn stream(client: &Client, kind: &str, events: u64, form: &str, id: &str) -> Seen {
    let answer = client.send(&format!("/{kind}/{events}-{form}"), id).unwrap_or_default();
    let text = answer.text();
    // An event counts only with the empty line that ends it.
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    let ids: Vec<u64> = ids.collect();
    Seen {
        id: id.to_owned(),
        events,
        last: ids.last().copied().unwrap_or(0),
        is_ordered: ids.iter().copied().eq(1..=ids.len() as u64),
        status: answer.status(),
        is_complete: answer.whole,
    }
}

/// Starts `count` streams of each kind at an entry, one each 50 ms, on threads of their own.
fn start_streams(world: &World, entry: u8, count: u32, kinds: &[(&'static str, u64)]) -> Vec<thread::JoinHandle<Seen>> {
    let mut open = Vec::new();
    for n in 0..count {
        for (kind, events) in kinds.iter().copied() {
            let client = world.client(entry, KEY, 15_000);
            let id = format!("{kind}-{entry}-{n}");
            open.push(thread::spawn(move || stream(&client, kind, events, &PAUSE_MS.to_string(), &id)));
        }
        thread::sleep(Duration::from_millis(50));
    }
    open
}

fn judge(world: &World, open: Vec<thread::JoinHandle<Seen>>) -> io::Result<bool> {
    let mut broken = 0;
    let mut whole = 0;
    for thread in open {
        let seen = thread.join().map_err(|_| fail("a client ended by a panic"))?;
        if seen.breaks_order() {
            broken += 1;
            world.note(&format!(
                "ORDER broken: {} ended as complete after event {} of {}",
                seen.id, seen.last, seen.events
            ));
        }
        whole += u32::from(seen.is_complete && seen.last == seen.events);
    }
    world.note(&format!("streams: {whole} whole, {broken} that look complete and are not"));
    if whole == 0 {
        return Err(fail("no stream was served"));
    }
    Ok(broken == 0)
}

/// The engines of a zone are taken away 2.5 s after the notice, while they stream answers that end with their
/// connection.
fn reclaimed(world: &mut World, trouble: bool) -> io::Result<bool> {
    let zone = ZONES[0];
    prepare(world, zone)?;
    let kinds = [("plan", PLAN_EVENTS), ("query", QUERY_EVENTS)];
    let mut open = start_streams(world, 1, 16, &kinds);
    open.extend(start_streams(world, 2, 16, &kinds));
    if trouble {
        let gone = Instant::now() + Duration::from_millis(2_500);
        world.note(&format!("notice: the engines of {zone} leave in 2500 ms"));
        let mut leaving = Vec::new();
        world.list.change(|list| {
            for listed in list.iter_mut().filter(|listed| listed.zone == zone && listed.spot && listed.service == "huvo11a") {
                listed.leaves = Some(gone);
                leaving.push(listed.id.clone());
            }
        });
        // The others are full: they take neither copies of runs nor new requests.
        for n in (0..8u8).filter(|n| !leaving.contains(&format!("i-llm{n}"))) {
            let engine = world.address(150 + n, 8080);
            http::call(engine, "GET", "/control/full/12000", &[], b"", Duration::from_secs(1))?;
        }
        thread::sleep(gone.saturating_duration_since(Instant::now()));
        for id in &leaving {
            world.kill(id);
        }
        world.list.change(|list| list.retain(|listed| !leaving.contains(&listed.id)));
    }
    judge(world, open)
}

/// An entry freezes for 4 s; meanwhile an engine crashes and is back 2 s later at its address.
fn reborn(world: &mut World, trouble: bool) -> io::Result<bool> {
    prepare(world, "none")?;
    let open = start_streams(world, 1, 24, &[("plan", PLAN_EVENTS)]);
    if trouble {
        world.signal("edge-1", "STOP");
        let thaw = Instant::now() + Duration::from_secs(4);
        thread::sleep(Duration::from_millis(500));
        world.kill("i-llm0");
        thread::sleep(Duration::from_secs(2));
        let address = world.start_engine("i-llm0b", 150)?;
        world.list.change(|list| {
            for listed in list.iter_mut().filter(|listed| listed.id == "i-llm0") {
                listed.id = "i-llm0b".to_owned();
                listed.address = address;
            }
        });
        thread::sleep(thaw.saturating_duration_since(Instant::now()));
        world.signal("edge-1", "CONT");
    }
    judge(world, open)
}

/// An entry stops as planned while an engine preempts its newest streams for 2 s, as its memory has run out, and the other
/// engines are full. All streams would end within 4.5 s after SIGTERM.
fn silent(world: &mut World, trouble: bool) -> io::Result<bool> {
    prepare(world, "none")?;
    // The entry's share of the retry budget fills within a window.
    thread::sleep(Duration::from_secs(12));
    let mut open = Vec::new();
    for n in 0..48 {
        let client = world.client(1, KEY, 12_000);
        let id = format!("query-{n}");
        open.push(thread::spawn(move || stream(&client, "query", QUERY_EVENTS, "60-c", &id)));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(300));
    world.signal("edge-1", "TERM");
    thread::sleep(Duration::from_millis(300));
    if trouble {
        for n in 0..8u8 {
            let word = if n == 0 { "preempt/2000" } else { "full/3000" };
            let engine = world.address(150 + n, 8080);
            http::call(engine, "GET", &format!("/control/{word}"), &[], b"", Duration::from_secs(1))?;
        }
    }
    let (mut whole, mut cut) = (0, 0);
    for thread in open {
        let seen = thread.join().map_err(|_| fail("a client ended by a panic"))?;
        if seen.status == 200 && seen.is_complete && seen.last == seen.events {
            whole += 1;
        } else {
            cut += 1;
            world.note(&format!("LOST: {} status {} ends after event {} of {}", seen.id, seen.status, seen.last, seen.events));
        }
    }
    world.note(&format!("streams: {whole} whole, {cut} cut"));
    Ok(cut == 0)
}
