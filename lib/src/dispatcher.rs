//! Queue of the requests that wait for the scheduling policy to decide when and where they run.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::code::ResultCode;
use crate::control::Suspicion;
use crate::decision_log::DecisionLog;
use crate::decision_log::DecisionRecord;
use crate::ids::EndpointId;
use crate::ids::RequestId;
use crate::policy::Action;
use crate::policy::Arrival;
use crate::policy::Completion;
use crate::policy::Decision;
use crate::policy::Ending;
use crate::policy::LoadReport;
use crate::policy::Policy;
use crate::view::Version;
use crate::view::View;

/// Runs the policy of a process and delivers its decisions to the waiting requests.
pub struct Dispatcher {
    policy_state: Mutex<PolicyState>,
    waiters: Mutex<HashMap<RequestId, Waiter>>,
    clock: Arc<dyn Clock>,
    decision_log: DecisionLog,
}

struct PolicyState {
    policy: Box<dyn Policy>,
    version: Version,
}

struct Waiter {
    sender: oneshot::Sender<DispatchDecision>,
    arrival: Arrival,
    attempt: u32,
}

/// Decision of the policy about a request.
#[derive(Debug)]
pub enum DispatchDecision {
    /// The request starts on an endpoint.
    Start(Attempt),
    /// The request is refused and has not been executed.
    Refuse {
        /// Result code returned to the caller.
        code: ResultCode,
        /// Delay after which the caller may retry, or `None` if a retry is not useful.
        retry_after: Option<Duration>,
    },
}

/// Queued request; dropping it before the decision removes it from the queue.
pub struct PendingRequest {
    dispatcher: Arc<Dispatcher>,
    id: RequestId,
    receiver: oneshot::Receiver<DispatchDecision>,
    decided: bool,
}

/// Started attempt, whose end is reported to the policy exactly once, on drop.
pub struct Attempt {
    dispatcher: Arc<Dispatcher>,
    id: RequestId,
    started: Instant,
    /// Endpoint on which the attempt runs.
    pub endpoint: EndpointId,
    /// How the attempt ended; one that is dropped early counts as cancelled.
    pub ending: Ending,
    /// Number of prompt tokens processed.
    pub prompt: u32,
    /// Number of output tokens received.
    pub output: u32,
    /// Time from dispatch to the first token.
    pub first: Option<Duration>,
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Attempt({} on {})", self.id, self.endpoint)
    }
}

impl Dispatcher {
    /// Creates a dispatcher for a policy that was created with the view of this version.
    pub fn new(
        policy: Box<dyn Policy>,
        version: Version,
        clock: Arc<dyn Clock>,
        log: DecisionLog,
    ) -> Arc<Self> {
        Arc::new(Self {
            policy_state: Mutex::new(PolicyState { policy, version }),
            waiters: Mutex::default(),
            clock,
            decision_log: log,
        })
    }

