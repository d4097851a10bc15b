//! Metrics of requests, sent to a statsd server.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted as _;
use cadence::CountedExt as _;
use cadence::MetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed as _;

use crate::code::ResultCode;
use crate::ids::ClassId;

/// Prefix of the names of all metrics.
const PREFIX: &str = "fulmarford";

/// Maximum number of metrics queued for the sender thread.
const BUFFERED_METRICS: usize = 8192;

/// Counters and timers of requests.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<StatsdClient>);

impl Default for Metrics {
    fn default() -> Self {
        Self::new(NopMetricSink)
    }
}

impl Metrics {
    /// Creates metrics that are sent to a sink.
    pub fn new(sink: impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static) -> Self {
        Self(Arc::new(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Creates metrics that are sent to a statsd server over UDP.
    ///
    /// When the queue is full, metrics are dropped instead of blocking the caller.
    pub fn statsd(address: SocketAddr) -> io::Result<Self> {
        let local: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0; 16], 0).into(),
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        Ok(Self::new(QueuingMetricSink::with_capacity(
            sink,
            BUFFERED_METRICS,
        )))
    }

    /// Counts a request that passed authentication and routing.
    pub fn offered(&self, class: &ClassId) {
        self.count("requests.offered", class, 1);
    }

    /// Counts a completed request, and counts it as attained if it met its target.
    pub fn completed(&self, class: &ClassId, attained: bool) {
        self.count("requests.completed", class, 1);
        if attained {
            self.count("requests.attained", class, 1);
        }
    }

    /// Counts a refused or failed request by its code.
    pub fn refused(&self, code: ResultCode) {
        let number = code.number().to_string();
        self.0
            .incr_with_tags("requests.refused")
            .with_tag("code", &number)
            .send();
    }

    /// Counts tokens that were generated but not delivered.
    pub fn wasted(&self, class: &ClassId, tokens: u32) {
        if tokens > 0 {
            self.count("tokens.wasted", class, i64::from(tokens));
        }
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first(&self, class: &ClassId, time: Duration) {
        self.0
            .time_with_tags("requests.first", time)
            .with_tag("class", class.as_str())
            .send();
    }

    fn count(&self, name: &str, class: &ClassId, number: i64) {
        self.0
            .count_with_tags(name, number)
            .with_tag("class", class.as_str())
            .send();
    }
}
