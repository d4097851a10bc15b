//! Connects waiting requests with the policy that decides when and where they run.

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
use crate::decision_log::Line;
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

/// Holds the policy of one process and the requests that wait for its decisions.
pub struct Dispatcher {
    decider: Mutex<Decider>,
    waiters: Mutex<HashMap<RequestId, Waiter>>,
    clock: Arc<dyn Clock>,
    log: DecisionLog,
}

struct Decider {
    policy: Box<dyn Policy>,
    version: Version,
}

struct Waiter {
    sender: oneshot::Sender<Verdict>,
    arrival: Arrival,
    attempt: u32,
}

/// What the policy decided about a request.
#[derive(Debug)]
pub enum Verdict {
    /// It runs.
    Start(Attempt),
    /// It is refused and has not run.
    Refuse {
        /// The code the caller sees.
        code: ResultCode,
        /// When a retry is worthwhile.
        retry: Option<Duration>,
    },
}

/// A request in the queue; it leaves the queue when this is dropped.
pub struct Ticket {
    dispatcher: Arc<Dispatcher>,
    id: RequestId,
    receiver: oneshot::Receiver<Verdict>,
    decided: bool,
}

/// A started attempt; its end is reported to the policy exactly once, when it is dropped.
pub struct Attempt {
    dispatcher: Arc<Dispatcher>,
    id: RequestId,
    started: Instant,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// How it ended; an attempt that is dropped early counts as cancelled.
    pub ending: Ending,
    /// Prompt tokens processed.
    pub prompt: u32,
    /// Output tokens received.
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
    /// Creates a dispatcher; `version` is the version of the view that the policy already has.
    pub fn new(
        policy: Box<dyn Policy>,
        version: Version,
        clock: Arc<dyn Clock>,
        log: DecisionLog,
    ) -> Arc<Self> {
        Arc::new(Self {
            decider: Mutex::new(Decider { policy, version }),
            waiters: Mutex::default(),
            clock,
            log,
        })
    }

    /// Hands a request to the policy.
    pub fn enqueue(
        self: &Arc<Self>,
        view: &Arc<View>,
        arrival: Arrival,
        attempt: u32,
        suspicion: Suspicion,
    ) -> Ticket {
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
        let ticket = Ticket {
            dispatcher: self.clone(),
            id,
            receiver,
            decided: false,
        };
        self.decide(|decider, now, actions| {
            decider.install(now, view);
            decider
                .policy
                .set_suspicion(now, arrival.fingerprint, suspicion);
            decider.policy.submit(now, arrival, actions);
        });
        ticket
    }

    /// Gives the policy a newer view; an older one is ignored.
    pub fn install(self: &Arc<Self>, view: &Arc<View>) {
        self.decide(|decider, now, _| decider.install(now, view));
    }

    /// Tells the policy how many instances share the endpoints.
    pub fn set_entries(self: &Arc<Self>, count: u32) {
        self.decide(|decider, now, _| decider.policy.set_instance_count(now, count));
    }

    /// Gives the policy a load report.
    pub fn report(self: &Arc<Self>, report: &LoadReport) {
        self.decide(|decider, now, actions| decider.policy.report(now, report, actions));
    }

    /// Lets the policy act on the passing of time.
    pub fn tick(self: &Arc<Self>) {
        self.decide(|decider, now, actions| decider.policy.tick(now, actions));
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        let decider = self.decider.lock().expect("policy lock poisoned");
        decider.policy.queued()
    }

    fn decide(self: &Arc<Self>, step: impl FnOnce(&mut Decider, Instant, &mut Vec<Action>)) {
        let mut actions = Vec::new();
        let mut decider = self.decider.lock().expect("policy lock poisoned");
        step(&mut decider, self.clock.now(), &mut actions);
        drop(decider);
        for action in actions {
            self.deliver(action);
        }
    }

    /// Passes a decision on. An attempt that nobody waits for is dropped, which frees its place.
    fn deliver(self: &Arc<Self>, action: Action) {
        let (Action::Start { request, .. } | Action::Refuse { request, .. }) = &action;
        let waiter = self
            .waiters
            .lock()
            .expect("waiters lock poisoned")
            .remove(request);
        if let Some(waiter) = &waiter {
            self.write(waiter, &action);
        }
        let verdict = match action {
            Action::Start {
                request, endpoint, ..
            } => Verdict::Start(Attempt {
                dispatcher: self.clone(),
                id: request,
                started: self.clock.now(),
                endpoint,
                ending: Ending::Cancelled,
                prompt: 0,
                output: 0,
                first: None,
            }),
            Action::Refuse { code, retry, .. } => Verdict::Refuse { code, retry },
        };
        if let Some(waiter) = waiter {
            let _ = waiter.sender.send(verdict);
        }
    }

    fn write(&self, waiter: &Waiter, action: &Action) {
        let (choice, code, decision) = match action {
            Action::Start {
                endpoint, decision, ..
            } => (Some(endpoint), None, decision),
            Action::Refuse { code, decision, .. } => (None, Some(*code), decision),
        };
        self.log(&waiter.arrival, waiter.attempt, choice, code, decision);
    }

    /// Logs a request that was refused before it came to the policy.
    pub fn refused(&self, arrival: &Arrival, code: ResultCode, reason: &'static str) {
        let decision = Decision {
            reason,
            ..Decision::default()
        };
        self.log(arrival, 0, None, Some(code), &decision);
    }

    fn log(
        &self,
        arrival: &Arrival,
        attempt: u32,
        choice: Option<&EndpointId>,
        code: Option<ResultCode>,
        decision: &Decision,
    ) {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        self.log.write(&Line {
            time: wall.map_or(0, |t| t.as_millis() as u64),
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

impl Decider {
    fn install(&mut self, now: Instant, view: &Arc<View>) {
        if view.version() > self.version {
            self.version = view.version();
            self.policy.install(now, view.clone());
        }
    }
}

impl Ticket {
    /// Waits for the decision.
    pub async fn decision(&mut self) -> Verdict {
        let verdict = (&mut self.receiver).await;
        self.decided = true;
        verdict.unwrap_or(Verdict::Refuse {
            code: ResultCode::Internal,
            retry: None,
        })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let id = self.id;
        self.dispatcher
            .decide(|decider, now, actions| decider.policy.cancel(now, id, actions));
        self.dispatcher
            .waiters
            .lock()
            .expect("waiters lock poisoned")
            .remove(&id);
    }
}

impl Attempt {
    /// Ends the attempt.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }

    /// Records the arrival of the first token.
    pub fn first_token(&mut self) {
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
        self.dispatcher.decide(|decider, now, actions| {
            decider.policy.complete(now, id, &completion, actions);
        });
    }
}
