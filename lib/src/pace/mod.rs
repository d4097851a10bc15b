//! Pace of each engine: how long a unit of work takes there, and so when a response ends.
//!
//! Job: engines of one service differ by several times in speed, and nobody states by how much. A long response
//! that begins in time then ends after its caller's deadline on a slow engine. The part estimates for each
//! engine the time of one event of a stream, from every stream that any instance has seen, and for each route
//! the number of events of a response, so that a request goes where it ends in its caller's time.
//!
//! Inputs: events and times of streams ([`StreamTimer`]), the pace that endpoints state in responses
//! ([`StatedPace`]), the sums of all instances ([`PaceReport`]). Outputs: the factor on the work at an engine
//! ([`PaceTable::factor`]), the expected time of a response's events ([`PaceTable::event_time`],
//! [`ResponseLengths::expected_events`]).
//!
//! The part does no I/O and the time is passed in. It depends on [`crate::ids`] only; [`crate::fleet`] and the
//! shell that relays streams depend on it (`docs/design/pace.md`).

mod estimate;
mod length;
mod metrics;
mod report;
mod stream_timer;

pub use estimate::PaceTable;
pub use estimate::StatedPace;
pub use length::ResponseLengths;
pub use metrics::PaceMetrics;
pub use metrics::PaceStats;
pub use report::MAX_ENGINES_PER_REPORT;
pub use report::PaceKey;
pub use report::PaceReport;
pub use report::PaceSum;
pub use stream_timer::StreamTimer;
