//! Randomized fault injection tests of the Raft core.
//!
//! `FULMARFORD_SCHEDULES` sets the number of schedules per test and `FULMARFORD_SEED` the first
//! seed; a failure prints its seed and the shortest failing schedule that was found.

mod raft_cluster;

use std::cell::Cell;

use fulmarford_lib::raft::Config as RaftConfig;
use fulmarford_lib::simple_disk::SimpleDisk;
use fulmarford_lib::simple_storage::SimpleStorage;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use raft_cluster::Action;
use raft_cluster::Cluster;
use raft_cluster::Coverage;
use raft_cluster::Disk;
use raft_cluster::turn;

/// Number of schedules per test; the five tests run 10,000 together.
const SCHEDULES: u64 = 2000;

/// Number of schedules of each test that replaces the nodes in turn.
const REPLACEMENT_SCHEDULES: u64 = 60;

fn env_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse().expect("the setting is not a number")
    })
}

fn run_schedules(
    actions: impl Strategy<Value = Action>,
    cluster: impl Fn(u64) -> Cluster,
    replace: bool,
) {
    let schedule = vec((0..700_u16, actions), 5..30);
    let (count, total) = play_schedules(SCHEDULES, schedule, |seed, schedule| {
        run(cluster(seed), schedule, replace)
    });
    println!("{count} schedules: {total:?}");
    if count >= SCHEDULES {
        // Schedules that rarely reach elections, writes, snapshots or changes test too little.
        let wanted = count as usize;
        assert!(total.elections > wanted && total.writes > wanted && total.installs > wanted / 10);
        assert!(total.early_messages > wanted && total.lost_writes > wanted / 10);
        assert!(!replace || total.changes > wanted / 4);
    }
}

/// Plays a schedule for each seed, and returns the number of schedules and what they covered.
fn play_schedules<S: Strategy>(
    default_count: u64,
    schedule: S,
    play: impl Fn(u64, S::Value) -> Result<Coverage, TestCaseError>,
) -> (u64, Coverage) {
    let total = Cell::new(Coverage::default());
    let first = env_or("FULMARFORD_SEED", 1);
    let count = env_or("FULMARFORD_SCHEDULES", default_count);
    for seed in first..first + count {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let config = Config {
            cases: 1,
            failure_persistence: None,
            max_shrink_iters: 100,
            ..Config::default()
        };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let result = runner.run(&schedule, |schedule| {
            let coverage = play(seed, schedule)?;
            total.set(total.get().plus(coverage));
            Ok(())
        });
        if let Err(error) = result {
            panic!("FULMARFORD_SEED={seed} FULMARFORD_SCHEDULES=1: {error}");
        }
    }
    (count, total.get())
}

fn memory_disk(_seed: u64) -> Box<dyn Disk> {
    Box::new(SimpleStorage::default())
}

fn file_disk(seed: u64) -> Box<dyn Disk> {
    Box::new(SimpleDisk::new(seed))
}

fn run(
    mut cluster: Cluster,
    schedule: Vec<(u16, Action)>,
    replace: bool,
) -> Result<Coverage, TestCaseError> {
    cluster.run(1300)?;
    for (wait, action) in schedule {
        cluster.apply_action(&action)?;
        cluster.run(u64::from(wait))?;
    }
    cluster.finish(replace)?;
    Ok(cluster.coverage())
}

/// Guards against lost writes and two leaders in one term in a group of three voters.
#[test]
fn raft_three_voters() {
    let cluster = |seed| Cluster::new(seed, 3, memory_disk);
    run_schedules(raft_cluster::action(), cluster, false);
}

/// Guards against majorities that are only computed correctly for three voters.
#[test]
fn raft_five_voters() {
    let cluster = |seed| Cluster::new(seed, 5, memory_disk);
    run_schedules(raft_cluster::action(), cluster, false);
}

/// Guards against disjoint majorities while the membership changes and members lose their data.
#[test]
fn raft_changing_members() {
    let cluster = |seed| Cluster::new(seed, 3, memory_disk);
    run_schedules(raft_cluster::member_action(), cluster, true);
}

