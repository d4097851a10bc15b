//! Start-time fair queueing among workspaces that wait for the same slots.
//!
//! A burst of one workspace must not delay the callers of others, so waiting workspaces take turns
//! in proportion to their weights. Each workspace has a virtual time of its next start, which a
//! dispatched request advances by its expected tokens divided by the weight; the workspace with the
//! lowest one is next. Only what was dispatched while others waited counts: the virtual times are
//! forgotten when nothing waits, and a workspace that begins to wait starts no earlier than the
//! others, so it gets no credit for idle time either.

use std::collections::HashMap;

/// Units of virtual time per token at weight 1.
const UNITS_PER_TOKEN: f64 = 1000.0;

/// Number of workspaces beyond the waiting ones for which virtual times are kept.
const MAX_IDLE_WORKSPACES: usize = 64;

/// Virtual time of one queue.
#[derive(Debug, Default)]
pub struct VirtualClock {
    /// Lowest start of a workspace that waited when a request was last dispatched.
    now: u64,
    /// End of the last dispatched request by workspace.
    ends: HashMap<u32, u64>,
}

impl VirtualClock {
    /// Returns the virtual time at which a workspace is served next.
    pub fn start(&self, workspace: u32) -> u64 {
        self.ends
            .get(&workspace)
            .map_or(self.now, |e| self.now.max(*e))
    }

    /// Records the dispatch of a request, and returns the next start of its workspace.
    ///
    /// `lowest` is the lowest start of all waiting workspaces, and `waiting` their number.
    pub fn serve(
        &mut self,
        workspace: u32,
        start: u64,
        units: u64,
        lowest: u64,
        waiting: usize,
    ) -> u64 {
        self.now = self.now.max(lowest);
        let end = start.saturating_add(units);
        self.ends.insert(workspace, end);
        if self.ends.len() > 2 * waiting + MAX_IDLE_WORKSPACES {
            let now = self.now;
            self.ends.retain(|_, end| *end > now);
        }
        end
    }

    /// Forgets what was dispatched.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Returns the virtual time that a number of tokens takes at a weight.
pub fn units(tokens: f64, weight: f64) -> u64 {
    // The conversion saturates.
    (tokens * UNITS_PER_TOKEN / weight.max(f64::MIN_POSITIVE)) as u64
}

/// Returns the number of tokens at a weight that a virtual time corresponds to.
pub fn tokens(units: u64, weight: f64) -> f64 {
    units as f64 * weight / UNITS_PER_TOKEN
}
