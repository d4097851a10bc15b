//! A gateway with fake engines and a fake service, as most tests of the request path use it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller;
use crate::caller::Caller;
use crate::caller::Reply;
use crate::fake_engine;
use crate::fake_engine::EngineSettings;
use crate::fake_engine::FakeEngine;
use crate::fake_service::FakeService;
use crate::stack;
use crate::stack::Stack;
use fulmarford_lib::gateway::Timeouts;
use fulmarford_lib::metrics::Metrics;
use fulmarford_lib::rules;
use fulmarford_lib::simple_control::SimpleControl;
use fulmarford_lib::view::Edit;
use serde_json::Value;
use serde_json::json;

/// API key of the workspace `w`.
pub const KEY: &str = "fk-test-0123456789abcdef";
/// API key of the workspace `v`.
pub const OTHER_KEY: &str = "fk-other-0123456789abcdef";
/// Path of chat completion calls.
pub const CHAT: &str = "/v1/chat/completions";

/// Short timeouts, so that tests of endpoints that fail to answer finish quickly.
pub const SHORT_TIMEOUTS: Timeouts = Timeouts {
    first_token: Duration::from_millis(400),
    headers: Duration::from_millis(600),
    idle: Duration::from_millis(400),
    total: Duration::from_secs(20),
};

/// A gateway with fake engines and a fake service.
pub struct Fixture {
    /// The fake engines, whose endpoints are named `e0`, `e1` and so on.
    pub engines: Vec<Arc<FakeEngine>>,
    /// The fake service, whose endpoint is named `s1`.
    pub service: Arc<FakeService>,
    /// The control of the gateway, in one process.
    pub control: Arc<SimpleControl>,
    /// The running gateway with its server and log.
    pub stack: Stack,
}

/// Returns the text of a rules file for fake engines and a fake service.
pub fn rule_text(engines: &[Arc<FakeEngine>], service: &FakeService) -> String {
    let mut text = format!(
        "workspace w # test\n\
         workspace v # test\n\
         key k workspace=w hash={} # test\n\
         key o workspace=v hash={} # test\n\
         class c tier=1 first=10s idempotent=yes # test\n\
         class d tier=4 first=10s idempotent=yes # test\n\
         class once tier=1 complete=10s idempotent=no # test\n\
         route r workspace=w,v class=c model=m endpoints=e* # test\n\
         route r2 workspace=w class=d model=m endpoints=e* # test\n\
         route free workspace=w open=yes class=c model=open endpoints=e* # test\n\
         route orders workspace=w class=once path=/orders methods=POST endpoints=s1 # test\n\
         route status workspace=w class=c path=/status endpoints=s1 # test\n\
         limit v concurrency=1 # test\n\
         endpoint s1 address={} zone=z slots=64 # test\n",
        stack::key_hash(KEY),
        stack::key_hash(OTHER_KEY),
        service.address()
    );
    for (i, engine) in engines.iter().enumerate() {
        let address = engine.address();
        text.push_str(&format!(
            "endpoint e{i} address={address} zone=z models=m,open slots=512 # test\n"
        ));
    }
    text
}

impl Fixture {
    /// Starts a gateway with a number of engines.
    ///
    /// # Panics
    ///
    /// Panics if a server cannot start.
    pub fn new(engines: usize) -> Self {
        Self::with_settings(
            engines,
            EngineSettings::default(),
            Timeouts::default(),
            Metrics::default(),
        )
    }

    /// Starts a gateway with engine settings, timeouts and metrics.
    ///
    /// # Panics
    ///
    /// Panics if a server cannot start.
    pub fn with_settings(
        engines: usize,
        engine_settings: EngineSettings,
        timeouts: Timeouts,
        metrics: Metrics,
    ) -> Self {
        let engines: Vec<_> = (0..engines)
            .map(|_| FakeEngine::start(engine_settings.clone()).expect("engine starts"))
            .collect();
        let service = FakeService::start().expect("service starts");
        let control = stack::control(&rule_text(&engines, &service));
        let stack = Stack::start(&control, timeouts, metrics);
        Self {
            engines,
            service,
            control,
            stack,
        }
    }

    /// Applies one edit of the rules.
    ///
    /// # Panics
    ///
    /// Panics if the edit is invalid.
    pub fn edit(&self, edit: &Edit) {
        use fulmarford_lib::control::Control as _;
        let base = self
            .control
            .view(Instant::now())
            .expect("the view is fresh");
        let mut transaction = base.transaction();
        transaction.edit(edit).expect("edit applies");
        self.control
            .install(transaction.commit().expect("view is valid"));
    }

    /// Removes the rule that has the same key as the rule of a line.
    ///
    /// # Panics
    ///
    /// Panics if the line is not a valid rule, or its rule cannot be removed.
    pub fn remove(&self, line: &str) {
        let rule = rules::parse_line(line).expect("rule is valid");
        self.edit(&Edit::Remove(rule.key));
    }

    /// Sends a chat call and returns the complete response.
    ///
    /// # Panics
    ///
    /// Panics if no complete response arrives.
    pub fn chat(&self, key: &str, body: &Value) -> Reply {
        post(self.stack.address(), key, CHAT, &[], &body.to_string())
    }

    /// Sends a streamed chat call and returns the complete response.
    ///
    /// # Panics
    ///
    /// Panics if no complete response arrives.
    pub fn stream(&self, prompt: &str, tokens: u32) -> Reply {
        self.chat(KEY, &chat_body(prompt, tokens))
    }

    /// Sends a chat call and returns its connection without reading the response.
    ///
    /// # Panics
    ///
    /// Panics if the request cannot be sent.
    pub fn send_chat(&self, key: &str, body: &Value) -> Caller {
        let mut caller = Caller::connect(self.stack.address()).expect("connects");
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        caller
            .send("POST", CHAT, &headers, &body.to_string())
            .expect("sends");
        caller
    }

    /// Sends a non-idempotent call with an idempotency key.
    ///
    /// # Panics
    ///
    /// Panics if no complete response arrives.
    pub fn order(&self, key: &str, body: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        post(self.stack.address(), KEY, "/orders", &headers, body)
    }

    /// Returns the numbers of requests and output tokens charged to a workspace.
    pub fn usage(&self, workspace: &str) -> (u64, u64) {
        let rows = self.control.usage();
        let rows = rows.iter().filter(|r| r.workspace.as_str() == workspace);
        rows.fold((0, 0), |(n, t), r| (n + r.requests, t + r.output))
    }
}

/// Sends a `POST` request with an API key and returns the response.
///
/// # Panics
///
/// Panics if no complete response arrives.
pub fn post(
    address: std::net::SocketAddr,
    key: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let bearer = format!("Bearer {key}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    caller::call(address, "POST", path, &all, body).expect("the gateway answers")
}

/// Returns the `messages` field of a chat call with one prompt.
pub fn messages(prompt: &str) -> Value {
    json!([{"role": "user", "content": prompt}])
}

/// Returns the body of a streamed chat call.
pub fn chat_body(prompt: &str, tokens: u32) -> Value {
    json!({"model": "m", "stream": true, "max_tokens": tokens, "messages": messages(prompt)})
}

/// Returns the text with which a fake engine answers a prompt.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    fake_engine::answer(&messages(prompt).to_string(), tokens)
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within the limit.
pub fn wait_until(limit: Duration, what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !check() {
        assert!(
            Instant::now() < end,
            "{what} did not happen within {limit:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
