//! The first start of the system, of which one core machine takes no part or is killed in between.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
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

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r1","host":"app.example","path_prefix":"/gen/","route_kind":"idempotent","timeout_ms":1500,"objective_ms":150,"priority":2,"service":"app","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Core machines, of which the first three are the seeds.
const CORES: usize = 5;
/// `recover_s`, `catch_up_s` and `ack_ms` of the sheets.
const RECOVER: Duration = Duration::from_secs(12);
const CATCH_UP: Duration = Duration::from_secs(4);
const ACK: Duration = Duration::from_secs(4);
/// Time for which the operator goes on beyond these.
const PATIENCE: Duration = Duration::from_secs(30);

fn cores(site: &Site) -> Vec<Machine> {
    (0..CORES)
        .map(|number| Machine::new(site, &format!("core-{number}"), true))
        .collect()
}

/// One seed is gone for good right after its start; an empty machine replaces it at another address.
pub fn run_lost(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::create(2);
    let platform = Platform::start(site.address(8223));
    let mut machines = cores(&site);
    let seeds: Vec<SocketAddr> = machines.iter().take(3).map(Machine::control).collect();
    let start = Start {
        seeds: &seeds,
        bootstrap: true,
        platform: platform.address,
    };
    // All machines start within 0.3 s of each other, in any order.
    let lost = 2;
    for (number, machine) in machines.iter_mut().enumerate() {
        if number != lost {
            machine.start(&site, &start);
        }
    }
    thread::sleep(Duration::from_millis(250));
    machines[lost].start(&site, &start);
    record.say("five core machines have started within 0.3 s");
    let mut controls: Vec<SocketAddr> = machines.iter().map(Machine::control).collect();
    if trouble {
        machines[lost].kill();
        record.say("the process of seed core-2 was killed right after its start; the machine is gone for good");
        thread::sleep(Duration::from_secs(2));
        let mut successor = Machine::new(&site, "core-5", true);
        let seeds = [controls[0], controls[1], controls[3]];
        let start = Start {
            seeds: &seeds,
            bootstrap: false,
            platform: platform.address,
        };
        successor.start(&site, &start);
        record.say("an empty machine replaces it at another address, 2 s later");
        controls.remove(lost);
        controls.push(successor.control());
        machines.push(successor);
    }
    let outcome = judge(&controls, record);
    drop(machines);
    site.remove();
    outcome
}

/// The operator sends the first configuration until it is acknowledged.
fn judge(controls: &[SocketAddr], record: &Arc<Record>) -> Outcome {
    let limit = CATCH_UP + RECOVER + ACK;
    match replace(controls, DOCUMENT, limit + PATIENCE, record) {
        Some(took) if took <= limit => {
            record.say(&format!("acknowledged after {:.1} s", took.as_secs_f64()));
            Outcome::Held
        }
        Some(took) => {
            record.say(&format!("acknowledged after {:.1} s", took.as_secs_f64()));
            Outcome::Broken
        }
        None => {
            record.say(&format!(
                "no acknowledgement in {} s; the bound is {} s",
                (limit + PATIENCE).as_secs(),
                limit.as_secs()
            ));
            Outcome::Broken
        }
    }
}

/// The first segment of the log.
const FIRST_SEGMENT: &str = "log-0000000000000000";

/// Size of the log of a process that has written its identity and looks for the others.
const IDENTITY_BYTES: u64 = 85;

/// Signal that ends a process at once.
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

fn segment_size(folder: &Path) -> u64 {
    fs::metadata(folder.join(FIRST_SEGMENT)).map_or(0, |data| data.len())
}

/// Kills a process as soon as it writes more than its identity to its folder; returns whether it did.
fn kill_while_founding(process: u32, folder: &Path, done: &AtomicBool) -> bool {
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end && !done.load(Ordering::Relaxed) {
        if segment_size(folder) > IDENTITY_BYTES {
            // SAFETY: The call has no memory to share; the process is a child of this one.
            unsafe { kill(process as i32, SIGKILL) };
            return !done.swap(true, Ordering::Relaxed);
        }
    }
    false
}

/// Kills the process that founds the group while it does so, and starts it again a second later.
pub fn run_cut(record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut has_run = false;
    for attempt in 0..12 {
        let site = Site::create(3 + attempt);
        let platform = Platform::start(site.address(8223));
        let mut machines = cores(&site);
        let seeds: Vec<SocketAddr> = machines.iter().take(3).map(Machine::control).collect();
        let controls: Vec<SocketAddr> = machines.iter().map(Machine::control).collect();
        let mut start = Start {
            seeds: &seeds,
            bootstrap: true,
            platform: platform.address,
        };
        for machine in &mut machines {
            machine.start(&site, &start);
        }
        if !trouble {
            let outcome = judge(&controls, record);
            drop(machines);
            site.remove();
            return outcome;
        }
        let done: Arc<AtomicBool> = Arc::default();
        let watchers: Vec<_> = machines
            .iter()
            .take(3)
            .map(|machine| {
                let (process, folder, done) = (machine.id(), machine.data(&site), done.clone());
                thread::spawn(move || kill_while_founding(process, &folder, &done))
            })
            .collect();
        let killed: Vec<bool> = watchers
            .into_iter()
            .map(|watcher| watcher.join().unwrap_or(false))
            .collect();
        let Some(number) = killed.iter().position(|was_killed| *was_killed) else {
            return Outcome::NotRun;
        };
        machines[number].kill();
        let names = fs::read_dir(machines[number].data(&site))
            .into_iter()
            .flatten()
            .flatten();
        let names: Vec<String> = names
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect();
        let has_snapshot = names
            .iter()
            .any(|name| name.starts_with("snapshot-") && !name.ends_with(".tmp"));
        record.say(&format!(
            "attempt {attempt}: core-{number} founds the group and was killed; its folder: {names:?}"
        ));
        if has_snapshot {
            drop(machines);
            site.remove();
            continue;
        }
        thread::sleep(Duration::from_secs(1));
        start.bootstrap = false;
        machines[number].start(&site, &start);
        record.say("it was started again a second later, with its disk");
        let outcome = judge(&controls, record);
        drop(machines);
        site.remove();
        // If another seed founds the group in the same milliseconds, nothing is broken.
        if outcome == Outcome::Broken {
            return outcome;
        }
        has_run = true;
    }
    match has_run {
        true => Outcome::Held,
        false => Outcome::NotRun,
    }
}
