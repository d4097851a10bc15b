//! A fake platform: a model without I/O for simulations, and an HTTP server for this model.
//!
//! The HTTP server also implements the order interface and the KV cache interface of an engine.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::order::CapacityPool;
use fulmarford_lib::platform::EngineOrder;
use fulmarford_lib::platform::FENCE_HEADER;
use fulmarford_lib::platform::Instance;
use fulmarford_lib::platform::InstanceList;
use fulmarford_lib::platform::InstanceState;
use fulmarford_lib::platform::Offer;
use fulmarford_lib::platform::PlatformOrder;

/// Minimum interval between the recorded instance lists, from which the model returns stale ones.
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of each read from a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The response to a write: HTTP status and body.
pub type Response = (u16, String);

/// An endpoint of the model; times count from the start of the platform.
#[derive(Clone, Debug)]
struct ModelInstance {
    number: u64,
    pool: CapacityPool,
    ready_at: Duration,
    stops_at: Option<Duration>,
}

/// A write that was executed.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Path of the request.
    pub path: String,
    /// Fencing number of the sender.
    pub fence: u64,
}

/// A platform without I/O; callers pass in the time since its start.
#[derive(Debug)]
pub struct PlatformModel {
    /// Time from an order until its endpoints are ready.
    pub boot_time: Duration,
    /// Age of the instance list that [`PlatformModel::list`] returns.
    pub list_age: Duration,
    /// Time from the reclaim notice of an endpoint until it stops.
    pub notice_period: Duration,
    /// Whether writes with a stale fencing number are rejected.
    pub fencing: bool,
    /// All writes that passed the fencing check, oldest first.
    pub writes: Vec<Write>,
    offers: BTreeMap<CapacityPool, Offer>,
    desired: BTreeMap<CapacityPool, u32>,
    orders: BTreeMap<u64, PlatformOrder>,
    instances: Vec<ModelInstance>,
    usage: BTreeMap<u64, Vec<u8>>,
    history: VecDeque<(Duration, Vec<Instance>)>,
    fence: u64,
    last_number: u64,
    cost: f64,
    time: Duration,
}

impl PlatformModel {
    /// Creates a platform with offers and no endpoints.
    pub fn new(offers: Vec<Offer>) -> Self {
        let pool = |o: &Offer| CapacityPool {
            zone: o.zone.clone(),
            reclaimable: o.reclaimable,
        };
        Self {
            boot_time: Duration::from_secs(60),
            list_age: Duration::from_secs(5),
            notice_period: Duration::from_secs(5),
            fencing: true,
            writes: Vec::new(),
            offers: offers.into_iter().map(|o| (pool(&o), o)).collect(),
            desired: BTreeMap::new(),
            orders: BTreeMap::new(),
            instances: Vec::new(),
            usage: BTreeMap::new(),
            history: VecDeque::new(),
            fence: 0,
            last_number: 0,
            cost: 0.0,
            time: Duration::ZERO,
        }
    }

    /// Executes an order unless one with the same id was executed before.
    pub fn order(&mut self, now: Duration, order: &PlatformOrder) -> Response {
        self.advance(now);
        if let Some(refusal) = self.check_fence("/v1/orders", order.fence) {
            return refusal;
        }
        if self.orders.contains_key(&order.id) {
            return (200, "known".to_owned());
        }
        let pool = CapacityPool {
            zone: order.zone.clone(),
            reclaimable: order.reclaimable,
        };
        if !self.offers.contains_key(&pool) {
            return (422, "no such offer".to_owned());
        }
        self.orders.insert(order.id, order.clone());
        self.desired.insert(pool, order.count);
        self.advance(now);
        (200, "accepted".to_owned())
    }

    fn check_fence(&mut self, path: &str, fence: u64) -> Option<Response> {
        if self.fencing && fence < self.fence {
            return Some((409, "stale fencing number".to_owned()));
        }
        self.fence = self.fence.max(fence);
        let path = path.to_owned();
        self.writes.push(Write { path, fence });
        None
    }

    /// Accepts the usage report of a window once; a report with different content is rejected.
    pub fn report(&mut self, window: u64, fence: u64, bytes: &[u8]) -> Response {
        if let Some(refusal) = self.check_fence("/v1/usage", fence) {
            return refusal;
        }
        match self.usage.get(&window) {
            Some(known) if known != bytes => (409, "the window has other figures".to_owned()),
            Some(_) => (200, "known".to_owned()),
            None => {
                self.usage.insert(window, bytes.to_vec());
                (200, "accepted".to_owned())
            }
        }
    }

