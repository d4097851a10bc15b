//! `fulmarctl check`: lists all errors in a rules file.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Context as _;
use fulmarford_lib::rule_check;
use gumdrop::Options;
use serde_json::json;

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Rules file.
    #[options(free, required)]
    file: PathBuf,
    /// Print JSON lines.
    json: bool,
}

/// Validates the file and prints its errors or the number of its rules.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let file = arguments.file.display();
    let text =
        std::fs::read_to_string(&arguments.file).wrap_err_with(|| format!("cannot read {file}"))?;
    match rule_check::check(&text) {
        Ok(view) => {
            let rules = view.rules().count();
            if arguments.json {
                println!("{}", json!({"rules": rules}));
            } else {
                println!("{file}: {rules} rules, no errors");
            }
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => {
            for error in &errors {
                if arguments.json {
                    let row = json!({
                        "line": error.line,
                        "column": error.column,
                        "message": error.message,
                        "suggestion": error.suggestion,
                    });
                    println!("{row}");
                } else {
                    println!("{file}: {error}");
                }
            }
            Ok(ExitCode::FAILURE)
        }
    }
}
