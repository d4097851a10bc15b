//! Tests of the list of endpoints that instances share.

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
    }
}

fn names(list: &SharedList, now: Instant) -> Option<Vec<String>> {
    let (_, _, list) = list.fresh(now)?;
    Some(list.iter().map(|listed| listed.id.to_string()).collect())
}

#[gtest]
fn news_changes_only() {
    let now = Instant::now();
    let (leader, entry) = (SharedList::default(), SharedList::default());
    expect_that!(leader.news(now, entry.held()), none());
    leader.publish(now, 1, &[listed(1, false), listed(2, false)]);
    let news = leader.news(now, entry.held()).expect("news");
    expect_that!((news.whole, news.changed.len()), eq((true, 2)));
    entry.learn(now, news);
    leader.publish(now, 1, &[listed(2, true), listed(3, false)]);
    let news = leader.news(now, entry.held()).expect("news");
    expect_that!((news.whole, news.changed.len()), eq((false, 2)));
    expect_that!(news.gone, elements_are![eq(&"i-1".into())]);
    entry.learn(now, news);
    let expected = vec!["i-2".to_owned(), "i-3".to_owned()];
    expect_that!(names(&entry, now), some(eq(&expected)));
    // Nothing changed, but the list is known to be newer.
    let later = now + Duration::from_secs(2);
    leader.publish(later, 1, &[listed(2, true), listed(3, false)]);
    let news = leader.news(later, entry.held()).expect("news");
    expect_that!((news.changed.len(), news.gone.len()), eq((0, 0)));
    entry.learn(later, news);
    let much_later = later + Duration::from_secs(2);
    expect_that!(names(&entry, much_later), some(eq(&expected)));
}

/// The leader is lost or cut off from the platform: instances notice and read the list themselves.
#[gtest]
fn fresh_for_some_seconds() {
    let now = Instant::now();
    let (leader, entry) = (SharedList::default(), SharedList::default());
    leader.publish(now, 1, &[listed(1, false)]);
    let second = Duration::from_secs(1);
    let news = leader.news(now + second, entry.held()).expect("news");
    entry.learn(now + second, news);
    expect_that!(names(&entry, now + 2 * second), some(anything()));
    expect_that!(names(&entry, now + 3 * second), none());
    expect_that!(leader.news(now + 3 * second, entry.held()), none());
}

/// Another leader numbers its changes on its own.
#[gtest]
fn news_of_other_leader_whole() {
    let now = Instant::now();
    let entry = SharedList::default();
    for epoch in 1..=2 {
        let leader = SharedList::default();
        leader.publish(now, epoch, &[listed(epoch as u8, false)]);
        let news = leader.news(now, entry.held()).expect("news");
        expect_that!(news.whole, eq(true));
        entry.learn(now, news);
    }
    expect_that!(names(&entry, now), some(eq(&vec!["i-2".to_owned()])));
    expect_that!(
        entry.held(),
        eq(ListRevision {
            epoch: 2,
            number: 1
        })
    );
}

/// Passes on what a voter lacks, in as many messages as it takes.
fn relayed(from: &SharedList, to: &SharedList, now: Instant) {
    while let Some(news) = from.news(now, to.revision()) {
        to.relay(now, &news);
        if !news.more {
            return;
        }
    }
}

/// Passes on what a copy lacks, in as many messages as it takes; returns whether there were news.
fn catch_up(from: &SharedList, to: &SharedList, now: Instant) -> bool {
    let mut count = 0;
    while let Some(news) = from.news(now, to.held()) {
        assert!(news.changed.len() <= 320, "{}", news.changed.len());
        assert!(count < 40, "no end of news");
        let more = news.more;
        to.learn(now, news);
        count += 1;
        if !more {
            return true;
        }
    }
    false
}

/// A list of 3,000 endpoints: an instance whose relay is lost gets changes from another one, not the whole
/// list, also when a voter that relayed has become the leader.
#[gtest]
fn news_after_move_between_relays() {
    let now = Instant::now();
    let lists: Vec<_> = (0..4).map(|_| SharedList::default()).collect();
    let [leader, first, second, entry] = &lists[..] else {
        panic!("four lists")
    };
    let mut list: Vec<_> = (0..3_000_u16)
        .map(|n| ListedEndpoint {
            id: format!("i-{n}").into(),
            ..listed(1, false)
        })
        .collect();
    leader.publish(now, 1, &list);
    relayed(leader, first, now);
    relayed(leader, second, now);
    catch_up(first, entry, now);
    expect_that!(names(entry, now).map(|names| names.len()), some(eq(3_000)));
    list[7].leaving = true;
    leader.publish(now, 1, &list);
    relayed(leader, second, now);
    let news = second.news(now, entry.held()).expect("news");
    expect_that!((news.whole, news.changed.len()), eq((false, 1)));
    entry.learn(now, news);
    // The second relay leads now, and the first one follows it.
    list.remove(9);
    second.publish(now, 2, &list);
    let news = second.news(now, entry.held()).expect("news");
    expect_that!(
        (news.whole, news.changed.len(), news.gone.len()),
        eq((false, 0, 1))
    );
    entry.learn(now, news);
    let news = second.news(now, first.revision()).expect("news");
    expect_that!(
        (news.whole, news.changed.len(), news.gone.len()),
        eq((false, 1, 1))
    );
    relayed(second, first, now);
    let news = first.news(now, entry.held()).expect("news");
    expect_that!(
        (news.whole, news.changed.len(), news.gone.len()),
        eq((false, 0, 0))
    );
}

