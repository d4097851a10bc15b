//! Tests of request fingerprints.

use fulmarford_lib::fingerprint::Fingerprinter;
use fulmarford_lib::ids::WorkspaceId;
use googletest::prelude::*;

/// Guards against a repeated request that is not recognized, and against different requests with the same
/// fingerprint.
#[gtest]
fn fingerprint_each_part() {
    let fingerprinter = Fingerprinter::new(b"a secret of the instances");
    let workspace = WorkspaceId::from("w");
    let print = fingerprinter.fingerprint(Some(&workspace), "POST", "/a?b", b"body");
    let same_key = Fingerprinter::new(b"a secret of the instances");
    expect_that!(
        same_key.fingerprint(Some(&workspace), "POST", "/a?b", b"body"),
        eq(print)
    );
    let other = WorkspaceId::from("v");
    let others = [
        fingerprinter.fingerprint(Some(&other), "POST", "/a?b", b"body"),
        fingerprinter.fingerprint(None, "POST", "/a?b", b"body"),
        fingerprinter.fingerprint(Some(&workspace), "GET", "/a?b", b"body"),
        fingerprinter.fingerprint(Some(&workspace), "POST", "/a", b"body"),
        fingerprinter.fingerprint(Some(&workspace), "POST", "/a?b", b""),
        Fingerprinter::new(b"another secret of them").fingerprint(
            Some(&workspace),
            "POST",
            "/a?b",
            b"body",
        ),
    ];
    expect_false!(others.contains(&print));
}