    /// Returns the accepted reports by window.
    pub fn usage(&self) -> &BTreeMap<u64, Vec<u8>> {
        &self.usage
    }

    /// Returns the executed orders by id.
    pub fn orders(&self) -> &BTreeMap<u64, PlatformOrder> {
        &self.orders
    }

    /// Changes the limit of an offer; running endpoints above it are reclaimed with notice.
    pub fn set_limit(&mut self, now: Duration, pool: &CapacityPool, limit: u32) {
        self.advance(now);
        if let Some(offer) = self.offers.get_mut(pool) {
            offer.limit = limit;
        }
        self.advance(now);
    }

    /// Reclaims every endpoint of a pool with notice. Ordered endpoints are replaced, and become
    /// ready after the boot time, as far as the limit of the offer allows.
    pub fn reclaim(&mut self, now: Duration, pool: &CapacityPool) {
        self.advance(now);
        let stops_at = now + self.notice_period;
        for instance in self.instances.iter_mut().filter(|i| i.pool == *pool) {
            instance.stops_at.get_or_insert(stops_at);
        }
    }

    /// Stops all endpoints of a zone without notice and sets the limits of its offers to 0.
    pub fn fail_zone(&mut self, now: Duration, zone: &str) {
        self.advance(now);
        self.instances.retain(|i| i.pool.zone.as_str() != zone);
        for (pool, offer) in &mut self.offers {
            if pool.zone.as_str() == zone {
                offer.limit = 0;
            }
        }
    }

    /// Returns the number of ready endpoints.
    pub fn ready(&self) -> u32 {
        let ready = |i: &&ModelInstance| i.ready_at <= self.time;
        self.instances.iter().filter(ready).count() as u32
    }

    /// Returns the accumulated cost of all endpoints.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Advances the time: adds the cost, stops endpoints whose notice has ended and starts those
    /// that are ordered.
    pub fn advance(&mut self, now: Duration) {
        let hours = now.saturating_sub(self.time).as_secs_f64() / 3_600.0;
        let price = |i: &ModelInstance| self.offers.get(&i.pool).map_or(0.0, |o| o.price);
        self.cost += hours * self.instances.iter().map(price).sum::<f64>();
        self.time = self.time.max(now);
        self.instances
            .retain(|i| i.stops_at.is_none_or(|t| t > now));
        let pools: Vec<_> = self.desired.keys().cloned().collect();
        for pool in pools {
            self.reconcile(&pool);
        }
        self.record_list();
    }

    fn reconcile(&mut self, pool: &CapacityPool) {
        let limit = self.offers.get(pool).map_or(0, |o| o.limit);
        let desired = self.desired.get(pool).copied().unwrap_or(0).min(limit) as usize;
        let is_staying = |i: &&mut ModelInstance| i.pool == *pool && i.stops_at.is_none();
        let running = self.instances.iter_mut().filter(is_staying).count();
        for _ in running..desired {
            self.last_number += 1;
            self.instances.push(ModelInstance {
                number: self.last_number,
                pool: pool.clone(),
                ready_at: self.time + self.boot_time,
                stops_at: None,
            });
        }
        let stops_at = self.time + self.notice_period;
        let surplus = running.saturating_sub(desired);
        for instance in self
            .instances
            .iter_mut()
            .rev()
            .filter(is_staying)
            .take(surplus)
        {
            instance.stops_at = Some(stops_at);
        }
    }

    fn record_list(&mut self) {
        let recent = |(t, _): &(Duration, _)| self.time < *t + HISTORY_INTERVAL;
        if self.history.back().is_some_and(recent) {
            return;
        }
        let instances = self.instances.iter().map(|i| self.list_entry(i)).collect();
        self.history.push_back((self.time, instances));
        while self
            .history
            .get(1)
            .is_some_and(|(t, _)| *t + self.list_age <= self.time)
        {
            self.history.pop_front();
        }
    }

    fn list_entry(&self, instance: &ModelInstance) -> Instance {
        let notice = instance.stops_at.map(|t| t.saturating_sub(self.time));
        let state = match notice {
            Some(_) => InstanceState::Leaving,
            None if instance.ready_at <= self.time => InstanceState::Live,
            None => InstanceState::Starting,
        };
        Instance {
            id: format!("{}-{}", instance.pool.zone, instance.number)
                .as_str()
                .into(),
            zone: instance.pool.zone.clone(),
            reclaimable: instance.pool.reclaimable,
            state,
            notice_ms: notice.map(|n| n.as_millis() as u64),
        }
    }

