//! `fulmarctl explain`: prints the routing decisions about a request from decision logs.

use std::fs::File;
use std::io::BufReader;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Context as _;
use fulmarford_lib::explain;
use gumdrop::Options;

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Request id, as in the header `x-request-id`.
    #[options(free, required)]
    request: String,
    /// Decision logs of one or more instances; standard input by default.
    #[options(free)]
    logs: Vec<PathBuf>,
    /// Print the log records unchanged.
    json: bool,
}

/// Prints the decisions about the request.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let mut source: Box<dyn Read> = if arguments.logs.is_empty() {
        Box::new(std::io::stdin())
    } else {
        Box::new(std::io::empty())
    };
    for path in &arguments.logs {
        let file = File::open(path).wrap_err_with(|| format!("cannot open {}", path.display()))?;
        source = Box::new(source.chain(file).chain(&b"\n"[..]));
    }
    for record in explain::explain(BufReader::new(source), &arguments.request)? {
        if arguments.json {
            println!("{}", record.fields);
        } else {
            println!("{}", record.describe());
        }
    }
    Ok(ExitCode::SUCCESS)
}
