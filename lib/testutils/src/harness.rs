//! A replicated state in one process, with a manual clock and lost messages.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fulmarford_lib::clock::Clock as _;
use fulmarford_lib::clock::ManualClock;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::command::Reply;
use fulmarford_lib::command::StampedCommand;
use fulmarford_lib::command::Timestamp;
use fulmarford_lib::lease::LeaseGate;
use fulmarford_lib::state::State;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns the incarnation of a test instance with a number.
pub fn incarnation(instance: usize, number: u64) -> Incarnation {
    Incarnation {
        instance: format!("i{instance}").into(),
        number,
    }
}

/// The state, the lease gate of its leader, and seeded random faults.
#[derive(Debug)]
pub struct Harness {
    /// Random number generator of the simulation.
    pub rng: StdRng,
    /// The clock that all simulated processes share.
    pub clock: ManualClock,
    /// The state.
    pub state: State,
    /// Whether random faults are enabled.
    pub faults: bool,
    gate: LeaseGate,
    start: Instant,
}

impl Harness {
    /// Creates an empty state; the wall clock starts at a whole minute.
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

    /// Returns the current monotonic and wall-clock time.
    pub fn now(&self) -> (Instant, SystemTime) {
        (self.clock.now(), self.clock.wall())
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.clock.now() - self.start
    }

    /// Returns whether a fault with this probability occurs, which it never does if faults are
    /// disabled.
    pub fn draw_fault(&mut self, chance: f64) -> bool {
        self.faults && self.rng.random_bool(chance)
    }

    /// Simulates a change of the leader: the state is restored from its snapshot, with a new lease
    /// gate.
    ///
    /// # Panics
    ///
    /// Panics if the snapshot cannot be restored.
    pub fn change_leader(&mut self) {
        self.state = State::restore(&self.state.snapshot()).expect("the snapshot is valid");
        self.gate = LeaseGate::new(self.clock.now());
    }

    /// Applies a command; the request and the reply are each lost with a probability of 10 %.
    pub fn submit(&mut self, command: Command) -> Option<Reply> {
        if self.draw_fault(0.1) {
            return None;
        }
        let (now, wall) = self.now();
        let command = self.gate.prepare(now, self.state.leases(), command);
        let since = wall.duration_since(SystemTime::UNIX_EPOCH);
        let at = Timestamp(since.unwrap_or_default().as_millis() as u64);
        let index = self.state.index() + 1;
        let reply = self.state.apply(index, &StampedCommand { at, command });
        (!self.draw_fault(0.1)).then_some(reply)
    }
}
