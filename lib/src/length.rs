//! Prediction of output lengths per class and workspace.
//!
//! The rule of a class gives a prior. The mean of the observed lengths of the class is blended with
//! it, and the mean of a workspace in the class is blended with the class estimate, so that a single
//! sample of a new workspace does not dominate its prediction.

use std::collections::HashMap;

/// Weight of a prior, in samples.
pub const PRIOR_SAMPLES: f64 = 8.0;

/// Number of samples from which older ones are discounted exponentially.
pub const MEMORY_SAMPLES: f64 = 200.0;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    samples: f64,
    sum: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        if self.samples >= MEMORY_SAMPLES {
            let keep = 1.0 - 1.0 / MEMORY_SAMPLES;
            self.samples *= keep;
            self.sum *= keep;
        }
        self.samples += 1.0;
        self.sum += value;
    }

    fn blend(&self, prior: f64) -> f64 {
        (prior * PRIOR_SAMPLES + self.sum) / (PRIOR_SAMPLES + self.samples)
    }
}

/// Learned output lengths; classes and workspaces are identified by their index in the scheduler.
#[derive(Debug, Default)]
pub struct Lengths {
    classes: HashMap<u32, Mean>,
    workspaces: HashMap<(u32, u32), Mean>,
}

impl Lengths {
    /// Returns the expected number of output tokens, capped at the limit of the request.
    pub fn predict(&self, class: u32, workspace: u32, prior: u32, limit: Option<u32>) -> f64 {
        let class_mean = self.classes.get(&class).copied().unwrap_or_default();
        let workspace_mean = self
            .workspaces
            .get(&(class, workspace))
            .copied()
            .unwrap_or_default();
        let expected = workspace_mean.blend(class_mean.blend(f64::from(prior)));
        limit.map_or(expected, |l| expected.min(f64::from(l)))
    }

    /// Records the output tokens of a request that ran to completion.
    pub fn observe(&mut self, class: u32, workspace: u32, output: u32) {
        let value = f64::from(output);
        self.classes.entry(class).or_default().add(value);
        self.workspaces
            .entry((class, workspace))
            .or_default()
            .add(value);
    }
}
