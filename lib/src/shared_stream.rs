//! A TCP stream that remains accessible while an HTTP connection owns its reading and writing.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A handle of a TCP stream; the stream closes with its last handle.
#[derive(Clone, Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>);

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Resets the connection when the stream closes, instead of ending it in order.
    pub(crate) fn reset_on_close(&self) {
        if let Err(error) = SockRef::from(&*self.0).set_linger(Some(Duration::ZERO)) {
            tracing::warn!(%error, "cannot reset a connection");
        }
    }

    /// Returns whether the connection is open and all bytes that were written were sent to the peer.
    ///
    /// Sent bytes may still wait to be read there. This asks the operating system, for which a stream counts as
    /// writable meanwhile only if nothing waits to be sent.
    pub(crate) fn is_all_sent(&self) -> bool {
        let socket = SockRef::from(&*self.0);
        let is_set = socket.set_tcp_notsent_lowat(1).is_ok();
        let mut states = [PollFd::new(&*self.0, PollFlags::OUT)];
        let is_polled = poll(&mut states, Some(&Timespec::default())).is_ok();
        let is_sent = is_set && is_polled && states[0].revents() == PollFlags::OUT;
        // Zero stands for the default of the system.
        let is_reset = socket.set_tcp_notsent_lowat(0).is_ok();
        is_sent && is_reset
    }

    /// Returns a handle that does not keep the stream open.
    pub(crate) fn downgrade(&self) -> WeakStream {
        WeakStream(Arc::downgrade(&self.0))
    }
}

/// A handle of a TCP stream that does not keep it open.
///
/// A pooled connection has no other handle, so that its socket closes when the task that reads it ends.
#[derive(Clone, Debug)]
pub(crate) struct WeakStream(Weak<TcpStream>);

impl WeakStream {
    /// Returns whether the stream is open and all bytes that were written were sent to the peer.
    pub(crate) fn is_all_sent(&self) -> bool {
        let stream = self.0.upgrade().map(SharedStream);
        stream.is_some_and(|stream| stream.is_all_sent())
    }

    /// Returns whether the stream is open and no received bytes wait to be read.
    ///
    /// This asks the operating system, as an event loop learns of bytes and of the peer's end only when it
    /// polls for events the next time.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let peeked = SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(buffers) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
