//! Simulates the policies of several instances, which share virtual engines, in virtual time with
//! seeded random arrivals.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::ids::EndpointId;
use fulmarford_lib::ids::RequestId;
use fulmarford_lib::policy::Action;
use fulmarford_lib::policy::Arrival;
use fulmarford_lib::policy::Completion;
use fulmarford_lib::policy::Ending;
use fulmarford_lib::policy::Policy;
use fulmarford_lib::rules;
use fulmarford_lib::scheduler::Scheduler;
use fulmarford_lib::scheduler::Settings;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::virtual_engine::EngineSpec;
use crate::virtual_engine::Faults;
use crate::virtual_engine::Job;
use crate::virtual_engine::VirtualEngine;

/// Virtual time between two steps of a run.
pub const TIME_STEP: Duration = Duration::from_millis(10);

/// Number of steps between two load reports of an engine.
const REPORT_PERIOD_STEPS: u64 = 20;
/// Number of steps between two checks of the waiting requests.
const WATCH_PERIOD_STEPS: u64 = 10;
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 3;

/// A type of request in a workload.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name of both the class and the route.
    pub name: &'static str,
    /// The model; `None` for calls of a service.
    pub model: Option<&'static str>,
    /// Arrival rate relative to the other kinds of the workload.
    pub rate: f64,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Mean number of output tokens.
    pub output: u32,
}

/// Rules and request mix of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Text of a rules file with classes, routes, workspaces and endpoints.
    pub rules: String,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Workspaces with the relative rates of their arrivals.
    pub workspaces: Vec<(&'static str, f64)>,
    /// Number of instances.
    pub instances: usize,
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Replaces the lasting faults of the engine.
    Set(Faults),
    /// Crashes the engine, which stays down for this time.
    Crash(Duration),
}

/// Load, duration, seed and faults of a run.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// Arrival rate relative to [`capacity`].
    pub load: f64,
    /// Duration in virtual time, more than 25 s.
    pub duration: Duration,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Faults with their time since the start and engine index, ordered by time.
    pub faults: Vec<(Duration, usize, Fault)>,
}

/// Result of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassResult {
    /// Number of arrivals, without those of the last 25 s.
    pub offered: u32,
    /// Number of these that completed and met their target.
    pub attained: u32,
    /// Number of requests that were refused.
    pub refused: u32,
    /// Number of attempts that were started.
    pub started: u32,
    /// Longest time without a start while requests of the class waited.
    pub longest_gap: Duration,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Results by class.
    pub classes: BTreeMap<String, ClassResult>,
    /// Numbers of arrivals and of those that met their target, by class and workspace.
    pub callers: BTreeMap<(String, String), (u32, u32)>,
    /// Sum of the weights of requests that met their target, per second.
    pub goodput: f64,
    /// Number of output tokens of requests that failed or missed their target.
    pub wasted_tokens: f64,
    /// Number of output tokens of requests dispatched after their deadline without a first token.
    pub late_tokens: f64,
    /// Number of all output tokens.
    pub output_tokens: f64,
    /// Lowest ratio of served tokens to the fair share among all workspaces.
    pub worst_share: f64,
    /// Price of the slot time used, divided by the weight of requests that met their target.
    pub cost: f64,
    /// Number of starts on endpoints that had been leaving for more than 3 s.
    pub leaving_starts: u32,
    /// Number of requests cancelled in the queue before any output, because they had waited for
    /// twice the time allowed by their target.
    pub unanswered: u32,
}

impl std::fmt::Display for RunResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let wasted = 100.0 * self.wasted_tokens / self.output_tokens.max(1.0);
        write!(
            f,
            "goodput {:.1}/s wasted {wasted:.1} % late {:.0} worst {:.2} cost {:.3} leaving {} forgotten {}",
            self.goodput,
            self.late_tokens,
            self.worst_share,
            self.cost,
            self.leaving_starts,
            self.unanswered
        )?;
        for (name, class) in &self.classes {
            let attained = 100.0 * f64::from(class.attained) / f64::from(class.offered.max(1));
            let gap = class.longest_gap.as_secs_f64();
            write!(
                f,
                "\n    {name}: offered {} attained {attained:.1} % started {} refused {} gap {gap:.1} s",
                class.offered, class.started, class.refused
            )?;
        }
        Ok(())
    }
}

