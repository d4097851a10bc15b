//! Polls of an instance: what it tells the leader or a relay, and what it takes in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::time::sleep;

use crate::command::Command;
use crate::command::Reply;
use crate::control_core::Core;
use crate::control_core::POLL_HOLD;
use crate::control_core::POLL_TIMEOUT;
use crate::control_core::pause_before_retry;
use crate::crash_note::Upstream;
use crate::ids::InstanceId;
use crate::peer_message::PollRequest;
use crate::peer_message::PollResponse;
use crate::peer_message::PollUpdate;
use crate::peer_message::decode;
use crate::peer_message::encode;
use crate::usage;

/// Time for which a report of the leader's own usage waits for its commit.
const USAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a poll without an answer when nothing is served any more.
const EXPIRED_PAUSE: Duration = Duration::from_millis(125);

/// Times that pause at most, after that many polls in a row without an answer.
const EXPIRED_PAUSES: u32 = 3;

/// Keeps the view fresh by polling the leader.
pub(crate) async fn keep_polling(core: Rc<Core>) {
    let (mut last, mut failed) = (None, None);
    let mut misses = 0;
    let mut reported: Option<Instant> = None;
    let mut granted: Option<Instant> = None;
    loop {
        if core.is_leader() {
            let now = core.clock.now();
            if granted.is_none_or(|at| now >= at + POLL_HOLD) {
                granted = Some(now);
                core.grant_own();
            }
            report_own_usage(&core, &mut reported).await;
            judge_own(&core);
            sleep(POLL_HOLD / 5).await;
            continue;
        }
        let Some(address) = core.poll_upstream(last, failed) else {
            sleep(POLL_HOLD).await;
            continue;
        };
        if poll_once(&core, address, &mut reported).await {
            (last, failed, misses) = (Some(address), None, 0);
            continue;
        }
        (last, failed, misses) = (None, Some(address), misses + 1);
        core.notes().forget_upstream();
        let valid = core.subscriber.borrow().lease().is_valid(core.clock.now());
        if valid {
            pause_before_retry().await;
        } else {
            // Nothing is served any more, so the voters are spared a storm of polls.
            let pause = match core.discovers() {
                // A whole fleet may have started at once.
                true => EXPIRED_PAUSE * misses.min(EXPIRED_PAUSES),
                false => EXPIRED_PAUSE,
            };
            sleep(pause.mul_f64(rand::rng().random_range(0.8..1.0))).await;
        }
    }
}

/// Polls once; returns whether it was of use.
pub(crate) async fn poll_once(
    core: &Rc<Core>,
    address: SocketAddr,
    reported: &mut Option<Instant>,
) -> bool {
    let link = core.link(address);
    if !link.connected(POLL_HOLD).await {
        core.avoid(address);
        return false;
    }
    let sent = core.clock.now();
    let mut usage = Vec::from_iter(due_usage(core, sent, reported));
    let below = core.below(sent);
    let count = below.as_ref().map(|below| below.count);
    usage.extend(below.into_iter().flat_map(|below| below.reports));
    let work = {
        let own = core.shared.work.lock().expect("work lock poisoned").clone();
        let mut works = core.works.borrow_mut();
        works.set(sent, &core.me.instance, own);
        works.sum(sent)
    };
    let settled = core.subscriber.borrow().settled();
    let watch = core.watch.get().filter(|version| settled < *version);
    core.watch.set(watch);
    let upstream = Upstream {
        address,
        epoch: core.subscriber.borrow().epoch(),
    };
    let (crashes, noted) = core.notes().due(sent, upstream);
    let request = encode(&PollRequest {
        poll: {
            let settled = core.settled_below(sent);
            core.subscriber.borrow().poll(&core.me, settled)
        },
        awaited_version: watch,
        suspects_revision: core.revision.get(),
        usage,
        downstream_count: count,
        demand: core.shared.shares.demand(sent),
        work,
        sightings: core.shared.told.take(),
        list_revision: match count {
            // A voter keeps the list for others only.
            Some(_) => core.shared.list.revision(),
            None => core.shared.list.copy_revision(),
        },
        crash_notes: crashes,
    });
    let answer = tokio::select! {
        answer = link.poll(&request, POLL_TIMEOUT) => answer,
        // Somebody began to wait for a version, which this poll does not mention.
        () = core.repoll.notified(), if watch.is_none() => return true,
        () = core.advanced.notified() => return true,
        () = core.shared.noted.notified() => return true,
    };
    match answer.ok().as_deref().and_then(decode) {
        Some(PollResponse::Update(news)) => {
            core.set_hint(news.leader.clone());
            let from = link.peer().unwrap_or_else(|| core.me.instance.clone());
            install(core, from, sent, *news);
            core.notes().accepted(upstream, noted);
            true
        }
        Some(PollResponse::Redirect { leader }) => {
            core.set_hint(leader);
            core.note_refused(address);
            false
        }
        None => {
            core.avoid(address);
            false
        }
    }
}

