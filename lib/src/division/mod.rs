//! Division of a service's engines between long and short prompts.
//!
//! Job: while engines read a long prompt, the tokens of all streams beside it wait, so that long prompts keep to
//! some of the engines. The load that this answers is a burst of long prompts while a zone of engines is taken
//! back: the engines that remain have no time for both groups, and a division in proportion lets the more urgent
//! group pay for the other one.
//!
//! Input are the engines that each group needs and which group is more urgent. Output is the number of engines for
//! long prompts, and whether a group must keep to its own ([`Division`]). The part does no I/O and depends on
//! nothing; [`crate::fleet`] depends on it (`docs/design/division.md`).

/// Engines that the two groups of requests need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Needs {
    /// Engines that requests with long prompts need.
    pub long: f64,
    /// Engines that all other requests need.
    pub short: f64,
}

/// A group of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Requests with long prompts.
    Long,
    /// All other requests.
    Short,
}

/// A division of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Number of engines that take long prompts.
    pub long: usize,
    /// The group that must not use the engines of the other one, as there are too few for both.
    pub confined: Option<Group>,
}

/// Divides `engines` engines, of which there must be two or more.
///
/// Without an `urgent` group, both shrink in proportion if there are too few engines. With one, it gets what it
/// needs, and the other one keeps a single engine at least, so that it does not starve.
pub fn divide(engines: usize, needs: Needs, urgent: Option<Group>) -> Division {
    let long = needs.long.ceil();
    let is_short_of = long + needs.short > engines as f64;
    let most = engines - 1;
    // The conversions saturate.
    let (count, confined) = match urgent.filter(|_| is_short_of) {
        Some(Group::Long) => (long as usize, Some(Group::Short)),
        Some(Group::Short) => {
            let left = engines.saturating_sub(needs.short.ceil() as usize);
            (left, Some(Group::Long))
        }
        None => {
            let scale_down = (engines as f64 / (long + needs.short)).min(1.0);
            ((long * scale_down).round() as usize, None)
        }
    };
    Division {
        long: count.clamp(1, most),
        confined,
    }
}