struct Call {
    arrival: Arrival,
    instance: usize,
    arrived: Instant,
    /// Index in [`Workload::kinds`].
    kind: usize,
    /// Number of output tokens of the complete response.
    output: f64,
    /// Time allowed from the arrival to the first token or, without such a target, to the end.
    target: Duration,
    /// Time of the first token of any attempt.
    first_token: Option<Instant>,
    /// Index of the engine that holds the request; `None` while the request waits.
    engine: Option<usize>,
    /// Number of attempts, the current one included.
    attempts: usize,
    /// Number of output tokens of all attempts.
    generated: f64,
    /// Whether an attempt was started after the deadline, before the first token.
    late: bool,
}

/// Parses rules into a view.
pub fn view(text: &str) -> Arc<View> {
    let base = View::default();
    let mut transaction = base.transaction();
    for rule in rules::parse_file(text).expect("rules are valid") {
        transaction.edit(&Edit::Set(rule)).expect("edit applies");
    }
    transaction.commit().expect("view is valid")
}

/// Creates the scheduler of an instance, which is in one of three availability zones.
pub fn scheduler(index: usize, view: Arc<View>) -> Scheduler {
    let settings = Settings {
        instance: format!("entry{index}").into(),
        zone: format!("z{}", index % 3).into(),
        zone_latencies: BTreeMap::new(),
        seed: index as u64,
    };
    Scheduler::new(settings, view)
}

/// Number of tokens by tier and workspace.
type TokensByTier = BTreeMap<u8, BTreeMap<String, f64>>;

struct Run<'a> {
    view: Arc<View>,
    workload: &'a Workload,
    policies: Vec<Box<dyn Policy>>,
    engines: Vec<VirtualEngine>,
    /// Index in `engines` by endpoint.
    engine_indices: HashMap<EndpointId, usize>,
    calls: HashMap<RequestId, Call>,
    rng: StdRng,
    start_time: Instant,
    /// Requests that arrive later are not counted, because they may not end within the run.
    cutoff: Instant,
    result: RunResult,
    served: TokensByTier,
    demand: TokensByTier,
    /// Time at which an engine began to leave, by engine index.
    leaving_since: HashMap<usize, Instant>,
    /// Time of the last start, by index of the kind.
    last_start: HashMap<usize, Instant>,
    attained_weight: f64,
    /// Price of the slot time used; the unit is the price per hour for one second.
    slot_cost: f64,
}

/// Returns the total arrival rate, in requests per second, that saturates the model engines.
pub fn capacity(workload: &Workload, view: &View) -> f64 {
    let spec = EngineSpec::default();
    let engines = view.endpoints().filter(|e| !e.models.is_empty()).count();
    let time: f64 = workload
        .kinds
        .iter()
        .filter(|k| k.model.is_some())
        .map(|k| k.rate * spec.saturated_seconds(f64::from(k.prompt), f64::from(k.output)))
        .sum();
    let total: f64 = workload.kinds.iter().map(|k| k.rate).sum();
    engines as f64 * f64::from(spec.slots) / time * total
}

/// Runs a workload; `policy` creates the policy of each instance.
pub fn run(
    workload: &Workload,
    config: &RunConfig,
    policy: impl Fn(usize, Arc<View>) -> Box<dyn Policy>,
) -> RunResult {
    let view = view(&workload.rules);
    let start_time = Instant::now();
    let engines: Vec<_> = view
        .endpoints()
        .map(|e| VirtualEngine::new(e.id.clone(), EngineSpec::default(), e.models.clone()))
        .collect();
    let mut run = Run {
        policies: (0..workload.instances)
            .map(|instance| policy(instance, view.clone()))
            .collect(),
        engine_indices: engines
            .iter()
            .enumerate()
            .map(|(i, e)| (e.id.clone(), i))
            .collect(),
        engines,
        view,
        workload,
        calls: HashMap::new(),
        rng: StdRng::seed_from_u64(config.seed),
        start_time,
        cutoff: start_time + config.duration - Duration::from_secs(25),
        result: RunResult::default(),
        served: BTreeMap::new(),
        demand: BTreeMap::new(),
        leaving_since: HashMap::new(),
        last_start: HashMap::new(),
        attained_weight: 0.0,
        slot_cost: 0.0,
    };
    for policy in &mut run.policies {
        policy.set_instance_count(start_time, workload.instances as u32);
    }
    run.simulate(config);
    run.finish(config)
}

