//! A replicated state in one process, with a clock that a test moves and messages that get lost.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fulmarford_lib::clock::Clock as _;
use fulmarford_lib::clock::ManualClock;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::Stamped;
use fulmarford_lib::command::Timestamp;
use fulmarford_lib::lease::LeaseGate;
use fulmarford_lib::state::State;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Names one life of one instance.
pub fn incarnation(instance: usize, number: u64) -> Incarnation {
    Incarnation {
        instance: format!("i{instance}").into(),
        number,
    }
}

/// The state, its leader's lease gate, and faults drawn from a seed.
#[derive(Debug)]
pub struct Harness {
    /// Source of all random choices.
    pub rng: StdRng,
    /// The clock of every process.
    pub clock: ManualClock,
    /// The state.
    pub state: State,
    /// Whether faults occur.
    pub faults: bool,
    gate: LeaseGate,
    start: Instant,
}

impl Harness {
    /// Creates an empty state on a clock that is a multiple of a minute after the Unix epoch.
    pub fn new(seed: u64) -> Self {
        let clock = ManualClock::default();
        clock.advance(Duration::from_secs(1_800_000_000));
        Self {
            rng: StdRng::seed_from_u64(seed),
            state: State::default(),
            faults: true,
            gate: LeaseGate::new(clock.now()),
            start: clock.now(),
            clock,
        }
    }

    /// Returns the present time of both clocks.
    pub fn now(&self) -> (Instant, SystemTime) {
        (self.clock.now(), self.clock.wall())
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.clock.now() - self.start
    }

    /// Draws whether a fault of this chance occurs now.
    pub fn draw_fault(&mut self, chance: f64) -> bool {
        self.faults && self.rng.random_bool(chance)
    }

    /// Restores the state from its snapshot at a new leader.
    ///
    /// # Panics
    ///
    /// Panics if the snapshot cannot be restored.
    pub fn change_leader(&mut self) {
        self.state = State::restore(&self.state.snapshot()).expect("the snapshot is valid");
        self.gate = LeaseGate::new(self.clock.now());
    }

    /// Applies a command; the request and the reply each get lost now and then.
    pub fn submit(&mut self, command: Command) -> Option<Reply> {
        if self.draw_fault(0.1) {
            return None;
        }
        let (now, wall) = self.now();
        let command = self.gate.prepare(now, self.state.leases(), command);
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        let at = Timestamp(since.unwrap_or_default().as_millis() as u64);
        let index = self.state.index() + 1;
        let reply = self.state.apply(index, &Stamped { at, command });
        (!self.draw_fault(0.1)).then_some(reply)
    }
}
