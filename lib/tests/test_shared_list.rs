//! Tests of the endpoint list that instances share.

use std::time::Duration;
use std::time::Instant;

use fulmarford_lib::dialect::ListedEndpoint;
use fulmarford_lib::shared_list::ListRevision;
use fulmarford_lib::shared_list::SharedList;
use googletest::prelude::*;
use proptest::prelude::*;

fn listed(number: u8, leaving: bool) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("i-{number}").into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], u16::from(number)).into(),
        zone: "z".into(),
        slots: 8,
        leaving,
        reclaimable: false,
        cold: false,
    }
}

fn names(list: &SharedList, now: Instant) -> Option<Vec<String>> {
    let (_, _, list) = list.fresh(now)?;
    Some(list.iter().map(|listed| listed.id.to_string()).collect())
}

/// Guards against endpoints that turn warm and count as changes where no deployment asks for it.
#[gtest]
fn publish_cold_endpoints() {
    let now = Instant::now();
    for tells_cold in [false, true] {
        let list = SharedList::default();
        if tells_cold {
            list.tell_cold();
        }
        let mut endpoint = listed(1, false);
        endpoint.cold = true;
        list.publish(now, 1, std::slice::from_ref(&endpoint));
        let revision = list.revision();
        endpoint.cold = false;
        list.publish(now, 1, &[endpoint]);
        expect_that!(list.revision() != revision, eq(tells_cold));
    }
}

/// Guards against deltas that repeat unchanged endpoints, and against a copy that expires although the list
/// was read again without changes.
#[gtest]
fn delta_contains_only_changes() {
    let now = Instant::now();
    let (leader, instance) = (SharedList::default(), SharedList::default());
    expect_that!(leader.delta(now, instance.copy_revision()), none());
    leader.publish(now, 1, &[listed(1, false), listed(2, false)]);
    let delta = leader
        .delta(now, instance.copy_revision())
        .expect("a delta");
    expect_that!((delta.is_full, delta.changed.len()), eq((true, 2)));
    instance.apply(now, delta);
    leader.publish(now, 1, &[listed(2, true), listed(3, false)]);
    let delta = leader
        .delta(now, instance.copy_revision())
        .expect("a delta");
    expect_that!((delta.is_full, delta.changed.len()), eq((false, 2)));
    expect_that!(delta.removed, elements_are![eq(&"i-1".into())]);
    instance.apply(now, delta);
    let expected = vec!["i-2".to_owned(), "i-3".to_owned()];
    expect_that!(names(&instance, now), some(eq(&expected)));
    // The delta is empty, but it updates the age of the copy.
    let later = now + Duration::from_secs(2);
    leader.publish(later, 1, &[listed(2, true), listed(3, false)]);
    let delta = leader
        .delta(later, instance.copy_revision())
        .expect("a delta");
    expect_that!((delta.changed.len(), delta.removed.len()), eq((0, 0)));
    instance.apply(later, delta);
    let much_later = later + Duration::from_secs(2);
    expect_that!(names(&instance, much_later), some(eq(&expected)));
}

/// Guards against a list that is used for too long after the leader has failed or lost its connection to the
/// platform.
#[gtest]
fn fresh_until_max_age() {
    let now = Instant::now();
    let (leader, instance) = (SharedList::default(), SharedList::default());
    leader.publish(now, 1, &[listed(1, false)]);
    let second = Duration::from_secs(1);
    let delta = leader
        .delta(now + second, instance.copy_revision())
        .expect("a delta");
    instance.apply(now + second, delta);
    expect_that!(names(&instance, now + 2 * second), some(anything()));
    expect_that!(names(&instance, now + 3 * second), none());
    expect_that!(
        leader.delta(now + 3 * second, instance.copy_revision()),
        none()
    );
}