impl Run<'_> {
    fn simulate(&mut self, config: &RunConfig) {
        let rate = capacity(self.workload, &self.view) * config.load;
        let steps = (config.duration.as_secs_f64() / TIME_STEP.as_secs_f64()) as u64;
        let mut next = 0.0;
        let mut count = 0;
        let mut faults = config.faults.iter().peekable();
        for step in 0..steps {
            let now = self.start_time + TIME_STEP * step as u32;
            while let Some((_, engine, fault)) = faults.next_if(|f| self.start_time + f.0 <= now) {
                self.apply_fault(now, *engine, *fault);
            }
            while next <= now.duration_since(self.start_time).as_secs_f64() {
                next += -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate;
                count += 1;
                self.submit_request(now, count);
            }
            self.step_engines(now, step);
            if step % WATCH_PERIOD_STEPS == 0 {
                self.check_waiting(now);
            }
            for instance in 0..self.policies.len() {
                self.run_policy(now, instance, |policy, actions| policy.tick(now, actions));
            }
        }
    }

    fn submit_request(&mut self, now: Instant, id: u64) {
        let kinds = &self.workload.kinds;
        let kind = weighted_index(&mut self.rng, kinds.iter().map(|k| k.rate));
        let workspaces = &self.workload.workspaces;
        let workspace = workspaces[weighted_index(&mut self.rng, workspaces.iter().map(|w| w.1))].0;
        let request_kind = kinds[kind];
        let class = self
            .view
            .class(request_kind.name)
            .expect("class exists")
            .clone();
        let target = class.first.or(class.complete).expect("class has a target");
        let factor: f64 = self.rng.random_range(0.2..1.8);
        let output = (f64::from(request_kind.output) * factor).max(1.0).round();
        let prefix = self.rng.random_range(0..40u64) + 1000 * kind as u64 + 1;
        let arrival = Arrival {
            id: RequestId(id),
            workspace: workspace.into(),
            class: class.id.clone(),
            route: request_kind.name.into(),
            model: request_kind.model.map(Into::into),
            prompt: request_kind.prompt,
            limit: None,
            prefixes: request_kind.model.map(|_| prefix).into_iter().collect(),
            fingerprint: id,
            deadline: now + target,
            excluded: Vec::new(),
            resumed: 0,
        };
        if now < self.cutoff {
            self.class_result(kind).offered += 1;
            self.caller_result(kind, workspace).0 += 1;
            let tokens = f64::from(request_kind.prompt) + output;
            if request_kind.model.is_some() {
                let demand = self.demand.entry(class.tier).or_default();
                *demand.entry(workspace.to_owned()).or_default() += tokens;
            }
        }
        let instance = self.rng.random_range(0..self.policies.len());
        let call = Call {
            arrival: arrival.clone(),
            instance,
            arrived: now,
            kind,
            output,
            target,
            first_token: None,
            engine: None,
            attempts: 1,
            generated: 0.0,
            late: false,
        };
        self.calls.insert(arrival.id, call);
        self.run_policy(now, instance, |policy, actions| {
            policy.submit(now, arrival, actions);
        });
    }

    /// Passes an event to the policy of an instance and applies the actions that it returns.
    fn run_policy(
        &mut self,
        now: Instant,
        instance: usize,
        event: impl FnOnce(&mut dyn Policy, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        event(self.policies[instance].as_mut(), &mut actions);
        for action in actions {
            match action {
                Action::Start {
                    request, endpoint, ..
                } => self.start(now, request, &endpoint),
                Action::Refuse { request, .. } => {
                    if let Some(call) = self.calls.remove(&request) {
                        self.class_result(call.kind).refused += 1;
                        self.result.wasted_tokens += call.generated;
                    }
                }
            }
        }
    }

    fn start(&mut self, now: Instant, id: RequestId, endpoint: &EndpointId) {
        let engine = self.engine_indices[endpoint];
        if self
            .leaving_since
            .get(&engine)
            .is_some_and(|at| now > *at + Duration::from_secs(3))
        {
            self.result.leaving_starts += 1;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            panic!("{id} was started after its end");
        };
        call.engine = Some(engine);
        call.late |= now > call.arrival.deadline && call.first_token.is_none();
        let kind = call.kind;
        let tier = self.view.class(self.workload.kinds[kind].name);
        let tier = tier.map_or(5, |c| c.tier);
        let prompt = f64::from(call.arrival.prompt);
        let mut job = Job::new(id, prompt, call.output - call.generated, tier, now);
        job.prefix = call.arrival.prefixes.first().copied();
        let instance = call.instance;
        self.last_start.insert(kind, now);
        self.class_result(kind).started += 1;
        if let Err(ending) = self.engines[engine].submit(now, job.clone()) {
            self.end_attempt(now, job, ending, instance);
        }
    }

    fn step_engines(&mut self, now: Instant, step: u64) {
        for engine in 0..self.engines.len() {
            let running = self.engines[engine].running() as f64;
            let rule = self.view.endpoint(self.engines[engine].id.as_str());
            let rule = rule.expect("endpoint exists");
            self.slot_cost +=
                rule.price * running / f64::from(rule.slots) * TIME_STEP.as_secs_f64();
            let ended = self.engines[engine].step(now, TIME_STEP);
            for (job, ending) in ended {
                let instance = self.calls[&job.id].instance;
                self.end_attempt(now, job, ending, instance);
            }
            if step % REPORT_PERIOD_STEPS == engine as u64 % REPORT_PERIOD_STEPS {
                self.engines[engine].publish(now);
            }
            for report in self.engines[engine].take_reports(now) {
                for instance in 0..self.policies.len() {
                    self.run_policy(now, instance, |p, actions| p.report(now, &report, actions));
                }
            }
        }
    }

    fn end_attempt(&mut self, now: Instant, job: Job, ending: Ending, instance: usize) {
        let completion = Completion {
            ending,
            prompt: job.prompt as u32,
            output: job.done(),
            first: job.first_token,
            total: now - job.started,
        };
        let finished = ending == Ending::Finished;
        let mut call = self.calls.remove(&job.id).expect("call is open");
        let engine = call.engine.take();
        call.generated += f64::from(job.done());
        self.result.output_tokens += f64::from(job.done());
        if call.late {
            self.result.late_tokens += f64::from(job.done());
        }
        call.first_token = call
            .first_token
            .or(job.first_token.map(|f| job.started + f));
        let class = self.view.class(self.workload.kinds[call.kind].name);
        let class = class.expect("class exists").clone();
        let repeatable = class.idempotent || ending == Ending::Unreachable;
        let retry = !finished && repeatable && call.attempts < MAX_ATTEMPTS;
        if retry {
            call.attempts += 1;
            let failed = engine.map(|e| self.engines[e].id.clone());
            call.arrival.excluded.extend(failed);
            call.arrival.resumed = call.generated as u32;
            if call.arrival.resumed > 0 {
                // As in the product, a resumed stream may pause for as long as its first token may take.
                call.arrival.deadline = now + call.target;
            }
            let arrival = call.arrival.clone();
            self.calls.insert(job.id, call);
            self.run_policy(now, instance, |p, actions| {
                p.complete(now, job.id, &completion, actions);
            });
            self.run_policy(now, instance, |p, actions| p.submit(now, arrival, actions));
            return;
        }
        self.record_outcome(now, &call, finished, class.weight, class.first.is_some());
        self.run_policy(now, instance, |p, actions| {
            p.complete(now, job.id, &completion, actions);
        });
    }

    fn record_outcome(
        &mut self,
        now: Instant,
        call: &Call,
        finished: bool,
        weight: u32,
        has_first_token_target: bool,
    ) {
        let answered = if has_first_token_target {
            call.first_token
        } else {
            Some(now)
        };
        let met = finished && answered.is_some_and(|at| at <= call.arrived + call.target);
        if !met {
            self.result.wasted_tokens += call.generated;
        }
        if call.arrived >= self.cutoff {
            return;
        }
        if finished && call.arrival.model.is_some() {
            let tokens = f64::from(call.arrival.prompt) + call.generated;
            let class = self.view.class(call.arrival.class.as_str());
            let served = self.served.entry(class.map_or(5, |c| c.tier)).or_default();
            *served
                .entry(call.arrival.workspace.to_string())
                .or_default() += tokens;
        }
        if met {
            self.class_result(call.kind).attained += 1;
            self.caller_result(call.kind, call.arrival.workspace.as_str())
                .1 += 1;
            self.attained_weight += f64::from(weight);
        }
    }

    fn apply_fault(&mut self, now: Instant, engine: usize, fault: Fault) {
        match fault {
            Fault::Set(faults) => {
                self.engines[engine].faults = faults;
                if faults.leaving {
                    self.leaving_since.insert(engine, now);
                } else {
                    self.leaving_since.remove(&engine);
                }
            }
            Fault::Crash(downtime) => {
                for job in self.engines[engine].crash(now, downtime) {
                    let instance = self.calls[&job.id].instance;
                    self.end_attempt(now, job, Ending::Crashed, instance);
                }
            }
        }
    }

    /// Updates the longest gaps between starts, and cancels the waiting requests whose callers hang
    /// up after twice the time allowed by their target.
    fn check_waiting(&mut self, now: Instant) {
        let mut oldest = HashMap::new();
        let mut hung_up = Vec::new();
        for (id, call) in &self.calls {
            if call.engine.is_some() {
                continue;
            }
            let at = oldest.entry(call.kind).or_insert(call.arrived);
            *at = call.arrived.min(*at);
            if now > call.arrived + 2 * call.target {
                hung_up.push(*id);
            }
        }
        for (kind, at) in oldest {
            let since = self.last_start.get(&kind).map_or(at, |s| at.max(*s));
            let class = self.class_result(kind);
            class.longest_gap = class.longest_gap.max(now - since);
        }
        hung_up.sort();
        for id in hung_up {
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            self.result.wasted_tokens += call.generated;
            self.result.unanswered += u32::from(call.arrival.resumed == 0);
            self.run_policy(now, call.instance, |p, actions| p.cancel(now, id, actions));
        }
    }

    fn class_result(&mut self, kind: usize) -> &mut ClassResult {
        let name = self.workload.kinds[kind].name;
        self.result.classes.entry(name.to_owned()).or_default()
    }

    fn caller_result(&mut self, kind: usize, workspace: &str) -> &mut (u32, u32) {
        let class = self.workload.kinds[kind].name.to_owned();
        let callers = &mut self.result.callers;
        callers.entry((class, workspace.to_owned())).or_default()
    }

    fn finish(mut self, config: &RunConfig) -> RunResult {
        let seconds = config.duration.as_secs_f64();
        self.result.goodput = self.attained_weight / seconds;
        self.result.cost = self.slot_cost / self.attained_weight.max(1.0);
        let weight = |name: &str| f64::from(self.view.workspace(name).map_or(1, |w| w.weight));
        let fair = fair_shares(&self.served, &self.demand, weight);
        let served = |name: &String| -> f64 {
            let tiers = self.served.values();
            tiers.filter_map(|workspaces| workspaces.get(name)).sum()
        };
        let ratio = |(name, fair): (&String, &f64)| served(name) / fair.max(1.0);
        self.result.worst_share = fair.iter().map(ratio).fold(f64::INFINITY, f64::min);
        self.result
    }
}

