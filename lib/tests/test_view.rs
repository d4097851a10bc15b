//! Tests that compare a view after incremental changes with one rebuilt from all rules.

use std::sync::Arc;

use fulmarford_lib::ids::WorkspaceId;
use fulmarford_lib::rules;
use fulmarford_lib::rules::KeyHash;
use fulmarford_lib::view::Edit;
use fulmarford_lib::view::View;
use fulmarford_lib::view::ViewError;
use googletest::prelude::*;
use proptest::prelude::*;

fn line_of(kind: u8, name: u8, other: u8) -> String {
    let line = match kind {
        0 => format!("workspace w{name} weight={}", other + 1),
        1 => format!("key k{name} workspace=w{other} hash={:064x}", name % 3),
        2 => format!("class c{name} tier={} idempotent=yes", other + 1),
        3 => format!("route r{name} workspace=w{other} class=c{name} model=m endpoints=e*"),
        4 => format!("route p{name} workspace=* class=c{other} path=/p endpoints=e{name}"),
        5 => format!("limit w{name} concurrency={}", other + 1),
        _ => format!(
            "endpoint e{name} address=127.0.0.1:{} zone=z models=m",
            9000 + u16::from(other)
        ),
    };
    format!("{line} # test")
}

fn edit() -> impl Strategy<Value = Edit> {
    (0..7u8, 0..4u8, 0..3u8, prop::bool::weighted(0.3)).prop_map(|(kind, name, other, remove)| {
        let rule = rules::parse_line(&line_of(kind, name, other)).expect("the line is valid");
        if remove {
            Edit::Remove(rule.key)
        } else {
            Edit::Set(rule)
        }
    })
}

fn apply(view: &View, edits: &[Edit]) -> std::result::Result<Arc<View>, ViewError> {
    let mut transaction = view.transaction();
    for edit in edits {
        transaction.edit(edit)?;
    }
    transaction.commit()
}

fn rebuild(view: &View, edits: &[Edit]) -> Option<Arc<View>> {
    let mut kept: Vec<_> = view.rules().cloned().collect();
    for edit in edits {
        match edit {
            Edit::Set(rule) => {
                kept.retain(|r| r.key != rule.key);
                kept.push(rule.clone());
            }
            Edit::Remove(key) => {
                let before = kept.len();
                kept.retain(|r| r.key != *key);
                if kept.len() == before {
                    return None;
                }
            }
        }
    }
    let all: Vec<_> = kept.into_iter().map(Edit::Set).collect();
    apply(&View::default(), &all).ok()
}

/// Returns everything that a request can look up, as text.
fn lookups(view: &View) -> String {
    let mut lines: Vec<_> = view.rules().map(|r| r.line.clone()).collect();
    for number in 0..4 {
        let workspace: WorkspaceId = format!("w{number}").into();
        let hash: KeyHash = format!("{number:064x}").parse().expect("the hash is valid");
        lines.push(format!("{:?}", view.key(&hash)));
        lines.push(format!("{:?}", view.workspace(workspace.as_str())));
        lines.push(format!("{:?}", view.limit(workspace.as_str())));
        lines.push(format!("{:?}", view.class(&format!("c{number}"))));
        lines.push(format!("{:?}", view.models(Some(&workspace))));
        let routes: Vec<_> = view.model_routes("m", Some(&workspace)).collect();
        lines.push(format!("{routes:?}"));
        for route in routes {
            let candidates: Vec<_> = view.candidates(route, None).collect();
            lines.push(format!("{candidates:?}"));
        }
    }
    lines.push(format!("{:?}", view.path_routes("/p").collect::<Vec<_>>()));
    lines.push(format!("{:?}", view.endpoints().collect::<Vec<_>>()));
    lines.join("\n")
}

proptest! {
    /// A view after many small changes must equal one rebuilt from all rules. A stale index could,
    /// for example, still admit a removed key.
    #[test]
    fn commit_matches_rebuilt_view(changes in prop::collection::vec(prop::collection::vec(edit(), 1..4), 1..30)) {
        let mut view = Arc::new(View::default());
        for edits in changes {
            let expected = rebuild(&view, &edits);
            let before = lookups(&view);
            match apply(&view, &edits) {
                Ok(next) => {
                    let expected = expected.expect("a rebuilt view accepts the change too");
                    prop_assert_eq!(lookups(&next), lookups(&expected));
                    view = next;
                }
                Err(_) => prop_assert!(expected.is_none(), "a rebuilt view accepts the change"),
            }
            prop_assert!(view.version().0 > 0 || lookups(&view) == before);
        }
    }
}

/// A key rotation must not be rejected because the old key, removed in the same change, still has
/// the hash.
#[gtest]
fn commit_moves_hash() {
    let base = apply(&View::default(), &[set(0, 0, 0), set(1, 0, 0)]).expect("rules are valid");
    let old = rules::parse_line(&line_of(1, 0, 0)).expect("the line is valid");
    let edits = [set(1, 3, 0), Edit::Remove(old.key)];
    let view = apply(&base, &edits).expect("the hash moves to the new key");
    let hash: KeyHash = format!("{:064x}", 0).parse().expect("the hash is valid");
    expect_that!(view.key(&hash).map(|k| k.id.as_str()), some(eq("k3")));
}

fn set(kind: u8, name: u8, other: u8) -> Edit {
    Edit::Set(rules::parse_line(&line_of(kind, name, other)).expect("the line is valid"))
}
