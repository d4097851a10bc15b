//! The line of an entry: requests that engines have no room for yet wait here, where they can still be sent
//! to any engine (`docs/design/line.md`).
//!
//! Input are the demand for each kind of request, summed over all instances ([`demand`]), the usable engines,
//! and the requests that arrive. Output are the division of the engines among the kinds ([`portion`]) and the
//! order in which waiting requests start or are refused ([`queue`]). These three modules are decisions: they
//! do no I/O, read no clock and depend only on [`crate::fairness`], [`crate::ids`] and
//! [`crate::service_load`]. The module `turn` carries the decisions out for forwarded requests; only
//! [`crate::forward_job`] and [`crate::forward`] depend on it.

pub mod demand;
pub mod portion;
pub mod queue;
pub(crate) mod turn;
