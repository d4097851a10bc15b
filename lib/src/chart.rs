//! Parser and interpreter of state charts.
//!
//! The charts of requests, endpoints and the drain are text files under `lib/charts/`. They are parsed
//! at startup. The process does not start if a chart is incomplete or does not match the states and
//! events of the code (see section 5 of `docs/design.md`).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;

/// Text of the request chart.
pub const REQUEST: &str = include_str!("../charts/request.chart");

/// Text of the endpoint chart.
pub const ENDPOINT: &str = include_str!("../charts/endpoint.chart");

/// Text of the drain chart.
pub const DRAIN: &str = include_str!("../charts/drain.chart");

/// The error for a chart that is malformed, incomplete or does not match the code.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("chart {chart}: {message}")]
pub struct ChartError {
    chart: String,
    message: String,
}

/// A validated state chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chart {
    name: String,
    initial: String,
    events: BTreeSet<String>,
    states: BTreeMap<String, State>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct State {
    is_final: bool,
    targets: BTreeMap<String, String>,
    ignored: BTreeSet<String>,
}

impl Chart {
    /// Parses a chart and validates it.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let mut chart = Self {
            name: String::new(),
            initial: String::new(),
            events: BTreeSet::new(),
            states: BTreeMap::new(),
        };
        let mut current = None;
        for (number, line) in text.lines().enumerate() {
            let words: Vec<_> = line.split_whitespace().collect();
            if words.first().is_none_or(|w| w.starts_with('#')) {
                continue;
            }
            chart
                .line(&words, &mut current)
                .map_err(|m| chart.error(format!("line {}: {m}", number + 1)))?;
        }
        chart.check()?;
        Ok(chart)
    }

    fn line(&mut self, words: &[&str], current: &mut Option<String>) -> Result<(), String> {
        match *words {
            ["chart", name] => self.name = name.to_owned(),
            ["initial", name] => self.initial = name.to_owned(),
            ["events", ref names @ ..] => {
                self.events.extend(names.iter().map(|n| (*n).to_owned()));
            }
            ["state", name] => *current = Some(self.state(name, false)?),
            ["state", name, "final"] => {
                self.state(name, true)?;
                *current = None;
            }
            ["ignore", ref names @ ..] => {
                let state = self.current(current.as_deref())?;
                state.ignored.extend(names.iter().map(|n| (*n).to_owned()));
            }
            [event, "->", target] => {
                let state = self.current(current.as_deref())?;
                let target = target.to_owned();
                if state.targets.insert(event.to_owned(), target).is_some() {
                    return Err(format!("event {event} has two targets"));
                }
            }
            _ => return Err(format!("cannot read {:?}", words.join(" "))),
        }
        Ok(())
    }

    fn state(&mut self, name: &str, is_final: bool) -> Result<String, String> {
        let state = State {
            is_final,
            ..State::default()
        };
        if self.states.insert(name.to_owned(), state).is_some() {
            return Err(format!("state {name} is given twice"));
        }
        Ok(name.to_owned())
    }

    fn current(&mut self, name: Option<&str>) -> Result<&mut State, String> {
        name.and_then(|n| self.states.get_mut(n))
            .ok_or_else(|| "this line belongs to no state".to_owned())
    }

    fn error(&self, message: String) -> ChartError {
        ChartError {
            chart: self.name.clone(),
            message,
        }
    }

    fn check(&self) -> Result<(), ChartError> {
        if !self.states.contains_key(&self.initial) {
            return Err(self.error(format!("the initial state {:?} is missing", self.initial)));
        }
        for (name, state) in &self.states {
            self.check_state(name, state)
                .map_err(|m| self.error(format!("state {name}: {m}")))?;
        }
        let reached = self.reachable();
        match self.states.keys().find(|s| !reached.contains(s.as_str())) {
            Some(unreached) => Err(self.error(format!("state {unreached} cannot be reached"))),
            None => Ok(()),
        }
    }

    fn check_state(&self, name: &str, state: &State) -> Result<(), String> {
        if state.is_final {
            return Ok(());
        }
        for event in &self.events {
            let handled = state.targets.contains_key(event);
            if handled == state.ignored.contains(event) {
                return Err(format!("event {event} must be handled or ignored"));
            }
        }
        let is_undeclared = |event: &&String| !self.events.contains(*event);
        if let Some(event) = state
            .targets
            .keys()
            .chain(&state.ignored)
            .find(is_undeclared)
        {
            return Err(format!("event {event} is not declared"));
        }
        if let Some(target) = state
            .targets
            .values()
            .find(|t| !self.states.contains_key(*t))
        {
            return Err(format!("target {target} does not exist"));
        }
        if state.targets.values().all(|target| target == name) {
            return Err("there is no way out".to_owned());
        }
        Ok(())
    }

    fn reachable(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::new();
        let mut open = vec![self.initial.as_str()];
        while let Some(name) = open.pop() {
            if reached.insert(name)
                && let Some(state) = self.states.get(name)
            {
                open.extend(state.targets.values().map(String::as_str));
            }
        }
        reached
    }

    /// Checks that the chart has exactly these states and events, which are those of the code.
    pub fn expect(&self, states: &[&str], events: &[&str]) -> Result<(), ChartError> {
        let states: BTreeSet<_> = states.iter().copied().collect();
        let events: BTreeSet<_> = events.iter().copied().collect();
        if !self.states.keys().map(String::as_str).eq(states) {
            return Err(self.error("its states differ from those of the code".to_owned()));
        }
        if !self.events.iter().map(String::as_str).eq(events) {
            return Err(self.error("its events differ from those of the code".to_owned()));
        }
        Ok(())
    }

    /// Returns the name of the initial state.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// Returns the state that follows an event, or `None` if the event is ignored.
    pub fn next(&self, state: &str, event: &str) -> Option<&str> {
        let target = self.states.get(state)?.targets.get(event)?;
        Some(target)
    }

    /// Returns whether the state is final.
    pub fn is_final(&self, state: &str) -> bool {
        self.states.get(state).is_some_and(|s| s.is_final)
    }
}

