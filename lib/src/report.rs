//! Results of a load test by class, computed from its samples.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::arrivals::PlannedRequest;
use crate::rules::Class;
use crate::view::View;
use crate::workload::Sample;

/// Quantile of times at which a class must meet its targets.
const TAIL_QUANTILE: f64 = 0.95;

/// Number of significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Tier of the class, 1 for the highest.
    pub tier: u8,
    /// Number of requests sent.
    pub offered: u64,
    /// Number of complete responses.
    pub completed: u64,
    /// Number of complete responses that met every target of the class.
    pub attained: u64,
    /// Number of attained requests multiplied by the weight of the class.
    pub goodput: u64,
    /// Number of output tokens in attained responses.
    pub useful: u64,
    /// Number of output tokens delivered in responses that missed a target or were incomplete.
    pub wasted: u64,
    /// Number of refused and failed requests by result code; 0 is a broken connection.
    pub refused: BTreeMap<u16, u64>,
    /// Median time to the first token in milliseconds.
    pub median: f64,
    /// 95th percentile of the time to the first token in milliseconds.
    pub tail: f64,
}

/// Results of a load test.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Results by class, highest tier first.
    pub classes: Vec<ClassReport>,
    /// Workspace with the lowest attainment.
    pub worst: String,
    /// Attainment of the worst-served workspace, from 0 to 1.
    pub floor: f64,
    /// Share of attained requests of all workspaces, from 0 to 1.
    pub attainment: f64,
    /// Number of attained requests multiplied by the weights of their classes.
    pub goodput: u64,
    /// Price of all endpoints for the duration of the test, divided by the goodput.
    pub cost: f64,
}

/// Computes the results of a load test from its schedule and the sample of each request.
pub fn summarise(
    view: &View,
    schedule: &[PlannedRequest],
    samples: &[Sample],
    duration: Duration,
) -> Report {
    let mut classes: BTreeMap<(u8, &str), ClassReport> = BTreeMap::new();
    let mut first_token_times: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    let mut workspaces: BTreeMap<&str, Attainment> = BTreeMap::new();
    for (planned, sample) in schedule.iter().zip(samples) {
        assert_eq!(planned.number, sample.number, "one sample per request");
        let Some(class) = view.class(planned.class) else {
            continue;
        };
        let report = classes.entry((class.tier, planned.class)).or_default();
        let attained = meets_targets(class, sample);
        count(report, class, sample, attained);
        workspaces
            .entry(&planned.workspace)
            .or_default()
            .add(attained);
        if let Some(first) = sample.first.filter(|_| sample.is_complete) {
            record(
                first_token_times
                    .entry(planned.class)
                    .or_insert_with(histogram),
                first,
            );
        }
    }
    for ((tier, name), report) in &mut classes {
        report.class = (*name).to_owned();
        report.tier = *tier;
        if let Some(times) = first_token_times.get(name) {
            report.median = milliseconds(times.value_at_quantile(0.5));
            report.tail = milliseconds(times.value_at_quantile(TAIL_QUANTILE));
        }
    }
    let classes: Vec<_> = classes.into_values().collect();
    let goodput = classes.iter().map(|c| c.goodput).sum();
    let worst = workspaces
        .iter()
        .min_by(|a, b| a.1.ratio().total_cmp(&b.1.ratio()));
    let price: f64 = view.endpoints().map(|e| e.price).sum();
    Report {
        worst: worst.map_or_else(String::new, |(name, _)| (*name).to_owned()),
        floor: worst.map_or(0.0, |(_, share)| share.ratio()),
        attainment: ratio(
            classes.iter().map(|c| c.attained).sum(),
            classes.iter().map(|c| c.offered).sum(),
        ),
        goodput,
        cost: price * duration.as_secs_f64() / 3600.0 / (goodput.max(1) as f64),
        classes,
    }
}

#[derive(Default)]
struct Attainment {
    offered: u64,
    attained: u64,
}

impl Attainment {
    fn add(&mut self, attained: bool) {
        self.offered += 1;
        self.attained += u64::from(attained);
    }

    fn ratio(&self) -> f64 {
        ratio(self.attained, self.offered)
    }
}

fn count(report: &mut ClassReport, class: &Class, sample: &Sample, attained: bool) {
    report.offered += 1;
    report.completed += u64::from(sample.is_complete);
    report.attained += u64::from(attained);
    if attained {
        report.goodput += u64::from(class.weight);
        report.useful += u64::from(sample.tokens);
    } else {
        report.wasted += u64::from(sample.tokens);
    }
    if !sample.is_complete {
        *report.refused.entry(sample.code.unwrap_or(0)).or_default() += 1;
    }
}

/// Returns whether the response is complete and met every target of its class.
pub fn meets_targets(class: &Class, sample: &Sample) -> bool {
    let within = |target: Option<Duration>, value: Option<Duration>| {
        target.is_none_or(|t| value.is_some_and(|v| v <= t))
    };
    let mut gaps = histogram();
    for gap in &sample.gaps {
        record(&mut gaps, *gap);
    }
    let gap = Duration::from_micros(gaps.value_at_quantile(TAIL_QUANTILE));
    sample.is_complete
        && within(class.first, sample.first)
        && within(class.between, Some(gap))
        && within(class.complete, Some(sample.total))
}

/// Returns an empty histogram of times in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let microseconds = time.as_micros().try_into().unwrap_or(u64::MAX);
    // A saturating record would clamp the time to the current range of a resizable histogram.
    histogram
        .record(microseconds)
        .expect("the histogram grows with its values");
}

fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1e3
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}

impl Report {
    /// Formats the results as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<10} {:>4} {:>8} {:>10} {:>10} {:>8} {:>8} {:>9} {:>9}  refused by code\n",
            "class",
            "tier",
            "offered",
            "completed",
            "attained",
            "goodput",
            "wasted",
            "p50 ms",
            "p95 ms"
        );
        for c in &self.classes {
            let refused: Vec<_> = c.refused.iter().map(|(k, n)| format!("{k}:{n}")).collect();
            text.push_str(&format!(
                "{:<10} {:>4} {:>8} {:>10} {:>9.1}% {:>8} {:>8} {:>9.1} {:>9.1}  {}\n",
                c.class,
                c.tier,
                c.offered,
                c.completed,
                100.0 * ratio(c.attained, c.offered),
                c.goodput,
                c.wasted,
                c.median,
                c.tail,
                refused.join(" ")
            ));
        }
        text.push_str(&format!(
            "all: attainment {:.1} %, goodput {}, worst-served workspace {} at {:.1} %, \
             cost per unit of goodput {:.6}\n",
            100.0 * self.attainment,
            self.goodput,
            self.worst,
            100.0 * self.floor,
            self.cost
        ));
        text
    }
}
