//! `fulmarctl fake`: serves a fake engine or service, to try out the router without an engine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Context as _;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::FakeEngine;
use fulmarford_testutils::fake_service::FakeService;
use gumdrop::Options;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Arguments of `fake`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// Print this help.
    help: bool,
    /// Listen address.
    #[options(free, required)]
    address: String,
    /// Serve a service instead of an engine.
    service: bool,
    /// Time to the first token in milliseconds.
    #[options(meta = "MS", default = "20")]
    first: u64,
    /// Time between tokens in milliseconds.
    #[options(meta = "MS", default = "5")]
    between: u64,
    /// Maximum number of concurrent requests of an engine.
    #[options(meta = "NUMBER", default = "16")]
    slots: usize,
}

/// Serves until a signal ends the process.
pub(crate) fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot register signals")?;
    let address: SocketAddr = arguments.address.parse().wrap_err("invalid address")?;
    if arguments.service {
        let _service = FakeService::start_at(address).wrap_err("cannot serve")?;
        signals.forever().next();
        return Ok(ExitCode::SUCCESS);
    }
    let settings = EngineSettings {
        first_token: Duration::from_millis(arguments.first),
        token_interval: Duration::from_millis(arguments.between),
        slots: arguments.slots,
        ..EngineSettings::default()
    };
    let _engine = FakeEngine::start_at(address, settings).wrap_err("cannot serve")?;
    signals.forever().next();
    Ok(ExitCode::SUCCESS)
}
