//! `fulmarctl status`: prints the status of an instance and of its group.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use serde_json::Value;

use crate::instance::Instance;

/// Arguments of `status`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
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

/// Explanation of fields without a value.
const LEGEND: &str = "\n-  not known to this instance, or not so at present;  (0)  no entries";

/// Prints the status and fails if the view of the instance has expired.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let client = Instance::client(&arguments.address, &arguments.token_file)?;
    let status = client.status()?;
    if arguments.json {
        println!("{status}");
    } else {
        print(&status);
    }
    let expired = status["lease_ms"].as_u64() == Some(0);
    Ok(if expired {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn print(status: &Value) {
    let fields = status.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(_, v)| !v.is_array() && !v.is_object()) {
        println!("{name:<16} {}", text(value));
    }
    let lists = status.as_object().into_iter().flatten();
    for (name, value) in lists {
        let rows: Vec<String> = match value {
            Value::Array(rows) => rows.iter().map(row).collect(),
            Value::Object(_) => vec![row(value)],
            _ => continue,
        };
        println!("\n{name} ({})", rows.len());
        for line in rows {
            println!("    {line}");
        }
    }
    println!("{LEGEND}");
}

fn row(value: &Value) -> String {
    match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", text(value)))
            .collect::<Vec<_>>()
            .join(" "),
        other => text(other),
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