/// A long list in parts: the held one stays whole until the new one is, although an answer is lost, and a
/// voter tells nothing of a list that it holds in part.
#[gtest]
fn learn_in_parts() {
    let now = Instant::now();
    let (leader, relay, entry) = (
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
    catch_up(&leader, &entry, now);
    let other = SharedList::default();
    other.publish(now, 2, &many(100, 900));
    let news = other.news(now, entry.held()).expect("news");
    expect_that!((news.whole, news.more), eq((true, true)));
    entry.learn(now, news);
    expect_that!(names(&entry, now).map(|names| names.len()), some(eq(700)));
    // The answer to the next poll is lost.
    drop(other.news(now, entry.held()));
    catch_up(&other, &entry, now);
    expect_that!(names(&entry, now).map(|names| names.len()), some(eq(900)));
    relay.relay(now, &other.news(now, relay.revision()).expect("news"));
    expect_that!(relay.news(now, ListRevision::default()), none());
    relayed(&other, &relay, now);
    expect_that!(relay.news(now, ListRevision::default()), some(anything()));
}

/// The leader reads a long list page by page: what a page changes is told before the last one came.
#[gtest]
fn news_of_page() {
    let now = Instant::now();
    let (leader, entry) = (SharedList::default(), SharedList::default());
    leader.publish(now, 1, &[listed(1, false), listed(2, false)]);
    entry.learn(now, leader.news(now, entry.held()).expect("news"));
    expect_that!(leader.has_news(now, entry.held()), eq(false));
    leader.publish_page(1, &[listed(1, true)]);
    expect_that!(leader.has_news(now, entry.held()), eq(true));
    let news = leader.news(now, entry.held()).expect("news");
    expect_that!(
        (news.whole, news.changed.len(), news.gone.len()),
        eq((false, 1, 0))
    );
}

proptest! {
    /// Whoever reads the list, whoever relays it and whichever answers are lost: after each answer a copy
    /// is the list of the one that answered.
    #[test]
    fn learn_through_any_relays(
        steps in proptest::collection::vec((0..4_usize, 0..4_usize, proptest::option::of(proptest::collection::btree_map(0..12_u8, any::<bool>(), 0..10))), 1..80)
    ) {
        let now = Instant::now();
        let voters: Vec<_> = (0..4).map(|_| SharedList::default()).collect();
        let entry = SharedList::default();
        for (from, to, read) in steps {
            if let Some(list) = read {
                let list: Vec<_> = list.into_iter().map(|(n, leaving)| listed(n, leaving)).collect();
                voters[from].publish(now, from as u64 + 1, &list);
            }
            if from == to {
                if !catch_up(&voters[from], &entry, now) {
                    continue;
                }
                let probe = SharedList::default();
                catch_up(&voters[from], &probe, now);
                prop_assert_eq!(names(&entry, now), names(&probe, now));
            } else {
                relayed(&voters[from], &voters[to], now);
            }
        }
    }

    /// Whatever is listed, and whichever answers are lost, a copy that learned is the list.
    #[test]
    fn learn_any_changes(
        steps in proptest::collection::vec((proptest::collection::btree_map(0..40_u8, any::<bool>(), 0..20), any::<bool>()), 1..80)
    ) {
        let now = Instant::now();
        let (leader, entry) = (SharedList::default(), SharedList::default());
        for (list, lost) in steps {
            let list: Vec<_> = list.into_iter().map(|(n, leaving)| listed(n, leaving)).collect();
            leader.publish(now, 1, &list);
            let news = leader.news(now, entry.held()).expect("news");
            if !lost {
                entry.learn(now, news);
                let (_, _, mut held) = entry.fresh(now).expect("fresh");
                let mut list = list;
                held.sort_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
                list.sort_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
                prop_assert_eq!(held, list);
            }
        }
    }
}
