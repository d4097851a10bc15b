//! Endpoints that accept few requests for some time after their start.
//!
//! Job: bounds the requests that all instances together send to such a cold endpoint in one second
//! (`docs/design/cold-endpoints.md`). Inputs: the bounds of the settings, the rate that the configuration states
//! for a service, the endpoint list, and calls that failed. Output: limits in
//! [`crate::endpoint_limit::LimitTable`], which shares them with all instances and grants permits, so that leaders
//! and relays need to know nothing of cold endpoints. [`tracker`] decides without I/O, [`watch`] carries it out.
//! May depend on the limits of endpoints, the endpoint list and the routing table; the forwarding path and the
//! discovery thread depend on it.

pub mod rate;
pub mod tracker;
pub mod watch;
