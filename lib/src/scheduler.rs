//! Production scheduling policy: priority tiers, deadlines, fairness, admission and endpoint
//! selection.
//!
//! Requests wait in one queue per endpoint pool and tier. Whenever a slot may be free, the
//! scheduler first dispatches low tiers that have earned a turn by their minimum share
//! ([`crate::queue`]), then the highest tier that has room (`docs/design.md`, section 5).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::admission;
use crate::affinity;
use crate::balancer::Balancer;
use crate::balancer::Requirements;
use crate::balancer::SelectionError;
use crate::code::ResultCode;
use crate::control::Suspicion;
use crate::ids::ClassId;
use crate::ids::EndpointId;
use crate::ids::InstanceId;
use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::ids::ZoneId;
use crate::length::Lengths;
use crate::policy::Action;
use crate::policy::Arrival;
use crate::policy::CacheEvents;
use crate::policy::Completion;
use crate::policy::Decision;
use crate::policy::Ending;
use crate::policy::LoadReport;
use crate::policy::Policy;
use crate::pool_queue::PoolQueue;
use crate::quarantine::Quarantine;
use crate::queue::Item;
use crate::queue::Queue;
use crate::queue::TIERS;
use crate::retry::RetryBudget;
use crate::rules::Class;
use crate::view::View;

/// Maximum number of requests queued by one instance; beyond it, the lowest tier is shed.
pub const MAX_QUEUED: usize = 10_000;

/// Interval at which the pace of endpoints is compared.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Multiple of the expected duration after which a running request is overdue.
const OVERDUE_FACTOR: f64 = 2.0;

/// Number of requests examined per dispatch when no free endpoint may run the first one.
const LOOKAHEAD: usize = 4;

/// Number of slot releases by which a turn of a low tier is assumed to delay higher tiers.
const RELEASES_PER_TURN: f64 = 1.0;

/// Configuration of a scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, from which its subset of endpoints is derived.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// One-way latencies to other zones; 1 ms is assumed for zones that are not listed.
    pub zone_latencies: BTreeMap<ZoneId, Duration>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Production implementation of [`Policy`].
pub struct Scheduler {
    view: Arc<View>,
    rng: StdRng,
    balancer: Balancer,
    lengths: Lengths,
    quarantine: Quarantine,
    budget: RetryBudget,
    /// Index and weight by workspace.
    workspaces: HashMap<WorkspaceId, (u32, f64)>,
    classes: HashMap<ClassId, u32>,
    pools: Vec<PoolQueue>,
    waiting: HashMap<RequestId, QueuedRequest>,
    running: HashMap<RequestId, RunningRequest>,
    last_compared: Option<Instant>,
    /// Refusals caused by a new view, returned with the next actions.
    pending: Vec<Action>,
}

/// A request that waits in a queue.
struct QueuedRequest {
    arrival: Arrival,
    item: Item,
    pool: usize,
    tier: usize,
    class: u32,
    suspect: bool,
}

/// A request that was started on an endpoint.
struct RunningRequest {
    node: usize,
    pool: usize,
    tier: usize,
    workspace: u32,
    class: u32,
    fingerprint: u64,
    suspect: bool,
    started: Instant,
    /// Expected slot time in seconds.
    expected: f64,
}

impl Scheduler {
    /// Creates a scheduler with empty queues.
    pub fn new(settings: Settings, view: Arc<View>) -> Self {
        let salt = affinity::hash_name(settings.instance.as_str());
        let mut scheduler = Self {
            view: view.clone(),
            rng: StdRng::seed_from_u64(settings.seed),
            balancer: Balancer::new(settings.zone, settings.zone_latencies, salt),
            lengths: Lengths::default(),
            quarantine: Quarantine::default(),
            budget: RetryBudget::default(),
            workspaces: HashMap::new(),
            classes: HashMap::new(),
            pools: Vec::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            last_compared: None,
            pending: Vec::new(),
        };
        scheduler.apply_view(view);
        scheduler
    }

    /// Returns the number of map entries keyed by requests, which is zero when none is open.
    pub fn tracked_count(&self) -> usize {
        let queued: usize = self
            .pools
            .iter()
            .flat_map(|pool| &pool.queues)
            .map(Queue::len)
            .sum();
        self.waiting.len() + self.running.len() + queued
    }

