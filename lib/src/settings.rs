//! Settings of the daemon, read from flags and environment variables.
//!
//! A flag takes precedence over the variable `FULMARFORD_<FLAG>`. All settings are validated at
//! startup, so that a process with invalid settings serves no requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use gumdrop::Options;

use crate::control_core::PeerAddress;
use crate::ids::InstanceId;
use crate::ids::ZoneId;

/// Default address for callers and operators.
const DEFAULT_LISTEN: &str = "127.0.0.1:8080";
/// Default time in seconds for open requests to complete at shutdown.
const DEFAULT_DRAIN_TIMEOUT_SECONDS: &str = "30";
/// Default number of threads that serve callers.
const DEFAULT_WORKERS: usize = 4;

/// Default instance and zone name of a process without peers.
const STANDALONE_NAME: &str = "local";

/// Supported numbers of voters.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];

/// Command-line flags of the daemon.
#[derive(Clone, Debug, Default, Options)]
pub struct Flags {
    /// Print this help.
    pub help: bool,
    /// Name of this instance; required with --peers.
    #[options(no_short, meta = "NAME")]
    pub instance: Option<String>,
    /// Availability zone of this instance; required with --peers.
    #[options(no_short, meta = "ZONE")]
    pub zone: Option<String>,
    /// Address for callers and operators (127.0.0.1:8080).
    #[options(no_short, meta = "ADDRESS")]
    pub listen: Option<String>,
    /// Address under which other instances reach this one.
    #[options(no_short, meta = "ADDRESS")]
    pub peer_listen: Option<String>,
    /// Voters as name=address, separated by commas.
    #[options(no_short, meta = "LIST")]
    pub peers: Option<String>,
    /// Data folder; makes this instance a voter.
    #[options(no_short, meta = "FOLDER")]
    pub data: Option<String>,
    /// The voters form a new group if all their data folders are unused.
    #[options(no_short)]
    pub bootstrap: bool,
    /// Initial rules of a new group or a single process.
    #[options(no_short, meta = "FILE")]
    pub rules: Option<String>,
    /// File with the secret for the keyed hash of callers' keys.
    #[options(no_short, meta = "FILE")]
    pub key_secret_file: Option<String>,
    /// File with secrets shared by instances, one per line; the first is used, all are accepted.
    #[options(no_short, meta = "FILE")]
    pub peer_secret_file: Option<String>,
    /// File with operator tokens, one per line.
    #[options(no_short, meta = "FILE")]
    pub operator_token_file: Option<String>,
    /// Address of the platform API.
    #[options(no_short, meta = "ADDRESS")]
    pub platform: Option<String>,
    /// Address of the StatsD server for metrics.
    #[options(no_short, meta = "ADDRESS")]
    pub statsd: Option<String>,
    /// Seconds for open requests to complete at shutdown (30).
    #[options(no_short, meta = "SECONDS")]
    pub drain_timeout: Option<String>,
    /// Number of threads that serve callers (4).
    #[options(no_short, meta = "COUNT")]
    pub workers: Option<String>,
    /// Platform adapter to run with, which reads its settings from a file.
    #[options(no_short, meta = "NAME")]
    pub adapter: Option<String>,
    /// Port of the metrics endpoint, with --adapter.
    #[options(no_short, meta = "PORT")]
    pub metrics_port: Option<String>,
    /// File of the decision log; standard output by default.
    #[options(no_short, meta = "FILE")]
    pub log: Option<String>,
}

/// Error about a missing or invalid setting.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A required setting has no value.
    #[display("--{flag} is missing: {reason}")]
    Missing {
        /// Flag without dashes.
        flag: &'static str,
        /// Why the setting is required.
        reason: &'static str,
    },
    /// A setting has an invalid value.
    #[display("--{flag}: expected {expected}, found {found:?}")]
    Invalid {
        /// Flag without dashes.
        flag: &'static str,
        /// Description of a valid value.
        expected: &'static str,
        /// Value found.
        found: String,
    },
    /// Two settings contradict each other.
    #[display("{message}")]
    Conflict {
        /// Description of the conflict.
        message: &'static str,
    },
}

