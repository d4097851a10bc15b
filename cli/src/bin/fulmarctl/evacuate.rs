//! `fulmarctl evacuate`: orders that endpoints of a zone get no new requests, and ends that.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use crate::instance::Instance;

/// Arguments of `evacuate`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Availability zone.
    #[options(free, required)]
    zone: String,
    /// End the evacuation instead.
    #[options(no_short)]
    end: bool,
    /// Address of any instance.
    #[options(meta = "ADDRESS")]
    address: Option<String>,
    /// File with the operator token.
    #[options(meta = "FILE")]
    token_file: Option<PathBuf>,
    /// Print JSON.
    json: bool,
}

/// Orders the evacuation of a zone, or its end, and waits until the order is in force.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let client = Instance::client(&arguments.address, &arguments.token_file)?;
    let accepted = client.set_evacuation(&arguments.zone, !arguments.end)?;
    if arguments.json {
        println!("{}", serde_json::to_string(&accepted)?);
        return Ok(ExitCode::SUCCESS);
    }
    let state = match arguments.end {
        true => "takes requests again",
        false => "is evacuated",
    };
    let scope = match accepted.in_force {
        true => "at every instance",
        false => "as soon as every instance has the order",
    };
    println!(
        "zone {} {state} {scope} (version {})",
        arguments.zone, accepted.version
    );
    Ok(ExitCode::SUCCESS)
}
