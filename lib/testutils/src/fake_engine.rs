//! A fake model engine over HTTP.
//!
//! It has slots with a priority queue, slows down as its batch grows, caches prompt prefixes,
//! resumes streams, detects cancelled calls, and injects faults on request. The text of every token
//! contains a hash of the prompt, so that a test detects an incomplete answer or one to another
//! prompt.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use fulmarford_lib::answer;
use fulmarford_lib::answer::BodySender;
use fulmarford_lib::server::Request;
use fulmarford_lib::server::Response;
use fulmarford_lib::server::Server;
use fulmarford_lib::server::Service;
use http_body_util::BodyExt as _;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;

/// Number of latest requests that are kept for tests.
const MAX_REQUESTS: usize = 4096;

/// Number of latest cache events that are kept.
const MAX_CACHE_EVENTS: usize = 1024;

/// Size in bytes of the part of a prompt that one cache block covers.
const BLOCK_BYTES: usize = 256;

/// Number of tokens reported for one cache block.
const BLOCK_TOKENS: u32 = 64;

/// Speed and capacity of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Time to the first token when every block of the prompt is cached.
    pub first_token: Duration,
    /// Additional time to the first token for each block of the prompt that is not cached.
    pub prefill_per_block: Duration,
    /// Time between tokens of a single request.
    pub token_interval: Duration,
    /// Relative growth of the token interval with each further request in the batch.
    pub batch_slowdown: f64,
    /// Maximum number of requests processed concurrently.
    pub slots: usize,
    /// Capacity of the prefix cache in blocks; 0 means unlimited.
    pub cache_blocks: usize,
    /// Whether orders with a stale fencing number are rejected.
    pub fencing: bool,
    /// Number of worker threads of the HTTP server.
    pub workers: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(20),
            prefill_per_block: Duration::from_millis(1),
            token_interval: Duration::from_millis(5),
            batch_slowdown: 0.02,
            slots: 64,
            cache_blocks: 4096,
            fencing: true,
            workers: 1,
        }
    }
}

/// Faults to inject; they can be changed at any time, also with `POST /admin/faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Factor by which all times are multiplied; 0 means 1.
    pub slow: f64,
    /// Calls are accepted and never answered.
    pub hang: bool,
    /// Streams stop after this many tokens, with the connection open.
    pub hang_after: Option<u32>,
    /// Calls are rejected with status 503.
    pub overload: bool,
    /// Calls are rejected with status 500.
    pub error: bool,
    /// The load report announces that the engine is about to stop.
    pub leaving: bool,
    /// The connection is closed before the response headers are sent.
    pub close_early: bool,
    /// The connection of a stream is closed after this many tokens.
    pub close_after: Option<u32>,
    /// Number of further calls to which `close_early` and `close_after` apply; `None` means all.
    pub close_calls: Option<u32>,
    /// The connection of a stream is closed after its last chunk and before `[DONE]`.
    pub close_before_done: bool,
    /// A prompt that contains this text crashes the engine.
    pub crash_text: Option<String>,
    /// Load reports repeat the last report unchanged.
    pub stale_load: bool,
}

/// A model call as the engine received it.
#[derive(Clone, Debug, Serialize)]
pub struct ReceivedRequest {
    /// Path and query.
    pub target: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// Counters of the engine since its start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Model calls received.
    pub calls: u64,
    /// Calls that were answered completely, rejections included.
    pub finished: u64,
    /// Calls that ended without a complete answer, such as those that the caller cancelled.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt blocks found in the cache.
    pub hits: u64,
    /// Prompt blocks computed.
    pub misses: u64,
}

/// Delay before a connection is closed, in which the tokens sent before reach the socket.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// A running fake engine.
pub struct FakeEngine {
    engine: Arc<Engine>,
    server: Mutex<Option<Server>>,
    address: SocketAddr,
    workers: usize,
}

struct Engine {
    settings: EngineSettings,
    inner: Mutex<Inner>,
    /// Tells the `fake-engine` thread to crash the engine.
    crash: crossbeam::channel::Sender<()>,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    counts: Counts,
    requests: VecDeque<ReceivedRequest>,
    running: usize,
    waiting: BTreeMap<(u64, u64), oneshot::Sender<Slot>>,
    arrivals: u64,
    sequence: u64,
    load: Option<Value>,
    cache: Cache,
    models: Vec<String>,
    fence: u64,
    orders: Vec<Value>,
    imported: HashSet<String>,
}

