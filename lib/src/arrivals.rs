//! Seeded open-loop arrivals, the same for every policy that is compared.

use std::sync::Arc;
use std::time::Duration;

use crate::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::CallKind;
use crate::deployment::Deployment;
use crate::deployment::Kind;

/// A burst of one class.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The class.
    pub class: String,
    /// When it begins.
    pub start: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// By how much the rate of the class is multiplied.
    pub factor: f64,
}

/// One request of a schedule.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Number of the request, which its prompt or body carries as `call-<number>`.
    pub number: u64,
    /// Time from the start of the run.
    pub at: Duration,
    /// The workspace that makes it.
    pub workspace: String,
    /// Its class.
    pub class: &'static str,
    /// What it calls.
    pub call: CallKind,
    /// Whether a key is sent with it.
    pub keyed: bool,
    /// Prompt size in words.
    pub prompt: u32,
    /// Output size in tokens.
    pub output: u32,
    /// Whether the caller sends the same call again through another instance.
    pub resend: bool,
}

/// What a schedule is made from.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Arrivals a second.
    pub rate: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// Bursts on top of the rate.
    pub bursts: Vec<Burst>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Returns the schedule of a deployment in the order of time.
pub fn schedule(deployment: &Deployment, plan: &Plan) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let workspaces = Workspaces::new(&deployment.view());
    let total: f64 = deployment.kinds.iter().map(|k| k.share).sum();
    let mut planned = Vec::new();
    for kind in &deployment.kinds {
        let rate = plan.rate * kind.share / total;
        arrivals(kind, rate, plan, &workspaces, &mut rng, &mut planned);
    }
    planned.sort_by_key(|p| p.at);
    for (number, request) in planned.iter_mut().enumerate() {
        request.number = number as u64;
    }
    planned
}

/// Draws the Poisson arrivals of one kind by thinning, so that bursts only change the rate.
fn arrivals(
    kind: &Kind,
    rate: f64,
    plan: &Plan,
    workspaces: &Workspaces,
    rng: &mut StdRng,
    planned: &mut Vec<PlannedRequest>,
) {
    let bursts: Vec<_> = plan
        .bursts
        .iter()
        .filter(|b| b.class == kind.class)
        .collect();
    let peak = bursts.iter().map(|b| b.factor).fold(1.0, f64::max);
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / (rate * peak);
        let time = Duration::from_secs_f64(at);
        if time >= plan.duration {
            return;
        }
        let factor = bursts
            .iter()
            .filter(|b| time >= b.start && time < b.start + b.length)
            .map(|b| b.factor)
            .fold(1.0, f64::max);
        if rng.random::<f64>() * peak < factor {
            planned.push(request(kind, time, workspaces, rng));
        }
    }
}

/// Share of service calls that their callers send a second time.
const RESEND_SHARE: f64 = 0.2;

fn request(kind: &Kind, at: Duration, workspaces: &Workspaces, rng: &mut StdRng) -> PlannedRequest {
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

/// Workspaces drawn in proportion to their weight, which makes a few of them large.
struct Workspaces {
    names: Vec<(String, u32)>,
    total: u32,
}

impl Workspaces {
    fn new(view: &Arc<View>) -> Self {
        let mut names: Vec<_> = view
            .workspaces()
            .map(|w| (w.id.to_string(), w.weight))
            .collect();
        names.sort();
        let total = names.iter().map(|(_, weight)| weight).sum();
        Self { names, total }
    }

    fn draw(&self, rng: &mut StdRng) -> String {
        let mut left = rng.random_range(0..self.total);
        for (name, weight) in &self.names {
            if left < *weight {
                return name.clone();
            }
            left -= weight;
        }
        unreachable!("the weights add up to the total")
    }
}
