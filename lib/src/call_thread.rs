//! A thread that makes calls one after the other, so that a silent peer delays nothing else.

use std::io;
use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TryIter;
use crossbeam::channel::unbounded;

/// A running thread; it ends when this is dropped and the queued calls are made.
pub(crate) struct CallThread<T, R> {
    calls: Sender<T>,
    results: Receiver<(T, R)>,
}

impl<T: Send + 'static, R: Send + 'static> CallThread<T, R> {
    /// Starts the thread.
    pub(crate) fn start(name: &str, run: impl Fn(&T) -> R + Send + 'static) -> io::Result<Self> {
        let (calls, queue) = unbounded::<T>();
        let (finished, results) = unbounded();
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                for call in queue {
                    let result = run(&call);
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
            tracing::error!("a thread of exclusive calls has ended");
        }
    }

    /// Returns the calls that have ended, with their results.
    pub(crate) fn results(&self) -> TryIter<'_, (T, R)> {
        self.results.try_iter()
    }
}
