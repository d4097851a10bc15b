//! A small deployment on loopback addresses: the project's processes with the commands of the deploy file, the
//! platform's list, engines as processes, an operator and clients.

use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};

/// Figures of the sheet of Annex B (`pmm-corte`): lag of the list, and zones.
pub const LIST_LAG: Duration = Duration::from_millis(800);
pub const ZONES: [&str; 4] = ["uio-norte", "uio-sur", "uio-valle", "uio-cumbaya"];

/// The caller's key and its tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// An entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub spot: bool,
    /// When the engine leaves, once that was announced.
    pub leaves: Option<Instant>,
}

/// The list with the times of its versions, oldest first; readers see it as it was [`LIST_LAG`] ago.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<Vec<(Instant, Vec<Listed>)>>>);

impl List {
    pub fn change(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut versions = self.0.lock().expect("no panic");
        let mut list = versions.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        versions.push((Instant::now(), list));
    }

    fn json(&self) -> String {
        let versions = self.0.lock().expect("no panic");
        let seen = versions.iter().rev().find(|(at, _)| at.elapsed() >= LIST_LAG);
        let entries: Vec<String> = seen.map(|(_, list)| list.iter().map(entry).collect()).unwrap_or_default();
        format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
    }
}

fn entry(listed: &Listed) -> String {
    let state = if listed.leaves.is_some() { "draining" } else { "ready" };
    let leaves = listed.leaves.map(|at| {
        let left = at.saturating_duration_since(Instant::now());
        format!(",\"leaves_ms\":{}", left.as_millis())
    });
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\
         \"cold_left_ms\":0,\"phase\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"spot\":{},\"id\":\"{}\"{}}}",
        listed.service, listed.address, listed.zone, listed.spot, listed.id, leaves.unwrap_or_default()
    )
}

/// The running deployment; its processes end when it is dropped.
pub struct World {
    pub folder: PathBuf,
    network: [u8; 2],
    voters: u8,
    pub list: List,
    children: Vec<(String, Child)>,
    record: Arc<Mutex<fs::File>>,
    pub record_path: PathBuf,
}

impl World {
    /// Starts the platform, the voters and the entries.
    pub fn start(folder: PathBuf, record: &str, voters: u8, entries: u8) -> io::Result<Self> {
        let id = std::process::id();
        let network = [64 + (id / 250 % 64) as u8, (id % 250) as u8];
        let record_path = PathBuf::from(record);
        fs::write(&record_path, "")?;
        let file = fs::OpenOptions::new().append(true).open(&record_path)?;
        let mut world = Self {
            folder,
            network,
            voters,
            list: List::default(),
            children: Vec::new(),
            record: Arc::new(Mutex::new(file)),
            record_path,
        };
        world.serve_platform()?;
        for n in 1..=voters {
            world.start_node(&format!("core-{n}"), n, true)?;
        }
        for n in 1..=entries {
            world.start_node(&format!("edge-{n}"), 100 + n, false)?;
        }
        Ok(world)
    }

    pub fn note(&self, text: &str) {
        note(&self.record, text);
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [second, third] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.address(100 + entry, 8227)
    }