    /// Returns the number of records kept after requests end, which is bounded.
    pub fn record_count(&self) -> usize {
        self.balancer.record_count() + self.quarantine.len()
    }

    fn apply_view(&mut self, view: Arc<View>) {
        for workspace in view.workspaces() {
            let next = self.workspaces.len() as u32;
            let known = self.workspaces.entry(workspace.id.clone());
            known.or_insert((next, 1.0)).1 = f64::from(workspace.weight);
        }
        for class in view.classes() {
            let next = self.classes.len() as u32;
            self.classes.entry(class.id.clone()).or_insert(next);
        }
        self.balancer.install(&view);
        self.view = view;
    }

    fn enqueue(&mut self, now: Instant, arrival: Arrival) -> Result<(), ResultCode> {
        let Some(class) = self.view.class(arrival.class.as_str()).cloned() else {
            return Err(ResultCode::UnknownClass);
        };
        let pool = self
            .balancer
            .pool(&self.view, &arrival.route, arrival.model.as_ref());
        self.pools
            .resize_with(self.balancer.pools(), PoolQueue::default);
        let (Some(pool), Some(&(workspace, weight)), Some(&index)) = (
            pool,
            self.workspaces.get(&arrival.workspace),
            self.classes.get(&arrival.class),
        ) else {
            return Err(ResultCode::NoEndpoint);
        };
        let tier = usize::from(class.tier.clamp(1, TIERS as u8)) - 1;
        let output = self
            .lengths
            .predict(index, workspace, class.output, arrival.limit);
        let output = (output - f64::from(arrival.resumed)).max(1.0);
        let item = Item {
            workspace,
            weight,
            deadline: arrival.deadline,
            id: arrival.id,
            cost: self.balancer.get(pool).time(output),
            tokens: f64::from(arrival.prompt) + output,
        };
        let suspicion = self.suspicion(now, arrival.fingerprint);
        let slack = arrival.deadline.saturating_duration_since(now);
        let queue = &mut self.pools[pool];
        queue.record_arrival(now, tier, item.cost, slack);
        queue.queues[tier].push(item);
        let waiting = QueuedRequest {
            item,
            pool,
            tier,
            class: index,
            suspect: suspicion == Suspicion::Suspect,
            arrival,
        };
        self.waiting.insert(item.id, waiting);
        Ok(())
    }

    fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(&id)?;
        self.pools[waiting.pool].queues[waiting.tier].remove(&waiting.item);
        Some(waiting)
    }

    fn suspicion(&self, now: Instant, fingerprint: u64) -> Suspicion {
        // Zero means that no fingerprint was computed.
        if fingerprint == 0 {
            return Suspicion::None;
        }
        self.quarantine.suspicion(now, fingerprint)
    }

    /// Refuses a new request that is predicted to miss its deadline.
    fn admit(&mut self, now: Instant, id: RequestId, actions: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.get(&id) else {
            return;
        };
        // A resumed stream was already admitted, and its caller has part of the response.
        let is_exempt = waiting.arrival.resumed > 0;
        let predicted = self.predict(now, waiting);
        let remaining = waiting.item.deadline.saturating_duration_since(now);
        match admission::refuse(predicted, remaining) {
            Some(retry) if !is_exempt => {
                self.remove(id);
                let decision = Decision {
                    reason: "predicted_late",
                    predicted: Some(millis(predicted)),
                    ..Decision::default()
                };
                actions.push(Action::Refuse {
                    request: id,
                    code: ResultCode::Overloaded,
                    retry: Some(retry),
                    decision,
                });
            }
            _ => {}
        }
    }

    /// Returns the predicted time to the first token, or to completion for a class that has no
    /// first-token target.
    fn predict(&self, now: Instant, waiting: &QueuedRequest) -> Duration {
        let queue = &self.pools[waiting.pool];
        let pool = self.balancer.get(waiting.pool);
        let own = self.balancer.own_in_flight(waiting.pool);
        let requests_ahead = queue.queues[waiting.tier].requests_ahead(&waiting.item);
        let backlog = queue.backlog(now, waiting.tier, requests_ahead, own);
        let class = self.view.class(waiting.arrival.class.as_str());
        let service_time = match class.map(Arc::as_ref) {
            Some(Class { first: None, .. }) => waiting.item.cost,
            _ => pool.first,
        };
        backlog.wait() + Duration::from_secs_f64(service_time)
    }

    /// Returns the time by which the first token is due, or would be for a response that is complete at the
    /// deadline.
    fn first_token_deadline(&self, waiting: &QueuedRequest) -> Instant {
        let class = self.view.class(waiting.arrival.class.as_str());
        let rest = match class.map(Arc::as_ref) {
            Some(Class { first: None, .. }) => {
                waiting.item.cost - self.balancer.get(waiting.pool).first
            }
            _ => 0.0,
        };
        let deadline = waiting.item.deadline;
        let rest = Duration::from_secs_f64(rest.max(0.0));
        deadline.checked_sub(rest).unwrap_or(deadline)
    }

    /// Refuses the request with the latest deadline in the longest queue of the lowest tier.
    fn shed(&mut self, actions: &mut Vec<Action>) {
        let shed_request = (0..TIERS).rev().find_map(|tier| {
            let queues = self.pools.iter().map(|pool| &pool.queues[tier]);
            queues
                .max_by_key(|q| q.len())
                .and_then(Queue::latest_request)
        });
        if let Some(id) = shed_request {
            self.remove(id);
            actions.push(refusal(id, ResultCode::Overloaded, "queue_full"));
        }
    }

    /// Refuses requests that can no longer meet their deadline.
    fn expire(&mut self, now: Instant, pool: usize, actions: &mut Vec<Action>) {
        let min_time = self.first_token_time(pool);
        for tier in 0..TIERS {
            for id in self.pools[pool].queues[tier].due_by(now + min_time) {
                self.remove(id);
                actions.push(refusal(id, ResultCode::QueueTimeout, "deadline_passed"));
            }
        }
    }

    fn first_token_time(&self, pool: usize) -> Duration {
        Duration::from_secs_f64(self.balancer.get(pool).first)
    }

    fn dispatch(&mut self, now: Instant, mut pools: Vec<usize>, actions: &mut Vec<Action>) {
        actions.append(&mut self.pending);
        for &pool in &pools {
            for queue in &mut self.pools[pool].queues {
                queue.forget_if_empty();
            }
        }
        pools.retain(|pool| self.pools[*pool].waiting_tiers().contains(&true));
        for &pool in &pools {
            self.expire(now, pool, actions);
            let capacity = self.balancer.capacity(now, pool);
            self.pools[pool].set_limits(now, &capacity);
        }
        let mut blocked = vec![TIERS; pools.len()];
        for tier in 0..TIERS {
            for (position, &pool) in pools.iter().enumerate() {
                while tier < blocked[position] {
                    let turn_due = self.dispatch_due_turns(now, pool, actions);
                    if self.pools[pool].queues[tier].is_empty() {
                        break;
                    }
                    if !self.dispatch_next(now, pool, tier, false, turn_due, actions) {
                        // Lower tiers may use fewer slots, so they have no room either.
                        blocked[position] = tier;
                    }
                }
            }
        }
    }

    /// Dispatches requests of low tiers that have earned a turn, and returns whether a turn is
    /// still due because no endpoint had room for it.
    fn dispatch_due_turns(&mut self, now: Instant, pool: usize, actions: &mut Vec<Action>) -> bool {
        let waits = self.pools[pool].waiting_tiers();
        let due = self.pools[pool].share.due_tiers(now, waits);
        let mut turn_due = false;
        for tier in due {
            let starved = self.pools[pool].share.is_starved(now, tier);
            if !starved && !self.has_slack(now, pool, tier) {
                continue;
            }
            turn_due |= !self.dispatch_next(now, pool, tier, true, false, actions);
        }
        turn_due
    }

    /// Returns whether all higher tiers would still meet their deadlines after one turn.
    fn has_slack(&self, now: Instant, pool: usize, tier: usize) -> bool {
        let min_deadline = self.after_next_release(now, pool);
        let higher = self.pools[pool].queues[..tier]
            .iter()
            .filter_map(Queue::earliest_deadline);
        higher.min().is_none_or(|due| due > min_deadline)
    }

    /// Returns the earliest deadline that a request still meets if it is started when the next slot
    /// is released.
    fn after_next_release(&self, now: Instant, pool: usize) -> Instant {
        let own = f64::from(self.balancer.own_in_flight(pool)).max(1.0);
        let delay = RELEASES_PER_TURN * self.pools[pool].average_cost / own;
        now + Duration::from_secs_f64(delay) + self.first_token_time(pool)
    }

    /// Dispatches the next request of a tier, or refuses it if no endpoint can ever run it.
    ///
    /// Returns false if the tier has to wait.
    fn dispatch_next(
        &mut self,
        now: Instant,
        pool: usize,
        tier: usize,
        turn: bool,
        turn_due: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !turn && !self.pools[pool].has_room(tier) {
            return false;
        }
        let min_deadline = self.after_next_release(now, pool);
        let items = self.pools[pool].queues[tier].next(min_deadline);
        for item in items.iter().take(LOOKAHEAD) {
            let Some(waiting) = self.waiting.get(&item.id) else {
                return false;
            };
            let requirements = Requirements {
                pool,
                tier,
                turn,
                turn_due,
                suspect: waiting.suspect,
                excluded: &waiting.arrival.excluded,
                prefixes: &waiting.arrival.prefixes,
                time_left: self
                    .first_token_deadline(waiting)
                    .saturating_duration_since(now),
            };
            match self.balancer.choose(now, &requirements, &mut self.rng) {
                Ok((node, decision)) => {
                    self.start(now, item.id, node, decision, actions);
                    return true;
                }
                Err(SelectionError::Full) => return false,
                Err(SelectionError::Restricted) => {}
                Err(SelectionError::Nowhere) => {
                    self.remove(item.id);
                    actions.push(refusal(item.id, ResultCode::NoEndpoint, "all_excluded"));
                    return true;
                }
            }
        }
        false
    }

    fn start(
        &mut self,
        now: Instant,
        id: RequestId,
        node: usize,
        mut decision: Decision,
        actions: &mut Vec<Action>,
    ) {
        let Some(waiting) = self.waiting.remove(&id) else {
            return;
        };
        self.pools[waiting.pool].queues[waiting.tier].take(&waiting.item);
        let queue = &mut self.pools[waiting.pool];
        let cost = waiting.item.cost;
        queue.record_start(now, waiting.tier, cost);
        let first = Duration::from_secs_f64(self.balancer.get(waiting.pool).first);
        decision.predicted = Some(millis(first));
        let node_state = self.balancer.node_mut(node);
        node_state.load.started(now);
        node_state.health.record_start(now);
        node_state.suspects += u32::from(waiting.suspect);
        let endpoint = node_state.rule.id.clone();
        self.balancer
            .affinity()
            .insert(&waiting.arrival.prefixes, node);
        let running = RunningRequest {
            node,
            pool: waiting.pool,
            tier: waiting.tier,
            workspace: waiting.item.workspace,
            class: waiting.class,
            fingerprint: waiting.arrival.fingerprint,
            suspect: waiting.suspect,
            started: now,
            expected: cost,
        };
        self.running.insert(id, running);
        actions.push(Action::Start {
            request: id,
            endpoint,
            decision,
        });
    }

    fn record_completion(
        &mut self,
        now: Instant,
        running: &RunningRequest,
        completion: &Completion,
    ) {
        let finished = completion.ending == Ending::Finished;
        let total = completion.total.as_secs_f64();
        let mut pace = None;
        if finished {
            let pool = self.balancer.get_mut(running.pool);
            pace = pool.map(|p| p.update_averages(completion.first, total, completion.output));
        }
        if finished && completion.output > 0 {
            self.lengths
                .observe(running.class, running.workspace, completion.output);
        }
        let node = self.balancer.node_mut(running.node);
        node.load.ended(now);
        node.suspects -= u32::from(running.suspect);
        node.health
            .record_end(now, completion.ending, pace, &mut self.rng);
    }

    fn update_suspects(&mut self, now: Instant, running: &RunningRequest, ending: Ending) {
        if ending == Ending::Crashed {
            self.balancer.affinity().invalidate(running.node);
        }
        if running.fingerprint == 0 {
            return;
        }
        match ending {
            Ending::Crashed => {
                let endpoint = &self.balancer.node(running.node).rule.id;
                self.quarantine.crashed(now, endpoint, running.fingerprint);
            }
            Ending::Finished => self.quarantine.clear(running.fingerprint),
            _ => {}
        }
    }

    fn compare_endpoints(&mut self, now: Instant) {
        if self
            .last_compared
            .is_some_and(|at| now.saturating_duration_since(at) < COMPARE_INTERVAL)
        {
            return;
        }
        self.last_compared = Some(now);
        let mut overdue_counts = vec![0u32; self.balancer.nodes()];
        // A new view may reassign endpoints to pools, so running requests are counted again.
        for queue in &mut self.pools {
            queue.running = [0; TIERS];
        }
        for running in self.running.values() {
            self.pools[running.pool].running[running.tier] += 1;
            let age = now.saturating_duration_since(running.started);
            if age.as_secs_f64() > 0.5 + OVERDUE_FACTOR * running.expected {
                overdue_counts[running.node] += 1;
            }
        }
        let overdue: Vec<bool> = overdue_counts
            .iter()
            .enumerate()
            .map(|(n, count)| *count > 0 && count * 2 >= self.balancer.node(n).load.in_flight())
            .collect();
        self.balancer.compare_endpoints(&overdue);
        self.quarantine.expire(now);
    }
}

