//! Cases of the review, played with the project's programs and small stand-ins on loopback addresses.
//!
//! `standin CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment, the disruption is left out.

mod descriptors;
mod founding;
mod http;
mod late;
mod memory;
mod process;
mod record;
mod rolled;
mod world;

use std::net::SocketAddr;
use std::panic;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use record::Record;

/// Result of a case.
#[derive(Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// Sends a configuration to the operators' addresses in turn, as the pages say, until it is acknowledged.
pub fn replace(
    controls: &[SocketAddr],
    document: &str,
    limit: Duration,
    record: &Record,
) -> Option<Duration> {
    let start = Instant::now();
    let mut pause = Duration::from_millis(100);
    let mut turn = 0;
    while start.elapsed() < limit {
        let address = controls[turn % controls.len()];
        turn += 1;
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = http::call(
            address,
            "POST",
            "/v1/config/replace",
            &headers,
            document.as_bytes(),
            Duration::from_secs(1),
        );
        let status = answer.as_ref().map_or(0, http::Message::status);
        let error = answer.as_ref().err().cloned().unwrap_or_default();
        record.add(&format!(
            "configuration sent to {address}: {status} {error}"
        ));
        match status {
            200 => return Some(start.elapsed()),
            400..=499 if status != 408 && status != 429 => return None,
            _ => {}
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    None
}

/// Waits until a condition holds; returns whether it does in time.
pub fn wait(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = !trouble;
    let record = Arc::new(Record::create(path));
    record.say(&format!("case {case}, disruption: {trouble}"));
    let play = || match case.as_str() {
        "descriptors" => descriptors::run(&record, trouble),
        "seed-lost" => founding::run_lost(&record, trouble),
        "rolled" => rolled::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "late" => late::run(&record, trouble),
        "founding-cut" => founding::run_cut(&record, trouble),
        _ => Outcome::NotRun,
    };
    // A stand-in that fails, for want of an address for example, says nothing about the rule.
    let outcome = panic::catch_unwind(panic::AssertUnwindSafe(play));
    let (text, code) = match outcome.unwrap_or(Outcome::NotRun) {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("THE RULE WAS BROKEN", 1),
        Outcome::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    std::process::exit(code);
}