#[derive(Default)]
struct Cache {
    blocks: VecDeque<u64>,
    events: VecDeque<Value>,
    sequence: u64,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port.
    pub fn start(settings: EngineSettings) -> io::Result<Arc<Self>> {
        Self::start_at(([127, 0, 0, 1], 0).into(), settings)
    }

    /// Starts an engine on an address.
    pub fn start_at(address: SocketAddr, settings: EngineSettings) -> io::Result<Arc<Self>> {
        let workers = settings.workers;
        let (crash, crashes) = crossbeam::channel::unbounded();
        let engine = Arc::new(Engine {
            settings,
            inner: Mutex::default(),
            crash,
        });
        let server = Server::start(address, workers, Arc::new(EngineService(engine.clone())))?;
        let fake = Arc::new(Self {
            engine,
            address: server.address(),
            server: Mutex::new(Some(server)),
            workers,
        });
        let weak = Arc::downgrade(&fake);
        std::thread::Builder::new()
            .name("fake-engine".to_owned())
            .spawn(move || {
                while crashes.recv().is_ok() {
                    let Some(fake) = weak.upgrade() else {
                        return;
                    };
                    fake.crash();
                }
            })?;
        Ok(fake)
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections, stops listening and clears the cache.
    pub fn crash(&self) {
        let server = self.server.lock().expect("server lock poisoned").take();
        drop(server);
        self.engine.lock().cache = Cache::default();
    }

    /// Listens again on the same address after a crash.
    pub fn restart(&self) -> io::Result<()> {
        let mut server = self.server.lock().expect("server lock poisoned");
        if server.is_none() {
            let service = Arc::new(EngineService(self.engine.clone()));
            *server = Some(Server::start(self.address, self.workers, service)?);
        }
        Ok(())
    }

    /// Returns whether the engine is listening.
    pub fn is_up(&self) -> bool {
        self.server.lock().expect("server lock poisoned").is_some()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.engine.lock().faults = faults;
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.engine.lock().counts
    }

    /// Returns the number of requests being processed.
    pub fn running(&self) -> usize {
        self.engine.lock().running
    }

    /// Returns the latest model calls, oldest first.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.engine.lock().requests.iter().cloned().collect()
    }

    /// Returns the accepted orders, oldest first.
    pub fn orders(&self) -> Vec<Value> {
        self.engine.lock().orders.clone()
    }
}

/// Returns the text of the token at an index of the answer to the prompt with a hash.
pub fn token_text(hash: u64, index: u32) -> String {
    format!("{hash:08x}.{index} ")
}

/// Returns the 32-bit hash of a prompt that every token of its answer contains.
pub fn prompt_hash(prompt: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in prompt.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash & 0xffff_ffff
}

/// Returns the text of the complete answer to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|i| token_text(hash, i)).collect()
}

/// A slot in the batch, which passes to the next waiting call when it is dropped.
struct Slot {
    engine: Arc<Engine>,
    held: bool,
}

impl Slot {
    fn new(engine: &Arc<Engine>) -> Self {
        Self {
            engine: engine.clone(),
            held: true,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.held {
            return;
        }
        let mut inner = self.engine.lock();
        inner.running -= 1;
        while let Some((_, waiter)) = inner.waiting.pop_first() {
            match waiter.send(Slot::new(&self.engine)) {
                Ok(()) => {
                    inner.running += 1;
                    break;
                }
                // The waiting caller disconnected. Its slot was never counted as running, so dropping
                // it must not release one.
                Err(mut slot) => slot.held = false,
            }
        }
    }
}

/// Counts a call as finished or cancelled when it is dropped.
struct CallGuard {
    engine: Arc<Engine>,
    finished: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        if self.finished {
            inner.counts.finished += 1;
        } else {
            inner.counts.cancelled += 1;
        }
    }
}

#[derive(Deserialize)]
struct CallBody {
    model: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    priority: u64,
    #[serde(default)]
    resume_text: String,
    #[serde(default)]
    stream_options: Value,
}

impl CallBody {
    fn prompt(&self) -> String {
        match (&self.messages, &self.prompt) {
            (Value::Null, Value::String(text)) => text.clone(),
            (Value::Null, other) => other.to_string(),
            (messages, _) => messages.to_string(),
        }
    }

