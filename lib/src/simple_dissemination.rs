//! Distribution of views by broadcast: every instance gets the whole view on every change and in every
//! period.
//!
//! It is the baseline for measurements of [`crate::dissemination`].

use std::sync::Arc;
use std::time::Duration;

use crate::dissemination::Delta;
use crate::dissemination::Update;
use crate::view::Edit;
use crate::view::View;

/// Publisher that sends the whole view to all instances.
#[derive(Debug)]
pub struct SimplePublisher {
    view: Arc<View>,
}

impl SimplePublisher {
    /// Creates a publisher of a view.
    pub fn new(view: Arc<View>) -> Self {
        Self { view }
    }

    /// Replaces the published view.
    pub fn publish(&mut self, view: Arc<View>) {
        self.view = view;
    }

    /// Returns the message for all instances.
    pub fn broadcast(&self) -> Update {
        Update {
            epoch: 0,
            age: Duration::ZERO,
            settled: self.view.version(),
            delta: Delta {
                from: None,
                to: self.view.version(),
                edits: self.view.rules().cloned().map(Edit::Set).collect(),
            },
        }
    }
}
