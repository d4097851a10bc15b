//! Client side of polls: what an instance sends to the leader or a relay, and how it applies the
//! response.

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

/// Timeout for the commit of a usage report of the leader's own instance.
const USAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed poll while the view lease has expired.
const EXPIRED_POLL_DELAY: Duration = Duration::from_millis(125);

/// Maximum factor by which consecutive failed polls multiply [`EXPIRED_POLL_DELAY`].
const MAX_EXPIRED_DELAY_FACTOR: u32 = 3;

/// Keeps the view up to date by polls; on the leader, runs the tasks that polls trigger elsewhere.
pub(crate) async fn poll_continuously(core: Rc<Core>) {
    let (mut last, mut failed) = (None, None);
    let mut misses = 0;
    let mut last_report: Option<Instant> = None;
    let mut last_grant: Option<Instant> = None;
    loop {
        if core.is_leader() {
            let now = core.clock.now();
            if last_grant.is_none_or(|at| now >= at + POLL_HOLD) {
                last_grant = Some(now);
                core.grant_own_quota();
            }
            report_own_usage(&core, &mut last_report).await;
            process_own_crash_notes(&core);
            sleep(POLL_HOLD / 5).await;
            continue;
        }
        let Some(address) = core.select_upstream(last, failed) else {
            sleep(POLL_HOLD).await;
            continue;
        };
        if poll_once(&core, address, &mut last_report).await {
            (last, failed, misses) = (Some(address), None, 0);
            continue;
        }
        (last, failed, misses) = (None, Some(address), misses + 1);
        core.crash_notes().forget_upstream();
        let valid = core.subscriber.borrow().lease().is_valid(core.clock.now());
        if valid {
            pause_before_retry().await;
        } else {
            // The instance serves nothing now, so a longer delay spares the voters a storm of polls.
            let pause = match core.discovers_members() {
                // With discovery, a whole fleet may have started at once.
                true => EXPIRED_POLL_DELAY * misses.min(MAX_EXPIRED_DELAY_FACTOR),
                false => EXPIRED_POLL_DELAY,
            };
            sleep(pause.mul_f64(rand::rng().random_range(0.8..1.0))).await;
        }
    }
}

/// Polls once; returns whether the next poll may go to the same upstream without a delay.
pub(crate) async fn poll_once(
    core: &Rc<Core>,
    address: SocketAddr,
    last_report: &mut Option<Instant>,
) -> bool {
    let link = core.link(address);
    if !link.connected(POLL_HOLD).await {
        core.note_unresponsive(address);
        return false;
    }
    let sent = core.clock.now();
    let mut usage = Vec::from_iter(due_usage(core, sent, last_report));
    let downstream = core.downstream(sent);
    let count = downstream.as_ref().map(|downstream| downstream.count);
    usage.extend(
        downstream
            .into_iter()
            .flat_map(|downstream| downstream.reports),
    );
    let work = {
        let own = core.shared.work.lock().expect("work lock poisoned").clone();
        let mut works = core.works.borrow_mut();
        works.set(sent, &core.incarnation.instance, own);
        works.sum(sent)
    };
    let settled = core.subscriber.borrow().settled();
    let watch = core
        .awaited_version
        .get()
        .filter(|version| settled < *version);
    core.awaited_version.set(watch);
    let upstream = Upstream {
        address,
        epoch: core.subscriber.borrow().epoch(),
    };
    let (crashes, noted) = core.crash_notes().due(sent, upstream);
    let request = encode(&PollRequest {
        poll: {
            let settled = core.settled_downstream(sent);
            core.subscriber.borrow().poll(&core.incarnation, settled)
        },
        awaited_version: watch,
        suspects_revision: core.revision.get(),
        usage,
        downstream_count: count,
        demand: core.shared.shares.demand(sent),
        work,
        sightings: core.shared.outgoing_sightings.take(),
        list_revision: match count {
            // A relay keeps the changes of the list only for its pollers.
            Some(_) => core.shared.endpoint_list.revision(),
            None => core.shared.endpoint_list.copy_revision(),
        },
        crash_notes: crashes,
    });
    let answer = tokio::select! {
        answer = link.poll(&request, POLL_TIMEOUT) => answer,
        // A caller started to wait for a version that this poll does not mention.
        () = core.poll_requested.notified(), if watch.is_none() => return true,
        () = core.downstream_advanced.notified() => return true,
        () = core.shared.crash_notes_added.notified() => return true,
    };
    match answer.ok().as_deref().and_then(decode) {
        Some(PollResponse::Update(news)) => {
            core.set_leader_hint(news.leader.clone());
            let from = link
                .peer()
                .unwrap_or_else(|| core.incarnation.instance.clone());
            install(core, from, sent, *news);
            core.crash_notes().accepted(upstream, noted);
            true
        }
        Some(PollResponse::Redirect { leader }) => {
            core.set_leader_hint(leader);
            core.note_refused_relay(address);
            false
        }
        None => {
            core.note_unresponsive(address);
            false
        }
    }
}