/// Guards against the changes of a new leader being applied to the list of the previous one: each leader
/// numbers its changes independently.
#[gtest]
fn delta_from_new_leader_is_full() {
    let now = Instant::now();
    let instance = SharedList::default();
    for epoch in 1..=2 {
        let leader = SharedList::default();
        leader.publish(now, epoch, &[listed(epoch as u8, false)]);
        let delta = leader
            .delta(now, instance.copy_revision())
            .expect("a delta");
        expect_that!(delta.is_full, eq(true));
        instance.apply(now, delta);
    }
    expect_that!(names(&instance, now), some(eq(&vec!["i-2".to_owned()])));
    expect_that!(
        instance.copy_revision(),
        eq(ListRevision {
            epoch: 2,
            number: 1
        })
    );
}

/// Brings the published list of `to` up to date, in as many messages as necessary.
fn relay_all(from: &SharedList, to: &SharedList, now: Instant) {
    while let Some(delta) = from.delta(now, to.revision()) {
        to.relay(now, &delta);
        if !delta.has_more {
            return;
        }
    }
}

/// Brings the copy of `to` up to date, in as many messages as necessary; returns whether `from` had a list to
/// send.
fn catch_up(from: &SharedList, to: &SharedList, now: Instant) -> bool {
    let mut count = 0;
    while let Some(delta) = from.delta(now, to.copy_revision()) {
        assert!(delta.changed.len() <= 320, "{}", delta.changed.len());
        assert!(count < 40, "the deltas do not end");
        let more = delta.has_more;
        to.apply(now, delta);
        count += 1;
        if !more {
            return true;
        }
    }
    false
}

/// Guards against an instance that receives a long list in full again when it switches to another relay, or
/// when a relay becomes the leader.
#[gtest]
fn delta_after_relay_change() {
    let now = Instant::now();
    let lists: Vec<_> = (0..4).map(|_| SharedList::default()).collect();
    let [leader, first, second, instance] = &lists[..] else {
        panic!("four lists")
    };
    let mut list: Vec<_> = (0..3_000_u16)
        .map(|n| ListedEndpoint {
            id: format!("i-{n}").into(),
            ..listed(1, false)
        })
        .collect();
    leader.publish(now, 1, &list);
    relay_all(leader, first, now);
    relay_all(leader, second, now);
    catch_up(first, instance, now);
    expect_that!(
        names(instance, now).map(|names| names.len()),
        some(eq(3_000))
    );
    list[7].leaving = true;
    leader.publish(now, 1, &list);
    relay_all(leader, second, now);
    let delta = second
        .delta(now, instance.copy_revision())
        .expect("a delta");
    expect_that!((delta.is_full, delta.changed.len()), eq((false, 1)));
    instance.apply(now, delta);
    // The second relay becomes the leader, and the first one follows it.
    list.remove(9);
    second.publish(now, 2, &list);
    let delta = second
        .delta(now, instance.copy_revision())
        .expect("a delta");
    expect_that!(
        (delta.is_full, delta.changed.len(), delta.removed.len()),
        eq((false, 0, 1))
    );
    instance.apply(now, delta);
    let delta = second.delta(now, first.revision()).expect("a delta");
    expect_that!(
        (delta.is_full, delta.changed.len(), delta.removed.len()),
        eq((false, 1, 1))
    );
    relay_all(second, first, now);
    let delta = first.delta(now, instance.copy_revision()).expect("a delta");
    expect_that!(
        (delta.is_full, delta.changed.len(), delta.removed.len()),
        eq((false, 0, 0))
    );
}

/// Guards against an incomplete list that is used or relayed: while a long list arrives in parts, the copy
/// keeps the previous list, even if a response is lost, and a relay sends nothing.
#[gtest]
fn apply_partial_deltas() {
    let now = Instant::now();
    let (leader, relay, instance) = (
        SharedList::default(),
        SharedList::default(),
        SharedList::default(),
    );
    let many = |from: u16, count: u16| -> Vec<_> {
        let name = |n: u16| ListedEndpoint {
            id: format!("i-{n}").into(),
            ..listed(1, false)
        };
        (from..from + count).map(name).collect()
    };
    leader.publish(now, 1, &many(0, 700));
    catch_up(&leader, &instance, now);
    let other = SharedList::default();
    other.publish(now, 2, &many(100, 900));
    let delta = other.delta(now, instance.copy_revision()).expect("a delta");
    expect_that!((delta.is_full, delta.has_more), eq((true, true)));
    instance.apply(now, delta);
    expect_that!(
        names(&instance, now).map(|names| names.len()),
        some(eq(700))
    );
    // The response to the next poll is lost.
    drop(other.delta(now, instance.copy_revision()));
    catch_up(&other, &instance, now);
    expect_that!(
        names(&instance, now).map(|names| names.len()),
        some(eq(900))
    );
    relay.relay(now, &other.delta(now, relay.revision()).expect("a delta"));
    expect_that!(relay.delta(now, ListRevision::default()), none());
    relay_all(&other, &relay, now);
    expect_that!(relay.delta(now, ListRevision::default()), some(anything()));
}

