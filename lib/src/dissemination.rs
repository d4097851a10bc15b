//! Distribution of views by polls, and tracking of which instance may serve which version.
//!
//! An upstream ([`Publisher`]) answers the polls of instances ([`Subscriber`]) with the edits since
//! the poller's version and the age of its own view. Each response also grants a lease: the poller may
//! serve from the version in the response until the lease ends. The publisher tracks the grants that
//! have not ended, so it knows when no instance can serve from an older version any more. A version is
//! called settled from then on; for operators, it is in force.
//!
//! [`crate::simple_dissemination`] is the baseline without deltas.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;
use crate::rule_state::edit_bytes;
use crate::rules::RuleKey;
use crate::view::Edit;
use crate::view::Version;
use crate::view::View;
use crate::view::ViewError;
use crate::view_lease::LEASE_MARGIN;
use crate::view_lease::VIEW_LEASE;
use crate::view_lease::ViewLease;

/// Maximum number of edits kept for deltas; a poller that is further behind gets the whole view.
pub const MAX_HISTORY_EDITS: usize = 4_096;

/// Maximum size in bytes of the edits kept for deltas; several documents of the largest size seen,
/// 400 KB, fit.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;

/// A request for changes of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The polling instance, with its incarnation number.
    pub poller: Incarnation,
    /// Version that the poller holds, or `None` if it has no view yet.
    pub version: Option<Version>,
    /// Version that the poller and all instances downstream of it have reached.
    pub settled: Version,
    /// Highest epoch (term of a leader) that the poller has seen.
    pub epoch: u64,
}

/// Edits from one version to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Oldest version to which the edits apply, or `None` if they make up the whole view.
    pub from: Option<Version>,
    /// Version after the edits.
    pub to: Version,
    /// At most one edit per rule, so that the edits also apply to any version between the two.
    pub edits: Vec<Edit>,
}

/// Response to a poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Term of the leader that the view comes from.
    pub epoch: u64,
    /// Time since the upstream's view was known to be up to date.
    pub age: Duration,
    /// Version that all instances have reached, as known to the leader.
    pub settled: Version,
    /// Changes of the view.
    pub delta: Delta,
}

/// The reason why a poll gets no update.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollError {
    /// The poller holds a newer version or has seen a newer epoch.
    #[display("the upstream is behind the poller")]
    Behind,
    /// The upstream's view is so old that a lease granted on it would already have ended.
    #[display("the view of the upstream has expired")]
    Expired,
}

/// A version from which an instance may serve until a time on the publisher's clock.
#[derive(Clone, Copy, Debug)]
struct Grant {
    version: Version,
    end: Instant,
}

/// Upstream side of polls, at the leader or a relay.
#[derive(Debug)]
pub struct Publisher {
    epoch: u64,
    view: Arc<View>,
    /// Edits after `history_base`, with the version that contains them.
    history: VecDeque<(Version, Edit)>,
    /// Size of the history in bytes.
    weight: usize,
    /// Oldest version from which the history leads to the current view.
    history_base: Version,
    grants: HashMap<Incarnation, Vec<Grant>>,
    /// Time at which all leases granted by earlier leaders have ended.
    earlier_leases_end: Option<Instant>,
    /// Version that all pollers with a valid lease have reached.
    settled: Version,
    /// Settled version as reported by the upstream of a relay; `None` on the leader.
    upstream_settled: Option<Version>,
}

impl Publisher {
    /// Creates the publisher of a leader elected at `now`.
    ///
    /// Earlier leaders may have granted leases that are unknown to this one. All of them end within a
    /// full lease after the election, so no version is settled until then.
    pub fn leader(epoch: u64, view: Arc<View>, now: Instant) -> Self {
        Self {
            earlier_leases_end: Some(now + VIEW_LEASE + LEASE_MARGIN),
            upstream_settled: None,
            ..Self::relay(epoch, view)
        }
    }

    /// Creates the publisher of a relay.
    ///
    /// There is nothing to wait for, because the upstream treats an earlier incarnation of the relay as
    /// a separate poller.
    pub fn relay(epoch: u64, view: Arc<View>) -> Self {
        Self {
            epoch,
            history_base: view.version(),
            view,
            history: VecDeque::new(),
            weight: 0,
            grants: HashMap::new(),
            earlier_leases_end: None,
            settled: Version(0),
            upstream_settled: Some(Version(0)),
        }
    }

    /// Returns the published view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the epoch of the published view.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records the epoch and the settled version from the upstream of a relay, for its own responses.
    pub fn set_upstream_state(&mut self, epoch: u64, settled: Version) {
        self.epoch = self.epoch.max(epoch);
        self.upstream_settled = self.upstream_settled.max(Some(settled));
    }

