//! Library of fulmarford, a request router for language models with service levels and priorities.
//!
//! Modules that make decisions are deterministic: they perform no I/O, and the caller passes in the
//! time and the random number generator. The list of modules and its rationale are in
//! [`docs/design.md`](https://fulmarford.example/docs/design.md).

pub mod admission;
pub mod affinity;
pub mod answer;
pub mod arrivals;
pub mod at_most_once;
mod attempt;
pub mod balancer;
mod call_thread;
pub mod chart;
pub mod clock;
pub mod cluster_control;
pub mod code;
pub mod command;
pub mod control;
mod control_answer;
pub mod control_core;
mod control_limit;
mod control_poll;
mod control_probe;
mod control_relay;
pub mod control_shared;
pub mod control_thread;
pub mod crash;
pub mod crash_detector;
pub mod crash_note;
pub mod crash_records;
pub mod crash_tracker;
pub mod decision_log;
mod delivery;
pub mod demand;
pub mod deployment;
pub mod dialect;
pub mod discovery;
pub mod disk;
pub mod dispatcher;
pub mod dissemination;
pub mod document_service;
pub mod drain;
pub mod duties;
pub mod endpoint_limit;
pub mod endpoint_planner;
pub mod event_framer;
pub mod explain;
pub mod fairness;
pub mod file_storage;
pub mod fingerprint;
pub mod fleet;
mod fleet_endpoint;
pub mod forward;
mod forward_crash;
pub mod forward_job;
mod forward_limit;
mod forward_relay;
pub mod gateway;
pub mod grant;
pub mod hand_over;
mod handshake;
pub mod health;
pub mod ids;
pub mod intent;
mod job;
pub mod key;
pub mod lease;
pub mod length;
pub mod limit;
pub mod load;
pub mod load_poller;
pub mod metrics;
pub mod node;
pub mod openai;
pub mod operator;
pub mod operator_client;
pub mod order;
pub mod orders;
pub mod peer;
#[allow(
    missing_docs,
    unreachable_pub,
    elided_lifetimes_in_paths,
    clippy::all,
    clippy::pedantic
)]
#[rustfmt::skip]
pub mod peer_capnp;
pub mod peer_message;
pub mod permit;
pub mod placement;
pub mod platform;
pub mod policy;
pub mod poll_log;
pub mod pool_queue;
pub mod prefix_hint;
pub mod prompt_cache;
mod prompt_source;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod raft;
mod raft_election;
pub mod raft_log;
pub mod raft_member;
pub mod raft_message;
mod raft_progress;
mod raft_replicate;
pub mod relay;
pub mod report;
pub mod reporter;
pub mod request;
pub mod retry;
pub mod route_table;
pub mod rule_check;
pub mod rule_diff;
pub mod rule_state;
pub mod rules;
pub mod scaler;
pub mod scheduler;
pub mod server;
pub mod service_load;
pub mod settings;
pub mod shared_list;
pub mod simple_control;
pub mod simple_disk;
pub mod simple_dissemination;
pub mod simple_policy;
pub mod simple_scaler;
pub mod simple_state;
pub mod simple_storage;
pub mod site_duties;
pub mod sse;
pub mod state;
pub mod storage;
mod storage_frame;
pub mod suspect;
pub mod traffic_metrics;
pub mod upstream;
pub mod usage;
pub mod view;
pub mod view_lease;
pub mod voter;
pub mod workload;
