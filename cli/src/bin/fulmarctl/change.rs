//! `fulmarctl apply`, `history` and `show`: submits changes and prints rules and their history.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Context as _;
use fulmarford_lib::ids::ChangeId;
use fulmarford_lib::operator_client::AcceptedChange;
use fulmarford_lib::operator_client::OperatorClient;
use fulmarford_lib::rule_check;
use fulmarford_lib::rule_diff;
use fulmarford_lib::view::Version;
use gumdrop::Options;
use serde_json::json;

use crate::instance::Instance;

/// Number of the newest changes that are searched for the id of a resubmitted change.
const RESEND_SEARCH_LIMIT: u32 = 1_000;

/// Arguments of `apply`.
#[derive(Debug, Options)]
pub(crate) struct ApplyArguments {
    /// Print this help.
    help: bool,
    /// Rules file with the complete set of rules.
    #[options(free, required)]
    file: PathBuf,
    /// Address of any instance.
    #[options(meta = "ADDRESS")]
    address: Option<String>,
    /// File with the operator token.
    #[options(meta = "FILE")]
    token_file: Option<PathBuf>,
    /// Id of the change; use the same one to resubmit a change after a lost response.
    #[options(no_short, meta = "ID")]
    change: Option<String>,
    /// Version that the change is based on; the current one by default.
    #[options(no_short, meta = "VERSION")]
    expected: Option<u64>,
    /// Author of the change, who is named in the history (required).
    #[options(no_short, meta = "NAME", required)]
    author: String,
    /// Show the difference without submitting it.
    #[options(no_short)]
    dry_run: bool,
    /// Print JSON lines.
    json: bool,
}

/// Arguments of `history`.
#[derive(Debug, Options)]
pub(crate) struct HistoryArguments {
    /// Print this help.
    help: bool,
    /// Address of any instance.
    #[options(meta = "ADDRESS")]
    address: Option<String>,
    /// File with the operator token.
    #[options(meta = "FILE")]
    token_file: Option<PathBuf>,
    /// Number of changes.
    #[options(meta = "NUMBER", default = "20")]
    count: u32,
    /// Print JSON lines.
    json: bool,
}

/// Arguments of `show`.
#[derive(Debug, Options)]
pub(crate) struct ShowArguments {
    /// Print this help.
    help: bool,
    /// Address of any instance.
    #[options(meta = "ADDRESS")]
    address: Option<String>,
    /// File with the operator token.
    #[options(meta = "FILE")]
    token_file: Option<PathBuf>,
    /// Print JSON.
    json: bool,
}

/// Submits the difference between a rules file and the rules in force.
pub(crate) fn apply(arguments: &ApplyArguments) -> eyre::Result<ExitCode> {
    let text = std::fs::read_to_string(&arguments.file).wrap_err("cannot read the rules file")?;
    let desired = match rule_check::check(&text) {
        Ok(view) => view,
        Err(errors) => {
            for error in errors {
                eprintln!("{}: {error}", arguments.file.display());
            }
            return Ok(ExitCode::FAILURE);
        }
    };
    let client = Instance::client(&arguments.address, &arguments.token_file)?;
    let current = client.rules()?;
    let current_rules = rule_check::check(&current.rules.join("\n"))
        .map_err(|_| eyre::eyre!("cannot parse the rules in force"))?;
    if let Some(version) = find_change(&client, arguments.change.as_deref())? {
        report(arguments, version, None);
        return Ok(ExitCode::SUCCESS);
    }
    let edits = rule_diff::edits(&current_rules, &desired);
    for line in rule_diff::lines(&current_rules, &edits) {
        eprintln!("{line}");
    }
    if edits.is_empty() {
        eprintln!("nothing to change at version {}", current.version);
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.dry_run {
        return Ok(ExitCode::SUCCESS);
    }
    let id: ChangeId = match &arguments.change {
        Some(id) => id.as_str().into(),
        None => format!("{:032x}", rand::random::<u128>()).into(),
    };
    let expected = arguments.expected.map_or(current.version, Version);
    // The id is printed first, so that the change can be resubmitted if the response is lost.
    eprintln!("submitting change {id} against version {expected}");
    let accepted = client.apply(&id, expected, &arguments.author, &edits)?;
    report(arguments, accepted.version, Some(accepted));
    Ok(ExitCode::SUCCESS)
}

/// Returns the version created by an earlier submission of the change, if there was one.
fn find_change(client: &OperatorClient, id: Option<&str>) -> eyre::Result<Option<Version>> {
    let Some(id) = id else {
        return Ok(None);
    };
    let history = client.history(RESEND_SEARCH_LIMIT)?;
    let found = history.iter().find(|change| change.id.as_str() == id);
    Ok(found.map(|change| change.version))
}

fn report(arguments: &ApplyArguments, version: Version, accepted: Option<AcceptedChange>) {
    let in_force = accepted.map(|a| a.in_force);
    if arguments.json {
        println!("{}", json!({"version": version, "in_force": in_force}));
        return;
    }
    match in_force {
        Some(true) => println!("version {version} is in force at every instance"),
        Some(false) => println!("version {version} is accepted and not yet in force everywhere"),
        None => println!("version {version} already contains this change"),
    }
}

/// Prints the newest changes.
pub(crate) fn history(arguments: &HistoryArguments) -> eyre::Result<ExitCode> {
    let client = Instance::client(&arguments.address, &arguments.token_file)?;
    for change in client.history(arguments.count)? {
        if arguments.json {
            println!("{}", serde_json::to_string(&change)?);
            continue;
        }
        println!(
            "version {} at {} by {} (change {})",
            change.version, change.at_ms, change.author, change.id
        );
        for edit in &change.edits {
            if let Some(line) = edit["set"].as_str() {
                println!("    + {line}");
            }
            if let Some(key) = edit["remove"].as_str() {
                println!("    - {key}");
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the rules held by the instance in the format of a rules file.
pub(crate) fn show(arguments: &ShowArguments) -> eyre::Result<ExitCode> {
    let client = Instance::client(&arguments.address, &arguments.token_file)?;
    let list = client.rules()?;
    if arguments.json {
        println!("{}", serde_json::to_string(&list)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!("# version {}", list.version);
    for zone in &list.evacuated {
        println!("# zone {zone} is evacuated");
    }
    for line in &list.rules {
        println!("{line}");
    }
    Ok(ExitCode::SUCCESS)
}
