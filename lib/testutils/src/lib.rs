//! Fake engines, services and platforms, and other test support for fulmarford.

pub mod caller;
pub mod fake_engine;
pub mod fake_platform;
pub mod fake_service;
pub mod fixture;
pub mod harness;
pub mod ports;
pub mod proxy;
pub mod slow_storage;
pub mod stack;
pub mod virtual_engine;
pub mod virtual_run;
pub mod workloads;
