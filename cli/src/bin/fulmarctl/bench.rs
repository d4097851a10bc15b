//! `fulmarctl bench`: compares policies under load and faults on embedded fakes.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Context as _;
use fulmarford_lib::deployment::Deployment;
use gumdrop::Options;
use serde_json::json;

use crate::embedded::PolicyKind;
use crate::plot;
use crate::plot::Point;
use crate::run::Fault;
use crate::run::Outcome;
use crate::run::Run;

/// Arguments of `bench`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Deployment: quito or dakar.
    #[options(meta = "NAME", default = "quito")]
    deployment: String,
    /// Loads relative to the capacity of the engines, separated by commas.
    #[options(meta = "LIST", default = "0.7,1.0,1.5,3.0")]
    loads: String,
    /// Duration of the arrivals in seconds, at each load.
    #[options(meta = "SECONDS", default = "10")]
    duration: u64,
    /// Seed of the arrivals.
    #[options(meta = "NUMBER", default = "1")]
    seed: u64,
    /// Policy: naive, current or both.
    #[options(meta = "NAME", default = "both")]
    policy: String,
    /// Fault: burst, slow, crash, leave or reclaim.
    #[options(meta = "NAME")]
    fault: Option<Fault>,
    /// Print JSON lines.
    json: bool,
    /// Write an SVG plot of attainment and goodput against load.
    #[options(meta = "FILE")]
    plot: Option<PathBuf>,
}

/// Runs every load with every policy and fails if an invariant was violated.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let deployment = Deployment::by_name(&arguments.deployment)
        .ok_or_else(|| eyre::eyre!("--deployment: use quito or dakar"))?;
    let mut points = Vec::new();
    let mut broken = false;
    for load in loads(&arguments.loads)? {
        for policy in PolicyKind::parse(&arguments.policy)? {
            let run = Run {
                deployment: deployment.clone(),
                policy,
                load,
                duration: Duration::from_secs(arguments.duration),
                seed: arguments.seed,
                fault: arguments.fault,
            };
            let outcome = run.execute()?;
            print(&run, &outcome, arguments.json);
            broken |= !outcome.violations.is_empty();
            points.push(Point::new(&run, &outcome));
        }
    }
    if let Some(path) = &arguments.plot {
        plot::write(path, &points).wrap_err("cannot write the plot")?;
    }
    Ok(if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn loads(text: &str) -> eyre::Result<Vec<f64>> {
    text.split(',')
        .map(|part| {
            part.parse()
                .wrap_err("--loads: use numbers such as 0.7,1.5")
        })
        .collect()
}

/// Prints the results of a run as a table or as a JSON line.
pub(crate) fn print(run: &Run, outcome: &Outcome, json: bool) {
    let delivered: u64 = outcome.report.classes.iter().map(|c| c.useful).sum();
    let wasted = outcome.produced_tokens.saturating_sub(delivered);
    if json {
        let row = json!({
            "deployment": run.deployment.name,
            "policy": run.policy.name(),
            "load": run.load,
            "seed": run.seed,
            "seconds": run.duration.as_secs(),
            "produced": outcome.produced_tokens,
            "wasted": wasted,
            "report": outcome.report,
            "violations": outcome.violations,
        });
        println!("{row}");
        return;
    }
    println!(
        "\n{} with policy {} at load {}",
        run.deployment.name,
        run.policy.name(),
        run.load
    );
    print!("{}", outcome.report.table());
    println!(
        "engines produced {} tokens, {} of them ({:.1} %) outside attained answers",
        outcome.produced_tokens,
        wasted,
        100.0 * wasted as f64 / outcome.produced_tokens.max(1) as f64
    );
    if outcome.violations.is_empty() {
        println!("invariants: none broken");
    }
    for violation in &outcome.violations {
        println!("INVARIANT BROKEN: {violation}");
    }
}
