//! An engine as a process of its own, so that a signal can end it as a crash does.
//!
//! The path of a request says what it gets: `.../EVENTS-MS` is a stream of that many events with pauses of that many
//! milliseconds, whose answer has no length and ends with its connection, or consists of chunks if `-c` follows; anything
//! else is a short plain answer. `/control/WORD/MS` tells the engine for so long to be full (`full`), or that it has
//! preempted its newest four runs, and those that begin meanwhile wait as well (`preempt`).

use std::fs::OpenOptions;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};

/// The engine and its record, a file to which it appends a line for each thing that it does.
struct Engine {
    id: String,
    record: Mutex<std::fs::File>,
    full_until: Mutex<Instant>,
    preemption: Mutex<Preemption>,
}

/// Runs that produce nothing for a time.
struct Preemption {
    until: Instant,
    /// Number of the first run that waits.
    first: u64,
    /// Number of runs that have begun.
    begun: u64,
}

/// Number of runs that a preemption stops.
const PREEMPTED: u64 = 4;

impl Engine {
    fn note(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut record = self.record.lock().expect("no panic");
        // One write, since other processes append to the same file.
        let line = format!("{:.3} engine {} {text}\n", now.as_secs_f64(), self.id);
        let _ = record.write_all(line.as_bytes());
    }

    /// Returns how long a run has to wait, if it was preempted.
    fn wait(&self, run: u64) -> Option<Duration> {
        let preemption = self.preemption.lock().expect("no panic");
        let rest = preemption.until.checked_duration_since(Instant::now());
        rest.filter(|_| run >= preemption.first).map(|rest| rest + Duration::from_millis(1))
    }

    /// Serves a request and returns whether the connection stays open.
    fn serve(&self, request: &Message, out: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("fulmarford-request-id").unwrap_or("-");
        let own = format!("fulmarford-instance-id: {}\r\n", self.id);
        match (request.method(), request.path()) {
            ("GET", "/healthz") => {
                http::respond(out, "200 OK", &own, "")?;
                return Ok(true);
            }
            ("POST", "/v1/kv-move") => {
                // The cases call this only while the other engines are full, so the run goes on here.
                http::respond(out, "503 No room", "", "{}")?;
                return Ok(true);
            }
            (_, path) if path.starts_with("/control/") => {
                let mut words = path.rsplit('/');
                let ms = words.next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(ms);
                let word = words.next().unwrap_or_default();
                self.note(&format!("is told: {word} for {ms} ms"));
                if word == "full" {
                    *self.full_until.lock().expect("no panic") = until;
                } else {
                    let mut preemption = self.preemption.lock().expect("no panic");
                    preemption.until = until;
                    preemption.first = preemption.begun.saturating_sub(PREEMPTED);
                }
                http::respond(out, "200 OK", "", "")?;
                return Ok(true);
            }
            (_, path) if path.starts_with("/v1/") => {
                http::respond(out, "404 Unknown", "", "{}")?;
                return Ok(true);
            }
            _ => {}
        }
        if request.header("fulmarford-expect-instance").is_some_and(|name| name != self.id) {
            let head = format!("fulmarford-request-id: {id}\r\nfulmarford-not-executed: 1\r\n{own}");
            http::respond(out, "421 Misdirected", &head, "")?;
            return Ok(true);
        }
        if Instant::now() < *self.full_until.lock().expect("no panic") {
            let head = format!(
                "fulmarford-request-id: {id}\r\nfulmarford-not-executed: 1\r\nfulmarford-instance-load: 64,134,64\r\n{own}"
            );
            self.note(&format!("rejects {id}"));
            http::respond(out, "503 Full", &head, "")?;
            return Ok(true);
        }
        let tenant = request.header("fulmarford-tenant").unwrap_or("(none)");
        self.note(&format!("runs {id} {} tenant={tenant}", request.path()));
        let head = format!(
            "fulmarford-request-id: {id}\r\nfulmarford-response-seal: seal.{}.{id}\r\n",
            self.id
        );
        let name = request.path().rsplit('/').next().unwrap_or_default();
        let mut words = name.split('-').map(|word| word.parse::<u64>().ok());
        let shape = words.next().flatten().zip(words.next().flatten());
        let is_chunked = name.ends_with("-c");
        let Some((events, pause)) = shape else {
            http::respond(out, "200 OK", &head, "answered")?;
            return Ok(true);
        };
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let framing = if is_chunked { "transfer-encoding: chunked" } else { "connection: close" };
        write!(out, "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\n{framing}\r\n\r\n")?;
        let number = {
            let mut preemption = self.preemption.lock().expect("no panic");
            preemption.begun += 1;
            preemption.begun - 1
        };
        for n in last.unwrap_or(0) + 1..=events {
            while let Some(rest) = self.wait(number) {
                thread::sleep(rest);
            }
            let event = format!("id: {n}\ndata: piece {n} of {id}\n\n");
            let event = if is_chunked { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
            out.write_all(event.as_bytes()).inspect_err(|_| self.note(&format!("lost the connection of {id}")))?;
            thread::sleep(Duration::from_millis(pause));
        }
        if is_chunked {
            out.write_all(b"0\r\n\r\n")?;
        }
        self.note(&format!("ends {id} after its last event {events}"));
        Ok(is_chunked)
    }
}

/// Runs an engine until its process is ended.
pub fn run(address: SocketAddr, id: &str, record: &str) -> io::Result<()> {
    let record = OpenOptions::new().create(true).append(true).open(record)?;
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        record: Mutex::new(record),
        full_until: Mutex::new(Instant::now()),
        preemption: Mutex::new(Preemption { until: Instant::now(), first: 0, begun: 0 }),
    });
    let listener = TcpListener::bind(address)?;
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut out) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Some(request) = http::read(&mut reader, false) {
                if !engine.serve(&request, &mut out).unwrap_or(false) {
                    return;
                }
            }
        });
    }
    Ok(())
}
