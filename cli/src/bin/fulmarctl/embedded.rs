//! Complete deployment in one process: fake endpoints and instances over loopback TCP.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Context as _;
use fulmarford_lib::arrivals::PlannedRequest;
use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::control::Control as _;
use fulmarford_lib::decision_log::DecisionLog;
use fulmarford_lib::deployment;
use fulmarford_lib::deployment::CallKind;
use fulmarford_lib::deployment::Deployment;
use fulmarford_lib::gateway::Gateway;
use fulmarford_lib::gateway::GatewayService;
use fulmarford_lib::gateway::Settings;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::ids::ZoneId;
use fulmarford_lib::key::KeySecret;
use fulmarford_lib::load_poller::LoadPoller;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::policy::Policy;
use fulmarford_lib::rule_check;
use fulmarford_lib::rules::EndpointKind;
use fulmarford_lib::scheduler;
use fulmarford_lib::scheduler::Scheduler;
use fulmarford_lib::server::Server;
use fulmarford_lib::simple_control::SimpleControl;
use fulmarford_lib::simple_policy::SimplePolicy;
use fulmarford_lib::view::View;
use fulmarford_lib::workload::Sample;
use fulmarford_lib::workload::Target;
use fulmarford_testutils::fake_engine;
use fulmarford_testutils::fake_engine::EngineSettings;
use fulmarford_testutils::fake_engine::FakeEngine;
use fulmarford_testutils::fake_service::FakeService;

/// Time to the first token of a fake engine.
pub(crate) const FIRST_TOKEN_TIME: Duration = Duration::from_millis(40);

/// Time between tokens of a fake engine.
pub(crate) const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

/// Prefix of the keys in the example files.
const KEY_PREFIX: &str = "fk-example-";

/// Policy used by the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// First come, first served.
    Naive,
    /// Scheduler of the daemon.
    Current,
}

impl PolicyKind {
    /// Policy of the daemon.
    pub(crate) const DAEMON: Self = PolicyKind::Current;

    /// Parses the value of the flag `--policy`.
    pub(crate) fn parse(text: &str) -> eyre::Result<Vec<Self>> {
        match text {
            "naive" => Ok(vec![PolicyKind::Naive]),
            "current" => Ok(vec![Self::DAEMON]),
            "both" => Ok(vec![PolicyKind::Naive, PolicyKind::Current]),
            _ => eyre::bail!("--policy: use naive, current or both"),
        }
    }

    /// Returns the name of the policy in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            PolicyKind::Naive => "naive",
            PolicyKind::Current => "current",
        }
    }

    fn create(self, view: &Arc<View>, seed: u64, number: usize) -> Box<dyn Policy> {
        match self {
            PolicyKind::Naive => Box::new(SimplePolicy::new(view.clone())),
            PolicyKind::Current => {
                let settings = scheduler::Settings {
                    instance: format!("entry-{number}").into(),
                    zone: zone(view, number),
                    zone_latencies: BTreeMap::new(),
                    seed: seed.wrapping_add(number as u64),
                };
                Box::new(Scheduler::new(settings, view.clone()))
            }
        }
    }
}

/// Returns the zone of an instance; instances are spread over the zones of the endpoints.
fn zone(view: &View, number: usize) -> ZoneId {
    let zones: BTreeSet<_> = view.endpoints().map(|e| e.zone.clone()).collect();
    let position = number % zones.len().max(1);
    let zone = zones.into_iter().nth(position);
    zone.unwrap_or_else(|| "none".into())
}

/// Running deployment.
pub(crate) struct Embedded {
    /// Rules of the deployment, with the addresses of the fakes.
    pub(crate) view: Arc<View>,
    engines: HashMap<String, Arc<FakeEngine>>,
    services: Vec<Arc<FakeService>>,
    instances: Vec<GatewayInstance>,
}

/// Instance, whose threads stop on drop.
struct GatewayInstance {
    gateway: Arc<Gateway>,
    server: Server,
    _poller: LoadPoller,
}

impl Drop for GatewayInstance {
    fn drop(&mut self) {
        self.gateway.stop();
    }
}

impl Embedded {
    /// Starts the fakes and the instances of a deployment.
    pub(crate) fn start(
        deployment: &Deployment,
        policy: PolicyKind,
        seed: u64,
    ) -> eyre::Result<Self> {
        let mut addresses = HashMap::new();
        let mut engines = HashMap::new();
        let mut services = Vec::new();
        for endpoint in deployment.view().endpoints() {
            let name = endpoint.id.to_string();
            if endpoint.kind == EndpointKind::Service {
                let service = FakeService::start().wrap_err("cannot start a fake service")?;
                addresses.insert(name, service.address());
                services.push(service);
                continue;
            }
            let engine_settings = EngineSettings {
                first_token: FIRST_TOKEN_TIME,
                token_interval: TOKEN_INTERVAL,
                slots: endpoint.slots as usize,
                fencing: endpoint.fencing,
                ..EngineSettings::default()
            };
            let engine =
                FakeEngine::start(engine_settings).wrap_err("cannot start a fake engine")?;
            addresses.insert(name.clone(), engine.address());
            engines.insert(name, engine);
        }
        let text = deployment.rules_with_addresses(&addresses);
        let view = rule_check::check(&text).map_err(|e| eyre::eyre!("invalid rules: {e:?}"))?;
        let control = Arc::new(SimpleControl::new(view.clone(), incarnation(seed)));
        control.set_instance_count(u32::try_from(deployment.instances)?);
        let instances = (0..deployment.instances)
            .map(|number| GatewayInstance::start(&control, policy, seed, number))
            .collect::<eyre::Result<_>>()?;
        Ok(Self {
            view,
            engines,
            services,
            instances,
        })
    }

