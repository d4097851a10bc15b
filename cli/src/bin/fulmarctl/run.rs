//! One load run over an embedded deployment, with its faults and its figures.

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

/// Factor by which a burst multiplies the rate of the first class.
const BURST_FACTOR: f64 = 4.0;

/// Factor on the times of a slowed engine.
const SLOW_FACTOR: f64 = 8.0;

/// A fault that sets in after a third of a run and ends after two thirds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The first class arrives several times as often.
    Burst,
    /// One engine becomes slow.
    Slow,
    /// One engine crashes and comes back.
    Crash,
    /// One engine says that it will stop, and stops.
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

/// What is run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The deployment.
    pub(crate) deployment: Deployment,
    /// The policy of the entries.
    pub(crate) policy: PolicyKind,
    /// Arrivals relative to what the engines can serve.
    pub(crate) load: f64,
    /// Length of the arrivals.
    pub(crate) duration: Duration,
    /// Seed of arrivals and policies.
    pub(crate) seed: u64,
    /// The fault, if any.
    pub(crate) fault: Option<Fault>,
}

/// Figures of a run.
pub(crate) struct Outcome {
    /// Figures by class.
    pub(crate) report: Report,
    /// Tokens that the engines produced.
    pub(crate) produced_tokens: u64,
    /// Invariants that were broken.
    pub(crate) violations: Vec<String>,
}

impl Run {
    /// Starts the deployment, sends the load and computes the figures.
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
                    tracing::warn!(%error, "an engine did not come back");
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

/// Crashes the reclaimable engines of the zone that has most of them.
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
