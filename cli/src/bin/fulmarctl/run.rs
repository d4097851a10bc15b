//! Load test of an embedded deployment, with an optional fault.

use std::io;
use std::io::IsTerminal as _;
use std::io::Write as _;
use std::str::FromStr;
use std::thread;
use std::time::Duration;

use fulmarford_lib::arrivals;
use fulmarford_lib::arrivals::Burst;
use fulmarford_lib::arrivals::Plan;
use fulmarford_lib::deployment::Deployment;
use fulmarford_lib::report;
use fulmarford_lib::report::Report;
use fulmarford_lib::workload;
use fulmarford_testutils::fake_engine::Faults;

use crate::embedded;
use crate::embedded::Embedded;
use crate::embedded::PolicyKind;

/// Factor on the request rate of the first class during a burst.
const BURST_FACTOR: f64 = 4.0;

/// Factor on the response times of a slow engine.
const SLOW_FACTOR: f64 = 8.0;

/// Fault that starts after one third of a run and ends after two thirds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The request rate of the first class multiplies.
    Burst,
    /// One engine becomes slow.
    Slow,
    /// One engine crashes and restarts.
    Crash,
    /// One engine announces its shutdown and then stops.
    Leave,
    /// All reclaimable engines of one availability zone crash.
    Reclaim,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "burst" => Ok(Fault::Burst),
            "slow" => Ok(Fault::Slow),
            "crash" => Ok(Fault::Crash),
            "leave" => Ok(Fault::Leave),
            "reclaim" => Ok(Fault::Reclaim),
            _ => Err("use burst, slow, crash, leave or reclaim".to_owned()),
        }
    }
}

/// Parameters of a load test.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Deployment under test.
    pub(crate) deployment: Deployment,
    /// Policy of the instances.
    pub(crate) policy: PolicyKind,
    /// Load relative to the capacity of the engines.
    pub(crate) load: f64,
    /// Duration of the arrivals.
    pub(crate) duration: Duration,
    /// Seed of the arrivals and of the policies.
    pub(crate) seed: u64,
    /// Fault to inject.
    pub(crate) fault: Option<Fault>,
}

/// Results of a load test.
pub(crate) struct Outcome {
    /// Results by class.
    pub(crate) report: Report,
    /// Number of tokens produced by the engines.
    pub(crate) produced_tokens: u64,
    /// Descriptions of the violated invariants.
    pub(crate) violations: Vec<String>,
}

impl Run {
    /// Starts the deployment, sends the load and computes the results.
    pub(crate) fn execute(&self) -> eyre::Result<Outcome> {
        let embedded = Embedded::start(&self.deployment, self.policy, self.seed)?;
        let capacity = self
            .deployment
            .capacity(embedded::FIRST_TOKEN_TIME, embedded::TOKEN_INTERVAL);
        let schedule = arrivals::schedule(&self.deployment, &self.plan(capacity * self.load));
        let total = schedule.len();
        let embedded_ref = &embedded;
        let samples = thread::scope(|scope| {
            if let Some(fault) = self.fault {
                scope.spawn(move || self.inject(fault, embedded_ref));
            }
            workload::run(&embedded.target(), &schedule, &|sent| progress(sent, total))
        });
        finish_progress();
        Ok(Outcome {
            report: report::summarise(&embedded.view, &schedule, &samples, self.duration),
            produced_tokens: embedded.produced_tokens(),
            violations: embedded.violations(&schedule, &samples),
        })
    }

    fn plan(&self, rate: f64) -> Plan {
        let bursts = if self.fault == Some(Fault::Burst) {
            vec![Burst {
                class: self.deployment.request_kinds[0].class.to_owned(),
                start: self.duration / 3,
                length: self.duration / 3,
                factor: BURST_FACTOR,
            }]
        } else {
            Vec::new()
        };
        Plan {
            rate,
            duration: self.duration,
            bursts,
            seed: self.seed,
        }
    }

    fn inject(&self, fault: Fault, embedded: &Embedded) {
        let mut names: Vec<_> = embedded.engines().keys().collect();
        names.sort();
        let first = &embedded.engines()[names[0]];
        thread::sleep(self.duration / 3);
        match fault {
            Fault::Burst => {}
            Fault::Slow => {
                first.set_faults(Faults {
                    slow: SLOW_FACTOR,
                    ..Faults::default()
                });
                thread::sleep(self.duration / 3);
                first.set_faults(Faults::default());
            }
            Fault::Crash => {
                first.crash();
                thread::sleep(self.duration / 3);
                if let Err(error) = first.restart() {
                    tracing::warn!(%error, "cannot restart the engine");
                }
            }
            Fault::Leave => {
                first.set_faults(Faults {
                    leaving: true,
                    ..Faults::default()
                });
                thread::sleep(self.duration / 3);
                first.crash();
            }
            Fault::Reclaim => reclaim(embedded),
        }
    }
}

/// Crashes the reclaimable engines of the zone with the largest number of them.
fn reclaim(embedded: &Embedded) {
    let mut zones = std::collections::BTreeMap::<_, Vec<_>>::new();
    for endpoint in embedded.view.endpoints().filter(|e| e.reclaimable) {
        zones
            .entry(endpoint.zone.clone())
            .or_default()
            .push(endpoint.id.to_string());
    }
    let Some(names) = zones.into_values().max_by_key(Vec::len) else {
        return;
    };
    for name in names {
        if let Some(engine) = embedded.engines().get(&name) {
            engine.crash();
        }
    }
}

fn progress(sent: usize, total: usize) {
    if io::stderr().is_terminal() {
        eprint!("\rsent {sent} of {total} requests");
        let _ = io::stderr().flush();
    }
}

fn finish_progress() {
    if io::stderr().is_terminal() {
        eprint!("\r{:40}\r", "");
    }
}
