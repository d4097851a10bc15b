//! Daemon on a platform whose protocol is translated by an adapter.

use std::fs;
use std::sync::Arc;

use eyre::Context as _;
use fulmarford_lib::node::Node;
use fulmarford_lib::settings::Flags;
use fulmarford_lib::supervision;
use fulmarford_platform::PlatformDialect;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::LOG_FILTER;

/// Maximum number of lines that wait for the log writer; further ones are dropped and counted.
const MAX_BUFFERED_LOG_LINES: usize = 8_192;

/// Name of the only supported adapter.
const PLATFORM_ADAPTER: &str = "platform";

/// Runs the daemon until a signal stops it.
pub(crate) fn run(name: &str, flags: &Flags) -> eyre::Result<()> {
    eyre::ensure!(
        name == PLATFORM_ADAPTER,
        "--adapter: expected `{PLATFORM_ADAPTER}`, found {name:?}"
    );
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(tracing_subscriber::EnvFilter::new(LOG_FILTER))
        .with_writer(writer)
        .init();
    crate::supervise();
    // Handlers are registered before startup, so that a signal during startup is not lost.
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).wrap_err("cannot register signals")?;
    let secrets = match &flags.peer_secret_file {
        Some(file) => fs::read_to_string(file).wrap_err("--peer-secret-file")?,
        None => {
            eyre::bail!("--peer-secret-file is missing: instances authenticate each other with it")
        }
    };
    let port = flags.metrics_port.as_deref().map(str::parse).transpose();
    let port = port.wrap_err("--metrics-port")?;
    let settings = fulmarford_platform::settings::read(port, secrets)?;
    let dialect = PlatformDialect {
        window: settings.terms.length,
    };
    let node = Node::start(settings, Arc::new(dialect))?;
    for signal in signals.forever() {
        if signal == SIGHUP {
            // Addresses and roles are fixed for the lifetime of a process, and members are
            // discovered through the group, so changed seeds take effect at the next start.
            tracing::info!("received SIGHUP; changed settings take effect at the next start");
            continue;
        }
        tracing::info!(signal, "shutting down");
        break;
    }
    node.stop();
    tracing::info!(dropped_lines = dropped.dropped_lines(), "end of the log");
    drop(guard);
    eyre::ensure!(!supervision::has_failed(), "a part of the process failed");
    Ok(())
}
