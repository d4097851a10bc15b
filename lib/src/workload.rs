//! Open-loop load generator that records one sample per request.

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

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// Stack size of a caller thread, which is small because hundreds of them run concurrently.
const CALLER_STACK_BYTES: usize = 256 << 10;

/// Result of a request as seen by its caller.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Number of the request in the schedule.
    pub number: u64,
    /// HTTP status, or 0 if the connection failed.
    pub status: u16,
    /// Result code of a refusal or failure.
    pub code: Option<u16>,
    /// Whether the response states that the request was not executed.
    pub not_executed: bool,
    /// Whether the complete response arrived and belongs to this request.
    pub is_complete: bool,
    /// Time to the first token, or to the response of a service.
    pub first: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Time to the end of the response.
    pub total: Duration,
    /// Number of output tokens received.
    pub tokens: u32,
    /// HTTP status of the duplicate of the request, if one was sent.
    pub resend_status: Option<u16>,
}

/// Destination of the load and its credentials.
#[derive(Clone, Debug)]
pub struct Target {
    /// Addresses of the instances, used in turn as by the load balancer of a platform.
    pub instances: Vec<SocketAddr>,
    /// Prefix of the callers' keys, which is followed by the name of the workspace.
    pub key_prefix: String,
    /// Returns the response text expected for messages in JSON and a number of output tokens.
    ///
    /// Comparing it with the received text detects truncated responses and those of another request.
    pub expected_answer: fn(&str, u32) -> String,
}

/// Sends every request at its scheduled time, regardless of pending ones, and waits for all.
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
            // A request without a thread would be missing from the results.
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

/// Sends a request and reads its complete response.
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
    /// Returns the text by which fake endpoints and callers recognise this request.
    pub fn marker(&self) -> String {
        format!("call-{}", self.number)
    }

    /// Returns the messages of a chat completion.
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
