//! The configuration grows, as often as it may, and then changes often; processes above their machine's memory are
//! killed and started again, as on the users' platform.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::process::Machine;
use crate::process::Site;
use crate::process::Start;
use crate::record::Record;
use crate::replace;
use crate::world::Platform;

/// Core machines, of which the first three are the seeds.
const CORES: usize = 5;
/// Memory of a core machine.
const MEMORY: u64 = 256 << 20;
/// Routes of the first configuration.
const FIRST_ROUTES: usize = 8;
/// Routes that a change of the kind `big_config` adds.
const GROWTH: usize = 350;
/// Number of such changes; the others change one route.
const GROWTHS: usize = 20;
/// Time for which the operator changes the configuration.
const TIME: Duration = Duration::from_secs(100);
/// Delay before a process that has ended is started again.
const RESTART: Duration = Duration::from_secs(1);
/// Time between two changes (`gap_s` of `config_storm`).
const GAP: Duration = Duration::from_millis(60);
/// Time for which the operator repeats a change.
const PATIENCE: Duration = Duration::from_secs(10);
/// Ends of a machine's process at which a day counts 0, if half of the core has as many.
const ENDS: u32 = 3;

fn document(version: u32, grows: bool) -> String {
    let growths = if grows { version as usize - 1 } else { 0 };
    let count = FIRST_ROUTES + GROWTH * growths.min(GROWTHS);
    let routes: Vec<String> = (0..count)
        .map(|number| {
            // Each change gives one route another timeout.
            let timeout = match number == version as usize % FIRST_ROUTES {
                true => 1_500 + version % 7,
                false => 1_500,
            };
            format!(
                r#"{{"name":"r-{number}","host":"ficu95.example","path_prefix":"/pufi{number}/","route_kind":"idempotent","timeout_ms":{timeout},"objective_ms":150,"priority":2,"service":"app","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// Returns the memory of a process in bytes, without that of its files.
fn memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB"));
    let kilobytes: Option<u64> = kilobytes.and_then(|text| text.trim().parse().ok());
    kilobytes.unwrap_or(0) << 10
}

/// A core machine, with the number of ends of its process and its largest memory.
struct Core {
    machine: Machine,
    ends: u32,
    peak: u64,
    restart_at: Option<Instant>,
}

/// Kills processes that use more memory than their machine has, and starts them again.
fn supervise(cores: &Mutex<Vec<Core>>, site: &Site, start: &Start<'_>, record: &Record) {
    let start = Start {
        bootstrap: false,
        ..*start
    };
    for core in cores.lock().expect("machines lock").iter_mut() {
        let now = Instant::now();
        match core.restart_at {
            Some(at) if now >= at => {
                core.restart_at = None;
                core.machine.start(site, &start);
            }
            Some(_) => {}
            None => {
                let memory = memory(core.machine.id());
                core.peak = core.peak.max(memory);
                if memory > MEMORY {
                    core.machine.kill();
                    core.ends += 1;
                    core.restart_at = Some(now + RESTART);
                    record.say(&format!(
                        "{} uses {} MB and is killed, for the {}. time",
                        core.machine.name,
                        memory >> 20,
                        core.ends
                    ));
                }
            }
        }
    }
}

/// Runs the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::create(0);
    let platform = Platform::start(site.address(8223));
    let mut machines: Vec<_> = (0..CORES)
        .map(|number| Machine::new(&site, &format!("core-{number}"), true))
        .collect();
    let controls: Vec<SocketAddr> = machines.iter().map(Machine::control).collect();
    let start = Start {
        seeds: &controls[..3],
        bootstrap: true,
        platform: platform.address,
    };
    for machine in &mut machines {
        machine.start(&site, &start);
    }
    let cores = machines.into_iter().map(|machine| Core {
        machine,
        ends: 0,
        peak: 0,
        restart_at: None,
    });
    let cores = Mutex::new(cores.collect::<Vec<_>>());
    let stop = AtomicBool::new(false);
    let acknowledged = thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                supervise(&cores, &site, &start, record);
                thread::sleep(Duration::from_millis(20));
            }
        });
        let is_decided = || is_broken(&cores.lock().expect("machines lock"));
        let acknowledged = operate(&controls, record, trouble, is_decided);
        stop.store(true, Ordering::Relaxed);
        acknowledged
    });
    let cores = cores.into_inner().expect("machines lock");
    for core in &cores {
        record.say(&format!(
            "{}: {} ends, at most {} MB",
            core.machine.name,
            core.ends,
            core.peak >> 20
        ));
    }
    record.say(&format!("{acknowledged} configurations were acknowledged"));
    let outcome = match (acknowledged, is_broken(&cores)) {
        (0, _) => Outcome::NotRun,
        (_, true) => Outcome::Broken,
        (_, false) => Outcome::Held,
    };
    drop(cores);
    site.remove();
    outcome
}

/// Returns whether processes have ended three times on half of the core.
fn is_broken(cores: &[Core]) -> bool {
    let ended = cores.iter().filter(|core| core.ends >= ENDS).count();
    2 * ended >= CORES
}

/// Changes the configuration, each time after the acknowledgement of the change before and [`GAP`] later, until `is_decided`; returns the
/// number of acknowledgements.
fn operate(
    controls: &[SocketAddr],
    record: &Record,
    grows: bool,
    is_decided: impl Fn() -> bool,
) -> u32 {
    let begin = Instant::now();
    let mut acknowledged = 0;
    for version in 1.. {
        if begin.elapsed() >= TIME || is_decided() {
            break;
        }
        let document = document(version, grows);
        if version == 1 || version % 50 == 0 {
            record.say(&format!("version {version}: {} bytes", document.len()));
        }
        let sent = Instant::now();
        if replace(controls, &document, PATIENCE, record).is_some() {
            acknowledged += 1;
        }
        thread::sleep((sent + GAP).saturating_duration_since(Instant::now()));
    }
    acknowledged
}