    fn tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(16)
    }
}

/// HTTP service of an engine; the shared pointer lets calls in progress keep the engine alive.
struct EngineService(Arc<Engine>);

impl Service for EngineService {
    async fn call(&self, request: Request) -> io::Result<Response> {
        self.0.clone().serve(request).await
    }
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("engine lock poisoned")
    }

    async fn serve(self: Arc<Self>, request: Request) -> io::Result<Response> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let target = parts.uri.path_and_query().map_or("", |p| p.as_str());
        let text = String::from_utf8_lossy(&body).into_owned();
        match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/load") => Ok(reply(200, &self.load_report())),
            ("GET", "/cache-events") => Ok(reply(200, &self.cache_events(parts.uri.query()))),
            ("GET", "/stats") => Ok(reply(200, &json!(self.lock().counts))),
            ("POST", "/admin/orders") => Ok(self.handle_order(&text)),
            ("POST", "/admin/faults") => Ok(self.handle_faults(&text)),
            ("POST", "/kv/export") => Ok(self.export(&text)),
            ("POST", "/kv/import") => Ok(self.import(&text)),
            ("GET", "/v1/models") => {
                let models = self.lock().models.clone();
                Ok(reply(200, &json!({"object": "list", "data": models})))
            }
            ("POST", "/v1/chat/completions" | "/v1/completions") => {
                let request = ReceivedRequest {
                    target: target.to_owned(),
                    headers: headers(&parts.headers),
                    body: text.clone(),
                };
                self.record_request(request);
                let resumed = parts.headers.get("x-resume-tokens");
                let resumed = resumed.and_then(|v| v.to_str().ok()?.parse().ok());
                self.complete(&text, resumed.unwrap_or(0)).await
            }
            _ => Ok(reply(404, &error("unknown path"))),
        }
    }

    fn record_request(&self, request: ReceivedRequest) {
        let mut inner = self.lock();
        inner.counts.calls += 1;
        if inner.requests.len() == MAX_REQUESTS {
            inner.requests.pop_front();
        }
        inner.requests.push_back(request);
    }

    /// Uses up one of the calls limited by [`Faults::close_calls`] and returns whether one was
    /// left.
    fn consume_close_call(&self) -> bool {
        match &mut self.lock().faults.close_calls {
            None => true,
            Some(0) => false,
            Some(left) => {
                *left -= 1;
                true
            }
        }
    }

    async fn complete(self: &Arc<Self>, text: &str, resumed: u32) -> io::Result<Response> {
        let Ok(body) = serde_json::from_str::<CallBody>(text) else {
            return Ok(reply(400, &error("bad body")));
        };
        let faults = self.lock().faults.clone();
        let mut guard = CallGuard {
            engine: self.clone(),
            finished: false,
        };
        let prompt = body.prompt();
        if faults.crash_text.is_some_and(|t| prompt.contains(&t)) {
            let _ = self.crash.send(());
            return std::future::pending().await;
        }
        if faults.overload || faults.error {
            guard.finished = true;
            let status = if faults.overload { 503 } else { 500 };
            return Ok(reply(status, &error("refused by a fault switch")));
        }
        if faults.hang {
            return std::future::pending().await;
        }
        if faults.close_early && self.consume_close_call() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let expected = answer(&prompt, resumed);
        if resumed > 0 && expected != body.resume_text {
            guard.finished = true;
            return Ok(reply(400, &error("the resumed text does not match")));
        }
        let slot = self.acquire_slot(body.priority).await?;
        let blocks = self.prefill(&prompt);
        let first = self.settings.first_token + self.settings.prefill_per_block * blocks;
        tokio::time::sleep(self.scaled(first)).await;
        let call = RunningCall {
            engine: self.clone(),
            id: format!("fake-{}", self.lock().counts.calls),
            prompt,
            resumed,
            body,
        };
        if call.body.stream {
            return Ok(call.stream_response(slot, guard));
        }
        for _ in 0..call.body.tokens() {
            self.decode_token().await;
        }
        guard.finished = true;
        drop(slot);
        Ok(reply(200, &call.json_response()))
    }

    /// Waits for a slot; calls with a lower priority value are served first.
    async fn acquire_slot(self: &Arc<Self>, priority: u64) -> io::Result<Slot> {
        let receiver = {
            let mut inner = self.lock();
            if inner.running < self.settings.slots {
                inner.running += 1;
                return Ok(Slot::new(self));
            }
            inner.arrivals += 1;
            let key = (priority, inner.arrivals);
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(key, sender);
            receiver
        };
        receiver
            .await
            .map_err(|_| io::ErrorKind::ConnectionReset.into())
    }

    fn scaled(&self, time: Duration) -> Duration {
        let slow = self.lock().faults.slow;
        if slow > 0.0 { time.mul_f64(slow) } else { time }
    }

    async fn decode_token(&self) {
        let (running, slow) = {
            let mut inner = self.lock();
            inner.counts.tokens += 1;
            (inner.running, inner.faults.slow)
        };
        let load = self.settings.batch_slowdown * running.saturating_sub(1) as f64;
        let slow = if slow > 0.0 { slow } else { 1.0 };
        let time = self.settings.token_interval.mul_f64((1.0 + load) * slow);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    /// Looks up the blocks of a prompt in the cache and returns the number of misses.
    fn prefill(&self, prompt: &str) -> u32 {
        let mut inner = self.lock();
        let mut computed = 0;
        let mut end = BLOCK_BYTES;
        while end <= prompt.len() {
            let block = prompt_hash(&String::from_utf8_lossy(&prompt.as_bytes()[..end]));
            if inner.cache.touch(block, self.settings.cache_blocks) {
                inner.counts.hits += 1;
            } else {
                inner.counts.misses += 1;
                computed += 1;
            }
            end += BLOCK_BYTES;
        }
        computed
    }

    fn load_report(&self) -> Value {
        let mut inner = self.lock();
        if inner.faults.stale_load
            && let Some(load) = &inner.load
        {
            return load.clone();
        }
        inner.sequence += 1;
        let load = json!({
            "running": inner.running,
            "waiting": inner.waiting.len(),
            "slots": self.settings.slots,
            "kv_used": inner.cache.blocks.len() as f64 / self.settings.cache_blocks.max(1) as f64,
            "leaving": inner.faults.leaving,
            "models": inner.models,
            "sequence": inner.sequence,
        });
        inner.load = Some(load.clone());
        load
    }

    fn cache_events(&self, query: Option<&str>) -> Value {
        let after: u64 = query
            .and_then(|q| q.split('&').find_map(|p| p.strip_prefix("after=")))
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let inner = self.lock();
        let events: Vec<_> = inner
            .cache
            .events
            .iter()
            .filter(|e| e["sequence"].as_u64().is_some_and(|s| s > after))
            .collect();
        json!({"events": events, "sequence": inner.cache.sequence})
    }

    fn handle_order(&self, text: &str) -> Response {
        let Ok(order) = serde_json::from_str::<Value>(text) else {
            return reply(400, &error("bad order"));
        };
        let mut inner = self.lock();
        let fence = order["fence"].as_u64().unwrap_or(0);
        if self.settings.fencing && fence < inner.fence {
            return reply(409, &error("the fencing number is old"));
        }
        inner.fence = inner.fence.max(fence);
        if let Some(model) = order["load"].as_str() {
            inner.models.retain(|m| m != model);
            inner.models.push(model.to_owned());
        }
        if let Some(model) = order["unload"].as_str() {
            inner.models.retain(|m| m != model);
        }
        inner.orders.push(order);
        reply(200, &json!({"accepted": true}))
    }

    fn handle_faults(&self, text: &str) -> Response {
        match serde_json::from_str(text) {
            Ok(faults) => {
                self.lock().faults = faults;
                reply(200, &json!({"accepted": true}))
            }
            Err(e) => reply(400, &error(&e.to_string())),
        }
    }

    fn export(&self, text: &str) -> Response {
        let inner = self.lock();
        let blocks: Vec<_> = inner.cache.blocks.iter().collect();
        let wanted: Value = serde_json::from_str(text).unwrap_or_default();
        reply(
            200,
            &json!({"blocks": blocks, "request": wanted["request"]}),
        )
    }

    fn import(&self, text: &str) -> Response {
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        let Some(blocks) = value["blocks"].as_array() else {
            return reply(400, &error("no blocks"));
        };
        let mut inner = self.lock();
        for block in blocks.iter().filter_map(Value::as_u64) {
            inner.cache.touch(block, self.settings.cache_blocks);
        }
        if let Some(request) = value["request"].as_str() {
            inner.imported.insert(request.to_owned());
        }
        reply(200, &json!({"imported": blocks.len()}))
    }
}

