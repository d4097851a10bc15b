//! Tests of the interface between traffic threads and the control thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::clock::Clock;
use fulmarford_lib::clock::ManualClock;
use fulmarford_lib::clock::SystemClock;
use fulmarford_lib::cluster_control::ClusterControl;
use fulmarford_lib::command::Command;
use fulmarford_lib::command::Incarnation;
use fulmarford_lib::control::Control;
use fulmarford_lib::control::SubmitError;
use fulmarford_lib::control_shared::Published;
use fulmarford_lib::control_shared::Request;
use fulmarford_lib::control_shared::Shared;
use fulmarford_lib::view::View;
use googletest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn control(shared: &Arc<Shared>) -> ClusterControl {
    let incarnation = Incarnation {
        instance: "a".into(),
        number: 1,
    };
    ClusterControl::new(incarnation, shared.clone(), Arc::new(SystemClock))
}

fn command() -> Command {
    Command::ClearSuspect { fingerprint: 1 }
}

/// Guards against serving from a view after its lease has ended on one of the clocks.
#[gtest]
fn valid_view_checks_both_clocks() {
    let clock = ManualClock::default();
    let (now, wall) = (clock.now(), clock.wall());
    let published = Published {
        view: Some(Arc::new(View::default())),
        lease_end: Some(now + 1_000 * MS),
        wall_lease_end: Some(wall + 1_000 * MS),
    };
    expect_true!(
        published
            .valid_view(now + 999 * MS, wall + 999 * MS)
            .is_some()
    );
    expect_true!(
        published
            .valid_view(now + 1_000 * MS, wall + 1_000 * MS)
            .is_none()
    );
    // The machine was suspended for an hour, during which the monotonic clock stopped.
    let hour = Duration::from_secs(3_600);
    expect_true!(published.valid_view(now + 10 * MS, wall + hour).is_none());
    // A wall clock that was set back does not extend the lease.
    expect_true!(
        published
            .valid_view(now + 1_000 * MS, wall - hour)
            .is_none()
    );
    expect_true!(Published::default().valid_view(now, wall).is_none());
}

/// Guards against the result "not proposed" for a command that the control thread has taken, and
/// against the result "unknown" for one that it has not.
#[gtest]
fn submit_claimed_or_withdrawn() {
    let (shared, requests) = Shared::new(fulmarford_lib::command::UsageTerms::default());
    let answer = control(&shared).submit(command(), 50 * MS);
    expect_that!(answer, eq(&Err(SubmitError::NotProposed)));
    let Ok(Request::Submit { claim, .. }) = requests.try_recv() else {
        panic!("no command was sent");
    };
    // The caller has withdrawn the command, so the control thread must not propose it.
    expect_false!(claim.take());
    let taker = thread::spawn(move || {
        let Ok(Request::Submit { claim, reply, .. }) = requests.recv() else {
            panic!("no command was sent");
        };
        assert!(claim.take(), "the command was withdrawn");
        thread::sleep(200 * MS);
        drop(reply);
    });
    let started = Instant::now();
    let answer = control(&shared).submit(command(), 50 * MS);
    expect_that!(answer, eq(&Err(SubmitError::Unknown)));
    expect_that!(started.elapsed(), lt(150 * MS));
    taker.join().expect("control thread stand-in panicked");
}
