//! Load profiles of the two example deployments, for load tests against fake endpoints.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use crate::rule_check;
use crate::rules::EndpointKind;
use crate::view::View;

/// Secret for the keyed hash of the keys in the example files.
pub const KEY_SECRET: &str = include_str!("../../examples/key-secret");

/// Call made by the requests of a kind.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// Streamed chat completion.
    Chat {
        /// Model.
        model: &'static str,
        /// Range of the prompt length in words.
        prompt: Range<u32>,
        /// Range of the output length in tokens, which the router does not know in advance.
        output: Range<u32>,
    },
    /// Call of a service.
    Service {
        /// HTTP method.
        method: &'static str,
        /// Path.
        path: &'static str,
    },
}

/// Kind of request and its share of all requests.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Class of the requests in the rules.
    pub class: &'static str,
    /// Share relative to the shares of the other kinds.
    pub share: f64,
    /// Call made by the requests.
    pub call: CallKind,
    /// Whether the requests carry a key.
    pub keyed: bool,
}

/// Rules of a deployment and the requests of its callers.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Text of the rules file.
    pub rules: &'static str,
    /// Number of instances that serve callers.
    pub instances: usize,
    /// Kinds of request.
    pub request_kinds: Vec<RequestKind>,
}

impl Deployment {
    /// Returns both example deployments.
    pub fn all() -> [Deployment; 2] {
        [quito(), dakar()]
    }

    /// Returns the deployment with this name.
    pub fn by_name(name: &str) -> Option<Deployment> {
        Self::all().into_iter().find(|d| d.name == name)
    }

    /// Returns the view of the rules, with the endpoint addresses of the example file.
    pub fn view(&self) -> Arc<View> {
        rule_check::check(self.rules).expect("the example rules are valid")
    }

    /// Returns the text of the rules with the addresses of endpoints replaced by the given ones.
    pub fn rules_with_addresses(&self, addresses: &HashMap<String, SocketAddr>) -> String {
        let mut text = String::with_capacity(self.rules.len());
        for line in self.rules.lines() {
            let mut words = line.split(' ');
            let name = match (words.next(), words.next()) {
                (Some("endpoint"), Some(name)) => name,
                _ => {
                    let _ = writeln!(text, "{line}");
                    continue;
                }
            };
            for word in line.split(' ') {
                match (word.strip_prefix("address="), addresses.get(name)) {
                    (Some(_), Some(address)) => {
                        let _ = write!(text, "address={address} ");
                    }
                    _ => {
                        let _ = write!(text, "{word} ");
                    }
                }
            }
            text.push('\n');
        }
        text
    }

    /// Returns the number of requests per second that engines with these token times can serve.
    pub fn capacity(&self, first_token: Duration, token_interval: Duration) -> f64 {
        let view = self.view();
        let slots: u32 = view
            .endpoints()
            .filter(|e| e.kind == EndpointKind::Engine)
            .map(|e| e.slots)
            .sum();
        let total: f64 = self.request_kinds.iter().map(|k| k.share).sum();
        let seconds: f64 = self
            .request_kinds
            .iter()
            .map(|k| k.share / total * k.slot_seconds(first_token, token_interval))
            .sum();
        f64::from(slots) / seconds
    }
}

impl RequestKind {
    /// Returns the mean time in seconds that a request occupies an engine slot.
    fn slot_seconds(&self, first_token: Duration, token_interval: Duration) -> f64 {
        match &self.call {
            CallKind::Chat { output, .. } => {
                let mean = f64::from(output.start + output.end - 1) / 2.0;
                first_token.as_secs_f64() + mean * token_interval.as_secs_f64()
            }
            CallKind::Service { .. } => 0.0,
        }
    }
}

fn chat(
    class: &'static str,
    share: f64,
    model: &'static str,
    prompt: Range<u32>,
    output: Range<u32>,
) -> RequestKind {
    RequestKind {
        class,
        share,
        call: CallKind::Chat {
            model,
            prompt,
            output,
        },
        keyed: true,
    }
}

fn service(
    class: &'static str,
    share: f64,
    method: &'static str,
    path: &'static str,
) -> RequestKind {
    RequestKind {
        class,
        share,
        call: CallKind::Service { method, path },
        keyed: true,
    }
}

fn quito() -> Deployment {
    const MODEL: &str = "blinds-7b";
    Deployment {
        name: "quito",
        rules: include_str!("../../examples/quito.rules"),
        instances: 8,
        request_kinds: vec![
            chat("fitter", 0.30, MODEL, 20..60, 20..100),
            service("order", 0.10, "POST", "/orders"),
            chat("draft", 0.20, MODEL, 50..200, 50..150),
            chat("summary", 0.20, MODEL, 100..300, 20..100),
            chat("plan", 0.20, MODEL, 100..400, 100..300),
        ],
    }
}

fn dakar() -> Deployment {
    const MODEL: &str = "surf-8b";
    let mut schedule = service("schedule", 0.20, "GET", "/schedules");
    schedule.keyed = false;
    Deployment {
        name: "dakar",
        rules: include_str!("../../examples/dakar.rules"),
        instances: 7,
        request_kinds: vec![
            chat("briefing", 0.15, MODEL, 30..100, 50..150),
            chat("question", 0.30, MODEL, 10..40, 20..100),
            service("reserve", 0.10, "POST", "/reservations"),
            schedule,
            chat("safety", 0.25, MODEL, 100..300, 100..250),
        ],
    }
}
