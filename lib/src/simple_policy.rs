//! Naive policy: first come, first served, with round-robin endpoint selection and no limits.
//!
//! It is the baseline against which production policies are measured (`docs/measurements.md`).

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use crate::code::ResultCode;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::RequestId;
use crate::ids::RouteId;
use crate::policy::Action;
use crate::policy::Arrival;
use crate::policy::Completion;
use crate::policy::Decision;
use crate::policy::LoadReport;
use crate::policy::Policy;
use crate::view::View;

/// Policy with one queue in order of arrival for all classes, and round-robin endpoint selection.
#[derive(Debug)]
pub struct SimplePolicy {
    view: Arc<View>,
    queue: VecDeque<Arrival>,
    running: HashMap<RequestId, EndpointId>,
    load: HashMap<EndpointId, u32>,
    next_candidate: usize,
    /// Whether a view was installed since the last dispatch.
    view_changed: bool,
}

impl SimplePolicy {
    /// Creates a policy with an empty queue.
    pub fn new(view: Arc<View>) -> Self {
        Self {
            view,
            queue: VecDeque::new(),
            running: HashMap::new(),
            load: HashMap::new(),
            next_candidate: 0,
            view_changed: false,
        }
    }

    fn choose(&mut self, arrival: &Arrival) -> Choice {
        let Some(route) = self.view.route(arrival.route.as_str()) else {
            return Choice::Nowhere;
        };
        let candidates: Vec<_> = self
            .view
            .candidates(route, arrival.model.as_ref())
            .filter(|e| !arrival.excluded.contains(&e.id))
            .collect();
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        for step in 0..candidates.len() {
            let endpoint = candidates[(self.next_candidate + step) % candidates.len()];
            let load = self.load.get(&endpoint.id).copied().unwrap_or(0);
            if load < endpoint.slots {
                self.next_candidate = self.next_candidate.wrapping_add(step + 1);
                return Choice::Endpoint(endpoint.id.clone());
            }
        }
        Choice::Full
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        self.view_changed = false;
        let mut full: HashSet<(RouteId, Option<ModelId>)> = HashSet::new();
        for _ in 0..self.queue.len() {
            let Some(arrival) = self.queue.pop_front() else {
                return;
            };
            // Once a route is known to be full, its other requests are skipped, so that a long
            // queue is not matched against every endpoint.
            let key = (arrival.route.clone(), arrival.model.clone());
            if full.contains(&key) {
                self.queue.push_back(arrival);
                continue;
            }
            match self.choose(&arrival) {
                Choice::Endpoint(endpoint) => {
                    *self.load.entry(endpoint.clone()).or_default() += 1;
                    self.running.insert(arrival.id, endpoint.clone());
                    actions.push(Action::Start {
                        request: arrival.id,
                        endpoint,
                        decision: Decision {
                            reason: "round_robin",
                            ..Decision::default()
                        },
                    });
                }
                Choice::Full => {
                    if arrival.excluded.is_empty() {
                        full.insert(key);
                    }
                    self.queue.push_back(arrival);
                }
                Choice::Nowhere => actions.push(Action::Refuse {
                    request: arrival.id,
                    code: ResultCode::NoEndpoint,
                    retry: None,
                    decision: Decision::default(),
                }),
            }
        }
    }
}

enum Choice {
    Endpoint(EndpointId),
    Full,
    Nowhere,
}

impl Policy for SimplePolicy {
    fn install(&mut self, _now: Instant, view: Arc<View>) {
        self.view = view;
        self.view_changed = true;
    }

    fn submit(&mut self, _now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        self.queue.push_back(arrival);
        self.dispatch(actions);
    }

    fn complete(
        &mut self,
        _now: Instant,
        request: RequestId,
        _completion: &Completion,
        actions: &mut Vec<Action>,
    ) {
        if let Some(endpoint) = self.running.remove(&request)
            && let Some(load) = self.load.get_mut(&endpoint)
        {
            *load = load.saturating_sub(1);
        }
        self.dispatch(actions);
    }

    fn cancel(&mut self, _now: Instant, request: RequestId, _actions: &mut Vec<Action>) {
        self.queue.retain(|a| a.id != request);
    }

    fn report(&mut self, _now: Instant, _report: &LoadReport, _actions: &mut Vec<Action>) {}

    fn tick(&mut self, _now: Instant, actions: &mut Vec<Action>) {
        // Slots are not released by the passing of time, so only a new view can allow a dispatch.
        if self.view_changed {
            self.dispatch(actions);
        }
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }
}
