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
use crate::poll_log::PollLog;
use crate::poll_log::PollOutcome;
use crate::usage;

/// Timeout for the commit of a usage report of the leader's own instance.
const USAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed poll while the view lease has expired.
const EXPIRED_POLL_DELAY: Duration = Duration::from_millis(125);

/// Maximum factor by which consecutive failed polls multiply [`EXPIRED_POLL_DELAY`].
const MAX_EXPIRED_DELAY_FACTOR: u32 = 3;

/// Keeps the view up to date by polls; on the leader, runs the tasks that polls trigger elsewhere.
pub(crate) async fn poll_continuously(core: Rc<Core>) {
    let (mut last_upstream, mut failed_upstream) = (None, None);
    let mut failures = 0;
    let mut last_report: Option<Instant> = None;
    let mut last_grant: Option<Instant> = None;
    let mut log = PollLog::default();
    loop {
        if log.observe(core.clock.now(), core.subscriber.borrow().lease()) {
            core.shared.count_lease_end();
        }
        if core.is_leader() {
            let now = core.clock.now();
            if last_grant.is_none_or(|at| now >= at + POLL_HOLD) {
                last_grant = Some(now);
                core.grant_own_quota();
            }
            report_own_usage(&core, &mut last_report).await;
            process_own_crash_notes(&core);
            pause(&mut log, POLL_HOLD / 5).await;
            continue;
        }
        let Some(address) = core.select_upstream(last_upstream, failed_upstream) else {
            pause(&mut log, POLL_HOLD).await;
            continue;
        };
        let started = Instant::now();
        let outcome = poll_once(&core, address, &mut last_report).await;
        log.add(
            address,
            outcome.clone(),
            started.elapsed(),
            POLL_HOLD + POLL_TIMEOUT,
        );
        if matches!(outcome, PollOutcome::Updated | PollOutcome::Interrupted) {
            (last_upstream, failed_upstream, failures) = (Some(address), None, 0);
            continue;
        }
        (last_upstream, failed_upstream, failures) = (None, Some(address), failures + 1);
        core.crash_notes().forget_upstream();
        let is_valid = core.subscriber.borrow().lease().is_valid(core.clock.now());
        if is_valid {
            pause_before_retry().await;
        } else {
            // The instance serves nothing now, so a longer delay limits the load on the voters.
            let delay = match core.discovers_members() {
                // With discovery, a whole fleet may have started at once.
                true => EXPIRED_POLL_DELAY * failures.min(MAX_EXPIRED_DELAY_FACTOR),
                false => EXPIRED_POLL_DELAY,
            };
            pause(&mut log, delay.mul_f64(rand::rng().random_range(0.8..1.0))).await;
        }
    }
}

/// Sleeps, and records if the sleep took longer.
async fn pause(log: &mut PollLog, delay: Duration) {
    let started = Instant::now();
    sleep(delay).await;
    log.add_wait(started.elapsed(), delay);
}

/// Polls once.
pub(crate) async fn poll_once(
    core: &Rc<Core>,
    address: SocketAddr,
    last_report: &mut Option<Instant>,
) -> PollOutcome {
    let link = core.link(address);
    if !link.connected(POLL_HOLD).await {
        core.note_unresponsive(address);
        return PollOutcome::NotConnected;
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
        let mut work_sum = core.work_sum.borrow_mut();
        work_sum.set(sent, &core.incarnation.instance, own);
        work_sum.sum(sent)
    };
    let settled = core.subscriber.borrow().settled();
    let awaited_version = core
        .awaited_version
        .get()
        .filter(|version| settled < *version);
    core.awaited_version.set(awaited_version);
    let upstream = Upstream {
        address,
        epoch: core.subscriber.borrow().epoch(),
    };
    let limits = core.endpoint_limits().report(sent);
    let (crash_notes, next_note) = core.crash_notes().due(sent, upstream);
    let request = encode(&PollRequest {
        poll: {
            let settled = core.settled_downstream(sent);
            core.subscriber.borrow().poll(&core.incarnation, settled)
        },
        awaited_version,
        suspects_revision: core.suspects_revision.get(),
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
        crash_notes,
        limits,
        limits_revision: core.limits_revision.get(),
    });
    let answer = tokio::select! {
        answer = link.poll(&request, POLL_TIMEOUT) => answer,
        // A caller started to wait for a version that this poll does not request.
        () = core.poll_requested.notified(), if awaited_version.is_none() => return PollOutcome::Interrupted,
        () = core.downstream_advanced.notified() => return PollOutcome::Interrupted,
        () = core.shared.crash_notes_added.notified() => return PollOutcome::Interrupted,
        () = core.shared.limits_changed.notified() => return PollOutcome::Interrupted,
    };
    match answer.ok().as_deref().and_then(decode) {
        Some(PollResponse::Update(update)) => {
            core.set_leader_hint(update.leader.clone());
            let from = link
                .peer()
                .unwrap_or_else(|| core.incarnation.instance.clone());
            let is_installed = install(core, from, sent, *update);
            core.crash_notes().accepted(upstream, next_note);
            match is_installed {
                true => PollOutcome::Updated,
                false => PollOutcome::Rejected,
            }
        }
        Some(PollResponse::Redirect { leader }) => {
            let named = leader.as_ref().and_then(|leader| core.resolve(leader));
            core.set_leader_hint(leader);
            core.note_refused_relay(address);
            PollOutcome::Redirected(named)
        }
        None => {
            core.note_unresponsive(address);
            PollOutcome::Unanswered
        }
    }
}

/// Applies the response to a poll that was sent at `sent`; returns whether the view could be updated.
fn install(core: &Rc<Core>, from: InstanceId, sent: Instant, update: PollUpdate) -> bool {
    let settled_before = core.subscriber.borrow().settled();
    let installed = core.subscriber.borrow_mut().install(sent, update.update);
    let delta = match installed {
        Ok(delta) => delta,
        Err(error) => {
            tracing::warn!(%error, "cannot apply an update of the view");
            return false;
        }
    };
    core.publish();
    core.shared.shares.receive(sent, &update.chunks);
    core.shared.set_instance_count(update.instance_count);
    core.learn_members(&update.members);
    core.install_limits(sent, update.instance_count, &update.permits);
    core.limits_revision.set(update.limits_revision);
    core.shared.set_total_work(update.work);
    let list_revision = core.shared.endpoint_list.revision();
    if core.can_relay() {
        core.sightings
            .borrow_mut()
            .add(&from, update.sightings.clone());
    }
    core.shared.received_sightings.append(update.sightings);
    if let Some(list_delta) = update.list_delta {
        if core.can_relay() {
            core.shared.endpoint_list.relay(sent, &list_delta);
        } else {
            core.shared.endpoint_list.apply(sent, list_delta);
        }
    }
    if let Some(suspects) = &update.suspects {
        core.install_suspects(suspects);
    }
    let is_new = core.update_relay(delta.as_ref(), &update.usage);
    let has_advanced = core.subscriber.borrow().settled() > settled_before;
    let list_changed = core.shared.endpoint_list.revision() != list_revision;
    if is_new || has_advanced || list_changed || update.suspects.is_some() {
        core.notify_state_changed();
    }
    for outcome in update
        .usage
        .iter()
        .filter(|outcome| outcome.incarnation == core.incarnation)
    {
        let mut usage = core.usage.borrow_mut();
        if outcome.accepted {
            usage.accepted(outcome.sequence);
        } else {
            usage.refused(outcome.sequence);
        }
    }
    true
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
    let interval = usage::report_interval(core.shared.instance_count());
    if last_report.is_some_and(|at| now < at + interval) {
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