/// Validated settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for connections from other instances; `None` for a single process.
    pub peer_listen: Option<SocketAddr>,
    /// Voters; empty for a single process.
    pub peers: Vec<PeerAddress>,
    /// Data folder; `None` unless this instance is a voter.
    pub data_dir: Option<PathBuf>,
    /// Whether the voters may form a new group if all their data folders are unused.
    pub bootstrap: bool,
    /// File with the initial rules.
    pub rules_file: Option<PathBuf>,
    /// File with the secret for the keyed hash of callers' keys.
    pub key_secret_file: PathBuf,
    /// File with the secrets shared by instances; `None` for a single process.
    pub peer_secret_file: Option<PathBuf>,
    /// File with the operator tokens.
    pub operator_token_file: Option<PathBuf>,
    /// Address of the platform API.
    pub platform: Option<SocketAddr>,
    /// Address of the StatsD server for metrics.
    pub statsd: Option<SocketAddr>,
    /// Time for open requests to complete at shutdown.
    pub drain_timeout: Duration,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// File of the decision log; `None` for standard output.
    pub decision_log_file: Option<PathBuf>,
}

/// Looks up the value of a setting, first in the flags and then in the environment.
struct Source<E> {
    environment: E,
}

impl<E: Fn(&str) -> Option<String>> Source<E> {
    fn value(&self, flag: &'static str, given: Option<String>) -> Option<String> {
        let name = format!("FULMARFORD_{}", flag.to_uppercase().replace('-', "_"));
        given
            .or_else(|| (self.environment)(&name))
            .filter(|text| !text.is_empty())
    }

    fn parsed<T: FromStr>(
        &self,
        flag: &'static str,
        given: Option<String>,
        expected: &'static str,
    ) -> Result<Option<T>, SettingError> {
        let Some(text) = self.value(flag, given) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_| invalid(flag, expected, &text))
    }
}

fn invalid(flag: &'static str, expected: &'static str, found: &str) -> SettingError {
    SettingError::Invalid {
        flag,
        expected,
        found: found.to_owned(),
    }
}

fn missing(flag: &'static str, reason: &'static str) -> SettingError {
    SettingError::Missing { flag, reason }
}

fn required(
    flag: &'static str,
    value: Option<String>,
    reason: &'static str,
) -> Result<String, SettingError> {
    value.ok_or_else(|| missing(flag, reason))
}

/// Description of a valid address in error messages.
const EXPECTED_ADDRESS: &str = "an IP address with a port";