    /// Publishes a newer view; `edits` are the changes from the current one.
    pub fn publish(&mut self, view: Arc<View>, edits: impl IntoIterator<Item = Edit>) {
        if view.version() <= self.view.version() {
            return;
        }
        let version = view.version();
        self.history
            .extend(edits.into_iter().map(|edit| (version, edit)));
        self.view = view;
        self.weight = self.history.iter().map(|(_, e)| edit_bytes(e)).sum();
        while self.history.len() > MAX_HISTORY_EDITS || self.weight > MAX_HISTORY_BYTES {
            // The edits of a version are dropped together, so that no delta is partial.
            let Some(oldest) = self.history.front().map(|(version, _)| *version) else {
                break;
            };
            while let Some((_, edit)) = self.history.pop_front_if(|(v, _)| *v == oldest) {
                self.weight -= edit_bytes(&edit);
            }
            self.history_base = oldest;
        }
    }

    /// Publishes a newer view without known edits, for example after a snapshot.
    pub fn replace(&mut self, view: Arc<View>) {
        if view.version() > self.view.version() {
            self.history.clear();
            self.history_base = view.version();
            self.view = view;
        }
    }

    /// Returns whether a poll would get changes of the view now.
    pub fn has_news(&self, poll: &Poll) -> bool {
        poll.version != Some(self.view.version())
    }

    /// Records the version that a poller has reached, which ends its grants for older versions.
    pub fn observe(&mut self, poll: &Poll) {
        if let Some(grants) = self.grants.get_mut(&poll.poller) {
            grants.retain(|grant| grant.version >= poll.settled);
        }
    }

    /// Removes grants that have ended; must be called regularly to bound the memory.
    pub fn purge(&mut self, now: Instant) {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| grant.end > now);
            !grants.is_empty()
        });
    }

    /// Answers a poll; `age` is the age of the published view.
    ///
    /// A grant to a relay also covers the leases that the relay grants in turn. Because ages add up, no
    /// downstream lease outlives the relay's own, and every downstream lease granted after this
    /// response is for this version or a later one.
    pub fn answer(
        &mut self,
        now: Instant,
        poll: &Poll,
        age: Duration,
    ) -> Result<Update, PollError> {
        let version = self.view.version();
        if poll.epoch > self.epoch || poll.version.is_some_and(|held| held > version) {
            return Err(PollError::Behind);
        }
        if age >= VIEW_LEASE {
            return Err(PollError::Expired);
        }
        let end = now + (VIEW_LEASE - age) + LEASE_MARGIN;
        let grants = self.grants.entry(poll.poller.clone()).or_default();
        match grants.iter_mut().find(|grant| grant.version == version) {
            Some(grant) => grant.end = grant.end.max(end),
            None => grants.push(Grant { version, end }),
        }
        Ok(Update {
            epoch: self.epoch,
            age,
            settled: self.settled_to_report(now),
            delta: self.delta(poll.version),
        })
    }

    /// Returns the version that every poller with a valid lease has reached.
    pub fn settled(&mut self, now: Instant) -> Version {
        let version = self.view.version();
        let waited = self.earlier_leases_end.is_none_or(|end| now >= end);
        if waited && self.settled < version {
            let lowest = self
                .grants
                .values()
                .flatten()
                .filter(|grant| grant.end > now)
                .map(|grant| grant.version)
                .min();
            self.settled = self.settled.max(lowest.unwrap_or(version).min(version));
        }
        self.settled
    }

    /// Returns the settled version to report to pollers: at a relay, that of the upstream.
    fn settled_to_report(&mut self, now: Instant) -> Version {
        match self.upstream_settled {
            Some(version) => version,
            None => self.settled(now),
        }
    }

    /// Returns the pollers that may still serve from a version below `version`.
    pub fn lagging_pollers(
        &self,
        now: Instant,
        version: Version,
    ) -> impl Iterator<Item = &Incarnation> {
        self.grants
            .iter()
            .filter(move |(_, grants)| {
                grants
                    .iter()
                    .any(|grant| grant.end > now && grant.version < version)
            })
            .map(|(poller, _)| poller)
    }

    /// Returns the pollers that hold a valid lease.
    pub fn lease_holders(&self, now: Instant) -> impl Iterator<Item = &Incarnation> {
        self.grants
            .iter()
            .filter(move |(_, grants)| grants.iter().any(|grant| grant.end > now))
            .map(|(poller, _)| poller)
    }

    /// Returns the changes since the version that a poller holds.
    fn delta(&self, held: Option<Version>) -> Delta {
        let to = self.view.version();
        let Some(from) = held.filter(|held| *held >= self.history_base) else {
            return Delta {
                from: None,
                to,
                edits: self.view.rules().cloned().map(Edit::Set).collect(),
            };
        };
        let start = self
            .history
            .partition_point(|(version, _)| *version <= from);
        let mut last: BTreeMap<&RuleKey, &Edit> = BTreeMap::new();
        for (_, edit) in self.history.range(start..) {
            last.insert(edit_key(edit), edit);
        }
        Delta {
            from: Some(from),
            to,
            edits: last.into_values().cloned().collect(),
        }
    }
}

