//! The requests of an instance whose response is not complete.
//!
//! A stopping process names those that it cuts, since nothing else records them: their tasks are dropped.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use crate::clock::Clock;

/// A request whose response is not complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// ID of the request; empty until its head was parsed.
    pub id: String,
    /// Time at which the head had arrived.
    pub arrived: Instant,
}

#[derive(Debug, Default)]
struct Entries {
    next: u64,
    by_number: BTreeMap<u64, OpenRequest>,
}

/// Registry of open requests, which clones share.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Arc<Mutex<Entries>>);

/// Keeps a request registered as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    requests: OpenRequests,
    number: u64,
}

impl OpenRequests {
    /// Registers a request whose head has arrived.
    pub fn open(&self, clock: &dyn Clock) -> OpenRequestGuard {
        let arrived = clock.now();
        let mut entries = self.lock();
        let number = entries.next;
        entries.next += 1;
        let id = String::new();
        entries
            .by_number
            .insert(number, OpenRequest { id, arrived });
        drop(entries);
        OpenRequestGuard {
            requests: self.clone(),
            number,
        }
    }

    /// Returns the open requests, the oldest first.
    pub fn list(&self) -> Vec<OpenRequest> {
        self.lock().by_number.values().cloned().collect()
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.lock().by_number.len()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().expect("open requests lock poisoned")
    }
}

impl OpenRequestGuard {
    /// Sets the ID of the request.
    pub fn set_id(&self, id: &str) {
        if let Some(request) = self.requests.lock().by_number.get_mut(&self.number) {
            id.clone_into(&mut request.id);
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.requests.lock().by_number.remove(&self.number);
    }
}
