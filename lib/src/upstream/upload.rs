//! Evidence of whether an endpoint took a call whole before it ended its answer.
//!
//! An endpoint may answer while it still receives the call. If such an answer ends with its connection, its end says
//! nothing: an endpoint that fails ends its connections as well, and often in order before it resets them. The end of
//! the connection therefore counts only if nothing of the call was left to be sent when it arrived.
//!
//! What can be known is what this side has sent: hyper flushes its transport only when it has no byte of the call left,
//! and the operating system tells whether all bytes that it took were sent. Sent bytes may still wait in the receive
//! buffer of the endpoint, so that a call that fits into it counts as taken whether it was read or not.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::shared_stream::SharedStream;

/// Progress of the calls on a connection, which clones share.
#[derive(Clone, Debug, Default)]
pub(super) struct UploadState(Arc<UploadFlags>);

#[derive(Debug, Default)]
struct UploadFlags {
    /// Whether bytes of a call wait to be written to the socket.
    is_pending: AtomicBool,
    /// Whether the endpoint ended the connection after it was sent all calls.
    ended_whole: AtomicBool,
}

impl UploadState {
    /// Returns whether the endpoint ended the connection in order, after all bytes of the calls were sent to it.
    pub(super) fn ended_whole(&self) -> bool {
        self.0.ended_whole.load(Ordering::Acquire)
    }

    /// Returns whether all bytes of the calls were written to the socket.
    pub(super) fn is_written(&self) -> bool {
        !self.0.is_pending.load(Ordering::Acquire)
    }

    fn set_pending(&self, is_pending: bool) {
        self.0.is_pending.store(is_pending, Ordering::Release);
    }

    /// Records the end of what the endpoint sends.
    ///
    /// The caller closes its own side next, after which the socket no longer tells what waits to be sent.
    fn record_end(&self, stream: &SharedStream) {
        let is_whole = self.is_written() && stream.is_all_sent();
        self.0.ended_whole.store(is_whole, Ordering::Release);
    }
}

/// A stream that records the progress of the calls written to it.
#[derive(Debug)]
pub(super) struct UploadStream {
    stream: SharedStream,
    state: UploadState,
}

impl UploadStream {
    /// Records the progress of the calls on a new connection.
    pub(super) fn new(stream: SharedStream) -> Self {
        Self {
            stream,
            state: UploadState::default(),
        }
    }

    /// Returns a handle to the recorded progress.
    pub(super) fn state(&self) -> UploadState {
        self.state.clone()
    }
}

impl AsyncRead for UploadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if room > 0 && buffer.remaining() == room {
            self.state.record_end(&self.stream);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UploadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.set_pending(true);
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.set_pending(true);
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Records that nothing is left to be written: hyper flushes only after its last byte.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.state.set_pending(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
