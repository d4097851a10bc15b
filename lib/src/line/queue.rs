//! The order in which the requests that wait at this instance start, and which of them are refused.
//!
//! It answers load beyond what the engines of a service have time for. Of each kind of request, this instance
//! may start what its share of the portion allows ([`crate::line::portion`]); the rest waits in a lane for its
//! kind:
//!
//! * Requests whose response can still be on time go first, since one that is late anyway loses nothing by
//!   waiting longer. Among them, workspaces take turns ([`crate::fairness`]), and within a workspace the one
//!   that has to start first is next.
//! * Those that can only be late come after them, by the latest start that the caller's time allows. They get
//!   a share of the starts in any case, so that their wait has a bound.
//! * A request that will not start in time is refused when this is known, which is on arrival unless the
//!   portions shrink later. It is told when there will be room.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::fairness;
use crate::fairness::VirtualClock;
use crate::line::portion::Kind;
use crate::service_load::DECAY_TIME;

/// Fraction of the starts that requests get which can only be late, while others could be on time.
const LATE_SHARE: f64 = 0.5;

/// Largest number of requests that wait at an instance for a service.
pub const MAX_WAITING: usize = 1_000;

/// Largest size of the requests that wait at an instance for a service, in bytes.
pub const MAX_BYTES: usize = 16 << 20;

/// Time for which a rate that was not used may be used later. An instance of a large cluster sees few requests
/// of a kind, which come at irregular times; over this time demand is averaged as well.
const CREDIT_TIME: Duration = DECAY_TIME;

/// Longest wait that is told apart.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Interval within which the line is looked at again, so that smaller portions are noticed.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Shortest time after which the line is looked at again.
const MIN_PAUSE: Duration = Duration::from_millis(5);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// How fast the requests of one kind may start at this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flow {
    /// They start at once.
    Open,
    /// They start at a limited rate.
    Paced {
        /// Time of engines that may be taken per second, in seconds.
        rate: f64,
        /// Time of engines that arriving requests need per second, in seconds.
        arrivals: f64,
    },
}

/// A request that asks for its turn.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Its kind.
    pub kind: Kind,
    /// Identifies its workspace.
    pub workspace: u32,
    /// Time that it takes of an engine, in seconds.
    pub cost: f64,
    /// Latest start with which its response is on time.
    pub on_time: Instant,
    /// Latest start that the caller's time allows.
    pub latest: Instant,
    /// Bytes that it holds.
    pub size: usize,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It starts.
    Start,
    /// It is refused.
    Refuse {
        /// Time until there is room for a request like it.
        room: Duration,
    },
}

/// Requests of one kind.
#[derive(Debug)]
struct Lane {
    flow: Flow,
    /// Time of engines that may be taken at once, in seconds; negative after a start.
    credit: f64,
    credited: Instant,
    /// Time of engines that late requests are owed, in seconds.
    late_due: f64,
    on_time: Vec<Entry>,
    late: Vec<Entry>,
    clock: VirtualClock,
}

impl Lane {
    fn new(now: Instant) -> Self {
        Self {
            flow: Flow::Open,
            credit: 0.0,
            credited: now,
            late_due: 0.0,
            on_time: Vec::new(),
            late: Vec::new(),
            clock: VirtualClock::default(),
        }
    }

    fn set_flow(&mut self, now: Instant, flow: Flow) {
        let elapsed = now.saturating_duration_since(self.credited).as_secs_f64();
        self.credit = match self.flow {
            Flow::Open => 0.0,
            Flow::Paced { rate, .. } => {
                let most = rate * CREDIT_TIME.as_secs_f64();
                (self.credit + rate * elapsed).min(most)
            }
        };
        self.credited = now;
        self.flow = flow;
    }

