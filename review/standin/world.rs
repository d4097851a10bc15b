//! The platform's list of engines, and the engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// Accepts connections until the flag is set; each is handled on a thread of its own.
fn accept(
    listener: TcpListener,
    stopped: Arc<AtomicBool>,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    listener.set_nonblocking(true).expect("a listener");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let handle = handle.clone();
                    thread::spawn(move || handle(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

/// The platform: the list of engines, and duties that it accepts.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    /// Entries of the list by id: the engine and whether it drains.
    entries: Arc<Mutex<BTreeMap<String, String>>>,
}

impl Platform {
    /// Starts the platform.
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        let entries: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
        let shown = entries.clone();
        accept(listener, Arc::default(), move |stream| {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Some(request) = http::read(&mut reader) {
                let body = if request.path().starts_with("/instances") {
                    let entries = shown.lock().expect("list lock");
                    let list: Vec<String> = entries.values().cloned().collect();
                    format!(r#"{{"instances":[{}],"next":null}}"#, list.join(","))
                } else {
                    "{}".to_owned()
                };
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { address, entries }
    }

    /// Shows an engine as ready or draining.
    pub fn list(&self, engine: &Engine, state: &str) {
        let entry = format!(
            r#"{{"id":"{}","service":"{}","address":"{}","zone":"z1","version":"v1","slots":{},"state":"{state}","cold_left_ms":0,"phase":"unified","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#,
            engine.id, engine.service, engine.address, engine.slots
        );
        let mut entries = self.entries.lock().expect("list lock");
        entries.insert(engine.id.clone(), entry);
    }

    /// Removes an engine from the list.
    pub fn remove(&self, engine: &Engine) {
        let mut entries = self.entries.lock().expect("list lock");
        entries.remove(&engine.id);
    }
}

/// The number of events follows from the request's `Fulmarford-Token-Count`.
pub const BY_SIZE: u32 = u32::MAX;

/// Tokens in an event, as on the sheets.
const EVENT_TOKENS: u32 = 6;

/// How an engine answers.
#[derive(Clone, Copy)]
pub struct Work {
    /// Number of events of a stream; 0 for a plain answer, [`BY_SIZE`] if the request states its size.
    pub events: u32,
    /// Time before each event, or before the plain answer.
    pub gap: Duration,
}

/// An engine.
pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    leaving: AtomicBool,
    active: AtomicUsize,
    stopped: Arc<AtomicBool>,
    connections: Mutex<Vec<TcpStream>>,
    /// Requests that the engine has begun to run.
    started: Mutex<BTreeSet<String>>,
}

impl Engine {
    /// Starts an engine.
    pub fn start(
        id: String,
        service: &'static str,
        address: SocketAddr,
        slots: usize,
        work: Work,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free address");
        let engine = Arc::new(Self {
            id,
            service,
            address,
            slots,
            leaving: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            stopped: Arc::default(),
            connections: Mutex::default(),
            started: Mutex::default(),
        });
        let (known, record) = (engine.clone(), record.clone());
        accept(listener, engine.stopped.clone(), move |stream| {
            let mut connections = known.connections.lock().expect("connections lock");
            if let Ok(handle) = stream.try_clone() {
                connections.push(handle);
            }
            drop(connections);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Some(request) = http::read(&mut reader) {
                if !known.answer(&request, &mut writer, work, &record) {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
        engine
    }

    /// Makes the engine say that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests that run.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Returns whether the engine has begun to run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.started.lock().expect("requests lock").contains(id)
    }

    /// Ends the engine: it stops listening and closes its connections.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let mut connections = self.connections.lock().expect("connections lock");
        for connection in connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        work: Work,
        record: &Record,
    ) -> bool {
        let id = request.header("fulmarford-request-id").unwrap_or_default();
        let refuse = |writer: &mut TcpStream, status: &str| {
            let answer = format!(
                "HTTP/1.1 {status}\r\nFulmarford-Request-Id: {id}\r\nFulmarford-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(answer.as_bytes()).is_ok()
        };
        if request.path() == "/healthz" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nFulmarford-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(answer.as_bytes()).is_ok();
        }
        let expected = request.header("fulmarford-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return refuse(writer, "421 Misdirected");
        }
        if self.active.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.active.fetch_sub(1, Ordering::Relaxed);
            return refuse(writer, "503 Full");
        }
        let tenant = request.header("fulmarford-tenant");
        record.add(&format!("run {id} at {} tenant {tenant:?}", self.id));
        let mut work = work;
        if work.events == BY_SIZE {
            let tokens = request.header("fulmarford-token-count").unwrap_or_default();
            let output = tokens.split(',').nth(1).and_then(|text| text.parse().ok());
            work.events = output.unwrap_or(EVENT_TOKENS) / EVENT_TOKENS;
        }
        self.started
            .lock()
            .expect("requests lock")
            .insert(id.to_owned());
        let goes_on = self.run(id, writer, work);
        self.active.fetch_sub(1, Ordering::Relaxed);
        goes_on
    }

    fn run(&self, id: &str, writer: &mut TcpStream, work: Work) -> bool {
        let is_leaving = self.leaving.load(Ordering::Relaxed);
        let more = match is_leaving {
            true => "Server-Leaving: 1\r\nConnection: close\r\n",
            false => "Keep-Alive: timeout=15\r\n",
        };
        let load = format!("{},0,{}", self.active(), self.slots);
        let head = format!(
            "HTTP/1.1 200 OK\r\nFulmarford-Request-Id: {id}\r\nFulmarford-Response-Seal: seal.{id}\r\nFulmarford-Instance-Load: {load}\r\n{more}"
        );
        if work.events == 0 {
            thread::sleep(work.gap);
            let answer = format!("{head}Content-Length: 4\r\n\r\ndone");
            return writer.write_all(answer.as_bytes()).is_ok() && !is_leaving;
        }
        let mut answer =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for number in 1..=work.events {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            answer.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if number == 1 {
                thread::sleep(Duration::from_millis(20));
            } else {
                thread::sleep(work.gap);
            }
            if writer.write_all(answer.as_bytes()).is_err() {
                return false;
            }
            answer.clear();
        }
        writer.write_all(b"0\r\n\r\n").is_ok() && !is_leaving
    }
}
