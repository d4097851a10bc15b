//! The two example deployments as load profiles over fake endpoints.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use crate::rule_check;
use crate::rules::EndpointKind;
use crate::view::View;

/// Secret under which the keys of the example files are hashed.
pub const KEY_SECRET: &str = include_str!("../../examples/key-secret");

/// What a request of one kind looks like.
#[derive(Clone, Debug)]
pub enum CallKind {
    /// A streamed call of the language-model interface.
    Chat {
        /// The model.
        model: &'static str,
        /// Prompt size in words.
        prompt: Range<u32>,
        /// Output size in tokens, which the router does not know beforehand.
        output: Range<u32>,
    },
    /// A call of a plain service.
    Service {
        /// The method.
        method: &'static str,
        /// The path.
        path: &'static str,
    },
}

/// One kind of request and its share of all arrivals.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Its class in the rules.
    pub class: &'static str,
    /// Its share relative to the other kinds.
    pub share: f64,
    /// What it calls.
    pub call: CallKind,
    /// Whether a key is sent with it.
    pub keyed: bool,
}

/// A deployment: its rules and the requests that its callers make.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// The text of its rules file.
    pub rules: &'static str,
    /// Number of entry instances.
    pub instances: usize,
    /// Its kinds of request.
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

    /// Returns the view of the rules with the addresses of the example file.
    pub fn view(&self) -> Arc<View> {
        rule_check::check(self.rules).expect("the example rules are valid")
    }

    /// Returns the rules with each endpoint at the address that its fake listens on.
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

    /// Returns the arrivals a second that engines of this pace can serve.
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
    /// Returns the mean time that a request occupies an engine slot.
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