/// Returns the key of the rule that an edit changes.
fn edit_key(edit: &Edit) -> &RuleKey {
    match edit {
        Edit::Set(rule) => &rule.key,
        Edit::Remove(key) => key,
    }
}

/// The reason why an update cannot be installed.
#[derive(Debug, Display, Error)]
pub enum InstallError {
    /// Edits between the current version and the update are missing.
    #[display("the update does not follow the version that is held")]
    Gap,
    /// The edits do not result in a valid view.
    #[display("the update is invalid: {_0}")]
    Invalid(ViewError),
}

/// Poller side of polls: the view that an instance holds, and the lease on it.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    view: Option<Arc<View>>,
    lease: ViewLease,
    epoch: u64,
    settled: Version,
}

impl Subscriber {
    /// Returns the view even if its lease has expired.
    pub fn held(&self) -> Option<&Arc<View>> {
        self.view.as_ref()
    }

    /// Returns the view, unless its lease has expired.
    pub fn view(&self, now: Instant) -> Option<&Arc<View>> {
        self.view.as_ref().filter(|_| self.lease.is_valid(now))
    }

    /// Returns the lease on the view.
    pub fn lease(&self) -> &ViewLease {
        &self.lease
    }

    /// Returns the highest epoch seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the version that all instances are known to have reached.
    pub fn settled(&self) -> Version {
        self.settled
    }

    /// Returns the version of the view, if there is one.
    pub fn version(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.version())
    }

    /// Returns the poll to send.
    ///
    /// A relay passes the settled version of its own publisher as `downstream`; any other instance
    /// passes `None`.
    pub fn poll(&self, poller: &Incarnation, downstream: Option<Version>) -> Poll {
        let version = self.version();
        let held = version.unwrap_or_default();
        Poll {
            poller: poller.clone(),
            version,
            settled: downstream.map_or(held, |downstream| downstream.min(held)),
            epoch: self.epoch,
        }
    }

    /// Installs the response to a poll that was sent at `sent`; returns the changes if the view changed.
    ///
    /// View and lease change together. An older version is never installed, but it still renews the
    /// lease, because the current view includes all changes of the older one.
    pub fn install(
        &mut self,
        sent: Instant,
        update: Update,
    ) -> Result<Option<Delta>, InstallError> {
        let delta = update.delta;
        let mut installed = None;
        if self.version().is_none_or(|held| held < delta.to) {
            self.view = Some(self.apply(&delta)?);
            installed = Some(delta);
        }
        self.lease.renew(sent, update.age);
        self.epoch = self.epoch.max(update.epoch);
        self.settled = self.settled.max(update.settled);
        Ok(installed)
    }

    /// Installs the view of the leader in the same process, which was up to date at `fresh_at`.
    pub fn install_local(
        &mut self,
        view: &Arc<View>,
        fresh_at: Instant,
        epoch: u64,
        settled: Version,
    ) {
        if self.version().is_none_or(|held| held < view.version()) {
            self.view = Some(view.clone());
        }
        self.lease.renew(fresh_at, Duration::ZERO);
        self.epoch = self.epoch.max(epoch);
        self.settled = self.settled.max(settled);
    }

    /// Applies a delta to the current view.
    fn apply(&self, delta: &Delta) -> Result<Arc<View>, InstallError> {
        let empty = View::default();
        let base = match (delta.from, &self.view) {
            (None, _) => &empty,
            (Some(from), Some(view)) if from <= view.version() => view.as_ref(),
            (Some(_), _) => return Err(InstallError::Gap),
        };
        let mut transaction = base.transaction();
        for edit in &delta.edits {
            // A rule that was added and removed between the two versions does not exist in the base.
            if matches!(edit, Edit::Remove(key) if base.rule(key).is_none()) {
                continue;
            }
            transaction.edit(edit).map_err(InstallError::Invalid)?;
        }
        transaction
            .commit_with_version(delta.to)
            .map_err(InstallError::Invalid)
    }
}