impl Settings {
    /// Validates flags and environment variables.
    pub fn check(
        flags: Flags,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingError> {
        let source = Source { environment };
        let peers = source.value("peers", flags.peers);
        let standalone = peers.is_none().then(|| STANDALONE_NAME.to_owned());
        let instance = source.value("instance", flags.instance);
        let instance = instance.or_else(|| standalone.clone());
        let instance = required("instance", instance, "every instance has its own name")?;
        let zone = source.value("zone", flags.zone).or(standalone);
        let zone = required("zone", zone, "endpoints in the same zone are preferred")?;
        let key_secret_file = source.value("key-secret-file", flags.key_secret_file);
        let key_secret_file = required(
            "key-secret-file",
            key_secret_file,
            "callers' keys are hashed with it",
        )?;
        let listen = source
            .parsed("listen", flags.listen, EXPECTED_ADDRESS)?
            .unwrap_or_else(|| DEFAULT_LISTEN.parse().expect("the default is valid"));
        let expected = "a whole number of seconds";
        let drain_seconds: u64 = source
            .parsed("drain-timeout", flags.drain_timeout, expected)?
            .unwrap_or_else(|| {
                DEFAULT_DRAIN_TIMEOUT_SECONDS
                    .parse()
                    .expect("the default is valid")
            });
        let bootstrap = flags.bootstrap || parse_bootstrap(&source)?;
        let workers = source
            .parsed::<NonZeroUsize>("workers", flags.workers, "a whole number above 0")?
            .map_or(DEFAULT_WORKERS, NonZeroUsize::get);
        let path = |flag, given| source.value(flag, given).map(PathBuf::from);
        let settings = Self {
            instance: instance.into(),
            zone: zone.into(),
            listen,
            peer_listen: source.parsed("peer-listen", flags.peer_listen, EXPECTED_ADDRESS)?,
            peers: peers.as_deref().map_or(Ok(Vec::new()), parse_peers)?,
            data_dir: path("data", flags.data),
            bootstrap,
            rules_file: path("rules", flags.rules),
            key_secret_file: key_secret_file.into(),
            peer_secret_file: path("peer-secret-file", flags.peer_secret_file),
            operator_token_file: path("operator-token-file", flags.operator_token_file),
            platform: source.parsed("platform", flags.platform, EXPECTED_ADDRESS)?,
            statsd: source.parsed("statsd", flags.statsd, EXPECTED_ADDRESS)?,
            drain_timeout: Duration::from_secs(drain_seconds),
            workers,
            decision_log_file: path("log", flags.log),
        };
        settings.check_group()?;
        Ok(settings)
    }

    /// Validates the settings of a process with peers.
    fn check_group(&self) -> Result<(), SettingError> {
        if self.peers.is_empty() {
            return Ok(());
        }
        if self.peer_secret_file.is_none() {
            let reason = "instances authenticate each other with it";
            return Err(missing("peer-secret-file", reason));
        }
        let Some(address) = self.peer_listen else {
            return Err(missing("peer-listen", "other instances connect to it"));
        };
        if address.ip().is_unspecified() {
            let expected = "the address that other instances connect to";
            return Err(invalid("peer-listen", expected, &address.to_string()));
        }
        let own = self.peers.iter().find(|peer| peer.name == self.instance);
        match (own, &self.data_dir) {
            (Some(own), Some(_)) if own.address != address => Err(SettingError::Conflict {
                message: "--peers lists this instance with another address than --peer-listen",
            }),
            (Some(_), None) => Err(missing("data", "--peers lists this instance as a voter")),
            (None, Some(_)) => Err(SettingError::Conflict {
                message: "an instance with --data is a voter and must be listed in --peers",
            }),
            _ => Ok(()),
        }
    }
}

/// Returns the bootstrap setting from the environment.
fn parse_bootstrap(source: &Source<impl Fn(&str) -> Option<String>>) -> Result<bool, SettingError> {
    match source.value("bootstrap", None).as_deref() {
        None | Some("no") => Ok(false),
        Some("yes") => Ok(true),
        Some(other) => Err(invalid("bootstrap", "`yes` or `no`", other)),
    }
}

fn parse_peers(text: &str) -> Result<Vec<PeerAddress>, SettingError> {
    let expected = "voters as name=address, separated by commas";
    let mut peers = Vec::new();
    for item in text.split(',') {
        let (name, address) = item
            .split_once('=')
            .filter(|(name, _)| !name.is_empty())
            .ok_or_else(|| invalid("peers", expected, item))?;
        let address = address
            .parse()
            .map_err(|_| invalid("peers", expected, item))?;
        peers.push(PeerAddress {
            name: name.into(),
            address,
        });
    }
    let names: BTreeSet<_> = peers.iter().map(|peer| peer.name.clone()).collect();
    let addresses: BTreeSet<_> = peers.iter().map(|peer| peer.address).collect();
    if names.len() != peers.len() || addresses.len() != peers.len() {
        return Err(invalid("peers", "different names and addresses", text));
    }
    if !VOTER_COUNTS.contains(&peers.len()) {
        return Err(invalid("peers", "1, 3 or 5 voters", text));
    }
    Ok(peers)
}