/// Guards against changes that are sent only after the last page of a long list was read.
#[gtest]
fn delta_after_page() {
    let now = Instant::now();
    let (leader, instance) = (SharedList::default(), SharedList::default());
    leader.publish(now, 1, &[listed(1, false), listed(2, false)]);
    instance.apply(
        now,
        leader
            .delta(now, instance.copy_revision())
            .expect("a delta"),
    );
    expect_that!(leader.has_delta(now, instance.copy_revision()), eq(false));
    leader.publish_page(1, &[listed(1, true)]);
    expect_that!(leader.has_delta(now, instance.copy_revision()), eq(true));
    let delta = leader
        .delta(now, instance.copy_revision())
        .expect("a delta");
    expect_that!(
        (delta.is_full, delta.changed.len(), delta.removed.len()),
        eq((false, 1, 0))
    );
}

proptest! {
    /// After each response, a copy equals the list of the responding instance, whichever instances read and
    /// relay the list.
    #[test]
    fn apply_deltas_through_any_relays(
        steps in proptest::collection::vec((0..4_usize, 0..4_usize, proptest::option::of(proptest::collection::btree_map(0..12_u8, any::<bool>(), 0..10))), 1..80)
    ) {
        let now = Instant::now();
        let voters: Vec<_> = (0..4).map(|_| SharedList::default()).collect();
        let instance = SharedList::default();
        for (from, to, read) in steps {
            if let Some(list) = read {
                let list: Vec<_> = list.into_iter().map(|(n, leaving)| listed(n, leaving)).collect();
                voters[from].publish(now, from as u64 + 1, &list);
            }
            if from == to {
                if !catch_up(&voters[from], &instance, now) {
                    continue;
                }
                let fresh_copy = SharedList::default();
                catch_up(&voters[from], &fresh_copy, now);
                prop_assert_eq!(names(&instance, now), names(&fresh_copy, now));
            } else {
                relay_all(&voters[from], &voters[to], now);
            }
        }
    }

    /// A copy equals the list after each response, whichever changes occur and whichever earlier responses
    /// are lost.
    #[test]
    fn apply_any_deltas(
        steps in proptest::collection::vec((proptest::collection::btree_map(0..40_u8, any::<bool>(), 0..20), any::<bool>()), 1..80)
    ) {
        let now = Instant::now();
        let (leader, instance) = (SharedList::default(), SharedList::default());
        for (list, lost) in steps {
            let list: Vec<_> = list.into_iter().map(|(n, leaving)| listed(n, leaving)).collect();
            leader.publish(now, 1, &list);
            let delta = leader.delta(now, instance.copy_revision()).expect("a delta");
            if !lost {
                instance.apply(now, delta);
                let (_, _, mut held) = instance.fresh(now).expect("fresh");
                let mut list = list;
                held.sort_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
                list.sort_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
                prop_assert_eq!(held, list);
            }
        }
    }
}

/// Guards against a revision of another process that overflows with the list locked.
#[gtest]
fn publish_after_largest_revision() {
    let now = Instant::now();
    let (leader, relay) = (SharedList::default(), SharedList::default());
    leader.publish(now, 1, &[listed(1, false)]);
    let mut delta = leader.delta(now, ListRevision::default()).expect("a delta");
    delta.revision.number = u64::MAX;
    delta.age = Duration::MAX;
    relay.relay(now, &delta);
    relay.publish(now, 2, &[listed(2, false)]);
    for number in [0, u64::MAX] {
        let _ = relay.delta(now, ListRevision { epoch: 2, number });
    }
}
