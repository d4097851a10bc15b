//! Tests of the division of engines between long and short prompts.

use fulmarford_lib::division::Division;
use fulmarford_lib::division::Group;
use fulmarford_lib::division::Needs;
use fulmarford_lib::division::divide;
use googletest::prelude::*;

/// A zone of 60 engines has lost 40 of them while long prompts come in a burst: 26 engines would be needed for the
/// urgent short prompts and 34 for the long ones.
const BURST: Needs = Needs {
    long: 34.0,
    short: 26.0,
};

#[gtest]
fn divide_enough_engines() {
    for urgent in [None, Some(Group::Long), Some(Group::Short)] {
        let division = divide(60, BURST, urgent);
        let expected = Division {
            long: 34,
            confined: None,
        };
        expect_that!(division, eq(expected), "{urgent:?}");
    }
}

/// Without a more urgent group, both lose in proportion.
#[gtest]
fn divide_in_proportion() {
    let division = divide(20, BURST, None);
    let expected = Division {
        long: 11,
        confined: None,
    };
    expect_that!(division, eq(expected));
}

#[gtest]
fn divide_urgent_first() {
    let short_first = divide(40, BURST, Some(Group::Short));
    let expected = Division {
        long: 14,
        confined: Some(Group::Long),
    };
    expect_that!(short_first, eq(expected));
    let long_first = divide(40, BURST, Some(Group::Long));
    let expected = Division {
        long: 34,
        confined: Some(Group::Short),
    };
    expect_that!(long_first, eq(expected));
}

/// The less urgent group keeps an engine even if the other one could use all of them.
#[gtest]
fn divide_no_starvation() {
    for engines in [2, 3, 20] {
        let short_first = divide(engines, BURST, Some(Group::Short));
        expect_that!(short_first.long, eq(1), "{engines}");
        let long_first = divide(engines, BURST, Some(Group::Long));
        expect_that!(long_first.long, eq(engines - 1), "{engines}");
    }
}

#[gtest]
fn divide_extreme_needs() {
    for need in [0.0, 1e-9, 1e300, f64::INFINITY] {
        for urgent in [None, Some(Group::Long), Some(Group::Short)] {
            let needs = Needs {
                long: need,
                short: need,
            };
            let division = divide(7, needs, urgent);
            expect_that!(division.long, all!(ge(1), le(6)), "{need} {urgent:?}");
        }
    }
}