/// Applies the response to a poll that was sent at `sent`.
fn install(core: &Rc<Core>, from: InstanceId, sent: Instant, news: PollUpdate) {
    let settled = core.subscriber.borrow().settled();
    let installed = core.subscriber.borrow_mut().install(sent, news.update);
    let delta = match installed {
        Ok(delta) => delta,
        Err(error) => {
            tracing::warn!(%error, "cannot apply an update of the view");
            return;
        }
    };
    core.publish();
    core.shared.shares.receive(sent, &news.chunks);
    core.shared.set_instance_count(news.instance_count);
    core.learn_members(&news.members);
    core.shared.set_total_work(news.work);
    let list = core.shared.endpoint_list.revision();
    if core.can_relay() {
        core.sightings
            .borrow_mut()
            .add(&from, news.sightings.clone());
    }
    core.shared.received_sightings.append(news.sightings);
    if let Some(list) = news.list_delta {
        if core.can_relay() {
            core.shared.endpoint_list.relay(sent, &list);
        } else {
            core.shared.endpoint_list.apply(sent, list);
        }
    }
    if let Some(suspects) = &news.suspects {
        core.install_suspects(suspects);
    }
    let is_new = core.update_relay(delta.as_ref(), &news.usage);
    let has_advanced = core.subscriber.borrow().settled() > settled;
    let list_changed = core.shared.endpoint_list.revision() != list;
    if is_new || has_advanced || list_changed || news.suspects.is_some() {
        core.notify_news();
    }
    for outcome in news
        .usage
        .iter()
        .filter(|o| o.incarnation == core.incarnation)
    {
        let mut usage = core.usage.borrow_mut();
        if outcome.accepted {
            usage.accepted(outcome.sequence);
        } else {
            usage.refused(outcome.sequence);
        }
    }
}

/// Processes the crash notes of the leader's instance, including those collected as a relay.
fn process_own_crash_notes(core: &Rc<Core>) {
    let now = core.clock.now();
    let own = Upstream {
        address: core.address,
        epoch: core.subscriber.borrow().epoch(),
    };
    let (notes, next) = core.crash_notes().due(now, own);
    core.crash_notes().accepted(own, next);
    core.process_crash_notes(&notes);
}

/// Returns the next usage report if one is due.
fn due_usage(
    core: &Rc<Core>,
    now: Instant,
    last_report: &mut Option<Instant>,
) -> Option<crate::command::UsageReport> {
    let period = usage::report_interval(core.shared.instance_count());
    if last_report.is_some_and(|at| now < at + period) {
        return None;
    }
    let mut usage = core.usage.borrow_mut();
    let report = usage.next(now, &core.shared.usage)?.clone();
    *last_report = Some(now);
    Some(report)
}

/// Commits a usage report of the leader's instance if one is due.
pub(crate) async fn report_own_usage(core: &Rc<Core>, last_report: &mut Option<Instant>) {
    let now = core.clock.now();
    let Some(report) = due_usage(core, now, last_report) else {
        return;
    };
    let sequence = report.sequence;
    let command = Command::AddUsage(report);
    let deadline = Instant::now() + USAGE_TIMEOUT;
    match core.submit_local(command, deadline).await {
        Ok(Reply::Done) => core.usage.borrow_mut().accepted(sequence),
        Ok(_) => core.usage.borrow_mut().refused(sequence),
        Err(_) => {}
    }
}
