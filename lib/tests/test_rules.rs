//! Tests of the rules parser.

use fulmarford_lib::rules;
use googletest::prelude::*;
use proptest::prelude::*;

/// Guards against rules without a comment that names who requested them.
#[gtest]
fn parse_line_without_asker() {
    let error = rules::parse_line("workspace w weight=2").expect_err("no comment");
    expect_that!(error.column, eq(21));
}

proptest! {
    /// Guards against panics on arbitrary input.
    #[test]
    fn parse_file_any_text(text in any::<String>()) {
        let _ = rules::parse_file(&text);
    }

    /// Guards against panics on lines that resemble rules.
    #[test]
    fn parse_line_rule_like(
        kind in "(workspace|key|class|route|limit|endpoint)",
        rest in "( [a-z]{1,6}(=[^ ]{0,6})?){0,4}",
    ) {
        let _ = rules::parse_line(&format!("{kind} n{rest} # t"));
    }
}