fn refusal(request: RequestId, code: ResultCode, reason: &'static str) -> Action {
    let is_overload = matches!(code, ResultCode::Overloaded | ResultCode::QueueTimeout);
    Action::Refuse {
        request,
        code,
        retry: is_overload.then_some(admission::MIN_RETRY_HINT),
        decision: Decision {
            reason,
            ..Decision::default()
        },
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Policy for Scheduler {
    fn install(&mut self, now: Instant, view: Arc<View>) {
        let mut ids: Vec<_> = self.waiting.keys().copied().collect();
        ids.sort();
        let waiting: Vec<_> = ids.into_iter().filter_map(|id| self.remove(id)).collect();
        self.apply_view(view);
        for waiting in waiting {
            let id = waiting.item.id;
            if let Err(code) = self.enqueue(now, waiting.arrival) {
                self.pending.push(refusal(id, code, "no_route"));
            }
        }
    }

    fn submit(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.id;
        if arrival.deadline <= now {
            actions.push(refusal(id, ResultCode::QueueTimeout, "deadline_passed"));
            return;
        }
        if self.suspicion(now, arrival.fingerprint) == Suspicion::Quarantined {
            actions.push(refusal(id, ResultCode::Quarantined, "quarantined"));
            return;
        }
        let is_retry = arrival.resumed > 0 || !arrival.excluded.is_empty();
        if !is_retry {
            self.budget.earn();
        } else if !self.budget.spend() {
            actions.push(refusal(id, ResultCode::EndpointFailed, "retry_budget"));
            return;
        }
        if let Err(code) = self.enqueue(now, arrival) {
            actions.push(refusal(id, code, "no_route"));
            return;
        }
        let pool = self.waiting[&id].pool;
        self.dispatch(now, vec![pool], actions);
        self.admit(now, id, actions);
        if self.waiting.len() > MAX_QUEUED {
            self.shed(actions);
        }
    }

    fn complete(
        &mut self,
        now: Instant,
        request: RequestId,
        completion: &Completion,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        let running_count = &mut self.pools[running.pool].running[running.tier];
        *running_count = running_count.saturating_sub(1);
        self.record_completion(now, &running, completion);
        self.update_suspects(now, &running, completion.ending);
        // Only pools that contain the freed slot are dispatched; the others wait for the next tick.
        let pools = self.balancer.pools_of(running.node);
        self.dispatch(now, pools, actions);
    }

    fn cancel(&mut self, _now: Instant, request: RequestId, _actions: &mut Vec<Action>) {
        self.remove(request);
    }

    fn report(&mut self, now: Instant, report: &LoadReport, _actions: &mut Vec<Action>) {
        let Some(node) = self.balancer.find(&report.endpoint) else {
            return;
        };
        let jitter = self.rng.random();
        let node = self.balancer.node_mut(node);
        if node.load.report(now, report, jitter) {
            node.health.set_leaving(report.leaving);
        }
    }

    fn apply_cache_events(&mut self, _now: Instant, endpoint: &EndpointId, events: &CacheEvents) {
        if let Some(node) = self.balancer.find(endpoint) {
            self.balancer.affinity().apply_events(node, events);
        }
    }

    fn set_instance_count(&mut self, _now: Instant, count: u32) {
        self.balancer.set_instance_count(count);
    }

    fn set_suspicion(&mut self, now: Instant, fingerprint: u64, suspicion: Suspicion) {
        self.quarantine.learn(now, fingerprint, suspicion);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.compare_endpoints(now);
        self.dispatch(now, (0..self.pools.len()).collect(), actions);
    }

    fn queued(&self) -> usize {
        self.waiting.len()
    }
}
