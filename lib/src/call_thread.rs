//! A worker thread that makes blocking calls one at a time, so that a silent peer delays nothing else.

use std::io;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TryIter;
use crossbeam::channel::unbounded;

use crate::supervision;
use crate::supervision::FromPanic;

/// A handle of the worker thread.
///
/// After the handle is dropped, the thread makes the call in progress and then exits.
pub(crate) struct CallThread<T, R> {
    calls: Sender<T>,
    results: Receiver<(T, R)>,
}

impl<T: Send + 'static, R: FromPanic + Send + 'static> CallThread<T, R> {
    /// Starts a thread that makes each call with `run`.
    ///
    /// A call that panics has a result as well, because the caller would wait for it forever.
    pub(crate) fn start(name: &str, run: impl Fn(&T) -> R + Send + 'static) -> io::Result<Self> {
        let (calls, queue) = unbounded::<T>();
        let (finished, results) = unbounded();
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                for call in queue {
                    let result = supervision::contain(|| run(&call));
                    if finished.send((call, result)).is_err() {
                        return;
                    }
                }
            })?;
        Ok(Self { calls, results })
    }

    /// Queues a call.
    pub(crate) fn send(&self, call: T) {
        if self.calls.send(call).is_err() {
            tracing::error!("dropped a call because its worker thread has exited");
        }
    }

    /// Returns the calls completed so far with their results, without blocking.
    pub(crate) fn results(&self) -> TryIter<'_, (T, R)> {
        self.results.try_iter()
    }
}