fn install(core: &Rc<Core>, from: InstanceId, sent: Instant, news: PollUpdate) {
    let settled = core.subscriber.borrow().settled();
    let installed = core.subscriber.borrow_mut().install(sent, news.update);
    let delta = match installed {
        Ok(delta) => delta,
        Err(error) => {
            tracing::warn!(%error, "did not take in an update");
            return;
        }
    };
    core.publish();
    core.shared.shares.receive(sent, &news.chunks);
    core.shared.set_entries(news.instance_count);
    core.learn_members(&news.members);
    core.shared.set_total(news.work);
    let list = core.shared.list.revision();
    if core.can_relay() {
        core.sightings
            .borrow_mut()
            .add(&from, news.sightings.clone());
    }
    core.shared.heard.append(news.sightings);
    if let Some(list) = news.list_delta {
        if core.can_relay() {
            core.shared.list.relay(sent, &list);
        } else {
            core.shared.list.apply(sent, list);
        }
    }
    if let Some(suspects) = &news.suspects {
        core.install_suspects(suspects);
    }
    let is_new = core.relay_news(delta.as_ref(), &news.usage);
    let has_advanced = core.subscriber.borrow().settled() > settled;
    let is_relisted = core.shared.list.revision() != list;
    if is_new || has_advanced || is_relisted || news.suspects.is_some() {
        core.notify_news();
    }
    for outcome in news.usage.iter().filter(|o| o.incarnation == core.me) {
        let mut usage = core.usage.borrow_mut();
        if outcome.accepted {
            usage.accepted(outcome.sequence);
        } else {
            usage.refused(outcome.sequence);
        }
    }
}

/// Takes in the notes of the leader's own instance, and of those that it answered as a relay.
fn judge_own(core: &Rc<Core>) {
    let now = core.clock.now();
    let own = Upstream {
        address: core.address,
        epoch: core.subscriber.borrow().epoch(),
    };
    let (notes, next) = core.notes().due(now, own);
    core.notes().accepted(own, next);
    core.judge(&notes);
}

fn due_usage(
    core: &Rc<Core>,
    now: Instant,
    reported: &mut Option<Instant>,
) -> Option<crate::command::UsageReport> {
    let period = usage::report_period(core.shared.entries());
    if reported.is_some_and(|at| now < at + period) {
        return None;
    }
    let mut usage = core.usage.borrow_mut();
    let report = usage.next(now, &core.shared.usage)?.clone();
    *reported = Some(now);
    Some(report)
}

pub(crate) async fn report_own_usage(core: &Rc<Core>, reported: &mut Option<Instant>) {
    let now = core.clock.now();
    let Some(report) = due_usage(core, now, reported) else {
        return;
    };
    let sequence = report.sequence;
    let command = Command::AddUsage(report);
    let deadline = Instant::now() + USAGE_TIMEOUT;
    match core.submit_here(command, deadline).await {
        Ok(Reply::Done) => core.usage.borrow_mut().accepted(sequence),
        Ok(_) => core.usage.borrow_mut().refused(sequence),
        Err(_) => {}
    }
}
