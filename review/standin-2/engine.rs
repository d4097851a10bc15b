//! An engine as a process of its own, so that a signal can end it as a crash does.
//!
//! The path of a request says what it gets: `.../EVENTS-MS` is a stream of that many events with pauses of that many
//! milliseconds, whose answer has no length and ends with its connection; anything else is a short plain answer.

use std::fs::OpenOptions;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};

/// The engine and its record, a file to which it appends a line for each thing that it does.
struct Engine {
    id: String,
    record: Mutex<std::fs::File>,
}

impl Engine {
    fn note(&self, text: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut record = self.record.lock().expect("no panic");
        let _ = writeln!(record, "{:.3} engine {} {text}", now.as_secs_f64(), self.id);
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
                // The other engines have no room, so the run goes on here.
                http::respond(out, "503 No room", "", "{}")?;
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
        let tenant = request.header("fulmarford-tenant").unwrap_or("(none)");
        self.note(&format!("runs {id} {} tenant={tenant}", request.path()));
        let head = format!(
            "fulmarford-request-id: {id}\r\nfulmarford-response-seal: seal.{}.{id}\r\n",
            self.id
        );
        let name = request.path().rsplit('/').next().unwrap_or_default();
        let shape = name.split_once('-');
        let shape = shape.and_then(|(n, ms)| Some((n.parse::<u64>().ok()?, ms.parse::<u64>().ok()?)));
        let Some((events, pause)) = shape else {
            http::respond(out, "200 OK", &head, "answered")?;
            return Ok(true);
        };
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        write!(out, "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\nconnection: close\r\n\r\n")?;
        for n in last.unwrap_or(0) + 1..=events {
            out.write_all(format!("id: {n}\ndata: piece {n} of {id}\n\n").as_bytes())?;
            thread::sleep(Duration::from_millis(pause));
        }
        self.note(&format!("ends {id} after its last event {events}"));
        Ok(false)
    }
}

/// Runs an engine until its process is ended.
pub fn run(address: SocketAddr, id: &str, record: &str) -> io::Result<()> {
    let record = OpenOptions::new().create(true).append(true).open(record)?;
    let engine = Arc::new(Engine { id: id.to_owned(), record: Mutex::new(record) });
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
