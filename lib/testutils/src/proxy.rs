//! A TCP proxy that can hold back all traffic without closing connections, like a network
//! partition.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Interval at which the proxy checks for new connections and for changes of its state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A proxy that forwards connections to one address until it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    blocked: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let blocked = Arc::<AtomicBool>::default();
        let stopped = Arc::<AtomicBool>::default();
        let proxy = Self {
            address,
            blocked: blocked.clone(),
            stopped: stopped.clone(),
        };
        thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || accept(&listener, target, &blocked, &stopped))?;
        Ok(proxy)
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back all bytes while `blocked` is set; connections stay open.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    blocked: &Arc<AtomicBool>,
    stopped: &Arc<AtomicBool>,
) {
    while !stopped.load(Ordering::SeqCst) {
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        // The client connection is closed if the target refuses the connection.
        let Ok(server) = TcpStream::connect(target) else {
            continue;
        };
        let _ = forward(&client, &server, blocked, stopped);
    }
}

fn forward(
    client: &TcpStream,
    server: &TcpStream,
    blocked: &Arc<AtomicBool>,
    stopped: &Arc<AtomicBool>,
) -> io::Result<()> {
    for (from, to) in [(client, server), (server, client)] {
        from.set_nonblocking(false)?;
        from.set_nodelay(true)?;
        from.set_read_timeout(Some(Duration::from_millis(200)))?;
        let (from, to) = (from.try_clone()?, to.try_clone()?);
        let (blocked, stopped) = (blocked.clone(), stopped.clone());
        thread::Builder::new()
            .name("proxy-copy".to_owned())
            .spawn(move || copy(from, to, &blocked, &stopped))?;
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, blocked: &AtomicBool, stopped: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    loop {
        let size = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(size) => size,
            Err(error) if is_timeout(&error) && !stopped.load(Ordering::SeqCst) => continue,
            Err(_) => break,
        };
        while blocked.load(Ordering::SeqCst) && !stopped.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
        if to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
