//! A fake HTTP service that counts how often each call was executed.
//!
//! A call is identified by its header `Idempotency-Key`, or else by the field `id` of its JSON
//! body.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmarford_lib::answer;
use fulmarford_lib::server::Request;
use fulmarford_lib::server::Response;
use fulmarford_lib::server::Server;
use fulmarford_lib::server::Service;
use http_body_util::BodyExt as _;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Faults to inject; they can be changed at any time, also with `POST /admin/faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Duration of a call in milliseconds.
    pub delay_ms: u64,
    /// The connection is closed before the call is executed.
    pub close_before: bool,
    /// The connection is closed without a response after the call is executed.
    pub close_after: bool,
    /// Calls are executed and never answered.
    pub hang: bool,
    /// Status of the responses; `None` means 200.
    pub status: Option<u16>,
    /// Size of the response body in bytes; 0 means a short JSON body.
    pub size: usize,
    /// The load report announces that the service is about to stop.
    pub leaving: bool,
}

/// A running fake service.
pub struct FakeService {
    shared: Arc<Shared>,
    server: Mutex<Option<Server>>,
    address: SocketAddr,
}

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    executions: HashMap<String, u32>,
    requests: Vec<Vec<(String, String)>>,
    running: u32,
    sequence: u64,
}

impl FakeService {
    /// Starts a service on a free loopback port.
    pub fn start() -> io::Result<Arc<Self>> {
        Self::start_at(([127, 0, 0, 1], 0).into())
    }

    /// Starts a service on an address.
    pub fn start_at(address: SocketAddr) -> io::Result<Arc<Self>> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(address, 1, shared.clone())?;
        Ok(Arc::new(Self {
            shared,
            address: server.address(),
            server: Mutex::new(Some(server)),
        }))
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and stops listening.
    pub fn crash(&self) {
        let server = self.server.lock().expect("server lock poisoned").take();
        drop(server);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of executions of each call by its id.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.shared.lock().executions.clone()
    }

    /// Returns the headers of every received call, oldest first.
    pub fn requests(&self) -> Vec<Vec<(String, String)>> {
        self.shared.lock().requests.clone()
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("service lock poisoned")
    }

    fn execute(&self, id: &str) -> u32 {
        let mut inner = self.lock();
        let count = inner.executions.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    }

    fn load(&self) -> Value {
        let mut inner = self.lock();
        inner.sequence += 1;
        json!({
            "running": inner.running,
            "waiting": 0,
            "slots": 64,
            "kv_used": 0.0,
            "leaving": inner.faults.leaving,
            "models": [],
            "sequence": inner.sequence,
        })
    }
}

/// Counts a call as running until it is dropped.
struct RunningGuard<'a>(&'a Shared);

impl<'a> RunningGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.lock().running += 1;
        Self(shared)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Service for Shared {
    async fn call(&self, request: Request) -> io::Result<Response> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        let path = parts.uri.path();
        match path {
            "/load" => return Ok(reply(200, &self.load())),
            "/executions" => return Ok(reply(200, &json!(self.lock().executions))),
            "/admin/faults" => {
                let Ok(faults) = serde_json::from_value(value) else {
                    return Ok(reply(400, &json!({"error": "bad faults"})));
                };
                self.lock().faults = faults;
                return Ok(reply(200, &json!({"accepted": true})));
            }
            _ => {}
        }
        let headers = parts.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), value)
        });
        let headers: Vec<_> = headers.collect();
        let key = parts.headers.get("idempotency-key");
        let id = key.and_then(|v| v.to_str().ok()).or(value["id"].as_str());
        let id = id.unwrap_or("").to_owned();
        let faults = {
            let mut inner = self.lock();
            inner.requests.push(headers);
            inner.faults.clone()
        };
        if faults.close_before {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let running = RunningGuard::new(self);
        let count = self.execute(&id);
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        drop(running);
        if faults.close_after {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let status = faults.status.unwrap_or(200);
        if faults.size > 0 {
            let body = vec![b'x'; faults.size];
            return Ok(answer::plain(status, "application/octet-stream", body));
        }
        let body = json!({"id": id, "execution": count, "path": path});
        Ok(reply(status, &body))
    }
}

fn reply(status: u16, value: &Value) -> Response {
    answer::plain(status, answer::JSON, value.to_string())
}
