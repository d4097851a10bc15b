//! Tests of the division of engines among kinds of requests.

use fulmarford_lib::line::portion::EngineCapacity;
use fulmarford_lib::line::portion::Kind;
use fulmarford_lib::line::portion::KindLoad;
use fulmarford_lib::line::portion::KindLoads;
use fulmarford_lib::line::portion::divide;
use googletest::prelude::*;

const ENGINE: EngineCapacity = EngineCapacity {
    rate: 64.2,
    slots: 32.0,
};

const URGENT: Kind = Kind {
    urgency: 0,
    is_long: false,
};
const BATCH: Kind = Kind {
    urgency: 2,
    is_long: true,
};

fn loads(loads: &[(Kind, f64, f64)]) -> KindLoads {
    let load = |(kind, read, slots): &(Kind, f64, f64)| {
        let load = KindLoad {
            read: *read,
            slots: *slots,
        };
        (*kind, load)
    };
    loads.iter().map(load).collect()
}

/// Short urgent streams beside a burst of long prompts.
fn burst() -> KindLoads {
    loads(&[(URGENT, 336e3, 215.0), (BATCH, 1.2e6, 200.0)])
}

/// Replays a zone that is taken back during a burst of long prompts: before, both groups shrank in
/// proportion, to 9 of 36 engines for the urgent requests, which need 12 of them without pause.
#[gtest]
fn divide_lost_zone_urgent_first() {
    let division = divide(&burst(), 36, ENGINE);
    expect_that!(division.long_engines, some(le(20)));
    expect_that!(division.portion(URGENT), eq(1.0));
    expect_that!(division.portion(BATCH), all![gt(0.6), lt(1.0)]);
}

#[gtest]
fn divide_enough_engines() {
    let division = divide(&burst(), 96, ENGINE);
    expect_that!(division.is_short, eq(false));
    expect_that!(division.portions, is_empty());
}

/// Guards against classes that starve: the urgent load alone is beyond the engines.
#[gtest]
fn divide_floor() {
    let loads = loads(&[(URGENT, 3e6, 900.0), (BATCH, 1.2e6, 200.0)]);
    let division = divide(&loads, 20, ENGINE);
    expect_that!(division.long_engines, some(ge(1)));
    expect_that!(division.portion(BATCH), gt(0.02));
    // Its admission does not pay for the others.
    expect_that!(division.portion(URGENT), eq(1.0));
}

/// The portion of the less urgent group never admits more than the time of its engines.
#[gtest]
fn divide_within_capacity() {
    for engines in [2, 3, 7, 20, 36, 60] {
        let loads = burst();
        let division = divide(&loads, engines, ENGINE);
        if !division.is_short {
            continue;
        }
        let admitted = |kind| loads[&kind].need(ENGINE) * division.portion(kind);
        let long = division.long_engines.unwrap_or(0) as f64;
        expect_that!(admitted(BATCH), le(long), "{engines}");
    }
}

/// The urgency decides, not the length of the prompts.
#[gtest]
fn divide_long_prompts_urgent() {
    let urgent = Kind {
        urgency: 0,
        is_long: true,
    };
    let batch = Kind {
        urgency: 5,
        is_long: false,
    };
    let loads = loads(&[(urgent, 1e6, 100.0), (batch, 2e6, 100.0)]);
    let division = divide(&loads, 36, ENGINE);
    expect_that!(division.portion(urgent), eq(1.0));
    expect_that!(division.portion(batch), lt(0.6));
}

#[gtest]
fn divide_no_engines() {
    expect_that!(divide(&burst(), 0, ENGINE).portions, is_empty());
}