    /// Returns the time until a request starts before which `ahead` seconds of engines are taken, if late
    /// requests get `late` seconds of engines at `share` of the rate first.
    fn wait(&self, ahead: f64, late: f64, share: f64) -> Duration {
        let Flow::Paced { rate, .. } = self.flow else {
            return Duration::ZERO;
        };
        let seconds = (ahead - self.credit).max(0.0) / rate + late.max(0.0) / (rate * share);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        wait.min(MAX_WAIT)
    }

    fn on_time_wait(&self) -> Duration {
        // Late requests may come at any time, and the line is not looked at all the time.
        let ahead = cost_of(&self.on_time) / (1.0 - LATE_SHARE) + self.late_due;
        self.wait(ahead, 0.0, 1.0) + MAX_PAUSE
    }

    /// Returns the time until a late request starts, where it and those before it need `cost` seconds of
    /// engines.
    fn late_wait(&self, cost: f64) -> Duration {
        let Flow::Paced { rate, arrivals } = self.flow else {
            return Duration::ZERO;
        };
        let share = (1.0 - arrivals / rate).max(LATE_SHARE);
        self.wait(0.0, cost - self.late_due, share)
    }

    /// Adds a request, or returns what becomes of it instead.
    fn add(&mut self, now: Instant, entry: Entry) -> Option<Turn> {
        if now + self.on_time_wait() <= entry.on_time {
            self.on_time.push(entry);
            return None;
        }
        let place = self.late.partition_point(|e| e.latest <= entry.latest);
        let wait = self.late_wait(cost_of(&self.late[..place]) + entry.cost) + MAX_PAUSE;
        let left = entry.latest.saturating_duration_since(now);
        if wait > left {
            return Some(Turn::Refuse { room: wait - left });
        }
        if let Some(room) = self.lack_after(now, place, entry.cost) {
            return Some(Turn::Refuse { room });
        }
        self.late.insert(place, entry);
        None
    }

    /// Returns the time that late requests from `place` on would lack if a request of this cost went before
    /// them, or `None` if they would still start in time.
    fn lack_after(&self, now: Instant, place: usize, cost: f64) -> Option<Duration> {
        let mut ahead = cost_of(&self.late[..place]) + cost;
        let lacks = self.late[place..].iter().filter_map(|entry| {
            ahead += entry.cost;
            let wait = self.late_wait(ahead) + MAX_PAUSE;
            let lack = wait.checked_sub(entry.latest.saturating_duration_since(now));
            lack.filter(|lack| !lack.is_zero())
        });
        lacks.max()
    }

    /// Takes the request that is next.
    fn next(&mut self) -> Option<Entry> {
        let late_cost = self.late.first().map(|entry| entry.cost);
        if let Some(cost) = late_cost
            && (self.on_time.is_empty() || self.late_due >= cost)
        {
            self.late_due = (self.late_due - cost).max(0.0);
            return Some(self.late.remove(0));
        }
        let start = |entry: &Entry| self.clock.start(entry.workspace);
        let order = |i: &usize| (start(&self.on_time[*i]), self.on_time[*i].on_time);
        let first = (0..self.on_time.len()).min_by_key(order)?;
        let lowest = start(&self.on_time[first]);
        let waiting = self.on_time.len();
        let entry = self.on_time.swap_remove(first);
        let units = fairness::units(entry.cost, 1.0);
        self.clock
            .serve(entry.workspace, lowest, units, lowest, waiting);
        self.late_due += match late_cost {
            Some(_) => entry.cost * LATE_SHARE / (1.0 - LATE_SHARE),
            None => 0.0,
        };
        Some(entry)
    }

