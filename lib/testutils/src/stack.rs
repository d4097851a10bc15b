//! A gateway with its control, server and decision log, for tests and measurements in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::control::Control;
use fulmarford_lib::decision_log::DecisionLog;
use fulmarford_lib::gateway::Gateway;
use fulmarford_lib::gateway::GatewayService;
use fulmarford_lib::gateway::Settings;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::key::KeySecret;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::rules;
use fulmarford_lib::server::Server;
use fulmarford_lib::simple_control::SimpleControl;
use fulmarford_lib::simple_policy::SimplePolicy;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;

/// Secret with which the API keys of tests are hashed.
pub const SECRET: &str = "secret of the test cluster";

/// Returns the hash of an API key as rules contain it.
pub fn key_hash(key: &str) -> String {
    KeySecret::new(SECRET).hash(key).to_string()
}

/// Returns a view with the rules of a text added to those of another view.
///
/// # Panics
///
/// Panics if the rules are invalid.
pub fn view(base: &View, text: &str) -> Arc<View> {
    let mut transaction = base.transaction();
    for rule in rules::parse_file(text).expect("rules are valid") {
        transaction.edit(&Edit::Set(rule)).expect("edit applies");
    }
    transaction.commit().expect("view is valid")
}

/// Returns a single-process control with the rules of a text.
///
/// # Panics
///
/// Panics if the rules are invalid.
pub fn control(text: &str) -> Arc<SimpleControl> {
    let incarnation = Incarnation {
        instance: "test".into(),
        number: 1,
    };
    Arc::new(SimpleControl::new(
        view(&View::default(), text),
        incarnation,
    ))
}

/// A writer that keeps a decision log in memory; clones share the same buffer.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    /// Returns the log written so far.
    ///
    /// # Panics
    ///
    /// Panics if a writer panicked.
    pub fn text(&self) -> String {
        let bytes = self.0.lock().expect("log lock poisoned").clone();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl std::io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut log = self.0.lock().expect("log lock poisoned");
        log.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A gateway that listens on a loopback port.
pub struct Stack {
    /// The gateway itself.
    pub gateway: Arc<Gateway>,
    /// The control of the gateway.
    pub control: Arc<SimpleControl>,
    /// The decision log of the gateway.
    pub log: LogBuffer,
    /// The HTTP server of the gateway.
    pub server: Server,
}

impl Stack {
    /// Starts a gateway with two worker threads.
    ///
    /// # Panics
    ///
    /// Panics if the gateway cannot start.
    pub fn start(control: &Arc<SimpleControl>, timeouts: Timeouts, metrics: Metrics) -> Self {
        Self::start_with_workers(control, timeouts, metrics, 2)
    }

    /// Starts a gateway with a number of worker threads.
    ///
    /// # Panics
    ///
    /// Panics if the gateway cannot start.
    pub fn start_with_workers(
        control: &Arc<SimpleControl>,
        timeouts: Timeouts,
        metrics: Metrics,
        workers: usize,
    ) -> Self {
        let view = control
            .view(std::time::Instant::now())
            .expect("the view is fresh");
        let log = LogBuffer::default();
        let gateway = Gateway::start(Settings {
            control: control.clone(),
            policy: Box::new(SimplePolicy::new(view.clone())),
            view_version: view.version(),
            key_secret: KeySecret::new(SECRET),
            clock: Arc::new(SystemClock),
            first_request_id: 1,
            timeouts,
            decision_log: DecisionLog::start(log.clone()).expect("log starts"),
            metrics,
        })
        .expect("gateway starts");
        let address = ([127, 0, 0, 1], 0).into();
        let front = Arc::new(GatewayService(gateway.clone()));
        let server = Server::start(address, workers, front).expect("server starts");
        Self {
            gateway,
            control: control.clone(),
            log,
            server,
        }
    }

    /// Returns the address of the gateway.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}