impl Cache {
    /// Marks a block as most recently used, inserts it if absent, and returns whether it was
    /// cached.
    fn touch(&mut self, block: u64, limit: usize) -> bool {
        if let Some(place) = self.blocks.iter().position(|b| *b == block) {
            self.blocks.remove(place);
            self.blocks.push_back(block);
            return true;
        }
        if limit > 0 && self.blocks.len() >= limit {
            let evicted = self.blocks.pop_front();
            self.push_event("removed", evicted);
        }
        self.blocks.push_back(block);
        self.push_event("stored", Some(block));
        false
    }

    fn push_event(&mut self, kind: &str, block: Option<u64>) {
        self.sequence += 1;
        if self.events.len() == MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
        let sequence = self.sequence;
        self.events.push_back(
            json!({"sequence": sequence, "kind": kind, "block": block, "tokens": BLOCK_TOKENS}),
        );
    }
}

/// A call that holds a slot.
struct RunningCall {
    engine: Arc<Engine>,
    id: String,
    prompt: String,
    resumed: u32,
    body: CallBody,
}

impl RunningCall {
    fn usage(&self) -> Value {
        let prompt = self.prompt.len().div_ceil(4);
        let tokens = self.body.tokens();
        json!({"prompt_tokens": prompt, "completion_tokens": tokens, "total_tokens": prompt + tokens as usize})
    }