    /// Takes the requests whose turn it is or that will not start in time.
    fn pump(&mut self, now: Instant, turns: &mut Vec<(Entry, Turn)>) {
        while self.flow == Flow::Open || self.credit >= 0.0 {
            let Some(entry) = self.next() else {
                break;
            };
            // A process that was suspended may find requests whose time has passed.
            let turn = match now > entry.latest {
                true => Turn::Refuse {
                    room: Duration::ZERO,
                },
                false => Turn::Start,
            };
            if turn == Turn::Start && self.flow != Flow::Open {
                self.credit -= entry.cost;
            }
            turns.push((entry, turn));
        }
        let is_missed = |entry: &mut Entry| now > entry.on_time;
        let missed: Vec<_> = self.on_time.extract_if(.., is_missed).collect();
        for entry in missed {
            if let Some(turn) = self.add(now, entry) {
                turns.push((entry, turn));
            }
        }
        if self.on_time.is_empty() && self.late.is_empty() {
            self.clock.reset();
            self.late_due = 0.0;
        }
        let mut cost = 0.0;
        let mut kept = Vec::with_capacity(self.late.len());
        for entry in std::mem::take(&mut self.late) {
            let wait = self.late_wait(cost + entry.cost);
            let left = entry.latest.saturating_duration_since(now);
            if wait > left {
                turns.push((entry, Turn::Refuse { room: wait - left }));
            } else {
                cost += entry.cost;
                kept.push(entry);
            }
        }
        self.late = kept;
    }

    fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.on_time.iter().chain(&self.late)
    }

    fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }
}

fn cost_of(entries: &[Entry]) -> f64 {
    entries.iter().map(|entry| entry.cost).sum()
}

/// Requests that wait at this instance for one service.
#[derive(Debug, Default)]
pub struct Line {
    lanes: BTreeMap<Kind, Lane>,
}

impl Line {
    /// Sets how fast the requests of a kind may start.
    pub fn set_flow(&mut self, now: Instant, kind: Kind, flow: Flow) {
        let lane = self.lanes.entry(kind).or_insert_with(|| Lane::new(now));
        lane.set_flow(now, flow);
    }

    /// Lets a request join the line, or returns what becomes of it at once.
    pub fn join(&mut self, now: Instant, entry: Entry) -> Option<Turn> {
        let (count, size) = (self.len(), self.size());
        let lane = self.lanes.entry(entry.kind);
        let lane = lane.or_insert_with(|| Lane::new(now));
        if lane.flow == Flow::Open {
            return Some(Turn::Start);
        }
        if lane.is_empty() && lane.credit >= 0.0 && now <= entry.latest {
            lane.credit -= entry.cost;
            return Some(Turn::Start);
        }
        if count >= MAX_WAITING || size + entry.size > MAX_BYTES {
            let room = lane.late_wait(cost_of(&lane.late));
            return Some(Turn::Refuse { room });
        }
        lane.add(now, entry)
    }

    /// Returns the requests whose turn it is, the most urgent first, and those that will not start in time.
    pub fn pump(&mut self, now: Instant) -> Vec<(Entry, Turn)> {
        let mut turns = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.set_flow(now, lane.flow);
            lane.pump(now, &mut turns);
        }
        turns
    }

    /// Removes a request whose caller has left.
    pub fn leave(&mut self, ticket: Ticket) {
        for lane in self.lanes.values_mut() {
            lane.on_time.retain(|entry| entry.ticket != ticket);
            lane.late.retain(|entry| entry.ticket != ticket);
        }
    }

    /// Returns the time after which the line is to be pumped again, or `None` if nothing waits.
    pub fn pause(&self) -> Option<Duration> {
        let lanes = self.lanes.values().filter(|lane| !lane.is_empty());
        let wait = lanes.map(|lane| lane.wait(0.0, 0.0, 1.0)).min()?;
        Some(wait.clamp(MIN_PAUSE, MAX_PAUSE))
    }

    /// Returns the waiting requests.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.lanes.values().flat_map(Lane::entries)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let lanes = self.lanes.values();
        lanes.map(|lane| lane.on_time.len() + lane.late.len()).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(Lane::is_empty)
    }

    /// Returns the bytes that the waiting requests hold.
    pub fn size(&self) -> usize {
        self.entries().map(|entry| entry.size).sum()
    }
}
