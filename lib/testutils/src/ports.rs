//! Selection of free ports for the processes that tests start.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// First port of the range that is used. The range is below that of ephemeral ports, because an
/// outgoing connection could take an ephemeral port before the started process binds it.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 12_000;

/// Distance between the first ports that test processes with consecutive process ids try.
const PROCESS_STRIDE: u32 = 97;

/// Offset of the next port to try from the first one of this process.
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