    fn json_response(&self) -> Value {
        let text = answer(&self.prompt, self.body.tokens());
        json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.body.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
    }

    fn stream_response(self, slot: Slot, mut guard: CallGuard) -> Response {
        let (sender, body) = answer::channel();
        tokio::spawn(async move {
            tokio::select! {
                () = sender.closed() => {}
                finished = self.send_events(&sender) => guard.finished = finished,
            }
            if guard.finished {
                sender.complete();
            }
            drop(slot);
            drop(guard);
        });
        let mut response = http::Response::new(body);
        response.headers_mut().insert(
            "content-type",
            http::HeaderValue::from_static("text/event-stream; charset=utf-8"),
        );
        response
    }

    async fn send_events(&self, sender: &BodySender) -> bool {
        let role = json!({"role": "assistant", "content": ""});
        if !self.send_chunk(sender, &self.chunk(&role, None)).await {
            return false;
        }
        let hash = prompt_hash(&self.prompt);
        for index in self.resumed..self.body.tokens() {
            let faults = self.engine.lock().faults.clone();
            if faults.close_after.is_some_and(|n| n <= index) && self.engine.consume_close_call() {
                // Closing the connection discards data that the server has not written yet.
                tokio::time::sleep(FLUSH_TIME).await;
                return false;
            }
            if faults.hang || faults.hang_after.is_some_and(|n| n <= index) {
                std::future::pending::<()>().await;
            }
            if index > self.resumed {
                self.engine.decode_token().await;
            }
            let delta = json!({"content": token_text(hash, index)});
            if !self.send_chunk(sender, &self.chunk(&delta, None)).await {
                return false;
            }
        }
        if !self
            .send_chunk(sender, &self.chunk(&json!({}), Some("stop")))
            .await
        {
            return false;
        }
        if self.engine.lock().faults.close_before_done {
            tokio::time::sleep(FLUSH_TIME).await;
            return false;
        }
        if self.body.stream_options["include_usage"] == json!(true) {
            let mut chunk = self.chunk(&json!({}), None);
            chunk["choices"] = json!([]);
            chunk["usage"] = self.usage();
            if !self.send_chunk(sender, &chunk).await {
                return false;
            }
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        sender.send(done).await.is_ok()
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.body.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        })
    }

    async fn send_chunk(&self, sender: &BodySender, chunk: &Value) -> bool {
        let event = format!("data: {chunk}\n\n");
        sender.send(event.into()).await.is_ok()
    }
}

fn headers(map: &http::HeaderMap) -> Vec<(String, String)> {
    map.iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), value)
        })
        .collect()
}

fn error(message: &str) -> Value {
    json!({"error": {"message": message, "type": "invalid_request_error", "code": null}})
}

fn reply(status: u16, value: &Value) -> Response {
    fulmarford_lib::answer::plain(status, "application/json", value.to_string())
}
