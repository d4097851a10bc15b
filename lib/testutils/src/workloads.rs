//! Workloads of the two users described in section 1 of `docs/design.md`, and a schedule of faults.

use std::fmt::Write;
use std::time::Duration;

use crate::virtual_engine::Faults;
use crate::virtual_run::Fault;
use crate::virtual_run::RequestKind;
use crate::virtual_run::Workload;

/// Returns the workload of the blinds manufacturer in Quito, with fitter queries, orders, summaries
/// and plans: 9 engines, 4 services, 10 workspaces, 7 instances.
pub fn persianas() -> Workload {
    let classes = "\
class fitter tier=1 first=2s idempotent=yes weight=10 output=100 # lab
class order tier=2 complete=10s idempotent=no weight=20 output=1 # lab
class summary tier=4 first=20s idempotent=yes weight=2 output=150 # lab
class plan tier=5 complete=4h idempotent=yes weight=4 output=500 # lab
";
    Workload {
        rules: rules(classes, "fitter summary plan", "order", 9, 4, 4),
        kinds: vec![
            kind("fitter", Some("m"), 4.0, 300, 100),
            kind("order", None, 1.0, 10, 60),
            kind("summary", Some("m"), 4.0, 600, 150),
            kind("plan", Some("m"), 2.0, 800, 500),
        ],
        workspaces: workspaces(),
        instances: 7,
    }
}

/// Returns the workload of the surf club in Dakar, with questions, reservations, briefings, safety
/// checks and schedules: 18 engines, 3 services, 10 workspaces, 8 instances.
pub fn vague() -> Workload {
    let classes = "\
class question tier=1 first=1500ms idempotent=yes weight=5 output=60 # club
class reserve tier=1 complete=10s idempotent=no weight=20 output=1 # club
class briefing tier=2 first=5s idempotent=yes weight=10 output=250 # club
class safety tier=3 first=10s idempotent=yes weight=5 output=200 # club
class schedule tier=5 complete=10m idempotent=yes weight=1 output=150 # club
";
    Workload {
        rules: rules(
            classes,
            "question briefing safety schedule",
            "reserve",
            18,
            3,
            3,
        ),
        kinds: vec![
            kind("question", Some("m"), 6.0, 200, 60),
            kind("reserve", None, 0.5, 10, 60),
            kind("briefing", Some("m"), 2.0, 1_000, 250),
            kind("safety", Some("m"), 2.0, 600, 200),
            kind("schedule", Some("m"), 4.0, 400, 150),
        ],
        workspaces: workspaces(),
        instances: 8,
    }
}

/// Returns faults of engines over a run: delayed and wrong load reports, slow processing, crashes
/// and announced departure. Engine indices follow the endpoint names, so that engines come before
/// services.
pub fn faults(duration: Duration) -> Vec<(Duration, usize, Fault)> {
    let slow = Faults {
        speed: 0.25,
        ..Faults::default()
    };
    let lagging = Faults {
        report_lag: Duration::from_secs(1),
        ..Faults::default()
    };
    let misreporting = Faults {
        reports_idle: true,
        ..Faults::default()
    };
    let leaving = Faults {
        leaving: true,
        ..Faults::default()
    };
    vec![
        (Duration::ZERO, 1, Fault::Set(lagging)),
        (Duration::ZERO, 2, Fault::Set(misreporting)),
        (duration.mul_f64(0.1), 3, Fault::Set(slow)),
        (
            duration.mul_f64(0.3),
            4,
            Fault::Crash(Duration::from_secs(10)),
        ),
        (duration.mul_f64(0.5), 3, Fault::Set(Faults::default())),
        (
            duration.mul_f64(0.6),
            5,
            Fault::Crash(Duration::from_secs(5)),
        ),
        (duration.mul_f64(0.7), 6, Fault::Set(leaving)),
        (duration.mul_f64(0.8), 6, Fault::Set(Faults::default())),
    ]
}

fn kind(
    name: &'static str,
    model: Option<&'static str>,
    rate: f64,
    prompt: u32,
    output: u32,
) -> RequestKind {
    RequestKind {
        name,
        model,
        rate,
        prompt,
        output,
    }
}

fn workspaces() -> Vec<(&'static str, f64)> {
    vec![
        ("w0", 30.0),
        ("w1", 20.0),
        ("w2", 15.0),
        ("w3", 5.0),
        ("w4", 5.0),
        ("w5", 5.0),
        ("w6", 5.0),
        ("w7", 5.0),
        ("w8", 5.0),
        ("w9", 5.0),
    ]
}

fn rules(
    classes: &str,
    models: &str,
    service: &str,
    engines: usize,
    services: usize,
    zones: usize,
) -> String {
    let mut text = classes.to_owned();
    let mut line = |args: std::fmt::Arguments<'_>| writeln!(text, "{args}").expect("text grows");
    for (name, _) in workspaces() {
        line(format_args!("workspace {name} # test"));
    }
    for class in models.split(' ') {
        line(format_args!(
            "route {class} workspace=* class={class} model=m endpoints=e* # test"
        ));
    }
    line(format_args!(
        "route {service} workspace=* class={service} path=/{service} endpoints=s* # test"
    ));
    for i in 0..engines {
        let (price, reclaimable) = if i % 3 == 2 {
            ("1", "yes")
        } else {
            ("3", "no")
        };
        line(format_args!(
            "endpoint e{i:02} address=127.0.0.1:{} zone=z{} models=m price={price}/h \
             reclaimable={reclaimable} # test",
            9000 + i,
            i % zones
        ));
    }
    for i in 0..services {
        line(format_args!(
            "endpoint s{i} address=127.0.0.1:{} zone=z{} # test",
            9500 + i,
            i % zones
        ));
    }
    text
}