    /// Returns the instance list as it was [`PlatformModel::list_age`] ago.
    pub fn list(&mut self, now: Duration) -> InstanceList {
        self.advance(now);
        let old = self
            .history
            .iter()
            .rev()
            .find(|(t, _)| *t + self.list_age <= now);
        let (time, instances) = old.cloned().unwrap_or_default();
        InstanceList {
            age_ms: now.saturating_sub(time).as_millis() as u64,
            instances,
            offers: self.offers.values().cloned().collect(),
        }
    }
}

/// A fault of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The write is executed and its response is lost.
    LoseResponse,
    /// The write is not executed, and the sender cannot tell.
    LoseRequest,
}

#[derive(Debug)]
struct Inner {
    model: PlatformModel,
    faults: VecDeque<Fault>,
    engine: Vec<EngineOrder>,
    bodies: Vec<(String, Vec<u8>)>,
}

/// A platform, and the order interface of an engine, on a loopback port.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    address: SocketAddr,
    started: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl FakePlatform {
    /// Starts a server for a model in a thread of this process.
    pub fn spawn(model: PlatformModel) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let platform = Self {
            address: listener.local_addr()?,
            started: Instant::now(),
            inner: Arc::new(Mutex::new(Inner {
                model,
                faults: VecDeque::new(),
                engine: Vec::new(),
                bodies: Vec::new(),
            })),
        };
        let server = platform.clone();
        thread::Builder::new()
            .name("fake-platform".to_owned())
            .spawn(move || server.accept(&listener))?;
        Ok(platform)
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
    }

    /// Serves the only request of a connection. An incomplete request is not executed.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let request = read_request(&stream)?;
        let (status, text) = self.respond(&request);
        let size = text.len();
        write!(
            stream,
            "HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {size}\r\n\r\n{text}"
        )
    }

    /// Returns the address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a fault; each write takes one fault from the queue.
    pub fn inject(&self, fault: Fault) {
        self.inner().faults.push_back(fault);
    }

    /// Calls a function with the model and returns its result.
    pub fn with_model<T>(&self, access: impl FnOnce(&mut PlatformModel) -> T) -> T {
        access(&mut self.inner().model)
    }

    /// Returns the executed engine orders.
    pub fn engine_orders(&self) -> Vec<EngineOrder> {
        self.inner().engine.clone()
    }

    /// Returns path and body of every write that arrived, oldest first.
    pub fn bodies(&self) -> Vec<(String, Vec<u8>)> {
        self.inner().bodies.clone()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("platform lock poisoned")
    }

    fn respond(&self, request: &Request) -> Response {
        let now = self.started.elapsed();
        let mut inner = self.inner();
        if request.path == "/v1/instances" {
            let list = inner.model.list(now);
            return (200, serde_json::to_string(&list).unwrap_or_default());
        }
        let fault = inner.faults.pop_front();
        let lost = (504, "lost".to_owned());
        if fault == Some(Fault::LoseRequest) {
            return lost;
        }
        let body = (request.path.clone(), request.body.clone());
        inner.bodies.push(body);
        let answer = inner.write(now, &request.path, request.fence, &request.body);
        fault.map_or(answer, |_| lost)
    }
}

struct Request {
    path: String,
    fence: u64,
    body: Vec<u8>,
}

/// Reads a request whose body length is given by `content-length`.
///
/// The `astra` server is not used here, because it stops receiving a body of more than a few
/// kilobytes while its handler waits for the rest.
fn read_request(stream: &TcpStream) -> io::Result<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (mut fence, mut length) = (0, 0);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let Some((name, value)) = header.trim_end().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            FENCE_HEADER => fence = value.parse().unwrap_or(0),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Request { path, fence, body })
}

impl Inner {
    fn write(&mut self, now: Duration, path: &str, fence: u64, body: &[u8]) -> Response {
        let malformed = || (400, "malformed".to_owned());
        if path == "/v1/orders" {
            let order = serde_json::from_slice(body);
            return order.map_or_else(|_| malformed(), |order| self.model.order(now, &order));
        }
        if let Some(window) = path.strip_prefix("/v1/usage/") {
            let window = window.parse();
            return window.map_or_else(|_| malformed(), |w| self.model.report(w, fence, body));
        }
        if let Some(refusal) = self.model.check_fence(path, fence) {
            return refusal;
        }
        match path {
            "/admin/orders" => match serde_json::from_slice(body) {
                Ok(order) => {
                    self.engine.push(order);
                    (200, "done".to_owned())
                }
                Err(_) => malformed(),
            },
            "/kv/export" => (200, "cache".to_owned()),
            "/kv/import" => (200, "done".to_owned()),
            _ => (404, "no such path".to_owned()),
        }
    }
}
