//! Ports for processes that tests start.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports below the range from which systems take the ports of outgoing connections. A port of that
/// range may be taken by a connection between the choice of the port and the start of the process.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;

/// Distance between the first ports of two test processes that run at the same time.
const PROCESS_STRIDE: u32 = 97;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address on which nothing listens.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let offset = start + u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port =
            FIRST_PORT + u16::try_from(offset % u32::from(PORT_COUNT)).expect("the range is small");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
