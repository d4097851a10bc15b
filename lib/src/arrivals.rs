//! Seeded open-loop arrival schedules, so that all compared policies get the same requests.

use std::sync::Arc;
use std::time::Duration;

use crate::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::CallKind;
use crate::deployment::Deployment;
use crate::deployment::RequestKind;

/// A temporary increase of the arrival rate of one class.
#[derive(Clone, Debug)]
pub struct Burst {
    /// Class whose rate increases.
    pub class: String,
    /// Start, from the beginning of the schedule.
    pub start: Duration,
    /// Duration of the burst.
    pub length: Duration,
    /// Factor on the arrival rate of the class.
    pub factor: f64,
}

/// One request of a schedule.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Number of the request; its prompt or body contains it as `call-<number>`.
    pub number: u64,
    /// Arrival time, from the start of the run.
    pub at: Duration,
    /// Workspace that sends it.
    pub workspace: String,
    /// Class of the request.
    pub class: &'static str,
    /// Model or service that it calls.
    pub call: CallKind,
    /// Whether it carries the API key of the workspace.
    pub keyed: bool,
    /// Prompt length in words.
    pub prompt: u32,
    /// Output length in tokens.
    pub output: u32,
    /// Whether the caller also sends the same call through another instance.
    pub resend: bool,
}

/// Parameters of a schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Arrivals per second, over all classes.
    pub rate: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// Bursts, which multiply the rates of their classes.
    pub bursts: Vec<Burst>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Returns the schedule of a deployment, sorted by arrival time.
pub fn schedule(deployment: &Deployment, plan: &Plan) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let workspaces = Workspaces::new(&deployment.view());
    let total: f64 = deployment.request_kinds.iter().map(|k| k.share).sum();
    let mut planned = Vec::new();
    for kind in &deployment.request_kinds {
        let rate = plan.rate * kind.share / total;
        add_arrivals(kind, rate, plan, &workspaces, &mut rng, &mut planned);
    }
    planned.sort_by_key(|p| p.at);
    for (number, request) in planned.iter_mut().enumerate() {
        request.number = number as u64;
    }
    planned
}

/// Appends the arrivals of one kind, drawn from a Poisson process with time-varying rate by thinning.
fn add_arrivals(
    kind: &RequestKind,
    rate: f64,
    plan: &Plan,
    workspaces: &Workspaces,
    rng: &mut StdRng,
    planned: &mut Vec<PlannedRequest>,
) {
    let bursts: Vec<_> = plan
        .bursts
        .iter()
        .filter(|burst| burst.class == kind.class)
        .collect();
    let peak = bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / (rate * peak);
        let time = Duration::from_secs_f64(at);
        if time >= plan.duration {
            return;
        }
        let factor = bursts
            .iter()
            .filter(|burst| time >= burst.start && time < burst.start + burst.length)
            .map(|burst| burst.factor)
            .fold(1.0, f64::max);
        if rng.random::<f64>() * peak < factor {
            planned.push(request(kind, time, workspaces, rng));
        }
    }
}

/// Share of service calls that their callers send twice.
const RESEND_SHARE: f64 = 0.2;

fn request(
    kind: &RequestKind,
    at: Duration,
    workspaces: &Workspaces,
    rng: &mut StdRng,
) -> PlannedRequest {
    let (prompt, output) = match &kind.call {
        CallKind::Chat { prompt, output, .. } => (
            rng.random_range(prompt.clone()),
            rng.random_range(output.clone()),
        ),
        CallKind::Service { .. } => (0, 0),
    };
    PlannedRequest {
        number: 0,
        at,
        workspace: workspaces.draw(rng),
        class: kind.class,
        call: kind.call.clone(),
        keyed: kind.keyed,
        prompt,
        output,
        resend: output == 0 && rng.random_bool(RESEND_SHARE),
    }
}

/// Samples workspaces in proportion to their weights, so that a few of them cause most requests.
struct Workspaces {
    weights: Vec<(String, u32)>,
    total: u32,
}

impl Workspaces {
    fn new(view: &Arc<View>) -> Self {
        let mut weights: Vec<_> = view
            .workspaces()
            .map(|w| (w.id.to_string(), w.weight))
            .collect();
        weights.sort();
        let total = weights.iter().map(|(_, weight)| weight).sum();
        Self { weights, total }
    }

    fn draw(&self, rng: &mut StdRng) -> String {
        let mut remaining = rng.random_range(0..self.total);
        for (name, weight) in &self.weights {
            if remaining < *weight {
                return name.clone();
            }
            remaining -= weight;
        }
        unreachable!("the weights add up to the total")
    }
}