    /// Submits a request to the policy.
    pub fn enqueue(
        self: &Arc<Self>,
        view: &Arc<View>,
        arrival: Arrival,
        attempt: u32,
        suspicion: Suspicion,
    ) -> PendingRequest {
        let id = arrival.id;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            sender,
            arrival: arrival.clone(),
            attempt,
        };
        self.waiters
            .lock()
            .expect("waiters lock poisoned")
            .insert(id, waiter);
        let pending = PendingRequest {
            dispatcher: self.clone(),
            id,
            receiver,
            decided: false,
        };
        self.update_policy(|state, now, actions| {
            state.install(now, view);
            state
                .policy
                .set_suspicion(now, arrival.fingerprint, suspicion);
            state.policy.submit(now, arrival, actions);
        });
        pending
    }

    /// Installs a view in the policy if it is newer than the current one.
    pub fn install(self: &Arc<Self>, view: &Arc<View>) {
        self.update_policy(|state, now, _| state.install(now, view));
    }

    /// Sets the number of instances that share the endpoints.
    pub fn set_instance_count(self: &Arc<Self>, count: u32) {
        self.update_policy(|state, now, _| state.policy.set_instance_count(now, count));
    }

    /// Passes a load report to the policy.
    pub fn report_load(self: &Arc<Self>, report: &LoadReport) {
        self.update_policy(|state, now, actions| state.policy.report(now, report, actions));
    }

    /// Lets the policy act on timeouts.
    pub fn tick(self: &Arc<Self>) {
        self.update_policy(|state, now, actions| state.policy.tick(now, actions));
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        let state = self.policy_state.lock().expect("policy lock poisoned");
        state.policy.queued()
    }

    /// Calls `update` with the locked policy, and then executes the resulting actions unlocked.
    fn update_policy(
        self: &Arc<Self>,
        update: impl FnOnce(&mut PolicyState, Instant, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let mut state = self.policy_state.lock().expect("policy lock poisoned");
        update(&mut state, self.clock.now(), &mut actions);
        drop(state);
        for action in actions {
            self.dispatch(action);
        }
    }

    /// Sends a decision to the waiting request.
    ///
    /// An attempt that no request waits for is dropped, which releases its slot.
    fn dispatch(self: &Arc<Self>, action: Action) {
        let (Action::Start { request, .. } | Action::Refuse { request, .. }) = &action;
        let waiter = self
            .waiters
            .lock()
            .expect("waiters lock poisoned")
            .remove(request);
        if let Some(waiter) = &waiter {
            self.log_action(waiter, &action);
        }
        let decision = match action {
            Action::Start {
                request, endpoint, ..
            } => DispatchDecision::Start(Attempt {
                dispatcher: self.clone(),
                id: request,
                started: self.clock.now(),
                endpoint,
                ending: Ending::Cancelled,
                prompt: 0,
                output: 0,
                first: None,
            }),
            Action::Refuse { code, retry, .. } => DispatchDecision::Refuse {
                code,
                retry_after: retry,
            },
        };
        if let Some(waiter) = waiter {
            let _ = waiter.sender.send(decision);
        }
    }

    fn log_action(&self, waiter: &Waiter, action: &Action) {
        let (choice, code, decision) = match action {
            Action::Start {
                endpoint, decision, ..
            } => (Some(endpoint), None, decision),
            Action::Refuse { code, decision, .. } => (None, Some(*code), decision),
        };
        self.log_decision(&waiter.arrival, waiter.attempt, choice, code, decision);
    }

    /// Logs a request that was refused before it was submitted to the policy.
    pub fn log_refusal(&self, arrival: &Arrival, code: ResultCode, reason: &'static str) {
        let decision = Decision {
            reason,
            ..Decision::default()
        };
        self.log_decision(arrival, 0, None, Some(code), &decision);
    }

    fn log_decision(
        &self,
        arrival: &Arrival,
        attempt: u32,
        choice: Option<&EndpointId>,
        code: Option<ResultCode>,
        decision: &Decision,
    ) {
        let unix_time = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        self.decision_log.write(&DecisionRecord {
            time: unix_time.map_or(0, |t| t.as_millis() as u64),
            request: arrival.id,
            workspace: &arrival.workspace,
            class: &arrival.class,
            route: &arrival.route,
            model: arrival.model.as_ref(),
            attempt,
            resumed: arrival.resumed,
            excluded: &arrival.excluded,
            candidates: &decision.candidates,
            choice,
            code: code.map(ResultCode::number),
            reason: decision.reason,
            predicted: decision.predicted,
        });
    }
}

impl PolicyState {
    fn install(&mut self, now: Instant, view: &Arc<View>) {
        if view.version() > self.version {
            self.version = view.version();
            self.policy.install(now, view.clone());
        }
    }
}

impl PendingRequest {
    /// Waits for the decision of the policy.
    pub async fn decision(&mut self) -> DispatchDecision {
        let decision = (&mut self.receiver).await;
        self.decided = true;
        decision.unwrap_or(DispatchDecision::Refuse {
            code: ResultCode::Internal,
            retry_after: None,
        })
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let id = self.id;
        self.dispatcher
            .update_policy(|state, now, actions| state.policy.cancel(now, id, actions));
        self.dispatcher
            .waiters
            .lock()
            .expect("waiters lock poisoned")
            .remove(&id);
    }
}

impl Attempt {
    /// Ends the attempt and reports how it ended.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }

    /// Records the time to the first token; later calls have no effect.
    pub fn record_first_token(&mut self) {
        let elapsed = self.dispatcher.clock.now() - self.started;
        self.first.get_or_insert(elapsed);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let completion = Completion {
            ending: self.ending,
            prompt: self.prompt,
            output: self.output,
            first: self.first,
            total: self.dispatcher.clock.now() - self.started,
        };
        let id = self.id;
        self.dispatcher.update_policy(|state, now, actions| {
            state.policy.complete(now, id, &completion, actions);
        });
    }
}