/// Guards against a group of one voter that cannot grow.
#[test]
fn raft_growing_group() {
    let cluster = |seed| Cluster::new(seed, 1, memory_disk);
    run_schedules(raft_cluster::member_action(), cluster, true);
}

/// Guards against writes that count as durable before their files are synced.
#[test]
fn raft_file_storage() {
    // The inverted seed gives other clock rates and ids than the same schedules in memory.
    let cluster = |seed: u64| Cluster::new(!seed, 3, file_disk);
    run_schedules(raft_cluster::member_action(), cluster, true);
}

/// Replaces the nodes of a group in turn, as fast as each new one is given its time to catch up.
fn run_replacements(voters: usize) {
    let (count, total) =
        play_schedules(REPLACEMENT_SCHEDULES, vec(turn(), 5..20), |seed, turns| {
            let config = RaftConfig::default();
            let mut cluster = Cluster::with_config(seed, voters, memory_disk, config);
            cluster.run(1300)?;
            for turn in &turns {
                cluster.replace_node(turn)?;
            }
            cluster.finish_rolling()?;
            Ok(cluster.coverage())
        });
    println!("{count} schedules: {total:?}");
    if count >= REPLACEMENT_SCHEDULES {
        // Each replacement adds, promotes and removes a member.
        assert!(total.changes as u64 > 15 * count, "{total:?}");
    }
}

/// Guards against replaced voters that add up to a majority, as the silence of each is counted anew by each
/// leader.
#[test]
fn raft_replacements_five_voters() {
    run_replacements(5);
}

/// Guards against replacements that leave a small group without a voter to spare.
#[test]
fn raft_replacements_three_voters() {
    run_replacements(3);
}

/// Guards against a failover that takes longer than the specified 3 seconds.
#[test]
fn raft_failover_time() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut cluster = Cluster::new(seed, 3, memory_disk);
        cluster
            .next_write(3000)
            .expect("invariant violated")
            .expect("no leader elected within three seconds");
        cluster.run(seed * 7 % 100).expect("invariant violated");
        cluster.crash_voter(true);
        let time = cluster.next_write(3000).expect("invariant violated");
        times.push(time.expect("no write within three seconds"));
    }
    times.sort_unstable();
    println!("failover ms: median {}, longest {}", times[100], times[199]);
}

/// Guards against a repaired group that does not tolerate the failure of another voter.
#[test]
fn raft_second_failure_after_repair() {
    for seed in 0..200 {
        let mut cluster = Cluster::new(seed, 3, memory_disk);
        cluster
            .next_write(3000)
            .expect("invariant violated")
            .expect("no leader elected within three seconds");
        cluster
            .apply_action(&Action::AddLearner)
            .expect("invariant violated");
        cluster.run(500).expect("invariant violated");
        cluster.crash_voter(seed % 2 == 0);
        while !cluster.is_repaired() {
            cluster.run(50).expect("invariant violated");
            cluster
                .apply_action(&Action::Replace)
                .expect("invariant violated");
        }
        cluster.crash_voter(seed % 4 < 2);
        let time = cluster.next_write(3000).expect("invariant violated");
        assert!(
            time.is_some(),
            "no write after the second failure, seed {seed}"
        );
    }
}

/// Guards against a graceful stop that makes writes wait for an election timeout.
#[test]
fn raft_transfer_time() {
    for seed in 0..200 {
        let mut cluster = Cluster::new(seed, 3, memory_disk);
        cluster
            .next_write(3000)
            .expect("invariant violated")
            .expect("no leader elected within three seconds");
        cluster.run(500).expect("invariant violated");
        cluster
            .apply_action(&Action::Transfer)
            .expect("invariant violated");
        cluster.crash_voter(true);
        let time = cluster.next_write(3000).expect("invariant violated");
        assert!(time.is_some_and(|ms| ms < 100), "{time:?}, seed {seed}");
    }
}
