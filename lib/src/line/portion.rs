//! Division of a service's engines among kinds of requests, and the portion of each kind that may start.
//!
//! It answers long prompts that come in a burst beside short urgent requests while a zone of engines is taken
//! back. Every chunk of a prompt delays the tokens of all streams on the engine, which then hold their slots
//! longer: with a fraction `r` of the time spent on reading, a stream lasts `1 / (1 - r)` times as long. An
//! engine has room for streams that need `s` slots undisturbed if `s / (1 - r) <= slots`, that is, if
//! `r + s / slots <= 1`. Reading and slots are therefore two parts of one quantity, the time of engines, of
//! which each kind has a need. The more urgent kinds get what they need first.
//!
//! All instances compute the same from the same sums, so that they agree without a message of their own.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::service_load::LONG_PROMPT_TOKENS;

/// Fraction of the engines' time that the group with the more urgent requests is given to use. The busiest
/// engine has 1.31 times the mean load (`docs/measurements.md`), and must not be beyond its capacity.
const FIRST_USE: f64 = 0.76;

/// Fraction of the engines' time that the other group may use. Uneven load lasts as long as the reports of
/// load are old, which is a fraction of the time that less urgent callers have.
const REST_USE: f64 = 0.95;

/// Fraction of the engines' time that a kind of request gets at least, if it needs it, so that none starves.
const FLOOR: f64 = 0.05;

/// Requests that are alike in urgency and in how they load an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind {
    /// Urgency, 0 for the most urgent.
    pub urgency: u8,
    /// Whether the prompt counts as long ([`crate::service_load::LONG_PROMPT_TOKENS`]).
    pub is_long: bool,
}

/// Load by requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindLoad {
    /// Prompt tokens to read per second.
    pub read: f64,
    /// Slots that the streams hold if nothing delays them.
    pub slots: f64,
}

impl Kind {
    /// Returns the kind of a request with this urgency and length of the prompt in tokens.
    pub fn of(urgency: u8, prompt: u32) -> Self {
        Self {
            urgency,
            is_long: prompt >= LONG_PROMPT_TOKENS,
        }
    }
}

impl KindLoad {
    /// Adds the load from another instance.
    pub fn add(&mut self, other: &Self) {
        self.read += other.read;
        self.slots += other.slots;
    }

    /// Returns the number of engines of which the load takes all the time.
    pub fn need(&self, engine: EngineCapacity) -> f64 {
        self.read / (engine.rate * 1_000.0) + self.slots / engine.slots
    }
}

/// Loads by kind.
pub type KindLoads = BTreeMap<Kind, KindLoad>;

/// Capacity of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens read per millisecond.
    pub rate: f64,
    /// Requests that run at the same time.
    pub slots: f64,
}

/// Division of the engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Division {
    /// Number of engines for long prompts, or `None` if no division is needed.
    pub long_engines: Option<usize>,
    /// Whether the engines lack time for all requests.
    pub is_short: bool,
    /// Portion of the load that may start, for the kinds of which not everything may.
    pub portions: BTreeMap<Kind, f64>,
}

impl Division {
    /// Returns the portion of the load of a kind that may start.
    pub fn portion(&self, kind: Kind) -> f64 {
        self.portions.get(&kind).copied().unwrap_or(1.0)
    }
}

/// Divides `engines` engines among the kinds of requests.
pub fn divide(loads: &KindLoads, engines: usize, engine: EngineCapacity) -> Division {
    let is_valid = engine.rate > 0.0 && engine.slots > 0.0;
    if engines == 0 || !is_valid {
        return Division::default();
    }
    let group = |is_long| -> Vec<(Kind, f64)> {
        let loads = loads.iter().filter(|(kind, _)| kind.is_long == is_long);
        let needs = loads.map(|(kind, load)| (*kind, load.need(engine)));
        needs.filter(|(_, need)| *need > 0.0).collect()
    };
    let (short, long) = (group(false), group(true));
    let all = engines as f64;
    if short.is_empty() || long.is_empty() || engines < 2 {
        let mut needs = [short, long].concat();
        needs.sort_unstable_by_key(|(kind, _)| *kind);
        let mut portions = portions(&needs, all * REST_USE);
        // Engines order what they have by urgency themselves.
        if let Some((most_urgent, _)) = needs.first() {
            portions.remove(most_urgent);
        }
        return Division {
            long_engines: None,
            is_short: !portions.is_empty(),
            portions,
        };
    }
    let is_long_first = mean_urgency(&long) < mean_urgency(&short);
    let (first, rest) = match is_long_first {
        true => (&long, &short),
        false => (&short, &long),
    };
    let first_engines = total(first) / FIRST_USE;
    let rest_engines = total(rest) / REST_USE;
    let is_short = first_engines + rest_engines > all;
    let first_count = match is_short {
        true => first_engines.min(all * (1.0 - FLOOR)),
        // What is left over follows the need.
        false => all * first_engines / (first_engines + rest_engines),
    };
    let first_count = (first_count.ceil() as usize).clamp(1, engines - 1);
    let rest_count = engines - first_count;
    Division {
        long_engines: Some(match is_long_first {
            true => first_count,
            false => rest_count,
        }),
        is_short,
        // The more urgent group starts at once, so that no admission pays for what is less urgent.
        portions: match is_short {
            true => portions(rest, rest_count as f64 * REST_USE),
            false => BTreeMap::new(),
        },
    }
}

fn total(needs: &[(Kind, f64)]) -> f64 {
    needs.iter().map(|(_, need)| need).sum()
}

fn mean_urgency(needs: &[(Kind, f64)]) -> f64 {
    let weighted = needs.iter().map(|(kind, n)| f64::from(kind.urgency) * n);
    weighted.sum::<f64>() / total(needs)
}

/// Returns the portions below 1 of kinds that are sorted by urgency and share the time of `room` engines.
fn portions(needs: &[(Kind, f64)], room: f64) -> BTreeMap<Kind, f64> {
    let mut portions = BTreeMap::new();
    let mut left = room;
    for (i, (kind, need)) in needs.iter().enumerate() {
        let less_urgent = needs[i + 1..].iter();
        let reserved: f64 = less_urgent.map(|(_, n)| n.min(room * FLOOR)).sum();
        let given = need.min((left - reserved).max(room * FLOOR));
        left = (left - given).max(0.0);
        if given < *need {
            portions.insert(*kind, given / need);
        }
    }
    portions
}
