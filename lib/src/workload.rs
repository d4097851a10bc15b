//! Open-loop load against running entry instances, with one sample a request.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::sse;
use serde_json::Value;
use serde_json::json;

use crate::arrivals::PlannedRequest;
use crate::deployment::CallKind;

/// Longest time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// Stack of a caller's thread in bytes; hundreds of callers wait at once.
const CALLER_STACK_BYTES: usize = 256 << 10;

/// What a caller saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Number of the request in the schedule.
    pub number: u64,
    /// HTTP status, 0 when the connection failed.
    pub status: u16,
    /// Result code of a refusal or failure.
    pub code: Option<u16>,
    /// Whether the answer says that the request has not run.
    pub not_executed: bool,
    /// The whole answer arrived and belongs to this request.
    pub is_complete: bool,
    /// Time to the first token, or to the answer of a service.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Output tokens received.
    pub tokens: u32,
    /// HTTP status of the same call sent again, if it was.
    pub resend_status: Option<u16>,
}

/// Where and how a load is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Addresses of the entry instances, used in turn as a platform balancer does.
    pub instances: Vec<SocketAddr>,
    /// Prefix of keys; the workspace name follows.
    pub key_prefix: String,
    /// Returns the answer that the endpoints give to messages (as JSON text), in a number of tokens.
    ///
    /// It is how a caller sees that the answer is whole and its own.
    pub expected_answer: fn(&str, u32) -> String,
}

/// Sends every request at its time, whether or not earlier ones have ended, and waits for all.
pub fn run(
    target: &Target,
    schedule: &[PlannedRequest],
    progress: &(dyn Fn(usize) + Sync),
) -> Vec<Sample> {
    let samples = Mutex::new(Vec::with_capacity(schedule.len()));
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent();
    let start = Instant::now();
    thread::scope(|scope| {
        for (i, planned) in schedule.iter().enumerate() {
            if let Some(wait) = planned.at.checked_sub(start.elapsed()) {
                thread::sleep(wait);
            }
            let instance = target.instances[i % target.instances.len()];
            let next_instance = target.instances[(i + 1) % target.instances.len()];
            let (samples, agent) = (&samples, agent.clone());
            let call = move || {
                let mut sample = send(&agent, target, instance, planned);
                if planned.resend {
                    sample.resend_status =
                        Some(send(&agent, target, next_instance, planned).status);
                }
                samples.lock().expect("samples lock poisoned").push(sample);
            };
            // A caller that cannot get a thread would be missing from the figures.
            thread::Builder::new()
                .stack_size(CALLER_STACK_BYTES)
                .spawn_scoped(scope, call)
                .expect("a caller thread starts");
            progress(i + 1);
        }
    });
    let mut samples = samples.into_inner().expect("samples lock poisoned");
    samples.sort_by_key(|s| s.number);
    samples
}

/// Sends one request and reads its whole answer.
pub fn send(
    agent: &ureq::Agent,
    target: &Target,
    instance: SocketAddr,
    planned: &PlannedRequest,
) -> Sample {
    let start = Instant::now();
    let mut sample = Sample {
        number: planned.number,
        ..Sample::default()
    };
    let response = agent.run(request(instance, &target.key_prefix, planned));
    match response {
        Ok(response) => read(response, target, planned, start, &mut sample),
        Err(error) => tracing::debug!(%error, number = planned.number, "call failed"),
    }
    sample.total = start.elapsed();
    sample
}

fn request(
    instance: SocketAddr,
    key_prefix: &str,
    planned: &PlannedRequest,
) -> http::Request<String> {
    let (method, path, body) = match &planned.call {
        CallKind::Chat { model, .. } => {
            let body = json!({
                "model": model,
                "stream": true,
                "max_tokens": planned.output,
                "messages": planned.messages(),
            });
            ("POST", "/v1/chat/completions", body.to_string())
        }
        CallKind::Service { method, path } => (
            *method,
            *path,
            json!({"call": planned.marker()}).to_string(),
        ),
    };
    let mut builder = http::Request::builder()
        .method(method)
        .uri(format!("http://{instance}{path}"))
        .header("content-type", "application/json")
        .header("x-fulmarford-class", planned.class)
        .header("idempotency-key", planned.marker());
    if planned.keyed {
        let key = format!("Bearer {key_prefix}{}", planned.workspace);
        builder = builder.header("authorization", key);
    }
    builder
        .body(if method == "GET" { String::new() } else { body })
        .expect("the parts of the request are valid")
}

impl PlannedRequest {
    /// Returns the text by which fakes and callers recognise this request.
    pub fn marker(&self) -> String {
        format!("call-{}", self.number)
    }

    /// Returns the messages of a call of the language-model interface.
    pub fn messages(&self) -> Value {
        let words = "word ".repeat(self.prompt as usize);
        json!([{"role": "user", "content": format!("{} {words}", self.marker())}])
    }
}

fn read(
    response: http::Response<ureq::Body>,
    target: &Target,
    planned: &PlannedRequest,
    start: Instant,
    sample: &mut Sample,
) {
    sample.status = response.status().as_u16();
    let streamed = response
        .headers()
        .get("content-type")
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    let mut body = response.into_body().into_reader();
    if streamed {
        let expected = (target.expected_answer)(&planned.messages().to_string(), planned.output);
        read_stream(&mut body, start, sample, &expected);
        return;
    }
    let mut text = String::new();
    let complete = body.read_to_string(&mut text).is_ok();
    sample.first = Some(start.elapsed());
    record_error(&text, sample);
    let service = matches!(planned.call, CallKind::Service { .. });
    sample.is_complete = complete && service && sample.status < 300;
}

fn read_stream(body: &mut impl Read, start: Instant, sample: &mut Sample, expected: &str) {
    let mut parser = sse::Parser::default();
    let mut buffer = [0; 4096];
    let mut text = String::new();
    let mut done = false;
    let mut last = None;
    while let Ok(size @ 1..) = body.read(&mut buffer) {
        let now = Instant::now();
        let result = parser.push(&buffer[..size], |data| {
            if data == "[DONE]" {
                done = true;
                return;
            }
            record_error(data, sample);
            let Some(content) = content(data) else {
                return;
            };
            text.push_str(&content);
            sample.tokens += 1;
            match last.replace(now) {
                None => sample.first = Some(now - start),
                Some(previous) => sample.gaps.push(now - previous),
            }
        });
        if result.is_err() {
            return;
        }
    }
    sample.is_complete = done && sample.code.is_none() && text == expected;
}

fn content(data: &str) -> Option<String> {
    let value: Value = serde_json::from_str(data).ok()?;
    value["choices"][0]["delta"]["content"]
        .as_str()
        .filter(|text| !text.is_empty())
        .map(str::to_owned)
}

fn record_error(text: &str, sample: &mut Sample) {
    if !text.contains("\"error\"") {
        return;
    }
    let Ok(value) = serde_json::from_str::<Value>(text) else {
        return;
    };
    let error = &value["error"];
    sample.code = error["code"].as_u64().and_then(|code| code.try_into().ok());
    sample.not_executed = error["execution"] == "not run";
}