/// Returns the max-min fair shares of the served tokens, by workspace and in proportion to weights.
///
/// The tokens served in each tier are divided in the order of the tiers, and counted together with
/// the shares of the tiers before. No workspace gets more in a tier than it demanded there.
fn fair_shares(
    served: &TokensByTier,
    demand: &TokensByTier,
    weight: impl Fn(&str) -> f64,
) -> BTreeMap<String, f64> {
    let mut fair: BTreeMap<String, f64> = BTreeMap::new();
    for (tier, demands) in demand {
        let total: f64 = served.get(tier).map_or(0.0, |s| s.values().sum());
        let share = |fair: &BTreeMap<String, f64>, name: &String, level: f64| {
            let before = fair.get(name).copied().unwrap_or(0.0);
            (level * weight(name) - before).clamp(0.0, demands[name])
        };
        let (mut low, mut high) = (0.0, 1e9);
        for _ in 0..100 {
            let middle = f64::midpoint(low, high);
            let sum: f64 = demands.keys().map(|n| share(&fair, n, middle)).sum();
            if sum < total {
                low = middle;
            } else {
                high = middle;
            }
        }
        for name in demands.keys() {
            let tokens = share(&fair, name, high);
            *fair.entry(name.clone()).or_default() += tokens;
        }
    }
    fair
}

/// Draws an index with a probability in proportion to its weight.
fn weighted_index(rng: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut rest = rng.random_range(0.0..total);
    for (i, weight) in weights.enumerate() {
        if rest < weight {
            return i;
        }
        rest -= weight;
    }
    0
}