    /// Returns the destination of the load.
    pub(crate) fn target(&self) -> Target {
        Target {
            instances: self.instances.iter().map(|i| i.server.address()).collect(),
            key_prefix: KEY_PREFIX.to_owned(),
            expected_answer: fake_engine::answer,
        }
    }

    /// Returns the fake engines by endpoint name.
    pub(crate) fn engines(&self) -> &HashMap<String, Arc<FakeEngine>> {
        &self.engines
    }

    /// Returns the number of tokens produced by all engines.
    pub(crate) fn produced_tokens(&self) -> u64 {
        self.engines.values().map(|e| e.counts().tokens).sum()
    }

    /// Returns a description of each violated invariant.
    pub(crate) fn violations(
        &self,
        schedule: &[PlannedRequest],
        samples: &[Sample],
    ) -> Vec<String> {
        let mut violations = Vec::new();
        self.check_keys(&mut violations);
        self.check_answers(schedule, samples, &mut violations);
        self.check_executions(schedule, samples, &mut violations);
        violations
    }

    fn check_keys(&self, violations: &mut Vec<String>) {
        for (name, engine) in &self.engines {
            for request in engine.requests() {
                let in_header = request.headers.iter().any(|(_, v)| v.contains(KEY_PREFIX));
                if in_header || request.body.contains(KEY_PREFIX) {
                    violations.push(format!("endpoint {name} received a caller's key"));
                }
            }
        }
        for service in &self.services {
            let leaked = |h: &Vec<(String, String)>| h.iter().any(|(_, v)| v.contains(KEY_PREFIX));
            if service.requests().iter().any(leaked) {
                violations.push("a service received a caller's key".to_owned());
            }
        }
    }

    fn check_answers(
        &self,
        schedule: &[PlannedRequest],
        samples: &[Sample],
        violations: &mut Vec<String>,
    ) {
        for (planned, sample) in schedule.iter().zip(samples) {
            let truncated_silently =
                sample.status == 200 && !sample.is_complete && sample.code.is_none();
            if truncated_silently {
                violations.push(format!(
                    "{} of class {} was truncated or mixed up without an error",
                    planned.marker(),
                    planned.class
                ));
            }
        }
    }

    fn check_executions(
        &self,
        schedule: &[PlannedRequest],
        samples: &[Sample],
        violations: &mut Vec<String>,
    ) {
        let mut executions: HashMap<String, u32> = HashMap::new();
        for service in &self.services {
            for (call, count) in service.executions() {
                *executions.entry(call).or_default() += count;
            }
        }
        for (planned, sample) in schedule.iter().zip(samples) {
            let runs_once = self
                .view
                .class(planned.class)
                .is_some_and(|class| !class.idempotent);
            if !runs_once || !matches!(planned.call, CallKind::Service { .. }) {
                continue;
            }
            let ran = executions.get(&planned.marker()).copied().unwrap_or(0);
            let accepted = sample.is_complete || sample.resend_status == Some(200);
            let message = match (ran, accepted) {
                (2.., _) => format!("{} ran {ran} times", planned.marker()),
                (0, true) => format!("{} was answered and did not run", planned.marker()),
                _ if ran > 0 && sample.not_executed && sample.resend_status.is_none() => {
                    format!("{} was refused as not run and ran", planned.marker())
                }
                _ => continue,
            };
            violations.push(message);
        }
    }
}

fn incarnation(seed: u64) -> Incarnation {
    Incarnation {
        instance: "embedded".into(),
        number: seed,
    }
}

impl GatewayInstance {
    fn start(
        control: &Arc<SimpleControl>,
        policy: PolicyKind,
        seed: u64,
        number: usize,
    ) -> eyre::Result<Self> {
        let view = control.view(Instant::now())?;
        let gateway = Gateway::start(Settings {
            control: control.clone(),
            policy: policy.create(&view, seed, number),
            view_version: view.version(),
            key_secret: KeySecret::parse(deployment::KEY_SECRET)?,
            clock: Arc::new(SystemClock),
            first_request_id: seed.wrapping_add((number as u64) << 32),
            timeouts: Timeouts::default(),
            decision_log: DecisionLog::default(),
            metrics: Metrics::default(),
        })?;
        let poller = LoadPoller::start(&gateway).wrap_err("cannot poll endpoints")?;
        let address: SocketAddr = ([127, 0, 0, 1], 0).into();
        let service = Arc::new(GatewayService(gateway.clone()));
        let server = Server::start(address, 1, service).wrap_err("cannot listen")?;
        Ok(Self {
            gateway,
            server,
            _poller: poller,
        })
    }
}
