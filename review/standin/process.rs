//! The project's processes, started with the commands of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Descriptors that a process may have open (`max_fds` of the deployments' sheets).
const MAX_FDS: u32 = 4_100;

/// A temporary folder and a loopback network of its own.
pub struct Site {
    pub folder: PathBuf,
    network: (u8, u8),
    next_host: AtomicUsize,
}

impl Site {
    /// Creates a folder and picks a network by the id of this process and a number.
    pub fn create(number: u32) -> Self {
        let id = std::process::id() * 16 + number;
        let folder = std::env::temp_dir().join(format!("fulmarford-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            folder,
            network: (130 + (id / 250 % 100) as u8, (id % 250) as u8),
            next_host: AtomicUsize::new(1),
        }
    }

    /// Returns a loopback address that nothing uses.
    pub fn address(&self, port: u16) -> SocketAddr {
        let host = self.next_host.fetch_add(1, Ordering::Relaxed);
        let (second, third) = self.network;
        assert!(host < 250, "no address is left");
        SocketAddr::from(([127, second, third, host as u8], port))
    }

    /// Removes the folder.
    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub ip: std::net::IpAddr,
    is_core: bool,
    pub child: Option<Child>,
}

const FRONT: u16 = 8227;
const READY: u16 = 8220;
const CONTROL: u16 = 8229;
const PEER: u16 = 7340;

/// What the settings of a start hold besides the machine.
pub struct Start<'a> {
    pub seeds: &'a [SocketAddr],
    pub bootstrap: bool,
    pub platform: SocketAddr,
}

impl Machine {
    /// Returns a machine at an address of its own.
    pub fn new(site: &Site, name: &str, is_core: bool) -> Self {
        Self {
            name: name.to_owned(),
            ip: site.address(0).ip(),
            is_core,
            child: None,
        }
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    /// Returns the address for the platform's question whether the process is ready.
    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY).into()
    }

    /// Returns the address for operators.
    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL).into()
    }

    /// Returns the folder for data.
    pub fn data(&self, site: &Site) -> PathBuf {
        site.folder.join(format!("data-{}", self.name))
    }

    /// Starts the process.
    pub fn start(&mut self, site: &Site, start: &Start<'_>) {
        let text = |is_there: bool, value: String| match is_there {
            true => format!("\"{value}\""),
            false => "null".to_owned(),
        };
        let seeds: Vec<String> = start
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        // The fields and names of deploy/settings.json.
        let settings = format!(
            r#"{{"instance":"{}","zone":"z1","ip":"{}","front":{},"ready":{},"control":{},"peer_port":{PEER},"seeds":[{}],"bootstrap":{},"data":{},"platform":"{}","list_rate":44.0,"duties":["usage_report"],"window_seconds":5,"report_due":10,"retry_ratio":0.2,"retry_slack":56,"retry_window":10,"grace":8,"stale_limit":60}}"#,
            self.name,
            self.ip,
            text(!self.is_core, self.front().to_string()),
            text(!self.is_core, self.ready().to_string()),
            text(self.is_core, self.control().to_string()),
            seeds.join(","),
            start.bootstrap,
            text(self.is_core, self.data(site).display().to_string()),
            start.platform,
        );
        let file = site.folder.join(format!("settings-{}.json", self.name));
        fs::write(&file, settings).expect("the settings can be written");
        let log = site.folder.join(format!("log-{}", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("the log can be opened");
        let role = if self.is_core { "voter" } else { "entry" };
        let command = format!("ulimit -n {MAX_FDS} && exec {}", run_command(role));
        let child = Command::new("sh")
            .args(["-c", &command])
            .env("FULMARFORD_BOOT", file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a handle")))
            .stderr(Stdio::from(log))
            .spawn();
        self.child = Some(child.expect("the process can be started"));
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Stops the process with SIGTERM, and kills it if it has not ended in time; returns how long it took.
    pub fn stop(&mut self, grace: Duration) -> Duration {
        let start = Instant::now();
        if let Some(child) = &mut self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
            while start.elapsed() < grace && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(10));
            }
        }
        self.kill();
        start.elapsed()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the command of a role in the deploy file.
fn run_command(role: &str) -> String {
    let deploy = fs::read_to_string("deploy/system.toml").expect("run in the repository");
    let section = deploy
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .expect("the role");
    let line = section.lines().find_map(|line| line.strip_prefix("run = "));
    line.expect("the command")
        .trim()
        .trim_matches('"')
        .to_owned()
}
