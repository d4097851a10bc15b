//! Polling of endpoint load, and delivery of the reports to the policy.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use serde::Deserialize;

use crate::chart::EndpointEvent;
use crate::chart::EndpointState;
use crate::gateway::Gateway;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::load::REPORT_EXPIRY;
use crate::policy::LoadReport;
use crate::upstream::Call;
use crate::upstream::Client;
use crate::view::View;

/// Interval between two polls of an endpoint.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Response body of `GET /load`.
#[derive(Debug, Deserialize)]
struct LoadResponse {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    kv_used: f64,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    models: Vec<ModelId>,
    #[serde(default)]
    sequence: u64,
}

/// The latest load report of each endpoint, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct LoadReports(Arc<Mutex<BTreeMap<EndpointId, (Instant, LoadReport)>>>);

impl LoadReports {
    /// Records a report that arrived at `now`.
    pub fn insert(&self, now: Instant, report: LoadReport) {
        let mut reports = self.0.lock().expect("reports lock poisoned");
        reports.insert(report.endpoint.clone(), (now, report));
    }

    fn retain(&self, view: &View) {
        let mut reports = self.0.lock().expect("reports lock poisoned");
        reports.retain(|id, _| view.endpoint(id.as_str()).is_some());
    }

    /// Removes the reports that are older than [`REPORT_EXPIRY`] and returns the others.
    pub fn fresh(&self, now: Instant) -> BTreeMap<EndpointId, LoadReport> {
        let mut reports = self.0.lock().expect("reports lock poisoned");
        reports.retain(|_, (at, _)| now.saturating_duration_since(*at) < REPORT_EXPIRY);
        reports
            .iter()
            .map(|(id, (_, report))| (id.clone(), report.clone()))
            .collect()
    }
}

/// Handle to the thread that polls all endpoints; the thread ends after the handle is dropped.
#[derive(Debug)]
pub struct LoadPoller {
    stopped: Arc<AtomicBool>,
    states: States,
    reports: LoadReports,
}

/// Contact state of each endpoint, under its name in `lib/charts/endpoint.chart`.
type States = Arc<Mutex<HashMap<EndpointId, String>>>;

impl LoadPoller {
    /// Starts polling the endpoints of the gateway's view.
    pub fn start(gateway: &Arc<Gateway>) -> io::Result<Self> {
        let poller = Self {
            stopped: Arc::default(),
            states: Arc::default(),
            reports: LoadReports::default(),
        };
        let worker = Worker {
            gateway: Arc::downgrade(gateway),
            stopped: poller.stopped.clone(),
            states: poller.states.clone(),
            reports: poller.reports.clone(),
            client: Client::default(),
            in_flight: Arc::default(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("load-poller".to_owned())
            .spawn(move || runtime.block_on(worker.run()))?;
        Ok(poller)
    }

    /// Returns a handle to the latest reports, which the poller keeps updated.
    pub fn reports(&self) -> LoadReports {
        self.reports.clone()
    }

    /// Returns the contact state of an endpoint, if it was polled.
    pub fn state(&self, endpoint: &EndpointId) -> Option<String> {
        let states = self.states.lock().expect("states lock poisoned");
        states.get(endpoint).cloned()
    }
}

impl Drop for LoadPoller {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

#[derive(Clone)]
struct Worker {
    gateway: Weak<Gateway>,
    stopped: Arc<AtomicBool>,
    states: States,
    reports: LoadReports,
    client: Client,
    /// Endpoints with a poll in flight; they get no second one.
    in_flight: Arc<Mutex<HashSet<EndpointId>>>,
}

impl Worker {
    async fn run(self) {
        let mut timer = tokio::time::interval(POLL_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.stopped.load(Ordering::Relaxed) {
            timer.tick().await;
            let Some(gateway) = self.gateway.upgrade() else {
                return;
            };
            self.poll_all(&gateway);
        }
    }

    fn poll_all(&self, gateway: &Arc<Gateway>) {
        let Ok(view) = gateway.control().view(gateway.now()) else {
            return;
        };
        let mut states = self.states.lock().expect("states lock poisoned");
        states.retain(|id, state| {
            if view.endpoint(id.as_str()).is_none() {
                advance_state(gateway, id, state, EndpointEvent::Gone);
            }
            state != EndpointState::Removed.name()
        });
        drop(states);
        self.reports.retain(&view);
        for endpoint in view.endpoints() {
            let mut in_flight = self.in_flight.lock().expect("polls lock poisoned");
            if in_flight.insert(endpoint.id.clone()) {
                let worker = self.clone();
                tokio::spawn(worker.poll(endpoint.id.clone(), endpoint.address));
            }
        }
    }

    async fn poll(self, endpoint: EndpointId, address: SocketAddr) {
        let load = tokio::time::timeout(POLL_TIMEOUT, self.fetch(address)).await;
        self.in_flight
            .lock()
            .expect("polls lock poisoned")
            .remove(&endpoint);
        let Some(gateway) = self.gateway.upgrade() else {
            return;
        };
        let load = load.ok().flatten();
        let event = match &load {
            None => EndpointEvent::Silence,
            Some(load) if load.leaving => EndpointEvent::Notice,
            Some(_) => EndpointEvent::Report,
        };
        let mut states = self.states.lock().expect("states lock poisoned");
        let state = states
            .entry(endpoint.clone())
            .or_insert_with(|| gateway.charts().endpoint.initial().to_owned());
        advance_state(&gateway, &endpoint, state, event);
        drop(states);
        if let Some(load) = load {
            let report = LoadReport {
                endpoint,
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
                kv: load.kv_used,
                leaving: load.leaving,
                models: load.models,
                sequence: load.sequence,
            };
            self.reports.insert(gateway.now(), report.clone());
            gateway.dispatcher().report_load(&report);
        }
    }

    async fn fetch(&self, address: SocketAddr) -> Option<LoadResponse> {
        let call = Call {
            address,
            method: Method::GET,
            path: "/load",
            headers: HeaderMap::new(),
            body: Bytes::new(),
            pooled: true,
            echo: None,
        };
        let mut answer = self.client.send(call).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        let collected = answer.collect(MAX_REPORT_BYTES).await.ok()?;
        serde_json::from_slice(&collected.bytes).ok()
    }
}

fn advance_state(
    gateway: &Gateway,
    endpoint: &EndpointId,
    state: &mut String,
    event: EndpointEvent,
) {
    let Some(next) = gateway.charts().endpoint.next(state, event.name()) else {
        return;
    };
    if next != state.as_str() {
        tracing::info!(%endpoint, from = state, to = next, "endpoint");
        next.clone_into(state);
    }
}