macro_rules! chart_names {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$item])* #[display($text)] $variant,)*
        }

        impl $name {
            /// All names, for [`Chart::expect`].
            pub const NAMES: &[&str] = &[$($text,)*];

            /// Returns the name that the chart uses.
            pub fn name(self) -> &'static str {
                match self { $($name::$variant => $text,)* }
            }
        }
    };
}

chart_names!(
    /// Events of the request chart.
    RequestEvent {
        /// The request passed all checks and was queued.
        Admit = "admit",
        /// The request was refused and did not run.
        Refuse = "refuse",
        /// An attempt starts.
        Start = "start",
        /// The first token arrived.
        First = "first",
        /// The complete response was delivered.
        Finish = "finish",
        /// The attempt failed.
        Break = "break",
        /// Another attempt starts.
        Retry = "retry",
        /// The request ended with an error.
        Fail = "fail",
        /// The caller disconnected or its key was withdrawn.
        Cancel = "cancel",
    }
);

chart_names!(
    /// States of the request chart.
    RequestState {
        /// Received but not checked yet.
        Received = "received",
        /// Queued by the scheduling policy.
        Queued = "queued",
        /// Sent to an endpoint that has not responded yet.
        Running = "running",
        /// Tokens are being delivered to the caller.
        Streaming = "streaming",
        /// The attempt failed, and it is not decided yet whether to retry.
        Broken = "broken",
        /// The complete response was delivered.
        Completed = "completed",
        /// Refused without running.
        Refused = "refused",
        /// Ended with an error.
        Failed = "failed",
        /// The caller disconnected or its key was withdrawn.
        Cancelled = "cancelled",
    }
);

chart_names!(
    /// Events of the endpoint chart.
    EndpointEvent {
        /// A load report arrived.
        Report = "report",
        /// The endpoint announced its shutdown.
        Notice = "notice",
        /// A poll failed.
        Silence = "silence",
        /// The endpoint is no longer in the rules.
        Gone = "gone",
    }
);

chart_names!(
    /// States of the endpoint chart.
    EndpointState {
        /// Not polled yet.
        Unknown = "unknown",
        /// Its load reports arrive.
        Reporting = "reporting",
        /// Its last poll failed.
        Silent = "silent",
        /// It announced its shutdown.
        Leaving = "leaving",
        /// It is no longer in the rules.
        Removed = "removed",
    }
);

chart_names!(
    /// Events of the drain chart.
    DrainEvent {
        /// A shutdown was requested.
        Stop = "stop",
        /// No request is open.
        Idle = "idle",
        /// The time limit has passed.
        Timeout = "timeout",
        /// All connections are closed.
        Closed = "closed",
    }
);

chart_names!(
    /// States of the drain chart.
    DrainState {
        /// Requests are accepted.
        Serving = "serving",
        /// New requests are refused while open ones finish.
        Draining = "draining",
        /// Connections are being closed.
        Closing = "closing",
        /// No connection is open.
        Stopped = "stopped",
    }
);

/// The built-in charts.
#[derive(Clone, Debug)]
pub struct Charts {
    /// States of a request.
    pub request: Chart,
    /// Contact state of an endpoint.
    pub endpoint: Chart,
    /// States of a graceful shutdown.
    pub drain: Chart,
}

impl Charts {
    /// Parses the built-in charts and checks that they match the code.
    pub fn load() -> Result<Self, ChartError> {
        let request = Chart::parse(REQUEST)?;
        request.expect(RequestState::NAMES, RequestEvent::NAMES)?;
        let endpoint = Chart::parse(ENDPOINT)?;
        endpoint.expect(EndpointState::NAMES, EndpointEvent::NAMES)?;
        let drain = Chart::parse(DRAIN)?;
        drain.expect(DrainState::NAMES, DrainEvent::NAMES)?;
        Ok(Self {
            request,
            endpoint,
            drain,
        })
    }
}
