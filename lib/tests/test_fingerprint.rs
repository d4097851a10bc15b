//! Tests of the recognition of requests.

use fulmarford_lib::fingerprint::Fingerprinter;
use fulmarford_lib::ids::WorkspaceId;
use googletest::prelude::*;

/// Guards against a culprit that is not recognised, and against others that are taken for it.
#[gtest]
fn of_each_part() {
    let prints = Fingerprinter::new(b"a secret of the instances");
    let workspace = WorkspaceId::from("w");
    let print = prints.of(Some(&workspace), "POST", "/a?b", b"body");
    let again = Fingerprinter::new(b"a secret of the instances");
    expect_that!(
        again.of(Some(&workspace), "POST", "/a?b", b"body"),
        eq(print)
    );
    let other = WorkspaceId::from("v");
    let others = [
        prints.of(Some(&other), "POST", "/a?b", b"body"),
        prints.of(None, "POST", "/a?b", b"body"),
        prints.of(Some(&workspace), "GET", "/a?b", b"body"),
        prints.of(Some(&workspace), "POST", "/a", b"body"),
        prints.of(Some(&workspace), "POST", "/a?b", b""),
        Fingerprinter::new(b"another secret of them").of(Some(&workspace), "POST", "/a?b", b"body"),
    ];
    expect_false!(others.contains(&print));
}
