//! Graceful shutdown: new requests are refused while open ones finish.
//!
//! The state chart `lib/charts/drain.chart` defines the order of the steps.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::chart::Chart;
use crate::chart::DrainEvent;
use crate::chart::DrainState;

/// Counts open requests and refuses new ones during a shutdown.
#[derive(Clone, Debug)]
pub struct Drain(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    chart: Chart,
    inner: Mutex<Inner>,
    all_closed: Condvar,
}

#[derive(Debug)]
struct Inner {
    state: String,
    open: usize,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct Permit(Drain);

impl Drain {
    /// Creates a drain in the initial state of the chart.
    pub fn new(chart: Chart) -> Self {
        let state = chart.initial().to_owned();
        Self(Arc::new(Shared {
            chart,
            inner: Mutex::new(Inner { state, open: 0 }),
            all_closed: Condvar::new(),
        }))
    }

    /// Admits a request, unless a shutdown has begun.
    pub fn enter(&self) -> Option<Permit> {
        let mut inner = self.lock();
        if inner.state != DrainState::Serving.name() {
            return None;
        }
        inner.open += 1;
        Some(Permit(self.clone()))
    }

    /// Returns whether new requests are accepted.
    pub fn is_serving(&self) -> bool {
        self.lock().state == DrainState::Serving.name()
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Returns the name of the current state.
    pub fn state(&self) -> String {
        self.lock().state.clone()
    }

    /// Refuses new requests from now on.
    pub fn begin(&self) {
        self.fire(DrainEvent::Stop);
    }

    /// Waits until no request is open and returns whether that happened within the limit.
    pub fn wait(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut inner = self.lock();
        while inner.open > 0 {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                drop(inner);
                self.fire(DrainEvent::Timeout);
                return false;
            }
            inner = self
                .0
                .all_closed
                .wait_timeout(inner, remaining)
                .expect("drain lock poisoned")
                .0;
        }
        drop(inner);
        self.fire(DrainEvent::Idle);
        true
    }

    /// Records that all connections are closed.
    pub fn closed(&self) {
        self.fire(DrainEvent::Closed);
    }

    fn fire(&self, event: DrainEvent) {
        let mut inner = self.lock();
        let next = self.0.chart.next(&inner.state, event.name());
        if let Some(next) = next {
            tracing::info!(from = inner.state, to = next, open = inner.open, "drain");
            next.clone_into(&mut inner.state);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.inner.lock().expect("drain lock poisoned")
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.open -= 1;
        if inner.open == 0 {
            self.0.0.all_closed.notify_all();
        }
    }
}