    /// Serves the list, and accepts the calls of duties.
    fn serve_platform(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address(250, 8223))?;
        let list = self.list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || {
                    let Ok(mut out) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = http::read(&mut reader, false) {
                        let body = match request.path().starts_with("/instances") {
                            true => list.json(),
                            false => "{}".to_owned(),
                        };
                        if http::respond(&mut out, "200 OK", "content-type: application/json\r\n", &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Starts a process of the project, with settings as `deploy/settings.json` renders them.
    fn start_node(&mut self, name: &str, host: u8, is_voter: bool) -> io::Result<()> {
        let quote = |address: SocketAddr| format!("\"{address}\"");
        let null = "null".to_owned();
        let (front, ready, control, data) = match is_voter {
            true => (null.clone(), null, quote(self.address(host, 8229)), format!("\"{}\"", self.folder.join(name).display())),
            false => (quote(self.address(host, 8227)), quote(self.address(host, 8220)), null.clone(), null),
        };
        let seeds: Vec<String> = (1..=self.voters.min(3)).map(|n| quote(self.address(n, 8229))).collect();
        let settings = format!(
            "{{\"instance\":\"{name}\",\"zone\":\"{}\",\"ip\":\"{}\",\"front\":{front},\"ready\":{ready},\
             \"control\":{control},\"peer_port\":7340,\"seeds\":[{}],\"bootstrap\":true,\"data\":{data},\
             \"platform\":\"{}\",\"list_rate\":44.0,\"duties\":[\"usage_report\",\"autoscale\"],\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"leader\"],\
             \"window_seconds\":5,\"report_due\":10,\"retry_ratio\":0.2,\"retry_slack\":56,\"retry_window\":10,\
             \"grace\":8,\"stale_limit\":60,\"cold_overrun\":null,\"cold_slack\":null,\"list_lag\":800}}",
            ZONES[usize::from(host) % ZONES.len()],
            self.address(host, 1).ip(),
            seeds.join(","),
            self.address(250, 8223),
        );
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        // The words of `run` in deploy/system.toml.
        let child = Command::new("target/release/fulmarford")
            .args(["--adapter", "platform", "--peer-secret-file", "examples/peer-secret", "--metrics-port", "9464"])
            .env("FULMARFORD_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.note(&format!("start {name} pid {}", child.id()));
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Starts an engine as a process and returns its address; it is not listed yet.
    pub fn start_engine(&mut self, id: &str, host: u8) -> io::Result<SocketAddr> {
        let address = self.address(host, 8080);
        let child = Command::new(std::env::current_exe()?)
            .args(["engine", &address.to_string(), id, &self.record_path.display().to_string()])
            .stdin(Stdio::null())
            .spawn()?;
        self.note(&format!("start engine {id} pid {}", child.id()));
        self.children.push((id.to_owned(), child));
        Ok(address)
    }

    /// Ends a process with SIGKILL and waits for its end.
    pub fn kill(&mut self, name: &str) {
        self.note(&format!("SIGKILL {name}"));
        if let Some(at) = self.children.iter().position(|(other, _)| other == name) {
            let (_, mut child) = self.children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, such as `STOP`, to a process that was started here.
    pub fn signal(&self, name: &str, signal: &str) {
        self.note(&format!("SIG{signal} {name}"));
        if let Some((_, child)) = self.children.iter().find(|(other, _)| other == name) {
            let _ = Command::new("sh").args(["-c", &format!("kill -s {signal} {}", child.id())]).status();
        }
    }

    /// Sends a configuration as the operator does, until it is acknowledged.
    pub fn configure(&self, document: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        for n in 0u8.. {
            if Instant::now() > end {
                break;
            }
            let control = self.address(1 + n % self.voters, 8229);
            let headers = [("content-type", "application/json")];
            let sent = http::call(control, "POST", "/v1/config/replace", &headers, document.as_bytes(), Duration::from_secs(1));
            if let Ok(answer) = &sent {
                if answer.status() == 200 {
                    self.note("configuration acknowledged");
                    return true;
                }
                if matches!(answer.status(), 400 | 409 | 412 | 413 | 422) {
                    self.note(&format!("configuration refused with {}", answer.status()));
                    return false;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until an entry answers a request on this path with 200.
    pub fn await_service(&self, entry: u8, path: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        for n in 0.. {
            let client = Client { front: self.front(entry), key: KEY.to_owned(), deadline_ms: 3_000, record: self.record.clone() };
            let answer = client.send(path, &format!("warm-{entry}-{n}"));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn client(&self, entry: u8, key: &str, deadline_ms: u64) -> Client {
        Client { front: self.front(entry), key: key.to_owned(), deadline_ms, record: self.record.clone() }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn note(record: &Mutex<fs::File>, text: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut record = record.lock().expect("no panic");
    let _ = record.write_all(format!("{:.3} {text}\n", now.as_secs_f64()).as_bytes());
}

/// A client that uses a new connection for each request.
#[derive(Clone)]
pub struct Client {
    front: SocketAddr,
    key: String,
    deadline_ms: u64,
    record: Arc<Mutex<fs::File>>,
}

impl Client {
    /// Sends a request and records it with its answer.
    pub fn send(&self, path: &str, id: &str) -> Option<Message> {
        let deadline = self.deadline_ms.to_string();
        let headers = [
            ("host", "ficu95.example"),
            ("fulmarford-request-id", id),
            ("fulmarford-model", "m"),
            ("fulmarford-token-count", "600,80"),
            ("fulmarford-deadline-ms", deadline.as_str()),
            ("fulmarford-key", self.key.as_str()),
        ];
        note(&self.record, &format!("client sends {id} POST {path}"));
        let timeout = Duration::from_millis(self.deadline_ms);
        let answer = http::call(self.front, "POST", path, &headers, b"{\"prompt\":\"p\"}", timeout);
        let text = match &answer {
            Ok(answer) => format!(
                "client got {id} status={} seal={} bytes={} ends={}",
                answer.status(),
                answer.header("fulmarford-response-seal").unwrap_or("(none)"),
                answer.body.len(),
                if answer.whole { "complete" } else { "broken off" }
            ),
            Err(error) => format!("client got {id} no answer: {error}"),
        };
        note(&self.record, &text);
        answer.ok()
    }
}

/// Returns a configuration with the kinds of route of the sheet.
pub fn document(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, aim: u64, gap: u64, attempts: u32, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"objective_ms\":{aim},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"anonymous\":false,\"gap_objective_ms\":{gap},{rest}}}"
        )
    };
    let routes = [
        route("plan", "streaming", "huvo11a", 15_000, 2_500, 1_200, 1, "\"sticky\":true,\"resumable\":false"),
        route("query", "streaming", "huvo11a", 12_000, 400, 300, 2, "\"sticky\":true,\"resumable\":true"),
        route("commit", "non_idempotent", "wuno96b", 800, 150, 0, 1, "\"sticky\":false,\"resumable\":false"),
        route("stock", "idempotent", "wuno96b", 800, 150, 0, 2, "\"sticky\":false,\"resumable\":false"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\
         \"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":614061,\
         \"kv_bytes\":163840,\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}
