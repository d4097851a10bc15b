//! All core machines are replaced one after the other: the new one starts first, then the old one is stopped.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::http;
use crate::process::Machine;
use crate::process::Site;
use crate::process::Start;
use crate::record::Record;
use crate::replace;
use crate::world::Platform;

/// Core machines, and how many of them are replaced.
const CORES: usize = 5;
/// `catch_up_s`: from then on, a new machine doesn't count as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `contact_ms`, `ack_ms` and `recover_s`.
const CONTACT: Duration = Duration::from_secs(3);
const ACK: Duration = Duration::from_secs(4);
const RECOVER: Duration = Duration::from_secs(12);
/// Time for which the operator goes on after these.
const PATIENCE: Duration = Duration::from_secs(15);

fn document(version: usize) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r1","host":"app.example","path_prefix":"/app/","route_kind":"idempotent","timeout_ms":1500,"objective_ms":150,"priority":2,"service":"app","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}}],"services":[{{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

/// Returns the position of the machine that took the lead last, which is the next one to be replaced.
fn leader(site: &Site, live: &[Machine]) -> usize {
    let latest = |machine: &Machine| {
        let log = site.folder.join(format!("log-{}", machine.name));
        let log = fs::read_to_string(log).unwrap_or_default();
        let line = log
            .lines()
            .rev()
            .find(|line| line.contains("leads the group"));
        // Lines begin with the time in a sortable form.
        line.map(|line| line.chars().take(48).collect::<String>())
    };
    let latest: Vec<_> = live.iter().map(latest).collect();
    let newest = (0..live.len()).max_by_key(|position| latest[*position].clone());
    newest.unwrap_or(0)
}

fn controls(live: &[Machine]) -> Vec<SocketAddr> {
    live.iter().map(Machine::control).collect()
}

/// Runs the case.
pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let site = Site::create(0);
    let platform = Platform::start(site.address(8223));
    let mut live: Vec<_> = (0..CORES)
        .map(|number| Machine::new(&site, &format!("core-{number}"), true))
        .collect();
    let seeds: Vec<SocketAddr> = live.iter().take(3).map(Machine::control).collect();
    for machine in &mut live {
        machine.start(
            &site,
            &Start {
                seeds: &seeds,
                bootstrap: true,
                platform: platform.address,
            },
        );
    }
    let limit = Duration::from_secs(15);
    if replace(&controls(&live), &document(1), limit, record).is_none() {
        return Outcome::NotRun;
    }
    record.say("the first configuration was acknowledged");
    thread::sleep(CATCH_UP);
    for turn in 0..CORES {
        if trouble {
            let name = format!("core-{}", CORES + turn);
            let mut new = Machine::new(&site, &name, true);
            let seeds: Vec<SocketAddr> = controls(&live)[..3].to_vec();
            let start = Start {
                seeds: &seeds,
                bootstrap: false,
                platform: platform.address,
            };
            new.start(&site, &start);
            record.say(&format!(
                "{name} starts with an empty disk at a new address"
            ));
            thread::sleep(CATCH_UP);
            let position = leader(&site, &live);
            let mut old = live.remove(position);
            live.push(new);
            let took = old.stop(Duration::from_secs(8));
            record.say(&format!(
                "{} was stopped for good by SIGTERM in {took:.1?}",
                old.name
            ));
        } else {
            thread::sleep(CATCH_UP);
        }
        let version = turn + 2;
        let took = replace(&controls(&live), &document(version), ACK, record);
        record.say(&format!("version {version}: acknowledged after {took:.1?}"));
        // The core is stable again before the next one is replaced.
        thread::sleep(CONTACT);
    }
    let outcome = judge(&controls(&live), record);
    drop(live);
    site.remove();
    outcome
}

/// The operator sends one more configuration, and reads the configuration back.
fn judge(controls: &[SocketAddr], record: &Arc<Record>) -> Outcome {
    record.say("all five core machines have been running undisturbed for contact_ms");
    let start = Instant::now();
    let took = replace(controls, &document(100), RECOVER + ACK + PATIENCE, record);
    let mut reads = 0;
    let mut newest = None;
    while newest.is_none() && reads < 2 * controls.len() {
        let address = controls[reads % controls.len()];
        reads += 1;
        let limit = Duration::from_secs(2);
        let headers = [("Host", "control")];
        let answer = http::call(address, "GET", "/v1/config/read", &headers, b"", limit);
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.add(&format!("read from {address}: {status}"));
        newest = answer.ok().filter(|answer| answer.status() == 200);
    }
    record.say(&format!(
        "the last version: acknowledged {took:.1?}; {reads} reads of the configuration, one came: {}; after {:.0?}",
        newest.is_some(),
        start.elapsed()
    ));
    match (took, newest) {
        (Some(took), Some(_)) if took <= RECOVER + ACK => Outcome::Held,
        _ => Outcome::Broken,
    }
}
