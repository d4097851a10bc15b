//! `fulmarctl demo`: runs both example deployments on embedded fakes.

use std::process::ExitCode;
use std::time::Duration;

use fulmarford_lib::deployment::Deployment;
use gumdrop::Options;

use crate::bench;
use crate::embedded::PolicyKind;
use crate::run::Run;

/// Load relative to the capacity of the engines.
const RELATIVE_LOAD: f64 = 0.7;

/// Arguments of `demo`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Duration of the arrivals in seconds, in each deployment.
    #[options(meta = "SECONDS", default = "10")]
    duration: u64,
    /// Seed of the arrivals.
    #[options(meta = "NUMBER", default = "1")]
    seed: u64,
    /// Print JSON lines.
    json: bool,
}

/// Runs both deployments and fails if an invariant was violated.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let mut broken = false;
    for deployment in Deployment::all() {
        let run = Run {
            deployment,
            policy: PolicyKind::DAEMON,
            load: RELATIVE_LOAD,
            duration: Duration::from_secs(arguments.duration),
            seed: arguments.seed,
            fault: None,
        };
        eprintln!(
            "{}: {} entry instances, load {RELATIVE_LOAD} of capacity for {} s, seed {}",
            run.deployment.name, run.deployment.instances, arguments.duration, arguments.seed
        );
        let outcome = run.execute()?;
        bench::print(&run, &outcome, arguments.json);
        broken |= !outcome.violations.is_empty();
    }
    Ok(if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}
