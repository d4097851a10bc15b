//! `fulmarctl check`: lists the errors and warnings of a configuration and compares it with another version.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Context as _;
use fulmarford_lib::config_check;
use fulmarford_lib::config_check::Difference;
use fulmarford_lib::config_check::Finding;
use fulmarford_lib::config_check::Severity;
use fulmarford_lib::dialect::Dialect as _;
use fulmarford_lib::rule_check;
use fulmarford_platform::PlatformDialect;
use fulmarford_platform::READ_PATH;
use fulmarford_platform::document_check;
use gumdrop::Options;
use serde_json::json;

use crate::instance::Instance;

/// Exit code of a configuration that is valid but has warnings.
const WARNINGS: u8 = 1;

/// Exit code of a configuration that would be rejected, or that could not be checked.
const ERRORS: u8 = 2;

/// Time after which an instance that does not return its document is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Rules file or document; exits with 0 if it is clean, 1 if there are only warnings, 2 if there are errors.
    #[options(free, required)]
    file: PathBuf,
    /// The adapter that interprets the file as its document (platform); a rules file by default.
    #[options(no_short, meta = "NAME")]
    adapter: Option<Adapter>,
    /// Compare with the version in force at this instance.
    #[options(meta = "ADDRESS")]
    address: Option<String>,
    /// File with the operator token, to compare rules with those in force.
    #[options(meta = "FILE")]
    token_file: Option<PathBuf>,
    /// Compare with the version in this file.
    #[options(no_short, meta = "FILE")]
    against: Option<PathBuf>,
    /// Print JSON lines.
    json: bool,
}

/// An adapter whose documents can be checked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Adapter {
    Platform,
}

impl std::str::FromStr for Adapter {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "platform" => Ok(Self::Platform),
            _ => Err("the only adapter with documents is `platform`"),
        }
    }
}

/// Findings, and the differences if the configuration is valid and there is another one.
struct Report {
    findings: Vec<Finding>,
    differences: Option<Vec<Difference>>,
}

/// Checks the file without changing anything and prints what was found.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    let report = match arguments.adapter {
        None => check_rules(arguments),
        Some(Adapter::Platform) => check_document(arguments),
    };
    match report {
        Ok(report) => {
            print(arguments, &report);
            match config_check::worst(&report.findings) {
                None => ExitCode::SUCCESS,
                Some(Severity::Warning) => ExitCode::from(WARNINGS),
                Some(Severity::Error) => ExitCode::from(ERRORS),
            }
        }
        Err(error) => {
            eprintln!("fulmarctl: {error:#}");
            ExitCode::from(ERRORS)
        }
    }
}

fn check_rules(arguments: &Arguments) -> eyre::Result<Report> {
    let (view, findings) = config_check::check_rules(&read(&arguments.file)?);
    let in_force = match (&arguments.against, &arguments.address) {
        (Some(file), _) => Some(read(file)?),
        (None, Some(_)) => {
            let client = Instance::client(&arguments.address, &arguments.token_file)?;
            Some(client.rules()?.rules.join("\n"))
        }
        (None, None) => None,
    };
    let differences = match (view, in_force) {
        (Some(view), Some(text)) => {
            let old = rule_check::check(&text)
                .map_err(|_| eyre::eyre!("cannot parse the rules to compare with"))?;
            Some(config_check::rule_differences(&old, &view))
        }
        _ => None,
    };
    Ok(Report {
        findings,
        differences,
    })
}

fn check_document(arguments: &Arguments) -> eyre::Result<Report> {
    let text = read(&arguments.file)?;
    let findings = document_check::check_document(&text);
    let in_force = match (&arguments.against, &arguments.address) {
        (Some(file), _) => Some(read(file)?),
        (None, Some(address)) => Some(read_document(address)?),
        (None, None) => None,
    };
    // The window only numbers reports of usage.
    let dialect = PlatformDialect { window: 1 };
    let differences = match (dialect.route_table(&text), in_force) {
        (Ok(table), Some(text)) => {
            let old = dialect.route_table(&text);
            let old = old.wrap_err("cannot parse the document to compare with")?;
            Some(config_check::table_differences(&old, &table))
        }
        _ => None,
    };
    Ok(Report {
        findings,
        differences,
    })
}

fn read(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

/// Returns the document in force at an instance.
fn read_document(address: &str) -> eyre::Result<String> {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(READ_TIMEOUT))
        .build()
        .new_agent();
    let mut response = agent
        .get(format!("http://{address}{READ_PATH}"))
        .call()
        .wrap_err_with(|| format!("cannot read the document from {address}"))?;
    Ok(response
        .body_mut()
        .with_config()
        .limit(u64::MAX)
        .read_to_string()?)
}

fn print(arguments: &Arguments, report: &Report) {
    let count = |severity| {
        let found = report.findings.iter().filter(|f| f.severity == severity);
        found.count()
    };
    let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
    let differences = report.differences.as_deref();
    if arguments.json {
        for finding in &report.findings {
            println!("{}", json!(finding));
        }
        for difference in differences.into_iter().flatten() {
            println!("{}", json!({"difference": difference}));
        }
        println!("{}", json!({"errors": errors, "warnings": warnings}));
        return;
    }
    let file = arguments.file.display();
    for finding in &report.findings {
        println!("{file}: {finding}");
    }
    for difference in differences.into_iter().flatten() {
        println!("{difference}");
    }
    if differences.is_some_and(<[_]>::is_empty) {
        println!("no differences");
    }
    println!("{file}: {errors} errors, {warnings} warnings");
}
