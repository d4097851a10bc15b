//! Tests of the validation of the daemon's settings.

use std::collections::BTreeMap;
use std::time::Duration;

use fulmarford_lib::settings::Flags;
use fulmarford_lib::settings::SettingError;
use fulmarford_lib::settings::Settings;
use googletest::prelude::*;
use gumdrop::Options;

const PEERS: &str = "a=127.0.0.1:7001,b=127.0.0.1:7002,c=127.0.0.1:7003";
const BASE: &[&str] = &["--instance", "a", "--zone", "z", "--key-secret-file", "k"];
const GROUP: &[&str] = &[
    "--peers",
    PEERS,
    "--peer-listen",
    "127.0.0.1:7001",
    "--peer-secret-file",
    "s",
    "--data",
    "d",
];

fn check(
    arguments: &[&[&str]],
    environment: &[(&str, &str)],
) -> std::result::Result<Settings, SettingError> {
    let arguments = arguments.concat();
    let flags = Flags::parse_args_default(&arguments).expect("the flags exist");
    let environment: BTreeMap<_, _> = environment.iter().copied().collect();
    Settings::check(flags, |name| environment.get(name).map(|v| (*v).to_owned()))
}

fn flag_of(error: SettingError) -> &'static str {
    match error {
        SettingError::Missing { flag, .. } | SettingError::Invalid { flag, .. } => flag,
        SettingError::Conflict { .. } => "conflict",
    }
}

/// Guards against defaults that differ from those in `docs/control.md`.
#[gtest]
fn check_single_process() {
    let settings = check(&[BASE], &[]).expect("valid");
    expect_that!(settings.listen.to_string().as_str(), eq("127.0.0.1:8080"));
    expect_that!(settings.drain_timeout, eq(Duration::from_secs(30)));
    expect_that!(settings.workers, eq(4));
    expect_that!(settings.peers.len(), eq(0));
    expect_false!(settings.bootstrap);
}

/// Guards against environment variables that are ignored or that override flags.
#[gtest]
fn check_environment() {
    let environment = [
        ("FULMARFORD_ZONE", "y"),
        ("FULMARFORD_DRAIN_TIMEOUT", "5"),
        ("FULMARFORD_BOOTSTRAP", "yes"),
    ];
    let settings = check(&[BASE, GROUP], &environment).expect("valid");
    expect_that!(settings.zone.as_str(), eq("z"));
    expect_that!(settings.drain_timeout, eq(Duration::from_secs(5)));
    expect_true!(settings.bootstrap);
    expect_that!(settings.peers.len(), eq(3));
}

/// Guards against a daemon that starts with invalid settings.
#[gtest]
fn check_wrong_settings() {
    let cases: &[(&[&str], &str)] = &[
        (&["--listen", "nowhere"], "listen"),
        (&["--workers", "0"], "workers"),
        (&["--drain-timeout", "soon"], "drain-timeout"),
        (&["--statsd", "x"], "statsd"),
        (&["--peers", "a=127.0.0.1:1,b=127.0.0.1:2"], "peers"),
        (
            &["--peers", "a=127.0.0.1:1,a=127.0.0.1:2,c=127.0.0.1:3"],
            "peers",
        ),
        (&["--peers", "127.0.0.1:1"], "peers"),
        (&["--peers", PEERS], "peer-secret-file"),
        (
            &["--peers", PEERS, "--peer-secret-file", "s"],
            "peer-listen",
        ),
        (
            &[
                "--peers",
                PEERS,
                "--peer-secret-file",
                "s",
                "--peer-listen",
                "0.0.0.0:7001",
            ],
            "peer-listen",
        ),
        (
            &[
                "--peers",
                PEERS,
                "--peer-secret-file",
                "s",
                "--peer-listen",
                "127.0.0.1:7001",
            ],
            "data",
        ),
        (
            &[
                "--peers",
                PEERS,
                "--peer-secret-file",
                "s",
                "--peer-listen",
                "127.0.0.1:7009",
                "--data",
                "d",
            ],
            "conflict",
        ),
    ];
    for (arguments, flag) in cases {
        let error = check(&[BASE, arguments], &[]).expect_err("refused");
        expect_that!(flag_of(error), eq(*flag));
    }
    for missing in ["--instance", "--zone", "--key-secret-file"] {
        let position = BASE.iter().position(|a| *a == missing).expect("given");
        let rest = [&BASE[..position], &BASE[position + 2..]].concat();
        let error = check(&[&rest, GROUP], &[]).expect_err("refused");
        expect_that!(flag_of(error), eq(&missing[2..]));
    }
    expect_that!(
        check(&[], &[]).map(|_| ()).map_err(flag_of),
        err(eq("key-secret-file"))
    );
    let standalone = check(&[&["--key-secret-file", "k"]], &[]).expect("valid");
    expect_that!(standalone.instance.as_str(), eq("local"));
    expect_that!(standalone.zone.as_str(), eq("local"));
}
